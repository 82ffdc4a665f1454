/** Keeps this host's row, claims endpoints that nobody owns and gives up those of hosts that are gone. */
import { computeClaimDelayMs, isVacant, mayOrder, PauseDetector, RenewalWatch, renewalIntervalMs } from '../../core/orderLease.js'
import { computeHash } from '../../core/rendezvousHash.js'
import { findSurplus, rankTakers } from '../../core/ownershipSpread.js'
import type { SpreadEndpoint, SpreadHost } from '../../core/ownershipSpread.js'
import type { BoardChange, NewsBoard } from '../../core/newsBoard.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import { decodeRenewal, encodeHostsRow, formatHostKey, formatOwnerKey, hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { HostRow, OwnerRow, RenewalRow } from '../../schemas/hostRows.js'

export interface LeaseTaskOptions {
  clock: Clock
  log: EventLog
  board: NewsBoard
  own: { host: string, address: string, zone: string, session: string }
  /** Whether this host reads the store itself, so that another host's silence means something. */
  readsStore: () => boolean
  /** Whether this host is cut off from its peers, so that others should own the engines. */
  isIsolated: () => boolean
  /** Asks a host directly whether the life of its process that wrote a row still runs. */
  isRunning: (row: HostRow) => Promise<boolean>
  /** Reaches the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Reads the renewals from the store, where the answer to one was lost. */
  readRenewals: () => void
  /** Version of a host's renewal, as last read. */
  findRenewalVersion: (host: string) => number | undefined
  /** Takes a row that this host has written, ahead of the news. */
  applyOwnRow: (row: StoreRow) => void
  /** Whether the store is away for all hosts, so that nobody can take an endpoint over. */
  isOutage: () => boolean
  /** Called when this host has begun or ceased to own an endpoint; `wasOwn` where it was its owner before it restarted. */
  receiveOwnership: (endpointId: string, fencing: number | undefined, wasOwn: boolean) => void
}

const stepMs = 100
/** An unrenewed row of a host that owns nothing is written again this often, so that it is known to live. */
const idleRenewalMs = 20_000
/** Time between two endpoints that are handed over for an even spread; each serves nothing new for half a second. */
const handoverIntervalMs = 10_000

export class LeaseTask {
  #options: LeaseTaskOptions
  #renewals = new RenewalWatch()
  #pauses = new PauseDetector()
  #owned = new Map<string, number>()
  #vacantSince = new Map<string, number>()
  #provenAtMs = -Infinity
  /** Whether the last proof still stands, however old: no pause and no other writer came since. */
  #hasBeenProven = false
  #renewal = 0
  /** When each renewal was sent of which it is not known whether it went through. */
  #sentRenewals = new Map<number, number>()
  /** Version of this host's renewal in the store; 0 before it is registered. */
  #renewalVersion = 0
  #renewedAtMs = -Infinity
  #isRenewing = false
  #isClaiming = false
  #isLeaving = false
  #lastHandoverMs = 0
  #timer: Timer | undefined

  constructor (options: LeaseTaskOptions) {
    this.#options = options
  }

  start (): void {
    const { clock } = this.#options
    this.#lastHandoverMs = clock.readMonotonic()
    const step = (): void => {
      this.#step()
      this.#timer = clock.setTimer(step, stepMs)
    }
    step()
  }

  /** Gives all endpoints up, so that others take them at once. */
  async leave (): Promise<void> {
    this.#isLeaving = true
    const endpointIds = [...this.#owned.keys()]
    for (const endpointId of endpointIds) this.#lose(endpointId, 'the host shuts down')
    const { host } = this.#options.own
    const removals = [{ table: hostsTable, key: formatHostKey(host) }, { table: renewalsTable, key: host }]
    const writes = endpointIds.map(endpointId => this.#createOwnerWrite(endpointId, { host: '', address: '', session: '' }))
    await this.#options.transact({ checks: [], writes, removals })
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** When another host's renewal last changed in the store, as far as this host reads it there. */
  get othersRenewedAtMs (): number {
    return this.#renewals.readOthersRenewedAtMs(this.#options.own.host)
  }

  /** Frees all endpoints of this host. */
  async #giveUp (reason: string): Promise<void> {
    this.#isClaiming = true
    const owned = [...this.#owned]
    for (const [endpointId] of owned) this.#lose(endpointId, reason)
    const outcome = await this.#options.transact({
      checks: owned.map(([endpointId, fencing]) => ({ table: hostsTable, key: formatOwnerKey(endpointId), version: fencing })),
      writes: owned.map(([endpointId]) => this.#createOwnerWrite(endpointId, { host: '', address: '', session: '' })),
      removals: []
    })
    this.#isClaiming = false
    this.#options.log.record('lease.givenUp', 'Gave all endpoints up.', { reason, endpointIds: owned.map(([endpointId]) => endpointId), verdict: outcome.verdict })
  }

  get ownedCount (): number {
    return this.#owned.size
  }

  /** Fencing number under which this host may give the endpoint orders at this moment; undefined where it may not. */
  findFencing (endpointId: string): number | undefined {
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    if (this.#pauses.checkPause(nowMs, clock.readWall())) this.#recordPause()
    const isProven = mayOrder(nowMs, this.#provenAtMs) || (this.#hasBeenProven && this.#options.isOutage())
    return isProven ? this.#owned.get(endpointId) : undefined
  }

  receiveChange (change: BoardChange): void {
    const { clock, own } = this.#options
    const nowMs = clock.readMonotonic()
    if (change.kind === 'renewal') {
      if (change.renewal) this.#renewals.recordRow(change.host, change.renewal, nowMs)
      else this.#renewals.recordRemoved(change.host)
      if (change.host === own.host && change.renewal) this.#receiveOwnRenewal(change.renewal, change.version)
      return
    }
    if (change.kind !== 'owner') return
    const { endpointId, owner } = change
    const isOwn = owner?.row.host === own.host && owner.row.session === own.session
    if (isOwn) this.#gain(endpointId, owner.fencing)
    else this.#lose(endpointId, owner ? `host "${owner.row.host}" owns it now` : 'its row was removed')
  }

  /** The store shows that a renewal went through, even where its answer was lost. */
  #receiveOwnRenewal ({ session, renewal }: RenewalRow, version: number): void {
    const sentAtMs = this.#sentRenewals.get(renewal)
    if (session !== this.#options.own.session || sentAtMs === undefined || version <= this.#renewalVersion) return
    this.#recordRenewed(renewal, version, sentAtMs)
  }

  #recordRenewed (renewal: number, version: number, sentAtMs: number): void {
    for (const sent of this.#sentRenewals.keys()) if (sent <= renewal) this.#sentRenewals.delete(sent)
    this.#renewalVersion = version
    this.#provenAtMs = Math.max(this.#provenAtMs, sentAtMs)
    this.#hasBeenProven = true
  }

  #recordPause (): void {
    this.#provenAtMs = -Infinity
    this.#hasBeenProven = false
    // What was sent before the pause proves nothing after it.
    this.#sentRenewals.clear()
    this.#renewedAtMs = -Infinity
    this.#options.log.record('lease.paused', 'The clocks drifted apart, so the process may have stood still; no orders before the next renewal.', {})
  }

  #step (): void {
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    if (!this.#options.readsStore()) this.#renewals.recordStoreAway(nowMs)
    const interval = this.#owned.size > 0 || !this.#isRegistered() ? renewalIntervalMs : idleRenewalMs
    if (!this.#isLeaving && nowMs - this.#renewedAtMs >= interval) this.#renew()
    if (this.#isLeaving || this.#isClaiming || !this.#isRegistered()) return
    if (!this.#options.isIsolated()) this.#claim(nowMs)
    else if (this.#owned.size > 0) this.#giveUp('this host is cut off from its peers')
  }

  #isRegistered (): boolean {
    return this.#renewalVersion > 0
  }

  // Renewal

  async #renew (): Promise<void> {
    if (this.#isRenewing) return
    this.#isRenewing = true
    const { clock, own, log } = this.#options
    const startedAtMs = clock.readMonotonic()
    this.#renewedAtMs = startedAtMs
    const renewal = ++this.#renewal
    this.#sentRenewals.set(renewal, startedAtMs)
    const write = { table: renewalsTable, key: own.host, value: encodeHostsRow({ session: own.session, renewal }) }
    const outcome = await this.#options.transact(this.#isRegistered()
      ? { checks: [{ table: renewalsTable, key: own.host, version: this.#renewalVersion }], writes: [write], removals: [] }
      : { checks: [], writes: [write, this.#createHostWrite()], removals: [] })
    this.#isRenewing = false
    if (outcome.verdict === 'applied') {
      if (this.#sentRenewals.has(renewal)) this.#recordRenewed(renewal, outcome.version, startedAtMs)
      else this.#renewalVersion = Math.max(this.#renewalVersion, outcome.version)
      return
    }
    if (outcome.verdict === 'conflict') this.#receiveRenewalConflict(outcome.rows)
    else if (outcome.verdict === 'unknown') this.#options.readRenewals()
    if (outcome.verdict !== 'conflict') log.record('lease.renewalFailed', 'The renewal of the host\'s row failed.', { verdict: outcome.verdict, reason: outcome.reason })
    this.#renewedAtMs = startedAtMs - renewalIntervalMs + stepMs * 2
  }

  /** The row is not as this host wrote it last: an earlier renewal went through unseen, or a reader declared this host gone. */
  #receiveRenewalConflict (rows: readonly StoreRow[]): void {
    const { own, log } = this.#options
    const current = rows.find(row => row.key === own.host)
    const renewal = current?.value && decodeRenewal(current.value)
    const isOwnWrite = renewal?.session === own.session
    log.record('lease.conflict', 'The host\'s row was changed by another writer or by a renewal whose answer was lost.', { isOwnWrite })
    if (isOwnWrite) {
      this.#receiveOwnRenewal(renewal!, current!.version)
      return
    }
    this.#renewalVersion = 0
    this.#hasBeenProven = false
    for (const endpointId of [...this.#owned.keys()]) this.#lose(endpointId, 'this host was declared gone')
  }

  // Claims

  #claim (nowMs: number): void {
    const { board, own } = this.#options
    const endpoints = this.#listEndpoints(nowMs)
    const hosts = this.#listTakers(nowMs)
    const rankings = rankTakers(endpoints, hosts, computeHash)
    for (const endpoint of endpoints) {
      const owner = board.owners.get(endpoint.endpointId)
      const isFormerSelf = owner?.row.host === own.host && owner.row.session !== own.session
      if (!isVacant(owner?.row) && !isFormerSelf) {
        this.#vacantSince.delete(endpoint.endpointId)
        continue
      }
      const sinceMs = this.#vacantSince.get(endpoint.endpointId) ?? nowMs
      this.#vacantSince.set(endpoint.endpointId, sinceMs)
      const rank = isFormerSelf ? 0 : rankings.get(endpoint.endpointId)?.indexOf(own.host) ?? -1
      if (rank < 0 || nowMs - sinceMs < computeClaimDelayMs(rank)) continue
      this.#claimEndpoint(endpoint.endpointId, owner?.fencing ?? 0, isFormerSelf)
      return
    }
    this.#expireHosts(nowMs)
    this.#handOver(endpoints, hosts, nowMs)
  }

  async #claimEndpoint (endpointId: string, version: number, wasOwn: boolean): Promise<void> {
    const { own, log } = this.#options
    this.#isClaiming = true
    const outcome = await this.#options.transact({
      checks: [{ table: hostsTable, key: formatOwnerKey(endpointId), version }, { table: renewalsTable, key: own.host, version: this.#renewalVersion }],
      writes: [this.#createOwnerWrite(endpointId, own)],
      removals: []
    })
    this.#isClaiming = false
    this.#vacantSince.delete(endpointId)
    log.record('lease.claimed', 'Asked the store for the ownership of an endpoint that has no owner.', { endpointId, version, verdict: outcome.verdict })
    // A claim whose answer was lost shows in the news, as does one that another host has won.
    if (outcome.verdict !== 'applied') return
    this.#gain(endpointId, outcome.version, wasOwn)
    this.#options.applyOwnRow({ ...this.#createOwnerWrite(endpointId, own), version: outcome.version })
  }

  #createHostWrite (): { table: string, key: string, value: Uint8Array } {
    const { own } = this.#options
    return { table: hostsTable, key: formatHostKey(own.host), value: encodeHostsRow({ ...own, isLeaving: false }) }
  }

  #createOwnerWrite (endpointId: string, { host, address, session }: Omit<OwnerRow, 'endpointId'>): { table: string, key: string, value: Uint8Array } {
    return { table: hostsTable, key: formatOwnerKey(endpointId), value: encodeHostsRow({ endpointId, host, address, session }) }
  }

  #listEndpoints (nowMs: number): SpreadEndpoint[] {
    const { board } = this.#options
    const services = board.routes?.configuration.services
    return board.endpoints.list(nowMs)
      .filter(entry => services?.get(entry.service)?.engine)
      .map(entry => {
        const row = board.owners.get(entry.id)?.row
        return { endpointId: entry.id, zone: entry.zone, ownerId: isVacant(row) ? undefined : row!.host }
      })
  }

  /** Hosts that are believed to live: those that renewed lately, and those that own nothing and need not. */
  #listTakers (nowMs: number): SpreadHost[] {
    const { board, own } = this.#options
    const expired = new Set(this.#renewals.listExpired(nowMs))
    const owners = new Set([...board.owners.values()].map(owner => owner.row.host))
    return [...board.hosts.values()]
      .filter(({ row }) => !row.isLeaving && (row.host === own.host || !owners.has(row.host) || !expired.has(row.host)))
      .map(({ row }) => ({ hostId: row.host, zone: row.zone }))
  }

  /** Declares a host gone whose row has stood still although it owns endpoints, and frees them. */
  async #expireHosts (nowMs: number): Promise<void> {
    const { board, own, log } = this.#options
    if (!this.#options.readsStore()) return
    for (const name of this.#renewals.listExpired(nowMs)) {
      const host = board.hosts.get(name)
      const renewalVersion = this.#options.findRenewalVersion(name)
      const owned = [...board.owners].filter(([, owner]) => owner.row.host === name)
      if (!host || renewalVersion === undefined || owned.length === 0 || name === own.host) continue
      this.#isClaiming = true
      if (!await this.#options.isRunning(host.row)) {
        const outcome = await this.#options.transact({
          checks: [{ table: renewalsTable, key: name, version: renewalVersion }, ...owned.map(([id, { fencing }]) => ({ table: hostsTable, key: formatOwnerKey(id), version: fencing }))],
          writes: owned.map(([id]) => this.#createOwnerWrite(id, { host: '', address: '', session: '' })),
          removals: [{ table: hostsTable, key: formatHostKey(name) }, { table: renewalsTable, key: name }]
        })
        const endpointIds = owned.map(([id]) => id)
        log.record('lease.expired', 'A host did not renew its row and does not answer; its endpoints are free.', { lostHost: name, endpointIds, verdict: outcome.verdict })
      }
      this.#isClaiming = false
      return
    }
  }

  /** Frees one endpoint where this host owns more than its share, so that a host that has come can take it. */
  async #handOver (endpoints: SpreadEndpoint[], hosts: SpreadHost[], nowMs: number): Promise<void> {
    const { own, log } = this.#options
    if (nowMs - this.#lastHandoverMs < handoverIntervalMs) return
    const endpointId = findSurplus(own.host, endpoints, hosts, computeHash)
    const fencing = endpointId === undefined ? undefined : this.#owned.get(endpointId)
    if (endpointId === undefined || fencing === undefined) return
    this.#lastHandoverMs = nowMs
    this.#lose(endpointId, 'another host has fewer endpoints')
    const outcome = await this.#options.transact({
      checks: [{ table: hostsTable, key: formatOwnerKey(endpointId), version: fencing }],
      writes: [this.#createOwnerWrite(endpointId, { host: '', address: '', session: '' })],
      removals: []
    })
    log.record('lease.handedOver', 'Gave an endpoint up for an even spread.', { endpointId, verdict: outcome.verdict })
  }

  // Ownership

  #gain (endpointId: string, fencing: number, wasOwn = false): void {
    if (this.#isLeaving || (this.#owned.get(endpointId) ?? 0) >= fencing) return
    this.#owned.set(endpointId, fencing)
    this.#options.log.record('lease.gained', 'This host owns an endpoint and gives it orders.', { endpointId, fencing })
    this.#options.receiveOwnership(endpointId, fencing, wasOwn)
    if (this.#options.clock.readMonotonic() - this.#provenAtMs > renewalIntervalMs) this.#renewedAtMs = -Infinity
  }

  #lose (endpointId: string, reason: string): void {
    if (!this.#owned.delete(endpointId)) return
    this.#options.log.record('lease.lost', 'This host no longer owns an endpoint.', { endpointId, reason })
    this.#options.receiveOwnership(endpointId, undefined, false)
  }
}
