/** Plans which waiting requests an endpoint starts next: urgent requests by latest start, then deferrable ones. */
import { isUsable } from './adapterSlots.js'
import type { ResidentAdapter } from './adapterSlots.js'
import type { EndpointPlan, PlannedDispatch } from './planner.js'
import type { PlannerForecast } from './plannerForecast.js'
import type { PlannerState } from './plannerState.js'
import { computeWaits } from './requestWaits.js'
import { formatAttemptKey } from './waitingRequests.js'
import type { WaitingRequest } from './waitingRequests.js'

/** Priorities on the engine; requests with the smaller value run first. */
const urgentPriority = 0
const deferrablePriority = 1
/** Ranks are times in milliseconds. These offsets order deferrable work, and then late work, after everything urgent. */
const deferrableRankOffsetMs = 1e13
const lateRankOffsetMs = 2e13

export class DispatchPlanner {
  #state: PlannerState
  #forecast: PlannerForecast

  constructor (state: PlannerState, forecast: PlannerForecast) {
    this.#state = state
    this.#forecast = forecast
  }

  /** Adds dispatches to the plan until the batch is full or no waiting request may start. */
  planDispatches (plan: EndpointPlan, nowMs: number): void {
    while (this.#state.running.size < this.#state.capacity.batchLimit) {
      const next = this.#findNextRequest(nowMs)
      if (!next) return
      plan.dispatches.push(this.#dispatch(next.waiting, next.resident, nowMs))
    }
  }

  /** Finds the first urgent or critical request by latest start, else the first deferrable one. */
  #findNextRequest (nowMs: number): { waiting: WaitingRequest, resident: ResidentAdapter } | undefined {
    const criticalUntilMs = nowMs + this.#state.criticalWindowMs
    const deferrableLimit = Math.max(1, this.#state.capacity.batchLimit - this.#state.options.spareBatchSlots)
    let best: { waiting: WaitingRequest, resident: ResidentAdapter } | undefined
    let bestRank = Infinity
    for (const resident of this.#state.slots.list()) {
      if (!isUsable(resident)) continue
      const queue = this.#state.waiting.findQueue(resident.name)
      const urgent = queue?.firstUrgent
      queue?.moveLateRequests(waiting => this.#state.options.isLate(waiting.latestStartMs, nowMs))
      const deferrable = queue?.firstDeferrable
      if (urgent && urgent.sortKeyMs < bestRank) {
        best = { waiting: urgent, resident }
        bestRank = urgent.sortKeyMs
      }
      if (!deferrable) continue
      const isLate = this.#state.options.isLate(deferrable.latestStartMs, nowMs)
      const isCritical = !isLate && deferrable.latestStartMs <= criticalUntilMs
      if (!isCritical && this.#state.running.size >= deferrableLimit) continue
      // Deferrable work that is not critical is ordered after everything that is urgent or critical.
      const rank = isCritical ? deferrable.latestStartMs : (isLate ? lateRankOffsetMs : deferrableRankOffsetMs) + deferrable.sortKeyMs
      if (rank >= bestRank) continue
      best = { waiting: deferrable, resident }
      bestRank = rank
    }
    return best
  }

  #dispatch (waiting: WaitingRequest, resident: ResidentAdapter, nowMs: number): PlannedDispatch {
    const { request, isUrgent } = waiting
    this.#state.waiting.remove(waiting)
    this.#state.running.set(formatAttemptKey(request.requestId, request.attempt), { request, resident, isUrgent, dispatchedAtMs: nowMs })
    if (isUrgent) this.#state.deferrableCapacity.recordUrgentChange(1 / this.#state.capacity.batchLimit, nowMs)
    resident.running++
    resident.busyUntilMs = Math.max(resident.busyUntilMs, nowMs + this.#state.runTimes.computeRunMs(request.maxTokens))
    const reason = isUrgent ? 'its start is due first among the urgent' : 'the batch has room beside the urgent'
    const decision = { ...this.#state.createDecisionDraft('dispatch', request, reason), waits: computeWaits(waiting, resident, nowMs) }
    const priority = isUrgent ? urgentPriority : deferrablePriority
    return { requestId: request.requestId, attempt: request.attempt, handle: resident.handle!, priority, decision }
  }
}
