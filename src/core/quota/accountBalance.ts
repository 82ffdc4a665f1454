/** What a host may spend of an account without a message: its leased tokens and its local allowance. */
import { leaseMs } from './accountGranter.js'
import type { LeaseReply, LeaseReport } from './accountGranter.js'
import type { QuotaTerms } from './quotaTerms.js'

/** Time over which use is averaged. Over 1 s, each request of a rare user would lease tokens for another one that does not come. */
const useMs = 4000
/** A host leases what it uses within this time. */
const targetMs = 1000
/** Time between two reports: usually, and once half of the target is spent or the account is at its limit. */
const reportIntervalMs = 500
const minReportIntervalMs = 250
/** A reply that refused is valid for this long; then the next request asks again. */
const refusalMs = minReportIntervalMs
/** A lease is returned this long before it ends if it is no longer used. */
const returnMarginMs = 200

/** Where the tokens of a request came from, so that they can be returned there. */
export interface SpentTokens {
  readonly epoch: number
  readonly leased: number
  readonly local: number
}

export class AccountBalance {
  #terms: QuotaTerms
  #hostCount: number
  #local = 0
  #refilledAtMs: number
  #granter = ''
  #epoch = 0
  #granted = 0
  #spent = 0
  #returned = 0
  #validUntilMs = -Infinity
  #usePerSecond = 0
  #usedAtMs: number
  #meanCost = 0
  #hasUse = false
  #reportedAtMs = -Infinity
  #lastReportId = 0
  /** As of the last reply. */
  #repliedAtMs = -Infinity
  #refusedUntilMs = -Infinity
  #queueEndsAtMs = -Infinity

  /** The local allowance starts empty, so that a restart gives no new one. `hostCount` 0: the number of hosts is unknown. */
  constructor (terms: QuotaTerms, hostCount: number, nowMs: number) {
    this.#terms = terms
    this.#hostCount = hostCount
    this.#refilledAtMs = nowMs
    this.#usedAtMs = nowMs
  }

  setTerms (terms: QuotaTerms, hostCount: number, nowMs: number): void {
    this.#refill(nowMs)
    this.#terms = terms
    this.#hostCount = hostCount
    this.#local = Math.min(this.#local, this.#localCapacity)
  }

  /** Whether the account was used since the last report. */
  get hasUse (): boolean {
    return this.#hasUse
  }

  /** Milliseconds since the granter last replied. */
  getReplyAgeMs (nowMs: number): number {
    return nowMs - this.#repliedAtMs
  }

  getBalance (nowMs: number): number {
    this.#refill(nowMs)
    return this.#getLeased(nowMs) + this.#local
  }

  /** Records the demand of a request, whether it is served or not. */
  recordDemand (cost: number, nowMs: number): void {
    this.#usePerSecond = this.#usePerSecond * Math.exp((this.#usedAtMs - nowMs) / useMs) + cost * 1000 / useMs
    this.#usedAtMs = nowMs
    this.#meanCost = this.#meanCost === 0 ? cost : this.#meanCost * 0.9 + cost * 0.1
    this.#hasUse = true
  }

  /** Spends the cost of a request, of the lease first; undefined if the balance is not sufficient. */
  trySpend (cost: number, nowMs: number): SpentTokens | undefined {
    this.#refill(nowMs)
    const leased = Math.min(cost, this.#getLeased(nowMs))
    if (cost - leased > this.#local) return undefined
    this.#spent += leased
    this.#hasUse = true
    this.#local -= cost - leased
    return { epoch: this.#epoch, leased, local: cost - leased }
  }

  /** Takes back the tokens of a request that did not run; those of a lease that has ended are lost. */
  refund ({ epoch, leased, local }: SpentTokens, nowMs: number): void {
    this.#refill(nowMs)
    this.#local = Math.min(this.#localCapacity, this.#local + local)
    if (epoch === this.#epoch && nowMs < this.#validUntilMs) this.#spent = Math.max(0, this.#spent - leased)
    this.#hasUse = true
  }

  /** Whether the granter said lately that the account is at its limit. */
  isRefused (nowMs: number): boolean {
    return nowMs < this.#refusedUntilMs
  }

  /** Milliseconds until the tokens for a request return that is refused now, after those that this host refused before it. */
  queueRefused (cost: number, hostShare: number, nowMs: number): number {
    const perMs = Math.max(1e-9, this.#terms.perSecond * hostShare / 1000)
    this.#queueEndsAtMs = Math.min(nowMs + this.#terms.windowMs, Math.max(nowMs, this.#queueEndsAtMs) + cost / perMs)
    return this.#queueEndsAtMs - nowMs
  }

  /** Whether a report is due although no request waits. */
  isReportDue (nowMs: number): boolean {
    const sinceMs = nowMs - this.#reportedAtMs
    const leased = this.#getLeased(nowMs)
    if (!this.#hasUse) return leased > 0 && this.#validUntilMs - nowMs < returnMarginMs && sinceMs >= minReportIntervalMs
    if (sinceMs >= reportIntervalMs) return true
    return sinceMs >= minReportIntervalMs && (this.isRefused(nowMs) || leased < this.#getTarget(nowMs) / 2)
  }

  /** Whether the account is no longer used here, so that the balance need not be kept. */
  isIdle (nowMs: number): boolean {
    return !this.#hasUse && this.#getLeased(nowMs) === 0 && nowMs - this.#usedAtMs > this.#terms.windowMs * 2
  }

  /** Creates a report to a granter; `wanted` is what the waiting requests cost, `firstCost` what the first of them does. */
  createReport (granter: string, reportId: number, wanted: number, firstCost: number | undefined, nowMs: number): LeaseReport {
    if (granter !== this.#granter) this.#endLease()
    this.#granter = granter
    if (!this.#hasUse) this.#returned += this.#getLeased(nowMs)
    this.#reportedAtMs = nowMs
    this.#lastReportId = reportId
    const target = this.#hasUse ? this.#getTarget(nowMs) : 0
    this.#hasUse = false
    return { epoch: this.#epoch, spent: this.#spent, returned: this.#returned, wanted, target, unit: firstCost ?? this.#meanCost }
  }

  /** Receives the reply to the last report, which was sent at a time of this host's clock. */
  receiveReply (granter: string, reportId: number, { epoch, granted, availableInMs }: LeaseReply, sentAtMs: number, nowMs: number): boolean {
    if (granter !== this.#granter || reportId !== this.#lastReportId) return false
    if (epoch !== this.#epoch) {
      this.#endLease()
      this.#epoch = epoch
    }
    this.#granted = Math.max(this.#granted, granted)
    this.#validUntilMs = sentAtMs + leaseMs
    this.#repliedAtMs = nowMs
    this.#refusedUntilMs = availableInMs === undefined ? -Infinity : nowMs + refusalMs
    if (availableInMs !== undefined) this.#queueEndsAtMs = Math.max(this.#queueEndsAtMs, nowMs + availableInMs)
    return true
  }

  get #localCapacity (): number {
    return this.#hostCount === 0 ? 0 : this.#terms.localCapacity / this.#hostCount
  }

  #endLease (): void {
    this.#epoch = 0
    this.#granted = 0
    this.#spent = 0
    this.#returned = 0
    this.#validUntilMs = -Infinity
  }

  #getLeased (nowMs: number): number {
    return nowMs < this.#validUntilMs ? Math.max(0, this.#granted - this.#spent - this.#returned) : 0
  }

  #getTarget (nowMs: number): number {
    return this.#usePerSecond * Math.exp((this.#usedAtMs - nowMs) / useMs) * targetMs / 1000
  }

  #refill (nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs)
    this.#local = Math.min(this.#localCapacity, this.#local + elapsedMs * this.#localCapacity / this.#terms.windowMs)
    this.#refilledAtMs = nowMs
  }
}
