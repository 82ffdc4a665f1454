/** Steps of hosts before a stand-in of the users' platform. */
import assert from 'node:assert/strict'
import { randomBytes } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { decodeHostsRow, hostsTable } from '../../src/schemas/hostRows.js'
import { countEvents } from '../../src/standin/fleet/endpointServer.js'
import type { EndpointFaults } from '../../src/standin/fleet/endpointServer.js'
import { engineService, fleetPaths } from '../../src/standin/fleet/startFleet.js'
import type { FleetEndpoint } from '../../src/standin/fleet/startFleet.js'
import type { StoreFault } from '../../src/standin/fleet/storeServer.js'
import { HostFleet } from '../support/hostFleet.js'
import type { CallKind, CallOptions, FleetAnswer } from '../support/hostFleet.js'
import { waitUntil } from '../support/waitUntil.js'

interface HostsWorld {
  hostFleet: HostFleet
  answers: FleetAnswer[]
  kinds: Map<string, CallKind>
  crashed: FleetEndpoint
  crashingRuns: number
}

async function startHosts (world: HostsWorld, hosts: number, engines: number, slots = 4): Promise<void> {
  world.hostFleet = await HostFleet.start(hosts, { engines, adapterSlots: slots })
  world.answers = []
  world.kinds = new Map()
}

async function call (world: HostsWorld, options: CallOptions): Promise<void> {
  const answer = await world.hostFleet.call(options)
  world.answers.push(answer)
  world.kinds.set(answer.requestId, options.kind)
}

function isStream (world: HostsWorld, answer: FleetAnswer): boolean {
  const kind = world.kinds.get(answer.requestId)
  return kind === 'stream' || kind === 'resumable'
}

function listEventIds (answer: FleetAnswer): number[] {
  return [...answer.body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
}

/** Whether the caller has to take the answer for a whole success. */
function looksWhole (answer: FleetAnswer): boolean {
  return answer.status === 200 && answer.error === undefined
}

function isWhole (world: HostsWorld, answer: FleetAnswer): boolean {
  if (!looksWhole(answer) || answer.signature === undefined) return false
  if (!isStream(world, answer)) return answer.body === `done ${answer.requestId}`
  const ids = listEventIds(answer)
  return ids.length === countEvents(answer.requestId) && ids.every((id, index) => id === index + 1)
}

/** Callers meet hosts that run, each in turn. */
function pickRunning ({ hostFleet: { hosts } }: HostsWorld, index: number): number {
  const running = hosts.flatMap((host, position) => host.process ? [position + 1] : [])
  return running[index % running.length]!
}

function setFaults (world: HostsWorld, isStruck: (endpoint: FleetEndpoint) => boolean, faults: Partial<EndpointFaults>): void {
  for (const endpoint of world.hostFleet.fleet.endpoints) if (isStruck(endpoint)) endpoint.server.setFaults(faults)
}

After(async function (this: HostsWorld) {
  await this.hostFleet?.stop()
})

Given(/^(\d+) hosts? before a platform with (\d+) engines?$/, async function (this: HostsWorld, hosts: string, engines: string) {
  await startHosts(this, Number(hosts), Number(engines))
})

Given(/^(\d+) hosts? before a platform with (\d+) engines? of (\d+) adapter slots$/, async function (this: HostsWorld, hosts: string, engines: string, slots: string) {
  await startHosts(this, Number(hosts), Number(engines), Number(slots))
})

Given('a platform with {int} engines whose store is {word}', async function (this: HostsWorld, engines: number, fault: StoreFault) {
  this.hostFleet = await HostFleet.prepare(2, { engines })
  this.answers = []
  this.kinds = new Map()
  this.hostFleet.fleet.store.setFault(fault)
})

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

When('each kind of request is sent through each host for adapter {string}', async function (this: HostsWorld, adapter: string) {
  const kinds = Object.keys(fleetPaths) as CallKind[]
  await Promise.all(this.hostFleet.hosts.flatMap((_, index) => kinds.map(async kind => await call(this, { kind, host: index + 1, adapter }))))
})

When('{int} streams for {int} adapters are sent within {int} ms', async function (this: HostsWorld, count: number, adapters: number, withinMs: number) {
  await sendStreams(this, count, adapters, withinMs)
})

async function sendStreams (world: HostsWorld, count: number, adapters: number, withinMs: number): Promise<void> {
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    await sleep(index * withinMs / count)
    await call(world, { kind: 'resumable', host: pickRunning(world, index), adapter: `a${index % adapters + 1}` })
  }))
}

When('{int} streams of kind {string} are sent for adapter {string}', async function (this: HostsWorld, count: number, kind: CallKind, adapter: string) {
  await Promise.all(Array.from({ length: count }, async (_, index) => await call(this, { kind, host: index % this.hostFleet.hosts.length + 1, adapter })))
})

When('{int} requests of kind {string} are sent', async function (this: HostsWorld, count: number, kind: CallKind) {
  this.answers = []
  for (let index = 0; index < count; index++) await call(this, { kind, host: index % this.hostFleet.hosts.length + 1 })
})

When('{int} requests of kind {string} with {int} ms left are sent', async function (this: HostsWorld, count: number, kind: CallKind, timeLeftMs: number) {
  await Promise.all(Array.from({ length: count }, async () => await call(this, { kind, host: 1, timeLeftMs })))
})

When('a caller sends a request that names another endpoint to be expected', async function (this: HostsWorld) {
  await call(this, { kind: 'once', host: 1, headers: { 'Expect-Instance': 'i-none', 'Expect-Version': '99', 'Server-Signature': 'forged' } })
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

Then('at most {int} repeats were sent in all', function (this: HostsWorld, count: number) {
  const repeats = this.hostFleet.listLines('request.retried')
  assert.ok(repeats.length <= count, `${repeats.length} repeats`)
})

When('engine {int} says that it leaves', function (this: HostsWorld, number: number) {
  this.hostFleet.fleet.drain(this.hostFleet.fleet.engines[number - 1]!)
})

When('{int} ms pass', async function (this: HostsWorld, ms: number) {
  await sleep(ms)
})

When('version {int} of adapter {string} is declared', function (this: HostsWorld, version: number, adapter: string) {
  this.hostFleet.fleet.declareVersion(adapter, version)
})

When('a caller sends a stream and leaves after {int} ms', async function (this: HostsWorld, ms: number) {
  const controller = new AbortController()
  const sent = call(this, { kind: 'resumable', host: 1, signal: controller.signal, requestId: '00000000000000ff' })
  await waitUntil(() => this.hostFleet.fleet.journal.runs.length > 0)
  await sleep(ms)
  controller.abort()
  await sent
})

/** The host that owns the first engine. */
function findOwner (world: HostsWorld): number {
  const { fleet, hosts } = world.hostFleet
  const owner = fleet.rows.listRows(hostsTable).map(row => decodeHostsRow(row.key, row.value!)).find(row => row?.kind === 'owner' && row.name === fleet.engines[0]!.id)
  assert.ok(owner?.kind === 'owner')
  return hosts.findIndex(host => host.settings.hostName === owner.row.host) + 1
}

When('streams of {int} s run for {int} adapters through hosts that do not own the engine', async function (this: HostsWorld, seconds: number, adapters: number) {
  const owner = findOwner(this)
  const others = this.hostFleet.hosts.map((_, index) => index + 1).filter(number => number !== owner)
  // An id that ends so asks for 5 events.
  const events = 5
  setFaults(this, () => true, { eventMs: seconds * 1000 / events })
  for (let index = 0; index < adapters; index++) {
    call(this, { kind: 'stream', host: others[index % others.length]!, adapter: `long${index}`, requestId: `${randomBytes(7).toString('hex')}02`, timeLeftMs: 8000 })
  }
  await waitUntil(() => this.hostFleet.fleet.journal.runs.length === adapters)
  setFaults(this, () => true, { eventMs: 0 })
})

When('a stream of kind {string} has run for {int} ms and its engine crashes', async function (this: HostsWorld, kind: CallKind, ms: number) {
  const { fleet } = this.hostFleet
  // An id that ends so asks for 8 events, of which the engine sends half before it crashes.
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

Then('at least {int} of the last {int} streams are whole', function (this: HostsWorld, least: number, count: number) {
  const whole = this.answers.slice(-count).filter(answer => isWhole(this, answer))
  assert.ok(whole.length >= least, `${whole.length} of ${count}`)
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

function addRoute (world: HostsWorld): void {
  const { fleet } = world.hostFleet
  const [route] = fleet.defaultRoutes
  fleet.writeConfiguration({ routes: [...fleet.defaultRoutes, { ...route!, name: 'added', prefix: '/added/' }] })
}

When('a route is added', function (this: HostsWorld) {
  addRoute(this)
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

Then('every answer is whole and signed', function (this: HostsWorld) {
  for (const answer of this.answers) assert.ok(isWhole(this, answer), JSON.stringify(answer))
})

Then('every answer is whole or refused with a time to come back', function (this: HostsWorld) {
  for (const answer of this.answers) {
    const isRefused = answer.status === 503 && answer.retryAfterS !== undefined && this.hostFleet.fleet.journal.listRuns(answer.requestId).length === 0
    const isUnreached = answer.status === 0 && this.hostFleet.fleet.journal.listRuns(answer.requestId).length === 0
    assert.ok(isWhole(this, answer) || isRefused || isUnreached, JSON.stringify(answer))
  }
})

Then(/^at least (\d+) (?:streams|answers) are whole$/, function (this: HostsWorld, count: string) {
  const whole = this.answers.filter(answer => isWhole(this, answer)).length
  assert.ok(whole >= Number(count), `${whole} of ${this.answers.length}`)
})

Then('every answer that is whole belongs to its request', function (this: HostsWorld) {
  for (const answer of this.answers) if (looksWhole(answer)) assert.equal(answer.body, `done ${answer.requestId}`)
})

Then('no answer that is not whole looks whole', function (this: HostsWorld) {
  for (const answer of this.answers) if (looksWhole(answer)) assert.ok(isWhole(this, answer), JSON.stringify(answer))
})

Then('no answer joins or repeats events', function (this: HostsWorld) {
  for (const answer of this.answers) listEventIds(answer).forEach((id, index) => assert.equal(id, index + 1, JSON.stringify(answer)))
  for (const answer of this.answers) if (looksWhole(answer)) assert.ok(isWhole(this, answer), JSON.stringify(answer))
})

Then('some streams were resumed', function (this: HostsWorld) {
  assert.ok(this.hostFleet.fleet.journal.runs.some(run => run.fromEvent > 0))
})

Then('no request ran more than once', function (this: HostsWorld) {
  for (const answer of this.answers) assert.ok(this.hostFleet.fleet.journal.listRuns(answer.requestId).length <= 1, answer.requestId)
})

Then('no endpoint saw what no host may do', function (this: HostsWorld) {
  assert.deepEqual(this.hostFleet.fleet.listViolations(), [])
})

When('an engine comes that takes {int} ms to load its model', async function (this: HostsWorld, ms: number) {
  await this.hostFleet.fleet.addEndpoint(engineService, ms)
})

Then('engine {int} ran some of the last {int}', function (this: HostsWorld, number: number, count: number) {
  const engine = this.hostFleet.fleet.engines[number - 1]!
  assert.ok(this.hostFleet.fleet.journal.runs.slice(-count).some(run => run.endpointId === engine.id))
})

Then('engine {int} ran none of the last {int}', function (this: HostsWorld, number: number, count: number) {
  const { fleet } = this.hostFleet
  const { id } = fleet.engines[number - 1]!
  for (const answer of this.answers.slice(-count)) for (const run of fleet.journal.listRuns(answer.requestId)) assert.notEqual(run.endpointId, id)
})

Then('the last {int} ran on version {int}', function (this: HostsWorld, count: number, version: number) {
  for (const answer of this.answers.slice(-count)) {
    const runs = this.hostFleet.fleet.journal.listRuns(answer.requestId)
    assert.deepEqual(runs.map(run => run.adapterVersion), [version], JSON.stringify(answer))
  }
})

Then('the engine stops its run within {int} ms', async function (this: HostsWorld, ms: number) {
  const { runs } = this.hostFleet.fleet.journal
  const startedAtMs = performance.now()
  await waitUntil(() => runs.every(run => run.outcome !== 'running'))
  assert.ok(performance.now() - startedAtMs < ms)
  assert.equal(runs.at(-1)?.outcome, 'left')
})

Then('every answer has status {int} and came within {int} ms', function (this: HostsWorld, status: number, ms: number) {
  for (const answer of this.answers) {
    assert.equal(answer.status, status)
    assert.ok(answer.tookMs < ms, `${answer.tookMs} ms`)
  }
})
