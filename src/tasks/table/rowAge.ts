/** Tells the age of rows without comparing clocks between hosts. */
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import type { Clock } from '../../ports/clock.js'
import type { Table, TableRow } from '../../ports/table.js'
import type { TableWriter } from './tableWriter.js'

const epochKey = 'epochs'
/** An epoch lasts at least this long on the monotonic clock of the host that ends it. */
export const epochMs = 30 * 60 * 1000
/** Epochs that the row remembers: a week. */
const maxEpochs = 7 * 48

const epochsSchema = Type.Object({
  /** Table versions at which the epochs before the current one began, oldest first. */
  starts: Type.Array(Type.Integer())
})

export interface RowAgeOptions {
  clock: Clock
  table: Table
  writer: Pick<TableWriter, 'write'>
}

/**
 * A row's version orders it among all writes of the table. Hosts share one row of epochs; a host that has seen it stand
 * still for `epochMs` on its own clock begins a new epoch. So whatever was written before an epoch began is older than the
 * whole epochs since.
 */
export class RowAge {
  #options: RowAgeOptions
  #seen: { version: number, atMs: number } | undefined
  /** Versions at which epochs began, the current one last. */
  #starts: number[] = []

  constructor (options: RowAgeOptions) {
    this.#options = options
  }

  /** Reads the row and begins a new epoch where it is time; true where this host did so. Rejects while the table is down. */
  async update (): Promise<boolean> {
    const { clock, table, writer } = this.#options
    const nowMs = clock.readMonotonic()
    const [row] = await table.readRows([epochKey])
    const version = row?.version ?? 0
    const before = row ? readStarts(row) : []
    this.#starts = row ? [...before, version] : []
    if (this.#seen?.version !== version) this.#seen = { version, atMs: nowMs }
    if (row && nowMs - this.#seen.atMs < epochMs) return false
    const result = await writer.write({
      checks: [{ key: epochKey, version }], writes: [{ key: epochKey, value: { starts: this.#starts.slice(-maxEpochs) } }]
    })
    return result.verdict === 'applied'
  }

  /**
   * Tells whether a row was last written at least `ageMs` ago; never true too early.
   *
   * @example
   * if (age.isOlderThan(row, claimLifeMs)) remove(row)
   */
  isOlderThan (row: TableRow, ageMs: number): boolean {
    const epochs = Math.ceil(ageMs / epochMs)
    const start = this.#starts[this.#starts.length - 1 - epochs]
    return start !== undefined && row.version < start
  }
}

function readStarts (row: TableRow): number[] {
  return Value.Check(epochsSchema, row.value) ? row.value.starts : []
}
