/** Keeps failed loads from being tried again too soon, by adapter and for the whole endpoint. */

/** Computes how long to wait after a number of failures in a row, in milliseconds. */
export type ComputeBackOffMs = (failures: number) => number

const firstBackOffMs = 1000
const maxBackOffMs = 60_000
/** Failures of different adapters in a row after which the endpoint itself is taken to be at fault. */
const endpointFailures = 3

/**
 * Doubles the wait with each failure, from a second to a minute.
 *
 * @example
 * computeExponentialBackOffMs(3) // 4000
 */
export const computeExponentialBackOffMs: ComputeBackOffMs = failures =>
  Math.min(maxBackOffMs, firstBackOffMs * 2 ** (failures - 1))

interface Failure {
  failures: number
  untilMs: number
}

export class LoadBackOff {
  #computeBackOffMs: ComputeBackOffMs
  #adapters = new Map<string, Failure>()
  #endpoint: Failure = { failures: 0, untilMs: 0 }

  constructor (computeBackOffMs: ComputeBackOffMs) {
    this.#computeBackOffMs = computeBackOffMs
  }

  recordFailed (name: string, nowMs: number): void {
    const failures = (this.#adapters.get(name)?.failures ?? 0) + 1
    this.#adapters.set(name, { failures, untilMs: nowMs + this.#computeBackOffMs(failures) })
    const inRow = this.#endpoint.failures + 1
    const isAtFault = inRow >= endpointFailures
    this.#endpoint = { failures: inRow, untilMs: isAtFault ? nowMs + this.#computeBackOffMs(inRow - endpointFailures + 1) : 0 }
  }

  recordLoaded (name: string): void {
    this.#adapters.delete(name)
    this.#endpoint = { failures: 0, untilMs: 0 }
  }

  /** When an adapter may be loaded again; a time in the past where nothing stands against it. */
  findRetryMs (name: string): number {
    return Math.max(this.#endpoint.untilMs, this.#adapters.get(name)?.untilMs ?? 0)
  }

  /** Forgets failures of more than a minute ago. */
  removeExpired (nowMs: number): void {
    for (const [name, failure] of this.#adapters) {
      if (failure.untilMs + maxBackOffMs < nowMs) this.#adapters.delete(name)
    }
  }
}
