/** Chooses the adapters that an endpoint loads next, and those that are evicted for them. */
import type { ResidentAdapter } from './adapterSlots.js'
import type { EndpointPlan } from './planner.js'
import type { PlannerForecast } from './plannerForecast.js'
import type { PlannerState } from './plannerState.js'
import type { AdapterLoadNeed } from './waitingRequests.js'

export class LoadPlanner {
  #state: PlannerState
  #forecast: PlannerForecast

  constructor (state: PlannerState, forecast: PlannerForecast) {
    this.#state = state
    this.#forecast = forecast
  }

  /** Adds loads to the plan while slots are free, then starts at most one eviction for the next load. */
  planLoads (plan: EndpointPlan, nowMs: number): void {
    this.#planDrainedUnloads(plan, nowMs)
    let remainingLoads = this.#state.options.maxPendingLoads - this.#state.slots.pendingCount
    while (remainingLoads > 0 && this.#state.slots.freeCount > 0) {
      const need = this.#state.loadNeeds.firstUrgent
      if (!need) break
      this.#planLoad(plan, need, nowMs)
      remainingLoads--
    }
    const need = this.#state.loadNeeds.firstUrgent
    // A slot that is being freed is reserved for the first load need, so that no second adapter is evicted for it.
    if (remainingLoads <= 0 || this.#state.slots.evictingCount > 0) return
    if (need) this.#planEviction(plan, need, nowMs)
    else this.#planDeferrableLoad(plan, nowMs)
  }

  /** Unloads the adapters whose last running request has ended; without a load need they stay. */
  #planDrainedUnloads (plan: EndpointPlan, nowMs: number): void {
    for (const resident of this.#state.slots.list()) {
      if (!resident.isDraining || resident.isUnloading || resident.running > 0) continue
      const need = this.#state.loadNeeds.firstUrgent ?? this.#state.loadNeeds.firstEligible
      resident.isDraining = false
      if (need) this.#unload(plan, resident, need, nowMs)
    }
  }

  /** Plans a load for deferrable work, if no load is pending and enough slots stay free or idle for urgent work. */
  #planDeferrableLoad (plan: EndpointPlan, nowMs: number): void {
    const need = this.#state.loadNeeds.firstEligible
    if (!need || this.#state.slots.pendingCount > 0 || this.#state.running.size >= this.#state.capacity.batchLimit - this.#state.options.minFreeBatchSlots) return
    if (this.#state.slots.freeCount + this.#state.slots.idleCount <= this.#state.options.spareAdapterSlots) return
    if (this.#state.slots.freeCount > 0) this.#planLoad(plan, need, nowMs)
    else if (this.#mayEvictForDeferrable(need, nowMs)) this.#planEviction(plan, need, nowMs)
  }

  /** Whether an adapter may be evicted for deferrable work. The allowed eviction cost grows as the slack of that work elapses. */
  #mayEvictForDeferrable ({ queue }: AdapterLoadNeed, nowMs: number): boolean {
    const candidate = this.#forecast.findEvictionCandidate(nowMs)
    const first = queue.firstDeferrable
    if (!candidate || !first) return false
    const elapsedFraction = (nowMs - first.addedAtMs) / Math.max(1, first.latestStartMs - first.addedAtMs)
    const maxLossMs = this.#state.options.computeMaxEvictionLoss(elapsedFraction) * this.#state.runTimes.loadMs
    return this.#forecast.computeEvictionCostMs(candidate, nowMs) <= maxLossMs
  }

  #planLoad (plan: EndpointPlan, need: AdapterLoadNeed, nowMs: number): void {
    const { queue } = need
    this.#state.slots.add(queue.adapter, queue.version, nowMs)
    this.#state.loadNeeds.remove(queue)
    const first = queue.firstUrgent ?? queue.firstDeferrable!
    const reason = `${queue.urgentCount} urgent and ${queue.deferrableCount} deferrable requests wait for the adapter`
    const decision = this.#state.createDecisionDraft('load', first.request, reason)
    plan.loads.push({ adapter: queue.adapter, version: queue.version, slackMs: need.neededAtMs - nowMs, decision })
  }

  /** Evicts the adapter with the lowest cost: at once if it is idle, else when the requests that it runs have ended. */
  #planEviction (plan: EndpointPlan, need: AdapterLoadNeed, nowMs: number): void {
    const candidate = this.#forecast.findEvictionCandidate(nowMs)
    if (!candidate) return
    if (candidate.running > 0) candidate.isDraining = true
    else this.#unload(plan, candidate, need, nowMs)
  }

  #unload (plan: EndpointPlan, candidate: ResidentAdapter, need: AdapterLoadNeed, nowMs: number): void {
    candidate.isUnloading = true
    const first = need.queue.firstUrgent ?? need.queue.firstDeferrable!
    const considered = [...this.#state.slots.list()].map(resident => ({
      name: resident.handle ?? resident.name,
      costMs: this.#forecast.computeEvictionCostMs(resident, nowMs),
      note: resident.running > 0 ? `runs ${resident.running} requests` : 'idle'
    }))
    const reason = `adapter "${need.queue.name}" needs the slot, and the loss of "${candidate.name}" is forecast to cost least`
    plan.unloads.push({ handle: candidate.handle!, decision: { ...this.#state.createDecisionDraft('unload', first.request, reason), considered, chosen: candidate.handle! } })
  }
}
