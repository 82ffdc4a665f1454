/** The rules by which one host at a time gives an endpoint orders. */
import type { OwnerRow, RenewalRow } from '../schemas/hostRows.js'

/** Time between two renewals of a host's row, in milliseconds. */
export const renewalIntervalMs = 1000
/** A host gives no orders later than this after it sent its last successful renewal: one may be lost and one slow. */
export const orderLimitMs = 2600
/**
 * A host whose row has stood still for this long, in the eyes of one that reads the store all the while, has lost its
 * endpoints. The rest beyond `orderLimitMs` covers the way of an order and a slow answer of the store.
 */
export const expiryMs = 4000
/** The steady clock and the time of day may drift apart by this much before a pause is suspected. */
const maxClockDriftMs = 150

/** Whether a host may give orders now, by its own steady clock. */
export type MayOrder = (nowMs: number, provenAtMs: number) => boolean

export const mayOrder: MayOrder = (nowMs, provenAtMs) => nowMs - provenAtMs < orderLimitMs

/**
 * Notices that the process stood still although its steady clock did not count it: the time of day has run ahead. A
 * jump of the time of day looks the same, and costs one renewal.
 */
export class PauseDetector {
  #offsetMs: number | undefined

  /** Returns true where the two clocks have drifted apart since the last call. */
  checkPause (monotonicMs: number, wallMs: number): boolean {
    const offsetMs = wallMs - monotonicMs
    const before = this.#offsetMs
    this.#offsetMs = offsetMs
    return before !== undefined && Math.abs(offsetMs - before) > maxClockDriftMs
  }
}

interface WatchedHost {
  session: string
  renewal: number
  stillSinceMs: number
  /** Whether the renewal was seen to change, rather than read for the first time. */
  isFresh: boolean
}

/** Watches renewals by the reader's own clock; no clocks are compared between hosts. */
export class RenewalWatch {
  #hosts = new Map<string, WatchedHost>()

  recordRow (host: string, { session, renewal }: RenewalRow, nowMs: number): void {
    const known = this.#hosts.get(host)
    if (known?.session === session && known.renewal === renewal) return
    this.#hosts.set(host, { session, renewal, stillSinceMs: nowMs, isFresh: known !== undefined })
  }

  /** When a renewal of another host than `own` last changed. */
  readOthersRenewedAtMs (own: string): number {
    let latestMs = -Infinity
    for (const [host, { stillSinceMs, isFresh }] of this.#hosts) if (host !== own && isFresh) latestMs = Math.max(latestMs, stillSinceMs)
    return latestMs
  }

  recordRemoved (host: string): void {
    this.#hosts.delete(host)
  }

  /** While the store cannot be read, nobody's silence counts. */
  recordStoreAway (nowMs: number): void {
    for (const host of this.#hosts.values()) {
      host.stillSinceMs = nowMs
      host.isFresh = false
    }
  }

  readStillMs (host: string, nowMs: number): number {
    const known = this.#hosts.get(host)
    return known ? nowMs - known.stillSinceMs : Infinity
  }

  listExpired (nowMs: number): string[] {
    return [...this.#hosts].filter(([, host]) => nowMs - host.stillSinceMs >= expiryMs).map(([name]) => name)
  }
}

/** Whether an endpoint's row leaves it to whoever claims it first. */
export function isVacant (row: OwnerRow | undefined): boolean {
  return row === undefined || row.host === ''
}

/** One claim and its news take some 100 ms; the next host in rank waits half as long again. */
const claimTurnMs = 150

/** How long the host of rank `rank` among the takers leaves an endpoint to those before it, in milliseconds. */
export function computeClaimDelayMs (rank: number): number {
  return rank * claimTurnMs
}
