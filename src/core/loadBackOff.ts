/** Delays retries of failed loads, for each adapter and for the whole endpoint. */

/** Computes the delay after a number of consecutive failures, in milliseconds. */
export type ComputeBackOffMs = (failures: number) => number

const firstBackOffMs = 1000
const maxBackOffMs = 60_000
/** Consecutive failures of different adapters after which the endpoint itself is assumed to be at fault. */
const maxEndpointFailures = 3

/**
 * Doubles the delay with each failure, from a second to a minute.
 *
 * @example
 * computeExponentialBackOffMs(3) // 4000
 */
export const computeExponentialBackOffMs: ComputeBackOffMs = failures =>
  Math.min(maxBackOffMs, firstBackOffMs * 2 ** (failures - 1))

interface BackOff {
  failures: number
  untilMs: number
}

export class LoadBackOff {
  #computeBackOffMs: ComputeBackOffMs
  #adapters = new Map<string, BackOff>()
  #endpoint: BackOff = { failures: 0, untilMs: 0 }

  constructor (computeBackOffMs: ComputeBackOffMs) {
    this.#computeBackOffMs = computeBackOffMs
  }

  recordFailed (name: string, nowMs: number): void {
    const failures = (this.#adapters.get(name)?.failures ?? 0) + 1
    this.#adapters.set(name, { failures, untilMs: nowMs + this.#computeBackOffMs(failures) })
    const endpointFailures = this.#endpoint.failures + 1
    const isEndpointAtFault = endpointFailures >= maxEndpointFailures
    this.#endpoint = { failures: endpointFailures, untilMs: isEndpointAtFault ? nowMs + this.#computeBackOffMs(endpointFailures - maxEndpointFailures + 1) : 0 }
  }

  recordLoaded (name: string): void {
    this.#adapters.delete(name)
    this.#endpoint = { failures: 0, untilMs: 0 }
  }

  /** When an adapter may be loaded again; a time in the past where no delay applies. */
  getRetryAtMs (name: string): number {
    return Math.max(this.#endpoint.untilMs, this.#adapters.get(name)?.untilMs ?? 0)
  }

  /** Removes adapters whose delay ended more than a minute ago. */
  removeExpired (nowMs: number): void {
    for (const [name, backOff] of this.#adapters) {
      if (backOff.untilMs + maxBackOffMs < nowMs) this.#adapters.delete(name)
    }
  }
}
