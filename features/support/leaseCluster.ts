/** Hosts that share engines by leases in one store, on a virtual clock; the store and the ways to it can fail. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { NewsBoard } from '../../src/core/newsBoard.js'
import { PairHashes } from '../../src/core/rendezvousHash.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import { decodePlatformRow, endpointsTable, operatorsTable } from '../../src/platform/decodeNews.js'
import { encodeConfigurationRow, encodeEntryRow } from '../../src/platform/standinWire.js'
import type { StoreOutcome, StoreTransaction } from '../../src/ports/store.js'
import type { RenewalReply } from '../../src/schemas/datagram.js'
import { hostsTable, renewalsTable } from '../../src/schemas/hostRows.js'
import type { EndpointEntry, RoutingConfiguration } from '../../src/schemas/routing.js'
import { RowStore } from '../../src/standin/fleet/rowStore.js'
import { LeaseTask } from '../../src/tasks/leases/leaseTask.js'
import { RenewalClient } from '../../src/tasks/leases/renewalClient.js'
import { RenewalPool } from '../../src/tasks/leases/renewalPool.js'
import { StoreAccess } from '../../src/tasks/leases/storeAccess.js'

/** `busy`: turns calls away. `slow`: takes transactions one after the other, each for 300 ms, and turns away what waits for over a second. */
export type StoreState = 'well' | 'busy' | 'slow' | 'lost'

export interface LeaseHost {
  name: string
  address: string
  leases: LeaseTask
  pool: RenewalPool
  isRunning: boolean
  /** Whether its datagrams arrive. */
  isHeard: boolean
  owned: Map<string, number>
  lines: { kind: string, fields: Record<string, unknown> }[]
}

const answerMs = 5
/** Entries that the store takes in one transaction. */
const maxEntries = 100
/** Time that a host has for its end. */
const maxLeaveMs = 6000
const slowMs = 300
const newsIntervalMs = 50
const lateMs = 3000
/** Time of a lease in the published deployments. */
const leaseMs = 3000
const tables = [operatorsTable, endpointsTable, hostsTable, renewalsTable]

export class LeaseCluster {
  readonly clock = new VirtualClock(1_700_000_000_000)
  readonly rows = new RowStore()
  readonly hosts: LeaseHost[] = []
  readonly violations: string[] = []
  state: StoreState = 'well'
  /** Transactions that the store was asked for. */
  calls = 0
  /** Hosts that were rated for an engine, over all hosts. */
  rankedPairs = 0
  #hashes = new PairHashes()
  #steps = new Map<LeaseHost, number>()
  #busyUntilMs = 0
  #lastFencing = new Map<string, number>()
  /** By engine, when each host could last give it orders. */
  #held = new Map<string, { holder: string, atMs: number }[]>()

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
    for (let index = 1; index <= engines; index++) this.rows.write(encodeEntryRow(createEntry(`engine-${index}`)))
    for (let index = 1; index <= hosts; index++) this.hosts.push(this.#createHost(`host-${index}`, `10.0.0.${index}`))
    this.#watchOwners()
  }

  /** Starts one more host. */
  join (): void {
    const number = this.hosts.length + 1
    this.hosts.push(this.#createHost(`host-${number}`, `10.0.0.${number}`))
  }

  /** How often a host has looked for what is due. */
  countSteps (host: LeaseHost): number {
    return this.#steps.get(host) ?? 0
  }

  async run (ms: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
  }

  /** Engines that no running host may give orders to. */
  listUnserved (): string[] {
    const served = new Set(this.hosts.flatMap(({ leases, isRunning, owned }) => isRunning ? [...owned.keys()].filter(id => leases.findFencing(id) !== undefined) : []))
    return this.rows.listRows(endpointsTable).map(row => row.key).filter(id => !served.has(id))
  }

  /** The host gives its engines up and ends; the clock has to be run meanwhile. */
  async leave (host: LeaseHost): Promise<void> {
    await host.leases.leave(maxLeaveMs)
    this.kill(host)
  }

  /** A new life of a host under its name. */
  startAgain (former: LeaseHost): void {
    this.hosts.push(this.#createHost(former.name, former.address))
  }

  kill (host: LeaseHost): void {
    host.isRunning = false
    host.leases.stop()
  }

  #createHost (name: string, address: string): LeaseHost {
    const { clock } = this
    const session = `${name}-life-${this.hosts.length}`
    const own = { host: name, address, zone: 'zone-1', session }
    const board = new NewsBoard(decodePlatformRow)
    const mirror = new RowMirror(session, () => false, row => {
      const change = board.applyRow(row, clock.readMonotonic())
      if (change) leases.receiveChange(change)
    })
    const host: LeaseHost = { name, address, leases: undefined!, pool: undefined!, isRunning: true, isHeard: true, owned: new Map(), lines: [] }
    const log = { record: (kind: string, _message: string, fields: Record<string, unknown> = {}) => { host.lines.push({ kind, fields }) } }
    const transact = async (transaction: StoreTransaction): Promise<StoreOutcome> => await this.#transact(transaction)
    const access = new StoreAccess({ clock, log, transact, transactByPeer: async (_address, transaction) => await transact(transaction), listPeers: () => ['peer'], receiveStoreAnswer: () => {} })
    host.pool = new RenewalPool({ clock, transact, reachesStore: () => true })
    const client = new RenewalClient({
      clock,
      findGatherer: () => '10.0.0.1',
      send: (_address, ask) => {
        const gatherer = this.hosts[0]!
        const answer = (reply: RenewalReply): void => { clock.setTimer(() => { if (host.isHeard) client.receiveReply(reply) }, 1) }
        clock.setTimer(() => { if (gatherer.isRunning && gatherer.isHeard && host.isHeard) gatherer.pool.receive(ask, { host: name, session }, answer) }, 1)
      }
    })
    const leases = new LeaseTask({
      clock,
      log,
      board,
      own,
      leaseMs,
      // Two hosts read the store, as in small deployments; the others learn of renewals from them.
      readsStore: () => this.hosts.length < 2 || this.hosts.indexOf(host) < 2,
      hashPair: (endpointId, host) => {
        this.rankedPairs++
        return this.#hashes.compute(endpointId, host)
      },
      // Asked once in each step.
      isIsolated: () => {
        this.#steps.set(host, this.countSteps(host) + 1)
        return false
      },
      isRunning: async row => this.hosts.some(other => other.name === row.host && other.isRunning),
      transact: async transaction => await access.transact(transaction),
      renewTogether: async (renewal, version) => await client.renew(renewal, version),
      readRenewals: () => {},
      findRenewalVersion: other => mirror.findRow(renewalsTable, other)?.version,
      applyRow: row => mirror.applyOwnRow(row),
      isOutage: () => false,
      receiveOwnership: (endpointId, fencing) => {
        if (fencing === undefined) host.owned.delete(endpointId)
        else host.owned.set(endpointId, fencing)
      }
    })
    host.leases = leases
    const readNews = (): void => {
      if (!host.isRunning) return
      for (const table of tables) mirror.applyTable(table, this.rows.listRows(table), this.rows.version)
      clock.setTimer(readNews, newsIntervalMs)
    }
    readNews()
    leases.start()
    return host
  }

  async #transact (transaction: StoreTransaction): Promise<StoreOutcome> {
    this.calls++
    if (transaction.checks.length + transaction.writes.length + transaction.removals.length > maxEntries) {
      return await this.#answer(() => ({ verdict: 'notApplied', reason: 'the store answered with status 400' }), answerMs)
    }
    const nowMs = this.clock.readMonotonic()
    if (this.state === 'busy') return await this.#answer(() => ({ verdict: 'notApplied', reason: 'the store answered with status 503' }), answerMs)
    if (this.state === 'lost') {
      this.clock.setTimer(() => { this.rows.transact(transaction) }, lateMs)
      return await this.#answer(() => ({ verdict: 'unknown', reason: 'no answer' }), 1000)
    }
    if (this.state === 'well') return await this.#answer(() => this.rows.transact(transaction), answerMs)
    if (this.#busyUntilMs - nowMs > 1000) return await this.#answer(() => ({ verdict: 'notApplied', reason: 'the store answered with status 429' }), slowMs)
    this.#busyUntilMs = Math.max(this.#busyUntilMs, nowMs) + slowMs
    return await this.#answer(() => this.rows.transact(transaction), this.#busyUntilMs - nowMs)
  }

  async #answer (compute: () => StoreOutcome, delayMs: number): Promise<StoreOutcome> {
    return await new Promise(resolve => { this.clock.setTimer(() => resolve(compute()), delayMs) })
  }

  /** A host that takes an engine back from another one within the time of a lease. */
  #checkTurns (id: string, holder: string): void {
    const nowMs = this.clock.readMonotonic()
    const held = this.#held.get(id) ?? []
    this.#held.set(id, held)
    const last = held.at(-1)
    if (last?.holder === holder) {
      last.atMs = nowMs
      return
    }
    const before = held.findLast(other => other.holder === holder)
    if (before && nowMs - before.atMs < leaseMs) this.violations.push(`${id} went from ${holder} to another host and back within ${nowMs - before.atMs} ms`)
    held.push({ holder, atMs: nowMs })
  }

  /** Two hosts that may give an engine orders at the same moment, or one with a lower fencing number after a higher one. */
  #watchOwners (): void {
    for (const { key: id } of this.rows.listRows(endpointsTable)) {
      const holders = this.hosts.flatMap(({ name, leases, owned, isRunning }) => isRunning && owned.has(id) && leases.findFencing(id) !== undefined ? [{ name, fencing: leases.findFencing(id)! }] : [])
      if (holders.length > 1) this.violations.push(`${id} has the holders ${holders.map(({ name }) => name).join(' and ')}`)
      const [holder] = holders
      if (!holder) continue
      if (holder.fencing < (this.#lastFencing.get(id) ?? 0)) this.violations.push(`${id} has fencing number ${holder.fencing} after a higher one`)
      this.#lastFencing.set(id, holder.fencing)
      this.#checkTurns(id, holder.name)
    }
    this.clock.setTimer(() => this.#watchOwners(), 10)
  }
}

function createEntry (id: string): EndpointEntry {
  return { id, service: 'llm', address: '10.0.1.1:80', zone: 'zone-1', isLeaving: false, goneInMs: undefined, places: 8, startedAtMs: 1, models: [], orderCount: 0 }
}
