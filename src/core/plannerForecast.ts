/** The forecasts of an endpoint's planner: waits, latest starts and eviction costs. */
import { isUsable } from './adapterSlots.js'
import type { ResidentAdapter } from './adapterSlots.js'
import type { EndpointForecast, QueuedRequest } from './planner.js'
import type { PlannerState } from './plannerState.js'

export class PlannerForecast {
  #state: PlannerState

  constructor (state: PlannerState) {
    this.#state = state
  }

  computeForecast (nowMs: number): EndpointForecast {
    const loaded: string[] = []
    const loading: string[] = []
    for (const resident of this.#state.slots.list()) {
      if (isUsable(resident)) loaded.push(resident.name)
      else if (!resident.handle) loading.push(resident.name)
    }
    return {
      queued: this.#state.waiting.size,
      expectedWaitMs: this.computeBatchWaitMs(this.#state.waiting.urgentCount),
      expectedLoadMs: this.computeLoadWaitMs(nowMs),
      serviceIntervalMs: this.serviceIntervalMs,
      evictionCostMs: this.computeMinEvictionCostMs(nowMs),
      loaded,
      loading
    }
  }

  get serviceIntervalMs (): number {
    return this.#state.runTimes.runMs / this.#state.capacity.batchLimit
  }

  computeGraceMs (request: QueuedRequest): number {
    return this.#state.options.computeGraceMs(request.dueAtMs - request.arrivedAtMs)
  }

  computeLatestStartMs (request: QueuedRequest): number {
    const isFirstToken = request.target.kind === 'firstTokenWithin'
    return request.dueAtMs - (isFirstToken ? this.#state.runTimes.firstTokenMs : this.#state.runTimes.computeRunMs(request.maxTokens))
  }

  /**
   * Cost of evicting a resident adapter, in milliseconds: the time until it is idle, and the loads that its queued
   * requests and the arrivals forecast within the eviction horizon would have to wait for.
   */
  computeEvictionCostMs (resident: ResidentAdapter, nowMs: number): number {
    const busyMs = resident.running > 0 ? Math.max(0, resident.busyUntilMs - nowMs) : 0
    const queued = this.#state.waiting.findQueue(resident.name)?.deferrableCount ?? 0
    const arrivals = this.#state.demand.computeRate(resident.name, nowMs) * this.#state.options.evictionHorizonMs / 1000
    return busyMs + (arrivals + queued) * this.#state.runTimes.loadMs
  }

  /** Cost of the next load to other adapters: 0 while a slot is free, else the lowest eviction cost. */
  computeMinEvictionCostMs (nowMs: number): number {
    if (this.#state.slots.freeCount > 0) return 0
    const candidate = this.findEvictionCandidate(nowMs)
    return candidate ? this.computeEvictionCostMs(candidate, nowMs) : this.#state.options.evictionHorizonMs
  }

  /** Expected wait for a batch slot with so many requests ahead in the queue. */
  computeBatchWaitMs (ahead: number): number {
    return Math.max(0, this.#state.running.size + ahead + 1 - this.#state.capacity.batchLimit) * this.serviceIntervalMs
  }

  /** Expected time until a load that is planned now has finished; it grows with the number of pending loads. */
  computeLoadWaitMs (nowMs: number): number {
    return this.#state.loadTimes.computeLoadMs(nowMs) * (1 + this.#state.slots.pendingCount / this.#state.options.maxPendingLoads)
  }

  /**
   * Expected time until a new request could start, in milliseconds. Fair queueing puts an urgent request behind at most
   * its caller's queue times the number of active callers of the class.
   */
  computeExpectedStartMs (request: QueuedRequest, isUrgent: boolean, name: string, nowMs: number): number {
    const fairShareAhead = (this.#state.waiting.countCallerQueued(request) + 1) * Math.max(1, this.#state.waiting.countActiveCallers(request.className))
    const batchWaitMs = isUrgent
      ? this.computeBatchWaitMs(Math.min(this.#state.waiting.urgentCount, fairShareAhead))
      : this.computeBatchWaitMs(this.#state.waiting.size) / this.#state.deferrableCapacity.computeDeferrableShare(nowMs)
    const resident = this.#state.slots.find(name)
    if (resident?.handle) return batchWaitMs
    if (resident) return Math.max(batchWaitMs, resident.plannedAtMs + this.#state.loadTimes.computeLoadMs(nowMs) - nowMs)
    return Math.max(batchWaitMs, this.computeLoadWaitMs(nowMs), this.#state.loadBackOff.getRetryAtMs(name) - nowMs)
  }

  /** Finds the adapter with the lowest eviction cost, apart from those that urgent requests wait for or whose last unload failed. */
  findEvictionCandidate (nowMs: number): ResidentAdapter | undefined {
    return this.#state.slots.findEvictionCandidate(resident => {
      const queue = this.#state.waiting.findQueue(resident.name)
      const isProtected = resident.noUnloadUntilMs > nowMs
      return isProtected || (queue && queue.urgentCount > 0) ? Infinity : this.computeEvictionCostMs(resident, nowMs)
    })
  }
}
