/**
 * Asks the witnesses of this host's lease whether the store is unavailable to them too, so that its owner may go on without renewals, and
 * keeps track of which hosts respond and can be witnesses.
 */
import { confirmationTtlMs, hasOutageMajority, isListOutdated, selectWitnesses, storeOutageMs } from '../../core/leaseWitnesses.js'
import type { LeaseWitness } from '../../core/leaseWitnesses.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { HostRow } from '../../schemas/hostRows.js'

export interface OutageWitnessesOptions {
  clock: Clock
  log: EventLog
  own: { host: string }
  /** Rows of all hosts that this host knows. */
  listHosts: () => readonly HostRow[]
  /** Returns a number that changes whenever the result of `listHosts` changes. */
  getHostsVersion: () => number
  /** Lists of witnesses of which the store has one. */
  listPossibleWitnesses: () => ReadonlyArray<readonly LeaseWitness[]>
  /** This host's last renewal that is known to be in the store. */
  getConfirmedRenewal: () => number
  /** Milliseconds since the store is known to have responded to this host, or to a host that it reads or renews through. */
  getStoreAgeMs: () => number
  /** Pings a host; with a renewal, asks it to confirm an outage. Undefined if it does not respond. */
  askHost: (address: string, renewal?: number) => Promise<{ session: string, confirmsOutage: boolean } | undefined>
  /** Whether this host owns endpoints; witnesses are asked only then. */
  isNeeded: () => boolean
}

/** Interval between two questions for an outage; two fit in between `storeOutageMs` and the time at which owners stop sending orders. */
const pollIntervalMs = 400
/** Interval between two pings that show which hosts respond. */
const pingIntervalMs = 2000
/** A host that did not respond to this many pings in a row is replaced as a witness. */
const maxFailedPings = 3

export class OutageWitnesses {
  #options: OutageWitnessesOptions
  /** The process that last confirmed an outage, and when it was asked, by host. */
  #confirmations = new Map<string, { session: string, askedAtMs: number }>()
  /** Pings that failed since a host last responded, by host. */
  #failedPings = new Map<string, number>()
  #pingedAtMs = -Infinity
  /** The witnesses that were selected last; undefined once other hosts respond than then. */
  #selected: { witnesses: LeaseWitness[], hostsVersion: number } | undefined
  #wasOutage = false
  #timer: Timer | undefined

  constructor (options: OutageWitnessesOptions) {
    this.#options = options
  }

  start (): void {
    const check = (): void => {
      if (this.#options.isNeeded()) this.#askIfDue()
      this.#timer = this.#options.clock.setTimer(check, pollIntervalMs)
    }
    check()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Returns the processes that the hosts of these witnesses have now; a host that is not known keeps the one it had. */
  updateSessions (witnesses: readonly LeaseWitness[]): LeaseWitness[] {
    const sessions = new Map(this.#listOthers().map(({ host, session }) => [host, session]))
    return witnesses.map(({ host, session }) => ({ host, session: sessions.get(host) ?? session }))
  }

  /** Selects the witnesses that this host's row should list. */
  select (): LeaseWitness[] {
    const { own, listHosts, getHostsVersion } = this.#options
    const hostsVersion = getHostsVersion()
    if (this.#selected?.hostsVersion !== hostsVersion) {
      this.#selected = { witnesses: selectWitnesses(own.host, listHosts(), host => this.#isResponding(host)), hostsVersion }
    }
    return this.#selected.witnesses
  }

  /** Whether this host's row, which was written `ageMs` ago with these witnesses, should list others. */
  isOutdated (listed: readonly LeaseWitness[], ageMs: number): boolean {
    const running = new Set(this.#listOthers().filter(({ isLeaving }) => !isLeaving).map(({ host }) => host))
    const listHosts = (witnesses: readonly LeaseWitness[]): string[] => witnesses.map(({ host }) => host)
    return isListOutdated(listHosts(listed), listHosts(this.select()), host => this.#isResponding(host) && running.has(host), ageMs)
  }

  /** Whether the store is unavailable to so many witnesses of this host's lease that no other host can take its endpoints over. */
  isOutage (): boolean {
    const { getStoreAgeMs, listPossibleWitnesses, log } = this.#options
    const lists = listPossibleWitnesses()
    const isOutage = getStoreAgeMs() > storeOutageMs && lists.length > 0 &&
      lists.every(witnesses => hasOutageMajority(witnesses.length, this.#countConfirmations(witnesses)))
    if (isOutage !== this.#wasOutage) {
      this.#wasOutage = isOutage
      log.record(isOutage ? 'lease.outageConfirmed' : 'lease.outageOver', 'The witnesses of this host\'s lease began or ceased to confirm that the store is unavailable.', {
        witnesses: lists.map(witnesses => witnesses.length), confirmations: lists.map(witnesses => this.#countConfirmations(witnesses)), storeAgeMs: Math.round(getStoreAgeMs())
      })
    }
    return isOutage
  }

  #countConfirmations (witnesses: readonly LeaseWitness[]): number {
    const nowMs = this.#options.clock.readMonotonic()
    return witnesses.filter(({ host, session }) => {
      const confirmation = this.#confirmations.get(host)
      return confirmation?.session === session && nowMs - confirmation.askedAtMs < confirmationTtlMs
    }).length
  }

  #askIfDue (): void {
    const { clock, getStoreAgeMs, listPossibleWitnesses } = this.#options
    const nowMs = clock.readMonotonic()
    if (getStoreAgeMs() > storeOutageMs) {
      const hosts = new Set(listPossibleWitnesses().flat().map(({ host }) => host))
      for (const row of this.#listOthers()) if (hosts.has(row.host)) this.#askForOutage(row, nowMs)
      return
    }
    this.#confirmations.clear()
    if (nowMs - this.#pingedAtMs < pingIntervalMs) return
    this.#pingedAtMs = nowMs
    this.#pingCandidates()
  }

  async #askForOutage ({ host, address }: HostRow, askedAtMs: number): Promise<void> {
    const { askHost, getConfirmedRenewal } = this.#options
    const reply = await askHost(address, getConfirmedRenewal())
    if (reply?.confirmsOutage) this.#confirmations.set(host, { session: reply.session, askedAtMs })
  }

  /** Pings the witnesses, and the hosts that did not respond, which may be witnesses again once they do. */
  #pingCandidates (): void {
    const others = this.#listOthers()
    const names = new Set(others.map(({ host }) => host))
    for (const host of this.#failedPings.keys()) if (!names.has(host)) this.#failedPings.delete(host)
    const witnesses = new Set(this.select().map(({ host }) => host))
    for (const row of others) if (witnesses.has(row.host) || this.#failedPings.has(row.host)) this.#ping(row)
  }

  async #ping ({ host, address }: HostRow): Promise<void> {
    const reply = await this.#options.askHost(address)
    const wasResponding = this.#isResponding(host)
    if (reply) this.#failedPings.delete(host)
    else this.#failedPings.set(host, (this.#failedPings.get(host) ?? 0) + 1)
    if (this.#isResponding(host) !== wasResponding) this.#selected = undefined
  }

  #isResponding (host: string): boolean {
    return (this.#failedPings.get(host) ?? 0) < maxFailedPings
  }

  #listOthers (): HostRow[] {
    const { listHosts, own } = this.#options
    return listHosts().filter(({ host }) => host !== own.host)
  }
}
