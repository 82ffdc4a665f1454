/** Estimates how long an urgent adapter load takes; the load itself and its wait for the store's budget are learned separately. */

/** Weight of the newest observation in the moving averages. */
const smoothing = 0.3
const initialStoreMs = 700
/** Time after which the weight of the last wait for the budget has decayed to 1/e, in milliseconds. */
const waitTimeConstantMs = 5000

export class AdapterLoadTimes {
  #storeMs = initialStoreMs
  #waitMs = 0
  #waitAtMs = 0

  /** Records how long a load that urgent requests wait for has waited for the budget. */
  recordStarted (waitMs: number, nowMs: number): void {
    const before = this.#computeWaitMs(nowMs)
    this.#waitMs = before + smoothing * (waitMs - before)
    this.#waitAtMs = nowMs
  }

  /** Records how long a load took after it had got its permit. */
  recordLoaded (storeMs: number): void {
    this.#storeMs += smoothing * (storeMs - this.#storeMs)
  }

  /**
   * Expected time from the plan of an urgent load to its end. Past waits for the budget decay, so that loads are tried again
   * when the store has recovered.
   */
  computeLoadMs (nowMs: number): number {
    return this.#storeMs + this.#computeWaitMs(nowMs)
  }

  #computeWaitMs (nowMs: number): number {
    return this.#waitMs * Math.exp((this.#waitAtMs - nowMs) / waitTimeConstantMs)
  }
}
