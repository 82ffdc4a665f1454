/** Steps of one endpoint of a plain service whose requests a host grants to others, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { ReservationReply, ReservationRequest } from '../../src/schemas/datagram.js'
import { DispatchEndpoint } from '../../src/tasks/allocation/dispatchEndpoint.js'

interface DispatchEndpointWorld {
  dispatchClock: VirtualClock
  granterEndpoint: DispatchEndpoint
  /** Types of the replies to each request, by its key. */
  replies: Map<string, string[]>
  timersSet: number
}

function createRequest (id: number, dueInMs: number): ReservationRequest {
  return { type: 'ask', id, endpointId: 'i-1', requestId: `r-${id}`, model: '', adapter: '', version: 0, route: 'desk', rank: 0, dueInMs, uselessInMs: 5000, leavesInMs: 5000, promptTokens: 0, maxTokens: 0, parts: [], mayDecline: false }
}

function send (world: DispatchEndpointWorld, key: string, dueInMs = 2000): void {
  const replies = world.replies.get(key) ?? []
  world.replies.set(key, replies)
  world.granterEndpoint.receiveRequest(key, createRequest(world.replies.size, dueInMs), (reply: ReservationReply) => replies.push(reply.type))
}

function release (world: DispatchEndpointWorld, key: string): void {
  world.granterEndpoint.receiveRelease(key, { type: 'done', id: 1, endpointId: 'i-1', outcome: 'served', firstPartMs: 40, tookMs: 40, slowness: 1, busy: 1 })
}

Given('a host that grants requests to an endpoint with 1 place since {int} ms', function (this: DispatchEndpointWorld, ms: number) {
  const clock = new VirtualClock()
  this.dispatchClock = clock
  this.timersSet = 0
  this.replies = new Map()
  const countedClock = {
    readMonotonic: clock.readMonotonic,
    readWall: clock.readWall,
    setTimer: (run: () => void, delayMs: number) => {
      this.timersSet++
      return clock.setTimer(run, delayMs)
    }
  }
  this.granterEndpoint = new DispatchEndpoint({ clock: countedClock, log: { record: () => {} }, endpointId: 'i-1', findPlaces: () => 1, shares: undefined, recordDecision: () => {} })
  send(this, 'first')
  clock.runUntil(40)
  release(this, 'first')
  clock.runUntil(ms)
})

When('a request is granted and released, and arrives once more', function (this: DispatchEndpointWorld) {
  send(this, 'repeated')
  this.dispatchClock.runUntil(this.dispatchClock.readMonotonic() + 40)
  release(this, 'repeated')
  send(this, 'repeated')
})

When('a request runs there and another one waits', function (this: DispatchEndpointWorld) {
  send(this, 'running')
  send(this, 'waiting')
  assert.deepEqual([this.replies.get('running'), this.replies.get('waiting')], [['grant'], ['queued']])
})

When('{int} further requests are refused, as they cannot be on time', function (this: DispatchEndpointWorld, count: number) {
  for (let index = 0; index < count; index++) send(this, `refused ${index}`, 60)
  assert.ok([...this.replies].every(([key, replies]) => !key.startsWith('refused') || replies.join() === 'refusal'))
})

When('the request that waits arrives once more', function (this: DispatchEndpointWorld) {
  send(this, 'waiting')
})

Then('the next request is granted immediately', function (this: DispatchEndpointWorld) {
  send(this, 'next')
  assert.deepEqual(this.replies.get('next'), ['grant'])
})

Then('the next request is granted immediately once both have ended', function (this: DispatchEndpointWorld) {
  for (const key of ['running', 'waiting']) release(this, key)
  send(this, 'next')
  assert.deepEqual(this.replies.get('next'), ['grant'])
})

Then('the request that waits got {string}', function (this: DispatchEndpointWorld, replies: string) {
  assert.equal(this.replies.get('waiting')!.join(', '), replies)
})

Then('the host sets at most {int} timers within {int} ms', function (this: DispatchEndpointWorld, most: number, withinMs: number) {
  const before = this.timersSet
  this.dispatchClock.runUntil(this.dispatchClock.readMonotonic() + withinMs)
  assert.ok(this.timersSet - before <= most, `${this.timersSet - before} timers`)
})
