/** Messages between hosts: asks for a place at an endpoint, its owner's answers, and what became of the request. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

/** A front asks the owner of an endpoint for a place there. Asked again under the same id, it gets the same answer. */
export const placeAskSchema = Type.Object({
  type: Type.Literal('ask'),
  id: Type.Integer(),
  endpointId: Type.String(),
  requestId: Type.String(),
  model: Type.String(),
  /** Empty for the model itself. */
  adapter: Type.String(),
  /** 0 where no version was declared. */
  version: Type.Integer(),
  route: Type.String(),
  rank: Type.Integer(),
  /** Milliseconds until the answer is late, negative where it is, until a start is of no use, and until the caller leaves. */
  dueInMs: Type.Number(),
  uselessInMs: Type.Number(),
  leavesInMs: Type.Number(),
  promptTokens: Type.Number(),
  maxTokens: Type.Number(),
  /** Ids of the prompt's parts and their tokens, in order. */
  parts: Type.Array(Type.Tuple([Type.String(), Type.Number()])),
  /** Whether the asker would rather go elsewhere than wait here. */
  mayDecline: Type.Boolean()
})
export type PlaceAsk = Static<typeof placeAskSchema>

/** How busy an engine is, as its owner knows it. */
export const deskLoadSchema = Type.Object({
  /** Part of the engine's time that prompts take. */
  use: Type.Number(),
  /** Milliseconds until a prompt that is sent now begins to be read. */
  backlogMs: Type.Number(),
  /** Part of the batch that is taken. */
  batchPart: Type.Number()
})
export type DeskLoad = Static<typeof deskLoadSchema>

export const placeGrantSchema = Type.Object({
  type: Type.Literal('grant'),
  id: Type.Integer(),
  load: deskLoadSchema,
  /** Milliseconds that the ask waited at the owner. */
  waitedMs: Type.Number(),
  /** Version of the adapter that is loaded; 0 where unknown. */
  version: Type.Integer()
})

export const placeQueuedSchema = Type.Object({
  type: Type.Literal('queued'),
  id: Type.Integer(),
  /** When the grant is expected, in milliseconds from now. */
  expectedMs: Type.Number()
})

/** No place here now. */
export const placeRefusalSchema = Type.Object({
  type: Type.Literal('refusal'),
  id: Type.Integer(),
  code: Type.String(),
  message: Type.String(),
  retryAfterMs: Type.Number(),
  /** When the request would start here after all; -1 where it would not. */
  expectedMs: Type.Number(),
  load: Type.Optional(deskLoadSchema),
  /** Another engine that took the adapter's requests of late. */
  elsewhere: Type.Optional(Type.String())
})

/** What became of a place. */
export const placeOutcomeSchema = Type.Union([
  Type.Literal('served'),
  Type.Literal('failed'),
  Type.Literal('broken'),
  /** The endpoint did not run it because the adapter is not there. */
  Type.Literal('missing'),
  Type.Literal('rejected'),
  /** No connection to the endpoint could be made. */
  Type.Literal('unreachable'),
  /** Not used, or the caller left. */
  Type.Literal('withdrawn')
])
export type PlaceOutcome = Static<typeof placeOutcomeSchema>

export const placeDoneSchema = Type.Object({
  type: Type.Literal('done'),
  id: Type.Integer(),
  endpointId: Type.String(),
  outcome: placeOutcomeSchema,
  /** From sending the request to the first part of its answer; -1 where none came. */
  firstPartMs: Type.Number()
})
export type PlaceDone = Static<typeof placeDoneSchema>

/** Tells a new owner of an endpoint which requests of this host run there. */
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

/** Tells all hosts of a content that endpoints went away beneath, ahead of the rows that say so in the store, or while they cannot be written. */
export const suspectSchema = Type.Object({ type: Type.Literal('suspect'), fingerprint: Type.String(), crashes: Type.Array(Type.String()) })

/** Tells an adapter's home which other engine took a request for it. */
export const placedSchema = Type.Object({
  type: Type.Literal('placed'),
  /** The home. */
  endpointId: Type.String(),
  model: Type.String(),
  adapter: Type.String(),
  takenBy: Type.String()
})
export type Placed = Static<typeof placedSchema>

/** An engine told a front that it leaves; told to the engine's owner. */
export const leavingSchema = Type.Object({
  type: Type.Literal('leaving'),
  endpointId: Type.String(),
  /** Start of the process that said so. */
  startedAtMs: Type.Number()
})
export type Leaving = Static<typeof leavingSchema>

/** Confirms outcomes, so that they are not sent again. */
export const doneReceivedSchema = Type.Object({ type: Type.Literal('doneReceived'), ids: Type.Array(Type.Integer()) })

/** Asks whether a host's process runs; `echo` comes back. */
export const pingSchema = Type.Object({ type: Type.Literal('ping'), echo: Type.Integer() })
export const pongSchema = Type.Object({
  type: Type.Literal('pong'),
  echo: Type.Integer(),
  session: Type.String(),
  /** Milliseconds since the host itself last reached the store. */
  storeAgeMs: Type.Number()
})

/** A host asks the one that gathers renewals to write its own; asked again under the same id, it is written once. */
export const renewalAskSchema = Type.Object({
  type: Type.Literal('renew'),
  id: Type.Integer(),
  renewal: Type.Integer(),
  /** Version that the host's renewal has in the store. */
  version: Type.Integer()
})
export type RenewalAsk = Static<typeof renewalAskSchema>

/** The renewal waits for others, to be written with them. */
export const renewalQueuedSchema = Type.Object({
  type: Type.Literal('renewalQueued'),
  id: Type.Integer(),
  /** When it will be written, in milliseconds from now. */
  inMs: Type.Number()
})

export const renewalAnswerSchema = Type.Object({
  type: Type.Literal('renewed'),
  id: Type.Integer(),
  verdict: Type.Union([Type.Literal('applied'), Type.Literal('conflict'), Type.Literal('failed')]),
  /** Version of the renewal in the store, where it was written or is another one than expected; 0 where there is none. */
  version: Type.Integer(),
  /** What stands in the store instead. */
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

/** One datagram: messages of one turn, with the sender's session, so that answers to a former life are dropped. */
export const datagramSchema = Type.Object({
  host: Type.String(),
  session: Type.String(),
  messages: Type.Array(hostMessageSchema)
})
export type Datagram = Static<typeof datagramSchema>
