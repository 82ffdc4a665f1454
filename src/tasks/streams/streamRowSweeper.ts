/** Removes rows of streams that can no longer be taken up. */
import { streamTtlMs } from '../../core/begunStreams.js'
import { rankStreamRecorders } from '../../core/streamRecorders.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { Store } from '../../ports/store.js'
import type { HostRow } from '../../schemas/hostRows.js'
import { streamsTable } from '../../schemas/streamRows.js'

export interface StreamRowSweeperOptions {
  clock: Clock
  log: EventLog
  own: { host: string }
  listHosts: () => readonly HostRow[]
  store: Pick<Store, 'readTable'>
  /** Whether a service has several software versions, so that there may be new rows. */
  isMixed: () => boolean
  remove: (keys: readonly string[]) => void
}

/** Rows that are there in two sweeps are older than this, whatever the clocks of the hosts that wrote them. */
const sweepIntervalMs = streamTtlMs

export class StreamRowSweeper {
  #options: StreamRowSweeperOptions
  #timer: Timer | undefined
  /** Versions of the rows that the last sweep found, by key; undefined if rows may be left that no sweep has found. */
  #found: Map<string, number> | undefined

  constructor (options: StreamRowSweeperOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = this.#options.clock.setTimer(() => {
      this.#sweep()
      this.start()
    }, sweepIntervalMs)
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Forgets what the last sweep found: after a restore of the store its versions may belong to other rows. */
  beginEra (): void {
    this.#found = undefined
  }

  async #sweep (): Promise<void> {
    const { isMixed, listHosts, log, own, remove, store } = this.#options
    if (rankStreamRecorders('', listHosts())[0]?.host !== own.host || (this.#found?.size === 0 && !isMixed())) return
    try {
      const { rows } = await store.readTable(streamsTable)
      const old = rows.filter(row => this.#found?.get(row.key) === row.version).map(({ key }) => key)
      this.#found = new Map(rows.filter(({ key }) => !old.includes(key)).map(({ key, version }) => [key, version]))
      if (old.length === 0) return
      remove(old)
      log.record('stream.rowsRemoved', 'Removed rows of streams that can no longer be taken up.', { rows: old.length })
    } catch (error) {
      log.record('stream.sweepFailed', 'Could not read the rows of streams; trying again at the next interval.', { error: (error as Error).message })
    }
  }
}
