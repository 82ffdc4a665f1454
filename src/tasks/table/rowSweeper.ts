/** Removes rows whose retention time has passed. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { maxReadRows } from '../../ports/table.js'
import type { Table, TableRow } from '../../ports/table.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import { RowAgeTracker } from './rowAgeTracker.js'
import { maxWriteRows } from './tableWriter.js'
import type { TableWriter } from './tableWriter.js'

const log = createLog('sweep')
const epochCheckIntervalMs = 60_000

/** A key prefix and how long the rows below it are kept after their last write. */
export interface RetentionRule {
  prefix: string
  lifeMs: number
  /** Whether a row is kept regardless of its age. */
  isExempt?: (row: TableRow) => boolean
  /** Removes data that a row refers to, after the row was removed. */
  removeReferencedData?: (row: TableRow) => Promise<void>
}

export interface RowSweeperOptions {
  clock: Clock
  table: Table
  writer: Pick<TableWriter, 'write'>
  retentionRules: RetentionRule[]
}

/** Sweeps once an epoch, only on the host that began the epoch. */
export class RowSweeper {
  #options: RowSweeperOptions
  #ageTracker: RowAgeTracker
  #repeatedSweep: Repetition | undefined

  constructor (options: RowSweeperOptions) {
    this.#options = options
    this.#ageTracker = new RowAgeTracker(options)
  }

  start (): void {
    this.#repeatedSweep = repeatTask(this.#options.clock, epochCheckIntervalMs, async () => await this.#sweepOnNewEpoch(),
      error => log('Failed to sweep expired rows: %s.', error.message))
  }

  stop (): void {
    this.#repeatedSweep?.stop()
  }

  async #sweepOnNewEpoch (): Promise<void> {
    if (!await this.#ageTracker.beginEpochIfDue()) return
    for (const rule of this.#options.retentionRules) {
      const removed = await this.#sweepRows(rule)
      if (removed > 0) log('Removed %d expired rows below "%s".', removed, rule.prefix)
    }
  }

  async #sweepRows (rule: RetentionRule): Promise<number> {
    let removed = 0
    for (let after = ''; ;) {
      const rows = await this.#options.table.listRows({ prefix: rule.prefix, after, limit: maxReadRows })
      const expired = rows.filter(row => this.#ageTracker.isOlderThan(row, rule.lifeMs) && !rule.isExempt?.(row))
      for (let index = 0; index < expired.length; index += maxWriteRows) {
        removed += await this.#removeRows(rule, expired.slice(index, index + maxWriteRows))
      }
      if (rows.length < maxReadRows) return removed
      after = rows.at(-1)!.key
    }
  }

  async #removeRows (rule: RetentionRule, rows: TableRow[]): Promise<number> {
    const result = await this.#options.writer.write({
      checks: rows.map(({ key, version }) => ({ key, version })), writes: rows.map(({ key }) => ({ key, value: null }))
    })
    if (result.verdict !== 'applied') return 0
    for (const row of rows) await rule.removeReferencedData?.(row)
    return rows.length
  }
}
