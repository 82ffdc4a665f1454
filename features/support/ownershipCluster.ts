/** The ownership of several schedulers that share one table, on a virtual clock, each with its own injected faults. */
import { MemoryHostList } from '../../src/adapters/memoryPlatform/memoryHostList.js'
import { MemoryObjectStore } from '../../src/adapters/memoryPlatform/memoryObjectStore.js'
import { MemoryTable } from '../../src/adapters/memoryPlatform/memoryTable.js'
import { createFaultyPlatform } from '../../src/adapters/memoryPlatform/faultyPlatform.js'
import { createPlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { PlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { LeaseOwnership } from '../../src/tasks/ownership/leaseOwnership.js'
import type { LeaseOwnershipOptions } from '../../src/tasks/ownership/leaseOwnership.js'
import type { OwnershipEvent } from '../../src/tasks/ownership/endpointOwnership.js'
import { countCalls } from './countCalls.js'
import { FakeOwnedEngine } from './fakeOwnedEngine.js'
import { PausableClock } from './pausableClock.js'

const reportIntervalMs = 250
const tableResponseDelayMs = 2

export interface ClusterOptions {
  engines: number
  slots?: number
  /** Changes the options of every host, to disable a mechanism. */
  changeOptions?: (options: LeaseOwnershipOptions) => LeaseOwnershipOptions
  handles?: HandleRules
}

/** How a host uses the handles that ownership creates. */
export interface HandleRules {
  name: (handle: string) => string
  isOwn: (handle: string, fencing: number) => boolean
}

const singleUseHandles: HandleRules = { name: handle => handle, isOwn: (handle, fencing) => handle.includes(`#${fencing}.`) }

/** Each adapter has the same handle on every host and for every load. */
export const reusedHandles: HandleRules = { name: handle => handle.split('#')[0]!, isOwn: () => true }

interface UsedEndpoint {
  fencing: number
  adoptable: Set<string>
  /** Handles of this host's running requests. */
  running: string[]
  /** Handles that get no more requests because their unload is in progress. */
  unloading: Set<string>
  isClosed: boolean
}

/** One scheduler: ownership with a minimal user that calls it as the real scheduler does. */
export class ClusterHost {
  readonly ownership: LeaseOwnership
  readonly clock: PausableClock
  readonly faults: PlatformFaults
  readonly endpoints = new Map<string, UsedEndpoint>()
  /** Set while the host has no links to its peers. */
  isIsolated = false
  #cluster: OwnershipCluster
  readonly hostId: string

  constructor (cluster: OwnershipCluster, hostId: string, zone: string) {
    this.#cluster = cluster
    this.hostId = hostId
    this.clock = new PausableClock(cluster.clock)
    this.faults = createPlatformFaults({ delayMs: tableResponseDelayMs })
    const { table, hostList } = createFaultyPlatform({
      clock: this.clock, faults: this.faults, table: countCalls(cluster.table, cluster.calls), objects: new MemoryObjectStore(), hostList: cluster.hostList
    })
    this.ownership = new LeaseOwnership(cluster.options.changeOptions({
      clock: this.clock,
      table,
      hostList,
      holder: { hostId, session: `${hostId}-${++cluster.sessionCount}` },
      zone,
      hashText,
      listOutageReports: () => cluster.listOutageReports(this),
      send: event => this.#receive(event)
    }))
    this.ownership.start()
    this.#reportPeriodically()
  }

  /** Sends a request to a handle of the endpoint; false where nothing was run. */
  startRequest (endpointId: string, pick: number): boolean {
    const used = this.endpoints.get(endpointId)
    if (!used || used.isClosed || !this.clock.isRunning || !this.ownership.isOwner(endpointId)) return false
    const handles = this.#listUsable(endpointId)
    const handle = handles[pick % Math.max(1, handles.length)]
    if (!handle || !this.#cluster.findEngine(endpointId).startRequest(handle, this.hostId)) return false
    used.running.push(handle)
    return true
  }

  endRequest (endpointId: string): void {
    const used = this.endpoints.get(endpointId)
    const handle = used?.running.shift()
    if (!used || !handle) return
    this.#cluster.findEngine(endpointId).endRequest(handle)
    this.#releaseIfIdle(endpointId)
  }

  /** Loads one more adapter; false where it cannot be loaded now. */
  load (endpointId: string, adapter: string): boolean {
    const handle = this.clock.isRunning ? this.ownership.createHandle(endpointId, adapter, '1') : undefined
    return handle !== undefined && this.#cluster.findEngine(endpointId).load(this.#cluster.options.handles.name(handle))
  }

  /** Unloads one idle handle as the planner would: tries the next one where a handle may not be unloaded. */
  async unloadOne (endpointId: string, pick: number): Promise<boolean> {
    const used = this.endpoints.get(endpointId)
    const idle = this.#listUsable(endpointId).filter(handle => !used!.running.includes(handle))
    for (let index = 0; index < idle.length; index++) {
      const handle = idle[(index + pick) % idle.length]!
      if (await this.#unload(endpointId, handle)) return true
    }
    return false
  }

  /** Releases each endpoint once its requests have ended, like a scheduler that stops gracefully. */
  leave (): void {
    this.ownership.stopClaiming()
    for (const endpointId of [...this.endpoints.keys()]) this.#closeEndpoint(endpointId)
  }

  async #unload (endpointId: string, handle: string): Promise<boolean> {
    const used = this.endpoints.get(endpointId)
    if (!used || used.isClosed) return false
    used.unloading.add(handle)
    if (!await this.ownership.writeUnloadIntent(endpointId, handle)) {
      used.unloading.delete(handle)
      return false
    }
    this.#cluster.findEngine(endpointId).recordUnloadIntent(handle, this.hostId)
    // The process may be paused between the intent and the order.
    await new Promise<void>(resolve => { this.clock.setTimer(resolve, tableResponseDelayMs) })
    this.#cluster.findEngine(endpointId).unload(handle, this.hostId)
    return true
  }

  #listUsable (endpointId: string): string[] {
    const used = this.endpoints.get(endpointId)
    if (!used) return []
    return this.#cluster.findEngine(endpointId).handles
      .filter(handle => !used.unloading.has(handle))
      .filter(handle => used.adoptable.has(handle) || this.#cluster.options.handles.isOwn(handle, used.fencing))
  }

  #receive (event: OwnershipEvent): void {
    if (event.type === 'gained') {
      const { entry, fencing, adoptableHandles } = event
      this.endpoints.set(entry.id, { fencing, adoptable: new Set(adoptableHandles), running: [], unloading: new Set(), isClosed: false })
    } else if (event.type !== 'changed') {
      this.#closeEndpoint(event.endpointId)
    }
  }

  #closeEndpoint (endpointId: string): void {
    const used = this.endpoints.get(endpointId)
    if (!used) return
    used.isClosed = true
    this.#releaseIfIdle(endpointId)
  }

  #releaseIfIdle (endpointId: string): void {
    const used = this.endpoints.get(endpointId)
    if (!used?.isClosed || used.running.length > 0) return
    this.endpoints.delete(endpointId)
    this.ownership.release(endpointId, used.fencing)
  }

  #reportPeriodically (): void {
    for (const [endpointId, used] of this.endpoints) {
      const engine = this.#cluster.findEngine(endpointId)
      if (used.isClosed) continue
      this.ownership.recordReport(endpointId, engine.readReport(), this.clock.readMonotonic())
      for (const handle of this.ownership.listRemovable(endpointId)) engine.unload(handle, this.hostId)
    }
    this.clock.setTimer(() => this.#reportPeriodically(), reportIntervalMs)
  }
}

export class OwnershipCluster {
  readonly clock = new VirtualClock()
  readonly table = new MemoryTable()
  readonly hostList = new MemoryHostList(this.clock, 0)
  readonly engines = new Map<string, FakeOwnedEngine>()
  readonly hosts = new Map<string, ClusterHost>()
  readonly options: Required<ClusterOptions>
  /** Number of scheduler processes started so far. */
  sessionCount = 0
  readonly calls = { reads: 0, writes: 0 }

  constructor (options: ClusterOptions) {
    this.options = { slots: 4, changeOptions: given => given, handles: singleUseHandles, ...options }
    for (let index = 1; index <= options.engines; index++) this.#addEngine(`engine-${index}`, `az-${(index - 1) % 3 + 1}`)
  }

  addHost (index: number): ClusterHost {
    const host = new ClusterHost(this, `scheduler-${index}`, `az-${(index - 1) % 3 + 1}`)
    this.hosts.set(host.hostId, host)
    return host
  }

  findEngine (endpointId: string): FakeOwnedEngine {
    return this.engines.get(endpointId)!
  }

  /** Running hosts that consider themselves the owner of the endpoint. */
  listOwners (endpointId: string): ClusterHost[] {
    return [...this.hosts.values()].filter(host => host.clock.isRunning && host.ownership.isOwner(endpointId))
  }

  listViolations (): string[] {
    return [...this.engines.values()].flatMap(engine => engine.violations)
  }

  listOutageReports (askingHost: ClusterHost): string[] {
    return [...this.hosts.values()]
      .filter(host => host !== askingHost && host.clock.isRunning && !host.isIsolated && !askingHost.isIsolated && host.ownership.hasOutage())
      .map(host => host.hostId)
  }

  setTableDown (isTableDown: boolean): void {
    for (const host of this.hosts.values()) host.faults.isTableDown = isTableDown
  }

  async run (ms: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
  }

  #addEngine (id: string, zone: string): void {
    this.engines.set(id, new FakeOwnedEngine(this.options.slots))
    this.hostList.addEntry({
      kind: 'engine', id, zone, address: '127.0.0.1:1', presence: 'live', baseModel: 'base-1', slots: this.options.slots, batchLimit: 16
    })
  }
}

/** FNV-1a over 32 bits. */
export function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0
  return hash
}
