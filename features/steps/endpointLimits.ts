/** Steps for limits that endpoints name in their responses: the requests a second that they take from all hosts together. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { ClusterView } from '../../src/core/clusterView.js'
import { EndpointHealth } from '../../src/core/endpointHealth.js'
import { EndpointLimit } from '../../src/core/endpointLimit.js'
import { EndpointNotices } from '../../src/core/endpointNotices.js'
import { decodePlatformRow } from '../../src/platform/decodePlatformRow.js'
import { decodeAnswerHead } from '../../src/platform/requestWire.js'
import type { CallerRequest, ResponseHead } from '../../src/schemas/callerRequest.js'
import { encodeHostsRow, formatOwnerKey, hostsTable } from '../../src/schemas/hostRows.js'
import type { EndpointEntry } from '../../src/schemas/routing.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind, FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import { createConfiguration, engineService, fleetModel } from '../../src/standin/fleet/startFleet.js'
import { EngineSelector } from '../../src/tasks/proxy/engineSelector.js'
import type { EndpointSelection } from '../../src/tasks/proxy/endpointSelector.js'
import type { ReservationClient } from '../../src/tasks/proxy/reservationClient.js'
import type { CallOptions } from '../support/hostFleet.js'
import { findEndpoint, findOwner, pickRunning } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface LimitWorld extends HostsWorld {
  /** When endpoints were last told to change their limits, in milliseconds of the monotonic clock. */
  reportedAtMs: number
  /** Since when the limits that were checked have had to be held to. */
  heldFromMs: number
  /** Requests of the last batch, with the time at which each was sent. */
  calls: { sentAtMs: number, answer: FleetAnswer }[]
  /** Arrivals that the last check counted. */
  countedArrivals: number
}

interface StatementWorld {
  limit: EndpointLimit
}

/** Window of the pages' rule, and what may arrive within it. */
const windowMs = 4000
const allowedRatio = 1.5
const allowedExtra = 5

interface SelectorWorld {
  selector: EngineSelector
  engines: EndpointEntry[]
  selections: EndpointSelection[]
}

interface HeadWorld {
  head: ResponseHead
}

When('endpoint {int} of {string} names a limit of {string} requests a second', function (this: LimitWorld, number: number, service: string, limit: string) {
  findEndpoint(this, number, service).server.setFaults({ limit })
  this.reportedAtMs = performance.now()
})

When('endpoint {int} of {string} stops naming a limit', function (this: LimitWorld, number: number, service: string) {
  findEndpoint(this, number, service).server.setFaults({ limit: '' })
  this.reportedAtMs = performance.now()
})

When('half of the streams of endpoint {int} of {string} break off', function (this: HostsWorld, number: number, service: string) {
  findEndpoint(this, number, service).server.setFaults({ cuts: 0.5 })
})

When('the owner of the first engine is stopped', async function (this: HostsWorld) {
  await this.hostFleet.stopHost(this.hostFleet.hosts[findOwner(this) - 1]!)
})

When('the owner of the first engine sends nothing more', function (this: HostsWorld) {
  const { hostName } = this.hostFleet.hosts[findOwner(this) - 1]!.settings
  this.hostFleet.isLost = (_message, sender) => sender === hostName
})

When('the network loses {int}% of the messages', function (this: HostsWorld, percent: number) {
  let sent = 0
  this.hostFleet.isLost = () => ++sent * percent % 100 < percent
})

When(/^hosts ([\d, and]+) send nothing more$/, function (this: HostsWorld, numbers: string) {
  const names = numbers.match(/\d+/g)!.map(number => this.hostFleet.hosts[Number(number) - 1]!.settings.hostName)
  this.hostFleet.isLost = (_message, sender) => names.includes(sender)
})

When(/^callers send (\d+) requests of kind "(\w+)" a second through all (?:running )?hosts for (\d+) ms$/, { timeout: 40_000 }, async function (this: LimitWorld, rate: string, kind: CallKind, ms: string) {
  const calls: Promise<{ sentAtMs: number, answer: FleetAnswer }>[] = []
  const send = async (index: number): Promise<{ sentAtMs: number, answer: FleetAnswer }> => {
    const sentAtMs = performance.now()
    return { sentAtMs, answer: await this.hostFleet.call({ kind, host: pickRunning(this, index), adapter: `a${index % adapterCount + 1}` }) }
  }
  const count = Number(ms) * Number(rate) / 1000
  let dueAtMs = performance.now()
  for (let index = 0; index < count; index++) {
    calls.push(send(index))
    dueAtMs = Math.max(dueAtMs, performance.now() - maxLateMs) + 1000 / Number(rate)
    await sleep(Math.max(0, dueAtMs - performance.now()))
  }
  this.calls = await Promise.all(calls)
})

const adapterCount = 3
/** Callers that are this late, as the machine gave them no time, don't send what they missed in one burst. */
const maxLateMs = 100

Given('all hosts have served each adapter and each service', { timeout: 40_000 }, async function (this: LimitWorld) {
  const repeat = async (options: CallOptions): Promise<void> => {
    while (!isWhole(await this.hostFleet.call(options))) await sleep(50)
  }
  await Promise.all(this.hostFleet.hosts.map(async (_, index) => {
    const host = index + 1
    for (let adapter = 1; adapter <= adapterCount; adapter++) await repeat({ kind: 'stream', host, adapter: `a${adapter}` })
    await repeat({ kind: 'once', host })
  }))
})

function listArrivals ({ hostFleet: { fleet } }: HostsWorld, endpointId: string): number[] {
  return fleet.journal.arrivals.filter(arrival => arrival.endpointId === endpointId).map(({ atMs }) => atMs)
}

/** When an endpoint named its limit first: as it answered a request, not as it was told to. */
function findNamedAt (world: LimitWorld, endpointId: string): number {
  return listArrivals(world, endpointId).find(atMs => atMs >= world.reportedAtMs) ?? world.reportedAtMs
}

Then('endpoint {int} of {string} got no more than its limit of {float} allows, from {int} ms after it named it', function (this: LimitWorld, number: number, service: string, limit: number, graceMs: number) {
  const { id } = findEndpoint(this, number, service)
  const fromMs = findNamedAt(this, id) + graceMs
  this.heldFromMs = Math.max(fromMs, this.heldFromMs ?? 0)
  const arrivals = listArrivals(this, id).filter(atMs => atMs >= fromMs)
  const most = Math.max(0, ...arrivals.map(fromMs => arrivals.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length))
  const allowed = limit * windowMs / 1000 * allowedRatio + allowedExtra
  this.countedArrivals = arrivals.length
  assert.ok(most <= allowed, `${most} requests in ${windowMs} ms; ${allowed} are allowed`)
})

Then('it got at least {int} request(s) since then', function (this: LimitWorld, least: number) {
  assert.ok(this.countedArrivals >= least, `${this.countedArrivals} requests`)
})

Then('at least {int}% of the answers are whole', function (this: LimitWorld, percent: number) {
  const whole = this.calls.filter(({ answer }) => isWhole(answer)).length
  assert.ok(whole >= this.calls.length * percent / 100, `${whole} of ${this.calls.length}`)
})

Then('each request that came later than that was refused within {int} ms with a time to come back, or answered', function (this: LimitWorld, ms: number) {
  const late = this.calls.filter(({ sentAtMs }) => sentAtMs > this.heldFromMs)
  const wrong = late.filter(({ answer }) => !isWhole(answer) && !(answer.status === 503 && answer.tookMs < ms && (answer.retryAfterS ?? 0) > 0))
  assert.deepEqual(wrong.map(({ answer: { status, tookMs, error } }) => `${status} ${Math.round(tookMs)} ms ${error}`), [])
  assert.ok(late.some(({ answer }) => answer.status === 503))
})

Then('the hosts have begun to hold to the limit of endpoint {int} of {string}', function (this: LimitWorld, number: number, service: string) {
  const { id } = findEndpoint(this, number, service)
  const lastSentAtMs = Math.max(...this.calls.map(({ sentAtMs }) => sentAtMs))
  const late = listArrivals(this, id).filter(atMs => atMs > lastSentAtMs - 500)
  assert.ok(late.length <= 2, `${late.length} requests in the last 500 ms`)
})

Then('endpoint {int} of {string} got at least {int} requests in the last {int} ms', function (this: LimitWorld, number: number, service: string, least: number, ms: number) {
  const arrivals = listArrivals(this, findEndpoint(this, number, service).id)
  const lastSentAtMs = Math.max(...this.calls.map(({ sentAtMs }) => sentAtMs))
  const late = arrivals.filter(atMs => atMs > lastSentAtMs - ms)
  assert.ok(late.length >= least, `${late.length} requests`)
})

Then('endpoint {int} of {string} got at most {int} requests in the first {int} ms after that and at least {int} in the last {int} ms', function (this: LimitWorld, number: number, service: string, most: number, firstMs: number, least: number, lastMs: number) {
  const arrivals = listArrivals(this, findEndpoint(this, number, service).id)
  const lastSentAtMs = Math.max(...this.calls.map(({ sentAtMs }) => sentAtMs))
  const early = arrivals.filter(atMs => atMs >= this.reportedAtMs && atMs < this.reportedAtMs + firstMs)
  const late = arrivals.filter(atMs => atMs > lastSentAtMs - lastMs)
  assert.ok(early.length <= most, `${early.length} requests at first`)
  assert.ok(late.length >= least, `${late.length} requests at last`)
})

Then('the lines of host {int} name the limit of {float} at endpoint {int} of {string}, and the requests that it sent there', function (this: HostsWorld, host: number, limit: number, number: number, service: string) {
  const { id } = findEndpoint(this, number, service)
  const { hostName } = this.hostFleet.hosts[host - 1]!.settings
  const [first, second] = this.hostFleet.listLines('endpoint.limitNamed').filter(line => line.host === hostName && line.fields.endpointId === id)
  assert.equal(first?.fields.limitPerSecond, limit)
  const sent = Number(second?.fields.sentWithGrant) + Number(second?.fields.sentWithoutGrant)
  assert.ok(sent >= 1, `${JSON.stringify(second?.fields)}`)
})

When('an endpoint names the limits {string}', function (this: HeadWorld, values: string) {
  const lines = values === '' ? [] : values.split(' and ')
  this.head = decodeAnswerHead(200, lines.flatMap(value => ['Server-Limit', value]))
})

Then('the host reads the limit as {}', function (this: HeadWorld, parsed: string) {
  const { limitPerSecond, invalidLimit } = this.head
  const described = limitPerSecond !== undefined ? String(limitPerSecond) : invalidLimit === undefined ? 'nothing' : 'unreadable'
  assert.equal(described, parsed.trim())
})

When('a host learns of responses with these limits, each with the times of its request and its receipt: {string}', function (this: StatementWorld, responses: string) {
  this.limit = new EndpointLimit()
  for (const response of responses.split(';')) {
    const [perSecond, times] = response.trim().split(' ')
    const [sentAtMs, receivedAtMs] = times!.split('-').map(Number)
    this.limit.record({ perSecond: perSecond === 'none' ? undefined : Number(perSecond), sentAtMs: sentAtMs!, receivedAtMs: receivedAtMs! })
  }
})

Then('it takes the limit of the endpoint at {int} ms for {}', function (this: StatementWorld, atMs: number, limit: string) {
  assert.equal(String(this.limit.getRate(atMs) ?? 'none'), limit.trim())
})

Given('a proxy before {int} engines, of which the first {int} are limited and only the last one takes requests', function (this: SelectorWorld, count: number, limitedCount: number) {
  const clock = createSystemClock()
  const clusterView = new ClusterView(decodePlatformRow)
  const notices = new EndpointNotices()
  this.engines = Array.from({ length: count }, (_, index) => ({
    id: `i-${index + 1}`, service: engineService, address: '127.0.0.1:1', zone: 'a', isLeaving: false, goneInMs: undefined, places: 16, softwareVersion: 'v1', startedAtMs: 1, models: [], orderCount: 0
  }))
  for (const { id } of this.engines) {
    clusterView.applyRow({ table: hostsTable, key: formatOwnerKey(id), version: 1, value: encodeHostsRow({ endpointId: id, host: 'h1', address: '10.1.0.1', session: 's1' }) }, 0)
  }
  for (const engine of this.engines.slice(0, limitedCount)) notices.recordLimit(engine, { perSecond: 0.5, sentAtMs: 0, receivedAtMs: 1 })
  const lastId = this.engines.at(-1)!.id
  const requestReservation: ReservationClient['requestReservation'] = (_address, { endpointId }) => ({
    withdraw: () => {},
    outcome: Promise.resolve(endpointId === lastId
      ? { kind: 'granted', load: { use: 0, backlogMs: 0, batchPart: 0 }, waitedMs: 0, version: 0, reservation: { release: () => {} } }
      : { kind: 'refused', code: 'crowded', message: 'busy', retryAfterMs: 0, expectedMs: 300, load: undefined, elsewhere: undefined })
  })
  this.selector = new EngineSelector({
    clock,
    log: { record: () => {} },
    clusterView,
    health: new EndpointHealth(),
    reservations: { requestReservation, notifyServedElsewhere: () => {} } as unknown as ReservationClient,
    notices,
    limitGrants: { requestGrant: async () => ({ kind: 'silent' }) },
    random: Math.random,
    getLink: () => ({}) as ReturnType<ConstructorParameters<typeof EngineSelector>[0]['getLink']>
  })
})

When('requests for {int} adapters ask for reservations', async function (this: SelectorWorld, count: number) {
  const nowMs = performance.now()
  const route = createConfiguration(1, 4).routes[0]!
  this.selections = await Promise.all(Array.from({ length: count }, async (_, index) => await this.selector.selectEngine({
    request: { model: fleetModel, adapter: `a${index}`, promptTokens: 100, maxTokens: 20, promptSegments: [] } as unknown as CallerRequest,
    route,
    service: engineService,
    account: undefined,
    softwareVersion: undefined,
    isResumed: false,
    attemptedEndpointIds: [],
    dueAtMs: nowMs + 500,
    abandonAtMs: nowMs + 3000,
    deadlineAtMs: nowMs + 4000,
    hasEnded: () => false
  }, this.engines)))
})

Then('all of them get one at the last engine', function (this: SelectorWorld) {
  const lastId = this.engines.at(-1)!.id
  const elsewhere = this.selections.filter(selection => selection.kind !== 'found' || selection.target.endpoint.id !== lastId)
  assert.equal(elsewhere.length, 0, `${elsewhere.length} of ${this.selections.length} requests`)
})
