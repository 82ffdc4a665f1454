/** Runs transactions on the platform's table and resolves the outcome of those whose response was lost. */
import { randomUUID } from 'node:crypto'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { maxTransactionRows } from '../../ports/table.js'
import type { Table, TableRow, Transaction } from '../../ports/table.js'

const log = createLog('table')
const tokenKeyPrefix = 'tokens/'
const defaultResolveTimeoutMs = 3000
const resolvePollIntervalMs = 200
/** Rows of a transaction that are reserved for its own token and for removing the tokens of resolved writes. */
const reservedTokenRows = 20

/** Most rows that a user of `TableWriter` may write in one transaction. */
export const maxWriteRows = maxTransactionRows - reservedTokenRows

export type TableWrite = Pick<Transaction, 'checks' | 'writes'>

/** A write whose outcome is not known yet. */
export interface PendingWrite {
  readonly token: string
}

export type WriteResult =
  | { verdict: 'applied', version: number }
  /** A check failed; `conflicts` holds the current rows of the failed checks, without absent rows. */
  | { verdict: 'notApplied', cause: 'conflict', conflicts: TableRow[] }
  /** The table is unavailable; the write was not applied and never will be. */
  | { verdict: 'notApplied', cause: 'unavailable' }
  /** The write may have been applied, or may be applied later; `resolve` finds out. */
  | { verdict: 'unknown', pending: PendingWrite }

/** Finds the outcome of a write whose response was lost; resolves to undefined while it cannot be determined. */
export type FindWriteOutcome = (table: Table, token: string) => Promise<WriteResult | undefined>

export interface TableWriterOptions {
  table: Table
  clock: Clock
  /** Creates tokens that are unique among all writers. */
  createToken?: () => string
  findWriteOutcome?: FindWriteOutcome
  /** How long `write` tries to find the outcome after a lost response before it returns `unknown`. */
  resolveTimeoutMs?: number
}

/** Each transaction also writes a token row, by which the writer can find out later whether it was applied. */
export class TableWriter {
  #table: Table
  #clock: Clock
  #createToken: () => string
  #findWriteOutcome: FindWriteOutcome
  #resolveTimeoutMs: number
  #removableTokens: string[] = []

  constructor (options: TableWriterOptions) {
    this.#table = options.table
    this.#clock = options.clock
    this.#createToken = options.createToken ?? randomUUID
    this.#findWriteOutcome = options.findWriteOutcome ?? findWriteOutcomeByFencing
    this.#resolveTimeoutMs = options.resolveTimeoutMs ?? defaultResolveTimeoutMs
  }

  /**
   * Applies all writes if all checks hold. Rejects only for more than `maxWriteRows` rows.
   *
   * @example
   * const result = await writer.write({ checks: [{ key: 'a', version: 0 }], writes: [{ key: 'a', value: 1 }] })
   * if (result.verdict === 'unknown') await writer.resolve(result.pending, 60_000)
   */
  async write (write: TableWrite): Promise<WriteResult> {
    const token = this.#createToken()
    const removedTokens = this.#removableTokens.splice(0, reservedTokenRows - 1)
    const outcome = await this.#table.transact(createTransaction(token, write, removedTokens))
    if (outcome.verdict === 'applied') {
      this.#removableTokens.push(token)
      return outcome
    }
    this.#removableTokens.push(...removedTokens)
    if (outcome.verdict === 'unknown') return await this.resolve({ token }, this.#resolveTimeoutMs)
    if (outcome.cause === 'unavailable') return { verdict: 'notApplied', cause: 'unavailable' }
    return { verdict: 'notApplied', cause: 'conflict', conflicts: outcome.conflicts }
  }

  /** Finds the outcome of a pending write; `unknown` where it could not be determined within `timeoutMs`. */
  async resolve (pending: PendingWrite, timeoutMs: number): Promise<WriteResult> {
    const deadlineMs = this.#clock.readMonotonic() + timeoutMs
    for (;;) {
      const result = await this.#findWriteOutcome(this.#table, pending.token)
      if (result?.verdict === 'applied') this.#removableTokens.push(pending.token)
      if (result) return result
      if (this.#clock.readMonotonic() + resolvePollIntervalMs > deadlineMs) break
      await new Promise<void>(resolve => { this.#clock.setTimer(resolve, resolvePollIntervalMs) })
    }
    log('The outcome of write "%s" is unknown.', pending.token)
    return { verdict: 'unknown', pending }
  }
}

/**
 * Reads the token row. Where it is absent, the write may still be in progress, so this writes a tombstone under the token's
 * key: the pending write's own check on that key then fails, and the outcome "not applied" is final.
 */
export async function findWriteOutcomeByFencing (table: Table, token: string): Promise<WriteResult | undefined> {
  const key = `${tokenKeyPrefix}${token}`
  try {
    const [found] = await table.readRows([key])
    if (found) return parseTokenRow(found)
  } catch {
    return undefined
  }
  const fence = await table.transact({
    token: `${token}/fence`, checks: [{ key, version: 0 }], writes: [{ key, value: { state: 'fenced' } }]
  })
  if (fence.verdict === 'applied') return { verdict: 'notApplied', cause: 'unavailable' }
  const [found] = fence.verdict === 'notApplied' ? fence.conflicts : []
  return found && parseTokenRow(found)
}

function parseTokenRow (row: TableRow): WriteResult {
  const { state } = row.value as { state: string }
  return state === 'applied' ? { verdict: 'applied', version: row.version } : { verdict: 'notApplied', cause: 'unavailable' }
}

function createTransaction (token: string, write: TableWrite, removedTokens: string[]): Transaction {
  const key = `${tokenKeyPrefix}${token}`
  return {
    token,
    checks: [...write.checks, { key, version: 0 }],
    writes: [
      ...write.writes,
      { key, value: { state: 'applied' } },
      ...removedTokens.map(removedToken => ({ key: `${tokenKeyPrefix}${removedToken}`, value: null }))
    ]
  }
}
