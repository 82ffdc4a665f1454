/** The platform's row store, which holds the state that all hosts share and that must be durable. */

export interface StoreRow {
  readonly table: string
  readonly key: string
  /** Increases with each transaction of the whole store, so it is also used as a fencing token. */
  readonly version: number
  /** Undefined if the row was removed. */
  readonly value: Uint8Array | undefined
}

export interface StoreTableSnapshot {
  readonly rows: StoreRow[]
  /** Latest version of the store when it responded. */
  readonly version: number
}

export type StoreChanges =
  | { readonly isComplete: true, readonly rows: StoreRow[], readonly version: number }
  /** The store no longer has the history since the requested version; the whole table must be read again. */
  | { readonly isComplete: false }

export interface RowCheck {
  readonly table: string
  readonly key: string
  /** Version that the row must have; 0 means that it must be absent. */
  readonly version: number
}

export interface StoreTransaction {
  readonly checks: RowCheck[]
  readonly writes: { table: string, key: string, value: Uint8Array }[]
  readonly removals: { table: string, key: string }[]
}

/** `unknown`: the response was lost; the transaction may have been applied, or may be applied later. */
export type StoreOutcome =
  | { readonly verdict: 'applied', readonly version: number }
  | { readonly verdict: 'conflict', readonly rows: StoreRow[] }
  | { readonly verdict: 'notApplied', readonly reason: string }
  | { readonly verdict: 'unknown', readonly reason: string }

export interface Store {
  /** Reads a whole table. Rejects if the store does not respond. */
  readTable: (table: string) => Promise<StoreTableSnapshot>
  /** Reads one row; undefined if there is none. Rejects if the store does not respond within `timeoutMs`. */
  readRow: (table: string, key: string, timeoutMs: number) => Promise<StoreRow | undefined>
  /** Waits up to `waitMs` for rows that changed after a version. Rejects if the store does not respond within `responseMs` more. */
  watchTable: (table: string, afterVersion: number, waitMs: number, responseMs: number) => Promise<StoreChanges>
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  close: () => Promise<void>
}
