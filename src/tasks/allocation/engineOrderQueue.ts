/**
 * Sends orders to one engine, one at a time. Each is conditional on the engine's order count, so that it is refused if another
 * order came before it.
 */
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrder, EngineOrders, EngineState, OrderHolder, EngineOrderOutcome } from '../../ports/engineOrders.js'

export interface EngineOrderQueueOptions {
  clock: Clock
  log: EventLog
  endpointId: string
  host: string
  orders: EngineOrders
  /** Returns the fencing token for orders, or undefined if this host may not send orders now. */
  findFencingToken: () => number | undefined
  /** Called when the order count is not the expected one, so that the engine's state has to be read again. */
  receiveMismatch: (reason: string) => void
}

/** Attempts to send an order whose response was lost. All have the same expected count, so the engine executes at most one. */
const maxAttempts = 5
/** Engines respond within 15 ms. A first attempt without a response is soon retried, which the expected count makes safe. */
const firstAttemptTimeoutMs = 45
const timeoutMs = 100
/** Interval of retries of an unload that waits for requests on its adapter; a request takes about 500 ms. */
const unloadRetryIntervalMs = 60
/**
 * An order without a response may be executed this long after it was sent; the platform's documentation says "seconds", and
 * the stand-in takes 1.5 s. Until then an unexpected increase of the order count may come from such an earlier order.
 */
const lateOrderWindowMs = 5000
/** After this time an unload that has not completed is looked up in the engine's state. */
const maxUnloadMs = 4000

export class EngineOrderQueue {
  #options: EngineOrderQueueOptions
  /** Number of orders that the engine has counted; undefined until its state is read. */
  #orderCount: number | undefined
  #lastOrder: Promise<unknown> = Promise.resolve()
  /** Until this time earlier orders may still be executed. */
  #lateOrdersUntilMs = Infinity

  constructor (options: EngineOrderQueueOptions) {
    this.#options = options
  }

  /** Number of orders that the engine has counted; undefined while it is unknown. */
  get orderCount (): number | undefined {
    return this.#orderCount
  }

  /** Whether an order would be sent now. */
  get canSendOrders (): boolean {
    return this.#orderCount !== undefined && this.#options.findFencingToken() !== undefined
  }

  recordState (state: EngineState | undefined): void {
    this.#orderCount = state?.orderCount
    // Orders of the former owner, or of this host before the count became unknown, may be executed late.
    this.#startLateOrderWindow()
  }

  /** Sends no further orders until the engine's state is read, because it differs from what was expected. */
  invalidate (reason: string): void {
    this.#reportMismatch(reason)
  }

  /**
   * Sends an order once the orders before it have been executed or refused. An unload that has to wait for running requests
   * blocks the queue, because the engine accepts no other order in the meantime.
   */
  async submit (order: Omit<EngineOrder, 'expectedCount'>): Promise<EngineOrderOutcome> {
    const outcome = this.#lastOrder.then(async () => await this.#send(order))
    this.#lastOrder = outcome
    return await outcome
  }

  /**
   * Checks whether a load has completed by sending the order again. The expected count prevents a probe that is executed
   * late from loading an adapter that has been unloaded since.
   */
  async probe (order: Omit<EngineOrder, 'expectedCount'>): Promise<EngineOrderOutcome> {
    const fencing = this.#options.findFencingToken()
    if (fencing === undefined || this.#orderCount === undefined) return createRefusal('this host may not send orders now')
    return await this.#options.orders.send({ ...order, expectedCount: this.#orderCount }, { host: this.#options.host, fencing }, timeoutMs)
  }

  /** Retries an order without a response with the same expected count, so that the engine executes it at most once. */
  async #send (order: Omit<EngineOrder, 'expectedCount'>): Promise<EngineOrderOutcome> {
    const { clock, host, orders, findFencingToken, endpointId, log } = this.#options
    let outcome: EngineOrderOutcome = createRefusal('the state of the engine is unknown')
    for (let attempt = 1; attempt <= maxAttempts && this.#orderCount !== undefined; attempt++) {
      const fencing = findFencingToken()
      if (fencing === undefined) return createRefusal('this host may not send orders now')
      const startedAtMs = clock.readMonotonic()
      const expectedCount = this.#orderCount
      outcome = await orders.send({ ...order, expectedCount }, { host, fencing }, attempt === 1 ? firstAttemptTimeoutMs : timeoutMs)
      log.record(`order.${order.kind}`, 'Sent an order to an engine.', {
        endpointId, model: order.model, adapter: order.adapter, version: order.version, expectedCount, fencing, attempt, ...outcome, tookMs: Math.round(clock.readMonotonic() - startedAtMs)
      })
      if (outcome.verdict === 'unknown') continue
      const wasExecuted = attempt > 1 && isConflict(outcome) ? await this.#wasExecuted(order, expectedCount, { host, fencing }) : false
      if (wasExecuted) return { verdict: order.kind === 'load' ? 'accepted' : 'holds' }
      if (order.kind === 'unload' && outcome.verdict === 'accepted') return await this.#waitForUnload(order)
      this.#recordOutcome(order, outcome)
      return outcome
    }
    if (outcome.verdict === 'unknown') this.#reportMismatch('an order got no response')
    return outcome
  }

  /**
   * Whether an earlier attempt was executed although its response was lost: then the engine has counted one more order, and
   * the same order is accepted or already done at that count. While earlier orders may be executed late, the additional order
   * may be one of them. For a load the check is then skipped, as it could load an adapter beyond the engine's slots.
   */
  async #wasExecuted (order: Omit<EngineOrder, 'expectedCount'>, expectedCount: number, holder: OrderHolder): Promise<boolean> {
    if (order.kind === 'load' && this.#options.clock.readMonotonic() < this.#lateOrdersUntilMs) return false
    const outcome = await this.#options.orders.send({ ...order, expectedCount: expectedCount + 1 }, holder, timeoutMs)
    if (outcome.verdict === 'refused' || outcome.verdict === 'unknown') return false
    if (this.#orderCount === expectedCount) this.#orderCount++
    // This check may itself have executed the unload; the additional order was then another one.
    if (order.kind === 'unload') this.#startLateOrderWindow()
    return true
  }

  /**
   * Sends an unload again until the requests that it waits for have ended. Engines do not count an unload that has waited.
   * A retry whose response was lost may have been executed and counted, though; the expected count of the next one is then
   * wrong.
   */
  async #waitForUnload (order: Omit<EngineOrder, 'expectedCount'>): Promise<EngineOrderOutcome> {
    const { clock, endpointId, log, orders, host, findFencingToken } = this.#options
    const startedAtMs = clock.readMonotonic()
    while (clock.readMonotonic() - startedAtMs < maxUnloadMs) {
      await new Promise<void>(resolve => { clock.setTimer(resolve, unloadRetryIntervalMs) })
      const fencing = findFencingToken()
      const expectedCount = this.#orderCount
      if (fencing === undefined || expectedCount === undefined) continue
      const outcome = await orders.send({ ...order, expectedCount }, { host, fencing }, timeoutMs)
      const isCounted = isConflict(outcome) && await this.#wasExecuted(order, expectedCount, { host, fencing })
      if (outcome.verdict !== 'holds' && !isCounted) continue
      log.record('order.unloaded', 'An unload that waited for running requests has completed.', {
        endpointId, adapter: order.adapter, isCounted, tookMs: Math.round(clock.readMonotonic() - startedAtMs)
      })
      return { verdict: 'holds' }
    }
    this.#reportMismatch('an unload waits for requests that do not end')
    return { verdict: 'unknown', reason: 'an unload waits for requests that do not end' }
  }

  #recordOutcome (order: Omit<EngineOrder, 'expectedCount'>, outcome: EngineOrderOutcome): void {
    // Engines count a load when they accept it, and an unload when they execute it at once. They count neither an unload that
    // waits for requests nor an order whose result is already in place.
    const isCounted = order.kind === 'load' ? outcome.verdict === 'accepted' : outcome.verdict === 'holds'
    if (isCounted && this.#orderCount !== undefined) this.#orderCount++
    if (outcome.verdict === 'refused' && outcome.cause === 'conflict') this.#reportMismatch(outcome.reason)
  }

  #startLateOrderWindow (): void {
    this.#lateOrdersUntilMs = this.#options.clock.readMonotonic() + lateOrderWindowMs
  }

  #reportMismatch (reason: string): void {
    this.#orderCount = undefined
    this.#options.receiveMismatch(reason)
  }
}

function isConflict (outcome: EngineOrderOutcome): boolean {
  return outcome.verdict === 'refused' && outcome.cause === 'conflict'
}

function createRefusal (reason: string): EngineOrderOutcome {
  return { verdict: 'refused', cause: 'unavailable', reason }
}
