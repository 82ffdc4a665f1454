/** A host's copy of tables of the store, which other hosts may follow in turn. */
import type { StoreRow } from '../ports/store.js'

/** Changes that are kept for followers; one that is further behind gets everything anew. */
const maxLog = 4096

/** What a follower of a mirror receives. */
export interface MirrorChanges {
  /** Names the life of the mirror's log; positions of another log mean nothing here. */
  readonly logId: string
  /** Position to go on from. */
  readonly position: number
  /** Whether `rows` hold every row that there is, so that others are gone. */
  readonly isWhole: boolean
  readonly rows: readonly StoreRow[]
  /** By table, the store's version as of which `rows` are whole. */
  readonly versions: Readonly<Record<string, number>>
}

/** Whether two values of a row mean the same to followers, so that the change need not be passed on. */
export type IsSameNews = (table: string, key: string, before: Uint8Array, after: Uint8Array) => boolean

export type ReceiveRow = (row: StoreRow, before: Uint8Array | undefined) => void

/**
 * Applies rows in any order and from any source: a row with an older version than the one known is dropped, so that
 * nothing ever goes back.
 */
export class RowMirror {
  readonly logId: string
  #isSameNews: IsSameNews
  #receiveRow: ReceiveRow
  #rows = new Map<string, StoreRow>()
  #versions = new Map<string, number>()
  #log: StoreRow[] = []
  #logStart = 0
  #waiters = new Set<() => void>()

  constructor (logId: string, isSameNews: IsSameNews, receiveRow: ReceiveRow) {
    this.logId = logId
    this.#isSameNews = isSameNews
    this.#receiveRow = receiveRow
  }

  get position (): number {
    return this.#logStart + this.#log.length
  }

  /** Version up to which a table is known; undefined before the first whole read. */
  findVersion (table: string): number | undefined {
    return this.#versions.get(table)
  }

  findRow (table: string, key: string): StoreRow | undefined {
    const row = this.#rows.get(formatRow(table, key))
    return row?.value ? row : undefined
  }

  listRows (table: string): StoreRow[] {
    return [...this.#rows.values()].filter(row => row.table === table && row.value !== undefined)
  }

  /** Takes changed rows of a table, complete up to `version`. */
  applyChanges (table: string, rows: readonly StoreRow[], version: number): void {
    for (const row of rows) this.#applyRow(row)
    this.#versions.set(table, Math.max(version, this.#versions.get(table) ?? 0))
    this.#wakeFollowers()
  }

  /** Takes a whole table as of `version`; rows that it lacks and that are not newer are gone. */
  applyTable (table: string, rows: readonly StoreRow[], version: number): void {
    const present = new Set(rows.map(row => row.key))
    for (const row of this.listRows(table)) {
      if (!present.has(row.key) && row.version <= version) this.#applyRow({ ...row, version, value: undefined })
    }
    this.applyChanges(table, rows, version)
  }

  /** Takes a row that this host wrote itself, ahead of the news. */
  applyOwnRow (row: StoreRow): void {
    this.#applyRow(row)
    this.#wakeFollowers()
  }

  /** What has changed since a position of this log; everything where the position is unknown. */
  readChanges (logId: string, position: number): MirrorChanges {
    const isKnown = logId === this.logId && position >= this.#logStart && position <= this.position
    return {
      logId: this.logId,
      position: this.position,
      isWhole: !isKnown,
      rows: isKnown ? this.#log.slice(position - this.#logStart) : [...this.#rows.values()].filter(row => row.value !== undefined),
      versions: Object.fromEntries(this.#versions)
    }
  }

  /** Takes what another host's mirror has told. */
  applyMirror (changes: MirrorChanges): void {
    for (const [table, version] of Object.entries(changes.versions)) {
      const rows = changes.rows.filter(row => row.table === table)
      if (changes.isWhole) this.applyTable(table, rows, version)
      else this.applyChanges(table, rows, version)
    }
  }

  /** Calls back once, at the next change; the returned function takes the request back. */
  waitForChange (run: () => void): () => void {
    this.#waiters.add(run)
    return () => this.#waiters.delete(run)
  }

  #applyRow (row: StoreRow): void {
    const name = formatRow(row.table, row.key)
    const before = this.#rows.get(name)
    if (before && before.version >= row.version) return
    this.#rows.set(name, row)
    if (!before?.value && !row.value) return
    const isSame = before?.value !== undefined && row.value !== undefined && this.#isSameNews(row.table, row.key, before.value, row.value)
    if (!isSame) this.#record(row)
    this.#receiveRow(row, before?.value)
  }

  #record (row: StoreRow): void {
    this.#log.push(row)
    if (this.#log.length <= maxLog) return
    this.#log.shift()
    this.#logStart++
  }

  #wakeFollowers (): void {
    const waiters = [...this.#waiters]
    this.#waiters.clear()
    for (const run of waiters) run()
  }
}

function formatRow (table: string, key: string): string {
  return `${table}/${key}`
}
