/** A bounded record of what a stand-in did, for tests to hold against what callers were told. */
const defaultMaxEntries = 200_000

export interface JournalPage<T> {
  /** Entries after the asked place, oldest first. */
  entries: T[]
  /** Place to ask from next. */
  next: number
  /** Entries that were dropped because the journal was full; a test that sees any has no complete journal. */
  dropped: number
}

/**
 * Keeps the newest entries and counts those that it had to drop.
 *
 * @example
 * const journal = new Journal<{ kind: string }>()
 * journal.add({ kind: 'loaded' })
 * journal.readPage(0, 100).entries.length // 1
 */
export class Journal<T> {
  #entries: T[] = []
  #dropped = 0
  #maxEntries: number

  constructor (maxEntries = defaultMaxEntries) {
    this.#maxEntries = maxEntries
  }

  get entries (): readonly T[] {
    return this.#entries
  }

  get dropped (): number {
    return this.#dropped
  }

  add (entry: T): void {
    if (this.#entries.length >= this.#maxEntries) this.#dropOldest()
    this.#entries.push(entry)
  }

  readPage (after: number, limit: number): JournalPage<T> {
    const start = Math.max(0, after - this.#dropped)
    const entries = this.#entries.slice(start, start + limit)
    return { entries, next: this.#dropped + start + entries.length, dropped: this.#dropped }
  }

  /** Drops a tenth at once, so that a full journal does not move its entries for each new one. */
  #dropOldest (): void {
    const count = Math.max(1, Math.floor(this.#maxEntries / 10))
    this.#entries.splice(0, count)
    this.#dropped += count
  }
}
