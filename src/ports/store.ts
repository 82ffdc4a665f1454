/** The platform's store of rows: what all hosts agree on and what must last. */

export interface StoreRow {
  readonly table: string
  readonly key: string
  /** Rises with each transaction of the whole store, so it also serves as a fencing number. */
  readonly version: number
  /** Undefined where the row was removed. */
  readonly value: Uint8Array | undefined
}

export interface StoreRead {
  readonly rows: StoreRow[]
  /** Newest version of the store when it answered. */
  readonly version: number
}

export type StoreChanges =
  | { readonly isComplete: true, readonly rows: StoreRow[], readonly version: number }
  /** The history since the version that was asked for is gone; the table has to be read whole. */
  | { readonly isComplete: false }

export interface RowCheck {
  readonly table: string
  readonly key: string
  /** Version that the row must have; 0 where it must be absent. */
  readonly version: number
}

export interface StoreTransaction {
  readonly checks: RowCheck[]
  readonly writes: { table: string, key: string, value: Uint8Array }[]
  readonly removals: { table: string, key: string }[]
}

/** `unknown`: the answer was lost; the transaction may have been applied, or may be applied later. */
export type StoreOutcome =
  | { readonly verdict: 'applied', readonly version: number }
  | { readonly verdict: 'conflict', readonly rows: StoreRow[] }
  | { readonly verdict: 'notApplied', readonly reason: string }
  | { readonly verdict: 'unknown', readonly reason: string }

export interface Store {
  /** Reads a table whole. Rejects where the store does not answer. */
  readTable: (table: string) => Promise<StoreRead>
  /** Waits up to `waitMs` for rows that changed after a version. Rejects where the store does not answer. */
  followTable: (table: string, afterVersion: number, waitMs: number) => Promise<StoreChanges>
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  close: () => Promise<void>
}
