/** Hosts that share engines through leases in one store, on a virtual clock. The store and the connections to it can fail. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { WitnessRecord } from '../../src/core/leaseWitnesses.js'
import type { HeldLease } from '../../src/core/leaseWitnesses.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { PairHasher } from '../../src/core/rendezvousHash.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import { StoreEra } from '../../src/core/storeEra.js'
import { decodePlatformRow, endpointsTable, operatorsTable } from '../../src/platform/decodePlatformRow.js'
import { encodeConfigurationRow, encodeEndpointRow } from '../../src/platform/standinWire.js'
import type { EventLog } from '../../src/ports/eventLog.js'
import type { Store, StoreOutcome, StoreTransaction } from '../../src/ports/store.js'
import type { RenewalReply } from '../../src/schemas/datagram.js'
import { formatHostKey, hostsTable, renewalsTable } from '../../src/schemas/hostRows.js'
import type { EndpointEntry, RoutingConfiguration } from '../../src/schemas/routing.js'
import { RowStore } from '../../src/standin/fleet/rowStore.js'
import type { RowStoreCopy } from '../../src/standin/fleet/rowStore.js'
import { createEraCheckedStore } from '../../src/tasks/clusterView/eraChecks.js'
import { LeaseExpiry } from '../../src/tasks/leases/leaseExpiry.js'
import { LeaseTask } from '../../src/tasks/leases/leaseTask.js'
import type { LeaseTaskOptions } from '../../src/tasks/leases/leaseTask.js'
import { OutageWitnesses } from '../../src/tasks/leases/outageWitnesses.js'
import { RenewalClient } from '../../src/tasks/leases/renewalClient.js'
import { RenewalCollector } from '../../src/tasks/leases/renewalCollector.js'
import { StoreAccess } from '../../src/tasks/leases/storeAccess.js'

/**
 * `busy`: rejects calls. `slow`: applies transactions one after another, 300 ms each, and rejects those that would wait for over a
 * second. `lost`: applies transactions late and sends no response. `away`: neither reads nor writes, and sends no response.
 */
export type StoreState = 'healthy' | 'busy' | 'slow' | 'lost' | 'away'

export interface LeaseHost {
  name: string
  address: string
  leases: LeaseTask
  renewalCollector: RenewalCollector
  witnessRecord: WitnessRecord
  outageWitnesses: OutageWitnesses
  session: string
  /** Milliseconds since the host last knew the state of the store. */
  getStoreAgeMs: () => number
  isRunning: boolean
  /** Whether datagrams to and from the host are delivered. */
  isReachable: boolean
  /** Whether its calls to the store fail. */
  isCutFromStore: boolean
  /** Hosts reach only those of the same group. */
  group: number
  owned: Map<string, number>
  logRecords: { kind: string, fields: Record<string, unknown> }[]
}

interface WitnessComponents {
  outageWitnesses: OutageWitnesses
  witnessOptions: Pick<LeaseTaskOptions, 'isOutage' | 'selectWitnesses' | 'updateWitnessSessions' | 'isWitnessListOutdated' | 'hasLeaseExpired'>
}

const responseDelayMs = 5
/** Maximum number of entries that the store accepts in one transaction. */
const maxTransactionEntries = 100
/** Maximum time for a host to release its engines before it stops. */
const maxLeaveMs = 6000
const slowResponseDelayMs = 300
const updateIntervalMs = 50
const datagramDelayMs = 1
/** Time without a reply after which a host counts as not responding. */
const pingTimeoutMs = 250
const lateWriteDelayMs = 3000
/** Lease duration in the published deployments. */
const leaseMs = 3000
const tables = [operatorsTable, endpointsTable, hostsTable, renewalsTable]

export class LeaseCluster {
  readonly clock = new VirtualClock(1_700_000_000_000)
  readonly rows = new RowStore()
  readonly hosts: LeaseHost[] = []
  readonly violations: string[] = []
  storeState: StoreState = 'healthy'
  /** Number of transactions sent to the store. */
  storeCallCount = 0
  /** How often each process has written its host's row. */
  readonly hostRowWrites = new Map<LeaseHost, number>()
  /** Number of pairs of an engine and a host that were ranked, over all hosts. */
  rankedPairCount = 0
  #hashes = new PairHasher()
  #stepCounts = new Map<LeaseHost, number>()
  #queueEndsAtMs = 0
  #lastFencing = new Map<string, number>()
  /** By engine, its successive owners and when each could last send it orders. */
  #ownerHistory = new Map<string, { owner: string, atMs: number }[]>()

  constructor (hosts: number, engines: number) {
    const configuration: RoutingConfiguration = {
      version: 1,
      routes: [],
      services: new Map([['llm', {
        name: 'llm', maxConnections: 10, engine: { batchLimit: 8, cacheTokens: 1000, adapterSlots: 4, weightsMb: 10, loadsPerSecond: 1, tokensPerEvent: 1, models: [] }
      }]]),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    }
    this.rows.write(encodeConfigurationRow(configuration))
    for (let index = 1; index <= engines; index++) this.rows.write(encodeEndpointRow(createEntry(`engine-${index}`)))
    for (let index = 1; index <= hosts; index++) this.hosts.push(this.#createHost(`host-${index}`, `10.0.0.${index}`))
    this.#monitorOwners()
  }

  addHost (): void {
    const number = this.hosts.length + 1
    this.hosts.push(this.#createHost(`host-${number}`, `10.0.0.${number}`))
  }

  /** Number of steps that a host has run. */
  countSteps (host: LeaseHost): number {
    return this.#stepCounts.get(host) ?? 0
  }

  async run (ms: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
  }

  /** Lists engines to which no running host may send orders. */
  listUnleasedEngines (): string[] {
    const leased = new Set(this.hosts.flatMap(({ leases, isRunning, owned }) => isRunning ? [...owned.keys()].filter(id => leases.findFencingToken(id) !== undefined) : []))
    return this.rows.listRows(endpointsTable).map(row => row.key).filter(id => !leased.has(id))
  }

  /** Releases the host's engines and stops it; the caller must run the clock meanwhile. */
  async leave (host: LeaseHost): Promise<void> {
    await host.leases.releaseForShutdown(maxLeaveMs)
    this.kill(host)
  }

  /** Starts a new process incarnation of a host, with the same name and address. */
  restart (former: LeaseHost): void {
    this.hosts.push(this.#createHost(former.name, former.address))
  }

  /**
   * The store is away for `awayMs` and comes back from a copy; operators and endpoints write again what it lost of theirs. Calls that
   * were open get no response.
   */
  async restore (copy: RowStoreCopy, awayMs: number): Promise<void> {
    this.storeState = 'away'
    await this.run(awayMs)
    const lost = this.rows.restore(copy)
    this.storeState = 'healthy'
    for (const { table, key, value } of lost) if (value && (table === operatorsTable || table === endpointsTable)) this.rows.write({ table, key, value })
  }

  /** Cuts a host off from the store and from all hosts but those that are cut off as the same group. */
  cutOff (host: LeaseHost, group: number): void {
    host.group = group
    host.isCutFromStore = true
  }

  /** Ends all cuts. */
  heal (): void {
    for (const host of this.hosts) {
      host.group = 0
      host.isCutFromStore = false
    }
  }

  addEngine (): void {
    this.rows.write(encodeEndpointRow(createEntry(`engine-${this.rows.listRows(endpointsTable).length + 1}`)))
  }

  /** Lists the hosts whose last process has ended. */
  listEnded (): LeaseHost[] {
    const names = new Set(this.hosts.map(({ name }) => name))
    return [...names].map(name => this.hosts.findLast(host => host.name === name)!).filter(({ isRunning }) => !isRunning)
  }

  restartEnded (): void {
    for (const host of this.listEnded()) this.restart(host)
  }

  kill (host: LeaseHost): void {
    host.isRunning = false
    host.leases.stop()
    host.outageWitnesses.stop()
  }

  /** Whether datagrams pass between two hosts. */
  #areLinked (one: LeaseHost, other: LeaseHost): boolean {
    return one.isRunning && other.isRunning && one.isReachable && other.isReachable && one.group === other.group
  }

  /** Asks the host at an address, as a ping does; undefined if it does not respond. */
  async #ask<Reply> (asking: LeaseHost, address: string, answer: (asked: LeaseHost) => Reply): Promise<Reply | undefined> {
    return await new Promise(resolve => {
      this.clock.setTimer(() => resolve(undefined), pingTimeoutMs)
      this.clock.setTimer(() => {
        const asked = this.hosts.findLast(other => other.address === address && other.isRunning)
        if (!asked || !this.#areLinked(asking, asked)) return
        const reply = answer(asked)
        this.clock.setTimer(() => { if (this.#areLinked(asking, asked)) resolve(reply) }, datagramDelayMs)
      }, datagramDelayMs)
    })
  }

  #createHost (name: string, address: string): LeaseHost {
    const { clock } = this
    const session = `${name}-incarnation-${this.hosts.length}`
    const own = { host: name, address, zone: 'zone-1', session }
    const eras = new StoreEra()
    const clusterView = new ClusterView(decodePlatformRow, undefined, eras)
    const mirror = new RowMirror(session, () => false, (row, _previous, mayBeRestored) => {
      const change = clusterView.applyRow(row, clock.readMonotonic(), mayBeRestored)
      if (change) leases.receiveChange(change)
    }, (_row, error) => { throw error })
    const host: LeaseHost = { name, address, session, leases: undefined!, renewalCollector: undefined!, outageWitnesses: undefined!, witnessRecord: new WitnessRecord(clock.readMonotonic()), getStoreAgeMs: () => clock.readMonotonic() - storeReadAtMs, isRunning: true, isReachable: true, isCutFromStore: false, group: 0, owned: new Map(), logRecords: [] }
    let storeReadAtMs = -Infinity
    const log = { record: (kind: string, _message: string, fields: Record<string, unknown> = {}) => { host.logRecords.push({ kind, fields }) } }
    const store = createEraCheckedStore({ transact: async (transaction: StoreTransaction) => await this.#transact(transaction, host) } as unknown as Store, eras)
    const transact = async (transaction: StoreTransaction): Promise<StoreOutcome> => await store.transact(transaction)
    const access = new StoreAccess({ clock, log, eras, transact, transactViaPeer: async (_address, transaction) => await transact(transaction), listPeers: () => ['peer'], recordStoreResponse: () => {} })
    host.renewalCollector = new RenewalCollector({ clock, eras, transact, isStoreReachable: () => true })
    const client = new RenewalClient({
      clock,
      eras,
      findRenewalCollector: () => '10.0.0.1',
      send: (_address, ask) => {
        const collector = this.hosts[0]!
        const answer = (reply: RenewalReply): void => { clock.setTimer(() => { if (host.isReachable) client.receiveReply(reply) }, 1) }
        clock.setTimer(() => { if (this.#areLinked(collector, host)) collector.renewalCollector.handleRequest(ask, { host: name, session }, answer) }, 1)
      }
    })
    const { outageWitnesses, witnessOptions } = this.#createWitnesses(host, log, own, clusterView)
    const leases: LeaseTask = new LeaseTask({
      clock,
      log,
      clusterView,
      own,
      leaseMs,
      // Two hosts read the store, as in small deployments; the others get renewals from them.
      isUpToDate: () => this.storeState !== 'away' && !host.isCutFromStore,
      areOwnersKnown: () => mirror.findTableVersion(hostsTable) !== undefined,
      isReadingStore: () => (this.storeState !== 'away' && !host.isCutFromStore) && (this.hosts.length < 2 || this.hosts.filter(({ isRunning, isCutFromStore }) => isRunning && !isCutFromStore).indexOf(host) < 2),
      hashPair: (endpointId, host) => {
        this.rankedPairCount++
        return this.#hashes.compute(endpointId, host)
      },
      // Called once per step, so it counts the steps.
      isStranded: () => false,
      isIsolated: () => {
        this.#stepCounts.set(host, this.countSteps(host) + 1)
        return false
      },
      isRunning: async row => this.hosts.some(other => other.name === row.host && other.isRunning && other.group === host.group),
      transact: async transaction => await access.transact(transaction),
      renewViaCollector: async (renewal, version) => await client.renew(renewal, version),
      readRenewals: () => {},
      findRenewalRow: other => mirror.findRow(renewalsTable, other),
      applyRow: row => mirror.applyLocalWrite(row),
      ...witnessOptions,
      receiveOwnership: (endpointId, fencing) => {
        if (fencing === undefined) host.owned.delete(endpointId)
        else host.owned.set(endpointId, fencing)
      }
    })
    host.leases = leases
    host.outageWitnesses = outageWitnesses
    eras.onNewEra(() => {
      leases.beginEra()
      clusterView.beginEra(clock.readMonotonic())
      mirror.beginEra()
    })
    const readUpdates = (): void => {
      if (!host.isRunning) return
      clock.setTimer(readUpdates, updateIntervalMs)
      if (this.storeState === 'away' || host.isCutFromStore) return
      eras.observe(this.rows.era)
      storeReadAtMs = clock.readMonotonic()
      for (const table of tables) mirror.replaceTable(table, this.rows.listRows(table), this.rows.version)
    }
    readUpdates()
    leases.start()
    outageWitnesses.start()
    return host
  }

  #createWitnesses (host: LeaseHost, log: EventLog, own: { host: string, session: string }, clusterView: ClusterView): WitnessComponents {
    const { clock } = this
    const outageWitnesses = new OutageWitnesses({
      clock,
      log,
      own,
      listHosts: () => [...clusterView.hosts.values()].map(({ row }) => row),
      getHostsVersion: () => clusterView.hostsVersion,
      listPossibleWitnesses: () => host.leases.listPossibleWitnesses(),
      getConfirmedRenewal: () => host.leases.confirmedRenewal,
      getStoreAgeMs: () => Math.min(host.getStoreAgeMs(), host.leases.confirmedRenewalAgeMs),
      askHost: async (address, renewal) => await this.#ask(host, address, ({ session, witnessRecord, getStoreAgeMs }) => (
        { session, confirmsOutage: renewal !== undefined && witnessRecord.confirmOutage({ ...own, renewal }, getStoreAgeMs(), clock.readMonotonic()) }
      )),
      isNeeded: () => host.leases.ownedEndpointCount > 0
    })
    const confirmExpiry = ({ witnessRecord, getStoreAgeMs }: LeaseHost, lease: HeldLease): boolean => witnessRecord.confirmExpiry(lease, getStoreAgeMs(), clock.readMonotonic())
    const leaseExpiry = new LeaseExpiry({
      log,
      own,
      clusterView,
      requestConfirmation: async (address, lease) => await this.#ask(host, address, asked => confirmExpiry(asked, lease)) ?? false,
      confirmExpiry: lease => confirmExpiry(host, lease)
    })
    return {
      outageWitnesses,
      witnessOptions: {
        isOutage: () => outageWitnesses.isOutage(),
        selectWitnesses: () => outageWitnesses.select(),
        updateWitnessSessions: witnesses => outageWitnesses.updateSessions(witnesses),
        isWitnessListOutdated: (listed, ageMs) => outageWitnesses.isOutdated(listed, ageMs),
        hasLeaseExpired: async (row, renewalRow, stalledMs) => await leaseExpiry.hasExpired(row, renewalRow, stalledMs)
      }
    }
  }

  async #transact (transaction: StoreTransaction, host: LeaseHost): Promise<StoreOutcome> {
    const { era } = this.rows
    const outcome = await this.#answer(transaction, host)
    // What was under way when the store went away has no response.
    if (era !== this.rows.era) return { verdict: 'unknown', reason: 'no answer' }
    return outcome.verdict === 'unknown' ? outcome : { ...outcome, era }
  }

  async #answer (transaction: StoreTransaction, host: LeaseHost): Promise<StoreOutcome> {
    this.storeCallCount++
    if (transaction.writes.some(({ table, key }) => table === hostsTable && key === formatHostKey(host.name))) this.hostRowWrites.set(host, (this.hostRowWrites.get(host) ?? 0) + 1)
    if (this.storeState === 'away' || host.isCutFromStore) return await this.#respond(() => ({ verdict: 'unknown', reason: 'no answer' }), 300)
    if (transaction.checks.length + transaction.writes.length + transaction.removals.length > maxTransactionEntries) {
      return await this.#respond(() => ({ verdict: 'notApplied', reason: 'the store answered with status 400' }), responseDelayMs)
    }
    const nowMs = this.clock.readMonotonic()
    if (this.storeState === 'busy') return await this.#respond(() => ({ verdict: 'notApplied', reason: 'the store answered with status 503' }), responseDelayMs)
    if (this.storeState === 'lost') {
      this.clock.setTimer(() => { this.rows.transact(transaction) }, lateWriteDelayMs)
      return await this.#respond(() => ({ verdict: 'unknown', reason: 'no answer' }), 1000)
    }
    if (this.storeState === 'healthy') return await this.#respond(() => this.rows.transact(transaction), responseDelayMs)
    if (this.#queueEndsAtMs - nowMs > 1000) return await this.#respond(() => ({ verdict: 'notApplied', reason: 'the store answered with status 429' }), slowResponseDelayMs)
    this.#queueEndsAtMs = Math.max(this.#queueEndsAtMs, nowMs) + slowResponseDelayMs
    return await this.#respond(() => this.rows.transact(transaction), this.#queueEndsAtMs - nowMs)
  }

  async #respond (compute: () => StoreOutcome, delayMs: number): Promise<StoreOutcome> {
    return await new Promise(resolve => { this.clock.setTimer(() => resolve(compute()), delayMs) })
  }

  /** Records a violation if an engine returns to a former owner within the lease duration. */
  #checkAlternation (id: string, owner: string): void {
    const nowMs = this.clock.readMonotonic()
    const history = this.#ownerHistory.get(id) ?? []
    this.#ownerHistory.set(id, history)
    const last = history.at(-1)
    if (last?.owner === owner) {
      last.atMs = nowMs
      return
    }
    const previous = history.findLast(other => other.owner === owner)
    if (previous && nowMs - previous.atMs < leaseMs) this.violations.push(`${id} went from ${owner} to another host and back within ${nowMs - previous.atMs} ms`)
    history.push({ owner, atMs: nowMs })
  }

  /** Records a violation if two hosts may send orders to an engine at the same time, or if a fencing token is lower than an earlier one. */
  #monitorOwners (): void {
    for (const { key: id } of this.rows.listRows(endpointsTable)) {
      const owners = this.hosts.flatMap(({ name, leases, owned, isRunning }) => isRunning && owned.has(id) && leases.findFencingToken(id) !== undefined ? [{ name, fencing: leases.findFencingToken(id)! }] : [])
      if (owners.length > 1) this.violations.push(`${id} has the owners ${owners.map(({ name }) => name).join(' and ')}`)
      const [owner] = owners
      if (!owner) continue
      if (owner.fencing < (this.#lastFencing.get(id) ?? 0)) this.violations.push(`${id} has fencing token ${owner.fencing} after a higher one`)
      this.#lastFencing.set(id, owner.fencing)
      this.#checkAlternation(id, owner.name)
    }
    this.clock.setTimer(() => this.#monitorOwners(), 10)
  }
}

function createEntry (id: string): EndpointEntry {
  return { id, service: 'llm', address: '10.0.1.1:80', zone: 'zone-1', isLeaving: false, goneInMs: undefined, places: 8, softwareVersion: '', startedAtMs: 1, models: [], orderCount: 0 }
}
