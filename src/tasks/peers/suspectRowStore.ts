/** Keeps the rows of the store that record which request contents and prompt parts endpoints crashed beneath. */
import { defaultSuspectOptions } from '../../core/suspectRegistry.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'
import { encodeHostsRow, formatSuspectKey, hostsTable } from '../../schemas/hostRows.js'
import type { SuspectRow } from '../../schemas/hostRows.js'

export interface SuspectRowStoreOptions {
  clock: Clock
  log: EventLog
  /** Runs a transaction at the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Notifies the other hosts of rows that could not be written, each time that writing them fails. */
  notifyHosts: (rows: readonly SuspectRow[]) => void
  /** Whether this host, alone of the cluster, removes old rows. */
  isCleanupHost: () => boolean
  /** Whether a row has to stay although there are more rows than the limit. */
  isProtected: (fingerprint: string) => boolean
  random: () => number
}

/** A row of the store that this host has read. */
interface KnownRow {
  key: string
  row: SuspectRow
  version: number
  readAtMs: number
}

/** Maximum number of entries in one transaction of the store. */
const maxRowsPerTransaction = 100
/**
 * Delay before a failed write is retried, doubled after each further failure. Other hosts are notified again each time, as new
 * ones may have started.
 */
const initialRetryMs = 500
const maxRetryMs = 4000
/** Maximum number of rows waiting to be written: the requests that run on twelve endpoints at once. */
const maxUnsavedRows = 768
/** Maximum number of rows kept in the store, as hosts read all of them when they start. */
const maxStoredRows = 1024
const cleanupIntervalMs = 60_000
/** Removed rows whose keys are remembered, in case that the store is restored from a copy that has them. */
const maxRemovedKeys = 1024
/** After a restore of the store the cleanup host writes at once what is lost; the others check after this time whether it has. */
const minRestoreDelayMs = 1000
const restoreSpreadMs = 2000

export class SuspectRowStore {
  #options: SuspectRowStoreOptions
  /** Rows in the store, by their key. */
  #rows = new Map<string, KnownRow>()
  /** Rows still to be written to the store or, where undefined, to be removed, by their key. */
  #unsavedRows = new Map<string, SuspectRow | undefined>()
  #removedKeys = new Set<string>()
  #isSaving = false
  #isStopped = false
  #cleanupTimer: Timer | undefined

  constructor (options: SuspectRowStoreOptions) {
    this.#options = options
  }

  start (): void {
    this.#cleanupTimer = this.#options.clock.setTimer(() => {
      this.#removeExcessRows()
      this.start()
    }, cleanupIntervalMs)
  }

  stop (): void {
    this.#isStopped = true
    this.#cleanupTimer?.cancel()
  }

  /** Writes rows that are not in the store yet. Writing a row twice is harmless. */
  save (rows: readonly SuspectRow[]): void {
    for (const row of rows) {
      const key = formatSuspectKey(row)
      if (!this.#rows.has(key) || this.#unsavedRows.has(key)) this.#queue(key, row)
    }
    this.#saveRows()
  }

  /** Removes all rows of a fingerprint. */
  remove (fingerprint: string): void {
    for (const [key, row] of this.#unsavedRows) if (row?.fingerprint === fingerprint) this.#unsavedRows.delete(key)
    for (const row of this.#rows.values()) if (row.row.fingerprint === fingerprint) this.#queue(row.key, undefined)
    this.#saveRows()
  }

  /** Records a row that was read from the store. */
  recordRow (row: SuspectRow, version: number): void {
    const key = formatSuspectKey(row)
    this.#rows.set(key, { key, row, version, readAtMs: this.#options.clock.readMonotonic() })
    this.#removedKeys.delete(key)
  }

  recordRemoval (key: string): void {
    this.#rows.delete(key)
    this.#removedKeys.add(key)
    if (this.#removedKeys.size > maxRemovedKeys) this.#removedKeys.delete(this.#removedKeys.values().next().value!)
  }

  /**
   * Records a row as the store has it since it was restored from a copy; `row` is undefined if the store has none. Returns false if the
   * store has only lost the row, or its removal: nothing has changed then, and the row is written or removed again.
   */
  recordRestored (key: string, row: SuspectRow | undefined, version: number): boolean {
    const lost = row ? undefined : this.#rows.get(key)
    if (row && !this.#removedKeys.has(key)) {
      this.recordRow(row, version)
      return true
    }
    if (row) this.#rows.set(key, { key, row, version, readAtMs: this.#options.clock.readMonotonic() })
    else this.#rows.delete(key)
    if (!row && !lost) return true
    this.#restoreLater(key, lost?.row)
    return false
  }

  /** Writes or removes a row again unless another host does so first. */
  #restoreLater (key: string, row: SuspectRow | undefined): void {
    const { clock, isCleanupHost, random } = this.#options
    clock.setTimer(() => {
      if (this.#rows.has(key) === (row !== undefined)) return
      this.#queue(key, row)
      this.#saveRows()
    }, isCleanupHost() ? 0 : minRestoreDelayMs + random() * restoreSpreadMs)
  }

  #queue (key: string, row: SuspectRow | undefined): void {
    this.#unsavedRows.set(key, row)
    if (this.#unsavedRows.size > maxUnsavedRows) this.#unsavedRows.delete(this.#unsavedRows.keys().next().value!)
  }

  async #saveRows (): Promise<void> {
    if (this.#isSaving) return
    this.#isSaving = true
    let retryDelayMs = initialRetryMs
    while (this.#unsavedRows.size > 0 && !this.#isStopped) {
      const batch = [...this.#unsavedRows].slice(0, maxRowsPerTransaction)
      const writes = batch.flatMap(([key, row]) => row ? [{ table: hostsTable, key, value: encodeHostsRow(row) }] : [])
      const removals = batch.flatMap(([key, row]) => row ? [] : [{ table: hostsTable, key }])
      const outcome = await this.#options.transact({ checks: [], writes, removals })
      if (outcome.verdict === 'applied') {
        retryDelayMs = initialRetryMs
        for (const [key, row] of batch) if (this.#unsavedRows.get(key) === row) this.#unsavedRows.delete(key)
      } else {
        this.#options.log.record('suspect.notSaved', 'Writing crashes to the store failed; notifying the other hosts and retrying.', { rows: batch.length, verdict: outcome.verdict })
        this.#options.notifyHosts(batch.flatMap(([, row]) => row ?? []))
        await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, retryDelayMs) })
        retryDelayMs = Math.min(maxRetryMs, retryDelayMs * 2)
      }
    }
    this.#isSaving = false
  }

  /** Removes expired rows and the oldest ones beyond `maxStoredRows`. */
  async #removeExcessRows (): Promise<void> {
    const { clock, log, transact, isCleanupHost, isProtected } = this.#options
    if (!isCleanupHost()) return
    const nowMs = clock.readMonotonic()
    const excess = Math.max(0, this.#rows.size - maxStoredRows)
    const unprotected = [...this.#rows.values()].filter(({ row }) => !isProtected(row.fingerprint)).sort((left, right) => left.version - right.version)
    const expired = [...this.#rows.values()].filter(({ readAtMs }) => nowMs - readAtMs > defaultSuspectOptions.ttlMs)
    const removed = [...new Set([...expired, ...unprotected.slice(0, excess)])].slice(0, maxRowsPerTransaction)
    if (removed.length === 0) return
    const outcome = await transact({ checks: [], writes: [], removals: removed.map(({ key }) => ({ table: hostsTable, key })) })
    log.record('suspect.rowsRemoved', 'Removed expired or excess crash rows.', { rows: removed.length, verdict: outcome.verdict })
  }
}
