/** Limits the rate of log lines of each kind with a token bucket, and counts the omitted lines. */

export interface LogRateLimiterOptions {
  /** Lines of one kind a second, on average. */
  linesPerSecond: number
  /** Lines of one kind that may be written at once. */
  burst: number
}

interface TokenBucket {
  tokens: number
  refilledAtMs: number
  omitted: number
}

export class LogRateLimiter {
  #options: LogRateLimiterOptions
  #buckets = new Map<string, TokenBucket>()

  constructor (options: LogRateLimiterOptions) {
    this.#options = options
  }

  /** Consumes a token for one line of a kind; returns false, and counts the line as omitted, where none is available. */
  tryTakeLine (kind: string, nowMs: number): boolean {
    const { linesPerSecond, burst } = this.#options
    const bucket = this.#buckets.get(kind) ?? { tokens: burst, refilledAtMs: nowMs, omitted: 0 }
    this.#buckets.set(kind, bucket)
    bucket.tokens = Math.min(burst, bucket.tokens + (nowMs - bucket.refilledAtMs) / 1000 * linesPerSecond)
    bucket.refilledAtMs = nowMs
    if (bucket.tokens < 1) {
      bucket.omitted++
      return false
    }
    bucket.tokens--
    return true
  }

  /** Returns the number of lines omitted since the last call, by kind. */
  collectOmitted (): Record<string, number> {
    const omitted: Record<string, number> = {}
    for (const [kind, bucket] of this.#buckets) {
      if (bucket.omitted > 0) omitted[kind] = bucket.omitted
      bucket.omitted = 0
    }
    return omitted
  }
}
