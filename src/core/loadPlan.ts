/** Which adapters an endpoint loads next, and which ones give their slots up for them. */
import type { Resident } from './adapterSlots.js'
import type { EndpointPlan } from './planner.js'
import type { PlannerForecast } from './plannerForecast.js'
import type { PlannerState } from './plannerState.js'
import type { LoadNeed } from './waitingRequests.js'

export class LoadPlan {
  #state: PlannerState
  #forecast: PlannerForecast

  constructor (state: PlannerState, forecast: PlannerForecast) {
    this.#state = state
    this.#forecast = forecast
  }

  planLoads (plan: EndpointPlan, nowMs: number): void {
    this.#planDrainedUnloads(plan, nowMs)
    let openings = this.#state.options.maxPendingLoads - this.#state.slots.pending
    while (openings > 0 && this.#state.slots.free > 0) {
      const need = this.#state.needs.firstUrgent
      if (!need) break
      this.#planLoad(plan, need, nowMs)
      openings--
    }
    const need = this.#state.needs.firstUrgent
    // A slot that is being given up is kept for the first need.
    if (openings <= 0 || this.#state.slots.leaving > 0) return
    if (need) this.#planUnload(plan, need, nowMs)
    else this.#planRipeLoad(plan, nowMs)
  }

  #planDrainedUnloads (plan: EndpointPlan, nowMs: number): void {
    for (const resident of this.#state.slots.list()) {
      if (!resident.isDraining || resident.isUnloading || resident.running > 0) continue
      const need = this.#state.needs.firstUrgent ?? this.#state.needs.firstRipe
      resident.isDraining = false
      if (need) this.#unload(plan, resident, need, nowMs)
    }
  }

  /** Loads for deferrable work while nothing urgent waits and slots stay idle for what is urgent. */
  #planRipeLoad (plan: EndpointPlan, nowMs: number): void {
    const need = this.#state.needs.firstRipe
    if (!need || this.#state.slots.pending > 0 || this.#state.running.size >= this.#state.shape.batchLimit - this.#state.options.gatherRoom) return
    if (this.#state.slots.free + this.#state.slots.idle <= this.#state.options.spareSlots) return
    if (this.#state.slots.free > 0) this.#planLoad(plan, need, nowMs)
    else if (this.#mayTakeSlot(need, nowMs)) this.#planUnload(plan, need, nowMs)
  }

  /** Whether deferrable work may cost another adapter its slot: the less of its slack is left, the greater the loss may be. */
  #mayTakeSlot ({ group }: LoadNeed, nowMs: number): boolean {
    const victim = this.#forecast.findVictim(nowMs)
    const first = group.firstDeferrable
    if (!victim || !first) return false
    const gonePart = (nowMs - first.addedAtMs) / Math.max(1, first.latestStartMs - first.addedAtMs)
    const mostLossMs = this.#state.options.computeMostLoss(gonePart) * this.#state.times.loadMs
    return this.#forecast.computeVictimCostMs(victim, nowMs) <= mostLossMs
  }

  #planLoad (plan: EndpointPlan, need: LoadNeed, nowMs: number): void {
    const { group } = need
    this.#state.slots.add(group.adapter, group.version, nowMs)
    this.#state.needs.remove(group)
    const first = group.firstUrgent ?? group.firstDeferrable!
    const reason = `${group.urgentCount} urgent and ${group.deferrableCount} deferrable requests wait for the adapter`
    const decision = this.#state.describe('load', first.request, reason)
    plan.loads.push({ adapter: group.adapter, version: group.version, slackMs: need.neededAtMs - nowMs, decision })
  }

  /** Gives up the slot that costs least: at once where it is idle, else when what runs there has ended. */
  #planUnload (plan: EndpointPlan, need: LoadNeed, nowMs: number): void {
    const victim = this.#forecast.findVictim(nowMs)
    if (!victim) return
    if (victim.running > 0) victim.isDraining = true
    else this.#unload(plan, victim, need, nowMs)
  }

  #unload (plan: EndpointPlan, victim: Resident, need: LoadNeed, nowMs: number): void {
    victim.isUnloading = true
    const first = need.group.firstUrgent ?? need.group.firstDeferrable!
    const considered = [...this.#state.slots.list()].map(resident => ({
      name: resident.handle ?? resident.name,
      costMs: this.#forecast.computeVictimCostMs(resident, nowMs),
      note: resident.running > 0 ? `runs ${resident.running} requests` : 'idle'
    }))
    const reason = `adapter "${need.group.name}" needs the slot, and the loss of "${victim.name}" is forecast to cost least`
    plan.unloads.push({ handle: victim.handle!, decision: { ...this.#state.describe('unload', first.request, reason), considered, chosen: victim.handle! } })
  }
}
