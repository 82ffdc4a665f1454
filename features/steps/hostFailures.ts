/** Steps of hosts under failure: of endpoints, the store, owners and whole hosts. */
import assert from 'node:assert/strict'
import { randomBytes } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { Client } from 'undici'
import { endpointsTable } from '../../src/platform/wireNames.js'
import { encodeCallerRequestHeaders } from '../../src/platform/standinWire.js'
import { decodeHostsRow, hostsTable } from '../../src/schemas/hostRows.js'
import { createRequestId, isWhole, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { EndpointFaults } from '../../src/standin/fleet/endpointFaults.js'
import { engineService, fleetHost, fleetModel, fleetPaths } from '../../src/standin/fleet/startFleet.js'
import type { FleetEndpoint } from '../../src/standin/fleet/startFleet.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { HostFleet } from '../support/hostFleet.js'
import { call, findOwner, sendStreams, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { createDeepEntryText } from '../support/oddEntries.js'
import { waitUntil } from '../support/waitUntil.js'

interface RemovalWorld extends HostsWorld {
  removed: FleetEndpoint
  removedAtMs: number
}

Given('half of the streams break off', function (this: HostsWorld) {
  setFaults(this, endpoint => endpoint.engine !== undefined, { cuts: 0.5 })
})

Given('half of the answers of services break off', function (this: HostsWorld) {
  setFaults(this, endpoint => endpoint.engine === undefined, { cuts: 0.5 })
})

Given('half of the answers of services come twice', function (this: HostsWorld) {
  setFaults(this, endpoint => endpoint.engine === undefined, { extras: 0.5 })
})

Given('all answers of services have no length', function (this: HostsWorld) {
  setFaults(this, endpoint => endpoint.engine === undefined, { unframed: 1 })
})

Given('all answers of services have no length and are reset before their end', function (this: HostsWorld) {
  setFaults(this, endpoint => endpoint.engine === undefined, { unframedCuts: 1 })
})

Given('{int}% of the orders get no answer and are carried out late', function (this: HostsWorld, percent: number) {
  setFaults(this, endpoint => endpoint.engine !== undefined, { lateOrders: percent / 100 })
})

Given('all endpoints are dark', function (this: HostsWorld) {
  setFaults(this, () => true, { isDark: true })
})

When('the engine that ran most of them crashes', function (this: HostsWorld) {
  const { fleet } = this.hostFleet
  const countRuns = ({ id }: FleetEndpoint): number => fleet.journal.runs.filter(run => run.endpointId === id).length
  this.crashed = fleet.engines.sort((left, right) => countRuns(right) - countRuns(left))[0]!
  this.crashed.server.crash()
})

When('the engines lose adapter {string}', function (this: HostsWorld, adapter: string) {
  for (const { engine } of this.hostFleet.fleet.engines) engine!.loseAdapter(adapter)
})

When('engine {int} says that it leaves', function (this: HostsWorld, number: number) {
  this.hostFleet.fleet.drain(this.hostFleet.fleet.engines[number - 1]!)
})

When('streams of {int} s run for {int} adapters through hosts that do not own the engine', async function (this: HostsWorld, seconds: number, adapters: number) {
  const owner = findOwner(this)
  const others = this.hostFleet.hosts.map((_, index) => index + 1).filter(number => number !== owner)
  // An id with this ending requests 5 events.
  const events = 5
  setFaults(this, () => true, { eventMs: seconds * 1000 / events })
  for (let index = 0; index < adapters; index++) {
    call(this, { kind: 'stream', host: others[index % others.length]!, adapter: `long${index}`, requestId: `${randomBytes(7).toString('hex')}02`, timeLeftMs: 8000 })
  }
  await waitUntil(() => this.hostFleet.fleet.journal.runs.length === adapters)
  setFaults(this, () => true, { eventMs: 0 })
})

When('all engines crash {int} times, {int} ms apart, while streams on {int} adapters come', async function (this: HostsWorld, times: number, gapMs: number, adapters: number) {
  const streamsPerCrash = 8
  const streams = sendStreams(this, times * streamsPerCrash, adapters, times * gapMs)
  for (let index = 0; index < times; index++) {
    await sleep(gapMs)
    for (const { server } of this.hostFleet.fleet.engines) server.crash()
  }
  await streams
})

When('a stream of kind {string} has run for {int} ms and its engine crashes', async function (this: HostsWorld, kind: CallKind, ms: number) {
  const { fleet } = this.hostFleet
  // An id with this ending requests 8 events, of which the engine sends half before it crashes.
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: 700 })
  const answered = call(this, { kind, host: 1, adapter: 'a1', requestId: `${randomBytes(7).toString('hex')}05` })
  await sleep(ms)
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: 0 })
  fleet.endpoints.find(({ id }) => id === fleet.journal.runs.at(-1)!.endpointId)!.server.crash()
  await answered
})

When('the owner of the engine stops', async function (this: HostsWorld) {
  const host = this.hostFleet.hosts[findOwner(this) - 1]!
  this.hostFleet.stopHost(host)
  await waitUntil(() => this.hostFleet.listLines('lease.gained').length > 1)
})

When('host {int} stops while streams are sent through it', async function (this: HostsWorld, number: number) {
  const host = this.hostFleet.hosts[number - 1]!
  const streams = Array.from({ length: 20 }, async (_, index) => {
    await sleep(index * 20)
    await call(this, { kind: 'stream', host: number, adapter: `a${index % 3}` })
  })
  await sleep(200)
  await this.hostFleet.stopHost(host)
  await Promise.all(streams)
})

When('the store is silent for {int} ms while {int} streams for {int} adapters are sent', async function (this: HostsWorld, ms: number, count: number, adapters: number) {
  const { store } = this.hostFleet.fleet
  store.setFault('silent')
  const streams = sendStreams(this, count, adapters, ms)
  await sleep(ms)
  store.setFault('none')
  await streams
})

When('{int} hosts start and the store is there again after {int} ms', async function (this: HostsWorld, count: number, ms: number) {
  const starts = this.hostFleet.hosts.slice(0, count).map(async host => await this.hostFleet.startHost(host))
  await sleep(ms)
  this.hostFleet.fleet.store.setFault('none')
  await Promise.all(starts)
})

When('all hosts start again while the store takes no writes', async function (this: HostsWorld) {
  const { hosts, fleet } = this.hostFleet
  // What hosts give up as they stop is not written either, as after a power cut.
  fleet.store.setFault('unwritable')
  await Promise.all(hosts.map(async host => await this.hostFleet.stopHost(host)))
  await Promise.all(hosts.map(async host => await this.hostFleet.startHost(host)))
  await sleep(300)
})

When('a host starts, {int} requests come at once and the store is there again after {int} ms', async function (this: HostsWorld, count: number, ms: number) {
  await this.hostFleet.startHost(this.hostFleet.hosts[0]!)
  const calls = Array.from({ length: count }, async () => await call(this, { kind: 'once', host: 1 }))
  await sleep(ms)
  this.hostFleet.fleet.store.setFault('none')
  await Promise.all(calls)
})

When('a request that crashes engines comes {int} times, each time at the next host', async function (this: HostsWorld, times: number) {
  const { hosts, fleet } = this.hostFleet
  const body = 'a question that crashes engines'
  setFaults(this, endpoint => endpoint.engine !== undefined, { crashBody: body })
  for (let index = 0; index < times; index++) {
    await call(this, { kind: 'stream', host: index % hosts.length + 1, adapter: 'a1', body })
    this.crashingRuns = fleet.journal.runs.length
    await sleep(1200)
  }
  setFaults(this, endpoint => endpoint.engine !== undefined, { crashBody: '' })
})

Then('it reached engines at most {int} times', function (this: HostsWorld, times: number) {
  assert.ok(this.crashingRuns <= times, `${this.crashingRuns} times`)
})

Then('the last {int} answers are refusals for good', function (this: HostsWorld, count: number) {
  assert.deepEqual(this.answers.slice(-count).map(({ status }) => status), Array(count).fill(422))
})

When('the answers of the store\'s writes are lost for {int} ms', async function (this: HostsWorld, ms: number) {
  const { store } = this.hostFleet.fleet
  store.setFault('lost')
  await sleep(ms)
  store.setFault('none')
})

/** Every host has a new configuration within this time. */
const newsMs = 500

function addRoute (world: HostsWorld): void {
  const { fleet } = world.hostFleet
  const [route] = fleet.defaultRoutes
  fleet.writeConfiguration({ routes: [...fleet.defaultRoutes, { ...route!, name: 'added', prefix: '/added/' }] })
}

When('a route is added', function (this: HostsWorld) {
  addRoute(this)
})

When('a route is dropped', function (this: HostsWorld) {
  this.hostFleet.fleet.writeConfiguration({})
})

Then('the route is gone from every host within {int} ms', async function (this: HostsWorld, ms: number) {
  const startedAtMs = performance.now()
  for (const [index] of this.hostFleet.hosts.entries()) {
    await waitUntil(async () => await this.hostFleet.readStatus(index + 1, '/added/x') === 404)
  }
  assert.ok(performance.now() - startedAtMs < ms, `it took ${Math.round(performance.now() - startedAtMs)} ms`)
})

When('the store is away for {int} ms and comes back from a copy that was made before {int} streams for {int} adapters and a new route', async function (this: HostsWorld, awayMs: number, streams: number, adapters: number) {
  const { fleet } = this.hostFleet
  const copy = fleet.rows.takeCopy()
  await sendStreams(this, streams, adapters, 2500)
  addRoute(this)
  await sleep(newsMs)
  fleet.store.setFault('reset')
  await sleep(awayMs)
  fleet.restoreStore(copy)
  fleet.store.setFault('none')
  this.hostFleet.lines.length = 0
})

Then('engines got orders since the restore', function (this: HostsWorld) {
  const ordered = new Set(this.hostFleet.listLines('order.load').filter(({ fields }) => fields.verdict === 'accepted').map(({ fields }) => fields.endpointId))
  assert.ok(ordered.size > 0)
})

When('the store forgets its history and a route is added', function (this: HostsWorld) {
  addRoute(this)
  this.hostFleet.fleet.rows.forgetHistory()
})

Then('the route is known to every host within {int} ms', async function (this: HostsWorld, ms: number) {
  const startedAtMs = performance.now()
  for (const [index] of this.hostFleet.hosts.entries()) {
    await waitUntil(async () => await this.hostFleet.readStatus(index + 1, '/added/x') !== 404)
  }
  assert.ok(performance.now() - startedAtMs < ms, `it took ${Math.round(performance.now() - startedAtMs)} ms`)
})

Then('every engine is owned by a host that runs within {int} ms', async function (this: HostsWorld, ms: number) {
  const { fleet, hosts } = this.hostFleet
  const startedAtMs = performance.now()
  await waitUntil(() => {
    const running = new Set(hosts.filter(host => host.process).map(host => host.settings.hostName))
    const owners = fleet.rows.listRows(hostsTable).flatMap(row => {
      const decoded = decodeHostsRow(row.key, row.value!)
      return decoded?.kind === 'owner' && running.has(decoded.row.host) ? [decoded.name] : []
    })
    return fleet.engines.every(({ id }) => owners.includes(id))
  })
  assert.ok(performance.now() - startedAtMs < ms, `it took ${Math.round(performance.now() - startedAtMs)} ms`)
})

Given('a host with {int} ms to stop before a platform with {int} engine', async function (this: HostsWorld, shutdownMs: number, engines: number) {
  this.hostFleet = await HostFleet.prepare(1, { engines })
  this.answers = []
  const host = this.hostFleet.hosts[0]!
  host.settings = { ...host.settings, shutdownMs }
  await this.hostFleet.startHost(host)
  await this.hostFleet.waitForOwners()
})

When('the host stops while a stream of {int} ms runs, and another request follows it on its connection at once', async function (this: HostsWorld, ms: number) {
  const host = this.hostFleet.hosts[0]!
  // An id with this ending requests 8 events.
  const streamId = `${randomBytes(7).toString('hex')}05`
  setFaults(this, () => true, { eventMs: ms / 8 })
  const client = new Client(`http://${host.settings.callersAddress}`, { pipelining: 1 })
  const send = async (requestId: string): Promise<string> => {
    const headers = encodeCallerRequestHeaders({ requestId, host: fleetHost, timeLeftMs: 8000, model: `${fleetModel}/a1` })
    const { body } = await client.request({ method: 'POST', path: `${fleetPaths.stream}x`, headers, body: requestId })
    return await body.text()
  }
  const streamed = send(streamId)
  await waitUntil(() => this.hostFleet.fleet.journal.listRuns(streamId).length > 0)
  const stopped = this.hostFleet.stopHost(host)
  const body = await streamed
  const following = send(createRequestId()).catch((error: Error) => error.message)
  this.answers.push({ requestId: streamId, kind: 'stream', status: 200, body, signature: 's', retryAfterS: undefined, error: undefined, tookMs: 0 })
  await Promise.all([stopped, following])
  await client.destroy()
})

Then('only the stream has run, and it is whole', function (this: HostsWorld) {
  assert.deepEqual(this.hostFleet.fleet.journal.runs.map(({ requestId }) => requestId), [this.answers[0]!.requestId])
  assert.ok(isWhole(this.answers[0]!))
})

When('host {int} starts again, a service\'s entry is removed while it serves on, and {int} requests come to host {int} within {int} ms', async function (this: RemovalWorld, number: number, count: number, _host: number, withinMs: number) {
  const host = this.hostFleet.hosts[number - 1]!
  await this.hostFleet.stopHost(host)
  await this.hostFleet.startHost(host)
  await waitUntil(async () => await this.hostFleet.readStatus(number, `${fleetPaths.idempotent}x`) === 200)
  this.removed = this.hostFleet.fleet.endpoints.find(({ engine }) => !engine)!
  this.hostFleet.fleet.forgetEntry(this.removed)
  this.removedAtMs = performance.now()
  for (let index = 0; index < count; index++) {
    await sleep(withinMs / count)
    await call(this, { kind: 'once', host: number })
  }
})

Then('the service ran none of the requests that came {int} ms after the removal', function (this: RemovalWorld, ms: number) {
  const late = this.hostFleet.fleet.journal.runs.filter(run => run.endpointId === this.removed.id && run.startedAtMs > this.removedAtMs + ms)
  assert.equal(late.length, 0, `${late.length} requests`)
})

When('an engine comes that takes {int} ms to load its model', async function (this: HostsWorld, ms: number) {
  await this.hostFleet.fleet.addEndpoint(engineService, ms)
})

const oddEntry = { service: engineService, address: '127.0.0.1:70000', zone: 'a', slots: 6, state: 'ready', sequence: 1 }
const oddEntryTexts: Readonly<Record<string, string>> = Object.freeze({
  'a deeply nested version': createDeepEntryText({ ...oddEntry, address: '127.0.0.1:9' }),
  'a port of 70000': JSON.stringify(oddEntry),
  'a sequence of 1e300': JSON.stringify({ ...oddEntry, address: '127.0.0.1:9', sequence: 1e300 })
})

When(/^another writer leaves (.+) among the entries and the first engine drains at once$/, function (this: RemovalWorld, odd: string) {
  const { fleet } = this.hostFleet
  fleet.rows.write({ table: endpointsTable, key: 'a-odd', value: Buffer.from(oddEntryTexts[odd]!) })
  this.removed = fleet.engines[0]!
  this.removedAtMs = performance.now()
  fleet.drain(this.removed)
})

Then('the first engine ran none of the requests that came {int} ms after it began to drain', function (this: RemovalWorld, ms: number) {
  const late = this.hostFleet.fleet.journal.runs.filter(run => run.endpointId === this.removed.id && run.startedAtMs > this.removedAtMs + ms)
  assert.equal(late.length, 0, `${late.length} requests`)
})

When(/^services refuse the first request on each connection and repeat that (as it was|without an id) before each later answer$/, function (this: HostsWorld, how: string) {
  setFaults(this, endpoint => endpoint.engine === undefined, { repeatedRefusals: how === 'as it was' ? 'same' : 'unnamed' })
})

When('{int} {string} requests come to host {int}, {int} at a time', async function (this: HostsWorld, count: number, kind: CallKind, host: number, width: number) {
  for (let sent = 0; sent < count; sent += width) await Promise.all(Array.from({ length: width }, async () => await call(this, { kind, host, timeLeftMs: 1500 })))
})

const refusalStatuses = [408, 421, 429, 503]

Then('no request that was refused has run, and no {string} request has run twice', async function (this: HostsWorld, kind: CallKind) {
  await sleep(100)
  const { journal } = this.hostFleet.fleet
  assert.deepEqual(this.answers.filter(({ requestId, status }) => refusalStatuses.includes(status) && journal.listRuns(requestId).length > 0), [])
  assert.deepEqual(this.answers.filter(answer => answer.kind === kind && journal.listRuns(answer.requestId).length > 1), [])
})

const secondEngineFaults: Readonly<Record<string, Partial<EndpointFaults>>> = Object.freeze({
  'status 500': { errors: 1 },
  'neither a length nor an event': { unframed: 1, emptyStreams: 1 },
  'a refusal': { retryAfter: '0' }
})

When(/^the streams of the first engine break off, and the second answers with (.+)$/, function (this: HostsWorld, error: string) {
  const [first, second] = this.hostFleet.fleet.engines
  first!.server.setFaults({ cuts: 1 })
  second!.server.setFaults(secondEngineFaults[error]!)
})

Then('no stream holds anything but its own events, and none that lacks some looks complete', function (this: HostsWorld) {
  for (const answer of this.answers) {
    const rest = answer.body.replaceAll(new RegExp(`id: \\d+\\ndata: ${answer.requestId} \\d+\\n\\n`, 'g'), '')
    if (answer.status === 200) assert.equal(rest, '', JSON.stringify(answer))
    if (looksWhole(answer)) assert.ok(isWhole(answer), JSON.stringify(answer))
  }
  assert.ok(this.answers.some(answer => answer.status === 200 && !isWhole(answer)), 'no stream broke off')
})
