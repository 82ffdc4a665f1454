/** Runs an asynchronous step repeatedly, never two runs at a time. */
import type { Clock, Timer } from './ports/clock.js'

export interface Repetition {
  stop: () => void
}

/**
 * Runs a step at once, then again `intervalMs` after each run has ended. Errors of a run are passed to `handleError`.
 *
 * @example
 * const repetition = repeatTask(clock, 500, async () => readReport(), error => log('%s', error.message))
 * repetition.stop()
 */
export function repeatTask (
  clock: Clock, intervalMs: number, step: () => Promise<void>, handleError: (error: Error) => void
): Repetition {
  let isStopped = false
  let timer: Timer | undefined
  const runOnce = async (): Promise<void> => {
    try {
      await step()
    } catch (error) {
      handleError(error as Error)
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
