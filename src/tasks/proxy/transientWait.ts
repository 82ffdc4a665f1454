/** Waits of one request while this host is starting or the owner of an engine is changing. */
import type { Clock } from '../../ports/clock.js'

/** Interval at which a request checks again. */
export const transientCheckIntervalMs = 50
/** The takeover of an endpoint takes some 350 ms, as do the first cluster updates after a start. */
const maxTransientWaitMs = 450

export class TransientWait {
  #clock: Pick<Clock, 'setTimer'>
  #waitedMs = 0

  constructor (clock: Pick<Clock, 'setTimer'>) {
    this.#clock = clock
  }

  /** Waits for one check interval; returns false at once if the limit on these waits is reached. */
  async wait (): Promise<boolean> {
    if (this.#waitedMs >= maxTransientWaitMs) return false
    this.#waitedMs += transientCheckIntervalMs
    await this.waitInterval()
    return true
  }

  /** Waits for one check interval, which doesn't count towards the limit. */
  async waitInterval (): Promise<void> {
    await new Promise<void>(resolve => { this.#clock.setTimer(resolve, transientCheckIntervalMs) })
  }
}
