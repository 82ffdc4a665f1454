/** In-memory table service, which the stand-in platform also serves over HTTP. */
import { checkTransactionSize, maxReadRows } from '../../ports/table.js'
import type { RowRange, Table, TableRow, Transaction, TransactionOutcome } from '../../ports/table.js'

/** Holds rows in key order and applies transactions one at a time. */
export class MemoryTable implements Table {
  #rows = new Map<string, TableRow>()
  #sortedKeys: string[] | undefined = []
  #lastVersion = 0

  async readRows (keys: string[]): Promise<TableRow[]> {
    return keys.flatMap(key => this.#rows.get(key) ?? []).map(row => structuredClone(row))
  }

  async listRows (range: RowRange): Promise<TableRow[]> {
    this.#sortedKeys ??= [...this.#rows.keys()].sort()
    const start = range.after > range.prefix ? range.after : range.prefix
    const limit = Math.min(range.limit, maxReadRows)
    const rows: TableRow[] = []
    for (let index = findFirstIndex(this.#sortedKeys, start); index < this.#sortedKeys.length; index++) {
      const key = this.#sortedKeys[index]!
      if (rows.length >= limit || !key.startsWith(range.prefix)) break
      if (key > range.after) rows.push(structuredClone(this.#rows.get(key)!))
    }
    return rows
  }

  async transact (transaction: Transaction): Promise<TransactionOutcome> {
    checkTransactionSize(transaction)
    const failedChecks = transaction.checks.filter(check => (this.#rows.get(check.key)?.version ?? 0) !== check.version)
    if (failedChecks.length > 0) {
      return { verdict: 'notApplied', cause: 'conflict', conflicts: await this.readRows(failedChecks.map(check => check.key)) }
    }
    this.#lastVersion++
    for (const write of transaction.writes) this.#writeRow(write.key, write.value, transaction.token)
    return { verdict: 'applied', version: this.#lastVersion }
  }

  #writeRow (key: string, value: unknown, token: string): void {
    if (value === null) {
      if (this.#rows.delete(key)) this.#sortedKeys = undefined
      return
    }
    if (!this.#rows.has(key)) this.#sortedKeys = undefined
    this.#rows.set(key, { key, value: structuredClone(value), version: this.#lastVersion, token })
  }
}

/** Finds the index of the first key that is not less than `key`, by binary search. */
function findFirstIndex (keys: string[], key: string): number {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (keys[middle]! < key) low = middle + 1
    else high = middle
  }
  return low
}
