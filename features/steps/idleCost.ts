/** Steps of polling by idle processes. */
import assert from 'node:assert/strict'
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { createHttpPlatform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import type { Platform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import { MemoryHostList } from '../../src/adapters/memoryPlatform/memoryHostList.js'
import { MemoryObjectStore } from '../../src/adapters/memoryPlatform/memoryObjectStore.js'
import { MemoryTable } from '../../src/adapters/memoryPlatform/memoryTable.js'
import { createPlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { HostList } from '../../src/ports/hostList.js'
import type { HostListEntry } from '../../src/schemas/hostList.js'
import { startPlatformServer } from '../../src/standin/platformServer.js'
import type { StandinServer } from '../../src/standin/engineServer.js'
import { createSharedHostList } from '../../src/tasks/membership/sharedHostList.js'
import { EngineReportMonitor } from '../../src/tasks/scheduler/engineReportMonitor.js'

const headersChannel = 'undici:request:headers'

interface IdleWorld {
  clock: VirtualClock
  incarnation: string
  isSilent: boolean
  isQuiet: boolean
  asked: number
  eventTypes: string[]
  monitor: EngineReportMonitor | undefined
  hostList: HostList
  shared: HostList
  platformServer: StandinServer | undefined
  httpPlatform: Platform | undefined
  statuses: number[]
  shown: string[]
}

Given('the watch of an engine', function (this: IdleWorld) {
  Object.assign(this, { clock: new VirtualClock(), incarnation: 'a', isSilent: false, isQuiet: true, asked: 0, eventTypes: [] })
  const readReport = async () => {
    this.asked++
    if (this.isSilent) throw new Error('no answer')
    return { incarnation: this.incarnation, slots: 8, batchLimit: 16, running: 0, waiting: 0, adapters: [], lagMs: 0 }
  }
  this.monitor = new EngineReportMonitor({
    clock: this.clock,
    engine: { readReport },
    endpointId: 'engine-1',
    findAddress: () => '10.0.0.1:1',
    isQuiet: () => this.isQuiet,
    send: ({ type }) => { if (type !== 'report') this.eventTypes.push(type) }
  })
  this.monitor.start()
})

When(/^the watch goes on for (\d+) seconds?$/, async function (this: IdleWorld, seconds: string) {
  this.asked = 0
  await this.clock.runUntilSettled(this.clock.readMonotonic() + Number(seconds) * 1000)
})

When('the endpoint has work', function (this: IdleWorld) { this.isQuiet = false })

When('the engine gives no reports', function (this: IdleWorld) { this.isSilent = true })

When('the watched engine restarts', function (this: IdleWorld) { this.incarnation = 'b' })

Then('the engine was asked {int} to {int} times', function (this: IdleWorld, least: number, most: number) {
  assert.ok(this.asked >= least && this.asked <= most, String(this.asked))
})

Then('the watch has sent {string}', function (this: IdleWorld, types: string) {
  assert.equal(this.eventTypes.join(', '), types)
})

Given('a list of hosts that counts its reads', function (this: IdleWorld) {
  this.clock = new VirtualClock()
  this.asked = 0
  const list = new MemoryHostList(this.clock, 0)
  this.hostList = {
    listEntries: async () => {
      this.asked++
      return await list.listEntries()
    },
    announceEntry: async () => {},
    withdrawEntry: async () => {}
  }
  this.shared = createSharedHostList(this.hostList, this.clock)
})

When('{int} parts read it each second for {int} seconds', async function (this: IdleWorld, parts: number, seconds: number) {
  for (let second = 0; second < seconds; second++) {
    await Promise.all(Array.from({ length: parts }, async () => await this.shared.listEntries()))
    await this.clock.runUntilSettled(this.clock.readMonotonic() + 1000)
  }
})

Then('it was read {int} times', function (this: IdleWorld, count: number) {
  assert.equal(this.asked, count)
})

function createEntry (id: string): HostListEntry {
  return { kind: 'gateway', id, zone: 'az-1', address: '10.0.0.1:1', presence: 'live' }
}

Given('a platform server with host {string} on its list', async function (this: IdleWorld, id: string) {
  const hostList = new MemoryHostList(new VirtualClock(), 0)
  this.hostList = hostList
  hostList.addEntry(createEntry(id))
  this.platformServer = await startPlatformServer({
    address: '127.0.0.1', port: 0, table: new MemoryTable(), objects: new MemoryObjectStore(), hostList, faults: createPlatformFaults()
  })
  this.httpPlatform = createHttpPlatform(this.platformServer.address)
})

When('host {string} joins', async function (this: IdleWorld, id: string) {
  await this.hostList.announceEntry(createEntry(id))
})

When('the list is read {int} times over HTTP', async function (this: IdleWorld, count: number) {
  this.statuses = []
  const receive = (message: unknown): void => { this.statuses.push((message as { response: { statusCode: number } }).response.statusCode) }
  subscribe(headersChannel, receive)
  for (let index = 0; index < count; index++) this.shown = (await this.httpPlatform!.hostList.listEntries()).map(({ id }) => id)
  unsubscribe(headersChannel, receive)
})

Then('the answers had status {string} and showed {string}', function (this: IdleWorld, statuses: string, ids: string) {
  assert.deepEqual([this.statuses.join(', '), this.shown.join(', ')], [statuses, ids])
})

After(async function (this: IdleWorld) {
  this.monitor?.stop()
  await this.httpPlatform?.close()
  await this.platformServer?.stop()
})
