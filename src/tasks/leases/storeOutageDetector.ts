/** Detects whether the store is unavailable to all hosts or only to this one, by asking the other hosts. */
import { storeOutageMs } from '../../core/leaseWitnesses.js'
import type { Clock, Timer } from '../../ports/clock.js'

export interface StoreOutageDetectorOptions {
  clock: Clock
  /** Milliseconds since the store is known to have responded to this host, or to a host that it reads or renews through. */
  getStoreAgeMs: () => number
  listPeers: () => { host: string, address: string }[]
  /** Asks a host how long ago the store last responded to it, in milliseconds; undefined if the host does not respond. */
  requestStoreAge: (address: string) => Promise<number | undefined>
  /** Whether this host needs the result with so many peers; they are polled only then. */
  isNeeded: (peerCount: number) => boolean
}

/** Interval between two rounds of polls; each round asks all hosts. */
const pollIntervalMs = 400
/** How long a peer's report is valid. */
const reportTtlMs = 1200

interface StoreAgeReport {
  storeAgeMs: number
  askedAtMs: number
  receivedAtMs: number
}

export class StoreOutageDetector {
  #options: StoreOutageDetectorOptions
  #reports = new Map<string, StoreAgeReport>()
  #timer: Timer | undefined

  constructor (options: StoreOutageDetectorOptions) {
    this.#options = options
  }

  start (): void {
    const pollIfNeeded = (): void => {
      const { isNeeded, getStoreAgeMs, listPeers } = this.#options
      if (getStoreAgeMs() > storeOutageMs && isNeeded(listPeers().length)) this.#pollPeers()
      this.#timer = this.#options.clock.setTimer(pollIfNeeded, pollIntervalMs)
    }
    pollIfNeeded()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Part of the known hosts that report the store as unavailable, this one included; undefined if there is no outage. */
  findOutageShare (): number | undefined {
    const { clock, getStoreAgeMs, listPeers } = this.#options
    if (getStoreAgeMs() <= storeOutageMs) return undefined
    const nowMs = clock.readMonotonic()
    const peers = listPeers()
    let respondingHostCount = 1
    for (const { host } of peers) {
      const report = this.#reports.get(host)
      if (!report || nowMs - report.receivedAtMs > reportTtlMs) continue
      if (report.storeAgeMs <= storeOutageMs) return undefined
      respondingHostCount++
    }
    const share = respondingHostCount / (peers.length + 1)
    return share > 0.5 ? share : undefined
  }

  /**
   * Whether a host was asked within the last `withinMs`, and had then learned nothing from the store since a time of this host's clock.
   *
   * @example
   * detector.hadNothingSince('front-3', clock.readMonotonic() - 4000, 1000) // true: a second ago it had not reached the store for longer
   */
  hadNothingSince (host: string, sinceMs: number, withinMs: number): boolean {
    const report = this.#reports.get(host)
    return report !== undefined && this.#options.clock.readMonotonic() - report.askedAtMs <= withinMs && report.receivedAtMs - report.storeAgeMs <= sinceMs
  }

  #pollPeers (): void {
    const { clock, listPeers, requestStoreAge } = this.#options
    const askedAtMs = clock.readMonotonic()
    for (const { host, address } of listPeers()) {
      requestStoreAge(address).then(storeAgeMs => {
        if (storeAgeMs !== undefined) this.#reports.set(host, { storeAgeMs, askedAtMs, receivedAtMs: clock.readMonotonic() })
      })
    }
  }
}
