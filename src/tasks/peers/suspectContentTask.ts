/**
 * Counts on every host which request contents crash endpoints, and has those contents refused. A host writes the crashes that it
 * detects to the store, where every host reads them, also one that starts later. Hosts notify each other directly where it is
 * urgent (the content is already suspect) or the store is unavailable.
 */
import { ServedFingerprints } from '../../core/servedFingerprints.js'
import { createCrashRefusal, defaultSuspectOptions, SuspectRegistry } from '../../core/suspectRegistry.js'
import type { SuspectRecord } from '../../core/suspectRegistry.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { SuspectRow } from '../../schemas/hostRows.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { SuspectRowStore } from './suspectRowStore.js'

export interface SuspectContentTaskOptions {
  clock: Clock
  log: EventLog
  rowStore: Pick<SuspectRowStore, 'save'>
  /** Notifies the other hosts of crashes directly, ahead of the rows in the store. */
  notifyHosts: (rows: readonly SuspectRow[]) => void
  /** Whether the store is unavailable, so that rows written to it don't reach other hosts now. */
  isStoreUnavailable: () => boolean
  /** Whether a refused prompt part explains a crash, so that no content is blamed for it. */
  isExplained: (crash: string) => boolean
  /** Called with the crashes (`endpointId/incarnation`) of each record, for the crash detector. */
  receiveCrash: (crash: string) => void
  /** Called when requests with a content start to be refused. */
  receiveContentRefused: (fingerprint: string) => void
}

/** Endpoints that a content may crash before it is refused; the specification sets this limit. */
const maxCrashes = 3

export class SuspectContentTask {
  #options: SuspectContentTaskOptions
  #registry = new SuspectRegistry({ ...defaultSuspectOptions, maxCrashes })
  #servedFingerprints = new ServedFingerprints()

  constructor (options: SuspectContentTaskOptions) {
    this.#options = options
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
    const rows: SuspectRow[] = suspectFingerprints.map(fingerprint => ({ fingerprint, crash }))
    const urgent = rows.filter(({ fingerprint }) => this.isSuspect(fingerprint) || this.#options.isStoreUnavailable())
    for (const fingerprint of suspectFingerprints) this.addSuspectRecord({ fingerprint, crashes: [crash] })
    this.#options.notifyHosts(urgent)
    this.#options.rowStore.save(rows)
  }

  /** Removes a crash whose cause was found to be a prompt part. */
  receiveExplainedCrash (crash: string): void {
    this.#registry.removeCrash(crash, this.#options.clock.readMonotonic())
  }

  /** Counts crashes that another host reports or that this host has detected. */
  addSuspectRecord ({ fingerprint, crashes }: SuspectRecord): void {
    const { clock, log, isExplained, receiveCrash, receiveContentRefused } = this.#options
    const wasRefused = this.findRefusal(fingerprint) !== undefined
    for (const crash of crashes) receiveCrash(crash)
    const unexplained = crashes.filter(crash => !isExplained(crash))
    if (!this.#registry.addRecord({ fingerprint, crashes: unexplained }, clock.readMonotonic())) return
    log.record('suspect.counted', 'An endpoint crashed while a request with this content ran on it.', { content: fingerprint, crashes })
    if (wasRefused || !this.findRefusal(fingerprint)) return
    log.record('suspect.refused', 'Refusing requests with this content from now on, as they crash endpoints.', { content: fingerprint, crashes })
    receiveContentRefused(fingerprint)
  }

  #findState (fingerprint: string): ReturnType<SuspectRegistry['findState']> {
    return this.#registry.findState(fingerprint, this.#options.clock.readMonotonic())
  }
}
