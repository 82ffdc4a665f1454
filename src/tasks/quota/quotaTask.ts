/** Keeps the quotas of client accounts together with the other hosts: charges requests, and grants tokens to other hosts. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { DatagramSender } from '../../ports/datagrams.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { RequestTokens } from '../../core/quota/quotaTerms.js'
import type { QuotaMessage } from '../../schemas/datagram.js'
import type { QuotaBounds } from '../../schemas/hostSettings.js'
import type { ClientAccount } from '../../schemas/routing.js'
import { QuotaClient } from './quotaClient.js'
import type { ChargeResult, QuotaMeter } from './quotaClient.js'
import { QuotaDirectory } from './quotaDirectory.js'
import type { QuotaHost } from './quotaDirectory.js'
import { QuotaGranterTask } from './quotaGranterTask.js'

export interface QuotaTaskOptions {
  clock: Clock
  log: EventLog
  own: { host: string, address: string, session: string }
  bounds: QuotaBounds
  /** Accounts of the configuration in force. */
  listAccounts: () => readonly ClientAccount[]
  listHosts: () => readonly QuotaHost[]
  /** Session in this host's own row of the hosts' table; undefined if there is none. */
  findOwnSession: () => string | undefined
  /** Milliseconds since this host's copy of the hosts' table last matched the store. */
  getViewAgeMs: () => number
  /** Part of the hosts that reply to this one while the store is unavailable to all of them; undefined if it is not known to be. */
  getOutageShare: () => number | undefined
  send: (address: string, message: QuotaMessage) => void
  meter: QuotaMeter
  random: () => number
}

const checkIntervalMs = 200
/** Within this time of its start a host has read the table and written its own row. */
const startMs = 3000
const reportCheckIntervalMs = 50

export class QuotaTask {
  #options: QuotaTaskOptions
  #directory: QuotaDirectory
  #granter: QuotaGranterTask
  #client: QuotaClient
  #checkTimer: Timer | undefined
  #reportTimer: Timer | undefined
  #isStopped = false
  /** Whether the hosts' table has changed since the granters were ranked. */
  #areHostsChanged = false

  /** Until when this host counts as one that has just been restarted. */
  #restartUntilMs = -Infinity
  #startedAtMs: number

  constructor (options: QuotaTaskOptions) {
    const { clock, log, own, bounds, listHosts, getViewAgeMs, getOutageShare, send, meter, random } = options
    this.#options = options
    this.#startedAtMs = clock.readMonotonic()
    const directory = new QuotaDirectory(bounds, listHosts)
    this.#directory = directory
    this.#granter = new QuotaGranterTask({
      clock,
      ownHost: own.host,
      directory,
      send,
      readView: () => {
        const outageShare = getOutageShare()
        return outageShare === undefined ? { viewAgeMs: getViewAgeMs(), hostsShare: directory.computeHostsShare(clock.readMonotonic()) } : { viewAgeMs: 0, hostsShare: outageShare }
      },
      random
    })
    this.#client = new QuotaClient({
      clock,
      log,
      directory,
      meter,
      sendReport: (granter, report) => {
        if (granter.session === own.session) return this.#granter.receiveReport(report, own)
        send(granter.address, report)
        return undefined
      },
      countHosts: () => directory.getHighestHostCount(clock.readMonotonic()),
      random
    })
  }

  /** Whether this host may grant tokens of quotas, and has to know whether the store is unavailable to all hosts. */
  get isGranting (): boolean {
    return this.#granter.hasRole
  }

  /** Charges a request; returns a promise only if it has to wait for tokens. */
  charge (account: ClientAccount, request: RequestTokens): ChargeResult | Promise<ChargeResult> {
    this.#rankIfChanged()
    const result = this.#client.charge(account, request)
    if (this.#client.hasAccounts && !this.#reportTimer) this.#scheduleReports()
    return result
  }

  /** Applies the accounts of a new configuration. */
  applyAccounts (): void {
    this.#directory.applyAccounts(this.#options.listAccounts())
    this.#areHostsChanged = true
    this.#rankIfChanged()
    if (this.#directory.groupCount > 0 && !this.#checkTimer) this.#check()
  }

  /** Called at each change of the hosts' table. Changes that arrive together are ranked once, as that takes a hash for each host and group. */
  applyHosts (): void {
    const { own, findOwnSession } = this.#options
    const session = findOwnSession()
    if (session !== undefined && session !== own.session) this.#restartUntilMs = this.#startedAtMs + startMs
    this.#areHostsChanged = true
  }

  #rankIfChanged (): void {
    if (!this.#areHostsChanged) return
    this.#areHostsChanged = false
    this.#directory.applyHosts(this.#options.clock.readMonotonic())
    this.#granter.applyDirectory(this.#options.clock.readMonotonic() < this.#restartUntilMs)
    this.#client.applyDirectory()
  }

  receiveMessage (message: QuotaMessage, sender: DatagramSender): void {
    this.#rankIfChanged()
    if (message.type === 'quotaReport') {
      const reply = this.#granter.receiveReport(message, sender)
      if (reply) this.#options.send(sender.address, reply)
    } else if (message.type === 'quotaGrant') {
      this.#client.receiveGrant(message, sender)
    } else if (message.type === 'quotaAlive') {
      this.#granter.receiveHeartbeat(message.group, message.echo, sender)
    } else {
      this.#granter.receiveAcknowledgement(message.group, message.echo, sender)
    }
  }

  listReplyAges (): Record<string, number> {
    return this.#client.listReplyAges()
  }

  stop (): void {
    this.#isStopped = true
    this.#checkTimer?.cancel()
    this.#reportTimer?.cancel()
    this.#client.stop()
  }

  #check (): void {
    if (this.#isStopped) return
    this.#rankIfChanged()
    this.#granter.check()
    this.#checkTimer = this.#directory.groupCount > 0 ? this.#options.clock.setTimer(() => this.#check(), checkIntervalMs) : undefined
  }

  #scheduleReports (): void {
    if (this.#isStopped) return
    this.#reportTimer = this.#options.clock.setTimer(() => {
      this.#reportTimer = undefined
      this.#rankIfChanged()
      this.#client.report()
      if (this.#client.hasAccounts) this.#scheduleReports()
    }, reportCheckIntervalMs)
  }
}
