/** What the scheduler asks of the ownership of endpoints. */
import type { EngineReport } from '../../ports/engine.js'
import type { EngineEntry } from '../../schemas/hostList.js'

/** Told to the scheduler as it happens. */
export type OwnershipEvent =
  /** The host owns the endpoint now; of the handles on it, only those in `adoptableHandles` may get requests. */
  | { type: 'gained', entry: EngineEntry, fencing: number, adoptableHandles: string[] }
  /** The list's entry of an owned endpoint changed, such as to leaving. */
  | { type: 'changed', entry: EngineEntry }
  /** The host shall drain the endpoint and then call `release`, so that another host can own it. */
  | { type: 'yielding', endpointId: string, reason: string }
  /** The host must give the endpoint no further order or request; `release` is called when what runs has ended. */
  | { type: 'lost', endpointId: string, reason: string }

export interface OwnedEndpoint {
  endpointId: string
  fencing: number
}

export interface EndpointOwner {
  endpointId: string
  /** Undefined where nobody owns the endpoint. */
  hostId: string | undefined
  fencing: number
}

export interface Ownership {
  start: () => void
  /** Takes no more endpoints from now on; those that are owned stay so. */
  leave: () => void
  /** Hands an endpoint over, or confirms that a lost one is no longer used; resolves when that is written, or cannot be. */
  release: (endpointId: string, fencing: number) => Promise<void>
  /** Hands every endpoint over; resolves when that is written, or cannot be. */
  stop: () => Promise<void>
  listOwned: () => OwnedEndpoint[]
  /** Lists every endpoint with its owner as last read, in order of name. */
  listOwners: () => EndpointOwner[]
  /** Whether the table has given no answer for so long that peers should be told. */
  hasOutage: () => boolean
  /** Whether the host may give an order or a request to the endpoint at this moment. */
  isOwner: (endpointId: string) => boolean
  /** Makes the handle of a new load; undefined where the endpoint is not owned. */
  createHandle: (endpointId: string, adapter: string, version: string) => string | undefined
  /** Writes the intent to unload a handle; the order may be sent only where this resolves to true. */
  writeUnloadIntent: (endpointId: string, handle: string) => Promise<boolean>
  /** Takes a report of the engine; `readAtMs` is the time before it was asked for. */
  recordReport: (endpointId: string, report: EngineReport, readAtMs: number) => void
  /** Whether an unload of the handle is allowed as far as is known; a handle of a former owner may have to stay. */
  mayUnload: (endpointId: string, handle: string) => boolean
  /** Lists handles that nobody uses and that may be unloaded without an intent. */
  listRemovable: (endpointId: string) => string[]
}

export type SendOwnershipEvent = (event: OwnershipEvent) => void
