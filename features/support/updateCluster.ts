/** Hosts that follow a store on a virtual clock, directly and through each other, with links that fall silent. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import { StoreEra } from '../../src/core/storeEra.js'
import { selectStoreReaders, UpdateSourceList } from '../../src/core/updateSources.js'
import type { UpdateSourceHost } from '../../src/core/updateSources.js'
import type { Relay, RelayedUpdates } from '../../src/ports/relay.js'
import type { Store, StoreChanges, StoreTableSnapshot } from '../../src/ports/store.js'
import { encodeHostsRow, formatHostKey, hostsTable, renewalsTable } from '../../src/schemas/hostRows.js'
import { RowStore } from '../../src/standin/fleet/rowStore.js'
import type { RowStoreCopy } from '../../src/standin/fleet/rowStore.js'
import { ClusterViewTask } from '../../src/tasks/clusterView/clusterViewTask.js'
import { createEraCheckedStore } from '../../src/tasks/clusterView/eraChecks.js'
import { computeUpdateSchedule } from '../../src/tasks/clusterView/watchedTables.js'

/** Times within which changes have to be in force, in milliseconds. */
export interface UpdateBounds {
  configurationMs: number
  drainMs: number
}

interface SimulatedHost {
  own: UpdateSourceHost
  mirror: RowMirror
  task: ClusterViewTask
  eras: StoreEra
  /** Whether a fault has struck the host or its links. */
  isDisturbed: boolean
  /** Whether its calls to the store get no response; those that were open may get none even if later ones do. */
  isStoreSilent: boolean
  isStoreRefusing: boolean
  hungCalls: Set<number>
  openCalls: Map<number, string>
  /** Whether it is of a build that knows no eras of the store. */
  isEarlierBuild: boolean
  /** Whether its relay takes calls and answers none. */
  isFrozen: boolean
  isKilled: boolean
}

export const operatorsTable = 'op'
export const endpointsTable = 'servers'
/** Row that a test writes to the operators' table, and its endpoint. */
const changeKey = 'change'
const endpointCount = 6
const heartbeatMs = 1200
const relayResponseMs = 600
const storeResponseMs = 1000
const linkMs = 1

export class UpdateCluster {
  readonly clock = new VirtualClock()
  readonly hosts: SimulatedHost[] = []
  /** When each host received a row, by table and its version in the store. */
  readonly receivedAtMs = new Map<string, number>()
  storeLatencyMs = 4
  storeCalls = 0
  #rows = new RowStore()
  #isStoreAway = false
  #callCount = 0

  constructor (hostCount: number, zoneCount: number, bounds: UpdateBounds) {
    for (let index = 0; index < hostCount; index++) {
      const own = { host: `host-${index}`, address: `10.0.${index >> 8}.${index & 255}`, zone: `zone-${index % zoneCount}` }
      this.#rows.write({ table: hostsTable, key: formatHostKey(own.host), value: encodeHostsRow({ ...own, session: 'life', isLeaving: false }) })
      this.hosts.push(this.#createHost(own, bounds))
    }
    for (let index = 0; index < endpointCount; index++) this.#repeatHeartbeat(`i-${index}`, index * heartbeatMs / endpointCount)
  }

  /** Starts all hosts and waits until each has settled on its source. */
  async start (): Promise<void> {
    this.change()
    for (const { task } of this.hosts) task.start()
    await this.run(6000)
  }

  async run (ms: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
  }

  get readers (): SimulatedHost[] {
    const readers = selectStoreReaders(this.hosts.map(({ own }) => own))
    return readers.map(({ host }) => this.hosts.find(({ own }) => own.host === host)!)
  }

  /** Writes both tables; returns the versions of the rows by table. */
  change (): Record<string, number> {
    const versions: Record<string, number> = {}
    for (const table of [operatorsTable, endpointsTable]) {
      this.#rows.write({ table, key: changeKey, value: Buffer.from(`${this.clock.readMonotonic()}`) })
      versions[table] = this.#rows.version
    }
    return versions
  }

  /** Each host renews its row once more. */
  renew (renewal: number): void {
    for (const { own: { host } } of this.hosts) this.#rows.write({ table: renewalsTable, key: host, value: encodeHostsRow({ session: 'life', renewal }) })
  }

  /** Lists the hosts whose renewal a host knows in another version than the store has. */
  listOutdatedRenewals ({ mirror }: SimulatedHost): string[] {
    return this.#rows.listRows(renewalsTable).filter(({ key, version }) => mirror.findRow(renewalsTable, key)?.version !== version).map(({ key }) => key)
  }

  takeCopy (): RowStoreCopy {
    return this.#rows.takeCopy()
  }

  /** The store is away for `awayMs` and comes back from a copy; calls that were open get no response. */
  async restore (copy: RowStoreCopy, awayMs: number): Promise<void> {
    this.#isStoreAway = true
    for (const { openCalls, hungCalls } of this.hosts) for (const call of openCalls.keys()) hungCalls.add(call)
    await this.run(awayMs)
    this.#rows.restore(copy)
    this.#isStoreAway = false
  }

  /** Calls of a host that are open get no response; later ones do. */
  holdOpenCalls (host: SimulatedHost, table: string): void {
    for (const [call, name] of host.openCalls) if (name === table) host.hungCalls.add(call)
  }

  stop (): void {
    for (const { task } of this.hosts) task.stop()
  }

  #repeatHeartbeat (id: string, delayMs: number): void {
    this.clock.setTimer(() => {
      if (!this.#isStoreAway) this.#rows.write({ table: endpointsTable, key: id, value: Buffer.from(`${this.clock.readMonotonic()}`) })
      this.#repeatHeartbeat(id, heartbeatMs)
    }, delayMs)
  }

  #createHost (own: UpdateSourceHost, bounds: UpdateBounds): SimulatedHost {
    const eras = new StoreEra()
    const clusterView = new ClusterView(() => undefined, undefined, eras)
    eras.onNewEra(() => mirror.beginEra())
    const mirror = new RowMirror(own.host, table => table === renewalsTable, row => {
      if (row.table === hostsTable) clusterView.applyRow(row, this.clock.readMonotonic())
      else this.receivedAtMs.set(`${own.host} ${row.table} ${row.version}`, this.clock.readMonotonic())
    }, (_row, error) => { throw error })
    const task = new ClusterViewTask({
      clock: this.clock,
      log: { record: () => {} },
      store: createEraCheckedStore(this.#createStore(() => host), eras),
      eras,
      relay: this.#createRelay(() => host),
      mirror,
      clusterView,
      ...computeUpdateSchedule({ operatorsTable, endpointsTable }, bounds),
      own,
      sources: new UpdateSourceList({ own, listHosts: () => [...clusterView.hosts.values()].map(({ row }) => row), getHostsVersion: () => clusterView.hostsVersion }),
      seeds: [],
      formatRelayAddress: address => address
    })
    const host: SimulatedHost = {
      own, mirror, task, eras, isDisturbed: false, isEarlierBuild: false, isStoreSilent: false, isStoreRefusing: false, hungCalls: new Set(), openCalls: new Map(), isFrozen: false, isKilled: false
    }
    return host
  }

  #createStore (getHost: () => SimulatedHost): Store {
    const readTable = async (table: string): Promise<StoreTableSnapshot> =>
      await this.#callStore(getHost(), table, 0, storeResponseMs, () => ({ rows: this.#rows.listRows(table), version: this.#rows.version, ...this.#nameEra(getHost()) }))
    const watchTable = async (table: string, after: number, waitMs: number, responseMs: number): Promise<StoreChanges> =>
      await this.#callStore(getHost(), table, waitMs, responseMs, isLast => {
        const rows = this.#rows.listChanges(table, after)
        if (!rows) return { isComplete: false as const, ...this.#nameEra(getHost()) }
        return rows.length > 0 || isLast ? { isComplete: true as const, rows, version: this.#rows.version, ...this.#nameEra(getHost()) } : undefined
      })
    return { readTable, watchTable } as unknown as Store
  }

  #nameEra ({ isEarlierBuild }: SimulatedHost): { era?: number } {
    return isEarlierBuild ? {} : { era: this.#rows.era }
  }

  /** Calls the store: `respond` is tried at each change until it returns something, at the latest after `waitMs`. */
  async #callStore<T> (host: SimulatedHost, table: string, waitMs: number, responseMs: number, respond: (isLast: boolean) => T | undefined): Promise<T> {
    const call = ++this.#callCount
    this.storeCalls++
    host.openCalls.set(call, table)
    const isLost = (): boolean => host.isStoreSilent || host.isFrozen || host.isKilled || host.hungCalls.has(call)
    return await new Promise<T>((resolve, reject) => {
      let isAnswered = false
      const close = (settle: () => void): void => {
        host.openCalls.delete(call)
        settle()
      }
      const answer = (isLast: boolean): void => {
        if (isAnswered || isLost()) return
        const response = respond(isLast)
        if (response === undefined) {
          this.#rows.waitForChange(() => answer(false))
          return
        }
        isAnswered = true
        this.clock.setTimer(() => { if (!isLost()) close(() => resolve(response)) }, this.storeLatencyMs / 2)
      }
      this.clock.setTimer(() => close(() => reject(new Error('the store did not respond'))), waitMs + responseMs)
      this.clock.setTimer(() => {
        if (host.isStoreRefusing || this.#isStoreAway) close(() => reject(new Error('the store answered with status 503')))
        else answer(waitMs === 0)
      }, this.storeLatencyMs / 2)
      this.clock.setTimer(() => answer(true), waitMs + this.storeLatencyMs / 2)
    })
  }

  #nameKnownEra ({ eras, isEarlierBuild }: SimulatedHost): { era?: number } {
    return eras.current === undefined || isEarlierBuild ? {} : { era: eras.current }
  }

  #createRelay (getHost: () => SimulatedHost): Relay {
    const readUpdates = async (address: string, logId: string, position: number, waitMs: number): Promise<RelayedUpdates> => {
      const [host, peer] = [getHost(), this.hosts.find(({ own }) => own.address === address)!]
      const isLost = (): boolean => peer.isFrozen || host.isFrozen || host.isKilled
      return await new Promise<RelayedUpdates>((resolve, reject) => {
        let isAnswered = false
        const answer = (): void => {
          if (isAnswered || isLost()) return
          isAnswered = true
          const updates = { ...this.#nameKnownEra(peer), ...peer.mirror.getChangesSince(logId, position), storeAgeMs: peer.task.storeAgeMs, tableAgesMs: peer.task.listTableAges() }
          this.clock.setTimer(() => { if (!isLost()) resolve(updates) }, linkMs)
        }
        this.clock.setTimer(() => reject(new Error('the peer did not respond')), waitMs + relayResponseMs)
        this.clock.setTimer(() => {
          if (peer.isKilled) reject(new Error('the peer refused the connection'))
          else if (logId !== peer.mirror.logId || position !== peer.mirror.position) answer()
          else peer.mirror.onNextChange(answer)
        }, linkMs)
        this.clock.setTimer(answer, waitMs + linkMs)
      })
    }
    return { readUpdates, transact: async () => ({ verdict: 'notApplied', reason: 'not simulated' }), close: async () => {} }
  }
}
