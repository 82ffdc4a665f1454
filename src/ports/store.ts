/** The platform's row store, which holds the state that all hosts share and that must be durable. */

export interface StoreRow {
  readonly table: string
  readonly key: string
  /** Increases with each transaction of the whole store, within one era of the store. */
  readonly version: number
  /** Undefined if the row was removed. */
  readonly value: Uint8Array | undefined
}

/** A response of the store. */
export interface StoreResponse {
  /** Rises by one each time that the store is restored from a copy, which lacks its last writes; undefined if it was not named. */
  readonly era?: number | undefined
}

export interface StoreTableSnapshot extends StoreResponse {
  readonly rows: StoreRow[]
  /** Version of the store as of which `rows` is complete; rows that changed while the table was read may be newer. */
  readonly version: number
}

export type StoreChanges = StoreResponse & (
  | { readonly isComplete: true, readonly rows: StoreRow[], readonly version: number }
  /** The store no longer has the history since the requested version; the whole table must be read again. */
  | { readonly isComplete: false }
)

export interface StoreRowRead extends StoreResponse {
  /** Undefined if there is none. */
  readonly row: StoreRow | undefined
}

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
export type StoreOutcome = StoreResponse & (
  | { readonly verdict: 'applied', readonly version: number }
  | { readonly verdict: 'conflict', readonly rows: StoreRow[] }
  | { readonly verdict: 'notApplied', readonly reason: string }
  | { readonly verdict: 'unknown', readonly reason: string }
)

export interface Store {
  /** Reads a whole table. Rejects if the store does not respond. */
  readTable: (table: string) => Promise<StoreTableSnapshot>
  /** Reads one row. Rejects if the store does not respond within `timeoutMs`. */
  readRow: (table: string, key: string, timeoutMs: number) => Promise<StoreRowRead>
  /** Waits up to `waitMs` for rows that changed after a version. Rejects if the store does not respond within `responseMs` more. */
  watchTable: (table: string, afterVersion: number, waitMs: number, responseMs: number) => Promise<StoreChanges>
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  close: () => Promise<void>
}
