/** Grants one permit of the weight store's budget to one load at a time, most urgent first. */
import { LoadBudget } from '../../core/loadBudget.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { PeerMessageOf } from '../../schemas/peerMessage.js'

/** A grant expires after this time, even if its holder has not released it. */
const maxGrantMs = 60_000
/** The load of a holder whose connection has closed may continue for this time. */
const disconnectedHolderGraceMs = 5000

export interface PermitGranterOptions {
  clock: Clock
  permit: number
  loadsPerSecond: number
  /** Delay before the first grant, so that loads granted by an earlier granter can end. */
  startDelayMs: number
  sendGrant: (hostId: string, grant: PeerMessageOf<'permitGrant'>) => void
}

interface PermitEntry {
  hostId: string
  permitRequestId: string
  /** Set once the permit is granted; releases it on expiry. */
  expiryTimer: Timer | undefined
}

export class PermitGranter {
  #options: PermitGranterOptions
  #budget: LoadBudget
  #entries = new Map<string, PermitEntry>()
  #grantTimer: Timer | undefined
  #startsAtMs: number

  constructor (options: PermitGranterOptions) {
    this.#options = options
    const nowMs = options.clock.readMonotonic()
    this.#startsAtMs = nowMs + options.startDelayMs
    this.#budget = new LoadBudget({ loadsPerSecond: options.loadsPerSecond, loadsAtFullSpeed: 1 }, nowMs)
  }

  receiveRequest (hostId: string, request: PeerMessageOf<'permitRequest'>): void {
    const permitId = formatPermitId(hostId, request.permitRequestId)
    if (this.#entries.has(permitId)) return
    const entry: PermitEntry = { hostId, permitRequestId: request.permitRequestId, expiryTimer: undefined }
    this.#entries.set(permitId, entry)
    if (request.isHeld) {
      this.#budget.addGranted(permitId)
      this.#startExpiry(permitId, entry, maxGrantMs)
      return
    }
    this.#budget.addWaiting({ permitId, neededAtMs: this.#options.clock.readMonotonic() + request.slackMs })
    this.#grantNext()
  }

  receiveRelease (hostId: string, permitRequestId: string): void {
    this.#release(formatPermitId(hostId, permitRequestId))
  }

  /** The connection to a host has closed: drops its waiting requests and releases its grants after a grace period. */
  receiveClosed (hostId: string): void {
    for (const [permitId, entry] of [...this.#entries]) {
      if (entry.hostId !== hostId) continue
      if (entry.expiryTimer) this.#startExpiry(permitId, entry, disconnectedHolderGraceMs)
      else this.#release(permitId)
    }
  }

  /** Returns the number of waiting requests and of granted permits. */
  describeState (): { waiting: number, granted: number } {
    const granted = [...this.#entries.values()].filter(entry => entry.expiryTimer !== undefined).length
    return { waiting: this.#entries.size - granted, granted }
  }

  stop (): void {
    this.#grantTimer?.cancel()
    for (const entry of this.#entries.values()) entry.expiryTimer?.cancel()
  }

  #release (permitId: string): void {
    this.#entries.get(permitId)?.expiryTimer?.cancel()
    this.#entries.delete(permitId)
    this.#budget.releasePermit(permitId)
    this.#grantNext()
  }

  #startExpiry (permitId: string, entry: PermitEntry, expiryMs: number): void {
    entry.expiryTimer?.cancel()
    entry.expiryTimer = this.#options.clock.setTimer(() => this.#release(permitId), expiryMs)
  }

  #grantNext (): void {
    const { clock, permit, sendGrant } = this.#options
    const nowMs = clock.readMonotonic()
    const load = nowMs >= this.#startsAtMs ? this.#budget.grantNextPermit(nowMs) : undefined
    const entry = load && this.#entries.get(load.permitId)
    if (load && entry) {
      this.#startExpiry(load.permitId, entry, maxGrantMs)
      sendGrant(entry.hostId, { type: 'permitGrant', permit, permitRequestId: entry.permitRequestId })
    }
    this.#scheduleGrant(nowMs)
  }

  #scheduleGrant (nowMs: number): void {
    this.#grantTimer?.cancel()
    const nextMs = this.#budget.findNextPermitMs(nowMs)
    if (nextMs === undefined) return
    this.#grantTimer = this.#options.clock.setTimer(() => this.#grantNext(), Math.max(1, nextMs - nowMs, this.#startsAtMs - nowMs))
  }
}

function formatPermitId (hostId: string, permitRequestId: string): string {
  return `${hostId}/${permitRequestId}`
}
