/** Messages between hosts: reservation requests for an endpoint, replies of its owner, outcomes of requests, pings and renewals. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

/** A proxy requests a reservation from the owner of an endpoint. A repeated request with the same id gets the same reply. */
export const placeAskSchema = Type.Object({
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
  mayDecline: Type.Boolean()
})
export type PlaceAsk = Static<typeof placeAskSchema>

/** Load of an engine as known to its owner. */
export const deskLoadSchema = Type.Object({
  /** Fraction of the engine's time spent on prefill. */
  use: Type.Number(),
  /** Milliseconds until the prefill of a prompt that is sent now begins. */
  backlogMs: Type.Number(),
  /** Fraction of the batch slots in use. */
  batchPart: Type.Number()
})
export type DeskLoad = Static<typeof deskLoadSchema>

export const placeGrantSchema = Type.Object({
  type: Type.Literal('grant'),
  id: Type.Integer(),
  load: deskLoadSchema,
  /** Milliseconds that the reservation request waited at the owner. */
  waitedMs: Type.Number(),
  /** Version of the adapter that is loaded; 0 if unknown. */
  version: Type.Integer()
})

export const placeQueuedSchema = Type.Object({
  type: Type.Literal('queued'),
  id: Type.Integer(),
  /** Expected time until the grant, in milliseconds. */
  expectedMs: Type.Number()
})

/** The owner grants no reservation at present. */
export const placeRefusalSchema = Type.Object({
  type: Type.Literal('refusal'),
  id: Type.Integer(),
  code: Type.String(),
  message: Type.String(),
  retryAfterMs: Type.Number(),
  /** Expected time in milliseconds until its prefill would end here if it waited nevertheless; -1 if it cannot run here now. */
  expectedMs: Type.Number(),
  load: Type.Optional(deskLoadSchema),
  /** Another engine that recently served the adapter's requests. */
  elsewhere: Type.Optional(Type.String())
})

/** How a reservation ended. */
export const placeOutcomeSchema = Type.Union([
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
export type PlaceOutcome = Static<typeof placeOutcomeSchema>

export const placeDoneSchema = Type.Object({
  type: Type.Literal('done'),
  id: Type.Integer(),
  endpointId: Type.String(),
  outcome: placeOutcomeSchema,
  /** Milliseconds from sending the request to the first chunk of its response; -1 if none arrived. */
  firstPartMs: Type.Number()
})
export type PlaceDone = Static<typeof placeDoneSchema>

/** Reports to a new owner of an endpoint which requests of this host run there. */
export const heldSchema = Type.Object({
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
export type Held = Static<typeof heldSchema>

/**
 * Notifies all hosts of suspect content, which was running when endpoints crashed. Sent ahead of the rows in the
 * store that record the same, and also while these cannot be written.
 */
export const suspectSchema = Type.Object({ type: Type.Literal('suspect'), fingerprint: Type.String(), crashes: Type.Array(Type.String()) })

/** Notifies the owner of an adapter's preferred engine which other engine served a request for the adapter. */
export const placedSchema = Type.Object({
  type: Type.Literal('placed'),
  /** The preferred engine. */
  endpointId: Type.String(),
  model: Type.String(),
  adapter: Type.String(),
  takenBy: Type.String()
})
export type Placed = Static<typeof placedSchema>

/** Notifies an engine's owner that the engine told a proxy that it is leaving. */
export const leavingSchema = Type.Object({
  type: Type.Literal('leaving'),
  endpointId: Type.String(),
  /** Start time of the engine process that said so, in Unix milliseconds. */
  startedAtMs: Type.Number()
})
export type Leaving = Static<typeof leavingSchema>

/** Confirms `done` messages, so that they are not sent again. */
export const doneReceivedSchema = Type.Object({ type: Type.Literal('doneReceived'), ids: Type.Array(Type.Integer()) })

/** Checks whether a host's process is running; the reply returns `echo`. */
export const pingSchema = Type.Object({ type: Type.Literal('ping'), echo: Type.Integer() })
export const pongSchema = Type.Object({
  type: Type.Literal('pong'),
  echo: Type.Integer(),
  session: Type.String(),
  /** Milliseconds since the host itself last reached the store. */
  storeAgeMs: Type.Number()
})

/** A host asks the renewal collector to write its renewal; a repeated request with the same id is written once. */
export const renewalAskSchema = Type.Object({
  type: Type.Literal('renew'),
  id: Type.Integer(),
  renewal: Type.Integer(),
  /** Version of the host's renewal row in the store. */
  version: Type.Integer()
})
export type RenewalAsk = Static<typeof renewalAskSchema>

/** The renewal is queued to be written in one batch with others. */
export const renewalQueuedSchema = Type.Object({
  type: Type.Literal('renewalQueued'),
  id: Type.Integer(),
  /** Time until it is written, in milliseconds. */
  inMs: Type.Number()
})

export const renewalAnswerSchema = Type.Object({
  type: Type.Literal('renewed'),
  id: Type.Integer(),
  verdict: Type.Union([Type.Literal('applied'), Type.Literal('conflict'), Type.Literal('failed')]),
  /** Version of the renewal row in the store if it was written or differs from the expected one; 0 if there is none. */
  version: Type.Integer(),
  /** The row that is in the store instead. */
  current: Type.Optional(Type.Object({ session: Type.String(), renewal: Type.Integer() }))
})
export type RenewalAnswer = Static<typeof renewalAnswerSchema>
export type RenewalReply = Static<typeof renewalQueuedSchema> | RenewalAnswer

export const hostMessageSchema = Type.Union([
  placeAskSchema, placeGrantSchema, placeQueuedSchema, placeRefusalSchema, placeDoneSchema, heldSchema, suspectSchema, placedSchema, leavingSchema, doneReceivedSchema, pingSchema, pongSchema,
  renewalAskSchema, renewalQueuedSchema, renewalAnswerSchema
])
export type HostMessage = Static<typeof hostMessageSchema>
export type PlaceAnswer = Static<typeof placeGrantSchema> | Static<typeof placeQueuedSchema> | Static<typeof placeRefusalSchema>

/**
 * One datagram: messages of one turn of the event loop, with the sender's session. The session allows the receiver to drop
 * replies to a former process of its host.
 */
export const datagramSchema = Type.Object({
  host: Type.String(),
  session: Type.String(),
  messages: Type.Array(hostMessageSchema)
})
export type Datagram = Static<typeof datagramSchema>
