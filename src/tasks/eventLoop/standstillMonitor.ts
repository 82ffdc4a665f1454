/** Detects that the process stood still: stopped, starved of the processor, or held up by one long turn of its event loop. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'

export interface StandstillMonitorOptions {
  clock: Clock
  log: EventLog
}

interface ClockReadings {
  monotonicMs: number
  wallMs: number
}

const checkIntervalMs = 100
/** A check that comes this long after the one before tells that the process stood still. */
const minStandstillMs = 400

export class StandstillMonitor {
  #options: StandstillMonitorOptions
  #lastCheck: ClockReadings
  #timer: Timer | undefined

  constructor (options: StandstillMonitorOptions) {
    this.#options = options
    this.#lastCheck = this.#readClocks()
  }

  start (): void {
    this.#lastCheck = this.#readClocks()
    const check = (): void => {
      this.#check()
      this.#timer = this.#options.clock.setTimer(check, checkIntervalMs)
    }
    check()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #check (): void {
    const { monotonicMs, wallMs } = this.#computeSinceCheck()
    this.#lastCheck = this.#readClocks()
    // The monotonic clock does not count the time for which a machine was suspended; the time of day does.
    if (Math.max(monotonicMs, wallMs) < minStandstillMs) return
    this.#options.log.record('process.stoodStill', 'The process stood still; requests that arrived meanwhile may be of callers that have left.', { standstillMs: Math.round(monotonicMs), wallMs: Math.round(wallMs) })
  }

  #computeSinceCheck (): ClockReadings {
    const { monotonicMs, wallMs } = this.#readClocks()
    return { monotonicMs: monotonicMs - this.#lastCheck.monotonicMs, wallMs: wallMs - this.#lastCheck.wallMs }
  }

  #readClocks (): ClockReadings {
    const { clock } = this.#options
    return { monotonicMs: clock.readMonotonic(), wallMs: clock.readWall() }
  }
}
