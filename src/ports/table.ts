/** The platform's transactional table service. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import VError from 'verror'

/** Most rows that one transaction may write. */
export const maxTransactionRows = 100
/** Most bytes that the writes of one transaction may take as JSON. */
export const maxTransactionBytes = 1024 * 1024
/** Most rows that one read or one list returns. */
export const maxReadRows = 1000

export const tableRowSchema = Type.Object({
  key: Type.String(),
  value: Type.Unknown(),
  /** Sequence number of the transaction that wrote the row; rises over the whole table. */
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
  /** Unique to this transaction; lets the writer recognise its own write when it reads back. */
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
    /** The rows whose check failed, as they are now; an absent row is left out. */
    conflicts: Type.Array(tableRowSchema)
  }),
  Type.Object({ verdict: Type.Literal('unknown'), message: Type.String() })
])
/** `unknown` means that the answer was lost: the write may have taken effect, now or later. */
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
  /** Applies all writes if all checks hold. Rejects only for a transaction over the limits, which is a fault of the writer. */
  transact: (transaction: Transaction) => Promise<TransactionOutcome>
}

/** Throws where a transaction is over the limits. */
export function checkTransactionSize ({ writes }: Transaction): void {
  if (writes.length > maxTransactionRows) {
    throw new VError('the transaction writes %d rows; the table takes at most %d', writes.length, maxTransactionRows)
  }
  const bytes = Buffer.byteLength(JSON.stringify(writes))
  if (bytes > maxTransactionBytes) throw new VError('the transaction has %d bytes; the table takes at most %d', bytes, maxTransactionBytes)
}
