/** The planner of an endpoint: urgency from slack, gathered batches, loads and evictions by forecast of stalls. */
import type { FindRefusal } from './admission.js'
import { DispatchPlan } from './dispatchPlan.js'
import { formatAdapter } from './formatAdapter.js'
import { LoadPlan } from './loadPlan.js'
import type { Admission, CreatePlanner, EndpointExpectation, EndpointPlan, EndpointPlanner, QueuedRequest } from './planner.js'
import { PlannerForecast } from './plannerForecast.js'
import { defaultSlackPlannerOptions } from './plannerOptions.js'
import type { SlackPlannerOptions } from './plannerOptions.js'
import { PlannerState } from './plannerState.js'
import type { RunningRequest } from './plannerState.js'
import { createNotRun } from '../schemas/verdict.js'
import { formatKey } from './waitingRequests.js'
import type { AdapterQueue, WaitingRequest } from './waitingRequests.js'

/** While the table is down some adapters cannot be unloaded; others are tried meanwhile. */
const keepAfterFailedUnloadMs = 2000

/**
 * Creates planners that meet targets by slack.
 *
 * @example
 * const createPlanner = createSlackPlanners({ spareSlots: 2 })
 */
export function createSlackPlanners (options: Partial<SlackPlannerOptions> = {}): CreatePlanner {
  return shape => new SlackPlanner(new PlannerState(shape, { ...defaultSlackPlannerOptions, ...options }))
}

class SlackPlanner implements EndpointPlanner {
  #state: PlannerState
  #forecast: PlannerForecast
  #dispatches: DispatchPlan
  #loads: LoadPlan
  #findRefusal: FindRefusal

  constructor (state: PlannerState) {
    this.#state = state
    this.#forecast = new PlannerForecast(state)
    this.#dispatches = new DispatchPlan(state, this.#forecast)
    this.#loads = new LoadPlan(state, this.#forecast)
    this.#findRefusal = state.options.createAdmission()
  }

  // Requests

  addRequest (request: QueuedRequest, nowMs: number): Admission {
    const isUrgent = !this.#state.options.mayWait(request)
    const name = formatAdapter(request.adapter, request.version)
    if (isUrgent) this.#state.demand.recordArrival(name, nowMs)
    const latestStartMs = this.#forecast.computeLatestStartMs(request)
    const expectedStartMs = this.#forecast.computeExpectedStartMs(request, isUrgent, name, nowMs)
    const failure = this.#findRefusal(request, {
      endpointId: this.#state.shape.endpointId,
      queued: this.#state.waiting.size,
      maxQueued: this.#state.options.maxQueued,
      isUrgent,
      expectedStartMs,
      slackMs: latestStartMs - nowMs + (isUrgent ? this.#forecast.computeGraceMs(request) : 0),
      serviceIntervalMs: this.#forecast.serviceIntervalMs
    }, nowMs)
    const resident = this.#state.slots.find(name)
    // An adapter that is asked for again keeps its slot.
    if (resident && isUrgent) resident.isDraining = false
    if (failure) return { isAdmitted: false, failure, decision: this.#state.describe('refuse', request, failure.message) }
    const giveUpAtMs = isUrgent ? request.dueAtMs + this.#forecast.computeGraceMs(request) : Infinity
    const { group } = this.#state.waiting.add({
      request, isUrgent, latestStartMs, giveUpAtMs, orderMs: this.#state.options.computeOrderMs(request, latestStartMs)
    }, this.#forecast.serviceIntervalMs, nowMs)
    this.#updateNeed(group, nowMs)
    const reason = `the request is expected to start in ${Math.round(expectedStartMs)} ms, of ${Math.round(latestStartMs - nowMs)} ms left`
    return { isAdmitted: true, decision: this.#state.describe('admit', request, reason) }
  }

  removeRequest (requestId: string, attempt: number, nowMs: number): void {
    const waiting = this.#state.waiting.find(requestId, attempt)
    if (waiting) this.#removeWaiting(waiting, nowMs)
    else this.#removeRunning(requestId, attempt, nowMs)
  }

  recordFirstToken (requestId: string, attempt: number, nowMs: number): void {
    const running = this.#state.running.get(formatKey(requestId, attempt))
    if (running) this.#state.times.recordFirstToken(nowMs - running.dispatchedAtMs)
  }

  recordFinished (requestId: string, attempt: number, nowMs: number): void {
    const running = this.#removeRunning(requestId, attempt, nowMs)
    if (running) this.#state.times.recordRun(nowMs - running.dispatchedAtMs, running.request.maxTokens)
  }

  // Slots

  mayStartLoad (adapter: string, version: string): boolean {
    const name = formatAdapter(adapter, version)
    const resident = this.#state.slots.find(name)
    if (!resident || this.#state.waiting.findGroup(name)) return resident !== undefined
    resident.isWithdrawn = true
    return false
  }

  recordLoadStarted (adapter: string, version: string, nowMs: number): void {
    const name = formatAdapter(adapter, version)
    const resident = this.#state.slots.find(name)
    if (!resident) return
    resident.startedAtMs = nowMs
    if (this.#state.waiting.findGroup(name)?.firstUrgent) this.#state.loadTimes.recordStarted(nowMs - resident.plannedAtMs, nowMs)
  }

  recordLoaded (adapter: string, version: string, handle: string, nowMs: number): void {
    const name = formatAdapter(adapter, version)
    const planned = this.#state.slots.find(name)
    const resident = planned ?? this.#state.slots.add(adapter, version, nowMs)
    resident.handle = handle
    resident.loadedAtMs = nowMs
    if (planned) this.#state.times.recordLoad(nowMs - planned.plannedAtMs)
    if (planned?.startedAtMs !== undefined) this.#state.loadTimes.recordLoaded(nowMs - planned.startedAtMs)
    this.#state.backOff.recordLoaded(name)
    const group = this.#state.waiting.findGroup(name)
    if (group) this.#state.needs.remove(group)
  }

  recordLoadFailed (adapter: string, version: string, nowMs: number): void {
    const name = formatAdapter(adapter, version)
    if (!this.#state.slots.find(name)?.isWithdrawn) this.#state.backOff.recordFailed(name, nowMs)
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
    resident.keptUntilMs = nowMs + keepAfterFailedUnloadMs
  }

  recordBlockedSlots (count: number): void {
    this.#state.slots.setBlocked(count)
  }

  recordRestarted (nowMs: number): void {
    this.#state.slots.clear()
    for (const { isUrgent } of this.#state.running.values()) if (isUrgent) this.#state.places.recordUrgent(-1 / this.#state.shape.batchLimit, nowMs)
    this.#state.running.clear()
    for (const group of this.#state.waiting.listGroups()) this.#state.needs.update(group, nowMs)
  }

  // Plans

  plan (nowMs: number): EndpointPlan {
    const plan: EndpointPlan = { dispatches: [], loads: [], unloads: [], failures: [], wakeAtMs: undefined }
    this.#state.backOff.removeExpired(nowMs)
    this.#state.needs.updateDue(nowMs)
    this.#planFailures(plan, nowMs)
    this.#dispatches.planDispatches(plan, nowMs)
    this.#loads.planLoads(plan, nowMs)
    const wakeAtMs = Math.min(this.#state.waiting.findNextExpiryMs() ?? Infinity, this.#state.needs.findNextChangeMs() ?? Infinity)
    if (Number.isFinite(wakeAtMs)) plan.wakeAtMs = Math.max(nowMs + 1, wakeAtMs)
    return plan
  }

  readExpectation (nowMs: number): EndpointExpectation {
    return this.#forecast.readExpectation(nowMs)
  }

  #planFailures (plan: EndpointPlan, nowMs: number): void {
    for (let waiting = this.#state.waiting.takeExpired(nowMs); waiting; waiting = this.#state.waiting.takeExpired(nowMs)) {
      const { request, group } = waiting
      this.#updateNeed(group, nowMs)
      const waitMs = Math.max(this.#forecast.computeBatchWaitMs(this.#state.waiting.urgentCount), this.#state.slots.find(group.name)?.handle ? 0 : this.#forecast.computeLoadWaitMs(nowMs))
      const message = `the target of class "${request.className}" passed before endpoint "${this.#state.shape.endpointId}" could start the request`
      const failure = createNotRun('target_passed', message, 503, Math.ceil(Math.max(this.#forecast.serviceIntervalMs, waitMs)))
      const decision = this.#state.describe('refuse', request, message)
      plan.failures.push({ requestId: request.requestId, attempt: request.attempt, failure, decision })
    }
  }

  // State

  #updateNeed (group: AdapterQueue, nowMs: number): void {
    if (!this.#state.slots.find(group.name)) this.#state.needs.update(group, nowMs)
  }

  #removeWaiting (waiting: WaitingRequest, nowMs: number): void {
    this.#state.waiting.remove(waiting)
    this.#updateNeed(waiting.group, nowMs)
  }

  #removeRunning (requestId: string, attempt: number, nowMs: number): RunningRequest | undefined {
    const key = formatKey(requestId, attempt)
    const running = this.#state.running.get(key)
    if (!running) return undefined
    this.#state.running.delete(key)
    if (running.isUrgent) this.#state.places.recordUrgent(-1 / this.#state.shape.batchLimit, nowMs)
    running.resident.running--
    return running
  }

  #removeResident (name: string, nowMs: number): void {
    this.#state.slots.remove(name)
    const group = this.#state.waiting.findGroup(name)
    if (group) this.#state.needs.update(group, nowMs)
  }
}
