/** Runs an asynchronous step again and again, never two at a time. */
import type { Clock, Timer } from './ports/clock.js'

export interface Repetition {
  stop: () => void
}

/**
 * Starts a step at once, then again `intervalMs` after each end. Failures go to `receiveError`.
 *
 * @example
 * const repetition = repeatTask(clock, 500, async () => readReport(), error => log('%s', error.message))
 * repetition.stop()
 */
export function repeatTask (
  clock: Clock, intervalMs: number, step: () => Promise<void>, receiveError: (error: Error) => void
): Repetition {
  let isStopped = false
  let timer: Timer | undefined
  const runOnce = async (): Promise<void> => {
    try {
      await step()
    } catch (error) {
      receiveError(error as Error)
    }
    if (!isStopped) timer = clock.setTimer(() => { runOnce() }, intervalMs)
  }
  runOnce()
  return {
    stop: () => {
      isStopped = true
      timer?.cancel()
    }
  }
}
