/**
 * Finds requests that crash endpoints and has every host refuse them. For each content one host counts, the first by
 * rendezvous hashing; it tells the others once a second endpoint went away beneath the same content.
 */
import { computeHash } from '../../core/rendezvousHash.js'
import { createCrashRefusal, defaultSuspectOptions, SuspectRegister } from '../../core/suspects.js'
import type { SuspectRecord } from '../../core/suspects.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { CrashReport, HostMessage } from '../../schemas/datagram.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export interface SuspectTaskOptions {
  clock: Clock
  log: EventLog
  own: { address: string, host: string }
  /** All hosts, this one included. */
  listHosts: () => { address: string, host: string }[]
  send: (address: string, message: HostMessage) => void
  /** Requests of a content are refused from now on. */
  receiveRefused: (fingerprint: string) => void
}

/** Endpoints that a content may crash before it is refused; what the pages allow. */
const maxCrashes = 3
/** From so many crashes on all hosts know, so that the third is noticed wherever the content comes next. */
const toldCrashes = 2
/** Contents in one message; each takes some 40 bytes. */
const maxReported = 24

export class SuspectTask {
  #options: SuspectTaskOptions
  #register = new SuspectRegister({ ...defaultSuspectOptions, maxCrashes })
  #counted = new Map<string, Set<string>>()

  constructor (options: SuspectTaskOptions) {
    this.#options = options
  }

  /** The refusal of requests of a content; undefined where they may run. */
  findRefusal (fingerprint: string): RequestFailure | undefined {
    return this.#register.findState(fingerprint, this.#options.clock.readMonotonic()) === 'refused' ? createCrashRefusal(maxCrashes) : undefined
  }

  /** An endpoint went away while requests of these contents ran on it. */
  reportCrash (crash: string, fingerprints: readonly string[]): void {
    const { own, send } = this.#options
    const byHost = new Map<string, string[]>()
    for (const fingerprint of new Set(fingerprints)) {
      const address = this.#findCounter(fingerprint)
      byHost.set(address, [...byHost.get(address) ?? [], fingerprint])
    }
    for (const [address, list] of byHost) {
      for (let start = 0; start < list.length; start += maxReported) {
        const report: CrashReport = { type: 'crashed', crash, fingerprints: list.slice(start, start + maxReported) }
        if (address === own.address) this.receiveCrash(report)
        else send(address, report)
      }
    }
  }

  receiveCrash ({ crash, fingerprints }: CrashReport): void {
    const { log, listHosts, own, send } = this.#options
    for (const fingerprint of fingerprints) {
      const crashes = this.#counted.get(fingerprint) ?? new Set<string>()
      crashes.add(crash)
      this.#counted.delete(fingerprint)
      this.#counted.set(fingerprint, crashes)
      if (this.#counted.size > defaultSuspectOptions.maxSuspects) this.#counted.delete(this.#counted.keys().next().value!)
      log.record('suspect.counted', 'An endpoint went away beneath a content.', { content: fingerprint, crash, crashes: crashes.size })
      if (crashes.size < toldCrashes) continue
      const record: SuspectRecord = { fingerprint, crashes: [...crashes] }
      log.record('suspect.told', 'A content was running when several endpoints went away; all hosts are told.', { content: fingerprint, crashes: record.crashes })
      this.receiveSuspect(record)
      for (const { address } of listHosts()) if (address !== own.address) send(address, { type: 'suspect', ...record })
    }
  }

  receiveSuspect ({ fingerprint, crashes }: SuspectRecord): void {
    const { clock, log } = this.#options
    const isNews = this.#register.addRecord({ fingerprint, crashes }, clock.readMonotonic())
    if (!isNews || !this.findRefusal(fingerprint)) return
    log.record('suspect.refused', 'Requests of this content are refused from now on, as they crash endpoints.', { content: fingerprint, crashes })
    this.#options.receiveRefused(fingerprint)
  }

  #findCounter (fingerprint: string): string {
    const { listHosts, own } = this.#options
    let counter = own.address
    let highest = -1
    for (const { address, host } of listHosts()) {
      const hash = computeHash(`${fingerprint} ${host}`)
      if (hash > highest) [counter, highest] = [address, hash]
    }
    return counter
  }
}
