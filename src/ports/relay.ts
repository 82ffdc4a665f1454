/** What hosts do for each other when one of them does not reach the store, or need not. */
import type { MirrorChanges } from '../core/rowMirror.js'
import type { StoreOutcome, StoreTransaction } from './store.js'

export interface RelayedNews extends MirrorChanges {
  /** Milliseconds since the relay, or whom it follows, last heard from the store; `Infinity` where neither ever did. */
  readonly storeAgeMs: number
}

export interface Relay {
  /** Waits up to `waitMs` for changes after a position of the peer's log. Rejects where the peer does not answer. */
  readNews: (address: string, logId: string, position: number, waitMs: number) => Promise<RelayedNews>
  /** Has a peer carry out a transaction on the hosts' own rows. */
  transact: (address: string, transaction: StoreTransaction) => Promise<StoreOutcome>
  close: () => Promise<void>
}
