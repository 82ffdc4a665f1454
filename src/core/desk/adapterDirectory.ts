/**
 * Remembers, at an adapter's home, which other engine took its requests. Without it the next request is loaded at home
 * again, although the other engine has the adapter in its slots or its host's memory.
 */

/** An engine keeps what it had loaded in its host's memory for about this long under the published loads. */
const termMs = 30_000
const maxEntries = 4096

interface Entry {
  endpointId: string
  atMs: number
}

export class AdapterDirectory {
  /** By `MODEL/ADAPTER`, the latest told last. */
  #entries = new Map<string, Entry>()

  record (adapter: string, endpointId: string, nowMs: number): void {
    this.#entries.delete(adapter)
    this.#entries.set(adapter, { endpointId, atMs: nowMs })
    if (this.#entries.size > maxEntries) this.#entries.delete(this.#entries.keys().next().value!)
  }

  /** The engine that took the adapter's requests last; undefined where none did of late. */
  find (adapter: string, nowMs: number): string | undefined {
    const entry = this.#entries.get(adapter)
    return entry && nowMs - entry.atMs < termMs ? entry.endpointId : undefined
  }

  forget (adapter: string): void {
    this.#entries.delete(adapter)
  }
}
