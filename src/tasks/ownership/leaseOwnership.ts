/** Assigns endpoints to schedulers by leases in the platform's table. */
import { createLog } from '../../createLog.js'
import { defaultOwnershipPolicy } from '../../core/ownershipPolicy.js'
import type { OwnershipPolicy } from '../../core/ownershipPolicy.js'
import { findExcessEndpoint, rankEndpointClaims } from '../../core/ownershipAssignment.js'
import type { HashPair, AssignmentEndpoint, AssignmentHost } from '../../core/ownershipAssignment.js'
import { leaseCyclePauseMs } from '../../core/ownershipTimeouts.js'
import { SchedulerLiveness } from '../../core/schedulerLiveness.js'
import type { Clock } from '../../ports/clock.js'
import type { EngineReport } from '../../ports/engine.js'
import type { HostList } from '../../ports/hostList.js'
import type { Table } from '../../ports/table.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { HeldLease, Holder, SchedulerRow } from '../../schemas/ownershipRows.js'
import { TableWriter } from '../table/tableWriter.js'
import { EndpointLease } from './endpointLease.js'
import { HostLease } from './hostLease.js'
import type { HostLeaseContent } from './hostLease.js'
import type { EndpointOwner, OwnedEndpoint, EndpointOwnership, SendOwnershipEvent } from './endpointOwnership.js'
import { readOwnershipRows } from './ownershipSnapshot.js'
import type { OwnershipSnapshot } from './ownershipSnapshot.js'
import { removeDeadHostRow } from './removeDeadHostRow.js'
import { claimEndpoint } from './claimEndpoint.js'

const log = createLog('ownership')
/** A host waits this long before a claim for each host that ranks above it for the endpoint. */
const claimDelayPerRankMs = 1000
/** Minimum time between two endpoints that this host yields to balance the assignment. */
const yieldIntervalMs = 2000
const adoptableIntervalMs = 1500
const outageCheckIntervalMs = 500
const hostListIntervalMs = 1000
const writeOutcomeTimeoutMs = 500
const maxReleaseAttempts = 3

export interface LeaseOwnershipOptions {
  clock: Clock
  table: Table
  hostList: HostList
  /** `session` must differ from that of every earlier process. */
  holder: Holder
  zone: string
  hashText: (text: string) => number
  /** Hosts that recently reported that the table does not respond to them. */
  listOutageReports: () => string[]
  policy?: OwnershipPolicy
  send: SendOwnershipEvent
}

export class LeaseOwnership implements EndpointOwnership {
  #options: LeaseOwnershipOptions
  #policy: OwnershipPolicy
  #writer: TableWriter
  #hostLease: HostLease
  #liveness = new SchedulerLiveness()
  #leases = new Map<string, EndpointLease>()
  /** Lost leases whose requests may still be running. */
  #lostLeases = new Map<string, HeldLease>()
  #engines = new Map<string, EngineEntry>()
  /** The ownership rows as last read. */
  #snapshot: OwnershipSnapshot | undefined
  #unownedSinceMs = new Map<string, number>()
  #lastYieldAtMs: number
  #adoptableWrittenAtMs = -Infinity
  #isLeaving = false
  #isOutage = false
  #isServing = false
  #leaseCycle: Repetition | undefined
  #outageCheck: Repetition | undefined
  #hostListPoll: Repetition | undefined
  #currentCycle: Promise<void> = Promise.resolve()

  #hashPair: HashPair = (endpointId, hostId) => this.#options.hashText(`${endpointId}/${hostId}`)

  constructor (options: LeaseOwnershipOptions) {
    this.#options = options
    const { clock, table, holder, zone, listOutageReports } = options
    this.#policy = options.policy ?? defaultOwnershipPolicy
    this.#writer = new TableWriter({ table, clock, resolveTimeoutMs: writeOutcomeTimeoutMs })
    this.#hostLease = new HostLease({ clock, writer: this.#writer, holder, zone, listOutageReports, policy: this.#policy })
    this.#lastYieldAtMs = clock.readMonotonic()
  }

  start (): void {
    const { clock } = this.#options
    // Runs independently of the lease cycle, so that a slow table does not delay the notice that an endpoint is leaving.
    this.#hostListPoll = repeatTask(clock, hostListIntervalMs, async () => await this.#readHostList(), () => {})
    this.#leaseCycle = repeatTask(clock, leaseCyclePauseMs, async () => {
      this.#currentCycle = this.#runLeaseCycle()
      await this.#currentCycle
    }, error => log('Failed to renew the leases: %s.', error.message))
    this.#outageCheck = repeatTask(clock, outageCheckIntervalMs, async () => {
      this.#hostLease.extendServingThroughOutage()
      this.#logServingState()
    }, () => {})
  }

  stopClaiming (): void {
    this.#isLeaving = true
  }

  async stop (): Promise<void> {
    this.#isLeaving = true
    this.#leaseCycle?.stop()
    this.#outageCheck?.stop()
    this.#hostListPoll?.stop()
    await this.#currentCycle.catch(() => {})
    const owned = this.listOwned()
    await Promise.all(owned.map(async ({ endpointId, fencing }) => await this.release(endpointId, fencing)))
    const areAllReleased = this.#leases.size === 0 && this.#lostLeases.size === 0
    if (areAllReleased) await this.#hostLease.remove()
    for (const { endpointId } of owned) this.#options.send({ type: 'lost', endpointId, reason: 'the host stops' })
  }

  async release (endpointId: string, fencing: number): Promise<void> {
    this.#lostLeases.delete(formatLeaseKey({ endpointId, fencing }))
    const lease = this.#leases.get(endpointId)
    if (lease?.fencing !== fencing) return
    lease.isReleased = true
    for (let attempt = 0; attempt < maxReleaseAttempts; attempt++) {
      if (await lease.writeRelease()) {
        this.#leases.delete(endpointId)
        return
      }
    }
    log('The release of endpoint "%s" is not written yet.', endpointId)
  }

  listOwned (): OwnedEndpoint[] {
    return [...this.#leases].map(([endpointId, { fencing }]) => ({ endpointId, fencing }))
  }

  listOwners (): EndpointOwner[] {
    return [...this.#engines.keys()].sort().map(endpointId => {
      const lease = this.#leases.get(endpointId)
      if (lease) return { endpointId, hostId: this.#options.holder.hostId, fencing: lease.fencing }
      const row = this.#snapshot?.endpoints.get(endpointId)?.row
      return { endpointId, hostId: row?.owner?.hostId, fencing: row?.fencing ?? 0 }
    })
  }

  hasOutage (): boolean {
    return this.#hostLease.hasTableOutage()
  }

  isOwner (endpointId: string): boolean {
    return this.#leases.get(endpointId)?.isReleased === false && this.#hostLease.isServing()
  }

  createHandle (endpointId: string, adapter: string, version: string): string | undefined {
    return this.isOwner(endpointId) ? this.#leases.get(endpointId)?.createHandle(adapter, version) : undefined
  }

  async writeUnloadIntent (endpointId: string, handle: string): Promise<boolean> {
    const lease = this.#leases.get(endpointId)
    return lease !== undefined && this.isOwner(endpointId) && await lease.writeUnloadIntent(handle) && this.isOwner(endpointId)
  }

  mayUnload (endpointId: string, handle: string): boolean {
    return this.#leases.get(endpointId)?.mayUnload(handle) ?? false
  }

  recordReport (endpointId: string, report: EngineReport, readAtMs: number): void {
    this.#leases.get(endpointId)?.recordReport(report, readAtMs)
  }

  listRemovable (endpointId: string): string[] {
    return this.isOwner(endpointId) ? this.#leases.get(endpointId)?.listReclaimableHandles() ?? [] : []
  }

  // Lease cycle: renew the leases, read the ownership rows, then act on them

  async #runLeaseCycle (): Promise<void> {
    const isRenewed = await this.#hostLease.renew(this.#createHostLeaseContent())
    const snapshot = isRenewed ? await readOwnershipRows(this.#options.table) : undefined
    const nowMs = this.#options.clock.readMonotonic()
    this.#logOutage(snapshot === undefined)
    if (!snapshot) {
      this.#liveness.recordFailedRead(nowMs)
      for (const lease of this.#leases.values()) lease.recordFailedRead()
      return
    }
    this.#snapshot = snapshot
    this.#liveness.recordRead(snapshot.hosts, nowMs)
    this.#checkLeases(snapshot)
    await this.#retryReleases()
    this.#hostLease.confirmRenewal()
    await this.#claimUnowned(snapshot, nowMs)
    this.#yieldExcessEndpoint(snapshot, nowMs)
    await this.#writeAdoptableHandles(nowMs)
    await removeDeadHostRow(this.#options.holder.hostId, this.#liveness, snapshot, this.#writer, nowMs)
  }

  #logOutage (isOutage: boolean): void {
    if (isOutage === this.#isOutage) return
    this.#isOutage = isOutage
    log(isOutage ? 'Failed to renew the leases: the table does not respond.' : 'The leases are being renewed.')
  }

  #logServingState (): void {
    const isServing = this.#hostLease.isServing()
    if (isServing === this.#isServing) return
    this.#isServing = isServing
    log(isServing ? 'This host may serve the endpoints that it owns.' : 'The host lease has expired: this host starts no requests until the lease is renewed.')
  }

  #createHostLeaseContent (): HostLeaseContent {
    const nowMs = this.#options.clock.readMonotonic()
    const live = this.#liveness.listLive(nowMs).map(row => row.hostId)
    return {
      isLeaving: this.#isLeaving,
      witnesses: [...new Set([this.#options.holder.hostId, ...live])].sort(),
      held: [...this.listOwned(), ...this.#lostLeases.values()]
    }
  }

  async #readHostList (): Promise<void> {
    try {
      const entries = await this.#options.hostList.listEntries()
      const engines = entries.filter(entry => entry.kind === 'engine')
      this.#engines = new Map(engines.map(entry => [entry.id, entry]))
    } catch (error) {
      log('Failed to read the host list: %s.', (error as Error).message)
    }
    for (const lease of this.#leases.values()) this.#updateEntry(lease)
  }

  #updateEntry (lease: EndpointLease): void {
    const entry = this.#engines.get(lease.entry.id)
    if (!entry || (entry.presence === lease.entry.presence && entry.address === lease.entry.address)) return
    lease.entry = entry
    this.#options.send({ type: 'changed', entry })
  }

  #checkLeases (snapshot: OwnershipSnapshot): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const [endpointId, lease] of [...this.#leases]) {
      const found = snapshot.endpoints.get(endpointId)
      if (found && lease.isConfirmedBy(found.row)) {
        const isRenewing = (hostId: string): boolean => this.#liveness.isRenewing(hostId, nowMs)
        lease.recordEvidence(hostId => ({ endpointId, row: this.#liveness.findRow(hostId), isRenewing }))
      } else {
        this.#handleLoss(lease, found?.row.owner?.hostId)
      }
    }
  }

  #handleLoss (lease: EndpointLease, ownerId: string | undefined): void {
    const { entry: { id: endpointId }, fencing } = lease
    this.#leases.delete(endpointId)
    if (lease.isReleased) return
    this.#lostLeases.set(formatLeaseKey({ endpointId, fencing }), { endpointId, fencing })
    this.#options.send({ type: 'lost', endpointId, reason: ownerId === undefined ? 'it was released' : `host "${ownerId}" owns it` })
  }

  async #retryReleases (): Promise<void> {
    const released = [...this.#leases.values()].filter(lease => lease.isReleased)
    await Promise.all(released.map(async lease => await this.release(lease.entry.id, lease.fencing)))
  }

  // Assignment of endpoints to hosts

  async #claimUnowned (snapshot: OwnershipSnapshot, nowMs: number): Promise<void> {
    if (this.#isLeaving) return
    const endpoints = this.#listAssignmentEndpoints(snapshot, nowMs)
    const ranks = rankEndpointClaims(this.#options.holder.hostId, endpoints, this.#listClaimants(nowMs), this.#hashPair)
    for (const endpointId of [...this.#unownedSinceMs.keys()]) if (!ranks.has(endpointId)) this.#unownedSinceMs.delete(endpointId)
    for (const [endpointId, rank] of ranks) {
      const unownedSinceMs = this.#unownedSinceMs.get(endpointId) ?? nowMs
      this.#unownedSinceMs.set(endpointId, unownedSinceMs)
      if (nowMs - unownedSinceMs >= rank * claimDelayPerRankMs) await this.#claim(endpointId, snapshot)
    }
  }

  async #claim (endpointId: string, snapshot: OwnershipSnapshot): Promise<void> {
    const { clock, holder, send } = this.#options
    const entry = this.#engines.get(endpointId)
    if (!entry) return
    const claimed = await claimEndpoint(this.#hostLease, this.#createHostLeaseContent(), holder, endpointId, snapshot.endpoints.get(endpointId))
    if (!claimed) return
    const lease = new EndpointLease({ clock, writer: this.#writer, holder, entry, policy: this.#policy, ...claimed })
    this.#leases.set(endpointId, lease)
    send({ type: 'gained', entry, fencing: lease.fencing, adoptableHandles: lease.listAdoptedHandles() })
  }

  #yieldExcessEndpoint (snapshot: OwnershipSnapshot, nowMs: number): void {
    const isYieldInProgress = [...this.#leases.values()].some(lease => lease.isDraining)
    if (this.#isLeaving || isYieldInProgress || nowMs - this.#lastYieldAtMs < yieldIntervalMs) return
    const { holder, send } = this.#options
    const endpointId = findExcessEndpoint(holder.hostId, this.#listAssignmentEndpoints(snapshot, nowMs), this.#listClaimants(nowMs), this.#hashPair)
    const lease = endpointId === undefined ? undefined : this.#leases.get(endpointId)
    if (!lease || endpointId === undefined) return
    this.#lastYieldAtMs = nowMs
    lease.isDraining = true
    send({ type: 'yielding', endpointId, reason: 'another host has room for it' })
  }

  #listClaimants (nowMs: number): AssignmentHost[] {
    return this.#liveness.listLive(nowMs).filter(row => !row.isLeaving).map((row: SchedulerRow) => ({ hostId: row.hostId, zone: row.zone }))
  }

  #listAssignmentEndpoints (snapshot: OwnershipSnapshot, nowMs: number): AssignmentEndpoint[] {
    return [...this.#engines.values()].map(entry => {
      const owner = snapshot.endpoints.get(entry.id)?.row.owner
      // A claim of this host's own whose response was lost is made again; no host has used the endpoint under it.
      const isOwnLostClaim = owner?.session === this.#options.holder.session && !this.#leases.has(entry.id)
      const isUnowned = !owner || isOwnLostClaim || this.#liveness.isExpired(owner, nowMs)
      return { endpointId: entry.id, zone: entry.zone, ownerId: isUnowned ? undefined : owner.hostId }
    })
  }

  async #writeAdoptableHandles (nowMs: number): Promise<void> {
    if (nowMs - this.#adoptableWrittenAtMs < adoptableIntervalMs) return
    this.#adoptableWrittenAtMs = nowMs
    await Promise.all([...this.#leases.values()].filter(lease => !lease.isReleased).map(async lease => await lease.writeAdoptableHandles()))
  }
}

function formatLeaseKey ({ endpointId, fencing }: HeldLease): string {
  return `${endpointId}/${fencing}`
}
