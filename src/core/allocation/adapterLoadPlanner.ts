/** Plans which adapters an engine loads and unloads for the requests that wait for them. */
import type { AllocationRequest, MutablePlan } from './allocationRequest.js'
import { wakeBy } from './allocationRequest.js'
import type { EngineAdapter, EngineAdapters } from './engineAdapters.js'

/** A failed load is not ordered again for this long, as most fail because the engine's state has to be read again. */
const loadBackOffMs = 150

export interface AdapterLoadPlannerOptions {
  adapters: EngineAdapters
  /** Loads that the engine runs concurrently. */
  maxLoads: number
  /** Expected load time of an adapter. */
  estimateLoadMs: (adapter: string, version: number) => number
  /** Counts an order to the engine. */
  recordOrder: (nowMs: number) => void
}

export class AdapterLoadPlanner {
  #options: AdapterLoadPlannerOptions
  /** When the last load of an adapter failed. */
  #failedLoads = new Map<string, number>()

  constructor (options: AdapterLoadPlannerOptions) {
    this.#options = options
  }

  recordFailed (adapter: string, nowMs: number): void {
    this.#failedLoads.set(adapter, nowMs)
  }

  /** Plans loads for adapters that requests wait for, the most urgent one first; `wanted` holds a request for each. */
  planLoads (wanted: ReadonlyMap<string, AllocationRequest>, isWaiting: (key: string) => boolean, plan: MutablePlan, nowMs: number): void {
    // Slots that are being freed are reserved for the most urgent pending loads.
    const freeing = { slots: this.#options.adapters.unloadingCount }
    for (const request of wanted.values()) if (isWaiting(request.key)) this.#planLoad(request, wanted, freeing, plan, nowMs)
  }

  /** Loads an adapter into a free slot, or evicts another adapter to free one. */
  #planLoad (request: AllocationRequest, wanted: ReadonlyMap<string, AllocationRequest>, freeing: { slots: number }, plan: MutablePlan, nowMs: number): void {
    const { adapters, maxLoads, estimateLoadMs, recordOrder } = this.#options
    const engineAdapter = adapters.find(request.adapter)
    if (engineAdapter) {
      if (engineAdapter.version < request.version) this.#replaceVersion(engineAdapter, plan, nowMs)
      return
    }
    if (adapters.loadingCount >= maxLoads || this.#isBackingOff(request.adapter, plan, nowMs)) return
    if (adapters.freeSlots > 0) {
      adapters.add(request.adapter, request.version, 'loading', nowMs + estimateLoadMs(request.adapter, request.version), nowMs)
      recordOrder(nowMs)
      plan.loads.push({ adapter: request.adapter, version: request.version })
      return
    }
    if (freeing.slots > 0) {
      freeing.slots--
      return
    }
    if (adapters.unloadingCount + adapters.loadingCount >= maxLoads) return
    const candidate = adapters.findEvictionCandidate(nowMs, name => wanted.has(name))
    if (candidate) this.#unload(candidate, plan, nowMs)
    else if (adapters.protectedUntilMs > nowMs) wakeBy(plan, adapters.protectedUntilMs)
  }

  /** Whether the last load of an adapter failed so recently that the next one has to wait. */
  #isBackingOff (adapter: string, plan: MutablePlan, nowMs: number): boolean {
    const failedAtMs = this.#failedLoads.get(adapter)
    if (failedAtMs === undefined) return false
    if (nowMs - failedAtMs < loadBackOffMs) {
      wakeBy(plan, failedAtMs + loadBackOffMs)
      return true
    }
    this.#failedLoads.delete(adapter)
    return false
  }

  /** An engine holds one version of an adapter at a time, so the old one is unloaded once no request runs on it. */
  #replaceVersion (engineAdapter: EngineAdapter, plan: MutablePlan, nowMs: number): void {
    if (engineAdapter.state !== 'loaded') return
    engineAdapter.isClosing = true
    if (engineAdapter.running === 0) this.#unload(engineAdapter, plan, nowMs)
  }

  #unload (engineAdapter: EngineAdapter, plan: MutablePlan, nowMs: number): void {
    engineAdapter.state = 'unloading'
    this.#options.recordOrder(nowMs)
    plan.unloads.push(engineAdapter.name)
  }
}
