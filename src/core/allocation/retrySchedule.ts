/** Spaces the times at which refused callers are told to come back. */

/** Minimum retry delay for a refused caller; a load from the store takes 250 ms, so an earlier retry would be refused again. */
export const minRetryAfterMs = 100
/** Interval between the retries of two refused callers: 50 starts a second, which an engine handles beside its other work. */
const retryIntervalMs = 20
/** Limit on the delay added to spread refused callers' retries, as most callers retry once more within a second. */
const maxRetrySpreadMs = 1000
/** The same limit at an endpoint that takes few requests; callers wait for some seconds at most. */
const maxLimitedSpreadMs = 5000

export interface RetryPacing {
  readonly minRetryAfterMs: number
  /** Minimum interval between the retries of two refused callers. */
  readonly intervalMs: number
  /** Limit on the delay that is added to spread retries. */
  readonly maxSpreadMs: number
}

const enginePacing: RetryPacing = Object.freeze({ minRetryAfterMs, intervalMs: retryIntervalMs, maxSpreadMs: maxRetrySpreadMs })

export class RetrySchedule {
  #pacing: RetryPacing
  /** Latest retry time given to a refused caller. */
  #lastRetryAtMs = 0

  constructor (pacing = enginePacing) {
    this.#pacing = pacing
  }

  /** Returns a caller's retry delay: at least `excessMs`, and later than those of the callers refused before it. */
  schedule (excessMs: number, nowMs: number, requestIntervalMs = 0): number {
    const { minRetryAfterMs, intervalMs, maxSpreadMs } = this.#pacing
    const earliestMs = nowMs + Math.max(minRetryAfterMs, excessMs)
    const spreadMs = requestIntervalMs > 0 ? maxLimitedSpreadMs : maxSpreadMs
    this.#lastRetryAtMs = Math.min(Math.max(earliestMs, this.#lastRetryAtMs + Math.max(intervalMs, requestIntervalMs)), earliestMs + spreadMs)
    return this.#lastRetryAtMs - nowMs
  }
}
