/** The planner of an endpoint: urgency from slack, gathered batches, loads and evictions by forecast of stalls. */
import { AdapterDemand } from './adapterDemand.js'
import { AdapterSlots, isUsable } from './adapterSlots.js'
import type { Resident } from './adapterSlots.js'
import type { FindRefusal } from './admission.js'
import { createDraft } from './decisionDraft.js'
import { formatAdapter } from './formatAdapter.js'
import { LoadBackOff } from './loadBackOff.js'
import { LoadNeeds } from './loadNeeds.js'
import { defaultSlackPlannerOptions } from './plannerOptions.js'
import type { SlackPlannerOptions } from './plannerOptions.js'
import type {
  Admission, CreatePlanner, EndpointExpectation, EndpointPlan, EndpointPlanner, EndpointShape, PlannedDispatch, QueuedRequest
} from './planner.js'
import { PlaceUse } from './placeUse.js'
import { computeWaits } from './requestWaits.js'
import { RunTimes } from './runTimes.js'
import { createNotRun } from '../schemas/verdict.js'
import { formatKey, WaitingRequests } from './waitingRequests.js'
import type { AdapterQueue, LoadNeed, WaitingRequest } from './waitingRequests.js'

/** Priorities on the engine; smaller runs first. */
const urgentPriority = 0
const deferrablePriority = 1
/** Ranks are times in milliseconds; these put work that may wait, and then late work, after everything urgent. */
const waitingRank = 1e13
const lateRank = 2e13
/** Part of an urgent stall that a queued deferrable request counts when its adapter is lost. */
const queuedShare = 0.2
/** While the table is down some adapters cannot be unloaded; others are tried meanwhile. */
const keepAfterFailedUnloadMs = 2000

interface RunningRequest {
  request: QueuedRequest
  resident: Resident
  isUrgent: boolean
  dispatchedAtMs: number
}

/**
 * Creates planners that meet targets by slack.
 *
 * @example
 * const createPlanner = createSlackPlanners({ spareSlots: 2 })
 */
export function createSlackPlanners (options: Partial<SlackPlannerOptions> = {}): CreatePlanner {
  return shape => new SlackPlanner(shape, { ...defaultSlackPlannerOptions, ...options })
}

class SlackPlanner implements EndpointPlanner {
  #shape: EndpointShape
  #options: SlackPlannerOptions
  #slots: AdapterSlots
  #waiting: WaitingRequests
  #needs: LoadNeeds
  #backOff: LoadBackOff
  #findRefusal: FindRefusal
  #demand = new AdapterDemand()
  #times = new RunTimes()
  #places = new PlaceUse()
  #running = new Map<string, RunningRequest>()

  constructor (shape: EndpointShape, options: SlackPlannerOptions) {
    this.#shape = shape
    this.#options = options
    this.#slots = new AdapterSlots(shape.slots)
    this.#waiting = new WaitingRequests(options.computeFairDelayMs)
    this.#backOff = new LoadBackOff(options.computeBackOffMs)
    this.#findRefusal = options.createAdmission()
    this.#needs = new LoadNeeds({
      gatherCount: options.gatherCount,
      computeHoldMs: options.computeHoldMs,
      computeCriticalMs: () => this.#criticalMs,
      findRetryMs: name => this.#backOff.findRetryMs(name)
    })
  }

  // Requests

  addRequest (request: QueuedRequest, nowMs: number): Admission {
    const isUrgent = !this.#options.mayWait(request)
    const name = formatAdapter(request.adapter, request.version)
    if (isUrgent) this.#demand.recordArrival(name, nowMs)
    const latestStartMs = this.#computeLatestStartMs(request)
    const expectedStartMs = this.#computeExpectedStartMs(request, isUrgent, name, nowMs)
    const failure = this.#findRefusal(request, {
      endpointId: this.#shape.endpointId,
      queued: this.#waiting.size,
      maxQueued: this.#options.maxQueued,
      isUrgent,
      expectedStartMs,
      slackMs: latestStartMs - nowMs + (isUrgent ? this.#computeGraceMs(request) : 0),
      serviceIntervalMs: this.#serviceIntervalMs
    }, nowMs)
    const resident = this.#slots.find(name)
    // An adapter that is asked for again keeps its slot.
    if (resident && isUrgent) resident.isDraining = false
    if (failure) return { isAdmitted: false, failure, decision: this.#describe('refuse', request, failure.message) }
    const giveUpAtMs = isUrgent ? request.dueAtMs + this.#computeGraceMs(request) : Infinity
    const { group } = this.#waiting.add({
      request, isUrgent, latestStartMs, giveUpAtMs, orderMs: this.#options.computeOrderMs(request, latestStartMs)
    }, this.#serviceIntervalMs, nowMs)
    this.#updateNeed(group, nowMs)
    const reason = `the request is expected to start in ${Math.round(expectedStartMs)} ms, of ${Math.round(latestStartMs - nowMs)} ms left`
    return { isAdmitted: true, decision: this.#describe('admit', request, reason) }
  }

  removeRequest (requestId: string, attempt: number, nowMs: number): void {
    const waiting = this.#waiting.find(requestId, attempt)
    if (waiting) this.#removeWaiting(waiting, nowMs)
    else this.#removeRunning(requestId, attempt, nowMs)
  }

  recordFirstToken (requestId: string, attempt: number, nowMs: number): void {
    const running = this.#running.get(formatKey(requestId, attempt))
    if (running) this.#times.recordFirstToken(nowMs - running.dispatchedAtMs)
  }

  recordFinished (requestId: string, attempt: number, nowMs: number): void {
    const running = this.#removeRunning(requestId, attempt, nowMs)
    if (running) this.#times.recordRun(nowMs - running.dispatchedAtMs, running.request.maxTokens)
  }

  // Slots

  recordLoadStarted (adapter: string, version: string, nowMs: number): void {
    const resident = this.#slots.find(formatAdapter(adapter, version))
    if (resident) resident.startedAtMs = nowMs
  }

  recordLoaded (adapter: string, version: string, handle: string, nowMs: number): void {
    const name = formatAdapter(adapter, version)
    const planned = this.#slots.find(name)
    const resident = planned ?? this.#slots.add(adapter, version, nowMs)
    resident.handle = handle
    resident.loadedAtMs = nowMs
    if (planned) this.#times.recordLoad(nowMs - planned.plannedAtMs)
    this.#backOff.recordLoaded(name)
    const group = this.#waiting.findGroup(name)
    if (group) this.#needs.remove(group)
  }

  recordLoadFailed (adapter: string, version: string, nowMs: number): void {
    const name = formatAdapter(adapter, version)
    this.#backOff.recordFailed(name, nowMs)
    this.#removeResident(name, nowMs)
  }

  recordUnloaded (handle: string, nowMs: number): void {
    const resident = this.#slots.findByHandle(handle)
    if (resident) this.#removeResident(resident.name, nowMs)
  }

  recordUnloadFailed (handle: string, nowMs: number): void {
    const resident = this.#slots.findByHandle(handle)
    if (!resident) return
    resident.isUnloading = false
    resident.keptUntilMs = nowMs + keepAfterFailedUnloadMs
  }

  recordBlockedSlots (count: number): void {
    this.#slots.setBlocked(count)
  }

  recordRestarted (nowMs: number): void {
    this.#slots.clear()
    for (const { isUrgent } of this.#running.values()) if (isUrgent) this.#places.recordUrgent(-1 / this.#shape.batchLimit, nowMs)
    this.#running.clear()
    for (const group of this.#waiting.listGroups()) this.#needs.update(group, nowMs)
  }

  // Plans

  plan (nowMs: number): EndpointPlan {
    const plan: EndpointPlan = { dispatches: [], loads: [], unloads: [], failures: [], wakeAtMs: undefined }
    this.#backOff.removeExpired(nowMs)
    this.#needs.updateDue(nowMs)
    this.#planFailures(plan, nowMs)
    this.#planDispatches(plan, nowMs)
    this.#planLoads(plan, nowMs)
    const wakeAtMs = Math.min(this.#waiting.findNextExpiryMs() ?? Infinity, this.#needs.findNextChangeMs() ?? Infinity)
    if (Number.isFinite(wakeAtMs)) plan.wakeAtMs = Math.max(nowMs + 1, wakeAtMs)
    return plan
  }

  readExpectation (nowMs: number): EndpointExpectation {
    const loaded: string[] = []
    const loading: string[] = []
    for (const resident of this.#slots.list()) {
      if (isUsable(resident)) loaded.push(resident.name)
      else if (!resident.handle) loading.push(resident.name)
    }
    return {
      queued: this.#waiting.size,
      expectedWaitMs: this.#computeBatchWaitMs(this.#waiting.urgentCount),
      expectedLoadMs: this.#computeLoadWaitMs(),
      serviceIntervalMs: this.#serviceIntervalMs,
      evictionCostMs: this.#computeLeastEvictionCostMs(nowMs),
      loaded,
      loading
    }
  }

  #planFailures (plan: EndpointPlan, nowMs: number): void {
    for (let waiting = this.#waiting.takeExpired(nowMs); waiting; waiting = this.#waiting.takeExpired(nowMs)) {
      const { request, group } = waiting
      this.#updateNeed(group, nowMs)
      const waitMs = Math.max(this.#computeBatchWaitMs(this.#waiting.urgentCount), this.#slots.find(group.name)?.handle ? 0 : this.#computeLoadWaitMs())
      const message = `the target of class "${request.className}" passed before endpoint "${this.#shape.endpointId}" could start the request`
      const failure = createNotRun('target_passed', message, 503, Math.ceil(Math.max(this.#serviceIntervalMs, waitMs)))
      const decision = this.#describe('refuse', request, message)
      plan.failures.push({ requestId: request.requestId, attempt: request.attempt, failure, decision })
    }
  }

  #planDispatches (plan: EndpointPlan, nowMs: number): void {
    while (this.#running.size < this.#shape.batchLimit) {
      const next = this.#findNextRequest(nowMs)
      if (!next) return
      plan.dispatches.push(this.#dispatch(next.waiting, next.resident, nowMs))
    }
  }

  /** Finds the urgent request that must start first, else the deferrable one. */
  #findNextRequest (nowMs: number): { waiting: WaitingRequest, resident: Resident } | undefined {
    const criticalUntilMs = nowMs + this.#criticalMs
    const deferrableLimit = Math.max(1, this.#shape.batchLimit - this.#options.sparePlaces)
    let best: { waiting: WaitingRequest, resident: Resident } | undefined
    let bestRank = Infinity
    for (const resident of this.#slots.list()) {
      if (!isUsable(resident)) continue
      const group = this.#waiting.findGroup(resident.name)
      const urgent = group?.firstUrgent
      group?.updateLate(waiting => this.#options.isLate(waiting.latestStartMs, nowMs))
      const deferrable = group?.firstDeferrable
      if (urgent && urgent.orderMs < bestRank) {
        best = { waiting: urgent, resident }
        bestRank = urgent.orderMs
      }
      if (!deferrable) continue
      const isLate = this.#options.isLate(deferrable.latestStartMs, nowMs)
      const isCritical = !isLate && deferrable.latestStartMs <= criticalUntilMs
      if (!isCritical && this.#running.size >= deferrableLimit) continue
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
    this.#waiting.remove(waiting)
    this.#running.set(formatKey(request.requestId, request.attempt), { request, resident, isUrgent, dispatchedAtMs: nowMs })
    if (isUrgent) this.#places.recordUrgent(1 / this.#shape.batchLimit, nowMs)
    resident.running++
    resident.busyUntilMs = Math.max(resident.busyUntilMs, nowMs + this.#times.computeRunMs(request.maxTokens))
    const reason = isUrgent ? 'its start is due first among the urgent' : 'the batch has room beside the urgent'
    const decision = { ...this.#describe('dispatch', request, reason), waits: computeWaits(waiting, resident, nowMs) }
    const priority = isUrgent ? urgentPriority : deferrablePriority
    return { requestId: request.requestId, attempt: request.attempt, handle: resident.handle!, priority, decision }
  }

  #planLoads (plan: EndpointPlan, nowMs: number): void {
    this.#planDrainedUnloads(plan, nowMs)
    let openings = this.#options.maxPendingLoads - this.#slots.pending
    while (openings > 0 && this.#slots.free > 0) {
      const need = this.#needs.firstUrgent
      if (!need) break
      this.#planLoad(plan, need, nowMs)
      openings--
    }
    const need = this.#needs.firstUrgent
    // A slot that is being given up is kept for the first need.
    if (openings <= 0 || this.#slots.leaving > 0) return
    if (need) this.#planUnload(plan, need, nowMs)
    else this.#planRipeLoad(plan, nowMs)
  }

  #planDrainedUnloads (plan: EndpointPlan, nowMs: number): void {
    for (const resident of this.#slots.list()) {
      if (!resident.isDraining || resident.isUnloading || resident.running > 0) continue
      const need = this.#needs.firstUrgent ?? this.#needs.firstRipe
      resident.isDraining = false
      if (need) this.#unload(plan, resident, need, nowMs)
    }
  }

  /** Loads for deferrable work while nothing urgent waits and slots stay idle for what is urgent. */
  #planRipeLoad (plan: EndpointPlan, nowMs: number): void {
    const need = this.#needs.firstRipe
    if (!need || this.#slots.pending > 0 || this.#running.size >= this.#shape.batchLimit - this.#options.gatherRoom) return
    if (this.#slots.free + this.#slots.idle <= this.#options.spareSlots) return
    if (this.#slots.free > 0) this.#planLoad(plan, need, nowMs)
    else this.#planUnload(plan, need, nowMs)
  }

  #planLoad (plan: EndpointPlan, need: LoadNeed, nowMs: number): void {
    const { group } = need
    this.#slots.add(group.adapter, group.version, nowMs)
    this.#needs.remove(group)
    const first = group.firstUrgent ?? group.firstDeferrable!
    const reason = `${group.urgentCount} urgent and ${group.deferrableCount} deferrable requests wait for the adapter`
    const decision = this.#describe('load', first.request, reason)
    plan.loads.push({ adapter: group.adapter, version: group.version, slackMs: need.neededAtMs - nowMs, decision })
  }

  /** Gives up the slot that costs least: at once where it is idle, else when what runs there has ended. */
  #planUnload (plan: EndpointPlan, need: LoadNeed, nowMs: number): void {
    const victim = this.#findVictim(nowMs)
    if (!victim) return
    if (victim.running > 0) victim.isDraining = true
    else this.#unload(plan, victim, need, nowMs)
  }

  #unload (plan: EndpointPlan, victim: Resident, need: LoadNeed, nowMs: number): void {
    victim.isUnloading = true
    const first = need.group.firstUrgent ?? need.group.firstDeferrable!
    const considered = [...this.#slots.list()].map(resident => ({
      name: resident.handle ?? resident.name,
      costMs: this.#computeVictimCostMs(resident, nowMs),
      note: resident.running > 0 ? `runs ${resident.running} requests` : 'idle'
    }))
    const reason = `adapter "${need.group.name}" needs the slot, and the loss of "${victim.name}" is forecast to cost least`
    plan.unloads.push({ handle: victim.handle!, decision: { ...this.#describe('unload', first.request, reason), considered, chosen: victim.handle! } })
  }

  #findVictim (nowMs: number): Resident | undefined {
    return this.#slots.findVictim(resident => {
      const group = this.#waiting.findGroup(resident.name)
      const isKept = resident.keptUntilMs > nowMs
      return isKept || (group && group.urgentCount > 0) ? Infinity : this.#computeVictimCostMs(resident, nowMs)
    })
  }

  // Expectations

  get #serviceIntervalMs (): number {
    return this.#times.runMs / this.#shape.batchLimit
  }

  get #criticalMs (): number {
    return this.#options.computeCriticalMs(this.#times.runMs, this.#times.loadMs)
  }

  #computeGraceMs (request: QueuedRequest): number {
    return this.#options.computeGraceMs(request.dueAtMs - request.arrivedAtMs)
  }

  #computeLatestStartMs (request: QueuedRequest): number {
    const isFirstToken = request.target.kind === 'firstTokenWithin'
    return request.dueAtMs - (isFirstToken ? this.#times.firstTokenMs : this.#times.computeRunMs(request.maxTokens))
  }

  /** Cost of giving a resident's slot up: the wait until it is idle and the forecast of the stalls that its loss causes. */
  #computeVictimCostMs (resident: Resident, nowMs: number): number {
    const busyMs = resident.running > 0 ? Math.max(0, resident.busyUntilMs - nowMs) : 0
    const queued = this.#waiting.findGroup(resident.name)?.deferrableCount ?? 0
    const arrivals = this.#demand.computeRate(resident.name, nowMs) * this.#options.evictionHorizonMs / 1000
    return busyMs + (arrivals + queued * queuedShare) * this.#times.loadMs
  }

  /** What the next load costs others: nothing with a free slot, else the slot that costs least. */
  #computeLeastEvictionCostMs (nowMs: number): number {
    if (this.#slots.free > 0) return 0
    const victim = this.#findVictim(nowMs)
    return victim ? this.#computeVictimCostMs(victim, nowMs) : this.#options.evictionHorizonMs
  }

  #computeBatchWaitMs (ahead: number): number {
    return Math.max(0, this.#running.size + ahead + 1 - this.#shape.batchLimit) * this.#serviceIntervalMs
  }

  #computeLoadWaitMs (): number {
    return this.#times.loadMs * (1 + this.#slots.pending / this.#options.maxPendingLoads)
  }

  #computeExpectedStartMs (request: QueuedRequest, isUrgent: boolean, name: string, nowMs: number): number {
    const ofCaller = (this.#waiting.countCallerQueued(request) + 1) * Math.max(1, this.#waiting.countActiveCallers(request.className))
    const batchWaitMs = isUrgent
      ? this.#computeBatchWaitMs(Math.min(this.#waiting.urgentCount, ofCaller))
      : this.#computeBatchWaitMs(this.#waiting.size) / this.#places.computeDeferrableShare(nowMs)
    const resident = this.#slots.find(name)
    if (resident?.handle) return batchWaitMs
    if (resident) return Math.max(batchWaitMs, resident.plannedAtMs + this.#times.loadMs - nowMs)
    return Math.max(batchWaitMs, this.#computeLoadWaitMs(), this.#backOff.findRetryMs(name) - nowMs)
  }

  // State

  #updateNeed (group: AdapterQueue, nowMs: number): void {
    if (!this.#slots.find(group.name)) this.#needs.update(group, nowMs)
  }

  #removeWaiting (waiting: WaitingRequest, nowMs: number): void {
    this.#waiting.remove(waiting)
    this.#updateNeed(waiting.group, nowMs)
  }

  #removeRunning (requestId: string, attempt: number, nowMs: number): RunningRequest | undefined {
    const key = formatKey(requestId, attempt)
    const running = this.#running.get(key)
    if (!running) return undefined
    this.#running.delete(key)
    if (running.isUrgent) this.#places.recordUrgent(-1 / this.#shape.batchLimit, nowMs)
    running.resident.running--
    return running
  }

  #removeResident (name: string, nowMs: number): void {
    this.#slots.remove(name)
    const group = this.#waiting.findGroup(name)
    if (group) this.#needs.update(group, nowMs)
  }

  #describe (kind: Parameters<typeof createDraft>[0], request: QueuedRequest, reason: string): ReturnType<typeof createDraft> {
    return createDraft(kind, request, this.#shape.endpointId, reason)
  }
}
