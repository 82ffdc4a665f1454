/** Renews this host's lease in the store, tracks which endpoints the host owns, and decides whether it may send them orders. */
import { isUnowned, keepAfterOutageMs, keepLimitMs, mayOrder, PauseDetector, HostExpiryTracker, renewalIntervalMs } from '../../core/ownershipLease.js'
import { maxOutageMs } from '../../core/leaseWitnesses.js'
import type { LeaseWitness } from '../../core/leaseWitnesses.js'
import type { ClusterViewChange, ClusterView } from '../../core/clusterView.js'
import type { HashPair } from '../../core/ownershipAssignment.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import { formatHostKey, formatOwnerKey, hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { HostRow } from '../../schemas/hostRows.js'
import type { RenewalResult } from '../../schemas/datagram.js'
import { HostRegistration } from './hostRegistration.js'
import { OwnedEndpoints } from './ownedEndpoints.js'
import type { OwnedEndpoint } from './ownedEndpoints.js'
import { OwnershipReconciler, maxEndpointsPerTransaction } from './ownershipReconciler.js'

export interface LeaseTaskOptions {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  own: { host: string, address: string, zone: string, session: string }
  /**
   * Time within which ownership of an endpoint must not return to a former owner, in milliseconds. Otherwise orders of two hosts
   * could reach the engine alternately.
   */
  leaseMs: number
  /** Whether this host reads the store itself; only then does an unchanged renewal show that another host stopped renewing. */
  isReadingStore: () => boolean
  /** Whether this host's view matched the store recently, read by itself or by a relay. */
  isUpToDate: () => boolean
  /** Whether the table of owners was read since the store was last restored, so that its versions can be checked. */
  areOwnersKnown: () => boolean
  hashPair: HashPair
  /** Whether this host is isolated from its peers, so that other hosts should own the engines. */
  isIsolated: () => boolean
  /** Whether this host has lost its links to all endpoints, so that it can't give orders. */
  isStranded: () => boolean
  /** Asks a host directly whether the process incarnation that wrote the row is still running. */
  isRunning: (row: HostRow) => Promise<boolean>
  /** Sends a transaction to the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** Sends a renewal to the renewal collector; resolves with undefined if it is not known whether the renewal was written. */
  renewViaCollector: (renewal: number, version: number) => Promise<RenewalResult | undefined>
  /** Reads the renewals from the store; called after the store's response to a renewal was lost. */
  readRenewals: () => void
  /** A host's renewal row, as last read. */
  findRenewalRow: (host: string) => StoreRow | undefined
  /** Applies a row of the store to the cluster view before a cluster update contains it. */
  applyRow: (row: StoreRow) => void
  /** Whether the witnesses of this host's lease confirm that the store is unavailable, so that no host can take over its endpoints. */
  isOutage: () => boolean
  /** Selects the witnesses that this host's row should list. */
  selectWitnesses: () => LeaseWitness[]
  /** Returns the processes that the hosts of these witnesses have now. */
  updateWitnessSessions: (witnesses: readonly LeaseWitness[]) => LeaseWitness[]
  /** Whether a list of witnesses that was written `ageMs` ago should be replaced. */
  isWitnessListOutdated: (listed: readonly LeaseWitness[], ageMs: number) => boolean
  /** Whether the lease of a host that has not renewed its row for so many milliseconds has expired, by its witnesses. */
  hasLeaseExpired: (row: HostRow, renewalRow: StoreRow, stalledMs: number) => Promise<boolean>
  /**
   * Called when this host gains an endpoint, or loses it (`fencing` undefined). `hadNoOtherOwner` is true if no orders of another
   * host can still be on their way: this host was the last owner, or no host ever owned the endpoint.
   */
  receiveOwnership: (endpointId: string, fencing: number | undefined, hadNoOtherOwner: boolean) => void
}

const stepIntervalMs = 100
/** Step interval of a host that owns no endpoints, has none to claim and watches no renewals; changes trigger a step at once. */
const idleStepIntervalMs = 500
/** Renewal interval of a host that owns no endpoints, so that other hosts know that it is alive. */
const idleRenewalIntervalMs = 20_000
/** Delay between two attempts to release all endpoints, to limit the load on a store that is unavailable. */
const releaseRetryDelayMs = 250

export class LeaseTask {
  #options: LeaseTaskOptions
  #hostExpiry = new HostExpiryTracker()
  #pauseDetector = new PauseDetector()
  #reconciler: OwnershipReconciler
  #ownedEndpoints = new OwnedEndpoints()
  #registration: HostRegistration
  /** When the witnesses last confirmed an outage of the store, so that this host kept its endpoints without renewals. */
  #outageKnownAtMs = -Infinity
  #isReleasing = false
  #isLeaving = false
  #isStarted = false
  #timer: Timer | undefined
  #stepDueAtMs = Infinity

  constructor (options: LeaseTaskOptions) {
    this.#options = options
    const { clock, log, clusterView, own, leaseMs, isReadingStore, isUpToDate, areOwnersKnown, hashPair, isRunning, transact, renewViaCollector, readRenewals, findRenewalRow, applyRow, selectWitnesses, updateWitnessSessions, isWitnessListOutdated, hasLeaseExpired } = options
    this.#registration = new HostRegistration({
      clock,
      log,
      clusterView,
      own,
      transact,
      renewViaCollector,
      readRenewals,
      applyRow,
      selectWitnesses,
      updateWitnessSessions,
      isWitnessListOutdated,
      receiveDeclaredDead: () => this.#removeAllOwned('this host was declared dead'),
      requestStep: () => this.#scheduleStep(0)
    })
    this.#reconciler = new OwnershipReconciler({
      clock,
      log,
      clusterView,
      own,
      leaseMs,
      hostExpiry: this.#hostExpiry,
      isReadingStore,
      isUpToDate,
      areOwnersKnown,
      hashPair,
      isRunning,
      transact,
      findRenewalRow,
      hasLeaseExpired,
      getRegistrationCheck: () => this.#registration.check,
      findOwned: endpointId => this.#ownedEndpoints.get(endpointId),
      listKept: () => this.#ownedEndpoints.listKept(),
      applyRow,
      receiveRenewalRow: row => this.#registration.adoptRow(row),
      addOwned: (endpointId, version, hadNoOtherOwner) => this.#addOwned(endpointId, version, hadNoOtherOwner),
      removeOwned: (endpointId, reason) => this.#removeOwned(endpointId, reason),
      requestStep: () => this.#scheduleStep(0)
    })
  }

  start (): void {
    this.#isStarted = true
    this.#step()
  }

  /**
   * Releases all endpoints, so that other hosts can claim them at once. While the store accepts no writes, no host could claim
   * them, so this host continues as their owner for up to `maxWaitMs`.
   */
  async releaseForShutdown (maxWaitMs: number): Promise<void> {
    const { clock, log } = this.#options
    this.#isLeaving = true
    const deadlineMs = clock.readMonotonic() + maxWaitMs
    while (this.#ownedEndpoints.size > 0 && !await this.#registration.probeStore()) {
      if (clock.readMonotonic() + releaseRetryDelayMs >= deadlineMs) break
      await this.#delay(releaseRetryDelayMs)
    }
    const owned = new Map(this.#listReleasable())
    this.#removeAllOwned('the host is shutting down')
    const { host } = this.#options.own
    const removals = [{ table: hostsTable, key: formatHostKey(host) }, { table: renewalsTable, key: host }]
    for (;;) {
      const released = [...owned].slice(0, maxEndpointsPerTransaction)
      const isLast = released.length === owned.size
      const { checks, writes } = this.#reconciler.createRelease(released)
      // Without the check, a write that is applied late would remove the rows of the next process of this host.
      const outcome = await this.#options.transact(isLast ? { checks: [...checks, this.#registration.check], writes, removals } : { checks, writes, removals: [] })
      log.record('lease.left', 'Released endpoints because the host is shutting down.', { endpointIds: released.map(([endpointId]) => endpointId), verdict: outcome.verdict })
      if (outcome.verdict === 'applied') {
        if (isLast) return
        for (const [endpointId] of released) owned.delete(endpointId)
        continue
      }
      if (clock.readMonotonic() + releaseRetryDelayMs >= deadlineMs) return
      // A row changed since, by another host or by an earlier attempt whose response was lost, must not be released again.
      if (outcome.verdict === 'conflict') {
        if (isLast && !this.#registration.adoptConflict(outcome.rows) && owned.size === 0) return
        for (const [endpointId, known] of owned) if (outcome.rows.some(({ key, version }) => key === formatOwnerKey(endpointId) && version !== known)) owned.delete(endpointId)
      }
      await this.#delay(releaseRetryDelayMs)
    }
  }

  /** Lists the owned endpoints with the versions of their rows, without those whose row is not known since the store was restored. */
  #listReleasable (): [string, number][] {
    const { clusterView, areOwnersKnown } = this.#options
    return this.#ownedEndpoints.list().flatMap(([endpointId, { version, keptRenewalSentAtMs }]): [string, number][] => {
      if (keptRenewalSentAtMs === undefined) return [[endpointId, version]]
      return areOwnersKnown() ? [[endpointId, clusterView.owners.get(endpointId)?.version ?? 0]] : []
    })
  }

  async #delay (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, ms) })
  }

  stop (): void {
    this.#isStarted = false
    this.#timer?.cancel()
  }

  /** When another host's renewal last changed in the store, as read by this host. */
  get lastPeerRenewalAtMs (): number {
    return this.#hostExpiry.getOthersRenewedAtMs(this.#options.own.host)
  }

  /** Milliseconds since this host sent its last confirmed renewal. */
  get confirmedRenewalAgeMs (): number {
    return this.#options.clock.readMonotonic() - this.#registration.confirmedSentAtMs
  }

  /** This host's last renewal that is known to be in the store. */
  get confirmedRenewal (): number {
    return this.#registration.confirmedRenewal
  }

  /** Lists of witnesses of which the store has one for this host. */
  listPossibleWitnesses (): Array<readonly LeaseWitness[]> {
    return this.#registration.listPossibleWitnesses()
  }

  /** Releases all endpoints of this host. */
  async #releaseAll (reason: string): Promise<void> {
    this.#isReleasing = true
    const owned = this.#listReleasable()
    this.#removeAllOwned(reason)
    for (let start = 0; start < owned.length; start += maxEndpointsPerTransaction) {
      const released = owned.slice(start, start + maxEndpointsPerTransaction)
      const release = this.#reconciler.createRelease(released)
      const outcome = await this.#options.transact({ ...release, removals: [] })
      if (outcome.verdict === 'applied') for (const write of release.writes) this.#options.applyRow({ ...write, version: outcome.version })
      this.#options.log.record('lease.givenUp', 'Released endpoints.', { reason, endpointIds: released.map(([endpointId]) => endpointId), verdict: outcome.verdict })
    }
    this.#isReleasing = false
  }

  get ownedEndpointCount (): number {
    return this.#ownedEndpoints.size
  }

  /** Fencing token for orders to the endpoint; undefined if this host may not send it orders at this moment. */
  findFencingToken (endpointId: string): number | undefined {
    const { clusterView } = this.#options
    const nowMs = this.#readClock()
    const owned = this.#ownedEndpoints.get(endpointId)
    if (!owned || !this.#isLeaseValid(owned, nowMs)) return undefined
    return clusterView.computeFencingToken(owned.version, owned.era)
  }

  #isLeaseValid ({ keptRenewalSentAtMs }: OwnedEndpoint, nowMs: number): boolean {
    const renewedAtMs = keptRenewalSentAtMs ?? this.#registration.confirmedSentAtMs
    if (mayOrder(nowMs, renewedAtMs)) return true
    return nowMs - renewedAtMs < maxOutageMs && (keptRenewalSentAtMs !== undefined || this.#registration.hasConfirmed) && this.#isOutage(nowMs)
  }

  #isOutage (nowMs: number): boolean {
    const isOutage = this.#options.isOutage()
    if (isOutage) this.#outageKnownAtMs = nowMs
    return isOutage
  }

  /** Returns the time, after a check whether the process was paused. */
  #readClock (): number {
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    if (this.#pauseDetector.checkPause(nowMs, clock.readWall())) this.#recordPause()
    return nowMs
  }

  /**
   * Begins a new era of the store, which was restored from a copy: renewals and claims since the copy are lost. This host keeps the
   * endpoints that no other one can have taken over, and registers again.
   */
  beginEra (): void {
    const { clock, clusterView, log } = this.#options
    const nowMs = this.#readClock()
    const isKeptAfterOutage = nowMs - this.#outageKnownAtMs < keepAfterOutageMs
    for (const [endpointId, { keptRenewalSentAtMs }] of this.#ownedEndpoints.list()) {
      const renewalSentAtMs = keptRenewalSentAtMs ?? this.#registration.confirmedSentAtMs
      if (nowMs - renewalSentAtMs < keepLimitMs || isKeptAfterOutage) this.#ownedEndpoints.keep(endpointId, renewalSentAtMs)
      else this.#removeOwned(endpointId, 'the store was restored from a copy, and this host had not renewed its lease in time before')
    }
    log.record('lease.eraBegan', 'The store was restored from a copy: this host registers again, and writes the rows of the endpoints that it keeps.', {
      ...clusterView.writtenInEra, kept: this.#ownedEndpoints.listKept()
    })
    this.#registration.beginEra()
    this.#hostExpiry.clear()
    this.#reconciler.beginEra(clock.readMonotonic())
    this.#scheduleStep(0)
  }

  receiveChange (change: ClusterViewChange): void {
    const { clock, clusterView, own } = this.#options
    const nowMs = clock.readMonotonic()
    if (change.kind === 'renewal') {
      if (change.renewal) this.#hostExpiry.recordRenewal(change.host, change.renewal, nowMs)
      else this.#hostExpiry.removeHost(change.host)
      if (change.host === own.host && change.renewal) this.#registration.adoptRenewal(change.renewal, change.version)
      return
    }
    if (this.#mayCreateUnowned(change)) this.#scheduleStep(0)
    if (change.kind !== 'owner') return
    const { endpointId, owner } = change
    const owned = this.#ownedEndpoints.get(endpointId)
    // A row of the copy neither gives an endpoint to this host nor takes one from it.
    if (clusterView.isUncertainOwner(owner) && (!owned || owned.keptRenewalSentAtMs !== undefined)) return
    const isOwn = owner?.row.host === own.host && owner.row.session === own.session
    if (isOwn) this.#addOwned(endpointId, owner.version)
    else this.#removeOwned(endpointId, owner ? `host "${owner.row.host}" is the owner now` : 'the owner row was removed')
  }

  /** Whether a change may have added an endpoint or left one without an owner. */
  #mayCreateUnowned (change: ClusterViewChange): boolean {
    if (change.kind === 'owner') return isUnowned(change.owner?.row) || change.owner?.row.host === this.#options.own.host
    return change.kind === 'configuration' || (change.kind === 'endpoint' && change.entry !== undefined && isUnowned(this.#options.clusterView.owners.get(change.id)?.row))
  }

  #recordPause (): void {
    this.#registration.forgetConfirmed()
    for (const endpointId of this.#ownedEndpoints.listKept()) this.#removeOwned(endpointId, 'the process may have been paused since the store was restored')
    this.#options.log.record('lease.paused', 'The monotonic and wall clocks drifted apart, so the process may have been paused; no orders are sent before the next renewal.', {})
  }

  #step (): void {
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    if (!this.#options.isReadingStore()) this.#hostExpiry.recordStoreUnavailable(nowMs)
    if (this.#ownedEndpoints.size > 0) this.#isOutage(nowMs)
    if (!this.#isLeaving) this.#registration.renewIfDue(nowMs, this.#ownedEndpoints.size > 0 || !this.#registration.isRegistered ? renewalIntervalMs : idleRenewalIntervalMs)
    if (!this.#isLeaving && this.#ownedEndpoints.size > 0) this.#registration.renewIfWitnessesOutdated(nowMs)
    this.#scheduleStep(this.#isIdle() ? idleStepIntervalMs : stepIntervalMs)
    if (this.#isLeaving || this.#isReleasing || !this.#registration.isRegistered) return
    const { isIsolated, isStranded } = this.#options
    if (!isIsolated() && !isStranded()) this.#reconciler.step(nowMs)
    else if (this.#ownedEndpoints.size > 0) this.#releaseAll(isIsolated() ? 'this host is isolated from its peers' : 'this host reaches no endpoint')
  }

  #isIdle (): boolean {
    return this.#registration.isRegistered && this.#ownedEndpoints.size === 0 && !this.#reconciler.hasUnownedEndpoints && !this.#options.isReadingStore()
  }

  /** Schedules the next step `delayMs` from now, unless one is due sooner. */
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

  #addOwned (endpointId: string, version: number, hadNoOtherOwner = false): void {
    const { clusterView } = this.#options
    const { era } = clusterView.writtenInEra
    if (this.#isLeaving || !this.#ownedEndpoints.add(endpointId, version, era)) return
    const fencing = clusterView.computeFencingToken(version, era)
    this.#reconciler.recordGained(endpointId)
    this.#options.log.record('lease.gained', 'This host became the owner of an endpoint and sends it orders.', { endpointId, fencing })
    this.#options.receiveOwnership(endpointId, fencing, hadNoOtherOwner)
    if (this.#options.clock.readMonotonic() - this.#registration.confirmedSentAtMs > renewalIntervalMs) this.#registration.requestRenewal()
  }

  #removeAllOwned (reason: string): void {
    for (const [endpointId] of this.#ownedEndpoints.list()) this.#removeOwned(endpointId, reason)
  }

  #removeOwned (endpointId: string, reason: string): void {
    if (!this.#ownedEndpoints.delete(endpointId)) return
    this.#reconciler.recordLost(endpointId)
    this.#options.log.record('lease.lost', 'This host no longer owns an endpoint.', { endpointId, reason })
    this.#options.receiveOwnership(endpointId, undefined, false)
  }
}
