/** Requests that are being served, by a hash of what they ask. */

export interface OpenRequest {
  /** The content was found to crash endpoints. */
  receiveRefusal: () => void
}

export class OpenContents {
  #requests = new Map<string, Set<OpenRequest>>()

  add (content: string, request: OpenRequest): void {
    const requests = this.#requests.get(content)
    if (requests) requests.add(request)
    else this.#requests.set(content, new Set([request]))
  }

  remove (content: string, request: OpenRequest): void {
    const requests = this.#requests.get(content)
    if (requests?.delete(request) && requests.size === 0) this.#requests.delete(content)
  }

  /** Tells every open request of a content. */
  refuse (content: string): void {
    for (const request of [...this.#requests.get(content) ?? []]) request.receiveRefusal()
  }
}
