/**
 * Counts on every host which request contents crash endpoints, and has those contents refused. A host writes the crashes that it
 * detects to the store, where every host reads them, also one that starts later. Hosts notify each other directly where it is
 * urgent (the content is already suspect) or the store is unavailable.
 */
import { computeHash } from '../../core/rendezvousHash.js'
import { ServedFingerprints } from '../../core/servedFingerprints.js'
import { createCrashRefusal, defaultSuspectOptions, SuspectRegistry } from '../../core/suspectRegistry.js'
import type { SuspectRecord } from '../../core/suspectRegistry.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'
import type { HostMessage } from '../../schemas/datagram.js'
import { encodeHostsRow, formatSuspectKey, hostsTable } from '../../schemas/hostRows.js'
import type { SuspectRow } from '../../schemas/hostRows.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export interface SuspectContentTaskOptions {
  clock: Clock
  log: EventLog
  own: { address: string, host: string }
  /** All hosts, this one included. */
  listHosts: () => { address: string, host: string }[]
  send: (address: string, message: HostMessage) => void
  /** Runs a transaction at the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Whether the store is unavailable, so that rows written to it don't reach other hosts now. */
  isStoreUnavailable: () => boolean
  /** Called with the crashes (`endpointId/incarnation`) of a record that held a crash not counted before, for the crash detector. */
  receiveCrash: (crash: string) => void
  /** Called when requests with a content start to be refused. */
  receiveContentRefused: (fingerprint: string) => void
}

/** A row of the store that this host has read. */
interface KnownRow {
  key: string
  version: number
  readAtMs: number
}

/** Endpoints that a content may crash before it is refused; the specification sets this limit. */
const maxCrashes = 3
/** Maximum number of entries in one transaction of the store. */
const maxRowsPerTransaction = 100
/** Delay before a failed write is retried. Other hosts are notified again each time, as new ones may have started. */
const retryMs = 500
/** Maximum number of rows waiting to be written: the requests that run on twelve endpoints at once. */
const maxUnsavedRows = 768
/** Maximum number of rows kept in the store, as hosts read all of them when they start. */
const maxStoredRows = 1024
const cleanupIntervalMs = 60_000

export class SuspectContentTask {
  #options: SuspectContentTaskOptions
  #registry = new SuspectRegistry({ ...defaultSuspectOptions, maxCrashes })
  #servedFingerprints = new ServedFingerprints()
  /** Rows in the store, by the name that `applySuspectRow` gets. */
  #rows = new Map<string, KnownRow>()
  /** Rows still to be written to the store, by their key. */
  #unsavedRows = new Map<string, SuspectRow>()
  #isSaving = false
  #isStopped = false
  #cleanupTimer: Timer | undefined

  constructor (options: SuspectContentTaskOptions) {
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

  /** Returns the failure for requests with a content that is refused; undefined where they may run. */
  findRefusal (fingerprint: string): RequestFailure | undefined {
    return this.#findState(fingerprint) === 'refused' ? createCrashRefusal(maxCrashes) : undefined
  }

  /** Whether an endpoint crashed while a request with this content ran on it. */
  isSuspect (fingerprint: string): boolean {
    return this.#findState(fingerprint) !== 'clear'
  }

  /** Records that an endpoint answered a request with this content. */
  recordServed (fingerprint: string): void {
    this.#servedFingerprints.record(fingerprint)
  }

  /** Reports that an endpoint crashed while requests with these contents ran on it. */
  reportCrash (crash: string, fingerprints: readonly string[]): void {
    const suspectFingerprints = [...new Set(fingerprints)].filter(fingerprint => !this.#servedFingerprints.isTrusted(fingerprint))
    const urgent: SuspectRow[] = []
    for (const fingerprint of suspectFingerprints) {
      const row: SuspectRow = { fingerprint, crash }
      if (this.isSuspect(fingerprint) || this.#options.isStoreUnavailable()) urgent.push(row)
      this.addSuspectRecord({ fingerprint, crashes: [crash] })
      this.#unsavedRows.set(formatSuspectKey(row), row)
      if (this.#unsavedRows.size > maxUnsavedRows) this.#unsavedRows.delete(this.#unsavedRows.keys().next().value!)
    }
    this.#notifyHosts(urgent)
    this.#saveRows()
  }

  /** Counts crashes that another host reports or that this host has detected. */
  addSuspectRecord ({ fingerprint, crashes }: SuspectRecord): void {
    const { clock, log, receiveCrash, receiveContentRefused } = this.#options
    const wasRefused = this.findRefusal(fingerprint) !== undefined
    if (!this.#registry.addRecord({ fingerprint, crashes }, clock.readMonotonic())) return
    log.record('suspect.counted', 'An endpoint crashed while a request with this content ran on it.', { content: fingerprint, crashes })
    for (const crash of crashes) receiveCrash(crash)
    if (wasRefused || !this.findRefusal(fingerprint)) return
    log.record('suspect.refused', 'Refusing requests with this content from now on, as they crash endpoints.', { content: fingerprint, crashes })
    receiveContentRefused(fingerprint)
  }

  /** Applies a row of the store that was added or, where `suspect` is undefined, removed. */
  applySuspectRow (name: string, suspect: SuspectRow | undefined, version: number): void {
    this.#rows.delete(name)
    if (!suspect) return
    this.#rows.set(name, { key: formatSuspectKey(suspect), version, readAtMs: this.#options.clock.readMonotonic() })
    this.addSuspectRecord({ fingerprint: suspect.fingerprint, crashes: [suspect.crash] })
  }

  #findState (fingerprint: string): ReturnType<SuspectRegistry['findState']> {
    return this.#registry.findState(fingerprint, this.#options.clock.readMonotonic())
  }

  #notifyHosts (rows: readonly SuspectRow[]): void {
    const { listHosts, own, send } = this.#options
    for (const { address } of listHosts()) {
      if (address === own.address) continue
      for (const { fingerprint, crash } of rows) send(address, { type: 'suspect', fingerprint, crashes: [crash] })
    }
  }

  /** Writes the unsaved rows to the store. Writing a row twice is harmless. */
  async #saveRows (): Promise<void> {
    if (this.#isSaving) return
    this.#isSaving = true
    while (this.#unsavedRows.size > 0 && !this.#isStopped) {
      const batch = [...this.#unsavedRows].slice(0, maxRowsPerTransaction)
      const writes = batch.map(([key, row]) => ({ table: hostsTable, key, value: encodeHostsRow(row) }))
      const outcome = await this.#options.transact({ checks: [], writes, removals: [] })
      if (outcome.verdict === 'applied') {
        for (const [key] of batch) this.#unsavedRows.delete(key)
      } else {
        this.#options.log.record('suspect.notSaved', 'Writing crashes to the store failed; notifying the other hosts and retrying.', { rows: batch.length, verdict: outcome.verdict })
        this.#notifyHosts(batch.map(([, row]) => row))
        await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, retryMs) })
      }
    }
    this.#isSaving = false
  }

  /** Removes expired rows and the oldest ones beyond `maxStoredRows`. Only one host of the cluster does so. */
  async #removeExcessRows (): Promise<void> {
    const { clock, log, transact } = this.#options
    if (!this.#isCleanupHost()) return
    const nowMs = clock.readMonotonic()
    const oldest = [...this.#rows.values()].sort((left, right) => left.version - right.version)
    const excess = Math.max(0, oldest.length - maxStoredRows)
    const removed = oldest.filter((row, index) => index < excess || nowMs - row.readAtMs > defaultSuspectOptions.ttlMs).slice(0, maxRowsPerTransaction)
    if (removed.length === 0) return
    const outcome = await transact({ checks: [], writes: [], removals: removed.map(({ key }) => ({ table: hostsTable, key })) })
    log.record('suspect.rowsRemoved', 'Removed expired or excess crash rows.', { rows: removed.length, verdict: outcome.verdict })
  }

  #isCleanupHost (): boolean {
    const { listHosts, own } = this.#options
    const ranked = listHosts().map(({ host }) => ({ host, hash: computeHash(`remover ${host}`) })).sort((left, right) => right.hash - left.hash)
    return ranked[0]?.host === own.host
  }
}
