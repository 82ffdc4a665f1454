/** How much longer than usual an engine's work takes at the moment, as responses of its endpoint report. */

/** Time constant with which a value approaches the usual 1; other load on a published machine lasts some 600 ms. */
const validityMs = 400
/** A value is ignored from this age on. */
const maxAgeMs = 600
/** Values outside these bounds are implausible. */
const minSlowness = 0.2
const maxSlowness = 10

export class MomentarySlowness {
  #slowness = 1
  #measuredAtMs = -Infinity

  /** Records a value that was measured at a time, unless a later one is known or it is implausible. */
  record (slowness: number, measuredAtMs: number): void {
    if (!isPlausibleSlowness(slowness) || measuredAtMs < this.#measuredAtMs) return
    this.#slowness = slowness
    this.#measuredAtMs = measuredAtMs
  }

  /**
   * Estimates the value at a time; 1 is the usual.
   *
   * @example
   * slowness.record(2.5, 1000)
   * slowness.estimate(1000) // 2.5
   * slowness.estimate(1400) // 1.55
   */
  estimate (nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.#measuredAtMs)
    return ageMs < maxAgeMs ? 1 + (this.#slowness - 1) * Math.exp(-ageMs / validityMs) : 1
  }

  clear (): void {
    this.#measuredAtMs = -Infinity
  }
}

/**
 * Whether a value that an endpoint reports can be its slowness.
 *
 * @example
 * isPlausibleSlowness(0) // false
 */
export function isPlausibleSlowness (slowness: number): boolean {
  return slowness >= minSlowness && slowness <= maxSlowness
}
