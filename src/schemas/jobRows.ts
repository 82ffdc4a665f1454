/** The rows of jobs: the job itself, its place in the queue, and the lease of a runner. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { targetSchema } from './configuration.js'
import { answerReferenceSchema, contentReferenceSchema } from './storedAnswer.js'
import { requestFailureSchema } from './verdict.js'

/** What a job runs, fixed when it is accepted. */
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
  /** Hash of what was asked; the same key with another one is refused. */
  bodyHash: Type.String(),
  adapter: Type.String(),
  version: Type.String(),
  className: Type.String(),
  /** Wall-clock times on the accepting host, for display and for the order of the queue. */
  acceptedAtWallMs: Type.Number(),
  dueAtWallMs: Type.Number(),
  /** Whether a run whose end is unknown may not be repeated. */
  runsAtMostOnce: Type.Boolean(),
  queueKey: Type.String(),
  /** A `JobRequest` as JSON. */
  request: contentReferenceSchema,
  answer: Type.Optional(answerReferenceSchema),
  failure: Type.Optional(requestFailureSchema)
})
export type JobRow = Static<typeof jobRowSchema>

export const queueRowSchema = Type.Object({
  jobKey: Type.String(),
  /** Process that runs the job; left out while nobody does. */
  runner: Type.Optional(Type.String()),
  /** Runs that were begun and of whose end nothing is known. */
  openRuns: Type.Integer()
})
export type QueueRow = Static<typeof queueRowSchema>

export const runnerRowSchema = Type.Object({
  hostId: Type.String(),
  /** Rises with each renewal of the lease. */
  counter: Type.Integer()
})
