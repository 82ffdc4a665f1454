/** Detects whether the store is unavailable to all hosts or only to this one, by asking the other hosts. */
import type { Clock, Timer } from '../../ports/clock.js'

export interface StoreOutageDetectorOptions {
  clock: Clock
  /** Milliseconds since the store is known to have responded to this host, or to a host that it reads or renews through. */
  getStoreAgeMs: () => number
  listPeers: () => { host: string, address: string }[]
  /** Asks a host how long ago the store last responded to it, in milliseconds; undefined if the host does not respond. */
  requestStoreAge: (address: string) => Promise<number | undefined>
  /** Whether this host needs the result; peers are polled only then. */
  isNeeded: () => boolean
}

/**
 * A store without a response for this long may be unavailable: one renewal interval and a response time. Two rounds of polls fit
 * in before `orderLimitMs`, after which owners send no orders unless the store is unavailable to all hosts.
 */
const unavailableAfterMs = 1400
/** Interval between two rounds of polls; each round asks all hosts. */
const pollIntervalMs = 400
/** How long a peer's report is valid. */
const reportTtlMs = 1200

interface StoreAgeReport {
  storeAgeMs: number
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
      if (this.#options.isNeeded() && this.#options.getStoreAgeMs() > unavailableAfterMs) this.#pollPeers()
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
    if (getStoreAgeMs() <= unavailableAfterMs) return undefined
    const nowMs = clock.readMonotonic()
    const peers = listPeers()
    let respondingHostCount = 1
    for (const { host } of peers) {
      const report = this.#reports.get(host)
      if (!report || nowMs - report.receivedAtMs > reportTtlMs) continue
      if (report.storeAgeMs <= unavailableAfterMs) return undefined
      respondingHostCount++
    }
    const share = respondingHostCount / (peers.length + 1)
    return share > 0.5 ? share : undefined
  }

  #pollPeers (): void {
    const { clock, listPeers, requestStoreAge } = this.#options
    for (const { host, address } of listPeers()) {
      requestStoreAge(address).then(storeAgeMs => {
        if (storeAgeMs !== undefined) this.#reports.set(host, { storeAgeMs, receivedAtMs: clock.readMonotonic() })
      })
    }
  }
}
