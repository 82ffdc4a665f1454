/** Steps for replays of loads against the planners of engines. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { HostMessage } from '../../src/schemas/datagram.js'
import { ReservationClient } from '../../src/tasks/proxy/reservationClient.js'
import { computeOnTimeShare, createRandom, drawArrivals, replayLoad } from '../support/engineReplay.js'
import type { AllocationWorld } from './allocationPlanner.js'
import type { ReplayOptions, ReplayRequest, ReplayResult } from '../support/engineReplay.js'

interface EngineReplayWorld {
  requests: ReplayRequest[]
  options: ReplayOptions
  releases: HostMessage[]
  attach: (text: string, mediaType: string) => void
}

/** Requests of 650 tokens for each engine and second; it can read some 47 such prompts. */
const usualPerEngine = 26

When('{int} accounts of which the largest sends {float} times its usual use {int} engines for {int} s', function (this: EngineReplayWorld, accounts: number, times: number, engines: number, seconds: number) {
  const random = createRandom(7)
  const parts = Array.from({ length: accounts }, (_, index) => 1 / (index + 1))
  const sum = parts.reduce((total, part) => total + part, 0)
  this.requests = parts.flatMap((part, index) => drawArrivals(usualPerEngine * engines * part / sum * (index === 0 ? times : 1), 0, seconds * 1000, random)
    .map(atMs => ({ atMs, kind: 'chat', targetMs: 600, patienceMs: 3000, promptTokens: 650, account: `account-${index}` })))
  this.options = { seed: 3, batchLimit: 48, speeds: Array.from({ length: engines }, () => 1) }
})

/** Orders in which engines are asked; a single one shows less than chance does. */
const replaySeeds = [3, 4, 5]

function measureOthers (results: ReplayResult[], requests: readonly ReplayRequest[]): number {
  return computeOnTimeShare(results.filter((_, index) => requests[index]!.account !== 'account-0'))
}

Then('without accounts at most {float} of the requests of the others are on time', function (this: EngineReplayWorld, share: number) {
  const results = replayLoad(this.requests.map(({ account, ...request }) => request), this.options)
  const measured = measureOthers(results, this.requests)
  this.attach(`others ${measured}, all ${computeOnTimeShare(results)}`, 'text/plain')
  assert.ok(measured <= share, `${measured} of the others are on time`)
})

Then('with accounts at least {float} of the requests of the others are on time', function (this: EngineReplayWorld, share: number) {
  const results = replayLoad(this.requests, this.options)
  const measured = measureOthers(results, this.requests)
  this.attach(`others ${measured}, all ${computeOnTimeShare(results)}`, 'text/plain')
  assert.ok(measured >= share, `${measured} of the others are on time`)
})

When('{int} engines, a quarter at 0.55 and the others at 1.2 of the usual speed, get {int} requests per second each for {int} s', function (this: EngineReplayWorld, engines: number, rate: number, seconds: number) {
  this.requests = drawArrivals(rate * engines, 0, seconds * 1000, createRandom(7)).map(atMs => ({ atMs, kind: 'chat', targetMs: 600, patienceMs: 3000, promptTokens: 650 }))
  this.options = { seed: 3, batchLimit: 48, speeds: Array.from({ length: engines }, (_, index) => index % 4 === 0 ? 0.55 : 1.2) }
})

When('their machines are slower by a factor of {float} for {int} ms at a time, {int}% of the time', function (this: EngineReplayWorld, factor: number, spanMs: number, percent: number) {
  const random = createRandom(8)
  const lastMs = Math.max(...this.requests.map(({ atMs }) => atMs)) + 10_000
  const spans = this.options.speeds.map(() => drawArrivals(1000 / spanMs * percent / (100 - percent), 0, lastMs, random))
  this.options.getSlowness = (engine, nowMs) => spans[engine]!.some(startMs => nowMs >= startMs && nowMs < startMs + spanMs) ? factor : 1
})

Then('at least {float} of the requests that are late without telling it are on time with it', function (this: EngineReplayWorld, part: number) {
  const [late, lateTold] = [false, true].map(isSlownessTold => 1 - computeOnTimeShare(replaySeeds.flatMap(seed => replayLoad(this.requests, { ...this.options, seed, isSlownessTold }))))
  this.attach(`late without ${late}, with ${lateTold}`, 'text/plain')
  assert.ok(lateTold! <= late! * (1 - part), `${late} are late without, ${lateTold} with`)
})

When('the engine told {int} ms ago that its machine is slow by a factor of {float}', function (this: AllocationWorld, agoMs: number, factor: number) {
  const { planner, nowMs } = this.allocator
  planner.prefillBacklog.recordSlowness(factor, nowMs - agoMs, nowMs)
})

Then('the prefill backlog is about {int} ms', function (this: AllocationWorld, expectedMs: number) {
  const measuredMs = this.allocator.planner.prefillBacklog.getBacklogMs(this.allocator.nowMs)
  assert.ok(Math.abs(measuredMs - expectedMs) < 3, `${measuredMs} ms`)
})

When('a proxy releases reservations of responses that told a slowness of {float}, and none', function (this: EngineReplayWorld, slowness: number) {
  this.releases = []
  const client = new ReservationClient({
    clock: new VirtualClock(),
    datagrams: { send: (_address, message) => { if (message.type === 'done') this.releases.push(message) }, receive: () => {}, close: () => {} },
    ownAddress: '10.1.0.1',
    findLimitStatement: () => undefined,
    deliverLocally: () => {}
  })
  const details = { endpointId: 'e1', requestId: 'r1', model: 'base', adapter: '', version: 0, route: 'stream', rank: 0, dueInMs: 500, uselessInMs: 3000, leavesInMs: 4000, promptTokens: 100, maxTokens: 20, parts: [], mayDecline: false }
  for (const told of [slowness, undefined]) client.reserveWithoutGrant('10.1.0.2', details).release('served', 120, told === undefined ? undefined : { slowness: told })
  client.stop()
})

Then('the first release reports a slowness of {float}, and the second has no such field', function (this: EngineReplayWorld, slowness: number) {
  const usual = { type: 'done', endpointId: 'e1', outcome: 'served', firstPartMs: 120 }
  assert.deepEqual(this.releases, [{ ...usual, id: 1, slowness }, { ...usual, id: 2 }])
})
