/** Steps for an owner's monitor of an engine, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { EngineOrders, EngineState, EngineOrderOutcome } from '../../src/ports/engineOrders.js'
import { EngineStateMonitor } from '../../src/tasks/allocation/engineStateMonitor.js'
import { EngineOrderQueue } from '../../src/tasks/allocation/engineOrderQueue.js'

/** An engine whose state reports lag and that accepts one order at a time. */
class LaggingEngine implements EngineOrders {
  readonly clock = new VirtualClock()
  reads = 0
  loadMs = 0
  hidesModel = false
  /** When each order arrived, on the engine's clock. */
  readonly orderTimesMs: number[] = []
  #reportLagMs: number
  #count = 0
  #startedAtMs = 1
  #modelLoadedAtMs: number | undefined
  /** The reported states, each with the time from which it is reported. */
  #reports: { reportedFromMs: number, state: EngineState }[] = []

  constructor (reportLagMs: number) {
    this.#reportLagMs = reportLagMs
    this.#reports.push({ reportedFromMs: 0, state: this.#describeState() })
  }

  async send (order: { expectedCount?: number | undefined }): Promise<EngineOrderOutcome> {
    this.orderTimesMs.push(this.clock.readMonotonic())
    if (this.#hasModel()) return { verdict: 'holds' }
    if (this.#modelLoadedAtMs !== undefined || order.expectedCount !== this.#count) return { verdict: 'refused', cause: 'conflict', reason: 'another order is in progress' }
    this.#count++
    this.#modelLoadedAtMs = this.clock.readMonotonic() + this.loadMs
    this.#scheduleReport()
    this.clock.setTimer(() => this.#scheduleReport(), this.loadMs)
    return { verdict: 'accepted' }
  }

  async readState (): Promise<EngineState> {
    this.reads++
    return this.#reports.filter(({ reportedFromMs }) => reportedFromMs <= this.clock.readMonotonic()).at(-1)!.state
  }

  close (): void {}

  restart (): void {
    this.#count = 0
    this.#startedAtMs++
    this.#modelLoadedAtMs = undefined
    this.#scheduleReport()
  }

  #hasModel (): boolean {
    return this.#modelLoadedAtMs !== undefined && this.#modelLoadedAtMs <= this.clock.readMonotonic()
  }

  #scheduleReport (): void {
    if (this.hidesModel) return
    this.#reports.push({ reportedFromMs: this.clock.readMonotonic() + this.#reportLagMs, state: this.#describeState() })
  }

  #describeState (): EngineState {
    return {
      startedAtMs: this.#startedAtMs, models: this.#hasModel() ? [{ name: 'base', version: 1, adapters: [] }] : [], loading: [], isBusy: this.#modelLoadedAtMs !== undefined && !this.#hasModel(), orderCount: this.#count, running: 0, waiting: 0
    }
  }
}

interface EngineMonitorWorld {
  laggingEngine: LaggingEngine
  stateMonitor: EngineStateMonitor
}

Given('an engine without a model whose state reports lag {int} ms', function (this: EngineMonitorWorld, lagMs: number) {
  this.laggingEngine = new LaggingEngine(lagMs)
})

Given('its reports never show its model', function (this: EngineMonitorWorld) {
  this.laggingEngine.hidesModel = true
})

When('its owner starts to monitor it and the load of its model takes {int} ms', async function (this: EngineMonitorWorld, loadMs: number) {
  const engine = this.laggingEngine
  engine.loadMs = loadMs
  const { clock } = engine
  const log = { record: () => {} }
  const orderQueue: EngineOrderQueue = new EngineOrderQueue({
    clock, log, endpointId: 'i-1', host: 'host-1', orders: engine, findFencingToken: () => 1, receiveMismatch: reason => this.stateMonitor.refreshState(reason)
  })
  this.stateMonitor = new EngineStateMonitor({
    clock, log, orders: engine, endpointId: 'i-1', models: [{ name: 'base', weightsMb: 1, adapterMb: 1, loadMs: 600 }], orderQueue, receiveState: () => {}, receiveInitialState: () => {}
  })
  this.stateMonitor.start(0)
  await clock.runUntilSettled(0)
})

When('{int} ms pass at the engine', async function (this: EngineMonitorWorld, ms: number) {
  const { clock } = this.laggingEngine
  await clock.runUntilSettled(clock.readMonotonic() + ms)
})

When('the monitored engine restarts', function (this: EngineMonitorWorld) {
  this.laggingEngine.restart()
})

Then('the owner considers it ready within {int} ms', async function (this: EngineMonitorWorld, ms: number) {
  await this.laggingEngine.clock.runUntilSettled(ms)
  assert.ok(this.stateMonitor.isReady)
})

Then('the owner considers it ready', function (this: EngineMonitorWorld) {
  assert.ok(this.stateMonitor.isReady)
})

Then('the owner does not consider it ready', function (this: EngineMonitorWorld) {
  assert.ok(!this.stateMonitor.isReady)
})

Then('the owner has read its state again', function (this: EngineMonitorWorld) {
  assert.ok(this.laggingEngine.reads > 1)
})

Then('it has sent at most {int} orders in the last {int} ms', function (this: EngineMonitorWorld, count: number, ms: number) {
  const { clock, orderTimesMs } = this.laggingEngine
  const sinceMs = clock.readMonotonic() - ms
  assert.ok(orderTimesMs.filter(timeMs => timeMs > sinceMs).length <= count)
})
