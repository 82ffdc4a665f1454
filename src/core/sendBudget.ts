/** One host's share of the repeats that all hosts together may send to a service within a window. */

export interface SendBudgetOptions {
  /** Repeats for each request of the window, over all hosts. */
  share: number
  /** Repeats beyond that, over all hosts. */
  extra: number
  windowMs: number
  /** Hosts that share `extra`. */
  countHosts: () => number
}

/** Part of the budget that is used, so that hosts whose windows start at other moments stay below it together. */
const usedPart = 0.85

interface Window {
  requests: number[]
  repeats: number[]
}

/**
 * Counts over a sliding window of the host's own clock. Every host keeps to its own requests' share and to an equal part
 * of the extra, so the sum holds without messages.
 */
export class SendBudget {
  #options: SendBudgetOptions
  #windows = new Map<string, Window>()

  constructor (options: SendBudgetOptions) {
    this.#options = options
  }

  recordRequest (service: string, nowMs: number): void {
    this.#findWindow(service, nowMs).requests.push(nowMs)
  }

  /** Takes one repeat; false where none is left. */
  takeRepeat (service: string, nowMs: number): boolean {
    const window = this.#findWindow(service, nowMs)
    if (window.repeats.length + 1 > this.#computeLimit(window)) return false
    window.repeats.push(nowMs)
    return true
  }

  /** Part of the budget that is left, 0 to 1. */
  readLeft (service: string, nowMs: number): number {
    const window = this.#findWindow(service, nowMs)
    const limit = this.#computeLimit(window)
    return limit <= 0 ? 0 : Math.max(0, 1 - window.repeats.length / limit)
  }

  #computeLimit (window: Window): number {
    const { share, extra, countHosts } = this.#options
    return usedPart * (share * window.requests.length + extra / Math.max(1, countHosts()))
  }

  #findWindow (service: string, nowMs: number): Window {
    let window = this.#windows.get(service)
    if (!window) this.#windows.set(service, window = { requests: [], repeats: [] })
    const oldestMs = nowMs - this.#options.windowMs
    removeOlder(window.requests, oldestMs)
    removeOlder(window.repeats, oldestMs)
    return window
  }
}

function removeOlder (times: number[], oldestMs: number): void {
  let count = 0
  while (count < times.length && times[count]! < oldestMs) count++
  if (count > 0) times.splice(0, count)
}
