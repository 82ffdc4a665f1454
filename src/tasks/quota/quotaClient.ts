/** Charges requests to the balances that this host holds of accounts, and requests more tokens from their granters. */
import { AccountBalance } from '../../core/quota/accountBalance.js'
import { computeRequestCost } from '../../core/quota/quotaTerms.js'
import type { RequestTokens } from '../../core/quota/quotaTerms.js'
import { PeerBackoff } from '../../core/peerBackoff.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { DatagramSender } from '../../ports/datagrams.js'
import type { EventFields, EventLog } from '../../ports/eventLog.js'
import type { QuotaGrant, QuotaReport } from '../../schemas/datagram.js'
import type { ClientAccount } from '../../schemas/routing.js'
import type { KnownQuota, QuotaDirectory, QuotaHost } from './quotaDirectory.js'

export interface ChargedRequest {
  readonly kind: 'charged'
  /** Returns the cost; called if the request did not run. */
  readonly refund: () => void
}

export interface RefusedCharge {
  readonly kind: 'refused'
  readonly retryAfterMs: number
  readonly reason: string
  /** What the refusal was decided by, with its age. */
  readonly details: EventFields
}
export type ChargeResult = ChargedRequest | RefusedCharge

/** Receives what was spent and refused, for metrics. */
export interface QuotaMeter {
  recordSpent: (account: string, cost: number) => void
  recordReturned: (account: string, cost: number) => void
  recordRefused: (account: string, cost: number) => void
}

export interface QuotaClientOptions {
  clock: Clock
  log: EventLog
  directory: QuotaDirectory
  meter: QuotaMeter
  /** Sends a report; returns the reply at once if this host itself is the granter. */
  sendReport: (granter: QuotaHost, report: QuotaReport) => QuotaGrant | undefined
  /** Number of hosts that local allowances are divided by; 0 if it is unknown. */
  countHosts: () => number
  random: () => number
}

interface WaitingRequest {
  readonly cost: number
  /** Id of the first report that contained it; undefined if none was sent since it waits. */
  reportId: number | undefined
  attempts: number
  readonly settle: (result: ChargeResult) => void
}

interface HeldAccount {
  readonly name: string
  known: KnownQuota
  readonly balance: AccountBalance
  waiting: WaitingRequest[]
  /** The report with waiting requests that has not been answered. */
  pendingId: number | undefined
  /** Set while waiting requests are about to be reported again, after a reply without tokens for them. */
  retryTimer: Timer | undefined
}

interface SentReport {
  readonly granter: QuotaHost
  readonly group: number
  readonly sentAtMs: number
  readonly accounts: readonly HeldAccount[]
  timer: Timer
}

type RefusalCause = 'the account is at its limit' | 'no granter of the quota responds' | 'too many requests wait for the quota'

/** A reply that takes longer is not waited for; the report is repeated once before its granter counts as silent. */
const replyTimeoutMs = 50
/** After a reply that neither grants nor refuses, the granter is asked again after this time: within four of them, other hosts report. */
const retryMs = 60
/** A reply that arrives later than `replyTimeoutMs`, but within this time, still shows that the granter responds. */
const lateReplyMs = 1000
/** Reports that a request waits for: two to the granter, one to its deputy, and one more if that says that the granter grants. */
const maxAttempts = 4
/** A host that says it is not the granter is not asked again for this long. */
const notGranterMs = 300
/** Entries in one datagram, to stay within a few kilobytes. */
const maxAccountsPerReport = 16
const maxWaitingPerAccount = 256
/** Requests that state more cost this much, beyond any quota: sums of their costs stay finite, and hosts drop messages with numbers that are not. */
const maxCost = 1e12
/** Callers come back within this part of the time later. */
const retrySpread = 0.25
/** When callers may come back while no granter responds. */
const silentRetryMs = 500
const freeCharge: ChargedRequest = Object.freeze({ kind: 'charged', refund: () => {} })

export class QuotaClient {
  #options: QuotaClientOptions
  #accounts = new Map<string, HeldAccount>()
  #sent = new Map<number, SentReport>()
  #nextId = 1
  #silence = new PeerBackoff()
  /** When a report was first not answered in time, by session; repeated before the host counts as silent. */
  #overdueSinceMs = new Map<string, number>()
  /** Until when hosts are not asked that said that they are not the granter, by group and session. */
  #notGranterUntilMs = new Map<string, number>()

  constructor (options: QuotaClientOptions) {
    this.#options = options
  }

  get hasAccounts (): boolean {
    return this.#accounts.size > 0
  }

  /**
   * Charges a request to its account. Returns a promise only if the balance is not sufficient and the account may be below its
   * limit; it settles within `maxAttempts` times 50 ms.
   */
  charge (account: ClientAccount, request: RequestTokens): ChargeResult | Promise<ChargeResult> {
    const { clock, directory } = this.#options
    const known = directory.find(account.name)
    if (!known) return freeCharge
    const cost = Math.min(maxCost, computeRequestCost(known.quota, request))
    if (cost === 0) return freeCharge
    const nowMs = clock.readMonotonic()
    const held = this.#findAccount(account.name, known, nowMs)
    held.balance.recordDemand(cost, nowMs)
    // Requests that wait already go first.
    const charged = held.waiting.length === 0 ? this.#tryCharge(held, cost, nowMs) : undefined
    if (charged) return charged
    if (held.balance.isRefused(nowMs)) return this.#refuse(held, cost, 'the account is at its limit', nowMs)
    if (held.waiting.length >= maxWaitingPerAccount) return this.#refuse(held, cost, 'too many requests wait for the quota', nowMs)
    return this.#wait(held, cost)
  }

  receiveGrant (grant: QuotaGrant, sender: Pick<DatagramSender, 'host' | 'session'>): void {
    const sent = this.#sent.get(grant.id)
    if (!sent || sent.granter.session !== sender.session) return
    const nowMs = this.#options.clock.readMonotonic()
    this.#sent.delete(grant.id)
    this.#endReport(grant.id, sent)
    this.#silence.recordResponse(sender.session)
    this.#overdueSinceMs.delete(sender.session)
    if (!grant.isGranter) this.#recordNotGranter(sent, nowMs)
    const replies = new Map(grant.accounts.map(reply => [reply.account, reply]))
    for (const held of sent.accounts) {
      const reply = replies.get(held.name)
      const isCurrent = reply !== undefined && held.balance.receiveReply(sender.session, grant.id, reply, sent.sentAtMs, nowMs)
      this.#serveWaiting(held, isCurrent, nowMs)
    }
  }

  /** Sends the reports that are due and drops accounts that are not used; called while the host holds accounts. */
  report (): void {
    const nowMs = this.#options.clock.readMonotonic()
    const due = new Map<number, HeldAccount[]>()
    for (const [name, held] of this.#accounts) {
      if (held.waiting.length === 0 && held.balance.isIdle(nowMs)) this.#accounts.delete(name)
      else if (held.pendingId === undefined && held.balance.isReportDue(nowMs)) due.set(held.known.group, [...due.get(held.known.group) ?? [], held])
    }
    for (const [group, accounts] of due) {
      // One message holds all accounts, so that later reports of the others are spared.
      for (const held of this.#accounts.values()) if (held.known.group === group && held.pendingId === undefined && held.balance.hasUse && !accounts.includes(held)) accounts.push(held)
      for (let start = 0; start < accounts.length; start += maxAccountsPerReport) this.#sendReport(group, accounts.slice(start, start + maxAccountsPerReport), nowMs)
    }
  }

  /** Applies changed quotas or another number of hosts. */
  applyDirectory (): void {
    const { clock, directory, countHosts } = this.#options
    const nowMs = clock.readMonotonic()
    for (const [name, held] of this.#accounts) {
      const known = directory.find(name)
      if (known) {
        held.known = known
        held.balance.setTerms(known.terms, countHosts(), nowMs)
      } else {
        this.#accounts.delete(name)
        for (const { settle } of held.waiting.splice(0)) settle(freeCharge)
      }
    }
    for (const [key, untilMs] of this.#notGranterUntilMs) if (untilMs <= nowMs) this.#notGranterUntilMs.delete(key)
  }

  /** Ages of the granters' last replies in milliseconds, by account. */
  listReplyAges (): Record<string, number> {
    const nowMs = this.#options.clock.readMonotonic()
    return Object.fromEntries([...this.#accounts.values()].map(({ name, balance }) => [name, balance.getReplyAgeMs(nowMs)]))
  }

  stop (): void {
    for (const { timer } of this.#sent.values()) timer.cancel()
    for (const { retryTimer } of this.#accounts.values()) retryTimer?.cancel()
    this.#sent.clear()
  }

  #findAccount (name: string, known: KnownQuota, nowMs: number): HeldAccount {
    const held = this.#accounts.get(name) ?? { name, known, balance: new AccountBalance(known.terms, this.#options.countHosts(), nowMs), waiting: [], pendingId: undefined, retryTimer: undefined }
    this.#accounts.set(name, held)
    return held
  }

  #tryCharge (held: HeldAccount, cost: number, nowMs: number): ChargedRequest | undefined {
    const { clock, meter } = this.#options
    const spent = held.balance.trySpend(cost, nowMs)
    if (!spent) return undefined
    meter.recordSpent(held.name, cost)
    let isRefunded = false
    return {
      kind: 'charged',
      refund: () => {
        if (isRefunded) return
        isRefunded = true
        held.balance.refund(spent, clock.readMonotonic())
        meter.recordReturned(held.name, cost)
      }
    }
  }

  #wait (held: HeldAccount, cost: number): ChargeResult | Promise<ChargeResult> {
    let result: ChargeResult | undefined
    let settleLater: ((result: ChargeResult) => void) | undefined
    held.waiting.push({
      cost,
      reportId: undefined,
      attempts: 0,
      settle: settled => {
        result = settled
        settleLater?.(settled)
      }
    })
    if (held.pendingId === undefined && !held.retryTimer) this.#requestForWaiting(held, this.#options.clock.readMonotonic())
    // This host itself may be the granter, which replies at once.
    return result ?? new Promise(resolve => { settleLater = resolve })
  }

  #requestForWaiting (held: HeldAccount, nowMs: number): void {
    if (held.waiting.length === 0) return
    this.#sendReport(held.known.group, [held], nowMs)
  }

  #sendReport (group: number, accounts: readonly HeldAccount[], nowMs: number): void {
    const granter = this.#findGranter(group, nowMs)
    if (!granter) {
      for (const held of accounts) this.#refuseWaiting(held, () => true, 'no granter of the quota responds', nowMs)
      return
    }
    const id = this.#nextId++
    const entries = accounts.map(held => {
      held.pendingId = id
      for (const request of held.waiting) {
        request.reportId ??= id
        request.attempts++
      }
      return { account: held.name, ...held.balance.createReport(granter.session, id, held.waiting.reduce((sum, { cost }) => sum + cost, 0), held.waiting[0]?.cost, nowMs) }
    })
    this.#sent.set(id, { granter, group, sentAtMs: nowMs, accounts, timer: this.#options.clock.setTimer(() => this.#receiveTimeout(id), replyTimeoutMs) })
    const reply = this.#options.sendReport(granter, { type: 'quotaReport', id, group, accounts: entries })
    if (reply) this.receiveGrant(reply, granter)
  }

  #receiveTimeout (id: number): void {
    const sent = this.#sent.get(id)
    if (!sent) return
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    this.#endReport(id, sent)
    this.#recordOverdue(sent, nowMs)
    sent.timer = clock.setTimer(() => this.#sent.delete(id), lateReplyMs)
    for (const held of sent.accounts) this.#serveWaiting(held, false, nowMs)
  }

  #recordOverdue (sent: SentReport, nowMs: number): void {
    const { granter: { session } } = sent
    const overdueSinceMs = this.#overdueSinceMs.get(session)
    if (overdueSinceMs === undefined) this.#overdueSinceMs.set(session, nowMs)
    // Reports that were under way together are one attempt.
    if (overdueSinceMs === undefined || sent.sentAtMs < overdueSinceMs) return
    this.#overdueSinceMs.delete(session)
    this.#silence.recordSilence(session, nowMs)
    this.#options.log.record('quota.granterSilent', 'The host that grants tokens of quotas does not respond; this host skips it for a while.', { granter: sent.granter.host, group: sent.group })
  }

  #endReport (id: number, sent: SentReport): void {
    sent.timer.cancel()
    for (const held of sent.accounts) if (held.pendingId === id) held.pendingId = undefined
  }

  /** Whoever is not the granter says so as the other one of the two grants, which is then asked even if it was silent before. */
  #recordNotGranter ({ granter, group }: SentReport, nowMs: number): void {
    this.#notGranterUntilMs.set(`${group} ${granter.session}`, nowMs + notGranterMs)
    for (const { session } of this.#options.directory.listGranters(group)) if (session !== granter.session) this.#silence.recordResponse(session)
  }

  #findGranter (group: number, nowMs: number): QuotaHost | undefined {
    return this.#options.directory.listGranters(group).find(({ session }) => !this.#silence.isSkipped(session, nowMs) && nowMs >= (this.#notGranterUntilMs.get(`${group} ${session}`) ?? -Infinity))
  }

  /** Serves waiting requests in order; `isAnswered`: the granter answered the last report, and requests that it refused don't wait. */
  #serveWaiting (held: HeldAccount, isAnswered: boolean, nowMs: number): void {
    for (let next = held.waiting[0]; next; next = held.waiting[0]) {
      const charged = this.#tryCharge(held, next.cost, nowMs)
      if (!charged) break
      held.waiting.shift()
      next.settle(charged)
    }
    if (isAnswered && held.balance.isRefused(nowMs)) this.#refuseWaiting(held, () => true, 'the account is at its limit', nowMs)
    this.#refuseWaiting(held, ({ attempts }) => attempts >= maxAttempts, isAnswered ? 'the account is at its limit' : 'no granter of the quota responds', nowMs)
    if (held.pendingId !== undefined || held.waiting.length === 0 || held.retryTimer) return
    if (!isAnswered) this.#requestForWaiting(held, nowMs)
    else {
      held.retryTimer = this.#options.clock.setTimer(() => {
        held.retryTimer = undefined
        if (held.pendingId === undefined) this.#requestForWaiting(held, this.#options.clock.readMonotonic())
      }, retryMs)
    }
  }

  #refuseWaiting (held: HeldAccount, isRefused: (request: WaitingRequest) => boolean, cause: RefusalCause, nowMs: number): void {
    const refused = held.waiting.filter(isRefused)
    if (refused.length === 0) return
    held.waiting = held.waiting.filter(request => !refused.includes(request))
    for (const { cost, settle } of refused) settle(this.#refuse(held, cost, cause, nowMs))
  }

  #refuse (held: HeldAccount, cost: number, cause: RefusalCause, nowMs: number): RefusedCharge {
    const { directory, meter, countHosts, random } = this.#options
    const { balance, name, known } = held
    meter.recordRefused(name, cost)
    const isAtLimit = cause === 'the account is at its limit'
    const queuedMs = isAtLimit ? balance.queueRefused(cost, 1 / Math.max(1, countHosts()), nowMs) : silentRetryMs
    const replyAgeMs = balance.getReplyAgeMs(nowMs)
    return {
      kind: 'refused',
      retryAfterMs: Math.ceil(queuedMs * (1 + retrySpread * random())),
      reason: `${cause}, and the quota of account "${name}" does not allow the request now`,
      details: {
        quotaAccount: name,
        quotaCause: cause,
        quotaCost: Math.round(cost),
        quotaBalance: Math.round(balance.getBalance(nowMs)),
        quotaRate: known.quota.perSecond,
        quotaGranter: directory.listGranters(known.group)[0]?.host,
        ...(Number.isFinite(replyAgeMs) && { quotaReplyAgeMs: Math.round(replyAgeMs) })
      }
    }
  }
}
