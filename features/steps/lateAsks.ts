/** Steps of messages about reservations that arrive late. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { EngineAllocator } from '../../src/tasks/allocation/engineAllocator.js'
import type { ReservationRelease, ReservationReply, ReservationRequest } from '../../src/schemas/datagram.js'
import type { EndpointEntry, EngineSpec } from '../../src/schemas/routing.js'

interface LateAsksWorld {
  late?: { clock: VirtualClock, allocator: EngineAllocator, replies: ReservationReply[] }
}

const endpointId = 'i-1'
const session = 'front-1'
const startMs = 1000
const entry: EndpointEntry = {
  id: endpointId, service: 'desk', address: '127.0.0.1:1', zone: 'a', isLeaving: false, goneInMs: undefined, places: 4, softwareVersion: '', startedAtMs: 1, models: [], orderCount: 0
}
const engine: EngineSpec = { adapterSlots: 2, batchLimit: 4, cacheTokens: 100_000, weightsMb: 1000, loadsPerSecond: 4, tokensPerEvent: 1, models: [{ name: 'm', weightsMb: 1000, adapterMb: 100, loadMs: 1000 }] }

function createAsk (id: number): ReservationRequest {
  return {
    type: 'ask', id, endpointId, requestId: `r${id}`, model: 'm', adapter: '', version: 0, route: 'stream', rank: 0, dueInMs: 1000, uselessInMs: 3000, leavesInMs: 4000, promptTokens: 10, maxTokens: 10, parts: [], mayDecline: false
  }
}

function createRelease (id: number): ReservationRelease {
  return { type: 'done', id, endpointId, outcome: 'served', firstPartMs: 10 }
}

function receiveAsk ({ late }: LateAsksWorld, id: number, changes: Partial<ReservationRequest> = {}): void {
  late!.allocator.receiveRequest(`${session}.${id}`, { ...createAsk(id), ...changes }, reply => late!.replies.push(reply))
}

Given('an allocator of an engine that has granted a reservation', async function (this: LateAsksWorld) {
  const clock = new VirtualClock()
  const state = { startedAtMs: 1, models: [{ name: 'm', version: 1, state: 'loaded' as const, adapters: [] }], loading: [], isBusy: false, orderCount: 0, running: 0, waiting: 0 }
  const allocator = new EngineAllocator({
    clock,
    log: { record: () => {} },
    host: 'host-1',
    entry,
    engine,
    orders: { send: async () => ({ verdict: 'unknown', reason: 'not asked for' }), readState: async () => state, close: () => {} },
    findFencingToken: () => 1,
    findRate: () => undefined,
    findVersion: () => 0,
    takeoverDelayMs: 0
  })
  this.late = { clock, allocator, replies: [] }
  allocator.start()
  await clock.runUntilSettled(startMs)
  receiveAsk(this, 1)
  assert.deepEqual(this.late.replies.map(({ type }) => type), ['grant'])
})

When('the reservation is released', function (this: LateAsksWorld) {
  this.late!.allocator.receiveRelease(`${session}.1`, createRelease(1))
})

When('the request for it arrives once more', function (this: LateAsksWorld) { receiveAsk(this, 1) })

When('a report arrives that names it', function (this: LateAsksWorld) {
  this.late!.allocator.receiveRunningRequests(session, { type: 'held', endpointId, places: [{ id: 1, model: 'm', adapter: '', version: 0, leavesInMs: 4000 }] })
})

When('another one is released whose request arrives afterwards', function (this: LateAsksWorld) {
  this.late!.allocator.receiveRelease(`${session}.2`, createRelease(2))
  receiveAsk(this, 2)
})

Given('{int} more fill the batch of the engine', function (this: LateAsksWorld, count: number) {
  for (let id = 2; id < 2 + count; id++) receiveAsk(this, id)
  assert.deepEqual(this.late!.replies.map(({ type }) => type), Array.from({ length: 1 + count }, () => 'grant'))
})

When('a request that may be declined arrives, and once more after the release of the reservation', function (this: LateAsksWorld) {
  receiveAsk(this, 9, { mayDecline: true })
  this.late!.allocator.receiveRelease(`${session}.1`, createRelease(1))
  receiveAsk(this, 9, { mayDecline: true })
})

Then('the allocator counts {int} running requests', function (this: LateAsksWorld, count: number) {
  const { running, waiting } = this.late!.allocator.describeState() as { running: number, waiting: number }
  assert.deepEqual({ running, waiting }, { running: count, waiting: 0 })
})

Then('its last {int} replies are the same refusal', function (this: LateAsksWorld, count: number) {
  const last = this.late!.replies.slice(-count)
  assert.deepEqual(last.map(({ type }) => type), last.map(() => 'refusal'))
  assert.deepEqual(last, last.map(() => last[0]))
})

Then('the allocator counts no running request', function (this: LateAsksWorld) {
  const { running, waiting } = this.late!.allocator.describeState() as { running: number, waiting: number }
  assert.deepEqual({ running, waiting }, { running: 0, waiting: 0 })
})

Then('it has sent {int} reply', function (this: LateAsksWorld, count: number) { assert.equal(this.late!.replies.length, count) })

After(function (this: LateAsksWorld) { this.late?.allocator.stop('the scenario is over') })
