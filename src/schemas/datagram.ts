/** Messages between hosts: reservation requests for an endpoint, replies of its owner, outcomes of requests, pings and renewals. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import { streamRecordsSavedSchema, streamRecordsSchema } from './streamRows.js'

/** What the latest response that a host knows of said about the limit of an endpoint process. */
export const limitStatementSchema = Type.Object({
  /** Start time of the endpoint process, in Unix milliseconds. */
  startedAtMs: Type.Number(),
  /** Requests a second that the endpoint takes from all hosts together; absent if it names no limit any more. */
  limitPerSecond: Type.Optional(Type.Number({ minimum: 0 })),
  /** How long ago the request was sent and its response received, in milliseconds. */
  sentAgoMs: Type.Number(),
  receivedAgoMs: Type.Number()
})
export type EndpointLimitStatement = Static<typeof limitStatementSchema>

/** Notifies all hosts that an endpoint's limit has changed. */
export const endpointLimitChangeSchema = Type.Composite([
  Type.Object({ type: Type.Literal('limit'), endpointId: Type.String() }),
  limitStatementSchema
])
export type EndpointLimitChange = Static<typeof endpointLimitChangeSchema>

/** A proxy requests a reservation from the owner of an endpoint. A repeated request with the same id gets the same reply. */
export const reservationRequestSchema = Type.Object({
  type: Type.Literal('ask'),
  id: Type.Integer(),
  endpointId: Type.String(),
  requestId: Type.String(),
  model: Type.String(),
  /** Empty for the base model. */
  adapter: Type.String(),
  /** 0 if no version was declared. */
  version: Type.Integer(),
  route: Type.String(),
  rank: Type.Integer(),
  /** Milliseconds until the response is due; negative if it is past its due time. */
  dueInMs: Type.Number(),
  /** Milliseconds until the caller leaves unless the first chunk has arrived; starting the request later is useless. */
  uselessInMs: Type.Number(),
  /** Milliseconds until the caller leaves in any case. */
  leavesInMs: Type.Number(),
  promptTokens: Type.Number(),
  maxTokens: Type.Number(),
  /** Ids and token counts of the prompt's segments, in order. */
  parts: Type.Array(Type.Tuple([Type.String(), Type.Number()])),
  /** Whether the owner may decline because the engine is busy; the sender then tries another engine rather than wait. */
  mayDecline: Type.Boolean(),
  /** Whether the request goes on with a stream, which comes before those that begin. */
  isResumed: Type.Optional(Type.Boolean()),
  /** Whether the request is to the host that grants requests to a limited endpoint in place of its owner. */
  isForLimit: Type.Optional(Type.Boolean()),
  /** Whether the request is to the host that grants places at an endpoint of a plain service. */
  isForDispatch: Type.Optional(Type.Boolean()),
  /** Milliseconds in which the best of the endpoints that declined the request before would answer it; absent if none did. */
  elsewhereMs: Type.Optional(Type.Number()),
  /** Name of the client account that the request is of; absent if there are no accounts. */
  account: Type.Optional(Type.String()),
  /** What the sender knows of the endpoint's limit, as the owner may have missed it; absent if it has named none. */
  limit: Type.Optional(limitStatementSchema)
})
export type ReservationRequest = Static<typeof reservationRequestSchema>

/** Load of an engine as known to its owner. */
export const engineLoadSchema = Type.Object({
  /** Fraction of the engine's time spent on prefill. */
  use: Type.Number(),
  /** Milliseconds until the prefill of a prompt that is sent now begins. */
  backlogMs: Type.Number(),
  /** Fraction of the batch slots in use. */
  batchPart: Type.Number()
})
export type EngineLoad = Static<typeof engineLoadSchema>

export const reservationGrantSchema = Type.Object({
  type: Type.Literal('grant'),
  id: Type.Integer(),
  load: engineLoadSchema,
  /** Milliseconds that the reservation request waited at the owner. */
  waitedMs: Type.Number(),
  /** Version of the adapter that is loaded; 0 if unknown. */
  version: Type.Integer(),
  /** Milliseconds in which a request that comes now would be answered; only at endpoints of plain services. */
  answerMs: Type.Optional(Type.Number())
})

export const reservationQueuedSchema = Type.Object({
  type: Type.Literal('queued'),
  id: Type.Integer(),
  /** Expected time until the grant, in milliseconds. */
  expectedMs: Type.Number()
})

/** The owner grants no reservation at present. */
export const reservationRefusalSchema = Type.Object({
  type: Type.Literal('refusal'),
  id: Type.Integer(),
  code: Type.String(),
  message: Type.String(),
  retryAfterMs: Type.Number(),
  /** Expected time in milliseconds until its prefill would end here if it waited nevertheless; -1 if it cannot run here now. */
  expectedMs: Type.Number(),
  load: Type.Optional(engineLoadSchema),
  /** Another engine that recently served the adapter's requests. */
  elsewhere: Type.Optional(Type.String())
})

/** How a reservation ended. */
export const releaseOutcomeSchema = Type.Union([
  Type.Literal('served'),
  Type.Literal('failed'),
  Type.Literal('broken'),
  /** The endpoint did not run the request because the adapter is not loaded there. */
  Type.Literal('missing'),
  Type.Literal('rejected'),
  /** No connection to the endpoint could be opened. */
  Type.Literal('unreachable'),
  /** The reservation was not used, or the caller left. */
  Type.Literal('withdrawn')
])
export type ReleaseOutcome = Static<typeof releaseOutcomeSchema>

export const reservationReleaseSchema = Type.Object({
  type: Type.Literal('done'),
  id: Type.Integer(),
  endpointId: Type.String(),
  outcome: releaseOutcomeSchema,
  /** Milliseconds from sending the request to the first chunk of its response; -1 if none arrived. */
  firstPartMs: Type.Number(),
  /** How many times as long as usual work took on the endpoint's machine as its response began; absent if it did not report it. */
  slowness: Type.Optional(Type.Number()),
  /** Milliseconds from sending the request to the end of its response; absent if it was not served. */
  tookMs: Type.Optional(Type.Number()),
  /** Requests that ran and waited at the endpoint as its response began; absent if it did not report its slowness. */
  busy: Type.Optional(Type.Number())
})
/** What the holder of a reservation measured of the endpoint. */
export type ReservationFigures = Pick<Static<typeof reservationReleaseSchema>, 'slowness' | 'tookMs' | 'busy'>
export type ReservationRelease = Static<typeof reservationReleaseSchema>

/** Reports to a new owner of an endpoint which requests of this host run there. */
export const runningRequestsReportSchema = Type.Object({
  type: Type.Literal('held'),
  endpointId: Type.String(),
  places: Type.Array(Type.Object({
    id: Type.Integer(),
    model: Type.String(),
    adapter: Type.String(),
    version: Type.Integer(),
    leavesInMs: Type.Number()
  }))
})
export type RunningRequestsReport = Static<typeof runningRequestsReportSchema>

/**
 * Notifies all hosts of a suspect content or prompt part, beneath which endpoints crashed. Sent ahead of the rows in the store
 * that record the same, and also while these cannot be written. The optional fields are present for prompt parts alone.
 */
export const suspectMessageSchema = Type.Object({
  type: Type.Literal('suspect'),
  /** Fingerprint of the content, or of the part as `formatPartFingerprint` returns it. */
  fingerprint: Type.String(),
  crashes: Type.Array(Type.String()),
  /** Content fingerprint of the latest of the requests with the part. */
  request: Type.Optional(Type.String()),
  /** How long before the crash that request had been sent, in milliseconds. */
  sentAgoMs: Type.Optional(Type.Number()),
  /** Number of answers that the sender knows to have begun on the part. */
  served: Type.Optional(Type.Integer()),
  /** Whether an answer has begun on the part since the crashes that the sender knows. */
  isSound: Type.Optional(Type.Boolean())
})
export type SuspectMessage = Static<typeof suspectMessageSchema>

/** Notifies the owner of an adapter's preferred engine which other engine served a request for the adapter. */
export const servedElsewhereSchema = Type.Object({
  type: Type.Literal('placed'),
  /** The preferred engine. */
  endpointId: Type.String(),
  model: Type.String(),
  adapter: Type.String(),
  takenBy: Type.String()
})
export type ServedElsewhere = Static<typeof servedElsewhereSchema>

/** Notifies an engine's owner that the engine notified a proxy that it is leaving. */
export const endpointLeavingSchema = Type.Object({
  type: Type.Literal('leaving'),
  endpointId: Type.String(),
  /** Start time of the engine process that said so, in Unix milliseconds. */
  startedAtMs: Type.Number()
})
export type EndpointLeaving = Static<typeof endpointLeavingSchema>

/** Confirms `done` messages, so that they are not sent again. */
export const releaseConfirmationSchema = Type.Object({ type: Type.Literal('doneReceived'), ids: Type.Array(Type.Integer()) })

/** Checks whether a host's process is running; the reply returns `echo`. */
export const pingSchema = Type.Object({
  type: Type.Literal('ping'),
  echo: Type.Integer(),
  /** A service whose software versions are asked for. */
  service: Type.Optional(Type.String()),
  /** Asks a witness of the sender's lease to confirm an outage of the store; the sender's last confirmed renewal. */
  outage: Type.Optional(Type.Object({ renewal: Type.Integer() })),
  /** Asks a witness of another host's lease to confirm that it has expired. */
  expiry: Type.Optional(Type.Object({ host: Type.String(), session: Type.String(), renewal: Type.Integer() }))
})
export type Ping = Static<typeof pingSchema>
export const pongSchema = Type.Object({
  type: Type.Literal('pong'),
  echo: Type.Integer(),
  session: Type.String(),
  /** Milliseconds since the host itself last reached the store. */
  storeAgeMs: Type.Number(),
  /** Software versions of the service that was asked for, as the host knows them; hosts of earlier versions leave it out. */
  softwareVersions: Type.Optional(Type.Array(Type.String())),
  /** Milliseconds since the host's view last matched the store, where versions were asked for; hosts of earlier versions leave it out. */
  viewAgeMs: Type.Optional(Type.Number()),
  /** Whether the host confirms the outage or the expiry; absent where it was not asked or does not. */
  confirmsOutage: Type.Optional(Type.Boolean()),
  confirmsExpiry: Type.Optional(Type.Boolean())
})

/** A host asks the renewal collector to write its renewal; a repeated request with the same id is written once. */
export const renewalRequestSchema = Type.Object({
  type: Type.Literal('renew'),
  id: Type.Integer(),
  renewal: Type.Integer(),
  /** Version of the host's renewal row in the store. */
  version: Type.Integer(),
  /** Era of the store in which the row has that version; hosts of earlier versions leave it out. */
  era: Type.Optional(Type.Integer())
})
export type RenewalRequest = Static<typeof renewalRequestSchema>

/** The renewal is queued to be written in one batch with others. */
export const renewalQueuedSchema = Type.Object({
  type: Type.Literal('renewalQueued'),
  id: Type.Integer(),
  /** Time until it is written, in milliseconds. */
  inMs: Type.Number()
})

export const renewalResultSchema = Type.Object({
  type: Type.Literal('renewed'),
  id: Type.Integer(),
  verdict: Type.Union([Type.Literal('applied'), Type.Literal('conflict'), Type.Literal('failed')]),
  /** Version of the renewal row in the store if it was written or differs from the expected one; 0 if there is none. */
  version: Type.Integer(),
  /** Latest era of the store that the collector knows; hosts of earlier versions leave it out. */
  era: Type.Optional(Type.Integer()),
  /** The row that is in the store instead. */
  current: Type.Optional(Type.Object({ session: Type.String(), renewal: Type.Integer() }))
})
export type RenewalResult = Static<typeof renewalResultSchema>
export type RenewalReply = Static<typeof renewalQueuedSchema> | RenewalResult

/** A host reports what it spent of accounts, and what it needs, to the host that grants tokens of their quotas. */
export const quotaReportSchema = Type.Object({
  type: Type.Literal('quotaReport'),
  id: Type.Integer(),
  group: Type.Integer(),
  accounts: Type.Array(Type.Object({
    account: Type.String(),
    /** Number of the lease that `spent` and `returned` are sums over; 0 if the host has none. */
    epoch: Type.Integer(),
    spent: Type.Number({ minimum: 0 }),
    returned: Type.Number({ minimum: 0 }),
    wanted: Type.Number({ minimum: 0 }),
    target: Type.Number({ minimum: 0 }),
    unit: Type.Number({ minimum: 0 })
  }))
})
export type QuotaReport = Static<typeof quotaReportSchema>

/** Reply to a report; `isGranter` is false and the list empty if the host grants none of the group at present. */
export const quotaGrantSchema = Type.Object({
  type: Type.Literal('quotaGrant'),
  id: Type.Integer(),
  isGranter: Type.Boolean(),
  accounts: Type.Array(Type.Object({
    account: Type.String(),
    epoch: Type.Integer(),
    /** Sum over the lease. */
    granted: Type.Number(),
    /** Milliseconds until the tokens return that were not granted; absent if all were. */
    availableInMs: Type.Optional(Type.Number())
  }))
})
export type QuotaGrant = Static<typeof quotaGrantSchema>

/** A granter of quotas notifies its deputy that it grants; `echo` returns with the acknowledgement. */
export const quotaAliveSchema = Type.Object({ type: Type.Literal('quotaAlive'), group: Type.Integer(), echo: Type.Integer() })
export const quotaAliveReceivedSchema = Type.Object({ type: Type.Literal('quotaAliveReceived'), group: Type.Integer(), echo: Type.Integer() })
export type QuotaMessage = QuotaReport | QuotaGrant | Static<typeof quotaAliveSchema> | Static<typeof quotaAliveReceivedSchema>

export const hostMessageSchema = Type.Union([
  reservationRequestSchema, reservationGrantSchema, reservationQueuedSchema, reservationRefusalSchema, reservationReleaseSchema, runningRequestsReportSchema, suspectMessageSchema, servedElsewhereSchema, endpointLeavingSchema, endpointLimitChangeSchema, streamRecordsSchema, streamRecordsSavedSchema, releaseConfirmationSchema, pingSchema, pongSchema,
  renewalRequestSchema, renewalQueuedSchema, renewalResultSchema,
  quotaReportSchema, quotaGrantSchema, quotaAliveSchema, quotaAliveReceivedSchema
])
export type HostMessage = Static<typeof hostMessageSchema>
export type ReservationReply = Static<typeof reservationGrantSchema> | Static<typeof reservationQueuedSchema> | Static<typeof reservationRefusalSchema>

/**
 * One datagram: messages of one turn of the event loop, with the sender's session. The session allows the receiver to drop
 * replies to a former process of its host.
 */
export const datagramSchema = Type.Object({
  host: Type.String(),
  session: Type.String(),
  /** Each is checked by itself against `hostMessageSchema`, so that one that is invalid or of a later version costs no others. */
  messages: Type.Array(Type.Unknown())
})
export type Datagram = Static<typeof datagramSchema>
