/** Waits between two attempts of a step that a stop may end. */
import type { Clock } from './ports/clock.js'

/**
 * Resolves after `delayMs`; rejects with the signal's reason once the signal has ended the wait.
 *
 * @example
 * await waitForRetry(clock, 100, stopSignal)
 */
export async function waitForRetry (clock: Clock, delayMs: number, signal: AbortSignal): Promise<void> {
  if (!signal.aborted) {
    await new Promise<void>(resolve => {
      const timer = clock.setTimer(finish, delayMs)
      signal.addEventListener('abort', finish)
      function finish (): void {
        timer.cancel()
        signal.removeEventListener('abort', finish)
        resolve()
      }
    })
  }
  signal.throwIfAborted()
}
