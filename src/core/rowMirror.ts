/** A host's local copy of store tables, with a change log that other hosts can follow. */
import type { StoreRow } from '../ports/store.js'

/** Number of changes kept for followers; a follower that is further behind receives all rows again. */
const maxLogEntries = 4096

/** The changes that a follower of a mirror receives. */
export interface MirrorChanges {
  /** Identifies this instance of the change log; positions in another log are not valid in it. */
  readonly logId: string
  /** Log position from which the follower continues. */
  readonly position: number
  /** Whether `rows` contains all existing rows, so that any other row has been removed. */
  readonly isWhole: boolean
  readonly rows: readonly StoreRow[]
  /** By table, the store version up to which `rows` is complete. */
  readonly versions: Readonly<Record<string, number>>
}

/** Whether two values of a row are equivalent for followers, so that the change need not be passed on. */
export type IsEquivalentValue = (table: string, key: string, previous: Uint8Array, next: Uint8Array) => boolean

export type ReceiveRowChange = (row: StoreRow, previous: Uint8Array | undefined) => void

/** Called with a row that could not be applied, and why; other rows are not affected. */
export type ReceiveRowFailure = (row: StoreRow, error: Error) => void

/**
 * Applies rows in any order and from any source. A row that is not newer than the known one is dropped, so that a row never
 * reverts to an older value.
 */
export class RowMirror {
  readonly logId: string
  #isEquivalentValue: IsEquivalentValue
  #receiveRowChange: ReceiveRowChange
  #receiveRowFailure: ReceiveRowFailure
  #rows = new Map<string, StoreRow>()
  #versions = new Map<string, number>()
  #log: StoreRow[] = []
  #logStart = 0
  #changeCallbacks = new Set<() => void>()

  constructor (logId: string, isEquivalentValue: IsEquivalentValue, receiveRowChange: ReceiveRowChange, receiveRowFailure: ReceiveRowFailure) {
    this.logId = logId
    this.#isEquivalentValue = isEquivalentValue
    this.#receiveRowChange = receiveRowChange
    this.#receiveRowFailure = receiveRowFailure
  }

  get position (): number {
    return this.#logStart + this.#log.length
  }

  /** Returns the store version up to which a table is known; undefined before its first full read. */
  findTableVersion (table: string): number | undefined {
    return this.#versions.get(table)
  }

  findRow (table: string, key: string): StoreRow | undefined {
    const row = this.#rows.get(formatRowId(table, key))
    return row?.value ? row : undefined
  }

  listRows (table: string): StoreRow[] {
    return [...this.#rows.values()].filter(row => row.table === table && row.value !== undefined)
  }

  /** Applies changed rows of a table; `rows` contains all changes up to `version`. */
  applyChanges (table: string, rows: readonly StoreRow[], version: number): void {
    for (const row of rows) this.#applyRow(row)
    this.#versions.set(table, Math.max(version, this.#versions.get(table) ?? 0))
    this.#notifyFollowers()
  }

  /** Replaces a table with its contents as of `version`; known rows that are missing and not newer are removed. */
  replaceTable (table: string, rows: readonly StoreRow[], version: number): void {
    const presentKeys = new Set(rows.map(row => row.key))
    for (const row of this.listRows(table)) {
      if (!presentKeys.has(row.key) && row.version <= version) this.#applyRow({ ...row, version, value: undefined })
    }
    this.applyChanges(table, rows, version)
  }

  /** Applies a row that this host wrote itself, before the store or a relay delivers it. */
  applyLocalWrite (row: StoreRow): void {
    this.#applyRow(row)
    this.#notifyFollowers()
  }

  /** Returns the changes since a position of this log, or all rows if the position is unknown. */
  getChangesSince (logId: string, position: number): MirrorChanges {
    const isKnown = logId === this.logId && position >= this.#logStart && position <= this.position
    return {
      logId: this.logId,
      position: this.position,
      isWhole: !isKnown,
      rows: isKnown ? this.#log.slice(position - this.#logStart) : [...this.#rows.values()].filter(row => row.value !== undefined),
      versions: Object.fromEntries(this.#versions)
    }
  }

  /** Applies changes read from another host's mirror. */
  applyMirrorChanges (changes: MirrorChanges): void {
    for (const [table, version] of Object.entries(changes.versions)) {
      const rows = changes.rows.filter(row => row.table === table)
      if (changes.isWhole) this.replaceTable(table, rows, version)
      else this.applyChanges(table, rows, version)
    }
  }

  /** Calls `run` once, at the next change; the returned function cancels the call. */
  onNextChange (run: () => void): () => void {
    this.#changeCallbacks.add(run)
    return () => this.#changeCallbacks.delete(run)
  }

  #applyRow (row: StoreRow): void {
    const rowId = formatRowId(row.table, row.key)
    const previous = this.#rows.get(rowId)
    if (previous && previous.version >= row.version) return
    this.#rows.set(rowId, row)
    if (!previous?.value && !row.value) return
    try {
      if (!this.#isEquivalent(row, previous)) this.#appendToLog(row)
      this.#receiveRowChange(row, previous?.value)
    } catch (error) {
      this.#receiveRowFailure(row, error as Error)
    }
  }

  #isEquivalent (row: StoreRow, previous: StoreRow | undefined): boolean {
    return previous?.value !== undefined && row.value !== undefined && this.#isEquivalentValue(row.table, row.key, previous.value, row.value)
  }

  #appendToLog (row: StoreRow): void {
    this.#log.push(row)
    if (this.#log.length <= maxLogEntries) return
    this.#log.shift()
    this.#logStart++
  }

  #notifyFollowers (): void {
    const callbacks = [...this.#changeCallbacks]
    this.#changeCallbacks.clear()
    for (const run of callbacks) run()
  }
}

function formatRowId (table: string, key: string): string {
  return `${table}/${key}`
}
