/** Messages between gateways and schedulers; each link carries them in order, in batches. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { requestFailureSchema } from './verdict.js'
import { decisionSchema, waitSchema } from './decision.js'
import { configurationChangeSchema, targetSchema } from './configuration.js'

/** First message on a link, from the side that opened it. */
export const helloSchema = Type.Object({
  type: Type.Literal('hello'),
  hostId: Type.String(),
  role: Type.Union([Type.Literal('gateway'), Type.Literal('scheduler')]),
  zone: Type.String(),
  version: Type.String(),
  /** `ip:port` on which a scheduler takes links. */
  address: Type.Optional(Type.String())
})

/** Asks the owner of an endpoint to run one attempt of a request. */
export const dispatchSchema = Type.Object({
  type: Type.Literal('dispatch'),
  requestId: Type.String(),
  attempt: Type.Integer(),
  endpointId: Type.String(),
  adapter: Type.String(),
  version: Type.String(),
  baseModel: Type.String(),
  className: Type.String(),
  target: targetSchema,
  /** Time since the caller's request arrived, in milliseconds; no clocks are compared. */
  ageMs: Type.Number(),
  /** Time left until the target, in milliseconds; may be negative. */
  dueInMs: Type.Number(),
  callerName: Type.String(),
  /** Hash of what the request asks, for recognising requests that crash endpoints. */
  fingerprint: Type.String(),
  /** Whether the request ran on an endpoint that crashed; it is kept apart from others of its kind. */
  isSuspect: Type.Boolean(),
  promptTokens: Type.Integer(),
  maxTokens: Type.Integer(),
  path: Type.String(),
  body: Type.String(),
  isStream: Type.Boolean()
})
export type Dispatch = Static<typeof dispatchSchema>

export const cancelSchema = Type.Object({
  type: Type.Literal('cancel'),
  requestId: Type.String(),
  attempt: Type.Integer()
})

/** The attempt was sent to its engine; lets the gateway tell its story even when the scheduler has gone. */
export const dispatchedSchema = Type.Object({
  type: Type.Literal('dispatched'),
  requestId: Type.String(),
  attempt: Type.Integer(),
  handle: Type.String(),
  waits: Type.Array(waitSchema)
})

/** Part of an answer; `sequence` counts from 0 within an attempt. */
export const answerDataSchema = Type.Object({
  type: Type.Literal('answerData'),
  requestId: Type.String(),
  attempt: Type.Integer(),
  sequence: Type.Integer(),
  data: Type.String()
})
/** The whole answer has been sent; `sequence` is the number of parts. */
export const answerEndSchema = Type.Object({
  type: Type.Literal('answerEnd'),
  requestId: Type.String(),
  attempt: Type.Integer(),
  sequence: Type.Integer()
})
export const answerFailedSchema = Type.Object({
  type: Type.Literal('answerFailed'),
  requestId: Type.String(),
  attempt: Type.Integer(),
  failure: requestFailureSchema
})

/** What a scheduler tells about an endpoint that it owns. */
export const endpointSummarySchema = Type.Object({
  endpointId: Type.String(),
  zone: Type.String(),
  baseModel: Type.String(),
  fencing: Type.Integer(),
  isReady: Type.Boolean(),
  slots: Type.Integer(),
  batchLimit: Type.Integer(),
  running: Type.Integer(),
  queued: Type.Integer(),
  /** Expected wait of a new request for a loaded adapter, in milliseconds. */
  expectedWaitMs: Type.Number(),
  /** Expected time of a load from now, its wait for a slot and the budget included, in milliseconds. */
  expectedLoadMs: Type.Number(),
  /** Time between two starts when the batch is full, in milliseconds. */
  serviceIntervalMs: Type.Number(),
  /** Forecast of the stalls that giving up a slot for another adapter would cause, in milliseconds. */
  evictionCostMs: Type.Number(),
  /** `adapter@version` of each adapter that is loaded and usable. */
  loaded: Type.Array(Type.String()),
  /** `adapter@version` of each adapter that is being loaded or is queued for it. */
  loading: Type.Array(Type.String())
})
export type EndpointSummary = Static<typeof endpointSummarySchema>

/** The endpoints that a scheduler owns; replaces the one before. */
export const endpointSummariesSchema = Type.Object({
  type: Type.Literal('endpointSummaries'),
  hostId: Type.String(),
  isLeaving: Type.Boolean(),
  endpoints: Type.Array(endpointSummarySchema)
})
export type EndpointSummaries = Static<typeof endpointSummariesSchema>

const { endpointId: endpointIdSchema, ...summaryFields } = endpointSummarySchema.properties

/** The fields of a summary that have changed. */
export const endpointChangeSchema = Type.Composite([
  Type.Object({ endpointId: endpointIdSchema }), Type.Partial(Type.Object(summaryFields))
])
export type EndpointChange = Static<typeof endpointChangeSchema>

/** What has changed since the last summaries or changes on the link. */
export const endpointChangesSchema = Type.Object({
  type: Type.Literal('endpointChanges'),
  changes: Type.Array(endpointChangeSchema),
  /** Endpoints that the sender no longer owns, where there are any. */
  removed: Type.Optional(Type.Array(Type.String())),
  /** Present once the sender takes no new work. */
  isLeaving: Type.Optional(Type.Literal(true))
})
export type EndpointChanges = Static<typeof endpointChangesSchema>

/** Decisions taken on the sender, to a host that watches. */
export const decisionsSchema = Type.Object({
  type: Type.Literal('decisions'),
  decisions: Type.Array(decisionSchema),
  /** How many more there were since the last message, beyond the bound on their rate. */
  missed: Type.Integer()
})

/** Fingerprints that were running when an endpoint crashed; counts only rise. */
export const suspectsSchema = Type.Object({
  type: Type.Literal('suspects'),
  suspects: Type.Array(Type.Object({
    fingerprint: Type.String(),
    /** Names of the crashes, `endpointId/incarnation`. */
    crashes: Type.Array(Type.String())
  }))
})

/** Tells the newest configuration version that the sender has in force, with the changes that the receiver lacks. */
export const configurationNewsSchema = Type.Object({
  type: Type.Literal('configurationNews'),
  version: Type.Integer(),
  changes: Type.Array(configurationChangeSchema)
})
export type ConfigurationNews = Static<typeof configurationNewsSchema>

export const memberSchema = Type.Object({
  hostId: Type.String(),
  zone: Type.String(),
  /** `ip:port` of the peers' port. */
  address: Type.String()
})
export type Member = Static<typeof memberSchema>

/** Schedulers that the sender has a link to, so that peers know them before the list shows them. */
export const membersSchema = Type.Object({
  type: Type.Literal('members'),
  members: Type.Array(memberSchema)
})

/** The table has given the sender no answer for long; repeated while that lasts. */
export const tableOutageSchema = Type.Object({ type: Type.Literal('tableOutage') })

/** Asks the granter of one permit of the weight store's budget for one adapter load, and its answers. */
export const permitRequestSchema = Type.Object({
  type: Type.Literal('permitRequest'),
  /** Which of the permits is asked for, from 0. */
  permit: Type.Integer(),
  permitRequestId: Type.String(),
  endpointId: Type.String(),
  /** Time left until the load is needed, in milliseconds; smaller is more urgent. */
  slackMs: Type.Number(),
  /** Whether the load runs already, under a grant of an earlier granter of the permit. */
  isHeld: Type.Optional(Type.Literal(true))
})
export const permitGrantSchema = Type.Object({
  type: Type.Literal('permitGrant'),
  permit: Type.Integer(),
  permitRequestId: Type.String()
})
export const permitReleaseSchema = Type.Object({
  type: Type.Literal('permitRelease'),
  permit: Type.Integer(),
  permitRequestId: Type.String()
})

/** Asks a host something for an operator; the answer comes with the same id. */
export const querySchema = Type.Object({
  type: Type.Literal('query'),
  queryId: Type.String(),
  /** What is asked: `dump`, `explain`, `status` or `watch`. */
  subject: Type.String(),
  argument: Type.String()
})
export const queryAnswerSchema = Type.Object({
  type: Type.Literal('queryAnswer'),
  queryId: Type.String(),
  answer: Type.Unknown()
})

export const peerMessageSchema = Type.Union([
  helloSchema, dispatchSchema, cancelSchema, dispatchedSchema, answerDataSchema, answerEndSchema, answerFailedSchema,
  endpointSummariesSchema, endpointChangesSchema, decisionsSchema, suspectsSchema, configurationNewsSchema,
  membersSchema, tableOutageSchema, permitRequestSchema, permitGrantSchema, permitReleaseSchema, querySchema, queryAnswerSchema
])
export type PeerMessage = Static<typeof peerMessageSchema>
export type PeerMessageOf<T extends PeerMessage['type']> = Extract<PeerMessage, { type: T }>
