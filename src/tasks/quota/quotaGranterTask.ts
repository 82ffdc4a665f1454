/** Grants tokens of quotas to hosts where this host is the granter of a group of accounts, or its deputy. */
import { AccountGranter } from '../../core/quota/accountGranter.js'
import { GranterShare } from '../../core/quota/granterShare.js'
import type { Clock } from '../../ports/clock.js'
import type { DatagramSender } from '../../ports/datagrams.js'
import type { QuotaGrant, QuotaMessage, QuotaReport } from '../../schemas/datagram.js'
import type { QuotaDirectory } from './quotaDirectory.js'

export interface QuotaGranterTaskOptions {
  clock: Clock
  ownHost: string
  directory: QuotaDirectory
  send: (address: string, message: QuotaMessage) => void
  /** Age of this host's copy of the hosts' table, and the part of the rates that the hosts within reach may use. */
  readView: () => { viewAgeMs: number, hostsShare: number }
  random: () => number
}

interface GrantedGroup {
  share: GranterShare
  accounts: Map<string, AccountGranter>
  reportedAtMs: number
  heartbeatSentAtMs: number
}

const heartbeatIntervalMs = 200
/** Heartbeats are sent for this long after a report: without one, the first requests of an idle group find half of its bucket. */
const usedMs = 60_000
/** Epochs of two processes of a host hardly ever coincide. */
const maxFirstEpoch = 2 ** 40

export class QuotaGranterTask {
  #options: QuotaGranterTaskOptions
  #groups: GrantedGroup[] = []

  constructor (options: QuotaGranterTaskOptions) {
    this.#options = options
  }

  /** Whether this host is the granter or the deputy of a group. */
  get hasRole (): boolean {
    return this.#groups.some(({ share }) => share.hasRole)
  }

  /** Applies the groups and granters of the directory; see `GranterShare.setGranters` for `isRestart`. With another number of groups, accounts may have changed their granter. */
  applyDirectory (isRestart: boolean): void {
    const { clock, ownHost, directory } = this.#options
    const nowMs = clock.readMonotonic()
    if (directory.groupCount !== this.#groups.length) {
      this.#groups = Array.from({ length: directory.groupCount }, () => ({ share: new GranterShare(ownHost, nowMs), accounts: new Map(), reportedAtMs: -Infinity, heartbeatSentAtMs: -Infinity }))
    }
    for (const [group, { share, accounts }] of this.#groups.entries()) {
      share.setGranters(directory.listGranters(group).map(({ host }) => host), nowMs, isRestart)
      for (const account of accounts.keys()) if (directory.find(account)?.group !== group) accounts.delete(account)
    }
  }

  /** Checks the shares, sends heartbeats and drops what is idle; has to be called several times a second. */
  check (): void {
    const { clock, readView } = this.#options
    const nowMs = clock.readMonotonic()
    for (const [group, granted] of this.#groups.entries()) {
      const share = granted.share.compute(readView(), nowMs)
      this.#sendHeartbeatIfDue(group, granted, nowMs)
      if (share === 0) granted.accounts.clear()
      for (const [name, account] of granted.accounts) if (account.isIdle(nowMs)) granted.accounts.delete(name)
    }
  }

  /** Returns the reply to a report; undefined for one that is older than others received. */
  receiveReport (report: QuotaReport, sender: DatagramSender): QuotaGrant | undefined {
    const { clock, directory, readView } = this.#options
    const nowMs = clock.readMonotonic()
    const granted = this.#groups[report.group]
    const view = readView()
    const share = granted?.share.compute(view, nowMs) ?? 0
    if (!granted || share === 0) return { type: 'quotaGrant', id: report.id, isGranter: false, accounts: [] }
    granted.reportedAtMs = nowMs
    this.#sendHeartbeatIfDue(report.group, granted, nowMs)
    const accounts: QuotaGrant['accounts'] = []
    for (const { account, ...lease } of report.accounts) {
      const known = directory.find(account)
      if (known?.group !== report.group) continue
      const reply = this.#findAccount(granted, account, share, nowMs).receiveReport({ name: sender.host, session: sender.session }, report.id, lease, granted.share.canOverdraw(view.viewAgeMs, known.terms.windowMs, nowMs), nowMs)
      if (reply) accounts.push({ account, ...reply })
    }
    return accounts.length > 0 ? { type: 'quotaGrant', id: report.id, isGranter: true, accounts } : undefined
  }

  receiveHeartbeat (group: number, echo: number, sender: DatagramSender): void {
    if (this.#groups[group]?.share.receiveHeartbeat(sender.host, this.#options.clock.readMonotonic())) this.#options.send(sender.address, { type: 'quotaAliveReceived', group, echo })
  }

  receiveAcknowledgement (group: number, echo: number, sender: DatagramSender): void {
    this.#groups[group]?.share.receiveAcknowledgement(sender.host, echo)
  }

  #findAccount (granted: GrantedGroup, name: string, share: number, nowMs: number): AccountGranter {
    const { terms } = this.#options.directory.find(name)!
    const known = granted.accounts.get(name)
    if (known) {
      known.setTerms(terms, share, nowMs)
      return known
    }
    const account = new AccountGranter(terms, { nowMs, heldSinceMs: granted.share.heldSinceMs, share, firstEpoch: 1 + Math.floor(this.#options.random() * maxFirstEpoch) })
    granted.accounts.set(name, account)
    return account
  }

  /** The echo is the time of sending, rounded down, so that an acknowledgement is never taken for a later one. */
  #sendHeartbeatIfDue (group: number, granted: GrantedGroup, nowMs: number): void {
    if (nowMs - granted.reportedAtMs > usedMs || nowMs - granted.heartbeatSentAtMs < heartbeatIntervalMs || !granted.share.shouldSendHeartbeats(nowMs)) return
    const deputy = this.#options.directory.listGranters(group)[1]
    if (!deputy) return
    granted.heartbeatSentAtMs = nowMs
    this.#options.send(deputy.address, { type: 'quotaAlive', group, echo: Math.floor(nowMs) })
  }
}
