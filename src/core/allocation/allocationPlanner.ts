/**
 * Plans one engine's batch slots and adapter slots: which requests are granted, queued, declined in favor of another engine or
 * refused, and which adapters are loaded and unloaded for the queued ones. It does no I/O.
 */
import type { EngineLoad } from '../../schemas/datagram.js'
import { AdapterLoadPlanner } from './adapterLoadPlanner.js'
import { EngineAdapters } from './engineAdapters.js'
import type { AdapterState } from './engineAdapters.js'
import { compareByDueTime, compareLimitTurns, comparePendingLoads, computeSlotDeadlineMs } from './allocationOrder.js'
import type { LimitTurn, PendingLoad } from './allocationOrder.js'
import type { AllocationOptions, AllocationPlan, AllocationRequest, AllocationDecision, MutablePlan } from './allocationRequest.js'
import { wakeBy } from './allocationRequest.js'
import { PrefixCacheEstimate } from './prefixCacheEstimate.js'
import { findReasonToDecline } from './declineRules.js'
import type { DeclineFacts } from './declineRules.js'
import { GrantLimiter } from './grantLimiter.js'
import { PrefillBacklog } from './prefillBacklog.js'
import { LongPrompts } from './longPrompts.js'
import type { PromptFacts } from './longPrompts.js'
import { minRetryAfterMs, RetrySchedule } from './retrySchedule.js'
import { computeOverShareWaitMs, maxOverShareBacklogMs, ShareRules } from './shareRules.js'

/** Expected delay until a full batch accepts the next request. */
const fullBatchDelayMs = 50
/** A late request is deferred while the prefill backlog exceeds this, so that requests that can be on time are granted first. */
const maxLateBacklogMs = 60
/** The limit above grows by this fraction of the time since the request became late, so that it is not deferred forever. */
const lateAgingRatio = 0.2
/** Minimum time until the next plan for deferred requests. */
const minReplanDelayMs = 10
/** Duration of a run before any has ended; the published streams take 400 to 600 ms. */
const initialRunMs = 500
/** Weight of the newest run in the moving average. */
const runSmoothing = 0.05

interface QueuedEntry {
  request: AllocationRequest
  prefillMs: number
  queuedAtMs: number
  /** Time by which the load of its adapter has to start. */
  slotDeadlineMs: number
  /** Its turn if the engine is limited. */
  turn: LimitTurn
  /** Whether its account is over its share, as of the last plan. */
  isOverShare: boolean
}

interface RunningEntry {
  adapter: string
  isBase: boolean
  expectedMs: number
  grantedAtMs: number
}

export class AllocationPlanner {
  readonly adapters: EngineAdapters
  readonly prefillBacklog = new PrefillBacklog()
  readonly longPrompts = new LongPrompts()
  #options: AllocationOptions
  #cache: PrefixCacheEstimate
  #waiting = new Map<string, QueuedEntry>()
  #running = new Map<string, RunningEntry>()
  #loadPlanner: AdapterLoadPlanner
  #limiter: GrantLimiter
  #retries = new RetrySchedule()
  #shareRules: ShareRules
  /** Moving average of the time from a grant to the end of the run. */
  #runMs = initialRunMs

  constructor (options: AllocationOptions) {
    this.#options = options
    this.#shareRules = new ShareRules(options.getAccountWeight)
    this.adapters = new EngineAdapters(options.adapterSlots)
    this.#cache = new PrefixCacheEstimate(options.cacheTokens)
    this.#limiter = new GrantLimiter(options.findRate)
    this.#loadPlanner = new AdapterLoadPlanner({
      adapters: this.adapters, maxLoads: options.maxLoads, estimateLoadMs: options.estimateLoadMs, recordOrder: nowMs => this.#limiter.recordOrder(nowMs)
    })
  }

  get running (): number {
    return this.#running.size
  }

  get waiting (): number {
    return this.#waiting.size
  }

  /** Number of waiting requests whose accounts are over their shares. */
  get waitingOverShare (): number {
    let count = 0
    for (const { isOverShare } of this.#waiting.values()) if (isOverShare) count++
    return count
  }

  getLoad (nowMs: number): EngineLoad {
    return { use: this.prefillBacklog.getUtilization(nowMs), backlogMs: this.prefillBacklog.getBacklogMs(nowMs), batchPart: (this.#running.size + this.#waiting.size) / this.#options.batchLimit }
  }

  // Requests

  add (request: AllocationRequest, nowMs: number): AllocationDecision {
    this.adapters.recordRequest(request.adapter, nowMs)
    const uncachedTokens = this.#cache.countUncachedTokens(request.adapter, request.promptSegments, request.promptTokens)
    const prefillMs = this.prefillBacklog.computePrefillMs(uncachedTokens, request.promptTokens)
    this.#shareRules.recordBacklog(this.prefillBacklog.getBacklogMs(nowMs))
    const isOverShare = this.#shareRules.isOver(request, nowMs)
    const expectedMs = this.#estimateStartMs(request, isOverShare, nowMs)
    const facts = this.#createPromptFacts(request, prefillMs, nowMs)
    this.longPrompts.recordArrival(facts, nowMs)
    const reasonToDecline = request.mayDecline ? findReasonToDecline(request, this.#createDeclineFacts(request, expectedMs, prefillMs, isOverShare, nowMs), nowMs) : undefined
    if (reasonToDecline !== undefined) return { kind: 'declined', expectedMs: expectedMs + prefillMs, reason: reasonToDecline }
    this.#shareRules.recordArrival(request, prefillMs, nowMs)
    const turn = { ...this.#limiter.computeTurn(request, prefillMs, nowMs), isOverShare }
    const latestStartMs = isOverShare ? Math.max(nowMs + maxOverShareBacklogMs + prefillMs, request.dueAtMs) : Infinity
    const graceMs = this.#options.isSizeBlind ? -Infinity : this.longPrompts.computeStartGraceMs(prefillMs, nowMs)
    const startDeadlineMs = Math.min(request.abandonAtMs - prefillMs, Math.max(computeSlotDeadlineMs(request, nowMs) - prefillMs, nowMs + graceMs), latestStartMs - prefillMs)
    const maxStartMs = Math.min(startDeadlineMs, this.#limiter.isLimited(nowMs) ? turn.deadlineMs : Infinity) - nowMs
    if (expectedMs > maxStartMs) {
      const reason = `it would start in ${Math.round(expectedMs)} ms and has to start within ${Math.round(maxStartMs)} ms`
      const isLimited = this.#estimateLimitWaitMs(request, isOverShare, nowMs) > maxStartMs
      return { kind: 'refused', retryAfterMs: this.#scheduleRetry(expectedMs - Math.max(0, request.dueAtMs - prefillMs - nowMs), nowMs), reason, isLimited, isOverShare }
    }
    this.#waiting.set(request.key, { request, prefillMs, queuedAtMs: nowMs, slotDeadlineMs: computeSlotDeadlineMs(request, nowMs), turn, isOverShare })
    return { kind: 'queued', expectedMs }
  }

  /** Tracks a running request whose reservation was granted by a former owner, or by none. */
  adopt (key: string, adapter: string, isBase: boolean, nowMs: number): void {
    if (this.#running.has(key)) return
    this.#running.set(key, { adapter, isBase, expectedMs: 0, grantedAtMs: nowMs })
    const engineAdapter = this.adapters.find(adapter)
    if (engineAdapter && !isBase) engineAdapter.running++
  }

  /** Removes a request that ended, was withdrawn or was lost; `nowMs` is given only where it ran to completion. */
  remove (key: string, nowMs?: number): void {
    this.#waiting.delete(key)
    const running = this.#running.get(key)
    if (!running) return
    this.#running.delete(key)
    if (nowMs !== undefined) this.#runMs += runSmoothing * (nowMs - running.grantedAtMs - this.#runMs)
    const engineAdapter = this.adapters.find(running.adapter)
    if (engineAdapter && !running.isBase) engineAdapter.running = Math.max(0, engineAdapter.running - 1)
  }

  /**
   * Records the time from sending a request to the first chunk of its answer, and the slowness that the endpoint reported with it. The
   * age of the latter is the time since then.
   */
  recordFirstChunk (key: string, measuredMs: number, nowMs: number, slowness?: number): void {
    const running = this.#running.get(key)
    if (!running) return
    this.prefillBacklog.recordFirstChunk(running.expectedMs, measuredMs, slowness)
    if (slowness !== undefined) this.prefillBacklog.recordSlowness(slowness, Math.min(nowMs, running.grantedAtMs + measuredMs), nowMs)
  }

  // Adapters

  /** Records a load in progress that this planner did not order or no longer tracks. */
  recordLoading (adapter: string, version: number, nowMs: number): void {
    if (this.adapters.find(adapter)?.version === version) return
    this.#addAdapter(adapter, version, 'loading', nowMs + this.#options.estimateLoadMs(adapter, version), nowMs)
  }

  recordLoaded (adapter: string, version: number, nowMs: number): void {
    const engineAdapter = this.adapters.find(adapter)
    if (engineAdapter && engineAdapter.version === version) {
      engineAdapter.state = 'loaded'
      engineAdapter.usedAtMs = nowMs
      return
    }
    this.#addAdapter(adapter, version, 'loaded', nowMs, nowMs)
  }

  #addAdapter (adapter: string, version: number, state: AdapterState, readyAtMs: number, nowMs: number): void {
    const engineAdapter = this.adapters.add(adapter, version, state, readyAtMs, nowMs)
    for (const running of this.#running.values()) if (running.adapter === adapter) engineAdapter.running++
  }

  recordLoadFailed (adapter: string, nowMs: number): void {
    if (this.adapters.find(adapter)?.state === 'loading') this.adapters.remove(adapter)
    this.#loadPlanner.recordFailed(adapter, nowMs)
  }

  recordUnloaded (adapter: string): void {
    this.adapters.remove(adapter)
    this.#cache.removeAdapter(adapter)
  }

  recordUnloadFailed (adapter: string, nowMs: number): void {
    const engineAdapter = this.adapters.find(adapter)
    if (engineAdapter?.state !== 'unloading') return
    engineAdapter.state = 'loaded'
    engineAdapter.usedAtMs = nowMs
  }

  /** Clears the state of an engine that restarted, as it lost its adapters, caches and running requests. */
  recordRestarted (): void {
    this.adapters.clear()
    this.#cache.clear()
    this.prefillBacklog.clear()
    this.#running.clear()
  }

  /**
   * Grants reservations, refuses requests that waited too long, and plans loads and unloads for the rest. `mayOrder`: whether
   * orders may be sent to the engine now.
   */
  plan (nowMs: number, mayOrder: boolean): AllocationPlan {
    const plan: MutablePlan = { granted: [], refused: [], loads: [], unloads: [], wakeAtMs: undefined }
    const sorted = this.#sortWaiting(nowMs)
    const pendingLoads = new Map<string, PendingLoad>()
    for (const waiting of sorted) {
      const { request } = waiting
      if (this.#canGrant(request)) {
        if (this.#running.size < this.#options.batchLimit && !this.#isDeferred(waiting, plan, nowMs) && this.#limiter.tryGrant(nowMs)) this.#grant(waiting, plan, nowMs)
      } else {
        const pendingLoad = pendingLoads.get(request.adapter)
        if (pendingLoad) pendingLoad.count++
        else pendingLoads.set(request.adapter, { request, count: 1, isLate: this.#isLoadLate(waiting, nowMs), isOverShare: waiting.isOverShare })
      }
    }
    this.#refuseOverdue(plan, nowMs)
    this.#refuseBeyondLimit(sorted, plan, nowMs)
    const wanted = new Map([...pendingLoads].sort(([, left], [, right]) => comparePendingLoads(left, right)).map(([name, { request }]) => [name, request]))
    if (!mayOrder) return plan
    this.#loadPlanner.planLoads(wanted, key => this.#waiting.has(key), plan, nowMs)
    return plan
  }

  /** Sorts requests in the order of their grants, with those of accounts over their shares after the others. */
  #sortWaiting (nowMs: number): QueuedEntry[] {
    const waiting = [...this.#waiting.values()]
    for (const entry of waiting) entry.isOverShare = entry.turn.isOverShare = this.#shareRules.isOver(entry.request, nowMs)
    return waiting.sort(this.#limiter.isLimited(nowMs)
      ? (left, right) => compareLimitTurns(left.turn, right.turn)
      : (left, right) => Number(left.isOverShare) - Number(right.isOverShare) || compareByDueTime(left.request, right.request, nowMs))
  }

  #hasSlot ({ adapter, isBase, version }: AllocationRequest): boolean {
    return isBase || (this.adapters.find(adapter)?.version ?? -1) >= version
  }

  #canGrant (request: AllocationRequest): boolean {
    if (request.isBase) return true
    const engineAdapter = this.adapters.find(request.adapter)
    return engineAdapter !== undefined && engineAdapter.state === 'loaded' && engineAdapter.version >= request.version && !engineAdapter.isClosing
  }

  /** Whether a request that is late, or will be, or whose account is over its share, waits so that others are granted first. */
  #isDeferred ({ request, prefillMs, queuedAtMs, isOverShare }: QueuedEntry, plan: MutablePlan, nowMs: number): boolean {
    const { dueAtMs, isResumed } = request
    if (isResumed) return false
    const backlogMs = this.prefillBacklog.getBacklogMs(nowMs)
    const holdMs = this.longPrompts.computeHoldMs(this.#createPromptFacts(request, prefillMs, nowMs), nowMs - queuedAtMs, backlogMs, nowMs)
    if (holdMs > 0 && !this.#options.isSizeBlind) {
      wakeBy(plan, nowMs + Math.max(minReplanDelayMs, holdMs))
      return true
    }
    if (!isOverShare && nowMs + backlogMs + prefillMs <= dueAtMs) return false
    const excessMs = isOverShare ? backlogMs - maxOverShareBacklogMs : backlogMs - maxLateBacklogMs - lateAgingRatio * Math.max(0, nowMs - dueAtMs)
    if (excessMs <= 0) return false
    wakeBy(plan, nowMs + Math.max(minReplanDelayMs, excessMs))
    return true
  }

  /** Whether a load that starts now completes too late for an answer by the due time. */
  #isLoadLate ({ request, prefillMs }: QueuedEntry, nowMs: number): boolean {
    return nowMs + this.#options.estimateLoadMs(request.adapter, request.version) + prefillMs > request.dueAtMs
  }

  #grant ({ request, prefillMs }: QueuedEntry, plan: AllocationPlan, nowMs: number): void {
    this.#waiting.delete(request.key)
    this.#running.set(request.key, { adapter: request.adapter, isBase: request.isBase, expectedMs: this.prefillBacklog.getBacklogMs(nowMs) + prefillMs, grantedAtMs: nowMs })
    this.prefillBacklog.recordGranted(prefillMs, nowMs)
    this.longPrompts.recordGranted(this.#createPromptFacts(request, prefillMs, nowMs), nowMs + this.prefillBacklog.getTimeMs(nowMs))
    this.#shareRules.recordGranted(request, prefillMs, nowMs)
    this.adapters.recordPrefill(request.adapter, prefillMs, nowMs)
    this.#cache.recordPrefill(request.adapter, request.promptSegments)
    const engineAdapter = this.adapters.find(request.adapter)
    if (engineAdapter && !request.isBase) {
      engineAdapter.running++
      engineAdapter.usedAtMs = nowMs
    }
    plan.granted.push(request.key)
  }

  #refuseOverdue (plan: MutablePlan, nowMs: number): void {
    for (const { request, slotDeadlineMs, prefillMs, isOverShare } of [...this.#waiting.values()]) {
      const hasSlot = this.#hasSlot(request)
      const deadlineMs = hasSlot
        ? (isOverShare ? Math.min(request.dueAtMs, request.abandonAtMs) : request.abandonAtMs) - prefillMs
        : Math.min(request.abandonAtMs - prefillMs - this.#options.estimateLoadMs(request.adapter, request.version), slotDeadlineMs)
      if (deadlineMs > nowMs) {
        wakeBy(plan, deadlineMs)
        continue
      }
      this.#waiting.delete(request.key)
      plan.refused.push({ key: request.key, retryAfterMs: this.#scheduleRetry(minRetryAfterMs, nowMs), reason: hasSlot && isOverShare ? 'its account is over its share of the engine' : 'its adapter was not loaded in time', isLimited: false, isOverShare: hasSlot && isOverShare })
    }
  }

  /** While the engine is limited: refuses requests whose turn would come too late, and wakes up for the next one. */
  #refuseBeyondLimit (sorted: readonly QueuedEntry[], plan: MutablePlan, nowMs: number): void {
    const { overdue, firstWaitMs } = this.#limiter.findOverdue(sorted.filter(({ request }) => this.#waiting.has(request.key)), nowMs)
    for (const { entry: { request }, waitMs } of overdue) {
      this.#waiting.delete(request.key)
      plan.refused.push({ key: request.key, retryAfterMs: this.#scheduleRetry(waitMs, nowMs), reason: 'the engine takes so few requests that its turn would come too late', isLimited: true })
    }
    if (firstWaitMs !== undefined) wakeBy(plan, nowMs + Math.max(minReplanDelayMs, firstWaitMs))
  }

  // Estimates

  #createPromptFacts ({ dueAtMs, mayDecline }: AllocationRequest, prefillMs: number, nowMs: number): PromptFacts {
    return { prefillMs, dueInMs: dueAtMs - nowMs, mayDecline }
  }

  /** Computes the backlog above which a request is declined because of long prompts; another engine may have to load its adapter. */
  #computeMaxBacklogMs (request: AllocationRequest, prefillMs: number, nowMs: number): number {
    if (this.#options.isSizeBlind) return Infinity
    const isOnlyHere = !request.isBase && this.adapters.find(request.adapter) !== undefined && !request.isServedElsewhere
    return this.longPrompts.computeMaxBacklogMs(this.#createPromptFacts(request, prefillMs, nowMs), isOnlyHere ? this.#options.estimateColdLoadMs() : 0, nowMs)
  }

  /** Estimates the time until the engine starts a request, with its adapter's load and the prefill backlog included. */
  #estimateStartMs (request: AllocationRequest, isOverShare: boolean, nowMs: number): number {
    const backlogMs = this.prefillBacklog.getBacklogMs(nowMs) + (isOverShare ? this.#sumWaitingPrefillMs() : 0)
    const batchDelayMs = this.#running.size >= this.#options.batchLimit ? fullBatchDelayMs : 0
    return Math.max(backlogMs, this.#estimateAdapterReadyMs(request, isOverShare, nowMs), this.#estimateLimitWaitMs(request, isOverShare, nowMs)) + batchDelayMs
  }

  /** Estimates the time until a limited engine takes a request, after those that are more urgent and the order for its adapter. */
  #estimateLimitWaitMs (request: AllocationRequest, isOverShare: boolean, nowMs: number): number {
    return this.#limiter.estimateWaitMs({ ...this.#limiter.computeTurn(request, 0, nowMs), isOverShare }, this.#waiting.values(), this.#hasSlot(request) ? 0 : 1, nowMs)
  }

  #estimateAdapterReadyMs (request: AllocationRequest, isOverShare: boolean, nowMs: number): number {
    if (request.isBase) return 0
    const { estimateLoadMs, maxLoads } = this.#options
    const loadMs = estimateLoadMs(request.adapter, request.version)
    const engineAdapter = this.adapters.find(request.adapter)
    if (engineAdapter && engineAdapter.version >= request.version) {
      if (engineAdapter.state === 'loaded') return 0
      if (engineAdapter.state === 'loading') return Math.max(0, engineAdapter.readyAtMs - nowMs)
    }
    const queued = this.#countQueuedAdapters(isOverShare)
    const rounds = Math.floor((queued + this.adapters.loadingCount) / maxLoads)
    const missingSlots = queued + 1 - this.adapters.availableSlots
    return loadMs * (1 + rounds) + Math.max(0, missingSlots) * this.#estimateSlotFreeMs()
  }

  /** Number of loads that could start now in addition to those of the queued adapters. */
  #countAvailableLoads (isOverShare: boolean): number {
    const queued = this.#countQueuedAdapters(isOverShare)
    return Math.min(this.adapters.availableSlots, this.#options.maxLoads - this.adapters.loadingCount) - queued
  }

  /** Prefill time of all requests that wait, which come before one of an account over its share. */
  #sumWaitingPrefillMs (): number {
    let sumMs = 0
    for (const { prefillMs } of this.#waiting.values()) sumMs += prefillMs
    return sumMs
  }

  /** Number of adapters that queued requests need and whose load has not started; those of accounts over their shares come last. */
  #countQueuedAdapters (isOverShare: boolean): number {
    const queued = new Set<string>()
    for (const { request, isOverShare: isAfter } of this.#waiting.values()) if ((isOverShare || !isAfter) && !request.isBase && !this.adapters.find(request.adapter)) queued.add(request.adapter)
    return queued.size
  }

  /** Estimates the time until an adapter in use becomes idle: one with a single running request does when that request ends. */
  #estimateSlotFreeMs (): number {
    return this.#runMs / Math.max(1, this.adapters.nearlyIdleCount)
  }

  #createDeclineFacts (request: AllocationRequest, startMs: number, prefillMs: number, isOverShare: boolean, nowMs: number): DeclineFacts {
    const { estimateLoadMs, estimateColdLoadMs } = this.#options
    return {
      load: this.getLoad(nowMs),
      isPresent: request.isBase || this.adapters.find(request.adapter) !== undefined,
      prefillShare: request.isBase ? 1 : this.adapters.getPrefillShare(request.adapter, nowMs),
      loadMs: estimateLoadMs(request.adapter, request.version),
      coldLoadMs: estimateColdLoadMs(),
      availableLoads: this.#countAvailableLoads(isOverShare),
      maxBacklogMs: this.#computeMaxBacklogMs(request, prefillMs, nowMs),
      overShareWaitMs: isOverShare ? computeOverShareWaitMs(this.prefillBacklog.getBacklogMs(nowMs), this.#sumWaitingPrefillMs()) : 0,
      startMs,
      prefillMs,
      limit: this.#limiter.isLimited(nowMs) ? { waitMs: this.#estimateLimitWaitMs(request, isOverShare, nowMs), idleMs: this.#limiter.getIdleMs(nowMs) } : undefined
    }
  }

  #scheduleRetry (excessMs: number, nowMs: number): number {
    return this.#retries.schedule(excessMs, nowMs, this.#limiter.getIntervalMs(nowMs))
  }
}
