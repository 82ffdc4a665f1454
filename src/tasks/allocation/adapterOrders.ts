/** Executes the loads and unloads of adapters that an engine's planner decided on, and reports their outcomes to the planner. */
import { parseAdapterName } from '../../core/allocation/adapterName.js'
import type { AllocationPlanner } from '../../core/allocation/allocationPlanner.js'
import type { Clock } from '../../ports/clock.js'
import type { AdapterLoader, AdapterLoadOutcome } from './adapterLoader.js'
import type { EngineOrderQueue } from './engineOrderQueue.js'

export interface AdapterOrdersOptions {
  clock: Clock
  orderQueue: EngineOrderQueue
  loader: AdapterLoader
  planner: AllocationPlanner
  /** Called when the planner has received an outcome and has to plan again. */
  receiveOutcome: () => void
}

export class AdapterOrders {
  #options: AdapterOrdersOptions
  #isStopped = false

  constructor (options: AdapterOrdersOptions) {
    this.#options = options
  }

  /** Outcomes that arrive later are ignored. */
  stop (): void {
    this.#isStopped = true
  }

  /** Loads an adapter, named `MODEL/ADAPTER`. */
  async load (name: string, version: number): Promise<void> {
    this.receiveLoadOutcome(name, version, await this.#options.loader.load({ kind: 'load', ...parseAdapterName(name), version }))
  }

  /** Receives the outcome of a load, also of one that a former owner ordered. */
  receiveLoadOutcome (name: string, version: number, outcome: AdapterLoadOutcome): void {
    if (this.#isStopped) return
    const { clock, orderQueue, planner, receiveOutcome } = this.#options
    const nowMs = clock.readMonotonic()
    if (outcome === 'loaded') planner.recordLoaded(name, version, nowMs)
    else if (outcome === 'refused') planner.recordLoadFailed(name, nowMs)
    else if (outcome === 'unknown') orderQueue.invalidate(`it is unknown whether adapter "${name}" was loaded`)
    receiveOutcome()
  }

  async unload (name: string): Promise<void> {
    const { clock, orderQueue, planner, receiveOutcome } = this.#options
    const outcome = await orderQueue.submit({ kind: 'unload', ...parseAdapterName(name), version: undefined })
    if (this.#isStopped) return
    if (outcome.verdict === 'holds') planner.recordUnloaded(name)
    else planner.recordUnloadFailed(name, clock.readMonotonic())
    receiveOutcome()
  }
}
