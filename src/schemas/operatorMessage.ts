/** State that hosts report to operators; sent over peer links and the operators' port. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { decisionSchema, waitSchema } from './decision.js'

/** A request that is running on an endpoint. */
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
  /** Description of the target, such as `first token within 450ms`. */
  target: Type.String(),
  queued: Type.Integer(),
  oldestMs: Type.Number(),
  /** Time until the earliest of their targets is due, in milliseconds; negative once it is missed. */
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
  /** The first few running requests; `runningCount` is their total number. */
  running: Type.Array(runningRequestSchema),
  queues: Type.Array(classQueueSchema),
  expectedWaitMs: Type.Number(),
  expectedLoadMs: Type.Number()
})
export type EndpointState = Static<typeof endpointStateSchema>

/** Reply of a scheduler to the query `status`. */
export const schedulerStatusSchema = Type.Object({
  host: Type.String(),
  zone: Type.String(),
  isLeaving: Type.Boolean(),
  endpoints: Type.Array(endpointStateSchema),
  /** Loads that this host ordered in the last minute. */
  loadsLastMinute: Type.Integer(),
  /** Limits of the weight store for all hosts together, from this host's settings. */
  loadBudget: Type.Object({ loadsPerSecond: Type.Number(), loadsAtFullSpeed: Type.Integer() })
})
export type SchedulerStatus = Static<typeof schedulerStatusSchema>

/** Reply of a host to the query `explain`: the decisions that it has kept for one request. */
export const hostExplanationSchema = Type.Object({
  host: Type.String(),
  decisions: Type.Array(decisionSchema)
})
export type HostExplanation = Static<typeof hostExplanationSchema>

export const timelineAttemptSchema = Type.Object({
  attempt: Type.Integer(),
  endpointId: Type.Optional(Type.String()),
  /** Scheduler that owned the endpoint, if it has replied. */
  host: Type.Optional(Type.String()),
  handle: Type.Optional(Type.String()),
  /** Absent while the attempt is running. */
  verdict: Type.Optional(Type.String()),
  /** Why the endpoint was chosen. */
  choice: Type.String(),
  /** How the attempt ended. */
  end: Type.String(),
  waits: Type.Array(waitSchema)
})

/** Timeline of one request, built from the decisions of several hosts. */
export const requestTimelineSchema = Type.Object({
  requestId: Type.String(),
  outcome: Type.Union([Type.Literal('running'), Type.Literal('answered'), Type.Literal('failed'), Type.Literal('refused')]),
  className: Type.Optional(Type.String()),
  /** Version and target that were fixed when the request was admitted. */
  admission: Type.String(),
  adapter: Type.Optional(Type.String()),
  version: Type.Optional(Type.String()),
  attempts: Type.Array(timelineAttemptSchema),
  /** The key decisions, which changed how the request was processed. */
  turns: Type.Array(Type.String()),
  /** All decisions, in the order in which the request was processed. */
  decisions: Type.Array(decisionSchema),
  /** Hosts that did not reply; their decisions are missing. */
  silentHosts: Type.Array(Type.String())
})
export type RequestTimeline = Static<typeof requestTimelineSchema>
export type TimelineAttempt = Static<typeof timelineAttemptSchema>
