/** The stand-in of the rate-limited weight store that all engines load from. */
import type { Clock } from '../ports/clock.js'

export interface WeightStoreOptions {
  clock: Clock
  /** Time of one load at full speed, in milliseconds. */
  loadMs: number
  /** Loads that run at full speed at once; more share the speed. */
  loadsAtFullSpeed: number
}

/** Counts the loads under way and slows them all down when there are too many. */
export class WeightStore {
  #options: WeightStoreOptions
  #active = 0
  #slowdown = 1

  constructor (options: WeightStoreOptions) {
    this.#options = options
  }

  /** 1 is normal; 3 makes every later load three times as long; Infinity stops the store. */
  setSlowdown (slowdown: number): void {
    this.#slowdown = slowdown
  }

  /** Resolves when the weights have arrived. */
  async readWeights (): Promise<void> {
    this.#active++
    const crowding = Math.max(1, this.#active / this.#options.loadsAtFullSpeed)
    const delayMs = this.#options.loadMs * crowding * this.#slowdown
    await new Promise<void>(resolve => {
      if (Number.isFinite(delayMs)) this.#options.clock.setTimer(resolve, delayMs)
    })
    this.#active--
  }
}
