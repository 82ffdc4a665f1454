/** The lease that lets one host at a time send orders to an endpoint, and how other hosts detect that it expired. */
import type { OwnerRow, RenewalRow } from '../schemas/hostRows.js'

/** Time between two renewals of a host's row, in milliseconds. */
export const renewalIntervalMs = 1000
/** A host sends no orders later than this after it sent its last successful renewal: one may be lost and one slow. */
export const orderLimitMs = 2600
/**
 * A host whose renewal counter has not changed for this long, as seen by a host that reads the store continuously, has lost its
 * endpoints. The margin beyond `orderLimitMs` covers the transmission of an order and a slow answer of the store.
 */
export const hostExpiryMs = 4000
/**
 * When the store is restored from a copy, a host keeps an endpoint only if it last renewed within this time, by its own clock: until
 * then no other host can have found that it expired. The margin covers clocks that run at different rates.
 */
export const keepLimitMs = hostExpiryMs - 400
/**
 * The same for a host that kept its endpoints as the store was unavailable to all hosts: the time since it last knew so. Others need
 * `hostExpiryMs` from the store's return, which such a host may notice 1.2 s late.
 */
export const keepAfterOutageMs = 2000
/** The monotonic clock and the time of day may drift apart by this much before a pause is suspected. */
const maxClockDriftMs = 150

/** Whether a host may send orders now, by its own monotonic clock; `renewedAtMs` is when it sent its last successful renewal. */
export type MayOrder = (nowMs: number, renewedAtMs: number) => boolean

export const mayOrder: MayOrder = (nowMs, renewedAtMs) => nowMs - renewedAtMs < orderLimitMs

/**
 * Detects that the process was paused while its monotonic clock stood still: the time of day has advanced further. A change of
 * the time of day looks the same, and costs one renewal.
 */
export class PauseDetector {
  #offsetMs: number | undefined

  /** Returns whether the two clocks have drifted apart since the last call. */
  checkPause (monotonicMs: number, wallMs: number): boolean {
    const offsetMs = wallMs - monotonicMs
    const previousMs = this.#offsetMs
    this.#offsetMs = offsetMs
    return previousMs !== undefined && Math.abs(offsetMs - previousMs) > maxClockDriftMs
  }
}

interface TrackedHost {
  session: string
  renewal: number
  changedAtMs: number
  /** Whether the counter was seen to change, rather than read for the first time. */
  isFresh: boolean
}

/** Tracks hosts' renewal counters on the reader's own clock, so that no clocks are compared between hosts. */
export class HostExpiryTracker {
  #hosts = new Map<string, TrackedHost>()

  recordRenewal (host: string, { session, renewal }: RenewalRow, nowMs: number): void {
    const known = this.#hosts.get(host)
    if (known?.session === session && known.renewal === renewal) return
    this.#hosts.set(host, { session, renewal, changedAtMs: nowMs, isFresh: known !== undefined })
  }

  /** When a renewal counter of another host than `own` last changed. */
  getOthersRenewedAtMs (own: string): number {
    let latestMs = -Infinity
    for (const [host, { changedAtMs, isFresh }] of this.#hosts) if (host !== own && isFresh) latestMs = Math.max(latestMs, changedAtMs)
    return latestMs
  }

  /** Forgets all hosts: counters that are read next may be older than those that are known. */
  clear (): void {
    this.#hosts.clear()
  }

  removeHost (host: string): void {
    this.#hosts.delete(host)
  }

  /** Restarts the time without change of all hosts, as it is not evidence of a failure while the store cannot be read. */
  recordStoreUnavailable (nowMs: number): void {
    for (const host of this.#hosts.values()) {
      host.changedAtMs = nowMs
      host.isFresh = false
    }
  }

  /** Time since a host's renewal counter last changed; `Infinity` for an unknown host. */
  getStalledMs (host: string, nowMs: number): number {
    const known = this.#hosts.get(host)
    return known ? nowMs - known.changedAtMs : Infinity
  }

  listExpired (nowMs: number): string[] {
    return [...this.#hosts].filter(([, host]) => nowMs - host.changedAtMs >= hostExpiryMs).map(([name]) => name)
  }
}

/** Whether an endpoint has no owner, so that any host may claim it. */
export function isUnowned (row: OwnerRow | undefined): boolean {
  return row === undefined || row.host === ''
}

/** A claim and the update that announces it take about 100 ms; the next claimant waits half as long again. */
const claimIntervalMs = 150

/** Computes how long the claimant of rank `rank` leaves an endpoint to claimants of lower rank, in milliseconds. */
export function computeClaimDelayMs (rank: number): number {
  return rank * claimIntervalMs
}
