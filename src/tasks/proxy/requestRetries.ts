/** Takes one request's retries from the budget that all hosts share, which counts what endpoints get. */
import type { ProxyContext } from './proxyContext.js'

export class RequestRetries {
  #context: Pick<ProxyContext, 'clock' | 'retryBudget'>
  /** Whether an endpoint may have got a part of the request. */
  #hasArrived = false
  /** Whether the budget has given a retry that no endpoint has got yet. */
  #hasTaken = false

  constructor (context: Pick<ProxyContext, 'clock' | 'retryBudget'>) {
    this.#context = context
  }

  /** Records that an endpoint may have got the request. */
  recordArrival (): void {
    this.#hasArrived = true
    this.#hasTaken = false
  }

  /** Takes a retry if an endpoint may have got the request before; false if the budget is exhausted. */
  takeIfNeeded (service: string): boolean {
    const { clock, retryBudget } = this.#context
    this.#hasTaken ||= this.#hasArrived && retryBudget.takeRetry(service, clock.readMonotonic())
    return this.#hasTaken || !this.#hasArrived
  }
}
