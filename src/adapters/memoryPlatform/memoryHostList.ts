/** The list of hosts in memory; a lag can be set. */
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { HostListEntry } from '../../schemas/hostList.js'

interface ListedChange {
  atMs: number
  entry: HostListEntry | undefined
  id: string
}

/** Shows each change `lagMs` after it was made. */
export class MemoryHostList implements HostList {
  #clock: Clock
  #lagMs: number
  #shown = new Map<string, HostListEntry>()
  #pending: ListedChange[] = []

  constructor (clock: Clock, lagMs: number) {
    this.#clock = clock
    this.#lagMs = lagMs
  }

  async announceEntry (entry: HostListEntry): Promise<void> {
    this.addEntry(entry)
  }

  async withdrawEntry (id: string): Promise<void> {
    this.removeEntry(id)
  }

  addEntry (entry: HostListEntry): void {
    this.#pending.push({ atMs: this.#clock.readMonotonic() + this.#lagMs, entry, id: entry.id })
  }

  removeEntry (id: string): void {
    this.#pending.push({ atMs: this.#clock.readMonotonic() + this.#lagMs, entry: undefined, id })
  }

  async listEntries (): Promise<HostListEntry[]> {
    const nowMs = this.#clock.readMonotonic()
    while (this.#pending[0] !== undefined && this.#pending[0].atMs <= nowMs) {
      const change = this.#pending.shift()!
      if (change.entry) this.#shown.set(change.id, change.entry)
      else this.#shown.delete(change.id)
    }
    return [...this.#shown.values()]
  }
}
