/** The interface between the scheduler and the ownership of endpoints. */
import type { EngineReport } from '../../ports/engine.js'
import type { EngineEntry } from '../../schemas/hostList.js'

/** Events that the scheduler is notified of. */
export type OwnershipEvent =
  /** The host now owns the endpoint. Of the handles loaded there, only those in `adoptableHandles` may receive requests. */
  | { type: 'gained', entry: EngineEntry, fencing: number, adoptableHandles: string[] }
  /** The entry of an owned endpoint in the host list has changed, for example to leaving. */
  | { type: 'changed', entry: EngineEntry }
  /** The scheduler must drain the endpoint and then call `release`, so that another host can own it. */
  | { type: 'yielding', endpointId: string, reason: string }
  /** The scheduler must send the endpoint no more orders or requests, and call `release` once its running requests have ended. */
  | { type: 'lost', endpointId: string, reason: string }

export interface OwnedEndpoint {
  endpointId: string
  fencing: number
}

export interface EndpointOwner {
  endpointId: string
  /** Undefined where the endpoint is unowned. */
  hostId: string | undefined
  fencing: number
}

export interface EndpointOwnership {
  start: () => void
  /** Stops claiming endpoints; endpoints that are already owned stay owned. */
  stopClaiming: () => void
  /**
   * Releases an endpoint to a successor, or confirms that a lost one is no longer used. Resolves once the release is written or
   * has failed.
   */
  release: (endpointId: string, fencing: number) => Promise<void>
  /** Releases all endpoints and stops; resolves once the releases are written or have failed. */
  stop: () => Promise<void>
  listOwned: () => OwnedEndpoint[]
  /** Lists all endpoints with their owners as last read, sorted by id. */
  listOwners: () => EndpointOwner[]
  /** Whether the table has not responded for long enough that this host should report it to its peers. */
  hasOutage: () => boolean
  /** Whether the host may send orders and requests to the endpoint now. */
  isOwner: (endpointId: string) => boolean
  /** Creates the handle for a new load; undefined where this host does not own the endpoint. */
  createHandle: (endpointId: string, adapter: string, version: string) => string | undefined
  /** Records the intent to unload a handle; the unload may be ordered only where this resolves to true. */
  writeUnloadIntent: (endpointId: string, handle: string) => Promise<boolean>
  /** Records an engine report; `readAtMs` is the time just before the report was requested. */
  recordReport: (endpointId: string, report: EngineReport, readAtMs: number) => void
  /** Whether the handle may be unloaded, as far as is known; a handle that a former owner may still use must stay loaded. */
  mayUnload: (endpointId: string, handle: string) => boolean
  /** Lists loaded handles that no host uses any more and that may be unloaded without recording an intent. */
  listRemovable: (endpointId: string) => string[]
}

export type SendOwnershipEvent = (event: OwnershipEvent) => void
