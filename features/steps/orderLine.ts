/** Steps of the orders to one engine, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { EngineOrder, EngineOrders, OrderOutcome } from '../../src/ports/orders.js'
import { OrderLine } from '../../src/tasks/desk/orderLine.js'

/** Takes orders under the condition of their count; an unload waits for a run, and the repeat that finds it over carries it out. */
class WaitingEngine {
  readonly clock = new VirtualClock()
  count: number
  isAnswerLost = false
  #waitMs: number
  #idleFromMs: number | undefined
  #holdsAdapter = true

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
    if (expectedCount !== this.count) return { verdict: 'refused', cause: 'conflict', reason: 'another count' }
    if (kind === 'load') {
      this.count++
      return { verdict: 'accepted' }
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
  outcomes: OrderOutcome[]
}

Given('an engine that has taken {int} orders and waits {int} ms with unloads', function (this: OrderLineWorld, count: number, waitMs: number) {
  this.waitingEngine = new WaitingEngine(count, waitMs)
})

Given('its answer to the carried out unload is lost', function (this: OrderLineWorld) {
  this.waitingEngine.isAnswerLost = true
})

When('an unload and then a load are given to it', function (this: OrderLineWorld) {
  const { clock, orders, count } = this.waitingEngine
  const line = new OrderLine({ clock, log: { record: () => {} }, endpointId: 'i-1', host: 'host-1', orders: orders as EngineOrders, findFencing: () => 1, receiveMismatch: () => {} })
  line.recordState({ startedAtMs: 1, models: [], loading: [], isBusy: false, orderCount: count, running: 1, waiting: 0 })
  this.outcomes = []
  const submit = async (kind: 'load' | 'unload', adapter: string): Promise<void> => {
    this.outcomes.push(await line.submit({ kind, model: 'base', adapter, version: 1 }))
  }
  submit('unload', 'old')
  submit('load', 'new')
})

Then('both are done within {int} ms', async function (this: OrderLineWorld, ms: number) {
  const { clock } = this.waitingEngine
  await clock.runUntilSettled(clock.readMonotonic() + ms)
  assert.deepEqual(this.outcomes.map(({ verdict }) => verdict), ['holds', 'accepted'])
})

Then('the engine has taken {int} orders', function (this: OrderLineWorld, count: number) {
  assert.equal(this.waitingEngine.count, count)
})
