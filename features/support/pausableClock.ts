/** The clock of one process that can be stopped and go on, as by SIGSTOP: time passes, but none of its code runs. */
import type { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { Clock, Timer } from '../../src/ports/clock.js'

export class PausableClock implements Clock {
  #clock: VirtualClock
  #isPaused = false
  #isKilled = false
  #held: Array<() => void> = []

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  readMonotonic = (): number => this.#clock.readMonotonic()

  readWall = (): number => this.#clock.readWall()

  setTimer = (run: () => void, delayMs: number): Timer => {
    let isCancelled = false
    const runUnlessCancelled = (): void => { if (!isCancelled) run() }
    const timer = this.#clock.setTimer(() => this.#run(runUnlessCancelled), delayMs)
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  pause (): void {
    this.#isPaused = true
  }

  wake (): void {
    this.#isPaused = false
    for (const run of this.#held.splice(0)) this.#run(run)
  }

  /** Nothing of the process runs any more. */
  kill (): void {
    this.#isKilled = true
  }

  get isRunning (): boolean {
    return !this.#isPaused && !this.#isKilled
  }

  #run (run: () => void): void {
    if (this.#isKilled) return
    if (this.#isPaused) this.#held.push(run)
    else run()
  }
}
