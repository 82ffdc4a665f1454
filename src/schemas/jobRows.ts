/** Rows of jobs: the job itself, its queue entry, and the lease of a runner. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { targetSchema } from './configuration.js'
import { answerReferenceSchema, contentReferenceSchema } from './storedAnswer.js'
import { requestFailureSchema } from './verdict.js'

/** The request that a job runs, fixed when the job is accepted. */
export const jobRequestSchema = Type.Object({
  callerName: Type.String(),
  adapter: Type.String(),
  version: Type.String(),
  baseModel: Type.String(),
  className: Type.String(),
  target: targetSchema,
  fingerprint: Type.String(),
  promptTokens: Type.Integer(),
  maxTokens: Type.Integer(),
  path: Type.String(),
  body: Type.String()
})
export type JobRequest = Static<typeof jobRequestSchema>

export const jobStateSchema = Type.Union([
  Type.Literal('queued'), Type.Literal('finished'), Type.Literal('failed'), Type.Literal('cancelled')
])

export const jobRowSchema = Type.Object({
  id: Type.String(),
  state: jobStateSchema,
  callerName: Type.String(),
  /** Hash of the class name and the request body; the same key with a different hash is refused. */
  bodyHash: Type.String(),
  adapter: Type.String(),
  version: Type.String(),
  className: Type.String(),
  /** Wall-clock times on the accepting host, for display and for the order of the queue. */
  acceptedAtWallMs: Type.Number(),
  dueAtWallMs: Type.Number(),
  /** Whether a run with an unknown outcome must not be repeated. */
  runsAtMostOnce: Type.Boolean(),
  queueKey: Type.String(),
  /** A `JobRequest`, encoded as JSON. */
  request: contentReferenceSchema,
  answer: Type.Optional(answerReferenceSchema),
  failure: Type.Optional(requestFailureSchema)
})
export type JobRow = Static<typeof jobRowSchema>

export const queueRowSchema = Type.Object({
  jobKey: Type.String(),
  /** Process that runs the job; absent while no process does. */
  runner: Type.Optional(Type.String()),
  /** Number of runs that were started and whose outcome is unknown. */
  openRuns: Type.Integer()
})
export type QueueRow = Static<typeof queueRowSchema>

export const runnerRowSchema = Type.Object({
  hostId: Type.String(),
  /** Increases with each renewal of the lease. */
  counter: Type.Integer()
})
