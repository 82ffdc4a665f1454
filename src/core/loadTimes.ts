/** Learns how long the load of an adapter that somebody waits for takes, apart from its wait for the store's budget. */

/** Weight of the newest observation. */
const smoothing = 0.3
const initialStoreMs = 700
/** A wait for the budget counts 1/e after this time without a new one, in milliseconds. */
const waitTermMs = 5000

export class LoadTimes {
  #storeMs = initialStoreMs
  #waitMs = 0
  #waitAtMs = 0

  /** Records the wait for the budget of a load that urgent requests wait for. */
  recordStarted (waitMs: number, nowMs: number): void {
    const before = this.#computeWaitMs(nowMs)
    this.#waitMs = before + smoothing * (waitMs - before)
    this.#waitAtMs = nowMs
  }

  /** Records a load's time at the store. */
  recordLoaded (storeMs: number): void {
    this.#storeMs += smoothing * (storeMs - this.#storeMs)
  }

  /** Expected time from the plan of an urgent load to its end; forgets long waits, so that a store that recovers is tried. */
  computeLoadMs (nowMs: number): number {
    return this.#storeMs + this.#computeWaitMs(nowMs)
  }

  #computeWaitMs (nowMs: number): number {
    return this.#waitMs * Math.exp((this.#waitAtMs - nowMs) / waitTermMs)
  }
}
