/** Rows through which schedulers agree on the owner of each endpoint. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

/** One process of a scheduler; `session` differs after every restart. */
export const holderSchema = Type.Object({ hostId: Type.String(), session: Type.String() })
export type Holder = Static<typeof holderSchema>

export const heldLeaseSchema = Type.Object({ endpointId: Type.String(), fencing: Type.Integer() })
export type HeldLease = Static<typeof heldLeaseSchema>

/** An earlier process with the same host name, as last recorded in its row. */
export const predecessorSchema = Type.Object({
  session: Type.String(),
  counter: Type.Integer(),
  witnesses: Type.Array(Type.String())
})
export type Predecessor = Static<typeof predecessorSchema>

/** The single row that a scheduler renews for all its leases. */
export const schedulerRowSchema = Type.Object({
  hostId: Type.String(),
  session: Type.String(),
  zone: Type.String(),
  /** Increases with each renewal. */
  counter: Type.Integer(),
  isLeaving: Type.Boolean(),
  /** Hosts, including the holder; more than half of them must report an outage before the holder continues to serve during it. */
  witnesses: Type.Array(Type.String()),
  /** Leases under which the holder may still have a request on an endpoint. */
  held: Type.Array(heldLeaseSchema),
  /** Processes whose rows this process has overwritten, the latest one last. */
  predecessors: Type.Optional(Type.Array(predecessorSchema))
})
export type SchedulerRow = Static<typeof schedulerRowSchema>

/** A former owner that may still be sending requests to the handles that it loaded. */
export const formerOwnerSchema = Type.Object({
  hostId: Type.String(),
  session: Type.String(),
  fencing: Type.Integer()
})
export type FormerOwner = Static<typeof formerOwnerSchema>

export const endpointRowSchema = Type.Object({
  endpointId: Type.String(),
  /** Absent while the endpoint has no owner. */
  owner: Type.Optional(holderSchema),
  /** Increases with each change of owner. */
  fencing: Type.Integer(),
  /** Handles that an owner unloads only after it has removed them from this list; a successor may use only these handles. */
  adoptable: Type.Array(Type.String()),
  former: Type.Array(formerOwnerSchema)
})
export type EndpointRow = Static<typeof endpointRowSchema>

export const ownershipPrefix = 'ownership/'

/** Formats the key of a scheduler's renewal row. */
export function formatSchedulerKey (hostId: string): string {
  return `${ownershipPrefix}host/${hostId}`
}

/** Formats the key of an endpoint's row. */
export function formatEndpointKey (endpointId: string): string {
  return `${ownershipPrefix}endpoint/${endpointId}`
}
