/**
 * Counts on every host which contents crash endpoints, and has them refused. What a host notices goes into the store, where
 * every host reads it, also one that starts later; hosts tell each other directly where time presses or the store is away.
 */
import { computeHash } from '../../core/rendezvousHash.js'
import { ServedContents } from '../../core/servedContents.js'
import { createCrashRefusal, defaultSuspectOptions, SuspectRegister } from '../../core/suspects.js'
import type { SuspectRecord } from '../../core/suspects.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreTransaction } from '../../ports/store.js'
import type { HostMessage } from '../../schemas/datagram.js'
import { encodeHostsRow, formatSuspectKey, hostsTable } from '../../schemas/hostRows.js'
import type { SuspectRow } from '../../schemas/hostRows.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export interface SuspectTaskOptions {
  clock: Clock
  log: EventLog
  own: { address: string, host: string }
  /** All hosts, this one included. */
  listHosts: () => { address: string, host: string }[]
  send: (address: string, message: HostMessage) => void
  /** Reaches the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Whether what is written to the store does not reach other hosts now. */
  isStoreLost: () => boolean
  /** Another host noticed a crash. */
  receiveCrash: (crash: string) => void
  /** Requests of a content are refused from now on. */
  receiveRefused: (fingerprint: string) => void
}

/** A row of the store that this host has read. */
interface KnownRow {
  key: string
  version: number
  readAtMs: number
}

/** Endpoints that a content may crash before it is refused; what the pages allow. */
const maxCrashes = 3
/** Entries that the store takes in one transaction. */
const maxRowsAtOnce = 100
/** Time to the next try of a write that failed, in which other hosts are told again as well, as new ones may have started. */
const retryMs = 500
/** Rows that wait for the store: what runs on twelve endpoints at once. */
const maxUnsaved = 768
/** Rows that are kept in the store; hosts read all of them when they start. */
const maxRows = 1024
const sweepIntervalMs = 60_000

export class SuspectTask {
  #options: SuspectTaskOptions
  #register = new SuspectRegister({ ...defaultSuspectOptions, maxCrashes })
  #served = new ServedContents()
  /** By name. */
  #rows = new Map<string, KnownRow>()
  /** By key. */
  #unsaved = new Map<string, SuspectRow>()
  #isSaving = false
  #isStopped = false
  #sweep: Timer | undefined

  constructor (options: SuspectTaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#sweep = this.#options.clock.setTimer(() => {
      this.#removeRows()
      this.start()
    }, sweepIntervalMs)
  }

  stop (): void {
    this.#isStopped = true
    this.#sweep?.cancel()
  }

  /** The refusal of requests of a content; undefined where they may run. */
  findRefusal (fingerprint: string): RequestFailure | undefined {
    return this.#findState(fingerprint) === 'refused' ? createCrashRefusal(maxCrashes) : undefined
  }

  /** Whether an endpoint has crashed beneath a content. */
  isSuspect (fingerprint: string): boolean {
    return this.#findState(fingerprint) !== 'clear'
  }

  /** An endpoint answered a request of a content. */
  recordServed (fingerprint: string): void {
    this.#served.record(fingerprint)
  }

  /** An endpoint went away while requests of these contents ran on it. */
  reportCrash (crash: string, fingerprints: readonly string[]): void {
    const counted = [...new Set(fingerprints)].filter(fingerprint => !this.#served.isTrusted(fingerprint))
    const pressing: SuspectRow[] = []
    for (const fingerprint of counted) {
      const row: SuspectRow = { fingerprint, crash }
      if (this.isSuspect(fingerprint) || this.#options.isStoreLost()) pressing.push(row)
      this.receiveSuspect({ fingerprint, crashes: [crash] })
      this.#unsaved.set(formatSuspectKey(row), row)
      if (this.#unsaved.size > maxUnsaved) this.#unsaved.delete(this.#unsaved.keys().next().value!)
    }
    this.#tellHosts(pressing)
    this.#save()
  }

  /** Another host tells of crashes, or this one has noticed them. */
  receiveSuspect ({ fingerprint, crashes }: SuspectRecord): void {
    const { clock, log, receiveCrash, receiveRefused } = this.#options
    const wasRefused = this.findRefusal(fingerprint) !== undefined
    if (!this.#register.addRecord({ fingerprint, crashes }, clock.readMonotonic())) return
    log.record('suspect.counted', 'An endpoint went away beneath a content.', { content: fingerprint, crashes })
    for (const crash of crashes) receiveCrash(crash)
    if (wasRefused || !this.findRefusal(fingerprint)) return
    log.record('suspect.refused', 'Requests of this content are refused from now on, as they crash endpoints.', { content: fingerprint, crashes })
    receiveRefused(fingerprint)
  }

  /** A row of the store has come or gone. */
  receiveRow (name: string, suspect: SuspectRow | undefined, version: number): void {
    this.#rows.delete(name)
    if (!suspect) return
    this.#rows.set(name, { key: formatSuspectKey(suspect), version, readAtMs: this.#options.clock.readMonotonic() })
    this.receiveSuspect({ fingerprint: suspect.fingerprint, crashes: [suspect.crash] })
  }

  #findState (fingerprint: string): ReturnType<SuspectRegister['findState']> {
    return this.#register.findState(fingerprint, this.#options.clock.readMonotonic())
  }

  #tellHosts (rows: readonly SuspectRow[]): void {
    const { listHosts, own, send } = this.#options
    for (const { address } of listHosts()) {
      if (address === own.address) continue
      for (const { fingerprint, crash } of rows) send(address, { type: 'suspect', fingerprint, crashes: [crash] })
    }
  }

  /** Writes what the store lacks; a row that is written twice does no harm. */
  async #save (): Promise<void> {
    if (this.#isSaving) return
    this.#isSaving = true
    while (this.#unsaved.size > 0 && !this.#isStopped) {
      const batch = [...this.#unsaved].slice(0, maxRowsAtOnce)
      const writes = batch.map(([key, row]) => ({ table: hostsTable, key, value: encodeHostsRow(row) }))
      const outcome = await this.#options.transact({ checks: [], writes, removals: [] })
      if (outcome.verdict === 'applied') {
        for (const [key] of batch) this.#unsaved.delete(key)
      } else {
        this.#options.log.record('suspect.notSaved', 'Crashes could not be written to the store; hosts are told, and it is tried again.', { rows: batch.length, verdict: outcome.verdict })
        this.#tellHosts(batch.map(([, row]) => row))
        await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, retryMs) })
      }
    }
    this.#isSaving = false
  }

  /** One host removes rows that have expired, and the oldest ones beyond what is kept. */
  async #removeRows (): Promise<void> {
    const { clock, log, transact } = this.#options
    if (!this.#isRemover()) return
    const nowMs = clock.readMonotonic()
    const oldest = [...this.#rows.values()].sort((left, right) => left.version - right.version)
    const excess = Math.max(0, oldest.length - maxRows)
    const removed = oldest.filter((row, index) => index < excess || nowMs - row.readAtMs > defaultSuspectOptions.termMs).slice(0, maxRowsAtOnce)
    if (removed.length === 0) return
    const outcome = await transact({ checks: [], writes: [], removals: removed.map(({ key }) => ({ table: hostsTable, key })) })
    log.record('suspect.rowsRemoved', 'Removed rows of crashes that are past their term, or too many.', { rows: removed.length, verdict: outcome.verdict })
  }

  #isRemover (): boolean {
    const { listHosts, own } = this.#options
    const ranked = listHosts().map(({ host }) => ({ host, hash: computeHash(`remover ${host}`) })).sort((left, right) => right.hash - left.hash)
    return ranked[0]?.host === own.host
  }
}
