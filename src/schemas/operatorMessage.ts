/** What hosts tell operators about themselves; crosses links and the operators' port. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { decisionSchema, waitSchema } from './decision.js'

/** A request that runs on an endpoint. */
export const runningRequestSchema = Type.Object({
  requestId: Type.String(),
  attempt: Type.Integer(),
  className: Type.String(),
  adapter: Type.String(),
  version: Type.String(),
  handle: Type.String(),
  /** Time since the caller's request arrived, in milliseconds. */
  ageMs: Type.Number()
})

/** The requests of one class that wait for an endpoint. */
export const classQueueSchema = Type.Object({
  className: Type.String(),
  /** The target in words, such as `first token within 450ms`. */
  target: Type.String(),
  queued: Type.Integer(),
  oldestMs: Type.Number(),
  /** Time until the first of their targets is due, in milliseconds; negative once it is missed. */
  dueInMs: Type.Number()
})

export const endpointStateSchema = Type.Object({
  endpointId: Type.String(),
  host: Type.String(),
  zone: Type.String(),
  baseModel: Type.String(),
  presence: Type.String(),
  fencing: Type.Integer(),
  isReady: Type.Boolean(),
  slots: Type.Integer(),
  batchLimit: Type.Integer(),
  loaded: Type.Array(Type.String()),
  loading: Type.Array(Type.String()),
  runningCount: Type.Integer(),
  /** The first of those that run; see `runningCount` for how many there are. */
  running: Type.Array(runningRequestSchema),
  queues: Type.Array(classQueueSchema),
  expectedWaitMs: Type.Number(),
  expectedLoadMs: Type.Number()
})
export type EndpointState = Static<typeof endpointStateSchema>

/** Answer of a scheduler to the query `status`. */
export const schedulerStatusSchema = Type.Object({
  host: Type.String(),
  zone: Type.String(),
  isLeaving: Type.Boolean(),
  endpoints: Type.Array(endpointStateSchema),
  /** Loads ordered in the last minute by this host. */
  loadsLastMinute: Type.Integer(),
  /** What the weight store allows all hosts together, by this host's settings. */
  loadBudget: Type.Object({ loadsPerSecond: Type.Number(), loadsAtFullSpeed: Type.Integer() })
})
export type SchedulerStatus = Static<typeof schedulerStatusSchema>

/** Answer of a host to the query `explain`: what it has kept of one request. */
export const explainPartSchema = Type.Object({
  host: Type.String(),
  decisions: Type.Array(decisionSchema)
})
export type ExplainPart = Static<typeof explainPartSchema>

export const storyAttemptSchema = Type.Object({
  attempt: Type.Integer(),
  endpointId: Type.Optional(Type.String()),
  /** Scheduler that owned the endpoint, where it has answered. */
  host: Type.Optional(Type.String()),
  handle: Type.Optional(Type.String()),
  /** Absent while the attempt runs. */
  verdict: Type.Optional(Type.String()),
  /** Why the endpoint was chosen. */
  choice: Type.String(),
  /** How the attempt ended. */
  end: Type.String(),
  waits: Type.Array(waitSchema)
})

/** One request's story, put together from the decisions of several hosts. */
export const storySchema = Type.Object({
  requestId: Type.String(),
  outcome: Type.Union([Type.Literal('running'), Type.Literal('answered'), Type.Literal('failed'), Type.Literal('refused')]),
  className: Type.Optional(Type.String()),
  /** Version and target as they were fixed for the request. */
  admission: Type.String(),
  adapter: Type.Optional(Type.String()),
  version: Type.Optional(Type.String()),
  attempts: Type.Array(storyAttemptSchema),
  /** The decisions that changed the request's way. */
  turns: Type.Array(Type.String()),
  /** Every decision, in the order of the request's way. */
  decisions: Type.Array(decisionSchema),
  /** Hosts that gave no answer; what they decided is missing. */
  silentHosts: Type.Array(Type.String())
})
export type Story = Static<typeof storySchema>
export type StoryAttempt = Static<typeof storyAttemptSchema>
