/** Steps of hosts that stop while requests run, or come late. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { RecentDurations } from '../../src/core/recentDurations.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import type { StoreFault } from '../../src/standin/fleet/storeServer.js'
import { HostFleet } from '../support/hostFleet.js'
import { call, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

interface StoppingWorld extends HostsWorld {
  sent: Array<Promise<void>>
  stopMs: number
}

interface DurationsWorld {
  durations: RecentDurations
}

const kinds: readonly CallKind[] = ['resumable', 'once', 'idempotent', 'stream']
/** An id with this ending requests 8 events. */
const eventCount = 8
const longStreamId = '00000000000005'

Given('{int} hosts with {int} ms to stop before {int} engine and {int} services', async function (this: StoppingWorld, hosts: number, shutdownMs: number, engines: number, services: number) {
  this.hostFleet = await HostFleet.prepare(hosts, { engines, services })
  this.answers = []
  // The callers' deadlines are longer than the hosts have to stop.
  this.hostFleet.fleet.writeConfiguration({ routes: this.hostFleet.fleet.defaultRoutes.map(route => ({ ...route, timeoutMs: 20_000, patienceMs: 20_000 })) })
  for (const host of this.hostFleet.hosts) {
    host.settings = { ...host.settings, shutdownMs }
    await this.hostFleet.startHost(host)
  }
  await this.hostFleet.waitForOwners()
})

When('every endpoint takes requests and answers nothing', async function (this: StoppingWorld) {
  await Promise.all(kinds.map(async kind => await call(this, { kind, host: 1, adapter: 'a1' })))
  setFaults(this, () => true, { silentRuns: 1 })
  this.answers = []
})

When('{int} requests of all kinds with a deadline of {int} ms are sent to host 1', async function (this: StoppingWorld, count: number, timeLeftMs: number) {
  const { runs } = this.hostFleet.fleet.journal
  const before = runs.length
  this.sent = Array.from({ length: count }, async (_, index) => await call(this, { kind: kinds[index % kinds.length]!, host: 1, adapter: 'a1', timeLeftMs }))
  await waitUntil(() => runs.length >= before + count)
})

When('host {int} stops', { timeout: 20_000 }, async function (this: StoppingWorld, host: number) {
  await this.hostFleet.stopHost(this.hostFleet.hosts[host - 1]!)
  await Promise.all(this.sent)
})

Then('each of them is answered with {int}, and runs at most once', function (this: StoppingWorld, status: number) {
  assert.deepEqual(this.answers.map(answer => `${answer.kind} ${answer.status} ${answer.error ?? ''}`), this.answers.map(({ kind }) => `${kind} ${status} `))
  for (const { requestId } of this.answers) assert.equal(this.hostFleet.fleet.journal.listRuns(requestId).length, 1)
})

When('the store is {word}, and host 1 stops {int} ms later', { timeout: 20_000 }, async function (this: StoppingWorld, fault: StoreFault, ms: number) {
  const { store } = this.hostFleet.fleet
  store.setFault(fault)
  await sleep(ms)
  const startedAtMs = performance.now()
  await this.hostFleet.stopHost(this.hostFleet.hosts[0]!)
  this.stopMs = performance.now() - startedAtMs
  store.setFault('none')
})

Then('the stop takes less than {int} ms', function (this: StoppingWorld, ms: number) {
  assert.ok(this.stopMs < ms, `${this.stopMs} ms`)
})

When('streams take {int} ms at host 1, as several have shown', { timeout: 20_000 }, async function (this: StoppingWorld, ms: number) {
  await call(this, { kind: 'stream', host: 1, adapter: 'a1' })
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: ms / (eventCount + 1) })
  await Promise.all(Array.from({ length: 6 }, async (_, index) => await call(this, { kind: 'stream', host: 1, adapter: 'a1', timeLeftMs: 20_000, requestId: `0${index}${longStreamId}` })))
  await call(this, { kind: 'once', host: 1 })
})

When('host 1 stops, and {int} ms later a stream and a call with a deadline of {int} ms are sent to it', { timeout: 20_000 }, async function (this: StoppingWorld, ms: number, timeLeftMs: number) {
  this.answers = []
  const stopped = this.hostFleet.stopHost(this.hostFleet.hosts[0]!)
  await sleep(ms)
  await Promise.all([call(this, { kind: 'stream', host: 1, adapter: 'a1', timeLeftMs, requestId: `ff${longStreamId}` }), call(this, { kind: 'once', host: 1, timeLeftMs })])
  await stopped
})

Then('the stream is refused within {int} ms with a time to come back, and never runs', function (this: StoppingWorld, ms: number) {
  const answer = this.answers.find(({ kind }) => kind === 'stream')!
  assert.equal(`${answer.status} ${answer.error ?? ''}`, '503 ')
  assert.ok(answer.retryAfterS !== undefined && answer.tookMs < ms)
  assert.deepEqual(this.hostFleet.fleet.journal.listRuns(answer.requestId), [])
})

Then('the call is answered as a whole', function (this: StoppingWorld) {
  assert.ok(isWhole(this.answers.find(({ kind }) => kind === 'once')!))
})

Given('{int} requests that took {int} ms, and then {int} that took {int} ms and {int} that took {int} ms', function (this: DurationsWorld, old: number, oldMs: number, short: number, shortMs: number, long: number, longMs: number) {
  this.durations = new RecentDurations()
  for (const [count, ms] of [[old, oldMs], [short, shortMs], [long, longMs]] as const) {
    for (let index = 0; index < count; index++) this.durations.record('route', ms)
  }
})

Then('95% of its requests end within {int} ms, and 99% within {int} ms', function (this: DurationsWorld, common: number, rare: number) {
  assert.deepEqual([0.95, 0.99].map(fraction => this.durations.findQuantileMs('route', fraction)), [common, rare])
})
