/** The system clock. */
import type { Clock } from '../../ports/clock.js'

/**
 * Creates the clock that the daemons use.
 *
 * @example
 * const clock = createSystemClock()
 * const startedMs = clock.readMonotonic()
 */
export function createSystemClock (): Clock {
  return {
    readMonotonic: () => performance.now(),
    readWall: () => Date.now(),
    setTimer: (run, delayMs) => {
      const timeout = setTimeout(run, Math.max(0, delayMs))
      return { cancel: () => clearTimeout(timeout) }
    }
  }
}
