/** Tracks whether an engine is leaving, by its row and by its own notices. */
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EndpointLeaving } from '../../schemas/datagram.js'
import type { EndpointEntry } from '../../schemas/routing.js'

export interface EngineLeavingOptions {
  clock: Clock
  log: EventLog
  entry: EndpointEntry
}

/** How long one host's notice that an engine is leaving is in effect; later notices extend it, and a false one expires. */
const leavingTtlMs = 5000

export class EngineLeaving {
  #options: EngineLeavingOptions
  #entry: EndpointEntry
  /** Until this time the engine counts as leaving because of its own responses. */
  #leavingUntilMs = -Infinity

  constructor (options: EngineLeavingOptions) {
    this.#options = options
    this.#entry = options.entry
  }

  get isLeaving (): boolean {
    return this.#entry.isLeaving || this.#options.clock.readMonotonic() < this.#leavingUntilMs
  }

  /** Receives a new version of the engine's row; notices of a process before a restart no longer apply. Returns whether it restarted. */
  receiveEntry (entry: EndpointEntry): boolean {
    const isRestarted = entry.startedAtMs !== this.#entry.startedAtMs
    this.#entry = entry
    if (isRestarted) this.#leavingUntilMs = -Infinity
    return isRestarted
  }

  /** Receives a host's report that the engine announced that it is leaving; returns whether that was not known. */
  receiveNotice ({ startedAtMs }: EndpointLeaving): boolean {
    if (startedAtMs !== this.#entry.startedAtMs) return false
    const { clock, log } = this.#options
    const wasLeaving = this.isLeaving
    this.#leavingUntilMs = clock.readMonotonic() + leavingTtlMs
    if (wasLeaving) return false
    log.record('engine.leaving', 'An engine reports that it is leaving; it receives no loads, and no reservations are granted there for a while.', { endpointId: this.#entry.id, startedAtMs, leftMs: leavingTtlMs })
    return true
  }
}
