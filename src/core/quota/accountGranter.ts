/** Grants tokens of one account's quota to hosts: a bucket, and the leases that hosts have not spent yet. */
import { GrantLog } from './grantLog.js'
import type { QuotaTerms } from './quotaTerms.js'

/** A host may spend leased tokens for this long after it sent the report that they were granted for. */
export const leaseMs = 2000
/** The granter counts a lease as spent if its host has not reported for this long; later than the host drops it. */
const forgetMs = leaseMs + 500
/** Fraction of the leases that may be unspent which is granted ahead of need; long prompts take up to a quarter of them each. */
const aheadRatio = 0.6
/** The longest retry time that a caller gets, as what lies further ahead cannot be foreseen. */
const maxRetryMs = 8000

/** What a host reports of an account. */
export interface LeaseReport {
  /** The granter's number of the lease that `spent` and `returned` belong to; 0 if the host has none. */
  readonly epoch: number
  /** Sums over the lease. */
  readonly spent: number
  readonly returned: number
  /** Balance that the waiting requests need. */
  readonly wanted: number
  /** Balance that the host would use within about a second. */
  readonly target: number
  /** Cost of a usual request; what is granted without being waited for comes in multiples of it. */
  readonly unit: number
}

export interface LeaseReply {
  readonly epoch: number
  /** Sum over the lease. */
  readonly granted: number
  /**
   * Milliseconds until the tokens for a refused request are available, after those refused before it; absent if all was granted, or if
   * it only takes until other hosts report what they spent.
   */
  readonly availableInMs?: number
}

interface HostLease {
  epoch: number
  session: string
  reportId: number
  granted: number
  spent: number
  returned: number
  reportedAtMs: number
}

export class AccountGranter {
  #terms: QuotaTerms
  #share = 0
  #level: number
  #updatedAtMs: number
  #leases = new Map<string, HostLease>()
  #log: GrantLog
  #outstanding = 0
  /** When the tokens of all requests that were refused have returned. */
  #queueEndsAtMs = -Infinity
  #lastPrunedAtMs: number
  #nextEpoch: number

  /**
   * `heldSinceMs`: since when this granter alone has granted; for that time its bucket was filled. `firstEpoch`: a random number, as
   * hosts may hold leases of an earlier process.
   */
  constructor (terms: QuotaTerms, { nowMs, heldSinceMs, share, firstEpoch }: { nowMs: number, heldSinceMs: number, share: number, firstEpoch: number }) {
    this.#terms = terms
    this.#share = share
    this.#log = new GrantLog(terms.windowMs)
    this.#level = Math.min(terms.capacity * share, Math.max(0, nowMs - heldSinceMs) * terms.perSecond * share / 1000)
    this.#updatedAtMs = nowMs
    this.#lastPrunedAtMs = nowMs
    this.#nextEpoch = firstEpoch
  }

  get outstanding (): number {
    return this.#outstanding
  }

  /** Whether a new granter would grant the same, so that this one need not be kept. */
  isIdle (nowMs: number): boolean {
    this.#refill(nowMs)
    this.#prune(nowMs)
    return this.#leases.size === 0 && this.#log.sum(nowMs) === 0 && this.#level >= this.#terms.capacity * this.#share
  }

  /** Sets the terms and the part of the rate that this granter may give; what a bucket holds beyond its capacity is lost. */
  setTerms (terms: QuotaTerms, share: number, nowMs: number): void {
    this.#refill(nowMs)
    if (terms.windowLimit < this.#terms.windowLimit) {
      // A lowered limit applies to windows that begin from now on; what was granted under the former one would block the account for seconds.
      this.#log.clear()
      this.#level = Math.max(this.#level, -terms.maxOverdraft)
    }
    this.#terms = terms
    this.#share = share
    this.#level = Math.min(this.#level, terms.capacity * share)
  }

  /**
   * Settles what a host reports and grants what it needs; undefined for a report that is older than one received. `canOverdraw`: this
   * granter alone has granted for a whole window.
   */
  receiveReport (host: { name: string, session: string }, reportId: number, report: LeaseReport, canOverdraw: boolean, nowMs: number): LeaseReply | undefined {
    this.#refill(nowMs)
    if (nowMs - this.#lastPrunedAtMs > forgetMs / 4) this.#prune(nowMs)
    const lease = this.#findLease(host, report, nowMs)
    if (reportId <= lease.reportId) return undefined
    if (lease.epoch === report.epoch) this.#settle(lease, report)
    lease.reportId = reportId
    lease.reportedAtMs = nowMs
    const availableInMs = this.#grant(lease, report, this.#computeAvailable(canOverdraw, nowMs), nowMs)
    return { epoch: lease.epoch, granted: lease.granted, ...(availableInMs !== undefined && { availableInMs }) }
  }

  /** A host whose process, or whose lease here, has ended gets a new lease; what it held counts as spent. */
  #findLease ({ name, session }: { name: string, session: string }, report: LeaseReport, nowMs: number): HostLease {
    const known = this.#leases.get(name)
    const isCurrent = known?.session === session && nowMs - known.reportedAtMs < forgetMs
    if (known && isCurrent && report.epoch === known.epoch) return known
    const lease = { epoch: this.#nextEpoch++, session, reportId: isCurrent ? known.reportId : 0, granted: 0, spent: 0, returned: 0, reportedAtMs: nowMs }
    if (known) this.#outstanding -= getBalance(known)
    this.#leases.set(name, lease)
    return lease
  }

  #settle (lease: HostLease, report: LeaseReport): void {
    this.#outstanding -= getBalance(lease)
    const returned = Math.max(lease.returned, Math.min(report.returned, lease.granted - report.spent))
    this.#level = Math.min(this.#terms.capacity * this.#share, this.#level + returned - lease.returned)
    lease.returned = returned
    lease.spent = Math.max(0, Math.min(report.spent, lease.granted - returned))
    this.#outstanding += getBalance(lease)
  }

  /** What the bucket holds, and the overdraft while the window's limit allows it. */
  #computeAvailable (canOverdraw: boolean, nowMs: number): number {
    const { maxOverdraft, windowLimit } = this.#terms
    return canOverdraw ? Math.max(this.#level, Math.min(this.#level + maxOverdraft, windowLimit - this.#log.sum(nowMs))) : this.#level
  }

  #grant (lease: HostLease, { wanted, target, unit }: LeaseReport, available: number, nowMs: number): number | undefined {
    const { capacity, maxOutstanding } = this.#terms
    const balance = getBalance(lease)
    const room = maxOutstanding - this.#outstanding
    const needed = Math.max(0, wanted - balance)
    // A request that costs more than all leases together is granted alone; one above the capacity takes a full bucket into debt.
    const isFull = this.#level >= capacity * this.#share - 1e-6
    const limit = Math.min(Math.max(available, this.#level + (isFull ? this.#terms.maxDebt * this.#share : 0)), this.#outstanding <= 0 ? Math.max(room, unit) : room)
    const fairTarget = Math.min(target, maxOutstanding / Math.max(1, this.#leases.size))
    const planned = Math.max(needed, Math.floor((fairTarget - balance) / Math.max(unit, 1e-9)) * unit)
    // Overdraft and part of the leases are kept for requests that wait: leases ahead of need would use them up at hosts that may not need them.
    const ahead = Math.min(planned, maxOutstanding * aheadRatio - this.#outstanding, this.#level)
    const granted = planned <= ahead ? planned : needed > 0 && needed <= limit ? needed : this.#computeUnits(needed > 0 ? Math.min(planned, limit) : ahead, balance, unit)
    if (granted > 0) {
      this.#level -= granted
      lease.granted += granted
      this.#outstanding += granted
      this.#log.add(granted, nowMs)
    }
    // Leases that are spent already count as unspent until their hosts report, within 250 ms; the host asks again meanwhile.
    if (needed <= granted || needed <= available) return undefined
    return this.#queueRefused(unit, available - granted, nowMs)
  }

  /** Whole requests only: fragments that no host can use would fill up what may be outstanding. */
  #computeUnits (available: number, balance: number, unit: number): number {
    if (available <= 0 || unit <= 0) return 0
    return Math.max(0, Math.floor((balance + available) / unit) * unit - balance)
  }

  #queueRefused (cost: number, available: number, nowMs: number): number {
    const perMs = this.#terms.perSecond * this.#share / 1000
    if (perMs <= 0) return maxRetryMs
    const freeAtMs = nowMs + Math.max(0, cost - available) / perMs
    this.#queueEndsAtMs = Math.min(nowMs + maxRetryMs, Math.max(freeAtMs, this.#queueEndsAtMs + cost / perMs))
    return this.#queueEndsAtMs - nowMs
  }

  #refill (nowMs: number): void {
    const { capacity, perSecond } = this.#terms
    const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs)
    this.#level = Math.min(capacity * this.#share, this.#level + elapsedMs * perSecond * this.#share / 1000)
    this.#updatedAtMs = nowMs
  }

  #prune (nowMs: number): void {
    this.#lastPrunedAtMs = nowMs
    for (const [host, lease] of this.#leases) {
      if (nowMs - lease.reportedAtMs < forgetMs) continue
      this.#outstanding -= getBalance(lease)
      this.#leases.delete(host)
    }
  }
}

function getBalance ({ granted, spent, returned }: HostLease): number {
  return Math.max(0, granted - spent - returned)
}
