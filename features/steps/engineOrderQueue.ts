/** Steps for the order queue of one engine, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { EngineOrder, EngineOrders, EngineOrderOutcome } from '../../src/ports/engineOrders.js'
import { EngineOrderQueue } from '../../src/tasks/allocation/engineOrderQueue.js'

/** Accepts orders with the right expected count. An unload waits for a running request; the first retry after that executes it. */
class WaitingEngine {
  readonly clock = new VirtualClock()
  count: number
  isAnswerLost = false
  /** Result of the next load: `unanswered`: the order does not arrive; `lost`: it is executed, and its response is lost. */
  nextLoadResult: 'answered' | 'unanswered' | 'lost' = 'answered'
  #waitMs: number
  #idleFromMs: number | undefined
  #holdsAdapter = true
  #isLoading = false

  constructor (count: number, waitMs: number) {
    this.count = count
    this.#waitMs = waitMs
  }

  readonly orders: Pick<EngineOrders, 'send'> = {
    send: async (order: EngineOrder): Promise<EngineOrderOutcome> => {
      await new Promise<void>(resolve => { this.clock.setTimer(resolve, 3) })
      return this.#receive(order)
    }
  }

  #receive ({ kind, expectedCount }: EngineOrder): EngineOrderOutcome {
    const result = kind === 'load' ? this.nextLoadResult : 'answered'
    if (kind === 'load') this.nextLoadResult = 'answered'
    if (result === 'unanswered') return { verdict: 'unknown', reason: 'no response' }
    if (expectedCount !== this.count) return { verdict: 'refused', cause: 'conflict', reason: 'the order count differs' }
    if (kind === 'load') {
      // A load that is already in progress is not counted again.
      if (this.#isLoading) return { verdict: 'accepted' }
      this.count++
      this.#isLoading = true
      return result === 'lost' ? { verdict: 'unknown', reason: 'no response' } : { verdict: 'accepted' }
    }
    if (!this.#holdsAdapter) return { verdict: 'holds' }
    const nowMs = this.clock.readMonotonic()
    this.#idleFromMs ??= nowMs + this.#waitMs
    if (nowMs < this.#idleFromMs) return { verdict: 'accepted' }
    this.#holdsAdapter = false
    if (!this.isAnswerLost) return { verdict: 'holds' }
    this.count++
    return { verdict: 'unknown', reason: 'no response' }
  }
}

interface OrderQueueWorld {
  waitingEngine: WaitingEngine
  orderQueue: EngineOrderQueue
  mismatches: string[]
  outcomes: EngineOrderOutcome[]
}

Given('an engine with an order count of {int} whose unloads wait {int} ms', function (this: OrderQueueWorld, count: number, waitMs: number) {
  this.waitingEngine = new WaitingEngine(count, waitMs)
})

Given('its response to the executed unload is lost', function (this: OrderQueueWorld) {
  this.waitingEngine.isAnswerLost = true
})

function openQueue (world: OrderQueueWorld): void {
  const { clock, orders, count } = world.waitingEngine
  world.mismatches = []
  world.orderQueue = new EngineOrderQueue({
    clock, log: { record: () => {} }, endpointId: 'i-1', host: 'host-1', orders: orders as EngineOrders, findFencingToken: () => 1, receiveMismatch: reason => { world.mismatches.push(reason) }
  })
  world.orderQueue.recordState({ startedAtMs: 1, models: [], loading: [], isBusy: false, orderCount: count, running: 1, waiting: 0 })
  world.outcomes = []
}

async function submit (world: OrderQueueWorld, kind: 'load' | 'unload', adapter: string): Promise<void> {
  world.outcomes.push(await world.orderQueue.submit({ kind, model: 'base', adapter, version: 1 }))
}

Given('its order queue has been open for {int} ms', async function (this: OrderQueueWorld, ms: number) {
  openQueue(this)
  await this.waitingEngine.clock.runUntilSettled(ms)
})

When('an earlier load is executed late and the next load gets no response', async function (this: OrderQueueWorld) {
  const { clock } = this.waitingEngine
  this.waitingEngine.count++
  this.waitingEngine.nextLoadResult = 'unanswered'
  submit(this, 'load', 'new')
  await clock.runUntilSettled(clock.readMonotonic() + 500)
})

When('a load is executed and its response is lost', async function (this: OrderQueueWorld) {
  const { clock } = this.waitingEngine
  this.waitingEngine.nextLoadResult = 'lost'
  submit(this, 'load', 'new')
  await clock.runUntilSettled(clock.readMonotonic() + 500)
})

Then('the state of the engine is read again', function (this: OrderQueueWorld) {
  assert.equal(this.mismatches.length, 1)
})

Then('the load is reported as accepted', function (this: OrderQueueWorld) {
  assert.deepEqual([this.outcomes.map(({ verdict }) => verdict), this.mismatches], [['accepted'], []])
})

When('an unload and then a load are submitted to it', function (this: OrderQueueWorld) {
  openQueue(this)
  submit(this, 'unload', 'old')
  submit(this, 'load', 'new')
})

Then('both complete within {int} ms', async function (this: OrderQueueWorld, ms: number) {
  const { clock } = this.waitingEngine
  await clock.runUntilSettled(clock.readMonotonic() + ms)
  assert.deepEqual(this.outcomes.map(({ verdict }) => verdict), ['holds', 'accepted'])
})

Then('the order count of the engine is {int}', function (this: OrderQueueWorld, count: number) {
  assert.equal(this.waitingEngine.count, count)
})
