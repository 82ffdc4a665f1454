/** Tracks the limit that one endpoint process names in its responses, from the responses of all hosts. */

/** What one response said. The endpoint wrote it at some time between the sending of the request and the receipt of the response. */
export interface LimitStatement {
  /** Requests a second that the endpoint takes from all hosts together; undefined if it named no limit. */
  readonly perSecond: number | undefined
  /** In milliseconds of this host's monotonic clock, as is `receivedAtMs`. */
  readonly sentAtMs: number
  readonly receivedAtMs: number
}

/** An endpoint that takes less than this is still sent a request every ten seconds, as only a response can end its limit. */
const minPerSecond = 0.1
/** After a limit has ended, the rate doubles in each such interval, so that callers do not all come back at once. */
const recoveryDoublingMs = 500
const recoveryMs = 4000

export class EndpointLimit {
  #latest: LimitStatement | undefined
  /** The limit before the latest statement ended it, and when that was. */
  #ended: { perSecond: number, atMs: number } | undefined

  /** The latest statement; undefined before a limit was named. */
  get latest (): LimitStatement | undefined {
    return this.#latest
  }

  /**
   * Records a statement; returns whether the limit changed. Responses may arrive in another order than they were written in:
   * where the order of two statements is unknown, the lower limit holds until a request that is sent later gets its response.
   *
   * @example
   * limit.record({ perSecond: 4.9, sentAtMs: 1000, receivedAtMs: 1020 }) // true
   * limit.record({ perSecond: undefined, sentAtMs: 1010, receivedAtMs: 1030 }) // false: it may have been written first
   * limit.record({ perSecond: undefined, sentAtMs: 1020, receivedAtMs: 1040 }) // true
   */
  record (statement: LimitStatement): boolean {
    const latest = this.#latest
    if (!latest) {
      if (statement.perSecond === undefined) return false
      this.#latest = statement
      return true
    }
    if (statement.receivedAtMs < latest.sentAtMs) return false
    const isLater = statement.sentAtMs >= latest.receivedAtMs
    const [rate, latestRate] = [computeRate(statement), computeRate(latest)]
    if (rate === latestRate) {
      this.#latest = { ...statement, sentAtMs: Math.max(statement.sentAtMs, latest.sentAtMs), receivedAtMs: Math.max(statement.receivedAtMs, latest.receivedAtMs) }
      return false
    }
    if (rate > latestRate && !isLater) return false
    this.#ended = statement.perSecond === undefined ? { perSecond: latest.perSecond!, atMs: statement.receivedAtMs } : undefined
    this.#latest = statement
    return true
  }

  /** Requests a second that all hosts together may send to the endpoint; undefined if it is not limited. */
  getRate (nowMs: number): number | undefined {
    const perSecond = this.#latest?.perSecond
    if (perSecond !== undefined) return Math.max(minPerSecond, perSecond)
    if (!this.#ended || nowMs - this.#ended.atMs >= recoveryMs) return undefined
    return Math.max(minPerSecond, this.#ended.perSecond) * 2 ** (Math.max(0, nowMs - this.#ended.atMs) / recoveryDoublingMs)
  }
}

function computeRate ({ perSecond }: LimitStatement): number {
  return perSecond ?? Infinity
}
