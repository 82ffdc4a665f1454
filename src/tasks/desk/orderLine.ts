/** Gives one engine orders, one after the other, each under the condition that no other came between. */
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrder, EngineOrders, EngineState, OrderHolder, OrderOutcome } from '../../ports/orders.js'

export interface OrderLineOptions {
  clock: Clock
  log: EventLog
  endpointId: string
  host: string
  orders: EngineOrders
  /** Fencing number under which orders may be given now; undefined where they may not. */
  findFencing: () => number | undefined
  /** Called when the count of orders is not what it should be, so that the engine's state has to be read again. */
  receiveMismatch: (reason: string) => void
}

/** Tries of an order whose answer was lost; each has the same condition, so that one of them at most is carried out. */
const maxTries = 5
/** Engines answer within 15 ms; a first try without an answer is repeated soon, as the condition makes that safe. */
const firstTimeoutMs = 45
const timeoutMs = 100
/** Time between two questions whether an unload has got its runs out of the way; a run takes some 500 ms. */
const repeatUnloadMs = 60
/**
 * An order without an answer may be carried out this long after it was given; the platform's pages say "seconds", and the
 * stand-in takes 1.5 s. Until then one more order than was counted may be one of before.
 */
const lateOrderMs = 5000
/** An unload that takes longer is looked up in the engine's state. */
const maxUnloadMs = 4000

export class OrderLine {
  #options: OrderLineOptions
  /** Orders that the engine has accepted; undefined until its state is read. */
  #count: number | undefined
  #tail: Promise<unknown> = Promise.resolve()
  /** Until then orders of before may still be carried out. */
  #lateUntilMs = Infinity

  constructor (options: OrderLineOptions) {
    this.#options = options
  }

  /** Orders that the engine has accepted, as far as known. */
  get count (): number | undefined {
    return this.#count
  }

  /** Whether an order would be given now. */
  get isOpen (): boolean {
    return this.#count !== undefined && this.#options.findFencing() !== undefined
  }

  recordState (state: EngineState | undefined): void {
    this.#count = state?.orderCount
    // What a former owner gave, or this one before it lost count, may come late.
    this.#expectLateOrders()
  }

  /** Closes the line until the engine's state is read, as it is not what it should be. */
  close (reason: string): void {
    this.#recordMismatch(reason)
  }

  /**
   * Gives an order when those before it have been carried out or refused. An unload that has to wait for runs holds the
   * line up, as the engine takes no other order meanwhile.
   */
  async submit (order: Omit<EngineOrder, 'expectedCount'>): Promise<OrderOutcome> {
    const turn = this.#tail.then(async () => await this.#send(order))
    this.#tail = turn
    return await turn
  }

  /**
   * Asks whether a load is done, by giving the order again. The condition keeps a probe that is carried out late from
   * loading an adapter that was unloaded since.
   */
  async probe (order: Omit<EngineOrder, 'expectedCount'>): Promise<OrderOutcome> {
    const fencing = this.#options.findFencing()
    if (fencing === undefined || this.#count === undefined) return refuse('the host may not give orders now')
    return await this.#options.orders.send({ ...order, expectedCount: this.#count }, { host: this.#options.host, fencing }, timeoutMs)
  }

  /** Repeats an order without an answer under the same condition, so that one of the tries at most is carried out. */
  async #send (order: Omit<EngineOrder, 'expectedCount'>): Promise<OrderOutcome> {
    const { clock, host, orders, findFencing, endpointId, log } = this.#options
    let outcome: OrderOutcome = refuse('the engine\'s state is not known')
    for (let attempt = 1; attempt <= maxTries && this.#count !== undefined; attempt++) {
      const fencing = findFencing()
      if (fencing === undefined) return refuse('the host may not give orders now')
      const startedAtMs = clock.readMonotonic()
      const expectedCount = this.#count
      outcome = await orders.send({ ...order, expectedCount }, { host, fencing }, attempt === 1 ? firstTimeoutMs : timeoutMs)
      log.record(`order.${order.kind}`, 'Gave an engine an order.', {
        endpointId, model: order.model, adapter: order.adapter, version: order.version, expectedCount, fencing, attempt, ...outcome, tookMs: Math.round(clock.readMonotonic() - startedAtMs)
      })
      if (outcome.verdict === 'unknown') continue
      const isRepeated = attempt > 1 && isConflict(outcome) ? await this.#isCarriedOut(order, expectedCount, { host, fencing }) : false
      if (isRepeated) return { verdict: order.kind === 'load' ? 'accepted' : 'holds' }
      if (order.kind === 'unload' && outcome.verdict === 'accepted') return await this.#waitForUnload(order)
      this.#recordOutcome(order, outcome)
      return outcome
    }
    if (outcome.verdict === 'unknown') this.#recordMismatch('an order got no answer')
    return outcome
  }

  /**
   * Whether an earlier try was carried out although its answer was lost: then the engine counts one more, and the order holds.
   * While orders of before may come late, the one more may be one of them, and the question would load an adapter beyond the
   * engine's slots.
   */
  async #isCarriedOut (order: Omit<EngineOrder, 'expectedCount'>, expectedCount: number, holder: OrderHolder): Promise<boolean> {
    if (order.kind === 'load' && this.#options.clock.readMonotonic() < this.#lateUntilMs) return false
    const outcome = await this.#options.orders.send({ ...order, expectedCount: expectedCount + 1 }, holder, timeoutMs)
    if (outcome.verdict === 'refused' || outcome.verdict === 'unknown') return false
    if (this.#count === expectedCount) this.#count++
    // An unload may have been carried out just now, and the one more have been another order.
    if (order.kind === 'unload') this.#expectLateOrders()
    return true
  }

  /**
   * Gives an unload again until the runs that it waits for have ended. Engines don't count it then; a repeat whose answer
   * was lost may have been carried out and counted, after which the condition of the next one fails.
   */
  async #waitForUnload (order: Omit<EngineOrder, 'expectedCount'>): Promise<OrderOutcome> {
    const { clock, endpointId, log, orders, host, findFencing } = this.#options
    const startedAtMs = clock.readMonotonic()
    while (clock.readMonotonic() - startedAtMs < maxUnloadMs) {
      await new Promise<void>(resolve => { clock.setTimer(resolve, repeatUnloadMs) })
      const fencing = findFencing()
      const expectedCount = this.#count
      if (fencing === undefined || expectedCount === undefined) continue
      const outcome = await orders.send({ ...order, expectedCount }, { host, fencing }, timeoutMs)
      const isCounted = isConflict(outcome) && await this.#isCarriedOut(order, expectedCount, { host, fencing })
      if (outcome.verdict !== 'holds' && !isCounted) continue
      log.record('order.unloaded', 'An unload that waited for its runs is done.', {
        endpointId, adapter: order.adapter, isCounted, tookMs: Math.round(clock.readMonotonic() - startedAtMs)
      })
      return { verdict: 'holds' }
    }
    this.#recordMismatch('an unload waits for runs that do not end')
    return { verdict: 'unknown', reason: 'an unload waits for runs that do not end' }
  }

  #recordOutcome (order: Omit<EngineOrder, 'expectedCount'>, outcome: OrderOutcome): void {
    // Engines count a load when they accept it, and an unload when they carry it out at once; one that waits for its runs
    // is not counted, nor is an order that held before.
    const isCounted = order.kind === 'load' ? outcome.verdict === 'accepted' : outcome.verdict === 'holds'
    if (isCounted && this.#count !== undefined) this.#count++
    if (outcome.verdict === 'refused' && outcome.cause === 'conflict') this.#recordMismatch(outcome.reason)
  }

  #expectLateOrders (): void {
    this.#lateUntilMs = this.#options.clock.readMonotonic() + lateOrderMs
  }

  #recordMismatch (reason: string): void {
    this.#count = undefined
    this.#options.receiveMismatch(reason)
  }
}

function isConflict (outcome: OrderOutcome): boolean {
  return outcome.verdict === 'refused' && outcome.cause === 'conflict'
}

function refuse (reason: string): OrderOutcome {
  return { verdict: 'refused', cause: 'unavailable', reason }
}
