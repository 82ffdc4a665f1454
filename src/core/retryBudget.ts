/** Limits the retries of a host, so that a fault does not multiply the load. */

export interface RetryBudgetOptions {
  /** Tokens added by each first attempt; a retry consumes one token. */
  retriesPerRequest: number
  /** Maximum number of tokens, which is also the initial number. */
  burst: number
  /** Tokens added per second, also without requests. */
  retriesPerSecond: number
}

export const defaultRetryBudget: RetryBudgetOptions = Object.freeze({
  retriesPerRequest: 0.2,
  burst: 100,
  retriesPerSecond: 2
})

/** A token bucket that is refilled by first attempts and over time; each retry consumes one token. */
export class RetryBudget {
  #options: RetryBudgetOptions
  #tokens: number
  #refilledAtMs: number

  constructor (options: RetryBudgetOptions, nowMs: number) {
    this.#options = options
    this.#tokens = options.burst
    this.#refilledAtMs = nowMs
  }

  recordFirstAttempt (): void {
    this.#addTokens(this.#options.retriesPerRequest)
  }

  /** Consumes the token for one retry; returns false if none is available. */
  takeRetry (nowMs: number): boolean {
    this.#addTokens((nowMs - this.#refilledAtMs) / 1000 * this.#options.retriesPerSecond)
    this.#refilledAtMs = nowMs
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }

  #addTokens (count: number): void {
    this.#tokens = Math.min(this.#options.burst, this.#tokens + count)
  }
}
