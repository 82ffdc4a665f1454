/** Steps of hosts that lose their links to endpoints while everything else reaches them. */
import assert from 'node:assert/strict'
import { randomBytes } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { LoopbackProxy } from '../../soak/loopbackProxy.js'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { isServiceStranded } from '../../src/core/endpointReachability.js'
import type { LinkActivity } from '../../src/ports/endpointLink.js'
import { RequestForwarder } from '../../src/tasks/forwarding/requestForwarder.js'
import { decodeHostsRow, hostsTable } from '../../src/schemas/hostRows.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { HostFleet } from '../support/hostFleet.js'
import { call, findEndpoint, findOwner, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

interface StrandedWorld extends HostsWorld {
  /** The link of each host to each endpoint, by `HOST ENDPOINT_ID`. */
  links: Map<string, LoopbackProxy>
  streams: Array<Promise<void>>
  strandedHost: string
  /** From the start of the stop to the end of the process, in wall-clock milliseconds. */
  stopSpan: { beginMs: number, endMs: number }
}

interface ActivitiesWorld {
  activities: LinkActivity[]
}

interface ForwarderWorld {
  clock: VirtualClock
  silentMs: number
  /** Arguments of the calls that gave up requests. */
  givenUpSinceMs: number[]
}

const kinds: readonly CallKind[] = ['resumable', 'once', 'idempotent', 'stream']

After(async function (this: StrandedWorld) {
  for (const link of this.links?.values() ?? []) {
    await link.setRefusing(false)
    await link.stop()
  }
})

Given('{int} hosts with links of their own to {int} engines and {int} services', async function (this: StrandedWorld, hosts: number, engines: number, services: number) {
  this.hostFleet = await HostFleet.prepare(hosts, { engines, services })
  this.answers = []
  this.links = new Map()
  for (const { settings } of this.hostFleet.hosts) {
    for (const { id, address } of this.hostFleet.fleet.endpoints) this.links.set(`${settings.hostName} ${id}`, await LoopbackProxy.start(address))
  }
  this.hostFleet.findRoute = (host, endpointId, address) => this.links.get(`${host} ${endpointId}`)?.address ?? address
  await Promise.all(this.hostFleet.hosts.map(async host => await this.hostFleet.startHost(host)))
  await this.hostFleet.waitForOwners()
  // Connections to all endpoints are open before the fault.
  for (let host = 1; host <= hosts; host++) await sendAll(this, host, 12, 400)
})

async function sendAll (world: StrandedWorld, host: number, count: number, withinMs: number): Promise<void> {
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    await sleep(index * withinMs / count)
    await call(world, { kind: kinds[index % kinds.length]!, host, adapter: `a${index % 2 + 1}` })
  }))
}

async function disturbLinks (world: StrandedWorld, hostName: string, fault: string): Promise<void> {
  world.strandedHost = hostName
  for (const [name, link] of world.links) {
    if (!name.startsWith(`${hostName} `)) continue
    await link.setRefusing(true)
    if (fault === 'hang') link.setFault('silent')
    else if (fault !== 'live on while new ones are refused') link.setFault('reset')
  }
}

When(/^the links of host (\d+) to all endpoints (hang|are reset and refused|live on while new ones are refused)$/, async function (this: StrandedWorld, host: string, fault: string) {
  await disturbLinks(this, this.hostFleet.hosts[Number(host) - 1]!.settings.hostName, fault)
})

When('the links of the first engine\'s owner to all endpoints hang', async function (this: StrandedWorld) {
  await disturbLinks(this, this.hostFleet.hosts[findOwner(this) - 1]!.settings.hostName, 'hang')
  // Requests show the host that its links are gone.
  sendAll(this, findOwner(this), 12, 600).catch(() => {})
})

When('the links of all hosts to all endpoints are reset and refused', async function (this: StrandedWorld) {
  for (const { settings } of this.hostFleet.hosts) await disturbLinks(this, settings.hostName, 'are reset and refused')
  for (let host = 1; host <= this.hostFleet.hosts.length; host++) await sendAll(this, host, 8, 300)
})

When('the links of host {int} are back', async function (this: StrandedWorld, host: number) {
  const { hostName } = this.hostFleet.hosts[host - 1]!.settings
  for (const [name, link] of this.links) {
    if (!name.startsWith(`${hostName} `)) continue
    link.setFault('none')
    await link.setRefusing(false)
  }
})

When('{int} requests of all kinds are sent to host {int} within {int} ms', async function (this: StrandedWorld, count: number, host: number, withinMs: number) {
  await sendAll(this, host, count, withinMs)
})

When('{int} resumable streams of {int} ms begin at host {int}', async function (this: StrandedWorld, count: number, ms: number, host: number) {
  // An id with this ending requests 8 events.
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: ms / 8 })
  const ids = Array.from({ length: count }, () => `${randomBytes(7).toString('hex')}05`)
  this.answers = []
  this.streams = ids.map(async (requestId, index) => await call(this, { kind: 'resumable', host, adapter: `a${index % 2 + 1}`, requestId, timeLeftMs: 12_000 }))
  await waitUntil(() => ids.every(id => this.hostFleet.fleet.journal.listRuns(id).length > 0))
  await sleep(ms / 4)
})

When('endpoint {int} of {string} is silent for {int} ms while {int} requests of all kinds are sent to host {int}', async function (this: StrandedWorld, number: number, service: string, ms: number, count: number, host: number) {
  const { id } = findEndpoint(this, number, service)
  const links = [...this.links].filter(([name]) => name.endsWith(` ${id}`)).map(([, link]) => link)
  const sent = sendAll(this, host, count, ms)
  for (const link of links) {
    link.setFault('silent')
    await link.setRefusing(true)
  }
  await sleep(ms)
  for (const link of links) {
    link.setFault('none')
    await link.setRefusing(false)
  }
  await sent
})

When('{int} requests that may run once only are sent to host {int} within {int} ms, as host {int} begins to stop', { timeout: 20_000 }, async function (this: StrandedWorld, count: number, host: number, withinMs: number, stopping: number) {
  const beginMs = Date.now()
  const stopped = this.hostFleet.stopHost(this.hostFleet.hosts[stopping - 1]!).then(() => Date.now())
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    await sleep(index * withinMs / count)
    await call(this, { kind: 'once', host })
  }))
  this.stopSpan = { beginMs, endMs: await stopped }
})

function listSentThrough ({ hostFleet }: StrandedWorld, host: number, through: number): number[] {
  const { hosts } = hostFleet
  const { hostName } = hosts[host - 1]!.settings
  const throughName = hosts[through - 1]!.settings.hostName
  return hostFleet.listLines('request.served').filter(line => line.host === hostName && JSON.stringify(line.fields.via ?? '').includes(throughName)).map(({ time }) => time)
}

Then('host {int} has sent requests through host {int}', function (this: StrandedWorld, host: number, through: number) {
  assert.ok(listSentThrough(this, host, through).length > 0)
})

Then('each of the last {int} requests is answered, or refused and not run', function (this: StrandedWorld, count: number) {
  const wrong = this.answers.slice(-count).filter(answer => !isWhole(answer) && (answer.status !== 503 || this.hostFleet.fleet.journal.listRuns(answer.requestId).length > 0))
  assert.deepEqual(wrong.map(({ status, error, body }) => `${status} ${error ?? ''} ${body.slice(0, 80)}`), [])
})

Then('host {int} has sent none through host {int} in the last {int} ms of its stop', function (this: StrandedWorld, host: number, through: number, ms: number) {
  const { endMs } = this.stopSpan
  assert.deepEqual(listSentThrough(this, host, through).filter(time => time > endMs - ms).map(time => endMs - time), [])
})

Then('at least {int} of the last {int} answers are whole, without a wait of {int} ms', function (this: StrandedWorld, least: number, count: number, ms: number) {
  const last = this.answers.slice(-count)
  const problems = last.filter(answer => !isWhole(answer) || answer.tookMs >= ms).map(({ kind, status, error, tookMs, body }) => `${kind} ${status} ${error ?? ''} ${Math.round(tookMs)} ms ${body.slice(0, 80)}`)
  assert.ok(count - problems.length >= least, problems.join('\n'))
})

Then('the last {int} requests were sent to endpoints by host {int} itself', function (this: StrandedWorld, count: number, host: number) {
  const { hostName } = this.hostFleet.hosts[host - 1]!.settings
  const last = this.hostFleet.listLines('request.served').filter(line => line.host === hostName).slice(-count)
  assert.deepEqual(last.flatMap(({ fields }) => fields.via ?? []), [])
  assert.ok(this.answers.slice(-count).every(isWhole))
})

Then('the streams are whole, and none has events twice', { timeout: 20_000 }, async function (this: StrandedWorld) {
  await Promise.all(this.streams)
  assert.deepEqual(this.answers.filter(answer => !isWhole(answer)).map(({ status, error, body }) => `${status} ${error ?? ''} ${body}`), [])
})

Then('every engine is owned by another host within {int} ms', async function (this: StrandedWorld, ms: number) {
  const { fleet } = this.hostFleet
  const startedAtMs = performance.now()
  await waitUntil(() => {
    const owners = fleet.rows.listRows(hostsTable).flatMap(row => decodeHostsRow(row.key, row.value!) ?? []).filter(row => row.kind === 'owner')
    return fleet.engines.every(({ id }) => owners.some(owner => owner.name === id && owner.row.host !== '' && owner.row.host !== this.strandedHost))
  })
  assert.ok(performance.now() - startedAtMs < ms, `it took ${Math.round(performance.now() - startedAtMs)} ms`)
})

Then('the last {int} are refused within {int} ms, with a time to come back', function (this: StrandedWorld, count: number, ms: number) {
  const problems = this.answers.slice(-count).filter(({ status, retryAfterS, tookMs }) => status !== 503 || retryAfterS === undefined || tookMs >= ms)
  assert.deepEqual(problems.map(({ kind, status, tookMs, error }) => `${kind} ${status} ${Math.round(tookMs)} ms ${error ?? ''}`), [])
})

Then('no endpoint is taken for crashed', function (this: StrandedWorld) { assert.deepEqual(this.hostFleet.listLines('endpoint.crashed'), []) })

Then('no host counts as stranded', function (this: StrandedWorld) { assert.deepEqual(this.hostFleet.listLines('host.stranded'), []) })

Given('a host that has forwarded a request to a peer, and got nothing for {int} ms', function (this: ForwarderWorld, silentMs: number) {
  this.clock = new VirtualClock()
  this.givenUpSinceMs = []
  this.silentMs = silentMs
})

When(/^the peer responds to (no ping|pings)$/, async function (this: ForwarderWorld, pings: string) {
  const row = { host: 'host-2', address: '10.0.0.2', zone: 'a', session: 'life', isLeaving: false }
  const link = {
    activity: { lastContactAtMs: -Infinity, waitingSinceMs: 0, connectFailingSinceMs: undefined }, busy: 1, hasRoom: true, probe: async () => 'open' as const, giveUpSilent: (sinceMs: number) => { this.givenUpSinceMs.push(sinceMs) }, close: () => {}, send: () => ({ cancel: () => {}, resume: () => {} })
  }
  const forwarder = new RequestForwarder({
    clock: this.clock, clusterView: { hosts: new Map([[row.host, { row, version: 1 }]]) }, own: { host: 'host-1', zone: 'a' }, isStranded: () => true, openLink: () => link, isRunning: async () => pings === 'pings', random: () => 0
  })
  assert.equal(forwarder.selectPeer([])?.row.host, row.host)
  forwarder.start()
  await this.clock.runUntilSettled(this.silentMs)
  forwarder.stop()
})

Then(/^the forwarded request is (given up|not touched)$/, function (this: ForwarderWorld, fate: string) {
  assert.equal(this.givenUpSinceMs.length > 0, fate === 'given up')
})

Given('a service with two endpoints whose connections fail since {int} ms, and a third one', function (this: ActivitiesWorld, failingMs: number) {
  const failing = { lastContactAtMs: -failingMs - 1000, waitingSinceMs: undefined, connectFailingSinceMs: -failingMs }
  this.activities = [failing, failing]
})

When('the third was last heard {int} ms ago', function (this: ActivitiesWorld, heardMs: number) {
  this.activities.push({ lastContactAtMs: -heardMs, waitingSinceMs: undefined, connectFailingSinceMs: undefined })
})

Then(/^the host (reaches|has lost) the service$/, function (this: ActivitiesWorld, state: string) {
  assert.equal(isServiceStranded(this.activities, 0), state === 'has lost')
})
