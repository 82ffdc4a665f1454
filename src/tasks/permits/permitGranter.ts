/** Grants one permit of the weight store's budget to one load at a time, the most urgent first. */
import { LoadBudget } from '../../core/loadBudget.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { PeerMessageOf } from '../../schemas/peerMessage.js'

/** A grant is taken back after this time, whatever its holder says. */
const grantLimitMs = 60_000
/** The load of a holder whose link has closed may go on for this time. */
const lostHolderMs = 5000

export interface PermitGranterOptions {
  clock: Clock
  permit: number
  loadsPerSecond: number
  /** No grant is given before this time, so that loads under an earlier granter can end. */
  holdMs: number
  sendGrant: (hostId: string, grant: PeerMessageOf<'permitGrant'>) => void
}

interface Asked {
  hostId: string
  permitRequestId: string
  /** Set once granted; takes the grant back. */
  limit: Timer | undefined
}

export class PermitGranter {
  #options: PermitGranterOptions
  #budget: LoadBudget
  #asked = new Map<string, Asked>()
  #wake: Timer | undefined
  #startsAtMs: number

  constructor (options: PermitGranterOptions) {
    this.#options = options
    const nowMs = options.clock.readMonotonic()
    this.#startsAtMs = nowMs + options.holdMs
    this.#budget = new LoadBudget({ loadsPerSecond: options.loadsPerSecond, loadsAtFullSpeed: 1 }, nowMs)
  }

  receiveRequest (hostId: string, request: PeerMessageOf<'permitRequest'>): void {
    const permitId = formatPermitId(hostId, request.permitRequestId)
    if (this.#asked.has(permitId)) return
    const asked: Asked = { hostId, permitRequestId: request.permitRequestId, limit: undefined }
    this.#asked.set(permitId, asked)
    if (request.isHeld) {
      this.#budget.addGranted(permitId)
      this.#setLimit(permitId, asked, grantLimitMs)
      return
    }
    this.#budget.addWaiting({ permitId, neededAtMs: this.#options.clock.readMonotonic() + request.slackMs })
    this.#grant()
  }

  receiveRelease (hostId: string, permitRequestId: string): void {
    this.#release(formatPermitId(hostId, permitRequestId))
  }

  /** The link to a host has closed: it gets nothing more, and what it holds is taken back soon. */
  receiveClosed (hostId: string): void {
    for (const [permitId, asked] of [...this.#asked]) {
      if (asked.hostId !== hostId) continue
      if (asked.limit) this.#setLimit(permitId, asked, lostHolderMs)
      else this.#release(permitId)
    }
  }

  /** Counts the permits that are asked for and those that are granted. */
  describeState (): { waiting: number, granted: number } {
    const granted = [...this.#asked.values()].filter(asked => asked.limit !== undefined).length
    return { waiting: this.#asked.size - granted, granted }
  }

  stop (): void {
    this.#wake?.cancel()
    for (const asked of this.#asked.values()) asked.limit?.cancel()
  }

  #release (permitId: string): void {
    this.#asked.get(permitId)?.limit?.cancel()
    this.#asked.delete(permitId)
    this.#budget.releasePermit(permitId)
    this.#grant()
  }

  #setLimit (permitId: string, asked: Asked, limitMs: number): void {
    asked.limit?.cancel()
    asked.limit = this.#options.clock.setTimer(() => this.#release(permitId), limitMs)
  }

  #grant (): void {
    const { clock, permit, sendGrant } = this.#options
    const nowMs = clock.readMonotonic()
    const load = nowMs >= this.#startsAtMs ? this.#budget.takeNext(nowMs) : undefined
    const asked = load && this.#asked.get(load.permitId)
    if (load && asked) {
      this.#setLimit(load.permitId, asked, grantLimitMs)
      sendGrant(asked.hostId, { type: 'permitGrant', permit, permitRequestId: asked.permitRequestId })
    }
    this.#scheduleGrant(nowMs)
  }

  #scheduleGrant (nowMs: number): void {
    this.#wake?.cancel()
    const nextMs = this.#budget.findNextPermitMs(nowMs)
    if (nextMs === undefined) return
    this.#wake = this.#options.clock.setTimer(() => this.#grant(), Math.max(1, nextMs - nowMs, this.#startsAtMs - nowMs))
  }
}

function formatPermitId (hostId: string, permitRequestId: string): string {
  return `${hostId}/${permitRequestId}`
}
