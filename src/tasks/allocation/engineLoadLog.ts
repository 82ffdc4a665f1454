/** Logs an engine's load at intervals, so that its free capacity at any time can be looked up later. */
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'

export interface EngineLoadLogOptions {
  clock: Clock
  log: EventLog
  endpointId: string
  describe: () => Record<string, unknown>
}

const intervalMs = 1000

export class EngineLoadLog {
  #options: EngineLoadLogOptions
  #loggedAtMs = -Infinity

  constructor (options: EngineLoadLogOptions) {
    this.#options = options
  }

  /** Writes a line if the last one is old enough. */
  write (): void {
    const { clock, log, endpointId, describe } = this.#options
    const nowMs = clock.readMonotonic()
    if (nowMs - this.#loggedAtMs < intervalMs) return
    this.#loggedAtMs = nowMs
    log.record('engine.load', 'The load of an engine.', { endpointId, ...describe() })
  }
}
