/** One host's share of the retries that all hosts together may send to a service within a time window. */

export interface HostRetryBudgetOptions {
  /** Retries for each request of the window, over all hosts. */
  retryRatio: number
  /** Retries beyond that, over all hosts. */
  extraRetries: number
  windowMs: number
  /** Hosts that share the additional retries. */
  countHosts: () => number
}

/** Fraction of the budget that is used, so that hosts whose windows start at different times stay within it together. */
const usableFraction = 0.85

/** Times of the requests and retries within the sliding window. */
interface Window {
  requests: number[]
  retries: number[]
}

/**
 * Counts over a sliding window of the host's own clock. Each host is limited to the share of its own requests and to an equal
 * fraction of the additional retries, so the cluster stays within its budget without messages between hosts.
 */
export class HostRetryBudget {
  #options: HostRetryBudgetOptions
  #windows = new Map<string, Window>()

  constructor (options: HostRetryBudgetOptions) {
    this.#options = options
  }

  recordRequest (service: string, nowMs: number): void {
    this.#getWindow(service, nowMs).requests.push(nowMs)
  }

  /** Consumes one retry; returns false where none is left. */
  takeRetry (service: string, nowMs: number): boolean {
    const window = this.#getWindow(service, nowMs)
    if (window.retries.length + 1 > this.#computeLimit(window)) return false
    window.retries.push(nowMs)
    return true
  }

  /** Fraction of the budget that is left, 0 to 1. */
  getRemainingFraction (service: string, nowMs: number): number {
    const window = this.#getWindow(service, nowMs)
    const limit = this.#computeLimit(window)
    return limit <= 0 ? 0 : Math.max(0, 1 - window.retries.length / limit)
  }

  #computeLimit (window: Window): number {
    const { retryRatio, extraRetries, countHosts } = this.#options
    return usableFraction * (retryRatio * window.requests.length + extraRetries / Math.max(1, countHosts()))
  }

  /** Returns a service's window without the times that have expired; creates it where there is none. */
  #getWindow (service: string, nowMs: number): Window {
    let window = this.#windows.get(service)
    if (!window) this.#windows.set(service, window = { requests: [], retries: [] })
    const oldestMs = nowMs - this.#options.windowMs
    removeOlder(window.requests, oldestMs)
    removeOlder(window.retries, oldestMs)
    return window
  }
}

function removeOlder (times: number[], oldestMs: number): void {
  let count = 0
  while (count < times.length && times[count]! < oldestMs) count++
  if (count > 0) times.splice(0, count)
}
