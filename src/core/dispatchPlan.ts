/** Which waiting request an endpoint starts next: the urgent by their latest start, then what may wait. */
import { isUsable } from './adapterSlots.js'
import type { Resident } from './adapterSlots.js'
import type { EndpointPlan, PlannedDispatch } from './planner.js'
import type { PlannerForecast } from './plannerForecast.js'
import type { PlannerState } from './plannerState.js'
import { computeWaits } from './requestWaits.js'
import { formatKey } from './waitingRequests.js'
import type { WaitingRequest } from './waitingRequests.js'

/** Priorities on the engine; smaller runs first. */
const urgentPriority = 0
const deferrablePriority = 1
/** Ranks are times in milliseconds; these put work that may wait, and then late work, after everything urgent. */
const waitingRank = 1e13
const lateRank = 2e13

export class DispatchPlan {
  #state: PlannerState
  #forecast: PlannerForecast

  constructor (state: PlannerState, forecast: PlannerForecast) {
    this.#state = state
    this.#forecast = forecast
  }

  planDispatches (plan: EndpointPlan, nowMs: number): void {
    while (this.#state.running.size < this.#state.shape.batchLimit) {
      const next = this.#findNextRequest(nowMs)
      if (!next) return
      plan.dispatches.push(this.#dispatch(next.waiting, next.resident, nowMs))
    }
  }

  /** Finds the urgent request that must start first, else the deferrable one. */
  #findNextRequest (nowMs: number): { waiting: WaitingRequest, resident: Resident } | undefined {
    const criticalUntilMs = nowMs + this.#state.criticalMs
    const deferrableLimit = Math.max(1, this.#state.shape.batchLimit - this.#state.options.sparePlaces)
    let best: { waiting: WaitingRequest, resident: Resident } | undefined
    let bestRank = Infinity
    for (const resident of this.#state.slots.list()) {
      if (!isUsable(resident)) continue
      const group = this.#state.waiting.findGroup(resident.name)
      const urgent = group?.firstUrgent
      group?.updateLate(waiting => this.#state.options.isLate(waiting.latestStartMs, nowMs))
      const deferrable = group?.firstDeferrable
      if (urgent && urgent.orderMs < bestRank) {
        best = { waiting: urgent, resident }
        bestRank = urgent.orderMs
      }
      if (!deferrable) continue
      const isLate = this.#state.options.isLate(deferrable.latestStartMs, nowMs)
      const isCritical = !isLate && deferrable.latestStartMs <= criticalUntilMs
      if (!isCritical && this.#state.running.size >= deferrableLimit) continue
      // Work that may still wait ranks after everything that is urgent or critical.
      const rank = isCritical ? deferrable.latestStartMs : (isLate ? lateRank : waitingRank) + deferrable.orderMs
      if (rank >= bestRank) continue
      best = { waiting: deferrable, resident }
      bestRank = rank
    }
    return best
  }

  #dispatch (waiting: WaitingRequest, resident: Resident, nowMs: number): PlannedDispatch {
    const { request, isUrgent } = waiting
    this.#state.waiting.remove(waiting)
    this.#state.running.set(formatKey(request.requestId, request.attempt), { request, resident, isUrgent, dispatchedAtMs: nowMs })
    if (isUrgent) this.#state.places.recordUrgent(1 / this.#state.shape.batchLimit, nowMs)
    resident.running++
    resident.busyUntilMs = Math.max(resident.busyUntilMs, nowMs + this.#state.times.computeRunMs(request.maxTokens))
    const reason = isUrgent ? 'its start is due first among the urgent' : 'the batch has room beside the urgent'
    const decision = { ...this.#state.describe('dispatch', request, reason), waits: computeWaits(waiting, resident, nowMs) }
    const priority = isUrgent ? urgentPriority : deferrablePriority
    return { requestId: request.requestId, attempt: request.attempt, handle: resident.handle!, priority, decision }
  }
}
