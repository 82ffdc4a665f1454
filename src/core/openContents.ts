/** Requests in flight on this host, by request fingerprint. */

export interface OpenRequest {
  /** Called when the request's fingerprint was found to crash endpoints. */
  receiveRefusal: () => void
}

export class OpenContents {
  #requests = new Map<string, Set<OpenRequest>>()

  add (fingerprint: string, request: OpenRequest): void {
    const requests = this.#requests.get(fingerprint)
    if (requests) requests.add(request)
    else this.#requests.set(fingerprint, new Set([request]))
  }

  remove (fingerprint: string, request: OpenRequest): void {
    const requests = this.#requests.get(fingerprint)
    if (requests?.delete(request) && requests.size === 0) this.#requests.delete(fingerprint)
  }

  /** Notifies every request in flight with a fingerprint that it is refused. */
  refuse (fingerprint: string): void {
    for (const request of [...this.#requests.get(fingerprint) ?? []]) request.receiveRefusal()
  }
}
