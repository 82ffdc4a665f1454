/** What the planner of an endpoint expects: waits, latest starts, and what the loss of an adapter costs. */
import { isUsable } from './adapterSlots.js'
import type { Resident } from './adapterSlots.js'
import type { EndpointExpectation, QueuedRequest } from './planner.js'
import type { PlannerState } from './plannerState.js'

export class PlannerForecast {
  #state: PlannerState

  constructor (state: PlannerState) {
    this.#state = state
  }

  readExpectation (nowMs: number): EndpointExpectation {
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
      evictionCostMs: this.computeLeastEvictionCostMs(nowMs),
      loaded,
      loading
    }
  }

  get serviceIntervalMs (): number {
    return this.#state.times.runMs / this.#state.shape.batchLimit
  }

  computeGraceMs (request: QueuedRequest): number {
    return this.#state.options.computeGraceMs(request.dueAtMs - request.arrivedAtMs)
  }

  computeLatestStartMs (request: QueuedRequest): number {
    const isFirstToken = request.target.kind === 'firstTokenWithin'
    return request.dueAtMs - (isFirstToken ? this.#state.times.firstTokenMs : this.#state.times.computeRunMs(request.maxTokens))
  }

  /** Cost of giving a resident's slot up: the wait until it is idle and the forecast of the stalls that its loss causes. */
  computeVictimCostMs (resident: Resident, nowMs: number): number {
    const busyMs = resident.running > 0 ? Math.max(0, resident.busyUntilMs - nowMs) : 0
    const queued = this.#state.waiting.findGroup(resident.name)?.deferrableCount ?? 0
    const arrivals = this.#state.demand.computeRate(resident.name, nowMs) * this.#state.options.evictionHorizonMs / 1000
    return busyMs + (arrivals + queued) * this.#state.times.loadMs
  }

  /** What the next load costs others: nothing with a free slot, else the slot that costs least. */
  computeLeastEvictionCostMs (nowMs: number): number {
    if (this.#state.slots.free > 0) return 0
    const victim = this.findVictim(nowMs)
    return victim ? this.computeVictimCostMs(victim, nowMs) : this.#state.options.evictionHorizonMs
  }

  computeBatchWaitMs (ahead: number): number {
    return Math.max(0, this.#state.running.size + ahead + 1 - this.#state.shape.batchLimit) * this.serviceIntervalMs
  }

  computeLoadWaitMs (nowMs: number): number {
    return this.#state.loadTimes.computeLoadMs(nowMs) * (1 + this.#state.slots.pending / this.#state.options.maxPendingLoads)
  }

  computeExpectedStartMs (request: QueuedRequest, isUrgent: boolean, name: string, nowMs: number): number {
    const ofCaller = (this.#state.waiting.countCallerQueued(request) + 1) * Math.max(1, this.#state.waiting.countActiveCallers(request.className))
    const batchWaitMs = isUrgent
      ? this.computeBatchWaitMs(Math.min(this.#state.waiting.urgentCount, ofCaller))
      : this.computeBatchWaitMs(this.#state.waiting.size) / this.#state.places.computeDeferrableShare(nowMs)
    const resident = this.#state.slots.find(name)
    if (resident?.handle) return batchWaitMs
    if (resident) return Math.max(batchWaitMs, resident.plannedAtMs + this.#state.loadTimes.computeLoadMs(nowMs) - nowMs)
    return Math.max(batchWaitMs, this.computeLoadWaitMs(nowMs), this.#state.backOff.findRetryMs(name) - nowMs)
  }

  findVictim (nowMs: number): Resident | undefined {
    return this.#state.slots.findVictim(resident => {
      const group = this.#state.waiting.findGroup(resident.name)
      const isKept = resident.keptUntilMs > nowMs
      return isKept || (group && group.urgentCount > 0) ? Infinity : this.computeVictimCostMs(resident, nowMs)
    })
  }
}
