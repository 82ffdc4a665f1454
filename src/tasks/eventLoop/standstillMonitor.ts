/**
 * Detects that the process stood still: stopped, starved of the processor, or held up by one long turn of its event loop. What arrived
 * meanwhile, requests and the closes of their callers alike, is read in the next turns.
 */
import { setImmediate as waitForTurn } from 'node:timers/promises'
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
/** In these turns connections are accepted, requests read and closes noticed that came during a standstill. */
const catchUpTurns = 10
/** The close of a caller is noticed at the latest this many turns after its request was read, if it had come by then. */
const closeTurns = 5
/** A check that comes this long after the one before tells that the process stood still. */
const minStandstillMs = 400

export class StandstillMonitor {
  #options: StandstillMonitorOptions
  #lastCheck: ClockReadings
  #timer: Timer | undefined
  #standstillCount = 0
  /** Standstills after which not everything has been read yet that arrived meanwhile. */
  #recentCount = 0

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

  /** Counts the standstills so far, one that has just ended included. */
  countStandstills (): number {
    this.#detectStandstill()
    return this.#standstillCount
  }

  /** Whether requests may have been read whose callers' closes have not. */
  isCatchingUp (): boolean {
    this.#detectStandstill()
    return this.#recentCount > 0
  }

  /** Resolves when the closes are known of callers that have left before a request was read which is in hand now. */
  async waitForCloses (): Promise<void> {
    for (let turn = 0; turn < closeTurns; turn++) await waitForTurn()
  }

  #check (): void {
    this.#detectStandstill()
    this.#lastCheck = this.#readClocks()
  }

  #detectStandstill (): void {
    const { monotonicMs, wallMs } = this.#computeSinceCheck()
    // The monotonic clock does not count the time for which a machine was suspended; the time of day does.
    if (Math.max(monotonicMs, wallMs) < minStandstillMs) return
    this.#options.log.record('process.stoodStill', 'The process stood still; requests that arrived meanwhile may be of callers that have left.', { standstillMs: Math.round(monotonicMs), wallMs: Math.round(wallMs) })
    this.#lastCheck = this.#readClocks()
    this.#catchUp()
  }

  async #catchUp (): Promise<void> {
    this.#standstillCount++
    this.#recentCount++
    for (let turn = 0; turn < catchUpTurns; turn++) await waitForTurn()
    this.#recentCount--
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
