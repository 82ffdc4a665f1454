/** Ownership of endpoints by leases in the platform's table. */
import { createLog } from '../../createLog.js'
import { defaultOwnershipPolicy } from '../../core/ownershipPolicy.js'
import type { OwnershipPolicy } from '../../core/ownershipPolicy.js'
import { findSurplus, findTakerRanks } from '../../core/ownershipSpread.js'
import type { HashPair, SpreadEndpoint, SpreadHost } from '../../core/ownershipSpread.js'
import { leaseCycleMs } from '../../core/ownershipTimes.js'
import { OwnershipWatch } from '../../core/ownershipWatch.js'
import type { Clock } from '../../ports/clock.js'
import type { EngineReport } from '../../ports/engine.js'
import type { HostList } from '../../ports/hostList.js'
import type { Table } from '../../ports/table.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { HeldLease, Holder, HostRow } from '../../schemas/ownershipRows.js'
import { TableWriter } from '../table/tableWriter.js'
import { EndpointLease } from './endpointLease.js'
import { HostLease } from './hostLease.js'
import type { HostLeaseContent } from './hostLease.js'
import type { EndpointOwner, OwnedEndpoint, Ownership, SendOwnershipEvent } from './ownership.js'
import { readOwnershipRows } from './ownershipRead.js'
import type { OwnershipRead } from './ownershipRead.js'
import { removeDeadHost } from './removeDeadHost.js'
import { takeEndpoint } from './takeEndpoint.js'

const log = createLog('ownership')
/** A host that is not the first choice waits this long for each host before it. */
const rankDelayMs = 1000
/** Time between two endpoints that are handed over for a fair spread. */
const yieldIntervalMs = 2000
const adoptableIntervalMs = 1500
const outageCheckMs = 500
const listIntervalMs = 1000
const writeTimeoutMs = 500
const maxReleaseAttempts = 3

export interface LeaseOwnershipOptions {
  clock: Clock
  table: Table
  hostList: HostList
  /** `session` must differ from that of every process before. */
  holder: Holder
  zone: string
  hashText: (text: string) => number
  /** Hosts that lately told that the table gives them no answer. */
  listOutageReports: () => string[]
  policy?: OwnershipPolicy
  send: SendOwnershipEvent
}

export class LeaseOwnership implements Ownership {
  #options: LeaseOwnershipOptions
  #policy: OwnershipPolicy
  #writer: TableWriter
  #host: HostLease
  #watch = new OwnershipWatch()
  #leases = new Map<string, EndpointLease>()
  /** Lost leases under which a request may still run. */
  #ending = new Map<string, HeldLease>()
  #engines = new Map<string, EngineEntry>()
  /** The rows as last read. */
  #read: OwnershipRead | undefined
  #freeSinceMs = new Map<string, number>()
  #yieldedAtMs: number
  #wroteAdoptableAtMs = -Infinity
  #isLeaving = false
  #isOutage = false
  #isServing = false
  #cycle: Repetition | undefined
  #outageCheck: Repetition | undefined
  #list: Repetition | undefined
  #runningCycle: Promise<void> = Promise.resolve()

  #hashPair: HashPair = (endpointId, hostId) => this.#options.hashText(`${endpointId}/${hostId}`)

  constructor (options: LeaseOwnershipOptions) {
    this.#options = options
    const { clock, table, holder, zone, listOutageReports } = options
    this.#policy = options.policy ?? defaultOwnershipPolicy
    this.#writer = new TableWriter({ table, clock, resolveTimeoutMs: writeTimeoutMs })
    this.#host = new HostLease({ clock, writer: this.#writer, holder, zone, listOutageReports, policy: this.#policy })
    this.#yieldedAtMs = clock.readMonotonic()
  }

  start (): void {
    const { clock } = this.#options
    // Apart from the cycle, so that a slow table does not delay the news that an endpoint is leaving.
    this.#list = repeatTask(clock, listIntervalMs, async () => await this.#readList(), () => {})
    this.#cycle = repeatTask(clock, leaseCycleMs, async () => {
      this.#runningCycle = this.#runCycle()
      await this.#runningCycle
    }, error => log('The leases were not renewed: %s.', error.message))
    this.#outageCheck = repeatTask(clock, outageCheckMs, async () => {
      this.#host.extendThroughOutage()
      this.#logServing()
    }, () => {})
  }

  leave (): void {
    this.#isLeaving = true
  }

  async stop (): Promise<void> {
    this.#isLeaving = true
    this.#cycle?.stop()
    this.#outageCheck?.stop()
    this.#list?.stop()
    await this.#runningCycle.catch(() => {})
    const owned = this.listOwned()
    await Promise.all(owned.map(async ({ endpointId, fencing }) => await this.release(endpointId, fencing)))
    const isAllReleased = this.#leases.size === 0 && this.#ending.size === 0
    if (isAllReleased) await this.#host.remove()
    for (const { endpointId } of owned) this.#options.send({ type: 'lost', endpointId, reason: 'the host stops' })
  }

  async release (endpointId: string, fencing: number): Promise<void> {
    this.#ending.delete(formatLease({ endpointId, fencing }))
    const lease = this.#leases.get(endpointId)
    if (lease?.fencing !== fencing) return
    lease.isReleased = true
    for (let attempt = 0; attempt < maxReleaseAttempts; attempt++) {
      if (await lease.writeRelease()) {
        this.#leases.delete(endpointId)
        return
      }
    }
    log('The hand-over of endpoint "%s" was not written yet.', endpointId)
  }

  listOwned (): OwnedEndpoint[] {
    return [...this.#leases].map(([endpointId, { fencing }]) => ({ endpointId, fencing }))
  }

  listOwners (): EndpointOwner[] {
    return [...this.#engines.keys()].sort().map(endpointId => {
      const lease = this.#leases.get(endpointId)
      if (lease) return { endpointId, hostId: this.#options.holder.hostId, fencing: lease.fencing }
      const row = this.#read?.endpoints.get(endpointId)?.row
      return { endpointId, hostId: row?.owner?.hostId, fencing: row?.fencing ?? 0 }
    })
  }

  hasOutage (): boolean {
    return this.#host.hasOutage()
  }

  isOwner (endpointId: string): boolean {
    return this.#leases.get(endpointId)?.isReleased === false && this.#host.isServing()
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
    return this.isOwner(endpointId) ? this.#leases.get(endpointId)?.listRemovable() ?? [] : []
  }

  // One cycle: renew, read, then act on what was read

  async #runCycle (): Promise<void> {
    const isRenewed = await this.#host.renew(this.#createContent())
    const read = isRenewed ? await readOwnershipRows(this.#options.table) : undefined
    const nowMs = this.#options.clock.readMonotonic()
    this.#logOutage(read === undefined)
    if (!read) {
      this.#watch.recordFailedRead(nowMs)
      for (const lease of this.#leases.values()) lease.recordFailedRead()
      return
    }
    this.#read = read
    this.#watch.recordRead(read.hosts, nowMs)
    this.#checkLeases(read)
    await this.#repeatReleases()
    this.#host.recordProof()
    await this.#takeFree(read, nowMs)
    this.#yieldSurplus(read, nowMs)
    await this.#writeAdoptable(nowMs)
    await removeDeadHost(this.#options.holder.hostId, this.#watch, read, this.#writer, nowMs)
  }

  #logOutage (isOutage: boolean): void {
    if (isOutage === this.#isOutage) return
    this.#isOutage = isOutage
    log(isOutage ? 'The leases were not renewed: the table gives no answer.' : 'The leases are renewed.')
  }

  #logServing (): void {
    const isServing = this.#host.isServing()
    if (isServing === this.#isServing) return
    this.#isServing = isServing
    log(isServing ? 'This host may serve the endpoints that it owns.' : 'The lease has lapsed: this host starts no requests until it is renewed.')
  }

  #createContent (): HostLeaseContent {
    const nowMs = this.#options.clock.readMonotonic()
    const live = this.#watch.listLive(nowMs).map(row => row.hostId)
    return {
      isLeaving: this.#isLeaving,
      witnesses: [...new Set([this.#options.holder.hostId, ...live])].sort(),
      held: [...this.listOwned(), ...this.#ending.values()]
    }
  }

  async #readList (): Promise<void> {
    try {
      const entries = await this.#options.hostList.listEntries()
      const engines = entries.filter(entry => entry.kind === 'engine')
      this.#engines = new Map(engines.map(entry => [entry.id, entry]))
    } catch (error) {
      log('The list of hosts was not read: %s.', (error as Error).message)
    }
    for (const lease of this.#leases.values()) this.#updateEntry(lease)
  }

  #updateEntry (lease: EndpointLease): void {
    const entry = this.#engines.get(lease.entry.id)
    if (!entry || (entry.presence === lease.entry.presence && entry.address === lease.entry.address)) return
    lease.entry = entry
    this.#options.send({ type: 'changed', entry })
  }

  #checkLeases (read: OwnershipRead): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const [endpointId, lease] of [...this.#leases]) {
      const found = read.endpoints.get(endpointId)
      if (found && lease.isHeldIn(found.row)) {
        const isAdvancing = (hostId: string): boolean => this.#watch.isAdvancing(hostId, nowMs)
        lease.recordEvidence(hostId => ({ endpointId, row: this.#watch.findRow(hostId), isAdvancing }))
      } else {
        this.#lose(lease, found?.row.owner?.hostId)
      }
    }
  }

  #lose (lease: EndpointLease, ownerId: string | undefined): void {
    const { entry: { id: endpointId }, fencing } = lease
    this.#leases.delete(endpointId)
    if (lease.isReleased) return
    this.#ending.set(formatLease({ endpointId, fencing }), { endpointId, fencing })
    this.#options.send({ type: 'lost', endpointId, reason: ownerId === undefined ? 'it was released' : `host "${ownerId}" owns it` })
  }

  async #repeatReleases (): Promise<void> {
    const released = [...this.#leases.values()].filter(lease => lease.isReleased)
    await Promise.all(released.map(async lease => await this.release(lease.entry.id, lease.fencing)))
  }

  // Spread

  async #takeFree (read: OwnershipRead, nowMs: number): Promise<void> {
    if (this.#isLeaving) return
    const endpoints = this.#listSpread(read, nowMs)
    const ranks = findTakerRanks(this.#options.holder.hostId, endpoints, this.#listTakers(nowMs), this.#hashPair)
    for (const endpointId of [...this.#freeSinceMs.keys()]) if (!ranks.has(endpointId)) this.#freeSinceMs.delete(endpointId)
    for (const [endpointId, rank] of ranks) {
      const freeSinceMs = this.#freeSinceMs.get(endpointId) ?? nowMs
      this.#freeSinceMs.set(endpointId, freeSinceMs)
      if (nowMs - freeSinceMs >= rank * rankDelayMs) await this.#take(endpointId, read)
    }
  }

  async #take (endpointId: string, read: OwnershipRead): Promise<void> {
    const { clock, holder, send } = this.#options
    const entry = this.#engines.get(endpointId)
    if (!entry) return
    const taken = await takeEndpoint(this.#host, this.#createContent(), holder, endpointId, read.endpoints.get(endpointId))
    if (!taken) return
    const lease = new EndpointLease({ clock, writer: this.#writer, holder, entry, policy: this.#policy, ...taken })
    this.#leases.set(endpointId, lease)
    send({ type: 'gained', entry, fencing: lease.fencing, adoptableHandles: lease.listAdopted() })
  }

  #yieldSurplus (read: OwnershipRead, nowMs: number): void {
    const isYielding = [...this.#leases.values()].some(lease => lease.isYielding)
    if (this.#isLeaving || isYielding || nowMs - this.#yieldedAtMs < yieldIntervalMs) return
    const { holder, send } = this.#options
    const endpointId = findSurplus(holder.hostId, this.#listSpread(read, nowMs), this.#listTakers(nowMs), this.#hashPair)
    const lease = endpointId === undefined ? undefined : this.#leases.get(endpointId)
    if (!lease || endpointId === undefined) return
    this.#yieldedAtMs = nowMs
    lease.isYielding = true
    send({ type: 'yielding', endpointId, reason: 'another host has room for it' })
  }

  #listTakers (nowMs: number): SpreadHost[] {
    return this.#watch.listLive(nowMs).filter(row => !row.isLeaving).map((row: HostRow) => ({ hostId: row.hostId, zone: row.zone }))
  }

  #listSpread (read: OwnershipRead, nowMs: number): SpreadEndpoint[] {
    return [...this.#engines.values()].map(entry => {
      const owner = read.endpoints.get(entry.id)?.row.owner
      // A takeover of this host's own whose answer was lost is done again: nobody used it.
      const isLeftOver = owner?.session === this.#options.holder.session && !this.#leases.has(entry.id)
      const isFree = !owner || isLeftOver || this.#watch.isExpired(owner, nowMs)
      return { endpointId: entry.id, zone: entry.zone, ownerId: isFree ? undefined : owner.hostId }
    })
  }

  async #writeAdoptable (nowMs: number): Promise<void> {
    if (nowMs - this.#wroteAdoptableAtMs < adoptableIntervalMs) return
    this.#wroteAdoptableAtMs = nowMs
    await Promise.all([...this.#leases.values()].filter(lease => !lease.isReleased).map(async lease => await lease.writeAdoptable()))
  }
}

function formatLease ({ endpointId, fencing }: HeldLease): string {
  return `${endpointId}/${fencing}`
}
