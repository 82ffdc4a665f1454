/** Renews this host's lease in the store, tracks which endpoints the host owns, and decides whether it may send them orders. */
import { isUnowned, mayOrder, PauseDetector, HostExpiryTracker, renewalIntervalMs } from '../../core/ownershipLease.js'
import type { ClusterViewChange, ClusterView } from '../../core/clusterView.js'
import type { HashPair } from '../../core/ownershipAssignment.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { RowCheck, StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import { decodeRenewal, encodeHostsRow, formatHostKey, formatOwnerKey, hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { HostRow, RenewalRow } from '../../schemas/hostRows.js'
import type { RenewalResult } from '../../schemas/datagram.js'
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
  /** Version of a host's renewal row, as last read. */
  findRenewalVersion: (host: string) => number | undefined
  /** Applies a row of the store to the cluster view before a cluster update contains it. */
  applyRow: (row: StoreRow) => void
  /** Whether the store is unavailable to all hosts, so that no host can take over an endpoint. */
  isOutage: () => boolean
  /**
   * Called when this host gains an endpoint, or loses it (`fencing` undefined). `hadNoOtherOwner` is true if no orders of another
   * host can still be on their way: this host was the last owner, or no host ever owned the endpoint.
   */
  receiveOwnership: (endpointId: string, fencing: number | undefined, hadNoOtherOwner: boolean) => void
}

const stepIntervalMs = 100
/** Step interval of a host that owns no endpoints, has none to claim and watches no renewals; changes trigger a step at once. */
const idleStepIntervalMs = 500
/** Delay before a failed renewal is retried; grows with each failure up to half of the renewal interval. */
const minRenewalRetryDelayMs = 100
const maxRenewalRetryDelayMs = 500
/** Renewal interval of a host that owns no endpoints, so that other hosts know that it is alive. */
const idleRenewalIntervalMs = 20_000
/** Delay between two attempts to release all endpoints, to limit the load on a store that is unavailable. */
const releaseRetryDelayMs = 250

interface SentRenewal {
  readonly sentAtMs: number
  /** Whether it was written together with this host's other row. */
  readonly registers: boolean
}

export class LeaseTask {
  #options: LeaseTaskOptions
  #hostExpiry = new HostExpiryTracker()
  #pauseDetector = new PauseDetector()
  #reconciler: OwnershipReconciler
  #ownedEndpoints = new Map<string, number>()
  /** When the last confirmed renewal was sent; a renewal is confirmed once it is known to be in the store. */
  #confirmedRenewalSentAtMs = -Infinity
  /** Whether a renewal was confirmed, however long ago, with no process pause and no other writer of the row since. */
  #hasConfirmedRenewal = false
  #renewalCounter = 0
  /** Renewals whose result is not known. */
  #unconfirmedRenewals = new Map<number, SentRenewal>()
  /** Version of this host's renewal row in the store; 0 if none is known. */
  #renewalVersion = 0
  /** Whether the store has this host's rows, written by this process. */
  #isRegistered = false
  /** Start of the current renewal interval: the last renewal, or an adjusted time that moves the next renewal. */
  #renewalIntervalStartedAtMs = -Infinity
  #isRenewing = false
  #failedRenewalCount = 0
  #isReleasing = false
  #isLeaving = false
  #isStarted = false
  #timer: Timer | undefined
  #stepDueAtMs = Infinity

  constructor (options: LeaseTaskOptions) {
    this.#options = options
    const { clock, log, clusterView, own, leaseMs, isReadingStore, hashPair, isRunning, transact, findRenewalVersion, applyRow } = options
    this.#reconciler = new OwnershipReconciler({
      clock,
      log,
      clusterView,
      own,
      leaseMs,
      hostExpiry: this.#hostExpiry,
      isReadingStore,
      hashPair,
      isRunning,
      transact,
      findRenewalVersion,
      getRegistrationCheck: () => this.#registrationCheck,
      findOwnFencingToken: endpointId => this.#ownedEndpoints.get(endpointId),
      applyRow,
      receiveRenewalRow: row => this.#adoptRenewalRow(row),
      addOwned: (endpointId, fencing, hadNoOtherOwner) => this.#addOwned(endpointId, fencing, hadNoOtherOwner),
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
    while (this.#ownedEndpoints.size > 0 && !await this.#probeStore()) {
      if (clock.readMonotonic() + releaseRetryDelayMs >= deadlineMs) break
      await this.#delay(releaseRetryDelayMs)
    }
    const owned = new Map(this.#ownedEndpoints)
    for (const endpointId of owned.keys()) this.#removeOwned(endpointId, 'the host is shutting down')
    const { host } = this.#options.own
    const removals = [{ table: hostsTable, key: formatHostKey(host) }, { table: renewalsTable, key: host }]
    for (;;) {
      const released = [...owned].slice(0, maxEndpointsPerTransaction)
      const isLast = released.length === owned.size
      const { checks, writes } = this.#reconciler.createRelease(released)
      // Without the check, a write that is applied late would remove the rows of the next process of this host.
      const outcome = await this.#options.transact(isLast ? { checks: [...checks, this.#registrationCheck], writes, removals } : { checks, writes, removals: [] })
      log.record('lease.left', 'Released endpoints because the host is shutting down.', { endpointIds: released.map(([endpointId]) => endpointId), verdict: outcome.verdict })
      if (outcome.verdict === 'applied') {
        if (isLast) return
        for (const [endpointId] of released) owned.delete(endpointId)
        continue
      }
      if (clock.readMonotonic() + releaseRetryDelayMs >= deadlineMs) return
      // A row changed since, by another host or by an earlier attempt whose response was lost, must not be released again.
      if (outcome.verdict === 'conflict') {
        if (isLast && !this.#adoptConflict(outcome.rows) && owned.size === 0) return
        for (const [endpointId, fencing] of owned) if (outcome.rows.some(({ key, version }) => key === formatOwnerKey(endpointId) && version !== fencing)) owned.delete(endpointId)
      }
      await this.#delay(releaseRetryDelayMs)
    }
  }

  /**
   * Checks whether the store accepts writes, by writing a renewal. A conflict also counts: it results from another renewal that the
   * store applied.
   */
  async #probeStore (): Promise<boolean> {
    const { clock, transact } = this.#options
    const renewal = ++this.#renewalCounter
    const sent = { sentAtMs: clock.readMonotonic(), registers: false }
    this.#unconfirmedRenewals.set(renewal, sent)
    const outcome = await transact({ checks: [this.#registrationCheck], writes: [this.#createRenewalWrite(renewal)], removals: [] })
    if (outcome.verdict === 'applied') this.#recordConfirmedRenewal(renewal, outcome.version, sent)
    if (outcome.verdict === 'conflict') for (const row of outcome.rows) this.#adoptRenewalRow(row)
    return outcome.verdict === 'applied' || outcome.verdict === 'conflict'
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
    return this.#options.clock.readMonotonic() - this.#confirmedRenewalSentAtMs
  }

  /** Releases all endpoints of this host. */
  async #releaseAll (reason: string): Promise<void> {
    this.#isReleasing = true
    const owned = [...this.#ownedEndpoints]
    for (const [endpointId] of owned) this.#removeOwned(endpointId, reason)
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
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    if (this.#pauseDetector.checkPause(nowMs, clock.readWall())) this.#recordPause()
    const isLeaseValid = mayOrder(nowMs, this.#confirmedRenewalSentAtMs) || (this.#hasConfirmedRenewal && this.#options.isOutage())
    return isLeaseValid ? this.#ownedEndpoints.get(endpointId) : undefined
  }

  receiveChange (change: ClusterViewChange): void {
    const { clock, own } = this.#options
    const nowMs = clock.readMonotonic()
    if (change.kind === 'renewal') {
      if (change.renewal) this.#hostExpiry.recordRenewal(change.host, change.renewal, nowMs)
      else this.#hostExpiry.removeHost(change.host)
      if (change.host === own.host && change.renewal) this.#adoptStoredRenewal(change.renewal, change.version)
      return
    }
    if (this.#mayCreateUnowned(change)) this.#scheduleStep(0)
    if (change.kind !== 'owner') return
    const { endpointId, owner } = change
    const isOwn = owner?.row.host === own.host && owner.row.session === own.session
    if (isOwn) this.#addOwned(endpointId, owner.fencing)
    else this.#removeOwned(endpointId, owner ? `host "${owner.row.host}" is the owner now` : 'the owner row was removed')
  }

  /** Whether a change may have added an endpoint or left one without an owner. */
  #mayCreateUnowned (change: ClusterViewChange): boolean {
    if (change.kind === 'owner') return isUnowned(change.owner?.row) || change.owner?.row.host === this.#options.own.host
    return change.kind === 'configuration' || (change.kind === 'endpoint' && change.entry !== undefined && isUnowned(this.#options.clusterView.owners.get(change.id)?.row))
  }

  /** Adopts a renewal of this process that was read from the store, and confirms it if the response to its write was lost. */
  #adoptStoredRenewal ({ session, renewal }: RenewalRow, version: number): void {
    if (session !== this.#options.own.session || version <= this.#renewalVersion) return
    this.#renewalVersion = version
    const sent = this.#unconfirmedRenewals.get(renewal)
    if (sent) this.#recordConfirmedRenewal(renewal, version, sent)
  }

  /** Adopts this host's renewal row as a conflict shows it. */
  #adoptRenewalRow ({ table, key, value, version }: StoreRow): void {
    const renewal = value && decodeRenewal(value)
    if (renewal && table === renewalsTable && key === this.#options.own.host) this.#adoptStoredRenewal(renewal, version)
  }

  /** Adopts the version of this host's renewal row from a conflict; returns false if the row is not of this process, or gone. */
  #adoptConflict (rows: readonly StoreRow[]): boolean {
    const { own } = this.#options
    const current = rows.find(row => row.table === renewalsTable && row.key === own.host)
    const renewal = current?.value && decodeRenewal(current.value)
    if (renewal?.session !== own.session) return false
    this.#renewalVersion = current!.version
    return true
  }

  #recordConfirmedRenewal (renewal: number, version: number, { sentAtMs, registers }: SentRenewal): void {
    for (const sent of this.#unconfirmedRenewals.keys()) if (sent <= renewal) this.#unconfirmedRenewals.delete(sent)
    if (registers && !this.#isRegistered) {
      this.#isRegistered = true
      this.#scheduleStep(0)
    }
    this.#failedRenewalCount = 0
    this.#renewalVersion = version
    this.#confirmedRenewalSentAtMs = Math.max(this.#confirmedRenewalSentAtMs, sentAtMs)
    this.#hasConfirmedRenewal = true
  }

  #recordPause (): void {
    this.#confirmedRenewalSentAtMs = -Infinity
    this.#hasConfirmedRenewal = false
    // A renewal that was sent before the pause does not confirm the lease after it.
    this.#unconfirmedRenewals.clear()
    this.#renewalIntervalStartedAtMs = -Infinity
    this.#options.log.record('lease.paused', 'The monotonic and wall clocks drifted apart, so the process may have been paused; no orders are sent before the next renewal.', {})
  }

  #step (): void {
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    if (!this.#options.isReadingStore()) this.#hostExpiry.recordStoreUnavailable(nowMs)
    const interval = this.#ownedEndpoints.size > 0 || !this.#isRegistered ? renewalIntervalMs : idleRenewalIntervalMs
    if (!this.#isLeaving && nowMs - this.#renewalIntervalStartedAtMs >= interval) this.#renew()
    this.#scheduleStep(this.#isIdle() ? idleStepIntervalMs : stepIntervalMs)
    if (this.#isLeaving || this.#isReleasing || !this.#isRegistered) return
    const { isIsolated, isStranded } = this.#options
    if (!isIsolated() && !isStranded()) this.#reconciler.step(nowMs)
    else if (this.#ownedEndpoints.size > 0) this.#releaseAll(isIsolated() ? 'this host is isolated from its peers' : 'this host reaches no endpoint')
  }

  #isIdle (): boolean {
    return this.#isRegistered && this.#ownedEndpoints.size === 0 && !this.#reconciler.hasUnownedEndpoints && !this.#options.isReadingStore()
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

  /** The check that this host's renewal row is as it was last written; fails where another host has removed it. */
  get #registrationCheck (): RowCheck {
    return { table: renewalsTable, key: this.#options.own.host, version: this.#renewalVersion }
  }

  // Renewal

  #createRenewalWrite (renewal: number): StoreTransaction['writes'][number] {
    const { host, session } = this.#options.own
    return { table: renewalsTable, key: host, value: encodeHostsRow({ session, renewal }) }
  }

  async #renew (): Promise<void> {
    if (this.#isRenewing) return
    this.#isRenewing = true
    const { clock, log } = this.#options
    const startedAtMs = clock.readMonotonic()
    this.#renewalIntervalStartedAtMs = startedAtMs
    const renewal = ++this.#renewalCounter
    const sent = { sentAtMs: startedAtMs, registers: !this.#isRegistered }
    this.#unconfirmedRenewals.set(renewal, sent)
    // Without a recent confirmed renewal, this host writes its own at once instead of waiting for the collector.
    const canUseCollector = this.#isRegistered && startedAtMs - this.#confirmedRenewalSentAtMs < 2 * renewalIntervalMs
    const reply = canUseCollector ? await this.#options.renewViaCollector(renewal, this.#renewalVersion) : undefined
    if (reply) {
      this.#isRenewing = false
      this.#handleCollectedRenewal(reply, renewal, startedAtMs)
      return
    }
    const write = this.#createRenewalWrite(renewal)
    const hostWrite = this.#createHostWrite()
    // Copies of one transaction have the same check, so that the store applies one of them at most.
    const outcome = await this.#options.transact({ checks: [this.#registrationCheck], writes: sent.registers ? [write, hostWrite] : [write], removals: [] })
    this.#isRenewing = false
    if (outcome.verdict === 'applied') {
      if (sent.registers) this.#options.applyRow({ ...hostWrite, version: outcome.version })
      if (this.#unconfirmedRenewals.has(renewal)) this.#recordConfirmedRenewal(renewal, outcome.version, sent)
      else this.#renewalVersion = Math.max(this.#renewalVersion, outcome.version)
      return
    }
    if (outcome.verdict === 'conflict') this.#handleRenewalConflict(outcome.rows)
    else if (outcome.verdict === 'unknown') this.#options.readRenewals()
    if (outcome.verdict !== 'conflict') log.record('lease.renewalFailed', 'The renewal of this host\'s row failed.', { verdict: outcome.verdict, reason: outcome.reason })
    // The first conflict of a host that registers only tells the version of the row that it replaces.
    if (!(sent.registers && outcome.verdict === 'conflict' && this.#failedRenewalCount === 0)) this.#failedRenewalCount++
    this.#renewalIntervalStartedAtMs = startedAtMs - renewalIntervalMs + Math.min(maxRenewalRetryDelayMs, minRenewalRetryDelayMs * this.#failedRenewalCount)
    this.#scheduleStep(0)
  }

  #handleCollectedRenewal ({ verdict, version, current }: RenewalResult, renewal: number, startedAtMs: number): void {
    const { clock, own } = this.#options
    if (verdict === 'conflict') {
      this.#handleRenewalConflict(current ? [{ table: renewalsTable, key: own.host, version, value: encodeHostsRow(current) }] : [])
      this.#renewalIntervalStartedAtMs = startedAtMs - renewalIntervalMs + stepIntervalMs * 2
      return
    }
    if (this.#unconfirmedRenewals.has(renewal)) this.#recordConfirmedRenewal(renewal, version, { sentAtMs: startedAtMs, registers: false })
    // Align the next renewal with the collector's batch: hosts in one batch then send their next renewals together.
    this.#renewalIntervalStartedAtMs = clock.readMonotonic() - stepIntervalMs
  }

  /**
   * Handles a row that differs from this host's last known write: an earlier renewal was written although its response was lost,
   * or another host declared this one dead.
   */
  #handleRenewalConflict (rows: readonly StoreRow[]): void {
    const { own, log } = this.#options
    const current = rows.find(row => row.table === renewalsTable && row.key === own.host)
    const renewal = current?.value && decodeRenewal(current.value)
    const isOwnWrite = renewal?.session === own.session
    log.record('lease.conflict', 'This host\'s row was changed by another writer, or by a renewal whose response was lost.', {
      isOwnWrite, isRegistered: this.#isRegistered, version: current?.version, known: this.#renewalVersion
    })
    if (isOwnWrite) {
      this.#adoptStoredRenewal(renewal!, current!.version)
      return
    }
    // The row of an earlier process of this host, which the next attempt replaces.
    this.#renewalVersion = current?.version ?? 0
    if (!this.#isRegistered) return
    this.#isRegistered = false
    this.#hasConfirmedRenewal = false
    for (const endpointId of [...this.#ownedEndpoints.keys()]) this.#removeOwned(endpointId, 'this host was declared dead')
  }

  #createHostWrite (): { table: string, key: string, value: Uint8Array } {
    const { own } = this.#options
    return { table: hostsTable, key: formatHostKey(own.host), value: encodeHostsRow({ ...own, isLeaving: false }) }
  }

  // Ownership

  #addOwned (endpointId: string, fencing: number, hadNoOtherOwner = false): void {
    if (this.#isLeaving || (this.#ownedEndpoints.get(endpointId) ?? 0) >= fencing) return
    this.#ownedEndpoints.set(endpointId, fencing)
    this.#reconciler.recordGained(endpointId)
    this.#options.log.record('lease.gained', 'This host became the owner of an endpoint and sends it orders.', { endpointId, fencing })
    this.#options.receiveOwnership(endpointId, fencing, hadNoOtherOwner)
    if (this.#options.clock.readMonotonic() - this.#confirmedRenewalSentAtMs > renewalIntervalMs) this.#renewalIntervalStartedAtMs = -Infinity
  }

  #removeOwned (endpointId: string, reason: string): void {
    if (!this.#ownedEndpoints.delete(endpointId)) return
    this.#reconciler.recordLost(endpointId)
    this.#options.log.record('lease.lost', 'This host no longer owns an endpoint.', { endpointId, reason })
    this.#options.receiveOwnership(endpointId, undefined, false)
  }
}
