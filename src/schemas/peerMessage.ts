/** Messages between gateways and schedulers; each link transfers them in order, in batches. */
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
  /** `ip:port` on which a scheduler accepts links. */
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
  /** Time since the caller's request arrived, in milliseconds; a duration, so that clocks of hosts are not compared. */
  ageMs: Type.Number(),
  /** Time until the target is due, in milliseconds; may be negative. */
  dueInMs: Type.Number(),
  callerName: Type.String(),
  /** Hash of the request's content, used to recognise requests that crash endpoints. */
  fingerprint: Type.String(),
  /** Whether the request's content was running when an endpoint crashed; an endpoint runs only one such request at a time. */
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

/** The attempt was sent to its engine. With this message the gateway can explain the request even if the scheduler is gone. */
export const dispatchedSchema = Type.Object({
  type: Type.Literal('dispatched'),
  requestId: Type.String(),
  attempt: Type.Integer(),
  handle: Type.String(),
  waits: Type.Array(waitSchema)
})

/** A chunk of a response; `sequence` counts from 0 within an attempt. */
export const answerDataSchema = Type.Object({
  type: Type.Literal('answerData'),
  requestId: Type.String(),
  attempt: Type.Integer(),
  sequence: Type.Integer(),
  data: Type.String()
})
/** The complete response has been sent; `sequence` is the number of chunks. */
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

/** Summary of an endpoint, sent by the scheduler that owns it. */
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
  /** Expected time until a load requested now is complete, including its wait for a slot and the load budget, in milliseconds. */
  expectedLoadMs: Type.Number(),
  /** Time between two request starts when the batch is full, in milliseconds. */
  serviceIntervalMs: Type.Number(),
  /** Forecast of the delays that evicting an adapter to load another one would cause, in milliseconds. */
  evictionCostMs: Type.Number(),
  /** `adapter@version` of each adapter that is loaded and usable. */
  loaded: Type.Array(Type.String()),
  /** `adapter@version` of each adapter that is being loaded or is queued for it. */
  loading: Type.Array(Type.String())
})
export type EndpointSummary = Static<typeof endpointSummarySchema>

/** All endpoints that a scheduler owns; replaces the previous message of this type. */
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

/** Changes since the last summaries or changes sent on the link. */
export const endpointChangesSchema = Type.Object({
  type: Type.Literal('endpointChanges'),
  changes: Type.Array(endpointChangeSchema),
  /** Endpoints that the sender no longer owns, if any. */
  removed: Type.Optional(Type.Array(Type.String())),
  /** Present once the sender accepts no new requests. */
  isLeaving: Type.Optional(Type.Literal(true))
})
export type EndpointChanges = Static<typeof endpointChangesSchema>

/** Decisions made by the sender, for a host that watches them. */
export const decisionsSchema = Type.Object({
  type: Type.Literal('decisions'),
  decisions: Type.Array(decisionSchema),
  /** Number of decisions since the last message that were dropped by the rate limit. */
  missed: Type.Integer()
})

/** Fingerprints of suspect content, which was running when endpoints crashed; the number of crashes per fingerprint only grows. */
export const suspectContentsSchema = Type.Object({
  type: Type.Literal('suspects'),
  suspects: Type.Array(Type.Object({
    fingerprint: Type.String(),
    /** Names of the crashes, `endpointId/incarnation`. */
    crashes: Type.Array(Type.String())
  }))
})

/** Announces the latest configuration version in force at the sender, with the changes that the receiver lacks. */
export const configurationUpdateSchema = Type.Object({
  type: Type.Literal('configurationNews'),
  version: Type.Integer(),
  changes: Type.Array(configurationChangeSchema)
})
export type ConfigurationUpdate = Static<typeof configurationUpdateSchema>

export const memberSchema = Type.Object({
  hostId: Type.String(),
  zone: Type.String(),
  /** `ip:port` of the peers' port. */
  address: Type.String()
})
export type Member = Static<typeof memberSchema>

/** Schedulers to which the sender has a link, so that peers know them before they appear in the platform's host list. */
export const membersSchema = Type.Object({
  type: Type.Literal('members'),
  members: Type.Array(memberSchema)
})

/** The table has not responded to the sender for a long time; repeated while the outage lasts. */
export const tableOutageSchema = Type.Object({ type: Type.Literal('tableOutage') })

/** Asks a permit's granter to allow one adapter load within the weight store's budget. */
export const permitRequestSchema = Type.Object({
  type: Type.Literal('permitRequest'),
  /** Index of the requested permit, from 0. */
  permit: Type.Integer(),
  permitRequestId: Type.String(),
  endpointId: Type.String(),
  /** Time left until the load is needed, in milliseconds; smaller is more urgent. */
  slackMs: Type.Number(),
  /** Present if the load is already running under a grant from an earlier granter of the permit. */
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

/** Sends an operator's query to a host; the reply has the same id. */
export const querySchema = Type.Object({
  type: Type.Literal('query'),
  queryId: Type.String(),
  /** Kind of query: `dump`, `explain`, `status` or `watch`. */
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
  endpointSummariesSchema, endpointChangesSchema, decisionsSchema, suspectContentsSchema, configurationUpdateSchema,
  membersSchema, tableOutageSchema, permitRequestSchema, permitGrantSchema, permitReleaseSchema, querySchema, queryAnswerSchema
])
export type PeerMessage = Static<typeof peerMessageSchema>
export type PeerMessageOf<T extends PeerMessage['type']> = Extract<PeerMessage, { type: T }>
