/** Steps for endpoint notices: responses that announce that an endpoint is leaving or paused. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import { decodeAnswerHead } from '../../src/platform/requestWire.js'
import type { SendFailure } from '../../src/ports/endpointLink.js'
import type { EngineOrders, EngineOrderOutcome } from '../../src/ports/engineOrders.js'
import type { ResponseHead } from '../../src/schemas/callerRequest.js'
import type { HostMessage } from '../../src/schemas/datagram.js'
import { createRequestId } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind, FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import type { FleetEndpoint } from '../../src/standin/fleet/startFleet.js'
import { createPausableOrders } from '../../src/tasks/allocation/pausableOrders.js'
import { ReservationClient } from '../../src/tasks/proxy/reservationClient.js'
import type { ReservationOutcome } from '../../src/tasks/proxy/reservationClient.js'
import { findEndpoint } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import type { WaitingRequest } from '../support/waitingRequest.js'

interface NoticesWorld extends HostsWorld {
  /** Responses to the last batch of requests. */
  lastAnswers: FleetAnswer[]
}

interface ReservationWorld {
  reservations: ReservationClient
  sent: HostMessage[]
  outcome: Promise<ReservationOutcome>
}

interface WaitingWorld {
  waiting: WaitingRequest
}

interface WithdrawnWorld {
  countingServer: Server | undefined
  requestCount: number
  failure: SendFailure
}

interface OrdersWorld {
  orders: EngineOrders
  outcome: EngineOrderOutcome
  stateReadAfterMs: number
}

When('endpoint {int} of {string} announces in its responses that it is leaving', function (this: HostsWorld, number: number, service: string) {
  findEndpoint(this, number, service).server.setFaults({ isLeaving: true })
})

When('endpoint {int} of {string} stops announcing that it is leaving', function (this: HostsWorld, number: number, service: string) {
  findEndpoint(this, number, service).server.setFaults({ isLeaving: false })
})

When('endpoint {int} of {string} restarts and no longer announces that it is leaving', function (this: HostsWorld, number: number, service: string) {
  const { server } = findEndpoint(this, number, service)
  server.setFaults({ isLeaving: false })
  server.crash()
})

When('endpoint {int} of {string} rejects requests with a retry delay of {string} seconds', function (this: HostsWorld, number: number, service: string, retryAfter: string) {
  findEndpoint(this, number, service).server.setFaults({ retryAfter })
})

When('{int} requests of kind {string} are sent to host {int} within {int} ms', { timeout: 30_000 }, async function (this: NoticesWorld, count: number, kind: CallKind, host: number, withinMs: number) {
  const calls: Promise<FleetAnswer>[] = []
  for (let index = 0; index < count; index++) {
    calls.push(this.hostFleet.call({ kind, host, adapter: `a${index % 3 + 1}`, requestId: createRequestId(), body: `question ${index}` }))
    // The first response carries the notice, so the host cannot follow it in requests sent before that response.
    if (index === 0) await calls[0]
    await sleep(withinMs / count)
  }
  this.lastAnswers = await Promise.all(calls)
  this.answers.push(...this.lastAnswers)
})

function countRuns ({ hostFleet: { fleet }, lastAnswers }: NoticesWorld, endpoint: FleetEndpoint): number {
  const ids = new Set(lastAnswers.map(({ requestId }) => requestId))
  return fleet.journal.runs.filter(run => run.endpointId === endpoint.id && ids.has(run.requestId)).length
}

/** The first response takes 15 ms at an engine and 20 ms at a service; requests sent before it may still reach the endpoint. */
Then('endpoint {int} of {string} ran at least {int} of them, and started none later than {int} ms after the first', function (this: NoticesWorld, number: number, service: string, least: number, ms: number) {
  const { id } = findEndpoint(this, number, service)
  const startTimesMs = this.hostFleet.fleet.journal.runs.filter(run => run.endpointId === id).map(run => run.startedAtMs)
  assert.ok(startTimesMs.length >= least)
  const lateStarts = startTimesMs.filter(startedAtMs => startedAtMs > startTimesMs[0]! + ms)
  assert.equal(lateStarts.length, 0, `${lateStarts.length} of ${startTimesMs.length} requests`)
})

Then('endpoint {int} of {string} ran at most {int} of them', function (this: NoticesWorld, number: number, service: string, most: number) {
  const runs = countRuns(this, findEndpoint(this, number, service))
  assert.ok(runs <= most, `${runs} requests`)
})

Then('endpoint {int} of {string} ran at least {int} of them', function (this: NoticesWorld, number: number, service: string, least: number) {
  const runs = countRuns(this, findEndpoint(this, number, service))
  assert.ok(runs >= least, `${runs} requests`)
})

Then('endpoint {int} of {string} rejected one of them and received no other within {int} ms', function (this: NoticesWorld, number: number, service: string, ms: number) {
  const { id } = findEndpoint(this, number, service)
  const [first, ...others] = this.hostFleet.fleet.journal.rejections.filter(({ endpointId }) => endpointId === id).map(({ atMs }) => atMs)
  assert.ok(first !== undefined)
  assert.deepEqual(others.map(atMs => Math.round(atMs - first)).filter(afterMs => afterMs <= ms), [])
})

Then('all of them are refused within {int} ms, with spread retry delays of {float} to {float} seconds', function (this: NoticesWorld, ms: number, least: number, most: number) {
  for (const { status, tookMs, retryAfterS } of this.lastAnswers) {
    assert.equal(status, 503)
    assert.ok(tookMs < ms, `${Math.round(tookMs)} ms`)
    assert.ok(retryAfterS !== undefined && retryAfterS >= least && retryAfterS <= most, `${retryAfterS} s`)
  }
  const retryDelaysS = this.lastAnswers.slice(1).map(({ retryAfterS }) => retryAfterS!)
  assert.ok(Math.max(...retryDelaysS) - Math.min(...retryDelaysS) > 0.2, `${JSON.stringify(retryDelaysS)}`)
})

Given('a proxy that waits for a reservation at engine {string}', function (this: ReservationWorld, endpointId: string) {
  this.sent = []
  this.reservations = new ReservationClient({
    clock: createSystemClock(),
    datagrams: { send: (_address, message) => { this.sent.push(message) }, receive: () => {}, close: () => {} },
    ownAddress: '10.1.0.1',
    findLimitStatement: () => undefined,
    deliverLocally: () => {}
  })
  const { outcome } = this.reservations.requestReservation('10.1.0.2', {
    endpointId, requestId: 'r1', model: 'base', adapter: 'a1', version: 0, route: 'stream', rank: 0, dueInMs: 500, uselessInMs: 3000, leavesInMs: 4000, promptTokens: 100, maxTokens: 20, parts: [], mayDecline: false
  })
  this.outcome = outcome
})

When('engine {string} pauses requests', function (this: ReservationWorld, endpointId: string) {
  this.reservations.withdrawPending(endpointId, 'the engine has paused requests')
})

Then('the wait ends at once and the owner of the engine is notified', async function (this: ReservationWorld) {
  const outcome = await Promise.race([this.outcome, sleep(20, undefined)])
  this.reservations.stop()
  assert.equal(outcome?.kind, 'refused')
  const lastMessage = this.sent.at(-1)
  assert.ok(lastMessage?.type === 'done' && lastMessage.outcome === 'withdrawn')
})

Given('the order client of an engine that is paused for {int} ms', function (this: OrdersWorld, ms: number) {
  const clock = createSystemClock()
  const startedAtMs = clock.readMonotonic()
  this.orders = createPausableOrders({
    send: async () => ({ verdict: 'accepted' }),
    readState: async () => {
      this.stateReadAfterMs = clock.readMonotonic() - startedAtMs
      return { startedAtMs: 1, models: [], loading: [], isBusy: false, orderCount: 0, running: 0, waiting: 0 }
    },
    close: () => {}
  }, clock, () => Math.max(0, startedAtMs + ms - clock.readMonotonic()))
})

When('an order is sent to it and its state is read', async function (this: OrdersWorld) {
  this.outcome = await this.orders.send({ kind: 'load', model: 'base', adapter: 'a1', version: 1, expectedCount: 0 }, { host: 'h1', fencing: 1 }, 100)
  await this.orders.readState()
})

Then('the order is refused at once and the state is read after {int} ms', function (this: OrdersWorld, ms: number) {
  assert.equal(this.outcome.verdict, 'refused')
  assert.ok(this.stateReadAfterMs >= ms, `${Math.round(this.stateReadAfterMs)} ms`)
})

interface HeadWorld {
  head: ResponseHead
}

When('an endpoint rejects a request with the retry delay {string}', function (this: HeadWorld, value: string) {
  this.head = decodeAnswerHead(503, ['Not-Executed', '1', ...(value === '' ? [] : ['Retry-After', value])])
})

Then('the host parses it as {}', function (this: HeadWorld, parsed: string) {
  const { retryAfterMs, invalidRetryAfter } = this.head
  const described = retryAfterMs !== undefined ? `${retryAfterMs} ms` : invalidRetryAfter === undefined ? 'nothing' : 'unreadable'
  assert.equal(described, parsed.trim())
})

const entryChanges: Record<string, Parameters<WaitingRequest['changeEndpoint']>[0]> = {
  'says it leaves': { isLeaving: true },
  'is removed': undefined,
  'tells another software version': { softwareVersion: 'v2' }
}

When('the entry of that engine {}', function (this: WaitingWorld, change: string) {
  assert.ok(change in entryChanges)
  this.waiting.changeEndpoint(entryChanges[change])
})

When('the wait ends with a reservation', async function (this: WaitingWorld) { await this.waiting.send() })

Then('the request is not sent there', function (this: WaitingWorld) { assert.equal(this.waiting.read().sends, 0) })

Then('the request is not written to the connection that opens then', function (this: WaitingWorld) { assert.equal(this.waiting.openConnection(), false) })

Given('an endpoint that counts requests', async function (this: WithdrawnWorld) {
  this.requestCount = 0
  this.countingServer = createServer((_request, response) => {
    this.requestCount++
    response.end()
  })
  await new Promise<void>(resolve => this.countingServer!.listen(0, '127.0.0.1', resolve))
})

When('a request is sent to it and withdrawn as the connection opens', async function (this: WithdrawnWorld) {
  const { port } = this.countingServer!.address() as AddressInfo
  const link = openHttpEndpointLink({ address: `127.0.0.1:${port}`, getMaxConnections: () => 1, readNow: () => performance.now() })
  this.failure = await new Promise<SendFailure>(resolve => link.send({ id: 'r1', method: 'POST', path: '/x', headers: [], body: Buffer.from('a question') }, {
    confirmSend: () => false, receiveHead: () => {}, receiveData: () => true, receiveEnd: () => {}, receiveFailure: resolve
  }))
  await sleep(50)
  link.close()
})

Then('the request failed as one that was not sent, and the endpoint received none', function (this: WithdrawnWorld) {
  assert.equal(this.failure.kind, 'notSent')
  assert.equal(this.requestCount, 0)
})

After(async function (this: WithdrawnWorld) {
  this.countingServer?.closeAllConnections()
  await new Promise<void>(resolve => this.countingServer ? this.countingServer.close(() => resolve()) : resolve())
})
