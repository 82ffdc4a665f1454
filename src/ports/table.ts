/** The platform's transactional table service. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import VError from 'verror'

/** Maximum number of rows that one transaction may write. */
export const maxTransactionRows = 100
/** Maximum size in bytes of the writes of one transaction, encoded as JSON. */
export const maxTransactionBytes = 1024 * 1024
/** Maximum number of rows that one read or one list returns. */
export const maxReadRows = 1000

export const tableRowSchema = Type.Object({
  key: Type.String(),
  value: Type.Unknown(),
  /** Sequence number of the transaction that wrote the row; increases across the whole table. */
  version: Type.Integer(),
  /** Token of the transaction that wrote the row. */
  token: Type.String()
})
export type TableRow = Static<typeof tableRowSchema>

export const rowCheckSchema = Type.Object({
  key: Type.String(),
  /** The version that the row must have; 0 means that it must be absent. */
  version: Type.Integer()
})
export const rowWriteSchema = Type.Object({
  key: Type.String(),
  /** The new value; `null` removes the row. */
  value: Type.Unknown()
})
export const transactionSchema = Type.Object({
  /** Unique to this transaction; lets the writer recognise its own write when it reads the row back. */
  token: Type.String(),
  checks: Type.Array(rowCheckSchema),
  writes: Type.Array(rowWriteSchema)
})
export type Transaction = Static<typeof transactionSchema>

export const transactionOutcomeSchema = Type.Union([
  Type.Object({ verdict: Type.Literal('applied'), version: Type.Integer() }),
  Type.Object({
    verdict: Type.Literal('notApplied'),
    cause: Type.Union([Type.Literal('conflict'), Type.Literal('unavailable')]),
    /** The current rows whose check failed; absent rows are left out. */
    conflicts: Type.Array(tableRowSchema)
  }),
  Type.Object({ verdict: Type.Literal('unknown'), message: Type.String() })
])
/** `unknown` means that the response was lost: the write may have been applied, or may be applied later. */
export type TransactionOutcome = Static<typeof transactionOutcomeSchema>

export interface RowRange {
  prefix: string
  /** Lists keys greater than this one. */
  after: string
  limit: number
}

export interface Table {
  /** Reads at most `maxReadRows` rows by key; absent rows are left out. Rejects with a `PlatformUnavailable` error. */
  readRows: (keys: string[]) => Promise<TableRow[]>
  /** Lists rows in key order, at most `maxReadRows`. Rejects with a `PlatformUnavailable` error. */
  listRows: (range: RowRange) => Promise<TableRow[]>
  /** Applies all writes if all checks pass. Rejects only for a transaction that exceeds the limits, which is a bug in the caller. */
  transact: (transaction: Transaction) => Promise<TransactionOutcome>
}

/** Throws if a transaction exceeds the limits. */
export function checkTransactionSize ({ writes }: Transaction): void {
  if (writes.length > maxTransactionRows) {
    throw new VError('the transaction writes %d rows; the table accepts at most %d', writes.length, maxTransactionRows)
  }
  const bytes = Buffer.byteLength(JSON.stringify(writes))
  if (bytes > maxTransactionBytes) throw new VError('the transaction has %d bytes; the table accepts at most %d', bytes, maxTransactionBytes)
}
