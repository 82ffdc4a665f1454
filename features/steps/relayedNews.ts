/** Steps for cluster updates that hosts relay to each other. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { pack } from 'msgpackr'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { startHttpServer } from '../../src/adapters/httpServer/httpServer.js'
import type { HttpServer } from '../../src/adapters/httpServer/httpServer.js'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { createHttpRelay } from '../../src/adapters/relay/httpRelay.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { selectStoreReaders, UpdateSourceList } from '../../src/core/updateSources.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import { StoreEra } from '../../src/core/storeEra.js'
import type { RelayedUpdates } from '../../src/ports/relay.js'
import type { Store, StoreOutcome } from '../../src/ports/store.js'
import { encodeHostsRow, formatHostKey, hostsTable, renewalsTable } from '../../src/schemas/hostRows.js'
import { ClusterViewTask } from '../../src/tasks/clusterView/clusterViewTask.js'
import { createEraCheckedRelay } from '../../src/tasks/clusterView/eraChecks.js'
import { startRelayServer } from '../../src/tasks/clusterView/relayServer.js'
import { startByteCounter } from '../support/byteCounter.js'
import type { ByteCounter } from '../support/byteCounter.js'
import { findFreePort } from '../support/findFreePort.js'

interface UpdatesWorld {
  written: Buffer
  relayServer: HttpServer | undefined
  counter: ByteCounter | undefined
  receivedUpdates: RelayedUpdates[]
  clock: VirtualClock
  task: ClusterViewTask
  /** By peer address: number of reads, and how many of them returned all rows. */
  peerReads: Map<string, { calls: number, fullReads: number }>
  isStoreReachable: boolean
  readTables: Set<string>
  /** How often the hosts were ranked as update sources. */
  rankingCount?: number
  /** Number of calls that followed a table of the store. */
  followCalls?: number
  peerAddress: string
  outcome: StoreOutcome
}

After(async function (this: UpdatesWorld) {
  this.relayServer?.close()
  await this.counter?.stop()
})

Given('a host that relays a configuration of {int} bytes', async function (this: UpdatesWorld, bytes: number) {
  const routes = Array.from({ length: Math.ceil(bytes / 60) }, (_, index) => ({ name: `route-${index}`, prefix: `/county/${index * 7919}/` }))
  this.written = Buffer.from(JSON.stringify(routes).slice(0, bytes))
  const mirror = new RowMirror('relay', () => false, () => {}, (_row, error) => { throw error })
  mirror.replaceTable('op', [{ table: 'op', key: 'routes', version: 3, value: this.written }], 3)
  const unusedStore = {} as Store
  const relayAddress = `127.0.0.1:${await findFreePort()}`
  this.relayServer = await startRelayServer({
    address: relayAddress, clock: createSystemClock(), mirror, store: unusedStore, eras: new StoreEra(), getStoreAgeMs: () => 5, listTableAges: () => ({ op: 5 }), isStoreReachable: () => true
  })
  this.counter = await startByteCounter(relayAddress)
})

When('{int} follower(s) read(s) its updates', async function (this: UpdatesWorld, count: number) {
  const relays = Array.from({ length: count }, createHttpRelay)
  this.receivedUpdates = await Promise.all(relays.map(async relay => await relay.readUpdates(this.counter!.address, '', 0, 100)))
  await Promise.all(relays.map(async relay => await relay.close()))
})

Then('each follower has the configuration as it was written', function (this: UpdatesWorld) {
  for (const { rows, isWhole, versions } of this.receivedUpdates) {
    assert.ok(isWhole)
    assert.deepEqual(versions, { op: 3 })
    assert.deepEqual(rows.map(({ key, version, value }) => [key, version, Buffer.from(value!).toString()]), [['routes', 3, this.written.toString()]])
  }
})

Then('at most {int} bytes were transferred per follower', function (this: UpdatesWorld, maxBytes: number) {
  const bytesPerFollower = this.counter!.bytes / this.receivedUpdates.length
  assert.ok(bytesPerFollower <= maxBytes, `${bytesPerFollower} bytes`)
})

interface FollowedPeers {
  count: number
  /** Whether the host under test is a store reader. */
  isReader: boolean
  /** Store age that peers report at the start; it increases with time. If omitted, peers reach the store. */
  initialStoreAgeMs?: number
  /** Whether the host must first read its peers from the store. */
  isNew?: boolean
}

/**
 * Starts an update task among simulated peers. A peer answers with all rows after 3 ms if the requested position is not in its
 * log, and otherwise with no rows after `waitMs`.
 */
function startUpdates (world: UpdatesWorld, { count, isReader, initialStoreAgeMs, isNew = false }: FollowedPeers): void {
  const clock = new VirtualClock()
  const peerReads: UpdatesWorld['peerReads'] = new Map()
  const responseMs = 3
  const pause = async (ms: number): Promise<void> => await new Promise<void>(resolve => { clock.setTimer(resolve, ms) })
  const mirror = new RowMirror('own', () => false, () => {}, (_row, error) => { throw error })
  const hosts = Array.from({ length: count + 1 }, (_, index) => ({ host: `host-${index}`, address: `10.0.0.${index + 1}`, zone: 'a' }))
  const readers = selectStoreReaders(hosts)
  const own = hosts.find(host => readers.includes(host) === isReader)!
  const clusterView = new ClusterView(() => undefined)
  const writeHosts = (known = hosts): void => {
    for (const host of known) clusterView.applyRow({ table: hostsTable, key: formatHostKey(host.host), version: 1, value: encodeHostsRow({ ...host, session: 'life', isLeaving: false }) }, 0)
  }
  if (!isNew) writeHosts()
  const answer = async <T>(value: T): Promise<T> => {
    await pause(responseMs)
    if (!world.isStoreReachable) throw new Error('connection refused')
    return value
  }
  const task = new ClusterViewTask({
    clock,
    eras: new StoreEra(),
    log: { record: () => {} },
    store: {
      watchTable: async (table: string) => {
        world.followCalls = (world.followCalls ?? 0) + 1
        const changes = await answer({ isComplete: true, rows: [], version: 1 })
        if (table === hostsTable) writeHosts()
        return changes
      },
      readTable: async (table: string) => {
        const read = await answer({ rows: [], version: 1 })
        world.readTables.add(table)
        // A host that starts together with others finds only its own row at first.
        if (table === hostsTable) writeHosts([own])
        return read
      }
    } as unknown as Store,
    relay: {
      readUpdates: async (address, logId, _position, waitMs) => {
        const peer = peerReads.get(address) ?? { calls: 0, fullReads: 0 }
        peerReads.set(address, peer)
        peer.calls++
        const isWhole = logId !== address
        if (isWhole) peer.fullReads++
        await pause(isWhole ? responseMs : waitMs)
        const storeAgeMs = initialStoreAgeMs === undefined ? 100 : initialStoreAgeMs + clock.readMonotonic()
        return { logId: address, position: 1, isWhole, rows: [], versions: {}, storeAgeMs, tableAgesMs: { op: storeAgeMs, [hostsTable]: storeAgeMs } }
      },
      transact: async () => ({ verdict: 'notApplied', reason: 'the peer does not reach the store' }),
      close: async () => {}
    },
    mirror,
    clusterView,
    tables: [
      { table: 'op', minIntervalMs: 100, waitMs: 400, responseMs: 600, maxAgeMs: 1000, initialDelayMs: 400 },
      ...isNew ? [{ table: hostsTable, minIntervalMs: 0, waitMs: 2000, responseMs: 1000, initialDelayMs: 250 }, { table: renewalsTable, minIntervalMs: 0, waitMs: 1000, responseMs: 1000, initialDelayMs: 400, isForStoreReaders: true }] : []
    ],
    relayWaitMs: 400,
    own,
    sources: new UpdateSourceList({
      own,
      listHosts: () => {
        world.rankingCount = (world.rankingCount ?? 0) + 1
        return [...clusterView.hosts.values()].map(({ row }) => row)
      },
      getHostsVersion: () => clusterView.hostsVersion
    }),
    seeds: [],
    formatRelayAddress: address => address
  })
  task.start()
  Object.assign(world, { clock, peerReads, task })
}

Given('a host that starts together with {int} peers that reach the store', function (this: UpdatesWorld, count: number) {
  this.readTables = new Set()
  this.isStoreReachable = true
  startUpdates(this, { count, isReader: false, isNew: true })
})

Then('it has read {int} tables of the store', function (this: UpdatesWorld, tables: number) {
  assert.equal(this.readTables.size, tables)
})

Then('it has followed the store with at most {int} calls', function (this: UpdatesWorld, maxCalls: number) {
  assert.ok((this.followCalls ?? 0) <= maxCalls, `${this.followCalls} calls`)
})

Then('it has ranked its update sources {int} time(s)', function (this: UpdatesWorld, times: number) {
  assert.equal(this.rankingCount, times)
})

Given('a host that follows {int} peers that have lost the store as well', function (this: UpdatesWorld, count: number) {
  this.readTables = new Set()
  this.isStoreReachable = false
  startUpdates(this, { count, isReader: false, initialStoreAgeMs: 5000 })
})

Given('a host that reads the store for {int} peers', async function (this: UpdatesWorld, count: number) {
  this.readTables = new Set()
  this.isStoreReachable = true
  startUpdates(this, { count, isReader: true, initialStoreAgeMs: 5000 })
  await this.clock.runUntilSettled(1000)
  assert.deepEqual([...this.readTables], ['op'])
})

When('its reads fail and its writes succeed for {int} ms', async function (this: UpdatesWorld, ms: number) {
  this.isStoreReachable = false
  this.peerReads.clear()
  const writeMs = 200
  for (let passedMs = 0; passedMs < ms; passedMs += writeMs) {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + writeMs)
    this.task.recordStoreResponse()
  }
})

Then('the age of its updates is at least {int} ms', function (this: UpdatesWorld, minAgeMs: number) {
  assert.ok(this.task.storeAgeMs >= minAgeMs, `${this.task.storeAgeMs} ms old`)
})

Then('it asks its peers for updates', function (this: UpdatesWorld) {
  assert.ok(this.peerReads.size > 0)
})

Given('the store answers this host', function (this: UpdatesWorld) {
  this.isStoreReachable = true
})

Then('it has read the store', function (this: UpdatesWorld) {
  assert.deepEqual([...this.readTables], ['op'])
})

When('{int} ms elapse for it', async function (this: UpdatesWorld, ms: number) {
  await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
})

Then('it has read all rows from each peer at most {int} time(s)', function (this: UpdatesWorld, maxReads: number) {
  for (const [address, { fullReads }] of this.peerReads) assert.ok(fullReads <= maxReads, `${address}: ${fullReads} times`)
})

Then('it has asked its peers at most {int} times', function (this: UpdatesWorld, maxCalls: number) {
  const calls = [...this.peerReads.values()].reduce((sum, peer) => sum + peer.calls, 0)
  assert.ok(calls <= maxCalls, `${calls} times`)
})

Given(/^a peer that answers each transaction with (.+)$/, async function (this: UpdatesWorld, answer: string) {
  this.peerAddress = `127.0.0.1:${await findFreePort()}`
  this.relayServer = await startHttpServer(this.peerAddress, () => ({ status: 200, body: pack(JSON.parse(answer)) }))
})

When('a host that knows the store\'s era sends it a transaction', async function (this: UpdatesWorld) {
  const eras = new StoreEra()
  eras.observe(2)
  const relay = createEraCheckedRelay(createHttpRelay(), eras)
  this.outcome = await relay.transact(this.peerAddress, { checks: [], writes: [], removals: [] })
  await relay.close()
})

Then('the outcome is {string}', function (this: UpdatesWorld, verdict: string) {
  assert.equal(this.outcome.verdict, verdict)
})
