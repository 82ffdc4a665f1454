/** Claims unowned endpoints, releases the endpoints of dead hosts, and hands over endpoints that exceed this host's share. */
import { computeClaimDelayMs, hostExpiryMs, isUnowned } from '../../core/ownershipLease.js'
import type { HostExpiryTracker } from '../../core/ownershipLease.js'
import { findExcessEndpoint, rankEndpointClaims } from '../../core/ownershipAssignment.js'
import type { HashPair, AssignmentEndpoint, AssignmentHost } from '../../core/ownershipAssignment.js'
import type { ClusterView, KnownHost } from '../../core/clusterView.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { RowCheck, StoreOutcome, StoreRow, StoreTransaction } from '../../ports/store.js'
import { encodeHostsRow, formatHostKey, formatOwnerKey, hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { HostRow, OwnerRow } from '../../schemas/hostRows.js'
import type { OwnedEndpoint } from './ownedEndpoints.js'

export interface OwnershipReconcilerOptions {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  own: { host: string, address: string, zone: string, session: string }
  /**
   * Time within which ownership of an endpoint must not return to a former owner, in milliseconds. Otherwise orders of two hosts
   * could reach the engine alternately.
   */
  leaseMs: number
  hostExpiry: HostExpiryTracker
  /** Whether this host reads the store itself; only then does an unchanged renewal show that another host stopped renewing. */
  isReadingStore: () => boolean
  /** Whether this host's view matched the store recently, read by itself or by a relay. */
  isUpToDate: () => boolean
  /** Whether the table of owners was read since the store was last restored, so that its versions can be checked. */
  areOwnersKnown: () => boolean
  hashPair: HashPair
  /** Asks a host directly whether the process incarnation that wrote the row is still running. */
  isRunning: (row: HostRow) => Promise<boolean>
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  /** A host's renewal row, as last read. */
  findRenewalRow: (host: string) => StoreRow | undefined
  /** Whether the lease of a host that has not renewed its row for so many milliseconds has expired, by its witnesses. */
  hasLeaseExpired: (row: HostRow, renewalRow: StoreRow, stalledMs: number) => Promise<boolean>
  /** Returns the check that no other host has removed this host's rows. */
  getRegistrationCheck: () => RowCheck
  findOwned: (endpointId: string) => OwnedEndpoint | undefined
  /** Lists the endpoints that this host kept when the store was restored, and whose rows it has to write again. */
  listKept: () => string[]
  /** Applies a row of the store to the cluster view before a cluster update contains it. */
  applyRow: (row: StoreRow) => void
  /** Called with a renewal row as a conflict shows it. */
  receiveRenewalRow: (row: StoreRow) => void
  /** Called when this host becomes the owner; `hadNoOtherOwner`: no orders of another host can still be on their way. */
  addOwned: (endpointId: string, version: number, hadNoOtherOwner: boolean) => void
  removeOwned: (endpointId: string, reason: string) => void
  /** Requests another step as soon as possible. */
  requestStep: () => void
}

interface UnownedEndpoint {
  endpointId: string
  /** Version of the owner row; 0 if there is none. */
  version: number
  /** Whether the owner row names this host, from before a restart or from a release that was not written. */
  wasOwned: boolean
  /** Whether the store, which was restored from a copy, may have lost a later owner. */
  isUncertain: boolean
}

/** An owner row that this host writes in its own name. */
interface OwnershipClaim {
  endpointId: string
  /** Version of the owner row that the claim replaces; 0 if there is none. */
  version: number
  hadNoOtherOwner: boolean
}

/** Interval between two handovers for balance; each stops new requests on its endpoint for half a second. */
const handoverIntervalMs = 10_000

/**
 * A host that has just registered does not claim endpoints it never owned for this long, because it may not know yet of hosts
 * that start at the same time.
 */
const newHostClaimDelayMs = 400
/** Number of former owners that a row names; an endpoint does not have more owners within one lease duration. */
const maxFormerHosts = 4

/**
 * Maximum number of endpoints in one transaction. Each needs two entries (a check and a write), besides the entries for the
 * host's own rows; the store accepts 100 entries.
 */
export const maxEndpointsPerTransaction = 45

/** A host that responded, or whose witnesses did not agree to its expiry, is not looked at again for this long. */
const expiryRetryMs = 1000
/**
 * A host that responds and has not renewed its row for this long has had no right to orders for most of it, whatever keeps it from
 * renewing. It registers again once its rows are removed.
 */
const stalledHostMs = 2 * hostExpiryMs
/** Added to the lease duration, for orders that arrive late. */
const lateOrderMarginMs = 300

export class OwnershipReconciler {
  #options: OwnershipReconcilerOptions
  #unownedSinceMs = new Map<string, number>()
  /** When this host lost each endpoint that it no longer owns. */
  #lostAtMs = new Map<string, number>()
  #gainedAtMs = new Map<string, number>()
  /** When the expiry of each host that did not renew its row was last put off. */
  #expiryDeferredAtMs = new Map<string, number>()
  #isTransactionRunning = false
  #hasUnownedEndpoints = true
  /** After a conflict, endpoints are claimed one at a time, so that one with another owner does not block the others. */
  #claimsSingly = false
  #lastHandoverAtMs: number
  #registeredAtMs: number | undefined
  /** Since when this host's view has matched the store without a break, in the latest era of the store. */
  #upToDateSinceMs: number | undefined

  constructor (options: OwnershipReconcilerOptions) {
    this.#options = options
    this.#lastHandoverAtMs = options.clock.readMonotonic()
  }

  recordGained (endpointId: string): void {
    this.#gainedAtMs.set(endpointId, this.#options.clock.readMonotonic())
  }

  recordLost (endpointId: string): void {
    this.#gainedAtMs.delete(endpointId)
    this.#lostAtMs.set(endpointId, this.#options.clock.readMonotonic())
  }

  /** Whether any endpoint is unowned, so that claims may soon be due. */
  get hasUnownedEndpoints (): boolean {
    return this.#hasUnownedEndpoints
  }

  /** Begins a new era of the store; transactions under way decide nothing any more. */
  beginEra (nowMs: number): void {
    this.#upToDateSinceMs = nowMs
    this.#unownedSinceMs.clear()
    this.#claimsSingly = false
  }

  /** Starts the next transaction that is due, unless one is running: kept endpoints first, then claims, a dead host, and a handover. */
  step (nowMs: number): void {
    this.#registeredAtMs ??= nowMs
    if (this.#upToDateSinceMs === undefined || !this.#options.isUpToDate()) this.#upToDateSinceMs = nowMs
    if (this.#isTransactionRunning || !this.#options.areOwnersKnown()) return
    const kept = this.#options.listKept()
    if (kept.length > 0) {
      this.#runTransaction(async () => await this.#confirmKept(kept.slice(0, this.#claimsSingly ? 1 : maxEndpointsPerTransaction)))
      return
    }
    const endpoints = this.#listEndpoints(nowMs)
    const unowned = this.#listUnowned(endpoints)
    this.#hasUnownedEndpoints = unowned.length > 0
    const dueClaims = this.#listDueClaims(endpoints, unowned, nowMs)
    if (dueClaims.length > 0) this.#runTransaction(async () => await this.#claimUnowned(dueClaims.slice(0, this.#claimsSingly ? 1 : maxEndpointsPerTransaction)))
    else this.#expireNextHost(nowMs) ?? this.#handOverExcessEndpoint(endpoints, nowMs)
  }

  /** Creates the checks and writes that release up to `maxEndpointsPerTransaction` endpoints in one transaction. */
  createRelease (owned: Iterable<[string, number]>): Pick<StoreTransaction, 'checks' | 'writes'> {
    const list = [...owned]
    return {
      checks: list.map(([endpointId, version]) => ({ table: hostsTable, key: formatOwnerKey(endpointId), version })),
      writes: list.map(([endpointId]) => this.#createOwnerWrite(endpointId, { ...noOwner, formerHosts: this.#listFormerHosts(endpointId) }))
    }
  }

  #createOwnerWrite (endpointId: string, row: Omit<OwnerRow, 'endpointId' | 'era' | 'firstEra'>): StoreTransaction['writes'][number] {
    return createOwnerWrite(endpointId, { ...row, ...this.#options.clusterView.writtenInEra })
  }

  /** Lists the owners of an endpoint, the current owner first. */
  #listFormerHosts (endpointId: string): string[] {
    const row = this.#options.clusterView.owners.get(endpointId)?.row
    const names = [...(isUnowned(row) ? [] : [row!.host]), ...row?.formerHosts ?? []]
    return names.filter((name, index) => names.indexOf(name) === index).slice(0, maxFormerHosts)
  }

  /** Runs one transaction; requests another step at once if it was applied. */
  #runTransaction (work: () => Promise<StoreOutcome | undefined>): true {
    this.#isTransactionRunning = true
    work().then(outcome => {
      this.#isTransactionRunning = false
      if (outcome?.verdict === 'applied') this.#options.requestStep()
    })
    return true
  }

  /**
   * Lists endpoints that no host owns, or whose owner row still names this host, from before a restart or from a release that was
   * not written.
   */
  #listUnowned (endpoints: readonly AssignmentEndpoint[]): UnownedEndpoint[] {
    const { clusterView, own, findOwned } = this.#options
    const unowned: UnownedEndpoint[] = []
    for (const { endpointId, ownerId } of endpoints) {
      const owner = clusterView.owners.get(endpointId)
      const wasOwned = ownerId === own.host && (owner?.row.session !== own.session || findOwned(endpointId) === undefined)
      if (ownerId === undefined || wasOwned) unowned.push({ endpointId, version: owner?.version ?? 0, wasOwned, isUncertain: clusterView.isUncertainOwner(owner) })
    }
    return unowned
  }

  /**
   * Whether an owner that the store has lost may still send orders, or write its row again. It stops within `hostExpiryMs`, as any
   * host that does not renew.
   */
  #isOwnerPossible ({ isUncertain }: UnownedEndpoint, nowMs: number): boolean {
    return isUncertain && nowMs - this.#upToDateSinceMs! < Math.max(hostExpiryMs, this.#options.leaseMs + lateOrderMarginMs)
  }

  #listDueClaims (endpoints: readonly AssignmentEndpoint[], unowned: readonly UnownedEndpoint[], nowMs: number): UnownedEndpoint[] {
    const isNewHost = nowMs - this.#registeredAtMs! < newHostClaimDelayMs
    const claimable = unowned.filter(endpoint => !this.#isOwnerPossible(endpoint, nowMs) && (endpoint.wasOwned || !(isNewHost || this.#wasLostRecently(endpoint.endpointId, nowMs))))
    const unownedIds = new Set(unowned.map(({ endpointId }) => endpointId))
    for (const endpointId of [...this.#unownedSinceMs.keys()]) if (!unownedIds.has(endpointId)) this.#unownedSinceMs.delete(endpointId)
    for (const { endpointId } of claimable) if (!this.#unownedSinceMs.has(endpointId)) this.#unownedSinceMs.set(endpointId, nowMs)
    if (claimable.length === 0) return []
    // Rank hosts only if there is something to claim: with many hosts, ranking takes longer than everything else in a step.
    const ranks = claimable.every(({ wasOwned }) => wasOwned) ? undefined : rankEndpointClaims(this.#options.own.host, endpoints, this.#listClaimants(nowMs), this.#options.hashPair)
    return claimable.filter(({ endpointId, wasOwned }) => {
      const rank = wasOwned ? 0 : ranks?.get(endpointId)
      return rank !== undefined && nowMs - this.#unownedSinceMs.get(endpointId)! >= computeClaimDelayMs(rank)
    })
  }

  /**
   * Whether this host may have lost the endpoint within the lease duration. Another host may have sent it orders since, and a
   * claim would make the orders of the two hosts alternate.
   */
  #wasLostRecently (endpointId: string, nowMs: number): boolean {
    if (this.#hasStartedRecently(nowMs) && this.#listFormerHosts(endpointId).indexOf(this.#options.own.host) > 0) return true
    const lostAtMs = this.#lostAtMs.get(endpointId)
    if (lostAtMs === undefined) return false
    if (nowMs - lostAtMs < this.#options.leaseMs + lateOrderMarginMs) return true
    this.#lostAtMs.delete(endpointId)
    return false
  }

  /** Whether an earlier process incarnation of this host may have sent orders within the lease duration. */
  #hasStartedRecently (nowMs: number): boolean {
    return nowMs - this.#registeredAtMs! < this.#options.leaseMs + lateOrderMarginMs
  }

  async #claimUnowned (unowned: UnownedEndpoint[]): Promise<StoreOutcome> {
    // No orders can be on their way to an endpoint that never had an owner.
    const claims = unowned.map(({ endpointId, version, wasOwned, isUncertain }) => ({ endpointId, version, hadNoOtherOwner: !isUncertain && (wasOwned || version === 0) }))
    for (const { endpointId } of unowned) this.#unownedSinceMs.delete(endpointId)
    return await this.#claimEndpoints(claims, 'Tried to claim unowned endpoints.')
  }

  /** Writes the rows of endpoints that this host owned when the store was restored, whatever owner the copy names. */
  async #confirmKept (endpointIds: string[]): Promise<StoreOutcome> {
    const { owners } = this.#options.clusterView
    const claims = endpointIds.map(endpointId => ({ endpointId, version: owners.get(endpointId)?.version ?? 0, hadNoOtherOwner: true }))
    return await this.#claimEndpoints(claims, 'Tried to confirm endpoints that this host kept when the store was restored.')
  }

  async #claimEndpoints (claims: OwnershipClaim[], message: string): Promise<StoreOutcome> {
    const { own, log, transact, applyRow, addOwned, getRegistrationCheck, receiveRenewalRow } = this.#options
    const writes = claims.map(({ endpointId }) => this.#createOwnerWrite(endpointId, { ...own, formerHosts: this.#listFormerHosts(endpointId).filter(name => name !== own.host) }))
    const outcome = await transact({
      checks: [
        ...claims.map(({ endpointId, version }) => ({ table: hostsTable, key: formatOwnerKey(endpointId), version })),
        getRegistrationCheck()
      ],
      writes,
      removals: []
    })
    this.#claimsSingly = outcome.verdict === 'conflict'
    log.record('lease.claimed', message, {
      endpointIds: claims.map(({ endpointId }) => endpointId), versions: claims.map(({ version }) => version), verdict: outcome.verdict
    })
    // A claim whose response was lost becomes visible in the cluster updates. A conflict returns the current rows.
    if (outcome.verdict === 'conflict') {
      for (const row of outcome.rows) {
        if (row.table === hostsTable) applyRow(row)
        else receiveRenewalRow(row)
      }
    }
    if (outcome.verdict !== 'applied') return outcome
    for (const { endpointId, hadNoOtherOwner } of claims) addOwned(endpointId, outcome.version, hadNoOtherOwner)
    for (const write of writes) applyRow({ ...write, version: outcome.version })
    return outcome
  }

  #listEndpoints (nowMs: number): AssignmentEndpoint[] {
    const { clusterView } = this.#options
    const services = clusterView.routes?.configuration.services
    return clusterView.endpoints.list(nowMs)
      .filter(entry => services?.get(entry.service)?.engine)
      .map(entry => {
        const row = clusterView.owners.get(entry.id)?.row
        return { endpointId: entry.id, zone: entry.zone, ownerId: isUnowned(row) ? undefined : row!.host }
      })
  }

  /** Lists hosts that are assumed to be alive: those that renewed recently, and those that own nothing and renew rarely. */
  #listClaimants (nowMs: number): AssignmentHost[] {
    const { clusterView, own, hostExpiry } = this.#options
    const expired = new Set(hostExpiry.listExpired(nowMs))
    const owners = new Set([...clusterView.owners.values()].map(owner => owner.row.host))
    return [...clusterView.hosts.values()]
      .filter(({ row }) => !row.isLeaving && (row.host === own.host || !owners.has(row.host) || !expired.has(row.host)))
      .map(({ row }) => ({ hostId: row.host, zone: row.zone }))
  }

  /**
   * Finds a host that did not renew its row in time, and starts to release its endpoints. A host without endpoints renews rarely; it is
   * looked at where its rows are from before the store was restored, as the store may have lost that it ended.
   */
  #expireNextHost (nowMs: number): true | undefined {
    const { clusterView, own, hostExpiry, findRenewalRow, isReadingStore } = this.#options
    if (!isReadingStore()) return undefined
    for (const name of hostExpiry.listExpired(nowMs)) {
      const host = clusterView.hosts.get(name)
      const renewalRow = findRenewalRow(name)
      const owned = [...clusterView.owners].filter(([, owner]) => owner.row.host === name).map(([id, { version }]): [string, number] => [id, version])
      const isDeferred = nowMs - (this.#expiryDeferredAtMs.get(name) ?? -Infinity) < expiryRetryMs
      if (!host || !renewalRow || name === own.host || isDeferred || (owned.length === 0 && !clusterView.isUncertainRow(host.row))) continue
      return this.#runTransaction(async () => await this.#expireHost(host, renewalRow, owned))
    }
    return undefined
  }

  async #expireHost ({ row, version }: KnownHost, renewalRow: StoreRow, owned: [string, number][]): Promise<StoreOutcome | undefined> {
    const { clock, log, hostExpiry, isRunning, hasLeaseExpired, transact, applyRow } = this.#options
    const responds = await isRunning(row)
    const stalledMs = hostExpiry.getStalledMs(row.host, clock.readMonotonic())
    // While it was asked, the host has left, or the store was restored from a copy.
    if (!Number.isFinite(stalledMs)) return undefined
    const isAlive = responds && stalledMs < (owned.length > 0 ? stalledHostMs : Infinity)
    if (isAlive || (owned.length > 0 && !await hasLeaseExpired(row, renewalRow, stalledMs))) {
      this.#expiryDeferredAtMs.set(row.host, clock.readMonotonic())
      return undefined
    }
    this.#expiryDeferredAtMs.delete(row.host)
    // The host's own rows are removed together with its last endpoints.
    const released = owned.slice(0, maxEndpointsPerTransaction)
    const release = this.createRelease(released)
    const outcome = await transact({
      // The witnesses that were asked are those of the host's row only while neither row has changed.
      checks: [{ table: renewalsTable, key: row.host, version: renewalRow.version }, { table: hostsTable, key: formatHostKey(row.host), version }, ...release.checks],
      writes: release.writes,
      removals: released.length < owned.length ? [] : [{ table: hostsTable, key: formatHostKey(row.host) }, { table: renewalsTable, key: row.host }]
    })
    log.record('lease.expired', 'A host did not renew its row; releasing its endpoints.', { lostHost: row.host, responds, endpointIds: released.map(([id]) => id), verdict: outcome.verdict })
    if (outcome.verdict === 'applied') for (const write of release.writes) applyRow({ ...write, version: outcome.version })
    if (outcome.verdict === 'conflict') for (const current of outcome.rows) if (current.table === hostsTable) applyRow(current)
    return outcome
  }

  /** Releases one endpoint if this host owns more than its share, so that a host that has joined can claim it. */
  #handOverExcessEndpoint (endpoints: readonly AssignmentEndpoint[], nowMs: number): void {
    const { own, findOwned, hashPair, isUpToDate } = this.#options
    // While the store is unavailable, no other host can claim the endpoint.
    if (!isUpToDate() || nowMs - this.#lastHandoverAtMs < handoverIntervalMs || !endpoints.some(({ ownerId }) => ownerId === own.host)) return
    const endpointId = findExcessEndpoint(own.host, endpoints, this.#listClaimants(nowMs), hashPair)
    const owned = endpointId === undefined ? undefined : findOwned(endpointId)
    if (endpointId === undefined || owned === undefined || this.#wasGainedRecently(endpointId, nowMs)) return
    this.#lastHandoverAtMs = nowMs
    this.#runTransaction(async () => await this.#handOverEndpoint(endpointId, owned.version))
  }

  /** Whether this host gained the endpoint within the lease duration; the host that would claim it may be the former owner. */
  #wasGainedRecently (endpointId: string, nowMs: number): boolean {
    return nowMs - (this.#gainedAtMs.get(endpointId) ?? -Infinity) < this.#options.leaseMs + lateOrderMarginMs
  }

  async #handOverEndpoint (endpointId: string, version: number): Promise<StoreOutcome> {
    const { log, removeOwned, transact, applyRow } = this.#options
    removeOwned(endpointId, 'another host has fewer endpoints')
    const release = this.createRelease([[endpointId, version]])
    const outcome = await transact({ ...release, removals: [] })
    if (outcome.verdict === 'applied') for (const write of release.writes) applyRow({ ...write, version: outcome.version })
    log.record('lease.handedOver', 'Released an endpoint to balance endpoints between hosts.', { endpointId, verdict: outcome.verdict })
    return outcome
  }
}

/** Content of an owner row whose endpoint is unowned. */
export const noOwner: Omit<OwnerRow, 'endpointId'> = Object.freeze({ host: '', address: '', session: '' })

export function createOwnerWrite (endpointId: string, { host, address, session, formerHosts, era, firstEra }: Omit<OwnerRow, 'endpointId'>): { table: string, key: string, value: Uint8Array } {
  const row = { endpointId, host, address, session, ...(formerHosts && { formerHosts }), ...(era !== undefined && { era }), ...(firstEra !== undefined && { firstEra }) }
  return { table: hostsTable, key: formatOwnerKey(endpointId), value: encodeHostsRow(row) }
}
