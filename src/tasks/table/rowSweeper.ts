/** Removes rows that have outlived their time. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { maxReadRows } from '../../ports/table.js'
import type { Table, TableRow } from '../../ports/table.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import { RowAge } from './rowAge.js'
import { maxWriteRows } from './tableWriter.js'
import type { TableWriter } from './tableWriter.js'

const log = createLog('sweep')
const readIntervalMs = 60_000

/** Rows below a prefix and how long they are kept after their last write. */
export interface SweptRows {
  prefix: string
  lifeMs: number
  /** Rows that stay, however old they are. */
  isKept?: (row: TableRow) => boolean
  /** Removes what belongs to a row once the row has gone. */
  removeBelongings?: (row: TableRow) => Promise<void>
}

export interface RowSweeperOptions {
  clock: Clock
  table: Table
  writer: Pick<TableWriter, 'write'>
  swept: SweptRows[]
}

/** The host that begins an epoch sweeps; the others rest. */
export class RowSweeper {
  #options: RowSweeperOptions
  #age: RowAge
  #repetition: Repetition | undefined

  constructor (options: RowSweeperOptions) {
    this.#options = options
    this.#age = new RowAge(options)
  }

  start (): void {
    this.#repetition = repeatTask(this.#options.clock, readIntervalMs, async () => await this.#sweepOnEpoch(),
      error => log('Old rows were not swept: %s.', error.message))
  }

  stop (): void {
    this.#repetition?.stop()
  }

  async #sweepOnEpoch (): Promise<void> {
    if (!await this.#age.update()) return
    for (const swept of this.#options.swept) {
      const removed = await this.#sweep(swept)
      if (removed > 0) log('%d old rows below "%s" are removed.', removed, swept.prefix)
    }
  }

  async #sweep (swept: SweptRows): Promise<number> {
    let removed = 0
    for (let after = ''; ;) {
      const rows = await this.#options.table.listRows({ prefix: swept.prefix, after, limit: maxReadRows })
      const old = rows.filter(row => this.#age.isOlderThan(row, swept.lifeMs) && !swept.isKept?.(row))
      for (let index = 0; index < old.length; index += maxWriteRows) {
        removed += await this.#removeRows(swept, old.slice(index, index + maxWriteRows))
      }
      if (rows.length < maxReadRows) return removed
      after = rows.at(-1)!.key
    }
  }

  async #removeRows (swept: SweptRows, rows: TableRow[]): Promise<number> {
    const result = await this.#options.writer.write({
      checks: rows.map(({ key, version }) => ({ key, version })), writes: rows.map(({ key }) => ({ key, value: null }))
    })
    if (result.verdict !== 'applied') return 0
    for (const row of rows) await swept.removeBelongings?.(row)
    return rows.length
  }
}
