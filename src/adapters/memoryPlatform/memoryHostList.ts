/** In-memory host list with a configurable lag. */
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { HostListEntry } from '../../schemas/hostList.js'

interface PendingChange {
  visibleAtMs: number
  entry: HostListEntry | undefined
  id: string
}

/** Makes each change visible `lagMs` after it was made. */
export class MemoryHostList implements HostList {
  #clock: Clock
  #lagMs: number
  #visibleEntries = new Map<string, HostListEntry>()
  #pendingChanges: PendingChange[] = []

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
    this.#pendingChanges.push({ visibleAtMs: this.#clock.readMonotonic() + this.#lagMs, entry, id: entry.id })
  }

  removeEntry (id: string): void {
    this.#pendingChanges.push({ visibleAtMs: this.#clock.readMonotonic() + this.#lagMs, entry: undefined, id })
  }

  async listEntries (): Promise<HostListEntry[]> {
    const nowMs = this.#clock.readMonotonic()
    while (this.#pendingChanges[0] !== undefined && this.#pendingChanges[0].visibleAtMs <= nowMs) {
      const change = this.#pendingChanges.shift()!
      if (change.entry) this.#visibleEntries.set(change.id, change.entry)
      else this.#visibleEntries.delete(change.id)
    }
    return [...this.#visibleEntries.values()]
  }
}
