/** Estimates which fraction of an endpoint's batch slots urgent requests use, and so what is left for deferrable ones. */

/** Time constant of the moving average, in milliseconds. */
const smoothingMs = 20_000
/** Minimum share assumed for deferrable requests, as urgent requests above the rest are refused for missing their targets. */
const minDeferrableShare = 0.1

export class DeferrableCapacity {
  #current = 0
  #mean = 0
  #updatedAtMs = 0

  /** Adds `change`, a fraction of the batch slots, to what urgent requests use from now on; negative where they use less. */
  recordUrgentChange (change: number, nowMs: number): void {
    this.#update(nowMs)
    this.#current += change
  }

  /** Fraction of the batch slots left for deferrable requests, 0 to 1. */
  computeDeferrableShare (nowMs: number): number {
    this.#update(nowMs)
    return Math.max(minDeferrableShare, 1 - this.#mean)
  }

  #update (nowMs: number): void {
    const weight = Math.exp((this.#updatedAtMs - nowMs) / smoothingMs)
    this.#mean = this.#mean * weight + this.#current * (1 - weight)
    this.#updatedAtMs = nowMs
  }
}
