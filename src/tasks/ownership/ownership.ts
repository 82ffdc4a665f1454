/** What the scheduler asks of the ownership of endpoints. */
import type { EngineEntry } from '../../schemas/hostList.js'

/** Told to the scheduler as it happens. */
export type OwnershipEvent =
  /** The host owns the endpoint now; handles in `unsafeHandles` must get no request. */
  | { type: 'gained', entry: EngineEntry, fencing: number, unsafeHandles: string[] }
  /** The list's entry of an owned endpoint changed, such as to leaving. */
  | { type: 'changed', entry: EngineEntry }
  /** The host must give the endpoint no further order or request. */
  | { type: 'lost', endpointId: string, reason: string }

export interface OwnedEndpoint {
  endpointId: string
  fencing: number
}

export interface Ownership {
  start: () => void
  /** Hands every endpoint over; resolves when that is written, or cannot be. */
  stop: () => Promise<void>
  listOwned: () => OwnedEndpoint[]
  /** Whether the host may give an order or a request to the endpoint at this moment. */
  isOwner: (endpointId: string) => boolean
  /** Makes the handle of a new load; undefined where the endpoint is not owned. */
  createHandle: (endpointId: string, adapter: string, version: string) => string | undefined
  /** Writes the intent to unload a handle; the order may be sent only where this resolves to true. */
  writeUnloadIntent: (endpointId: string, handle: string) => Promise<boolean>
}

export type SendOwnershipEvent = (event: OwnershipEvent) => void
