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

/**
 * Called with a row that has changed. `mayBeRestored`: the row is as the store had it when this host first read the table in a new era,
 * so it may be of the copy and lack a later change.
 */
export type ReceiveRowChange = (row: StoreRow, previous: Uint8Array | undefined, mayBeRestored: boolean) => void

/** Called with a row that could not be applied, and why; other rows are not affected. */
export type ReceiveRowFailure = (row: StoreRow, error: Error) => void

/** A row, and the number of eras that had begun when it was applied. */
interface MirroredRow {
  readonly row: StoreRow
  readonly eraNumber: number
}

/**
 * Applies rows in any order and from any source. A row that is not newer than the known one is dropped, so that a row never
 * reverts to an older value. When a new era of the store begins, each table has to be read again; until then its rows keep their
 * values, but their versions are not used any more.
 */
export class RowMirror {
  #session: string
  #logNumber = 0
  #eraNumber = 0
  #isEquivalentValue: IsEquivalentValue
  #receiveRowChange: ReceiveRowChange
  #receiveRowFailure: ReceiveRowFailure
  #rows = new Map<string, MirroredRow>()
  /** By table, the store version up to which it is known in this era. */
  #versions = new Map<string, number>()
  /** By table, the store version when the table was first read in this era; rows up to it may be of the copy. */
  #restoredVersions = new Map<string, number>()
  #log: StoreRow[] = []
  #logStart = 0
  #changeCallbacks = new Set<() => void>()

  /** `session` identifies the process that keeps the mirror. */
  constructor (session: string, isEquivalentValue: IsEquivalentValue, receiveRowChange: ReceiveRowChange, receiveRowFailure: ReceiveRowFailure) {
    this.#session = session
    this.#isEquivalentValue = isEquivalentValue
    this.#receiveRowChange = receiveRowChange
    this.#receiveRowFailure = receiveRowFailure
  }

  get logId (): string {
    return this.#logNumber === 0 ? this.#session : `${this.#session}.${this.#logNumber}`
  }

  get position (): number {
    return this.#logStart + this.#log.length
  }

  /** Begins a new era of the store: versions start again from an earlier one, and each table has to be read again. */
  beginEra (): void {
    this.#eraNumber++
    this.#versions.clear()
    this.#restoredVersions.clear()
    this.#startLog()
    this.#notifyFollowers()
  }

  /** Returns the store version up to which a table is known; undefined before it is read completely, in each era. */
  findTableVersion (table: string): number | undefined {
    return this.#versions.get(table)
  }

  /** Returns a row that was read in this era. */
  findRow (table: string, key: string): StoreRow | undefined {
    const found = this.#rows.get(formatRowId(table, key))
    return found?.row.value && found.eraNumber === this.#eraNumber ? found.row : undefined
  }

  /** Applies changed rows of a table; `rows` contains all changes up to `version`. */
  applyChanges (table: string, rows: readonly StoreRow[], version: number): void {
    for (const row of rows) this.#applyRow(row)
    this.#versions.set(table, Math.max(version, this.#versions.get(table) ?? 0))
    this.#notifyFollowers()
  }

  /** Replaces a table with its contents as of `version`; known rows that are missing and not newer are removed. */
  replaceTable (table: string, rows: readonly StoreRow[], version: number): void {
    if (this.#eraNumber > 0 && !this.#versions.has(table)) {
      this.#restoredVersions.set(table, version)
      // Followers don't know which rows of the table are gone, so they read all rows again.
      this.#startLog()
    }
    const presentKeys = new Set(rows.map(row => row.key))
    for (const { row, eraNumber } of [...this.#rows.values()]) {
      if (row.table !== table || row.value === undefined || presentKeys.has(row.key)) continue
      if (row.version <= version || eraNumber < this.#eraNumber) this.#applyRow({ ...row, version, value: undefined })
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
      rows: isKnown ? this.#log.slice(position - this.#logStart) : this.#listCurrentRows(),
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
    const known = this.#rows.get(rowId)
    if (known && known.eraNumber === this.#eraNumber && known.row.version >= row.version) return
    this.#rows.set(rowId, { row, eraNumber: this.#eraNumber })
    const previous = known?.row
    if (!previous?.value && !row.value) return
    try {
      if (!this.#isEquivalent(row, previous)) this.#appendToLog(row)
      this.#receiveRowChange(row, previous?.value, this.#mayBeRestored(row))
    } catch (error) {
      this.#receiveRowFailure(row, error as Error)
    }
  }

  #isEquivalent (row: StoreRow, previous: StoreRow | undefined): boolean {
    return previous?.value !== undefined && row.value !== undefined && this.#isEquivalentValue(row.table, row.key, previous.value, row.value)
  }

  /** Before the table is read in a new era, rows come from conflicts, which tell no version of the store. */
  #mayBeRestored ({ table, version }: StoreRow): boolean {
    return this.#eraNumber > 0 && version <= (this.#restoredVersions.get(table) ?? Infinity)
  }

  #listCurrentRows (): StoreRow[] {
    return [...this.#rows.values()].filter(({ row, eraNumber }) => row.value !== undefined && eraNumber === this.#eraNumber).map(({ row }) => row)
  }

  /** Starts an empty log, so that every follower receives all rows again. */
  #startLog (): void {
    this.#logStart = this.position + 1
    this.#log = []
    this.#logNumber++
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
