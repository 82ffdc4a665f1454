import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import type { HttpServer } from '../../src/adapters/httpServer/httpServer.js'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { createHttpRelay } from '../../src/adapters/relay/httpRelay.js'
import { NewsBoard } from '../../src/core/newsBoard.js'
import { listReaders, SourceList } from '../../src/core/newsSource.js'
import { RowMirror } from '../../src/core/rowMirror.js'
import type { RelayedNews } from '../../src/ports/relay.js'
import type { Store } from '../../src/ports/store.js'
import { encodeHostsRow, formatHostKey, hostsTable, renewalsTable } from '../../src/schemas/hostRows.js'
import { NewsTask } from '../../src/tasks/news/newsTask.js'
import { startRelayServer } from '../../src/tasks/news/relayServer.js'
import { startByteCounter } from '../support/byteCounter.js'
import type { ByteCounter } from '../support/byteCounter.js'

interface NewsWorld {
  written: Buffer
  relayServer: HttpServer | undefined
  counter: ByteCounter | undefined
  read: RelayedNews[]
  clock: VirtualClock
  task: NewsTask
  /** By peer, how often its news were read, and how often whole. */
  asked: Map<string, { calls: number, whole: number }>
  isStoreReached: boolean
  readTables: Set<string>
  /** How often the hosts were ranked as sources of news. */
  rankings?: number
  /** Calls that followed a table of the store. */
  followed?: number
}

const relayAddress = `127.0.0.1:${19_000 + process.pid % 900}`

After(async function (this: NewsWorld) {
  this.relayServer?.close()
  await this.counter?.stop()
})

Given('a host that relays a configuration of {int} bytes', async function (this: NewsWorld, bytes: number) {
  const routes = Array.from({ length: Math.ceil(bytes / 60) }, (_, index) => ({ name: `route-${index}`, prefix: `/county/${index * 7919}/` }))
  this.written = Buffer.from(JSON.stringify(routes).slice(0, bytes))
  const mirror = new RowMirror('relay', () => false, () => {})
  mirror.applyTable('op', [{ table: 'op', key: 'routes', version: 3, value: this.written }], 3)
  const unusedStore = {} as Store
  this.relayServer = await startRelayServer({
    address: relayAddress, clock: createSystemClock(), mirror, store: unusedStore, readStoreAgeMs: () => 5, reachesStore: () => true
  })
  this.counter = await startByteCounter(relayAddress)
})

When('{int} follower(s) read(s) its news', async function (this: NewsWorld, count: number) {
  const relays = Array.from({ length: count }, createHttpRelay)
  this.read = await Promise.all(relays.map(async relay => await relay.readNews(this.counter!.address, '', 0, 100)))
  await Promise.all(relays.map(async relay => await relay.close()))
})

Then('each follower has the configuration as it was written', function (this: NewsWorld) {
  for (const { rows, isWhole, versions } of this.read) {
    assert.ok(isWhole)
    assert.deepEqual(versions, { op: 3 })
    assert.deepEqual(rows.map(({ key, version, value }) => [key, version, Buffer.from(value!).toString()]), [['routes', 3, this.written.toString()]])
  }
})

Then('at most {int} bytes crossed for each of them', function (this: NewsWorld, most: number) {
  const each = this.counter!.bytes / this.read.length
  assert.ok(each <= most, `${each} bytes`)
})

interface FollowedPeers {
  count: number
  /** Whether the host under test is a reader of the store. */
  isReader: boolean
  /** Age of the store's word as peers tell it at the start; it grows with the time. Left out, peers reach the store. */
  lostMs?: number
  /** Whether the host has to learn of its peers from the store. */
  isNew?: boolean
}

/** Peers have lost the store. They answer in 3 ms, with everything where the position is not of their log, else when `waitMs` are over. */
function startNews (world: NewsWorld, { count, isReader, lostMs, isNew = false }: FollowedPeers): void {
  const clock = new VirtualClock()
  const asked: NewsWorld['asked'] = new Map()
  const answerMs = 3
  const pause = async (ms: number): Promise<void> => await new Promise<void>(resolve => { clock.setTimer(resolve, ms) })
  const mirror = new RowMirror('own', () => false, () => {})
  const hosts = Array.from({ length: count + 1 }, (_, index) => ({ host: `host-${index}`, address: `10.0.0.${index + 1}`, zone: 'a' }))
  const readers = listReaders(hosts)
  const own = hosts.find(host => readers.includes(host) === isReader)!
  const board = new NewsBoard(() => undefined)
  const addHosts = (known = hosts): void => {
    for (const host of known) board.applyRow({ table: hostsTable, key: formatHostKey(host.host), version: 1, value: encodeHostsRow({ ...host, session: 'life', isLeaving: false }) }, 0)
  }
  if (!isNew) addHosts()
  const answer = async <T>(value: T): Promise<T> => {
    await pause(answerMs)
    if (!world.isStoreReached) throw new Error('connection refused')
    return value
  }
  const task = new NewsTask({
    clock,
    log: { record: () => {} },
    store: {
      followTable: async (table: string) => {
        world.followed = (world.followed ?? 0) + 1
        const changes = await answer({ isComplete: true, rows: [], version: 1 })
        if (table === hostsTable) addHosts()
        return changes
      },
      readTable: async (table: string) => {
        const read = await answer({ rows: [], version: 1 })
        world.readTables.add(table)
        // A host that starts together with others finds only itself at first.
        if (table === hostsTable) addHosts([own])
        return read
      }
    } as unknown as Store,
    relay: {
      readNews: async (address, logId, _position, waitMs) => {
        const peer = asked.get(address) ?? { calls: 0, whole: 0 }
        asked.set(address, peer)
        peer.calls++
        const isWhole = logId !== address
        if (isWhole) peer.whole++
        await pause(isWhole ? answerMs : waitMs)
        return { logId: address, position: 1, isWhole, rows: [], versions: {}, storeAgeMs: lostMs === undefined ? 100 : lostMs + clock.readMonotonic() }
      },
      transact: async () => ({ verdict: 'notApplied', reason: 'the peer does not reach the store' }),
      close: async () => {}
    },
    mirror,
    board,
    tables: [
      { table: 'op', paceMs: 100, waitMs: 2000, settleMs: 400 },
      ...isNew ? [{ table: hostsTable, paceMs: 0, waitMs: 2000, settleMs: 250 }, { table: renewalsTable, paceMs: 0, waitMs: 1000, settleMs: 400, isForReaders: true }] : []
    ],
    own,
    sources: new SourceList({
      own,
      listHosts: () => {
        world.rankings = (world.rankings ?? 0) + 1
        return [...board.hosts.values()].map(({ row }) => row)
      },
      readHostsVersion: () => board.hostsVersion
    }),
    seeds: [],
    formatRelayAddress: address => address
  })
  task.start()
  Object.assign(world, { clock, asked, task })
}

Given('a host that starts together with {int} peers which reach the store', function (this: NewsWorld, count: number) {
  this.readTables = new Set()
  this.isStoreReached = true
  startNews(this, { count, isReader: false, isNew: true })
})

Then('it has read {int} tables of the store', function (this: NewsWorld, tables: number) {
  assert.equal(this.readTables.size, tables)
})

Then('it has followed the store with at most {int} calls', function (this: NewsWorld, most: number) {
  assert.ok((this.followed ?? 0) <= most, `${this.followed} calls`)
})

Then('it has ranked its sources {int} time(s)', function (this: NewsWorld, times: number) {
  assert.equal(this.rankings, times)
})

Given('a host that follows {int} peers which have lost the store as well', function (this: NewsWorld, count: number) {
  this.readTables = new Set()
  this.isStoreReached = false
  startNews(this, { count, isReader: false, lostMs: 5000 })
})

Given('a host that reads the store for {int} peers', async function (this: NewsWorld, count: number) {
  this.readTables = new Set()
  this.isStoreReached = true
  startNews(this, { count, isReader: true, lostMs: 5000 })
  await this.clock.runUntilSettled(1000)
  assert.deepEqual([...this.readTables], ['op'])
})

When('its reads fail and its writes go through for {int} ms', async function (this: NewsWorld, ms: number) {
  this.isStoreReached = false
  this.asked.clear()
  const writeMs = 200
  for (let passedMs = 0; passedMs < ms; passedMs += writeMs) {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + writeMs)
    this.task.recordStoreAnswer()
  }
})

Then('it tells that its news are at least {int} ms old', function (this: NewsWorld, least: number) {
  assert.ok(this.task.storeAgeMs >= least, `${this.task.storeAgeMs} ms old`)
})

Then('it looks for news at its peers', function (this: NewsWorld) {
  assert.ok(this.asked.size > 0)
})

Given('the store answers this host', function (this: NewsWorld) {
  this.isStoreReached = true
})

Then('it has read the store', function (this: NewsWorld) {
  assert.deepEqual([...this.readTables], ['op'])
})

When('{int} ms pass for it', async function (this: NewsWorld, ms: number) {
  await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
})

Then('it has read the news of each peer whole at most {int} time(s)', function (this: NewsWorld, most: number) {
  for (const [address, { whole }] of this.asked) assert.ok(whole <= most, `${address}: ${whole} times`)
})

Then('it has asked its peers at most {int} times', function (this: NewsWorld, most: number) {
  const calls = [...this.asked.values()].reduce((sum, peer) => sum + peer.calls, 0)
  assert.ok(calls <= most, `${calls} times`)
})
