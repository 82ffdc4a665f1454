/** The endpoints that a host owns, and since when each may be doubted because the store was restored from a copy. */

export interface OwnedEndpoint {
  /** Version of the owner row, in `era`. */
  readonly version: number
  readonly era: number | undefined
  /**
   * Set while the endpoint is kept from before a restore of the store, whose copy may name another owner: when the last renewal before it
   * was sent. Renewals after it don't prolong the lease until the host has written the owner row again.
   */
  readonly keptRenewalSentAtMs: number | undefined
}

export class OwnedEndpoints {
  #endpoints = new Map<string, OwnedEndpoint>()

  get size (): number {
    return this.#endpoints.size
  }

  get (endpointId: string): OwnedEndpoint | undefined {
    return this.#endpoints.get(endpointId)
  }

  list (): [string, OwnedEndpoint][] {
    return [...this.#endpoints]
  }

  /** Lists the endpoints whose owner row has to be written again since the store was restored. */
  listKept (): string[] {
    return this.list().filter(([, { keptRenewalSentAtMs }]) => keptRenewalSentAtMs !== undefined).map(([endpointId]) => endpointId)
  }

  /** Records that the owner row names this host in its `version` of `era`; returns false if that is known already. */
  add (endpointId: string, version: number, era: number | undefined): boolean {
    const known = this.#endpoints.get(endpointId)
    if (known && known.keptRenewalSentAtMs === undefined && known.version >= version) return false
    this.#endpoints.set(endpointId, { version, era, keptRenewalSentAtMs: undefined })
    return true
  }

  /** Keeps an endpoint across a restore of the store; a second one changes nothing about when it was last renewed. */
  keep (endpointId: string, renewalSentAtMs: number): void {
    const known = this.#endpoints.get(endpointId)
    if (known) this.#endpoints.set(endpointId, { ...known, keptRenewalSentAtMs: known.keptRenewalSentAtMs ?? renewalSentAtMs })
  }

  delete (endpointId: string): boolean {
    return this.#endpoints.delete(endpointId)
  }
}
