/** Knows whether an engine answers, reads its state when that is in doubt, and gives an empty engine its model. */
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrder, EngineOrders, EngineState } from '../../ports/orders.js'
import type { ModelShape } from '../../schemas/routing.js'
import type { OrderLine } from './orderLine.js'

export interface EngineWatchOptions {
  clock: Clock
  log: EventLog
  orders: EngineOrders
  endpointId: string
  models: readonly ModelShape[]
  line: OrderLine
  /** Takes a state that tells of every order so far; `isRestarted` where the engine has lost what it held before. */
  receiveState: (state: EngineState, isRestarted: boolean) => void
  /** Takes a state that orders of a former owner may yet change. */
  receiveEarlyState: (state: EngineState) => void
}

/** Reports tell the state as of some hundred milliseconds ago. */
const reportLagMs = 350
/** Time between two tries to read the engine's state. */
const rereadMs = 250
/** Time between two questions whether a model's load is done, which reports tell only later. */
const probeModelMs = 60
/** Beyond so many times its usual load the state of an engine without a model is read again. */
const maxModelLoads = 4
const minModelLoadMs = 1000

export class EngineWatch {
  #options: EngineWatchOptions
  #isReady = false
  #isReading = false
  #isStopped = false
  /** Reports read before this time may not tell of the last order. */
  #notBeforeMs = 0
  #timer: Timer | undefined
  #startedAtMs: number | undefined
  /** Orders in the last report; a smaller number tells of a new start. */
  #lastCount = 0
  #wasRestarted = false
  #isUnreachable = false

  constructor (options: EngineWatchOptions) {
    this.#options = options
  }

  /** Whether the engine has told its state and holds a model. */
  get isReady (): boolean {
    return this.#isReady
  }

  /** Whether the first report is still awaited, which takes a few hundred milliseconds. */
  get isStarting (): boolean {
    return this.#startedAtMs === undefined && !this.#isUnreachable
  }

  /** `settleMs`: time in which orders of a former owner may still arrive. */
  start (settleMs: number): void {
    if (settleMs > 0) this.#readEarly()
    this.#read(settleMs, 'the host has become the owner')
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  /** Something does not fit what is known: reads the state once reports tell of the last order. */
  checkState (reason: string): void {
    this.#read(reportLagMs, reason)
  }

  /** A request or a connection failed: until the engine answers it gives no places. */
  checkReachable (): void {
    this.#read(0, 'a request to it failed')
  }

  /** What the engine holds can be used before it may be given orders. */
  async #readEarly (): Promise<void> {
    const { orders, log, endpointId, receiveEarlyState } = this.#options
    try {
      const state = await orders.readState()
      if (this.isStarting && !this.#isStopped) receiveEarlyState(state)
    } catch (error) {
      log.record('engine.silent', 'A new owner does not reach its engine yet.', { endpointId, error: (error as Error).message })
    }
  }

  async #read (delayMs: number, reason: string): Promise<void> {
    const { clock } = this.#options
    this.#notBeforeMs = Math.max(this.#notBeforeMs, clock.readMonotonic() + delayMs)
    if (this.#isReading || this.#isStopped) return
    this.#isReading = true
    let nextDelayMs: number | undefined = delayMs
    while (nextDelayMs !== undefined && !this.#isStopped) {
      await this.#pause(nextDelayMs)
      const earlyMs = this.#notBeforeMs - clock.readMonotonic()
      nextDelayMs = earlyMs > 0 && this.#options.line.count === undefined ? earlyMs : await this.#readOnce(reason)
    }
    this.#isReading = false
  }

  /** Returns when to read again; undefined where the state was taken. */
  async #readOnce (reason: string): Promise<number | undefined> {
    const { orders, log, endpointId, line } = this.#options
    try {
      const state = await orders.readState()
      const startedAtMs = state.startedAtMs ?? 0
      const isRestarted = this.#startedAtMs !== undefined && (startedAtMs !== this.#startedAtMs || state.orderCount < this.#lastCount)
      log.record('engine.state', 'Read the state of an engine.', {
        endpointId, reason, isRestarted, orderCount: state.orderCount, known: line.count, running: state.running, held: state.models.flatMap(model => model.adapters).length, loading: state.loading.length, models: state.models.length
      })
      this.#startedAtMs = startedAtMs
      this.#lastCount = state.orderCount
      if (isRestarted && line.count !== undefined) {
        line.close('the engine has started again')
        this.#isReady = false
        this.#wasRestarted = true
        return reportLagMs
      }
      const isCurrent = line.count === undefined
      if (isCurrent) line.recordState(state)
      if (state.models.length === 0) {
        this.#isReady = false
        return state.isBusy ? rereadMs : await this.#loadModel()
      }
      this.#isReady = true
      // While orders go on, a report that lags behind them says only that the engine answers.
      if (!isCurrent) return undefined
      this.#options.receiveState(state, isRestarted || this.#wasRestarted)
      this.#wasRestarted = false
      return undefined
    } catch (error) {
      if (this.#isReady) log.record('engine.lost', 'An engine does not tell its state; it gives no places until it does.', { endpointId, reason, error: (error as Error).message })
      this.#isReady = false
      this.#isUnreachable = true
      return rereadMs
    }
  }

  /** An engine that holds no model is given the first one of its service; returns when to read the state, unless it is known. */
  async #loadModel (): Promise<number | undefined> {
    const { models, line, log, endpointId } = this.#options
    const model = models[0]
    if (!model) return rereadMs
    const order: Omit<EngineOrder, 'expectedCount'> = { kind: 'load', model: model.name, adapter: undefined, version: undefined }
    const outcome = await line.submit(order)
    log.record('engine.empty', 'An engine holds no model; its load was ordered.', { endpointId, model: model.name, verdict: outcome.verdict })
    if (outcome.verdict === 'accepted' && await this.#awaitModel(order, model.loadMs)) return undefined
    // What follows has to be read anew, as the engine now counts one more order.
    line.recordState(undefined)
    return reportLagMs
  }

  /** Asks until the model is there; false where it does not come. */
  async #awaitModel (order: Omit<EngineOrder, 'expectedCount'>, loadMs: number): Promise<boolean> {
    const { clock, line, log, endpointId } = this.#options
    const startedAtMs = clock.readMonotonic()
    while (!this.#isStopped && clock.readMonotonic() - startedAtMs < Math.max(minModelLoadMs, maxModelLoads * loadMs)) {
      await this.#pause(probeModelMs)
      const probe = await line.probe(order)
      if (probe.verdict !== 'holds') continue
      log.record('engine.modelLoaded', 'An engine has its model and takes requests.', { endpointId, model: order.model, tookMs: Math.round(clock.readMonotonic() - startedAtMs) })
      this.#isReady = true
      this.#options.receiveState({
        startedAtMs: this.#startedAtMs, models: [{ name: order.model, version: 0, adapters: [] }], loading: [], isBusy: false, orderCount: line.count ?? 0, running: 0, waiting: 0
      }, this.#wasRestarted)
      this.#wasRestarted = false
      return true
    }
    return false
  }

  async #pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#timer = this.#options.clock.setTimer(resolve, ms) })
  }
}
