/** A stand-in of the platform's store: rows with versions from one counter, and their history, from which it can be restored. */
import type { StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'

/** The store as it was at one time. */
export interface RowStoreCopy {
  readonly rows: ReadonlyMap<string, StoreRow>
  readonly history: readonly StoreRow[]
  readonly version: number
}

export class RowStore {
  #rows = new Map<string, StoreRow>()
  #history: StoreRow[] = []
  #version = 1
  /** Changes up to this version are forgotten. */
  #forgotten = 0
  #waiters = new Set<() => void>()
  #era = 1

  /** Rises with each restore. */
  get era (): number {
    return this.#era
  }

  get version (): number {
    return this.#version
  }

  listRows (table: string): StoreRow[] {
    return [...this.#rows.values()].filter(row => row.table === table).sort((left, right) => left.key < right.key ? -1 : 1)
  }

  /** Rows of a table that changed after a version; undefined where the history no longer reaches back. */
  listChanges (table: string, afterVersion: number): StoreRow[] | undefined {
    if (afterVersion < this.#forgotten || afterVersion > this.#version) return undefined
    const latest = new Map<string, StoreRow>()
    for (const row of this.#history) if (row.table === table && row.version > afterVersion) latest.set(row.key, row)
    return [...latest.values()].sort((left, right) => left.version - right.version)
  }

  transact ({ checks, writes, removals }: StoreTransaction): StoreOutcome {
    const isStale = checks.some(({ table, key, version }) => (this.#rows.get(`${table}/${key}`)?.version ?? 0) !== version)
    if (isStale) return { verdict: 'conflict', rows: checks.flatMap(({ table, key }) => this.#rows.get(`${table}/${key}`) ?? []) }
    this.#version++
    for (const { table, key, value } of writes) this.#set({ table, key, value, version: this.#version })
    for (const { table, key } of removals) this.#set({ table, key, value: undefined, version: this.#version })
    const waiters = [...this.#waiters]
    this.#waiters.clear()
    for (const wake of waiters) wake()
    return { verdict: 'applied', version: this.#version }
  }

  /** Writes rows without conditions, as operators and endpoints do. */
  write (...writes: StoreTransaction['writes']): void {
    this.transact({ checks: [], writes, removals: [] })
  }

  forgetHistory (): void {
    this.#forgotten = this.#version
    this.#history = []
  }

  takeCopy (): RowStoreCopy {
    return { rows: new Map(this.#rows), history: [...this.#history], version: this.#version }
  }

  /** Restores a copy: what was written since is lost, and versions start again from the copy's. Returns the rows that are lost. */
  restore (copy: RowStoreCopy): StoreRow[] {
    const lost = [...this.#rows.values()].filter(row => row.version > copy.version)
    this.#rows = new Map(copy.rows)
    this.#history = [...copy.history]
    this.#version = copy.version
    this.#era++
    // Whoever waits for a change waited for one of the era before.
    this.#waiters.clear()
    return lost.sort((left, right) => left.version - right.version)
  }

  waitForChange (wake: () => void): void {
    this.#waiters.add(wake)
  }

  #set (row: StoreRow): void {
    if (row.value === undefined) this.#rows.delete(`${row.table}/${row.key}`)
    else this.#rows.set(`${row.table}/${row.key}`, row)
    this.#history.push(row)
  }
}
