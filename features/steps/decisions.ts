/** Steps for the decision store, the request timelines built from it and the live feed of decisions. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { DataTable } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { buildRequestTimeline } from '../../src/core/requestTimeline.js'
import type { Decision } from '../../src/schemas/decision.js'
import type { RequestTimeline } from '../../src/schemas/operatorMessage.js'
import { DecisionFeed } from '../../src/tasks/decisions/decisionFeed.js'
import { DecisionStore } from '../../src/tasks/decisions/decisionStore.js'
import { EventParser } from '../../src/tasks/operators/eventParser.js'
import type { ServerEvent } from '../../src/tasks/operators/eventParser.js'
import { WatchStream } from '../../src/tasks/operators/watchStream.js'
import { createDecision } from '../support/decisions.js'

interface DecisionsWorld {
  decisions: Decision[]
  timeline: RequestTimeline
  store: DecisionStore
  clock: VirtualClock
  watcher: FakeWatcher
  feed: DecisionFeed
  received: number
  missed: number
}

const requestId = 'req-1'
const clockOffsetMs = 3_600_000

/** A watch connection whose reader reads everything, or nothing until `readAll` is called. */
class FakeWatcher {
  text = ''
  unsent = ''
  isReading: boolean
  readonly stream: WatchStream

  constructor (isReading: boolean, filter: Record<string, string>) {
    this.isReading = isReading
    const read = (): number => this.unsent.length
    this.stream = new WatchStream({ write: text => this.#write(text), end: () => {}, destroy: () => {}, get writableLength () { return read() } }, filter)
  }

  readAll (): void {
    this.text += this.unsent
    this.unsent = ''
    this.isReading = true
  }

  listEvents (): ServerEvent[] {
    return new EventParser().receive(Buffer.from(this.text))
  }

  #write (text: string): void {
    if (this.isReading) this.text += text
    else this.unsent += text
  }
}

Given('these decisions, with the clock of {string} an hour behind', function (this: DecisionsWorld, host: string, table: DataTable) {
  this.decisions = table.hashes().map(row => ({
    ...createDecision(row.kind as Decision['kind'], {
      requestId,
      ...(row.attempt && { attempt: Number(row.attempt) }),
      ...(row.endpoint && { endpointId: row.endpoint }),
      ...(row.verdict && { verdict: row.verdict }),
      reason: row.reason!
    }),
    host: row.host!,
    atMs: Number(row.at) + (row.host === host ? 0 : clockOffsetMs)
  }))
})

When('the timeline is built in any order of the decisions', function (this: DecisionsWorld) {
  this.timeline = buildRequestTimeline(requestId, this.decisions, [])!
  const reversed = buildRequestTimeline(requestId, [...this.decisions].reverse(), [])!
  assert.deepEqual(reversed, this.timeline)
})

When('the timeline is built without an answer of {string}', function (this: DecisionsWorld, host: string) {
  this.timeline = buildRequestTimeline(requestId, this.decisions, [host])!
})

Then('the timeline\'s outcome is {string}', function (this: DecisionsWorld, outcome: string) {
  assert.equal(this.timeline.outcome, outcome)
})

Then('attempt {int} ended as {string} because {string}', function (this: DecisionsWorld, attempt: number, verdict: string, reason: string) {
  const { verdict: found, end } = this.timeline.attempts[attempt - 1]!
  assert.deepEqual([found, end], [verdict, reason])
})

Then('attempt {int} waited {int} ms for {string}', function (this: DecisionsWorld, number: number, ms: number, cause: string) {
  assert.deepEqual(this.timeline.attempts.find(({ attempt }) => attempt === number)!.waits, [{ cause, ms }])
})

Then('attempt {int} waited {int} ms for {string} and {int} ms for {string}',
  function (this: DecisionsWorld, attempt: number, firstMs: number, first: string, secondMs: number, second: string) {
    assert.deepEqual(this.timeline.attempts[attempt - 1]!.waits, [{ cause: first, ms: firstMs }, { cause: second, ms: secondMs }])
  })

Then('the timeline\'s key decisions are {string}', function (this: DecisionsWorld, kinds: string) {
  assert.equal(this.timeline.turns.map(turn => turn.split(' ')[0]).join(', '), kinds)
})

Then('the timeline names {string} as silent', function (this: DecisionsWorld, host: string) {
  assert.deepEqual(this.timeline.silentHosts, [host])
})

Given('a store of {int} bytes', function (this: DecisionsWorld, maxBytes: number) {
  this.store = new DecisionStore({ hostId: 'host-1', clock: new VirtualClock(), maxBytes })
})

function recordRequests (store: DecisionStore, decisionsPerRequest: number, requestCount: number): void {
  for (let index = 1; index <= requestCount; index++) {
    for (let count = 0; count < decisionsPerRequest; count++) store.record(createDecision('dispatch', { requestId: `req-${index}`, attempt: count }))
  }
}

When('it takes {int} decisions of each of {int} requests', function (this: DecisionsWorld, decisionsPerRequest: number, requestCount: number) {
  recordRequests(this.store, decisionsPerRequest, requestCount)
})

When('it takes a load and then {int} decisions of each of {int} requests', function (this: DecisionsWorld, decisionsPerRequest: number, requestCount: number) {
  this.store.record(createDecision('load', { endpointId: 'engine-1' }))
  recordRequests(this.store, decisionsPerRequest, requestCount)
})

Then('it keeps at most {int} bytes, and all decisions of the last request', function (this: DecisionsWorld, maxBytes: number) {
  assert.ok(this.store.describeState().bytes <= maxBytes)
  assert.deepEqual(this.store.findByRequest('req-1000').map(decision => decision.attempt), [0, 1, 2])
})

Then('it has forgotten the first request whole', function (this: DecisionsWorld) {
  assert.deepEqual(this.store.findByRequest('req-1'), [])
  const { decisions, requests } = this.store.describeState()
  assert.ok(requests <= decisions, 'the index holds no more requests than there are decisions')
})

Then('it still knows the load', function (this: DecisionsWorld) {
  assert.equal(this.store.listEvents(event => event.kind === 'load').length, 1)
})

Given('a watcher who reads nothing', function (this: DecisionsWorld) {
  this.watcher = new FakeWatcher(false, {})
})

Given('a watcher who reads everything with the filter {string} {string}', function (this: DecisionsWorld, name: string, value: string) {
  this.watcher = new FakeWatcher(true, { [name]: value })
})

function createLargeDecision (className = 'counter'): Decision {
  return { ...createDecision('dispatch', { className, reason: 'x'.repeat(500) }), host: 'host-1', atMs: 0 }
}

When('{int} decisions are taken', function (this: DecisionsWorld, count: number) {
  for (let index = 0; index < count; index++) this.watcher.stream.receiveDecision(createLargeDecision())
})

When('the watcher reads again and one more decision is taken', function (this: DecisionsWorld) {
  this.watcher.readAll()
  this.watcher.stream.receiveDecision(createLargeDecision())
})

When('{int} decisions of class {string} and {int} of class {string} are taken',
  function (this: DecisionsWorld, first: number, firstClass: string, second: number, secondClass: string) {
    for (let index = 0; index < first; index++) this.watcher.stream.receiveDecision(createLargeDecision(firstClass))
    for (let index = 0; index < second; index++) this.watcher.stream.receiveDecision(createLargeDecision(secondClass))
  })

Then('at most {int} bytes wait for the watcher', function (this: DecisionsWorld, bytes: number) {
  assert.ok(this.watcher.unsent.length > 0 && this.watcher.unsent.length <= bytes, String(this.watcher.unsent.length))
})

Then('the watcher has been told of every decision or counted it as missed', function (this: DecisionsWorld) {
  const events = this.watcher.listEvents()
  const seen = events.filter(event => event.name === 'decision').length
  const missed = events.filter(event => event.name === 'missed').map(event => (JSON.parse(event.data) as { count: number }).count)
  assert.ok(missed.length === 1 && missed[0]! > 0)
  assert.equal(seen + missed[0]!, 1001)
})

Then('the watcher has seen {int} decisions', function (this: DecisionsWorld, count: number) {
  assert.equal(this.watcher.listEvents().length, count)
})

Given('a gateway that watches a scheduler', function (this: DecisionsWorld) {
  this.clock = new VirtualClock()
  this.feed = new DecisionFeed(this.clock)
  this.received = this.missed = 0
  this.feed.addSubscription(message => {
    this.received += message.decisions.length
    this.missed += message.missed
  }, {})
})

When('the scheduler takes {int} decisions at once', function (this: DecisionsWorld, count: number) {
  for (let index = 0; index < count; index++) this.feed.receiveDecision(createLargeDecision())
  this.clock.runUntil(this.clock.readMonotonic() + 1000)
})

When('the subscription is not renewed for {int} seconds', function (this: DecisionsWorld, seconds: number) {
  this.clock.runUntil(this.clock.readMonotonic() + seconds * 1000)
})

Then('the gateway has got {int} decisions and a count of {int} missed', function (this: DecisionsWorld, received: number, missed: number) {
  assert.deepEqual([this.received, this.missed], [received, missed])
})
