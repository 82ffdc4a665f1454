/**
 * Records, at an adapter's preferred engine, which other engine served its requests last. Without it the preferred engine
 * would load the adapter again for the next request, although the other engine still has it in a slot or in its host's memory.
 */

/** Under the published loads an engine keeps an adapter that it had loaded in its host's memory for about this long. */
const ttlMs = 30_000
const maxEntries = 4096

interface Entry {
  endpointId: string
  atMs: number
}

export class AdapterLocations {
  /** By `MODEL/ADAPTER`, the most recently recorded last. */
  #entries = new Map<string, Entry>()

  record (adapter: string, endpointId: string, nowMs: number): void {
    this.#entries.delete(adapter)
    this.#entries.set(adapter, { endpointId, atMs: nowMs })
    if (this.#entries.size > maxEntries) this.#entries.delete(this.#entries.keys().next().value!)
  }

  /** The engine that served the adapter last; undefined where none is recorded within the TTL. */
  find (adapter: string, nowMs: number): string | undefined {
    const entry = this.#entries.get(adapter)
    return entry && nowMs - entry.atMs < ttlMs ? entry.endpointId : undefined
  }

  remove (adapter: string): void {
    this.#entries.delete(adapter)
  }
}
