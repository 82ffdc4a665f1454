/** The baseline planner: first come, first served (FCFS), with eviction of the least recently used (LRU) adapter. */
import { createNotRunFailure } from '../schemas/verdict.js'
import type { DecisionDraft } from '../schemas/decision.js'
import { createDecisionDraft } from './decisionDraft.js'
import { formatAdapterVersion } from './handleFormat.js'
import type {
  Admission, CreatePlanner, EndpointCapacity, EndpointForecast, EndpointPlan, EndpointPlanner, PlannedDispatch, QueuedRequest
} from './planner.js'

const maxQueued = 2000
const expectedRunMs = 1000
const expectedLoadMs = 1500
const failedUnloadRetryDelayMs = 2000

interface FcfsResident {
  adapter: string
  version: string
  handle: string | undefined
  running: number
  lastUsedAtMs: number
  isUnloading: boolean
  /** No unload is planned before this time, because the last unload was not carried out. */
  noUnloadUntilMs: number
}

/** Creates a planner that serves requests in order of arrival; a request whose adapter is not loaded doesn't block later ones. */
export const createFcfsPlanner: CreatePlanner = capacity => new FcfsPlanner(capacity)

class FcfsPlanner implements EndpointPlanner {
  #capacity: EndpointCapacity
  #queue: QueuedRequest[] = []
  #running = new Map<string, FcfsResident>()
  #residents = new Map<string, FcfsResident>()
  #blockedSlots = 0

  constructor (capacity: EndpointCapacity) {
    this.#capacity = capacity
  }

  addRequest (request: QueuedRequest): Admission {
    const decision = this.#createDecisionDraft('admit', request, 'the queue has room')
    if (this.#queue.length >= maxQueued) {
      const failure = createNotRunFailure('queue_full', `the queue of endpoint "${this.#capacity.endpointId}" is full`, 429, expectedRunMs)
      return { isAdmitted: false, failure, decision: { ...decision, kind: 'refuse', reason: failure.message } }
    }
    this.#queue.push(request)
    return { isAdmitted: true, decision }
  }

  removeRequest (requestId: string, attempt: number): void {
    this.#queue = this.#queue.filter(request => request.requestId !== requestId || request.attempt !== attempt)
    this.recordFinished(requestId, attempt)
  }

  recordFirstToken (): void {}

  confirmLoad (): boolean {
    return true
  }

  recordLoadStarted (): void {}

  recordFinished (requestId: string, attempt: number): void {
    const resident = this.#running.get(`${requestId}/${attempt}`)
    if (!resident) return
    resident.running--
    this.#running.delete(`${requestId}/${attempt}`)
  }

  recordLoaded (adapter: string, version: string, handle: string, nowMs: number): void {
    const name = formatAdapterVersion(adapter, version)
    const resident = this.#residents.get(name) ?? this.#addResident(adapter, version, nowMs)
    resident.handle = handle
  }

  recordLoadFailed (adapter: string, version: string): void {
    this.#residents.delete(formatAdapterVersion(adapter, version))
  }

  recordUnloaded (handle: string): void {
    for (const [name, resident] of this.#residents) {
      if (resident.handle === handle) this.#residents.delete(name)
    }
  }

  recordUnloadFailed (handle: string, nowMs: number): void {
    for (const resident of this.#residents.values()) {
      if (resident.handle !== handle) continue
      resident.isUnloading = false
      resident.noUnloadUntilMs = nowMs + failedUnloadRetryDelayMs
    }
  }

  recordBlockedSlots (count: number): void {
    this.#blockedSlots = count
  }

  recordRestarted (): void {
    this.#residents.clear()
    this.#running.clear()
  }

  plan (nowMs: number): EndpointPlan {
    const plan: EndpointPlan = { dispatches: [], loads: [], unloads: [], failures: [], wakeAtMs: undefined }
    const waiting: QueuedRequest[] = []
    for (const request of this.#queue) {
      const dispatch = this.#planRequest(request, plan, nowMs)
      if (dispatch) plan.dispatches.push(dispatch)
      else waiting.push(request)
    }
    this.#queue = waiting
    return plan
  }

  computeForecast (): EndpointForecast {
    const residents = [...this.#residents.values()].filter(resident => !resident.isUnloading)
    const listNames = (isLoaded: boolean): string[] => residents
      .filter(resident => (resident.handle !== undefined) === isLoaded)
      .map(resident => formatAdapterVersion(resident.adapter, resident.version))
    return {
      queued: this.#queue.length,
      expectedWaitMs: this.#queue.length * expectedRunMs / this.#capacity.batchLimit,
      expectedLoadMs,
      serviceIntervalMs: expectedRunMs / this.#capacity.batchLimit,
      evictionCostMs: 0,
      loaded: listNames(true),
      loading: listNames(false)
    }
  }

  #planRequest (request: QueuedRequest, plan: EndpointPlan, nowMs: number): PlannedDispatch | undefined {
    const resident = this.#residents.get(formatAdapterVersion(request.adapter, request.version))
    if (!resident) {
      this.#planLoad(request, plan, nowMs)
      return undefined
    }
    if (!resident.handle || resident.isUnloading || this.#running.size >= this.#capacity.batchLimit) return undefined
    resident.running++
    resident.lastUsedAtMs = nowMs
    this.#running.set(`${request.requestId}/${request.attempt}`, resident)
    const decision = this.#createDecisionDraft('dispatch', request, 'the adapter is loaded and the batch has room')
    return { requestId: request.requestId, attempt: request.attempt, handle: resident.handle, priority: 0, decision }
  }

  #planLoad (request: QueuedRequest, plan: EndpointPlan, nowMs: number): void {
    if (this.#residents.size + this.#blockedSlots >= this.#capacity.slots) {
      this.#planUnload(request, plan, nowMs)
      return
    }
    this.#addResident(request.adapter, request.version, nowMs)
    plan.loads.push({
      adapter: request.adapter,
      version: request.version,
      slackMs: request.dueAtMs - nowMs,
      decision: this.#createDecisionDraft('load', request, 'a slot is free')
    })
  }

  #planUnload (request: QueuedRequest, plan: EndpointPlan, nowMs: number): void {
    const residents = [...this.#residents.values()]
    if (residents.some(resident => resident.isUnloading)) return
    const queuedAdapters = new Set(this.#queue.map(queued => formatAdapterVersion(queued.adapter, queued.version)))
    const idle = residents
      .filter(resident => resident.handle && resident.running === 0 && resident.noUnloadUntilMs <= nowMs && !queuedAdapters.has(formatAdapterVersion(resident.adapter, resident.version)))
      .sort((left, right) => left.lastUsedAtMs - right.lastUsedAtMs)[0]
    if (!idle) return
    idle.isUnloading = true
    plan.unloads.push({ handle: idle.handle!, decision: this.#createDecisionDraft('unload', request, 'the least recently used adapter makes room') })
  }

  #addResident (adapter: string, version: string, nowMs: number): FcfsResident {
    const resident: FcfsResident = { adapter, version, handle: undefined, running: 0, lastUsedAtMs: nowMs, isUnloading: false, noUnloadUntilMs: nowMs }
    this.#residents.set(formatAdapterVersion(adapter, version), resident)
    return resident
  }

  #createDecisionDraft (kind: DecisionDraft['kind'], request: QueuedRequest, reason: string): DecisionDraft {
    return createDecisionDraft(kind, request, this.#capacity.endpointId, reason)
  }
}
