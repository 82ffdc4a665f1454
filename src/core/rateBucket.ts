/** A token bucket that starts empty and whose rate may change. Each token stands for one request. */

/** Tokens that accumulate are worth this much time at the current rate, but at least one token. */
const capacityMs = 250
/** Orders may use up tokens in advance, but no more than the next few. */
const maxDebt = 2
/** Absorbs rounding errors, so that a timer that was set for a token finds it. */
const epsilon = 1e-9

export class RateBucket {
  #perSecond: number
  #tokens = 0
  #updatedAtMs: number

  /** `perSecond` must be greater than 0. */
  constructor (perSecond: number, nowMs: number) {
    this.#perSecond = perSecond
    this.#updatedAtMs = nowMs
  }

  setRate (perSecond: number, nowMs: number): void {
    this.#refill(nowMs)
    this.#perSecond = perSecond
    this.#tokens = Math.min(this.#tokens, this.#capacity)
  }

  /** Consumes a token; returns false if none is available. */
  tryTake (nowMs: number): boolean {
    this.#refill(nowMs)
    if (this.#tokens < 1 - epsilon) return false
    this.#tokens--
    return true
  }

  /** Consumes a token even if none is available; later requests then wait for longer. */
  takeInAdvance (nowMs: number): void {
    this.#refill(nowMs)
    this.#tokens = Math.max(-maxDebt, this.#tokens - 1)
  }

  /** Milliseconds until `count` tokens have become available, if none is consumed otherwise. */
  getWaitMs (count: number, nowMs: number): number {
    this.#refill(nowMs)
    return Math.max(0, count - this.#tokens) * 1000 / this.#perSecond
  }

  get #capacity (): number {
    return Math.max(1, this.#perSecond * capacityMs / 1000)
  }

  #refill (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#tokens = Math.min(this.#capacity, this.#tokens + elapsedMs * this.#perSecond / 1000)
    this.#updatedAtMs = nowMs
  }
}
