/** Leases of job runners: each runner renews a row of its own and watches those of others without comparing wall clocks. */
import { Value } from '@sinclair/typebox/value'
import type { Clock } from '../../ports/clock.js'
import type { Table } from '../../ports/table.js'
import { runnerRowSchema } from '../../schemas/jobRows.js'
import type { BatchWriter } from '../table/batchWriter.js'

export const runnerPrefix = 'jobRunners/'
/** A runner's lease has expired once its renewal counter has not changed for this long on the watcher's monotonic clock. */
export const runnerLeaseDurationMs = 20_000
/** Upper bound on the time that one gap between two reads adds: while the table was unavailable, no runner could renew. */
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
  stalledMs: number
}

export class RunnerLeases {
  #options: RunnerLeasesOptions
  #counter = 0
  #watched = new Map<string, WatchedRunner>()

  constructor (options: RunnerLeasesOptions) {
    this.#options = options
  }

  /** Renews the lease of this process; returns false if the table did not confirm the write. */
  async renewLease (): Promise<boolean> {
    const { runner, hostId, batches } = this.#options
    const value = { hostId, counter: ++this.#counter }
    const result = await batches.write({ checks: [], writes: [{ key: `${runnerPrefix}${runner}`, value }] })
    return result.verdict === 'applied'
  }

  /** Removes the lease, so that other runners need not wait for it to expire. */
  async withdrawLease (): Promise<void> {
    await this.#options.batches.write({ checks: [], writes: [{ key: `${runnerPrefix}${this.#options.runner}`, value: null }] })
  }

  /** Returns those of the given runners whose lease row is missing or expired. Rejects while the table is unavailable. */
  async findExpiredRunners (runners: string[]): Promise<Set<string>> {
    const watchedRunners = [...new Set(runners)]
    for (const runner of this.#watched.keys()) {
      if (!watchedRunners.includes(runner)) this.#watched.delete(runner)
    }
    if (watchedRunners.length === 0) return new Set()
    const rows = await this.#options.table.readRows(watchedRunners.map(runner => `${runnerPrefix}${runner}`))
    const counters = new Map(rows.map(row => [
      row.key.slice(runnerPrefix.length), Value.Check(runnerRowSchema, row.value) ? row.value.counter : 0
    ]))
    return new Set(watchedRunners.filter(runner => this.#isExpired(runner, counters.get(runner))))
  }

  /** A runner writes its row before it claims a job and removes it when it stops; a missing row means that it has stopped. */
  #isExpired (runner: string, counter: number | undefined): boolean {
    if (counter === undefined) return true
    const nowMs = this.#options.clock.readMonotonic()
    const previous = this.#watched.get(runner)
    const hasChanged = previous?.counter !== counter
    const stalledMs = !previous || hasChanged ? 0 : previous.stalledMs + Math.min(nowMs - previous.readAtMs, maxCountedGapMs)
    this.#watched.set(runner, { counter, readAtMs: nowMs, stalledMs })
    return stalledMs >= runnerLeaseDurationMs
  }
}
