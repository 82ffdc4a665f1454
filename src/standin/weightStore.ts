/** The stand-in of the rate-limited weight store that all engines load from. */
import type { Clock } from '../ports/clock.js'

export interface WeightStoreOptions {
  clock: Clock
  /** Time of one load at full speed, in milliseconds. */
  loadMs: number
  /** Loads that run at full speed at once; more share the speed. */
  loadsAtFullSpeed: number
  /** Loads that may start in a second; as many as run at full speed may start together. Unlimited where left out. */
  loadsPerSecond?: number
}

/** Spaces the starts of loads and slows loads down when too many are under way. */
export class WeightStore {
  #options: WeightStoreOptions
  #active = 0
  #slowdown = 1
  #isDown = false
  /** Time at which the saved-up starts would be complete again. */
  #refilledAtMs = 0

  constructor (options: WeightStoreOptions) {
    this.#options = options
  }

  /** Loads under way. */
  get active (): number {
    return this.#active
  }

  /** 1 is normal; 3 makes every later load three times as long; Infinity stops the store. */
  setSlowdown (slowdown: number): void {
    this.#slowdown = slowdown
  }

  /** While the store is down, every load that begins fails. */
  setDown (isDown: boolean): void {
    this.#isDown = isDown
  }

  /** Resolves to true when the weights have arrived, to false where the store gives none. */
  async readWeights (): Promise<boolean> {
    if (this.#isDown) return false
    this.#active++
    const crowding = Math.max(1, this.#active / this.#options.loadsAtFullSpeed)
    await this.#wait(this.#takeStart() + this.#options.loadMs * crowding * this.#slowdown)
    this.#active--
    return !this.#isDown
  }

  /** Takes the next start that the rate allows; returns how long to wait for it, in milliseconds. */
  #takeStart (): number {
    const { clock, loadsPerSecond, loadsAtFullSpeed } = this.#options
    if (loadsPerSecond === undefined) return 0
    const nowMs = clock.readMonotonic()
    const intervalMs = 1000 / loadsPerSecond
    this.#refilledAtMs = Math.max(nowMs, this.#refilledAtMs) + intervalMs
    return Math.max(0, this.#refilledAtMs - nowMs - intervalMs * loadsAtFullSpeed)
  }

  async #wait (delayMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      if (Number.isFinite(delayMs)) this.#options.clock.setTimer(resolve, delayMs)
    })
  }
}
