/**
 * Tracks whether an engine responds, reads its state when it may have changed unexpectedly, and loads the model into an engine
 * without one.
 */
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrder, EngineOrders, EngineState } from '../../ports/engineOrders.js'
import type { ModelSpec } from '../../schemas/routing.js'
import type { EngineOrderQueue } from './engineOrderQueue.js'

export interface EngineStateMonitorOptions {
  clock: Clock
  log: EventLog
  orders: EngineOrders
  endpointId: string
  models: readonly ModelSpec[]
  orderQueue: EngineOrderQueue
  /** Called with a state that reflects every order so far; `isRestarted`: the engine has lost what it had loaded before. */
  receiveState: (state: EngineState, isRestarted: boolean) => void
  /** Called with a state that orders of the former owner may still change. */
  receiveInitialState: (state: EngineState) => void
}

/** Reports lag a few hundred milliseconds behind the engine's state. */
const reportLagMs = 350
/** Interval of attempts to read the engine's state. */
const retryIntervalMs = 250
/** Interval of probes whether a model's load has completed, which reports show only later. */
const modelProbeIntervalMs = 60
/** The engine's state is read again when a model's load takes this many times its usual duration. */
const maxModelLoadFactor = 4
const minModelLoadTimeoutMs = 1000

export class EngineStateMonitor {
  #options: EngineStateMonitorOptions
  #isReady = false
  #isReading = false
  #isStopped = false
  /** Reports read before this time may not reflect the last order. */
  #earliestReadMs = 0
  #timer: Timer | undefined
  #engineStartedAtMs: number | undefined
  /** Order count in the last report; a smaller number means that the engine has restarted. */
  #lastOrderCount = 0
  #wasRestarted = false
  #isUnreachable = false
  /** Whether the engine has just answered that it holds its model, which its report did not show. */
  #isModelUnreported = false

  constructor (options: EngineStateMonitorOptions) {
    this.#options = options
  }

  /** Whether the engine's state is known and it has a model. */
  get isReady (): boolean {
    return this.#isReady
  }

  /** Whether the first report has not arrived yet, which takes a few hundred milliseconds. */
  get isStarting (): boolean {
    return this.#engineStartedAtMs === undefined && !this.#isUnreachable
  }

  /** `takeoverDelayMs`: time in which orders of the former owner may still arrive; the state is read after it. */
  start (takeoverDelayMs: number): void {
    if (takeoverDelayMs > 0) this.#readInitialState()
    this.#scheduleRead(takeoverDelayMs, 'this host has become the owner')
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  /** Reads the state again after it differed from what was expected, once reports reflect the last order. */
  refreshState (reason: string): void {
    this.#scheduleRead(reportLagMs, reason)
  }

  /**
   * Reads the state at once after a request or a connection failed. If the engine does not respond, no reservations are granted
   * there.
   */
  checkReachability (): void {
    this.#scheduleRead(0, 'a request to the engine failed')
  }

  /** Reads what is already loaded, which can be used before orders may be sent. */
  async #readInitialState (): Promise<void> {
    const { orders, log, endpointId, receiveInitialState } = this.#options
    try {
      const state = await orders.readState()
      if (this.isStarting && !this.#isStopped) receiveInitialState(state)
    } catch (error) {
      log.record('engine.silent', 'The new owner could not read the state of its engine yet.', { endpointId, error: (error as Error).message })
    }
  }

  async #scheduleRead (delayMs: number, reason: string): Promise<void> {
    const { clock } = this.#options
    this.#earliestReadMs = Math.max(this.#earliestReadMs, clock.readMonotonic() + delayMs)
    if (this.#isReading || this.#isStopped) return
    this.#isReading = true
    let nextDelayMs: number | undefined = delayMs
    while (nextDelayMs !== undefined && !this.#isStopped) {
      await this.#delay(nextDelayMs)
      const delayLeftMs = this.#earliestReadMs - clock.readMonotonic()
      nextDelayMs = delayLeftMs > 0 && this.#options.orderQueue.orderCount === undefined ? delayLeftMs : await this.#readState(reason)
    }
    this.#isReading = false
  }

  /** Returns the delay until the next read, or undefined if none is needed. */
  async #readState (reason: string): Promise<number | undefined> {
    const { orders, log, endpointId, orderQueue } = this.#options
    try {
      const state = await orders.readState()
      const startedAtMs = state.startedAtMs ?? 0
      const isRestarted = this.#engineStartedAtMs !== undefined && (startedAtMs !== this.#engineStartedAtMs || state.orderCount < this.#lastOrderCount)
      log.record('engine.state', 'Read the state of an engine.', {
        endpointId, reason, isRestarted, orderCount: state.orderCount, known: orderQueue.orderCount, running: state.running, held: state.models.flatMap(model => model.adapters).length, loading: state.loading.length, models: state.models.length
      })
      this.#engineStartedAtMs = startedAtMs
      this.#lastOrderCount = state.orderCount
      if (isRestarted && orderQueue.orderCount !== undefined) {
        orderQueue.invalidate('the engine has restarted')
        this.#isReady = false
        this.#wasRestarted = true
        return reportLagMs
      }
      const isCurrent = orderQueue.orderCount === undefined
      if (isCurrent) orderQueue.recordState(state)
      if (state.models.length === 0) {
        this.#isReady = false
        return state.isBusy ? retryIntervalMs : await this.#loadModel()
      }
      this.#isReady = true
      this.#isModelUnreported = false
      // While orders are being sent, a lagging report shows only that the engine responds.
      if (!isCurrent) return undefined
      this.#options.receiveState(state, isRestarted || this.#wasRestarted)
      this.#wasRestarted = false
      return undefined
    } catch (error) {
      if (this.#isReady) log.record('engine.lost', 'Could not read the state of an engine; no reservations are granted there until it can be read.', { endpointId, reason, error: (error as Error).message })
      this.#isReady = false
      this.#isUnreachable = true
      return retryIntervalMs
    }
  }

  /**
   * Loads the first model of the service into an engine without one. Returns the delay until the next read of the state, or
   * undefined if the model is loaded.
   */
  async #loadModel (): Promise<number | undefined> {
    const { models, orderQueue, log, endpointId } = this.#options
    const model = models[0]
    if (!model) return retryIntervalMs
    const order: Omit<EngineOrder, 'expectedCount'> = { kind: 'load', model: model.name, adapter: undefined, version: undefined }
    const outcome = await orderQueue.submit(order)
    log.record('engine.empty', 'An engine has no model; ordered a load of the model.', { endpointId, model: model.name, verdict: outcome.verdict })
    if (outcome.verdict === 'accepted' && await this.#waitForModel(order, model.loadMs)) return undefined
    const isHeld = outcome.verdict === 'holds'
    // A report may be older than the first such answer, but not than the second.
    if (isHeld && this.#isModelUnreported) {
      log.record('engine.modelUnreported', 'An engine says that it has its model, which its reports do not show; requests are sent to it.', { endpointId, model: model.name })
      this.#receiveModel(model.name)
      return undefined
    }
    this.#isModelUnreported = isHeld
    // The engine may have counted the order, so its state has to be read again before the next one.
    orderQueue.recordState(undefined)
    return reportLagMs
  }

  /** Probes until the model is loaded; returns false if that does not happen in time. */
  async #waitForModel (order: Omit<EngineOrder, 'expectedCount'>, loadMs: number): Promise<boolean> {
    const { clock, orderQueue, log, endpointId } = this.#options
    const startedAtMs = clock.readMonotonic()
    while (!this.#isStopped && clock.readMonotonic() - startedAtMs < Math.max(minModelLoadTimeoutMs, maxModelLoadFactor * loadMs)) {
      await this.#delay(modelProbeIntervalMs)
      const probe = await orderQueue.probe(order)
      if (probe.verdict !== 'holds') continue
      log.record('engine.modelLoaded', 'An engine has loaded its model and accepts requests.', { endpointId, model: order.model, tookMs: Math.round(clock.readMonotonic() - startedAtMs) })
      this.#receiveModel(order.model)
      return true
    }
    return false
  }

  /** Receives that the engine has its model, from an answer to an order. */
  #receiveModel (model: string): void {
    const { orderQueue, receiveState } = this.#options
    this.#isReady = true
    receiveState({
      startedAtMs: this.#engineStartedAtMs, models: [{ name: model, version: 0, adapters: [] }], loading: [], isBusy: false, orderCount: orderQueue.orderCount ?? 0, running: 0, waiting: 0
    }, this.#wasRestarted)
    this.#wasRestarted = false
  }

  async #delay (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#timer = this.#options.clock.setTimer(resolve, ms) })
  }
}
