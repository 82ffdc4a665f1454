/** Steps of the orders to one engine, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { EngineOrder, EngineOrders, OrderOutcome } from '../../src/ports/orders.js'
import { EngineOrderQueue } from '../../src/tasks/desk/orderLine.js'

/** Takes orders under the condition of their count; an unload waits for a run, and the repeat that finds it over carries it out. */
class WaitingEngine {
  readonly clock = new VirtualClock()
  count: number
  isAnswerLost = false
  /** What becomes of the next load's answer; without an order it does not arrive. */
  nextLoad: 'answered' | 'unanswered' | 'lost' = 'answered'
  #waitMs: number
  #idleFromMs: number | undefined
  #holdsAdapter = true
  #isLoading = false

  constructor (count: number, waitMs: number) {
    this.count = count
    this.#waitMs = waitMs
  }

  readonly orders: Pick<EngineOrders, 'send'> = {
    send: async (order: EngineOrder): Promise<OrderOutcome> => {
      await new Promise<void>(resolve => { this.clock.setTimer(resolve, 3) })
      return this.#receive(order)
    }
  }

  #receive ({ kind, expectedCount }: EngineOrder): OrderOutcome {
    const fate = kind === 'load' ? this.nextLoad : 'answered'
    if (kind === 'load') this.nextLoad = 'answered'
    if (fate === 'unanswered') return { verdict: 'unknown', reason: 'no answer' }
    if (expectedCount !== this.count) return { verdict: 'refused', cause: 'conflict', reason: 'another count' }
    if (kind === 'load') {
      // What is loading already is not counted again.
      if (this.#isLoading) return { verdict: 'accepted' }
      this.count++
      this.#isLoading = true
      return fate === 'lost' ? { verdict: 'unknown', reason: 'no answer' } : { verdict: 'accepted' }
    }
    if (!this.#holdsAdapter) return { verdict: 'holds' }
    const nowMs = this.clock.readMonotonic()
    this.#idleFromMs ??= nowMs + this.#waitMs
    if (nowMs < this.#idleFromMs) return { verdict: 'accepted' }
    this.#holdsAdapter = false
    if (!this.isAnswerLost) return { verdict: 'holds' }
    this.count++
    return { verdict: 'unknown', reason: 'no answer' }
  }
}

interface OrderLineWorld {
  waitingEngine: WaitingEngine
  orderLine: EngineOrderQueue
  mismatches: string[]
  outcomes: OrderOutcome[]
}

Given('an engine that has taken {int} orders and waits {int} ms with unloads', function (this: OrderLineWorld, count: number, waitMs: number) {
  this.waitingEngine = new WaitingEngine(count, waitMs)
})

Given('its answer to the carried out unload is lost', function (this: OrderLineWorld) {
  this.waitingEngine.isAnswerLost = true
})

function openLine (world: OrderLineWorld): void {
  const { clock, orders, count } = world.waitingEngine
  world.mismatches = []
  world.orderLine = new EngineOrderQueue({
    clock, log: { record: () => {} }, endpointId: 'i-1', host: 'host-1', orders: orders as EngineOrders, findFencingToken: () => 1, receiveMismatch: reason => { world.mismatches.push(reason) }
  })
  world.orderLine.recordState({ startedAtMs: 1, models: [], loading: [], isBusy: false, orderCount: count, running: 1, waiting: 0 })
  world.outcomes = []
}

async function submit (world: OrderLineWorld, kind: 'load' | 'unload', adapter: string): Promise<void> {
  world.outcomes.push(await world.orderLine.submit({ kind, model: 'base', adapter, version: 1 }))
}

Given('the line to it has been open for {int} ms', async function (this: OrderLineWorld, ms: number) {
  openLine(this)
  await this.waitingEngine.clock.runUntilSettled(ms)
})

When('a load of before comes late and the next load gets no answer', async function (this: OrderLineWorld) {
  const { clock } = this.waitingEngine
  this.waitingEngine.count++
  this.waitingEngine.nextLoad = 'unanswered'
  submit(this, 'load', 'new')
  await clock.runUntilSettled(clock.readMonotonic() + 500)
})

When('a load is carried out and its answer is lost', async function (this: OrderLineWorld) {
  const { clock } = this.waitingEngine
  this.waitingEngine.nextLoad = 'lost'
  submit(this, 'load', 'new')
  await clock.runUntilSettled(clock.readMonotonic() + 500)
})

Then("the engine's state is read again", function (this: OrderLineWorld) {
  assert.equal(this.mismatches.length, 1)
})

Then('the load is known to be accepted', function (this: OrderLineWorld) {
  assert.deepEqual([this.outcomes.map(({ verdict }) => verdict), this.mismatches], [['accepted'], []])
})

When('an unload and then a load are given to it', function (this: OrderLineWorld) {
  openLine(this)
  submit(this, 'unload', 'old')
  submit(this, 'load', 'new')
})

Then('both are done within {int} ms', async function (this: OrderLineWorld, ms: number) {
  const { clock } = this.waitingEngine
  await clock.runUntilSettled(clock.readMonotonic() + ms)
  assert.deepEqual(this.outcomes.map(({ verdict }) => verdict), ['holds', 'accepted'])
})

Then('the engine has taken {int} orders', function (this: OrderLineWorld, count: number) {
  assert.equal(this.waitingEngine.count, count)
})
