/** Runs transactions on the platform's table and finds out what became of those whose answer was lost. */
import { randomUUID } from 'node:crypto'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { maxTransactionRows } from '../../ports/table.js'
import type { Table, TableRow, Transaction } from '../../ports/table.js'

const log = createLog('table')
const tokenPrefix = 'tokens/'
const defaultResolveTimeoutMs = 3000
const resolveIntervalMs = 200
/** Rows of a transaction that are kept free for its own token and for the removal of settled ones. */
const reservedRows = 20

/** Most rows that a caller of `TableWriter` may write in one transaction. */
export const maxWriteRows = maxTransactionRows - reservedRows

export type TableWrite = Pick<Transaction, 'checks' | 'writes'>

/** A write whose fate is not known yet. */
export interface PendingWrite {
  readonly token: string
}

export type WriteResult =
  | { verdict: 'applied', version: number }
  /** A check failed; `conflicts` holds the rows as they are now, without those that are absent. */
  | { verdict: 'notApplied', cause: 'conflict', conflicts: TableRow[] }
  /** The table gave no answer; the write did not take effect and never will. */
  | { verdict: 'notApplied', cause: 'unavailable' }
  /** The write may have taken effect, or may yet; `resolve` tells later. */
  | { verdict: 'unknown', pending: PendingWrite }

/** What became of a write whose answer was lost; undefined while nobody can tell. */
export type FindFate = (table: Table, token: string) => Promise<WriteResult | undefined>

export interface TableWriterOptions {
  table: Table
  clock: Clock
  /** Makes tokens that no other writer makes. */
  createToken?: () => string
  findFate?: FindFate
  /** How long `write` tries to find out about a lost answer before it says `unknown`. */
  resolveTimeoutMs?: number
}

/** Each transaction carries a token row of its own, by which the writer recognises it afterwards. */
export class TableWriter {
  #table: Table
  #clock: Clock
  #createToken: () => string
  #findFate: FindFate
  #resolveTimeoutMs: number
  #settledTokens: string[] = []

  constructor (options: TableWriterOptions) {
    this.#table = options.table
    this.#clock = options.clock
    this.#createToken = options.createToken ?? randomUUID
    this.#findFate = options.findFate ?? findFateByFencing
    this.#resolveTimeoutMs = options.resolveTimeoutMs ?? defaultResolveTimeoutMs
  }

  /**
   * Applies all writes if all checks hold. Never rejects, but for more than `maxWriteRows` rows.
   *
   * @example
   * const result = await writer.write({ checks: [{ key: 'a', version: 0 }], writes: [{ key: 'a', value: 1 }] })
   * if (result.verdict === 'unknown') await writer.resolve(result.pending, 60_000)
   */
  async write (write: TableWrite): Promise<WriteResult> {
    const token = this.#createToken()
    const removedTokens = this.#settledTokens.splice(0, reservedRows - 1)
    const outcome = await this.#table.transact(createTransaction(token, write, removedTokens))
    if (outcome.verdict === 'applied') {
      this.#settledTokens.push(token)
      return outcome
    }
    this.#settledTokens.push(...removedTokens)
    if (outcome.verdict === 'unknown') return await this.resolve({ token }, this.#resolveTimeoutMs)
    if (outcome.cause === 'unavailable') return { verdict: 'notApplied', cause: 'unavailable' }
    return { verdict: 'notApplied', cause: 'conflict', conflicts: outcome.conflicts }
  }

  /** Finds out what became of a pending write; still `unknown` where the table gave no answer in the time. */
  async resolve (pending: PendingWrite, timeoutMs: number): Promise<WriteResult> {
    const endMs = this.#clock.readMonotonic() + timeoutMs
    for (;;) {
      const result = await this.#findFate(this.#table, pending.token)
      if (result?.verdict === 'applied') this.#settledTokens.push(pending.token)
      if (result) return result
      if (this.#clock.readMonotonic() + resolveIntervalMs > endMs) break
      await new Promise<void>(resolve => { this.#clock.setTimer(resolve, resolveIntervalMs) })
    }
    log('The fate of the write "%s" is unknown.', pending.token)
    return { verdict: 'unknown', pending }
  }
}

/**
 * Reads the token back. Where it is absent the write may still be under way: a tombstone on the token makes the write's
 * own check fail from then on, so that "not applied" stays true.
 */
export async function findFateByFencing (table: Table, token: string): Promise<WriteResult | undefined> {
  const key = `${tokenPrefix}${token}`
  try {
    const [found] = await table.readRows([key])
    if (found) return readFate(found)
  } catch {
    return undefined
  }
  const fence = await table.transact({
    token: `${token}/fence`, checks: [{ key, version: 0 }], writes: [{ key, value: { state: 'fenced' } }]
  })
  if (fence.verdict === 'applied') return { verdict: 'notApplied', cause: 'unavailable' }
  const [found] = fence.verdict === 'notApplied' ? fence.conflicts : []
  return found && readFate(found)
}

function readFate (row: TableRow): WriteResult {
  const { state } = row.value as { state: string }
  return state === 'applied' ? { verdict: 'applied', version: row.version } : { verdict: 'notApplied', cause: 'unavailable' }
}

function createTransaction (token: string, write: TableWrite, removedTokens: string[]): Transaction {
  const key = `${tokenPrefix}${token}`
  return {
    token,
    checks: [...write.checks, { key, version: 0 }],
    writes: [
      ...write.writes,
      { key, value: { state: 'applied' } },
      ...removedTokens.map(settled => ({ key: `${tokenPrefix}${settled}`, value: null }))
    ]
  }
}
