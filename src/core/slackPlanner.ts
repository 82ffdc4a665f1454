/**
 * A planner that schedules by slack (time left until the latest start): it runs urgent work first, batches deferrable work
 * by adapter, and chooses loads and evictions by the stalls that it forecasts.
 */
import type { FindRefusal } from './admissionPolicy.js'
import { DispatchPlanner } from './dispatchPlanner.js'
import { formatAdapterVersion } from './handleFormat.js'
import { LoadPlanner } from './loadPlanner.js'
import type { Admission, CreatePlanner, EndpointForecast, EndpointPlan, EndpointPlanner, QueuedRequest } from './planner.js'
import { PlannerForecast } from './plannerForecast.js'
import { defaultSlackPlannerOptions } from './plannerOptions.js'
import type { SlackPlannerOptions } from './plannerOptions.js'
import { PlannerState } from './plannerState.js'
import type { RunningRequest } from './plannerState.js'
import { createNotRunFailure } from '../schemas/verdict.js'
import { formatAttemptKey } from './waitingRequests.js'
import type { AdapterQueue, WaitingRequest } from './waitingRequests.js'

/** While the table is down some adapters cannot be unloaded; for this time the planner evicts others instead. */
const failedUnloadRetryDelayMs = 2000

/**
 * Creates a factory of planners that schedule by slack; options that are left out have their defaults.
 *
 * @example
 * const createPlanner = createSlackPlannerFactory({ spareAdapterSlots: 2 })
 */
export function createSlackPlannerFactory (options: Partial<SlackPlannerOptions> = {}): CreatePlanner {
  return capacity => new SlackPlanner(new PlannerState(capacity, { ...defaultSlackPlannerOptions, ...options }))
}

class SlackPlanner implements EndpointPlanner {
  #state: PlannerState
  #forecast: PlannerForecast
  #dispatchPlanner: DispatchPlanner
  #loadPlanner: LoadPlanner
  #findRefusal: FindRefusal

  constructor (state: PlannerState) {
    this.#state = state
    this.#forecast = new PlannerForecast(state)
    this.#dispatchPlanner = new DispatchPlanner(state, this.#forecast)
    this.#loadPlanner = new LoadPlanner(state, this.#forecast)
    this.#findRefusal = state.options.createAdmission()
  }

  // Requests

  addRequest (request: QueuedRequest, nowMs: number): Admission {
    const isUrgent = !this.#state.options.isDeferrable(request)
    const name = formatAdapterVersion(request.adapter, request.version)
    if (isUrgent) this.#state.demand.recordArrival(name, nowMs)
    const latestStartMs = this.#forecast.computeLatestStartMs(request)
    const expectedStartMs = this.#forecast.computeExpectedStartMs(request, isUrgent, name, nowMs)
    const failure = this.#findRefusal(request, {
      endpointId: this.#state.capacity.endpointId,
      queued: this.#state.waiting.size,
      maxQueued: this.#state.options.maxQueued,
      isUrgent,
      expectedStartMs,
      slackMs: latestStartMs - nowMs + (isUrgent ? this.#forecast.computeGraceMs(request) : 0),
      serviceIntervalMs: this.#forecast.serviceIntervalMs
    }, nowMs)
    const resident = this.#state.slots.find(name)
    // A new urgent request for an adapter cancels its draining, so that the adapter is not evicted.
    if (resident && isUrgent) resident.isDraining = false
    if (failure) return { isAdmitted: false, failure, decision: this.#state.createDecisionDraft('refuse', request, failure.message) }
    const expiresAtMs = isUrgent ? request.dueAtMs + this.#forecast.computeGraceMs(request) : Infinity
    const { queue } = this.#state.waiting.add({
      request, isUrgent, latestStartMs, expiresAtMs, sortKeyMs: this.#state.options.computeSortKeyMs(request, latestStartMs)
    }, this.#forecast.serviceIntervalMs, nowMs)
    this.#updateNeed(queue, nowMs)
    const reason = `the request is expected to start in ${Math.round(expectedStartMs)} ms, of ${Math.round(latestStartMs - nowMs)} ms left`
    return { isAdmitted: true, decision: this.#state.createDecisionDraft('admit', request, reason) }
  }

  removeRequest (requestId: string, attempt: number, nowMs: number): void {
    const waiting = this.#state.waiting.find(requestId, attempt)
    if (waiting) this.#removeWaiting(waiting, nowMs)
    else this.#removeRunning(requestId, attempt, nowMs)
  }

  recordFirstToken (requestId: string, attempt: number, nowMs: number): void {
    const running = this.#state.running.get(formatAttemptKey(requestId, attempt))
    if (running) this.#state.runTimes.recordFirstToken(nowMs - running.dispatchedAtMs)
  }

  recordFinished (requestId: string, attempt: number, nowMs: number): void {
    const running = this.#removeRunning(requestId, attempt, nowMs)
    if (running) this.#state.runTimes.recordRun(nowMs - running.dispatchedAtMs, running.request.maxTokens)
  }

  // Slots

  confirmLoad (adapter: string, version: string): boolean {
    const name = formatAdapterVersion(adapter, version)
    const resident = this.#state.slots.find(name)
    if (!resident || this.#state.waiting.findQueue(name)) return resident !== undefined
    resident.isWithdrawn = true
    return false
  }

  recordLoadStarted (adapter: string, version: string, nowMs: number): void {
    const name = formatAdapterVersion(adapter, version)
    const resident = this.#state.slots.find(name)
    if (!resident) return
    resident.startedAtMs = nowMs
    if (this.#state.waiting.findQueue(name)?.firstUrgent) this.#state.loadTimes.recordStarted(nowMs - resident.plannedAtMs, nowMs)
  }

  recordLoaded (adapter: string, version: string, handle: string, nowMs: number): void {
    const name = formatAdapterVersion(adapter, version)
    const planned = this.#state.slots.find(name)
    const resident = planned ?? this.#state.slots.add(adapter, version, nowMs)
    resident.handle = handle
    resident.loadedAtMs = nowMs
    if (planned) this.#state.runTimes.recordLoad(nowMs - planned.plannedAtMs)
    if (planned?.startedAtMs !== undefined) this.#state.loadTimes.recordLoaded(nowMs - planned.startedAtMs)
    this.#state.loadBackOff.recordLoaded(name)
    const queue = this.#state.waiting.findQueue(name)
    if (queue) this.#state.loadNeeds.remove(queue)
  }

  recordLoadFailed (adapter: string, version: string, nowMs: number): void {
    const name = formatAdapterVersion(adapter, version)
    if (!this.#state.slots.find(name)?.isWithdrawn) this.#state.loadBackOff.recordFailed(name, nowMs)
    this.#removeResident(name, nowMs)
  }

  recordUnloaded (handle: string, nowMs: number): void {
    const resident = this.#state.slots.findByHandle(handle)
    if (resident) this.#removeResident(resident.name, nowMs)
  }

  recordUnloadFailed (handle: string, nowMs: number): void {
    const resident = this.#state.slots.findByHandle(handle)
    if (!resident) return
    resident.isUnloading = false
    resident.noUnloadUntilMs = nowMs + failedUnloadRetryDelayMs
  }

  recordBlockedSlots (count: number): void {
    this.#state.slots.setBlockedCount(count)
  }

  recordRestarted (nowMs: number): void {
    this.#state.slots.clear()
    for (const { isUrgent } of this.#state.running.values()) if (isUrgent) this.#state.deferrableCapacity.recordUrgentChange(-1 / this.#state.capacity.batchLimit, nowMs)
    this.#state.running.clear()
    for (const queue of this.#state.waiting.listQueues()) this.#state.loadNeeds.update(queue, nowMs)
  }

  // Plans

  plan (nowMs: number): EndpointPlan {
    const plan: EndpointPlan = { dispatches: [], loads: [], unloads: [], failures: [], wakeAtMs: undefined }
    this.#state.loadBackOff.removeExpired(nowMs)
    this.#state.loadNeeds.updateDueStages(nowMs)
    this.#planFailures(plan, nowMs)
    this.#dispatchPlanner.planDispatches(plan, nowMs)
    this.#loadPlanner.planLoads(plan, nowMs)
    const wakeAtMs = Math.min(this.#state.waiting.findNextExpiryMs() ?? Infinity, this.#state.loadNeeds.findNextStageChangeMs() ?? Infinity)
    if (Number.isFinite(wakeAtMs)) plan.wakeAtMs = Math.max(nowMs + 1, wakeAtMs)
    return plan
  }

  computeForecast (nowMs: number): EndpointForecast {
    return this.#forecast.computeForecast(nowMs)
  }

  #planFailures (plan: EndpointPlan, nowMs: number): void {
    for (let waiting = this.#state.waiting.removeNextExpired(nowMs); waiting; waiting = this.#state.waiting.removeNextExpired(nowMs)) {
      const { request, queue } = waiting
      this.#updateNeed(queue, nowMs)
      const waitMs = Math.max(this.#forecast.computeBatchWaitMs(this.#state.waiting.urgentCount), this.#state.slots.find(queue.name)?.handle ? 0 : this.#forecast.computeLoadWaitMs(nowMs))
      const message = `the target of class "${request.className}" passed before endpoint "${this.#state.capacity.endpointId}" could start the request`
      const failure = createNotRunFailure('target_passed', message, 503, Math.ceil(Math.max(this.#forecast.serviceIntervalMs, waitMs)))
      const decision = this.#state.createDecisionDraft('refuse', request, message)
      plan.failures.push({ requestId: request.requestId, attempt: request.attempt, failure, decision })
    }
  }

  // State

  #updateNeed (queue: AdapterQueue, nowMs: number): void {
    if (!this.#state.slots.find(queue.name)) this.#state.loadNeeds.update(queue, nowMs)
  }

  #removeWaiting (waiting: WaitingRequest, nowMs: number): void {
    this.#state.waiting.remove(waiting)
    this.#updateNeed(waiting.queue, nowMs)
  }

  #removeRunning (requestId: string, attempt: number, nowMs: number): RunningRequest | undefined {
    const key = formatAttemptKey(requestId, attempt)
    const running = this.#state.running.get(key)
    if (!running) return undefined
    this.#state.running.delete(key)
    if (running.isUrgent) this.#state.deferrableCapacity.recordUrgentChange(-1 / this.#state.capacity.batchLimit, nowMs)
    running.resident.running--
    return running
  }

  #removeResident (name: string, nowMs: number): void {
    this.#state.slots.remove(name)
    const queue = this.#state.waiting.findQueue(name)
    if (queue) this.#state.loadNeeds.update(queue, nowMs)
  }
}
