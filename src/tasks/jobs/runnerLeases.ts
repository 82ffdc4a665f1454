/** The leases of runners: each renews one row, and watches that of others without comparing clocks. */
import { Value } from '@sinclair/typebox/value'
import type { Clock } from '../../ports/clock.js'
import type { Table } from '../../ports/table.js'
import { runnerRowSchema } from '../../schemas/jobRows.js'
import type { BatchWriter } from '../table/batchWriter.js'

export const runnerPrefix = 'jobRunners/'
/** A runner whose counter stood still for this long on the watcher's clock is gone. */
export const leaseTermMs = 20_000
/** Longest time that counts between two reads: while the table was silent, nobody could renew. */
const maxCountedGapMs = 4000

export interface RunnerLeasesOptions {
  /** Unique to this process. */
  runner: string
  hostId: string
  clock: Clock
  table: Table
  batches: Pick<BatchWriter, 'write'>
}

interface WatchedRunner {
  counter: number
  readAtMs: number
  stillMs: number
}

export class RunnerLeases {
  #options: RunnerLeasesOptions
  #counter = 0
  #watched = new Map<string, WatchedRunner>()

  constructor (options: RunnerLeasesOptions) {
    this.#options = options
  }

  /** Renews the lease of this process; false where the table did not confirm it. */
  async renewLease (): Promise<boolean> {
    const { runner, hostId, batches } = this.#options
    const value = { hostId, counter: ++this.#counter }
    const result = await batches.write({ checks: [], writes: [{ key: `${runnerPrefix}${runner}`, value }] })
    return result.verdict === 'applied'
  }

  /** Gives the lease up, so that no watcher has to wait for it. */
  async withdrawLease (): Promise<void> {
    await this.#options.batches.write({ checks: [], writes: [{ key: `${runnerPrefix}${this.#options.runner}`, value: null }] })
  }

  /** Reads the rows of other runners; lists those that are gone. Rejects while the table is down. */
  async findGone (runners: string[]): Promise<Set<string>> {
    const watched = [...new Set(runners)]
    for (const runner of this.#watched.keys()) {
      if (!watched.includes(runner)) this.#watched.delete(runner)
    }
    if (watched.length === 0) return new Set()
    const rows = await this.#options.table.readRows(watched.map(runner => `${runnerPrefix}${runner}`))
    const counters = new Map(rows.map(row => [
      row.key.slice(runnerPrefix.length), Value.Check(runnerRowSchema, row.value) ? row.value.counter : 0
    ]))
    return new Set(watched.filter(runner => this.#isGone(runner, counters.get(runner))))
  }

  /** A runner writes its row before it takes a job and removes it when it holds none any longer. */
  #isGone (runner: string, counter: number | undefined): boolean {
    if (counter === undefined) return true
    const nowMs = this.#options.clock.readMonotonic()
    const before = this.#watched.get(runner)
    const hasMoved = before?.counter !== counter
    const stillMs = !before || hasMoved ? 0 : before.stillMs + Math.min(nowMs - before.readAtMs, maxCountedGapMs)
    this.#watched.set(runner, { counter, readAtMs: nowMs, stillMs })
    return stillMs >= leaseTermMs
  }
}
