/** Determines the age of rows without comparing the clocks of hosts. */
import { Type } from '@sinclair/typebox'
import { Value } from '@sinclair/typebox/value'
import type { Clock } from '../../ports/clock.js'
import type { Table, TableRow } from '../../ports/table.js'
import type { TableWriter } from './tableWriter.js'

const epochKey = 'epochs'
/** Minimum duration of an epoch, on the monotonic clock of the host that ends it. */
export const minEpochMs = 30 * 60 * 1000
/** Most epoch starts that the row keeps: one week. */
const maxStoredEpochs = 7 * 48

const epochsSchema = Type.Object({
  /** Table versions at which the epochs prior to the current one began, oldest first. */
  starts: Type.Array(Type.Integer())
})

export interface RowAgeTrackerOptions {
  clock: Clock
  table: Table
  writer: Pick<TableWriter, 'write'>
}

/**
 * A row's version orders it among all writes of the table. Hosts share one row of epochs; a host that has seen this row
 * unchanged for `minEpochMs` on its own clock begins a new epoch. A row written earlier than the start of an epoch is
 * therefore at least as old as the complete epochs that followed.
 */
export class RowAgeTracker {
  #options: RowAgeTrackerOptions
  #lastSeen: { version: number, atMs: number } | undefined
  /** Versions at which the epochs began, the current epoch last. */
  #epochStarts: number[] = []

  constructor (options: RowAgeTrackerOptions) {
    this.#options = options
  }

  /** Reads the row and begins a new epoch if one is due; true where this host began it. Rejects while the table is down. */
  async beginEpochIfDue (): Promise<boolean> {
    const { clock, table, writer } = this.#options
    const nowMs = clock.readMonotonic()
    const [row] = await table.readRows([epochKey])
    const version = row?.version ?? 0
    const earlierStarts = row ? parseEpochStarts(row) : []
    this.#epochStarts = row ? [...earlierStarts, version] : []
    if (this.#lastSeen?.version !== version) this.#lastSeen = { version, atMs: nowMs }
    if (row && nowMs - this.#lastSeen.atMs < minEpochMs) return false
    const result = await writer.write({
      checks: [{ key: epochKey, version }], writes: [{ key: epochKey, value: { starts: this.#epochStarts.slice(-maxStoredEpochs) } }]
    })
    return result.verdict === 'applied'
  }

  /**
   * Whether a row was last written at least `ageMs` ago. May become true late, but never early.
   *
   * @example
   * if (ageTracker.isOlderThan(row, claimRetentionMs)) remove(row)
   */
  isOlderThan (row: TableRow, ageMs: number): boolean {
    const epochs = Math.ceil(ageMs / minEpochMs)
    const start = this.#epochStarts[this.#epochStarts.length - 1 - epochs]
    return start !== undefined && row.version < start
  }
}

function parseEpochStarts (row: TableRow): number[] {
  return Value.Check(epochsSchema, row.value) ? row.value.starts : []
}
