/** Requests in flight on this host, by request fingerprint. */

export interface InFlightRequest {
  /** Called when the request's fingerprint was found to crash endpoints. */
  receiveRefusal: () => void
  /** Called when a new configuration has been applied; several times for a request with several fingerprints. */
  receiveConfiguration: () => void
}

export class InFlightRequests {
  #requests = new Map<string, Set<InFlightRequest>>()

  add (fingerprint: string, request: InFlightRequest): void {
    const requests = this.#requests.get(fingerprint)
    if (requests) requests.add(request)
    else this.#requests.set(fingerprint, new Set([request]))
  }

  remove (fingerprint: string, request: InFlightRequest): void {
    const requests = this.#requests.get(fingerprint)
    if (requests?.delete(request) && requests.size === 0) this.#requests.delete(fingerprint)
  }

  /** Notifies every request in flight with a fingerprint that it is refused. */
  refuse (fingerprint: string): void {
    for (const request of [...this.#requests.get(fingerprint) ?? []]) request.receiveRefusal()
  }

  /** Notifies every request in flight that a new configuration has been applied. */
  notifyConfiguration (): void {
    for (const request of [...this.#requests.values()].flatMap(requests => [...requests])) request.receiveConfiguration()
  }
}
