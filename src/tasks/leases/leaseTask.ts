/** Keeps this host's row renewed, knows which endpoints the host owns, and tells whether it may give them orders. */
import { isVacant, mayOrder, PauseDetector, RenewalWatch, renewalIntervalMs } from '../../core/orderLease.js'
import type { BoardChange, NewsBoard } from '../../core/newsBoard.js'
import type { HashPair } from '../../core/ownershipSpread.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import { decodeRenewal, encodeHostsRow, formatHostKey, formatOwnerKey, hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { HostRow, RenewalRow } from '../../schemas/hostRows.js'
import type { RenewalAnswer } from '../../schemas/datagram.js'
import { EndpointClaims, maxEndpointsAtOnce } from './endpointClaims.js'

export interface LeaseTaskOptions {
  clock: Clock
  log: EventLog
  board: NewsBoard
  own: { host: string, address: string, zone: string, session: string }
  /** Time in which orders of two hosts may not follow each other in turn, in milliseconds. */
  leaseMs: number
  /** Whether this host reads the store itself, so that another host's silence means something. */
  readsStore: () => boolean
  hashPair: HashPair
  /** Whether this host is cut off from its peers, so that others should own the engines. */
  isIsolated: () => boolean
  /** Asks a host directly whether the life of its process that wrote a row still runs. */
  isRunning: (row: HostRow) => Promise<boolean>
  /** Reaches the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Has a renewal written together with those of other hosts; undefined where that is not known to have worked. */
  renewTogether: (renewal: number, version: number) => Promise<RenewalAnswer | undefined>
  /** Reads the renewals from the store, where the answer to one was lost. */
  readRenewals: () => void
  /** Version of a host's renewal, as last read. */
  findRenewalVersion: (host: string) => number | undefined
  /** Takes a row of the store ahead of the news. */
  applyRow: (row: StoreRow) => void
  /** Whether the store is away for all hosts, so that nobody can take an endpoint over. */
  isOutage: () => boolean
  /** Called when this host has begun or ceased to own an endpoint; `wasOwn` where it was its owner before it restarted. */
  receiveOwnership: (endpointId: string, fencing: number | undefined, wasOwn: boolean) => void
}

const stepMs = 100
/** A host that owns nothing, with nothing to claim and no renewals to watch, looks this often; changes wake it at once. */
const idleStepMs = 500
/** Time to the next try after a renewal that failed, growing with each failure up to half of the time between renewals. */
const firstRetryMs = 100
const maxRetryMs = 500
/** An unrenewed row of a host that owns nothing is written again this often, so that it is known to live. */
const idleRenewalMs = 20_000
/** Time between two tries to give all endpoints up; a store that is away should not be asked by all at once. */
const leaveRetryMs = 250

export class LeaseTask {
  #options: LeaseTaskOptions
  #renewals = new RenewalWatch()
  #pauses = new PauseDetector()
  #claims: EndpointClaims
  #owned = new Map<string, number>()
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
  #failedRenewals = 0
  #isGivingUp = false
  #isLeaving = false
  #isStarted = false
  #timer: Timer | undefined
  #stepDueAtMs = Infinity

  constructor (options: LeaseTaskOptions) {
    this.#options = options
    const { clock, log, board, own, leaseMs, readsStore, hashPair, isRunning, transact, findRenewalVersion, applyRow } = options
    this.#claims = new EndpointClaims({
      clock,
      log,
      board,
      own,
      leaseMs,
      renewals: this.#renewals,
      readsStore,
      hashPair,
      isRunning,
      transact,
      findRenewalVersion,
      readOwnRenewalVersion: () => this.#renewalVersion,
      findOwnFencing: endpointId => this.#owned.get(endpointId),
      applyRow,
      gain: (endpointId, fencing, wasOwn) => this.#gain(endpointId, fencing, wasOwn),
      lose: (endpointId, reason) => this.#lose(endpointId, reason),
      wake: () => this.#scheduleStep(0)
    })
  }

  start (): void {
    this.#isStarted = true
    this.#step()
  }

  /**
   * Gives all endpoints up, so that others take them at once. While the store takes no writes nobody could, so this host
   * goes on as their owner, for `maxWaitMs` at the most.
   */
  async leave (maxWaitMs: number): Promise<void> {
    const { clock, log } = this.#options
    this.#isLeaving = true
    const endsAtMs = clock.readMonotonic() + maxWaitMs
    while (this.#owned.size > 0 && !await this.#proveStore()) {
      if (clock.readMonotonic() + leaveRetryMs >= endsAtMs) break
      await this.#pause(leaveRetryMs)
    }
    const owned = new Map(this.#owned)
    for (const endpointId of owned.keys()) this.#lose(endpointId, 'the host shuts down')
    const { host } = this.#options.own
    const removals = [{ table: hostsTable, key: formatHostKey(host) }, { table: renewalsTable, key: host }]
    for (;;) {
      const freed = [...owned].slice(0, maxEndpointsAtOnce)
      const isLast = freed.length === owned.size
      const outcome = await this.#options.transact({ ...this.#claims.createRelease(freed), removals: isLast ? removals : [] })
      log.record('lease.left', 'Gave endpoints up, as the host shuts down.', { endpointIds: freed.map(([endpointId]) => endpointId), verdict: outcome.verdict })
      if (outcome.verdict === 'applied') {
        if (isLast) return
        for (const [endpointId] of freed) owned.delete(endpointId)
        continue
      }
      if (clock.readMonotonic() + leaveRetryMs >= endsAtMs) return
      // A row that another host has written since, or this one by a try whose answer was lost, is no longer this host's to free.
      if (outcome.verdict === 'conflict') {
        for (const [endpointId, fencing] of owned) if (outcome.rows.some(({ key, version }) => key === formatOwnerKey(endpointId) && version !== fencing)) owned.delete(endpointId)
      }
      await this.#pause(leaveRetryMs)
    }
  }

  /** Whether the store takes writes now, shown by a renewal of its own; a conflict comes from another renewal that it took. */
  async #proveStore (): Promise<boolean> {
    const { clock, own, transact } = this.#options
    const renewal = ++this.#renewal
    const startedAtMs = clock.readMonotonic()
    this.#sentRenewals.set(renewal, startedAtMs)
    const outcome = await transact({
      checks: [{ table: renewalsTable, key: own.host, version: this.#renewalVersion }], writes: [this.#createRenewalWrite(renewal)], removals: []
    })
    if (outcome.verdict === 'applied') this.#recordRenewed(renewal, outcome.version, startedAtMs)
    return outcome.verdict === 'applied' || outcome.verdict === 'conflict'
  }

  async #pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, ms) })
  }

  stop (): void {
    this.#isStarted = false
    this.#timer?.cancel()
  }

  /** When another host's renewal last changed in the store, as far as this host reads it there. */
  get othersRenewedAtMs (): number {
    return this.#renewals.readOthersRenewedAtMs(this.#options.own.host)
  }

  /** Milliseconds since this host sent the last renewal that is known to have gone through. */
  get provenAgeMs (): number {
    return this.#options.clock.readMonotonic() - this.#provenAtMs
  }

  /** Frees all endpoints of this host. */
  async #giveUp (reason: string): Promise<void> {
    this.#isGivingUp = true
    const owned = [...this.#owned]
    for (const [endpointId] of owned) this.#lose(endpointId, reason)
    for (let start = 0; start < owned.length; start += maxEndpointsAtOnce) {
      const freed = owned.slice(start, start + maxEndpointsAtOnce)
      const release = this.#claims.createRelease(freed)
      const outcome = await this.#options.transact({ ...release, removals: [] })
      if (outcome.verdict === 'applied') for (const write of release.writes) this.#options.applyRow({ ...write, version: outcome.version })
      this.#options.log.record('lease.givenUp', 'Gave endpoints up.', { reason, endpointIds: freed.map(([endpointId]) => endpointId), verdict: outcome.verdict })
    }
    this.#isGivingUp = false
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
    if (this.#mayOpenClaims(change)) this.#scheduleStep(0)
    if (change.kind !== 'owner') return
    const { endpointId, owner } = change
    const isOwn = owner?.row.host === own.host && owner.row.session === own.session
    if (isOwn) this.#gain(endpointId, owner.fencing)
    else this.#lose(endpointId, owner ? `host "${owner.row.host}" owns it now` : 'its row was removed')
  }

  /** Whether an endpoint may have come or fallen vacant by a change. */
  #mayOpenClaims (change: BoardChange): boolean {
    if (change.kind === 'owner') return isVacant(change.owner?.row) || change.owner?.row.host === this.#options.own.host
    return change.kind === 'configuration' || (change.kind === 'endpoint' && change.entry !== undefined && isVacant(this.#options.board.owners.get(change.id)?.row))
  }

  /** The store shows that a renewal went through, even where its answer was lost. */
  #receiveOwnRenewal ({ session, renewal }: RenewalRow, version: number): void {
    const sentAtMs = this.#sentRenewals.get(renewal)
    if (session !== this.#options.own.session || sentAtMs === undefined || version <= this.#renewalVersion) return
    this.#recordRenewed(renewal, version, sentAtMs)
  }

  #recordRenewed (renewal: number, version: number, sentAtMs: number): void {
    for (const sent of this.#sentRenewals.keys()) if (sent <= renewal) this.#sentRenewals.delete(sent)
    if (!this.#isRegistered()) this.#scheduleStep(0)
    this.#failedRenewals = 0
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
    this.#scheduleStep(this.#isIdle() ? idleStepMs : stepMs)
    if (this.#isLeaving || this.#isGivingUp || !this.#isRegistered()) return
    if (!this.#options.isIsolated()) this.#claims.step(nowMs)
    else if (this.#owned.size > 0) this.#giveUp('this host is cut off from its peers')
  }

  #isIdle (): boolean {
    return this.#isRegistered() && this.#owned.size === 0 && !this.#claims.hasVacancies && !this.#options.readsStore()
  }

  /** Moves the next step forward to `delayMs` from now; one that is due sooner stays. */
  #scheduleStep (delayMs: number): void {
    const dueAtMs = this.#options.clock.readMonotonic() + delayMs
    if (!this.#isStarted || (this.#timer && this.#stepDueAtMs <= dueAtMs)) return
    this.#timer?.cancel()
    this.#stepDueAtMs = dueAtMs
    this.#timer = this.#options.clock.setTimer(() => {
      this.#timer = undefined
      this.#step()
    }, delayMs)
  }

  #isRegistered (): boolean {
    return this.#renewalVersion > 0
  }

  // Renewal

  #createRenewalWrite (renewal: number): StoreTransaction['writes'][number] {
    const { host, session } = this.#options.own
    return { table: renewalsTable, key: host, value: encodeHostsRow({ session, renewal }) }
  }

  async #renew (): Promise<void> {
    if (this.#isRenewing) return
    this.#isRenewing = true
    const { clock, own, log } = this.#options
    const startedAtMs = clock.readMonotonic()
    this.#renewedAtMs = startedAtMs
    const renewal = ++this.#renewal
    this.#sentRenewals.set(renewal, startedAtMs)
    // A host without a proof of late needs one at once.
    const isPatient = this.#isRegistered() && startedAtMs - this.#provenAtMs < 2 * renewalIntervalMs
    const answer = isPatient ? await this.#options.renewTogether(renewal, this.#renewalVersion) : undefined
    if (answer) {
      this.#isRenewing = false
      this.#receiveRenewalAnswer(answer, renewal, startedAtMs)
      return
    }
    const write = this.#createRenewalWrite(renewal)
    const hostWrite = this.#createHostWrite()
    const outcome = await this.#options.transact(this.#isRegistered()
      ? { checks: [{ table: renewalsTable, key: own.host, version: this.#renewalVersion }], writes: [write], removals: [] }
      : { checks: [], writes: [write, hostWrite], removals: [] })
    this.#isRenewing = false
    if (outcome.verdict === 'applied') {
      if (!this.#isRegistered()) this.#options.applyRow({ ...hostWrite, version: outcome.version })
      if (this.#sentRenewals.has(renewal)) this.#recordRenewed(renewal, outcome.version, startedAtMs)
      else this.#renewalVersion = Math.max(this.#renewalVersion, outcome.version)
      return
    }
    if (outcome.verdict === 'conflict') this.#receiveRenewalConflict(outcome.rows)
    else if (outcome.verdict === 'unknown') this.#options.readRenewals()
    if (outcome.verdict !== 'conflict') log.record('lease.renewalFailed', 'The renewal of the host\'s row failed.', { verdict: outcome.verdict, reason: outcome.reason })
    this.#failedRenewals++
    this.#renewedAtMs = startedAtMs - renewalIntervalMs + Math.min(maxRetryMs, firstRetryMs * this.#failedRenewals)
  }

  #receiveRenewalAnswer ({ verdict, version, current }: RenewalAnswer, renewal: number, startedAtMs: number): void {
    const { clock, own } = this.#options
    if (verdict === 'conflict') {
      this.#receiveRenewalConflict(current ? [{ table: renewalsTable, key: own.host, version, value: encodeHostsRow(current) }] : [])
      this.#renewedAtMs = startedAtMs - renewalIntervalMs + stepMs * 2
      return
    }
    if (this.#sentRenewals.has(renewal)) this.#recordRenewed(renewal, version, startedAtMs)
    // Hosts whose renewals were written together send the next ones together.
    this.#renewedAtMs = clock.readMonotonic() - stepMs
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

  #createHostWrite (): { table: string, key: string, value: Uint8Array } {
    const { own } = this.#options
    return { table: hostsTable, key: formatHostKey(own.host), value: encodeHostsRow({ ...own, isLeaving: false }) }
  }

  // Ownership

  #gain (endpointId: string, fencing: number, wasOwn = false): void {
    if (this.#isLeaving || (this.#owned.get(endpointId) ?? 0) >= fencing) return
    this.#owned.set(endpointId, fencing)
    this.#claims.recordGained(endpointId)
    this.#options.log.record('lease.gained', 'This host owns an endpoint and gives it orders.', { endpointId, fencing })
    this.#options.receiveOwnership(endpointId, fencing, wasOwn)
    if (this.#options.clock.readMonotonic() - this.#provenAtMs > renewalIntervalMs) this.#renewedAtMs = -Infinity
  }

  #lose (endpointId: string, reason: string): void {
    if (!this.#owned.delete(endpointId)) return
    this.#claims.recordLost(endpointId)
    this.#options.log.record('lease.lost', 'This host no longer owns an endpoint.', { endpointId, reason })
    this.#options.receiveOwnership(endpointId, undefined, false)
  }
}
