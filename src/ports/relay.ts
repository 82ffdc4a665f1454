/** Lets a host read cluster updates from a peer, or write through it, when it cannot or need not access the store itself. */
import type { MirrorChanges } from '../core/rowMirror.js'
import type { StoreOutcome, StoreResponse, StoreTransaction } from './store.js'

export interface RelayedUpdates extends MirrorChanges, StoreResponse {
  /** Milliseconds since the relay, or the relay that it reads from, last received data from the store; `Infinity` if neither ever did. */
  readonly storeAgeMs: number
  /** By table, milliseconds since the relay's copy last matched the store; tables that it never read are left out. */
  readonly tableAgesMs: Readonly<Record<string, number>>
}

export interface Relay {
  /** Waits up to `waitMs` for changes after a position in the peer's change log. Rejects if the peer does not respond. */
  readUpdates: (address: string, logId: string, position: number, waitMs: number) => Promise<RelayedUpdates>
  /** Asks a peer to execute a transaction on the hosts' own rows, unless it knows a later era of the store than `era`. */
  transact: (address: string, transaction: StoreTransaction, era?: number) => Promise<StoreOutcome>
  close: () => Promise<void>
}
