/** Limits how many retries a host makes, so that a fault does not multiply the load. */

export interface RetryBudgetOptions {
  /** Retries earned by each first attempt. */
  retriesPerRequest: number
  /** Retries that may be saved up. */
  maxSaved: number
  /** Retries earned each second even without requests. */
  retriesPerSecond: number
}

export const defaultRetryBudget: RetryBudgetOptions = Object.freeze({
  retriesPerRequest: 0.2,
  maxSaved: 100,
  retriesPerSecond: 2
})

/** A token bucket that first attempts and time fill and retries empty. */
export class RetryBudget {
  #options: RetryBudgetOptions
  #saved: number
  #filledAtMs: number

  constructor (options: RetryBudgetOptions, nowMs: number) {
    this.#options = options
    this.#saved = options.maxSaved
    this.#filledAtMs = nowMs
  }

  recordFirstAttempt (): void {
    this.#add(this.#options.retriesPerRequest)
  }

  /** Takes one retry; false where none is left. */
  takeRetry (nowMs: number): boolean {
    this.#add((nowMs - this.#filledAtMs) / 1000 * this.#options.retriesPerSecond)
    this.#filledAtMs = nowMs
    if (this.#saved < 1) return false
    this.#saved--
    return true
  }

  #add (retries: number): void {
    this.#saved = Math.min(this.#options.maxSaved, this.#saved + retries)
  }
}
