/** Steps of what an owner knows of an engine, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { EngineOrders, EngineState, OrderOutcome } from '../../src/ports/orders.js'
import { EngineStateMonitor } from '../../src/tasks/desk/engineWatch.js'
import { EngineOrderQueue } from '../../src/tasks/desk/orderLine.js'

/** One engine as its owner meets it: its reports lag, and it takes one order at a time. */
class LaggingEngine implements EngineOrders {
  readonly clock = new VirtualClock()
  reads = 0
  loadMs = 0
  #reportLagMs: number
  #count = 0
  #startedAtMs = 1
  #modelAtMs: number | undefined
  /** What reports tell from a time on. */
  #reports: { fromMs: number, state: EngineState }[] = []

  constructor (reportLagMs: number) {
    this.#reportLagMs = reportLagMs
    this.#reports.push({ fromMs: 0, state: this.#describe() })
  }

  async send (order: { expectedCount?: number | undefined }): Promise<OrderOutcome> {
    if (this.#hasModel()) return { verdict: 'holds' }
    if (this.#modelAtMs !== undefined || order.expectedCount !== this.#count) return { verdict: 'refused', cause: 'conflict', reason: 'another order is in progress' }
    this.#count++
    this.#modelAtMs = this.clock.readMonotonic() + this.loadMs
    this.#report()
    this.clock.setTimer(() => this.#report(), this.loadMs)
    return { verdict: 'accepted' }
  }

  async readState (): Promise<EngineState> {
    this.reads++
    return this.#reports.filter(({ fromMs }) => fromMs <= this.clock.readMonotonic()).at(-1)!.state
  }

  close (): void {}

  restart (): void {
    this.#count = 0
    this.#startedAtMs++
    this.#modelAtMs = undefined
    this.#report()
  }

  #hasModel (): boolean {
    return this.#modelAtMs !== undefined && this.#modelAtMs <= this.clock.readMonotonic()
  }

  #report (): void {
    this.#reports.push({ fromMs: this.clock.readMonotonic() + this.#reportLagMs, state: this.#describe() })
  }

  #describe (): EngineState {
    return {
      startedAtMs: this.#startedAtMs, models: this.#hasModel() ? [{ name: 'base', version: 1, adapters: [] }] : [], loading: [], isBusy: this.#modelAtMs !== undefined && !this.#hasModel(), orderCount: this.#count, running: 0, waiting: 0
    }
  }
}

interface EngineWorld {
  laggingEngine: LaggingEngine
  engineWatch: EngineStateMonitor
}

Given('an engine without its model whose reports are {int} ms old', function (this: EngineWorld, lagMs: number) {
  this.laggingEngine = new LaggingEngine(lagMs)
})

When('its owner takes it and the load of its model takes {int} ms', async function (this: EngineWorld, loadMs: number) {
  const engine = this.laggingEngine
  engine.loadMs = loadMs
  const { clock } = engine
  const log = { record: () => {} }
  const line: EngineOrderQueue = new EngineOrderQueue({
    clock, log, endpointId: 'i-1', host: 'host-1', orders: engine, findFencingToken: () => 1, receiveMismatch: reason => this.engineWatch.refreshState(reason)
  })
  this.engineWatch = new EngineStateMonitor({
    clock, log, orders: engine, endpointId: 'i-1', models: [{ name: 'base', weightsMb: 1, adapterMb: 1, loadMs: 600 }], orderQueue: line, receiveState: () => {}, receiveInitialState: () => {}
  })
  this.engineWatch.start(0)
  await clock.runUntilSettled(0)
})

When('{int} ms pass at the engine', async function (this: EngineWorld, ms: number) {
  const { clock } = this.laggingEngine
  await clock.runUntilSettled(clock.readMonotonic() + ms)
})

When('the engine starts anew', function (this: EngineWorld) {
  this.laggingEngine.restart()
})

Then('the owner uses it within {int} ms', async function (this: EngineWorld, ms: number) {
  await this.laggingEngine.clock.runUntilSettled(ms)
  assert.ok(this.engineWatch.isReady)
})

Then('the owner uses it', function (this: EngineWorld) {
  assert.ok(this.engineWatch.isReady)
})

Then('the owner does not use it', function (this: EngineWorld) {
  assert.ok(!this.engineWatch.isReady)
})

Then('the owner has read its state again', function (this: EngineWorld) {
  assert.ok(this.laggingEngine.reads > 1)
})
