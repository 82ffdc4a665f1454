/**
 * Decides about the places of one engine: which request gets one now, waits for its adapter, should ask elsewhere or is
 * refused, and which adapters are loaded and unloaded for those that wait. It does no I/O.
 */
import type { DeskLoad } from '../../schemas/datagram.js'
import { isCrowded } from '../frontChoice.js'
import { AdapterPlaces } from './adapterPlaces.js'
import type { AdapterState, PlacedAdapter } from './adapterPlaces.js'
import { compareNeeds, compareUrgency, findSlotLimit } from './deskOrder.js'
import type { LoadNeed } from './deskOrder.js'
import type { DeskOptions, DeskPlan, DeskRequest, DeskVerdict } from './deskRequest.js'
import { PromptCache } from './promptCache.js'
import { PromptWork } from './promptWork.js'

/** An adapter that takes this part of an engine's time is worth a replica on another one. */
const hotShare = 0.12
/** A rare adapter that another engine has too stays up to this backlog, which is a quarter of the tightest target. */
const rareBacklogMs = 150
/** An adapter that loads this fast is worth a wait for a slot, as another engine would have to bring it from the store. */
const quickLoadMs = 100
/** A late request goes elsewhere that would wait for more than this part of the time in which a start is of use. */
const latePolitePart = 0.3
/** A batch that is full lets the next request in about this much later. */
const fullBatchMs = 50
/** A late request waits while more prompts than this are before the engine, so that those in time go first; */
const lateBacklogMs = 60
/** and this part of the time since it became late more, so that it is not put off for ever. */
const lateAgingPart = 0.2
/** No caller is told to come back sooner; a load from the store takes 250 ms, so less would only be refused again. */
const minRetryAfterMs = 100
/** Time between two refused callers' returns: the 50 a second that an engine starts beside its other work. */
const returnIntervalMs = 20
/** No caller is sent away for longer on account of other refused ones: most come once more within a second. */
const maxReturnSpreadMs = 1000
/** Least time between two plans for requests that are put off. */
const minWakeMs = 10
/** Run of a request before any has ended; the published streams take 400 to 600 ms. */
const initialRunMs = 500
/** Weight of the newest run in the usual time. */
const runSmoothing = 0.05
/** A load that failed is not ordered again for this long; most fail because the engine's state has to be read anew. */
const loadBackOffMs = 150

interface Waiting {
  request: DeskRequest
  readMs: number
  /** Until when its adapter must have a slot. */
  slotLimitMs: number
}

interface Running {
  adapter: string
  isBase: boolean
  expectedMs: number
  grantedAtMs: number
}

export class DeskPlanner {
  readonly places: AdapterPlaces
  readonly work = new PromptWork()
  #options: DeskOptions
  #cache: PromptCache
  #waiting = new Map<string, Waiting>()
  #running = new Map<string, Running>()
  #failedLoads = new Map<string, number>()
  #lastReturnMs = 0
  /** Usual time from a grant to the end of the run. */
  #runMs = initialRunMs

  constructor (options: DeskOptions) {
    this.#options = options
    this.places = new AdapterPlaces(options.adapterSlots)
    this.#cache = new PromptCache(options.cacheTokens)
  }

  get running (): number {
    return this.#running.size
  }

  get waiting (): number {
    return this.#waiting.size
  }

  readLoad (nowMs: number): DeskLoad {
    return { use: this.work.readUse(nowMs), backlogMs: this.work.readBacklogMs(nowMs), batchPart: (this.#running.size + this.#waiting.size) / this.#options.batchLimit }
  }

  // Requests

  add (request: DeskRequest, nowMs: number): DeskVerdict {
    this.places.recordAsked(request.adapter, nowMs)
    const missing = this.#cache.countMissing(request.adapter, request.parts, request.promptTokens)
    const readMs = this.work.computeReadMs(missing, request.promptTokens)
    const expectedMs = this.#expectStartMs(request, nowMs)
    if (request.mayDecline) {
      const reason = this.#findReasonToDecline(request, expectedMs, readMs, nowMs)
      if (reason !== undefined) return { kind: 'declined', expectedMs: expectedMs + readMs, reason }
    }
    const latestMs = Math.min(request.uselessAtMs, findSlotLimit(request, nowMs)) - readMs - nowMs
    if (expectedMs > latestMs) {
      const reason = `it would start in ${Math.round(expectedMs)} ms and is worth a start within ${Math.round(latestMs)} ms`
      return { kind: 'refused', retryAfterMs: this.#pickReturn(expectedMs - Math.max(0, request.dueAtMs - readMs - nowMs), nowMs), reason }
    }
    this.#waiting.set(request.key, { request, readMs, slotLimitMs: findSlotLimit(request, nowMs) })
    return { kind: 'queued', expectedMs }
  }

  /** A request runs that a former owner, or nobody, gave its place. */
  adopt (key: string, adapter: string, isBase: boolean, nowMs: number): void {
    if (this.#running.has(key)) return
    this.#running.set(key, { adapter, isBase, expectedMs: 0, grantedAtMs: nowMs })
    const placed = this.places.find(adapter)
    if (placed && !isBase) placed.running++
  }

  /** A request has ended, was withdrawn or is lost; `nowMs` where it ran to its end. */
  remove (key: string, nowMs?: number): void {
    this.#waiting.delete(key)
    const running = this.#running.get(key)
    if (!running) return
    this.#running.delete(key)
    if (nowMs !== undefined) this.#runMs += runSmoothing * (nowMs - running.grantedAtMs - this.#runMs)
    const placed = this.places.find(running.adapter)
    if (placed && !running.isBase) placed.running = Math.max(0, placed.running - 1)
  }

  /** The first part of an answer came so long after the request was sent. */
  recordFirstPart (key: string, measuredMs: number): void {
    const running = this.#running.get(key)
    if (running) this.work.recordFirstPart(running.expectedMs, measuredMs)
  }

  // Adapters

  /** A load is under way that this planner did not order, or has forgotten. */
  recordLoading (adapter: string, version: number, nowMs: number): void {
    if (this.places.find(adapter)?.version === version) return
    this.#add(adapter, version, 'loading', nowMs + this.#options.expectLoadMs(adapter, version), nowMs)
  }

  recordLoaded (adapter: string, version: number, nowMs: number): void {
    const placed = this.places.find(adapter)
    if (placed && placed.version === version) {
      placed.state = 'loaded'
      placed.usedAtMs = nowMs
      return
    }
    this.#add(adapter, version, 'loaded', nowMs, nowMs)
  }

  #add (adapter: string, version: number, state: AdapterState, readyAtMs: number, nowMs: number): void {
    const placed = this.places.add(adapter, version, state, readyAtMs, nowMs)
    for (const running of this.#running.values()) if (running.adapter === adapter) placed.running++
  }

  recordLoadFailed (adapter: string, nowMs: number): void {
    if (this.places.find(adapter)?.state === 'loading') this.places.remove(adapter)
    this.#failedLoads.set(adapter, nowMs)
  }

  recordUnloaded (adapter: string): void {
    this.places.remove(adapter)
    this.#cache.forgetAdapter(adapter)
  }

  recordUnloadFailed (adapter: string, nowMs: number): void {
    const placed = this.places.find(adapter)
    if (placed?.state !== 'unloading') return
    placed.state = 'loaded'
    placed.usedAtMs = nowMs
  }

  /** The engine lost everything that it held and ran. */
  recordRestarted (): void {
    this.places.clear()
    this.#cache.clear()
    this.work.clear()
    this.#running.clear()
  }

  /**
   * Grants places, refuses what waited too long, and orders loads and unloads for the rest; `mayOrder` tells whether the
   * engine may be given orders now.
   */
  plan (nowMs: number, mayOrder: boolean): DeskPlan {
    const plan: DeskPlan & { wakeAtMs: number | undefined } = { granted: [], refused: [], loads: [], unloads: [], wakeAtMs: undefined }
    const ordered = [...this.#waiting.values()].sort((left, right) => compareUrgency(left.request, right.request, nowMs))
    const needs = new Map<string, LoadNeed>()
    for (const waiting of ordered) {
      const { request } = waiting
      if (this.#mayGrant(request)) {
        if (this.#running.size < this.#options.batchLimit && !this.#isPutOff(waiting, plan, nowMs)) this.#grant(waiting, plan, nowMs)
      } else {
        const need = needs.get(request.adapter)
        if (need) need.count++
        else needs.set(request.adapter, { request, count: 1, isLate: this.#comesLate(waiting, nowMs) })
      }
    }
    this.#refuseOverdue(plan, nowMs)
    const needed = new Map([...needs].sort(([, left], [, right]) => compareNeeds(left, right)).map(([name, { request }]) => [name, request]))
    if (!mayOrder) return plan
    // Slots that are falling free are meant for the most urgent of those that wait.
    const coming = { slots: this.places.unloading }
    for (const request of needed.values()) if (this.#waiting.has(request.key)) this.#planLoad(request, needed, coming, plan, nowMs)
    return plan
  }

  #hasSlot ({ adapter, isBase, version }: DeskRequest): boolean {
    return isBase || (this.places.find(adapter)?.version ?? -1) >= version
  }

  #mayGrant (request: DeskRequest): boolean {
    if (request.isBase) return true
    const placed = this.places.find(request.adapter)
    return placed !== undefined && placed.state === 'loaded' && placed.version >= request.version && !placed.isClosing
  }

  /** Whether a request that is or will be late lets those in time go first. */
  #isPutOff ({ request: { dueAtMs }, readMs }: Waiting, plan: DeskPlan & { wakeAtMs: number | undefined }, nowMs: number): boolean {
    const backlogMs = this.work.readBacklogMs(nowMs)
    if (nowMs + backlogMs + readMs <= dueAtMs) return false
    const excessMs = backlogMs - lateBacklogMs - lateAgingPart * Math.max(0, nowMs - dueAtMs)
    if (excessMs <= 0) return false
    plan.wakeAtMs = Math.min(plan.wakeAtMs ?? Infinity, nowMs + Math.max(minWakeMs, excessMs))
    return true
  }

  /** Whether a load that begins now is done too late for an answer in time. */
  #comesLate ({ request, readMs }: Waiting, nowMs: number): boolean {
    return nowMs + this.#options.expectLoadMs(request.adapter, request.version) + readMs > request.dueAtMs
  }

  #grant ({ request, readMs }: Waiting, plan: DeskPlan, nowMs: number): void {
    this.#waiting.delete(request.key)
    this.#running.set(request.key, { adapter: request.adapter, isBase: request.isBase, expectedMs: this.work.readBacklogMs(nowMs) + readMs, grantedAtMs: nowMs })
    this.work.recordGranted(readMs, nowMs)
    this.places.recordRead(request.adapter, readMs, nowMs)
    this.#cache.recordRead(request.adapter, request.parts)
    const placed = this.places.find(request.adapter)
    if (placed && !request.isBase) {
      placed.running++
      placed.usedAtMs = nowMs
    }
    plan.granted.push(request.key)
  }

  #refuseOverdue (plan: DeskPlan & { wakeAtMs: number | undefined }, nowMs: number): void {
    for (const { request, slotLimitMs, readMs } of [...this.#waiting.values()]) {
      const lastMs = this.#hasSlot(request)
        ? request.uselessAtMs - readMs
        : Math.min(request.uselessAtMs - readMs - this.#options.expectLoadMs(request.adapter, request.version), slotLimitMs)
      if (lastMs > nowMs) {
        plan.wakeAtMs = Math.min(plan.wakeAtMs ?? Infinity, lastMs)
        continue
      }
      this.#waiting.delete(request.key)
      plan.refused.push({ key: request.key, retryAfterMs: this.#pickReturn(minRetryAfterMs, nowMs), reason: 'its adapter was not loaded in time' })
    }
  }

  /** Loads an adapter into a free slot, or has another one make way. */
  #planLoad (
    request: DeskRequest, needed: Map<string, DeskRequest>, coming: { slots: number }, plan: DeskPlan & { wakeAtMs: number | undefined }, nowMs: number
  ): void {
    const { places } = this
    const placed = places.find(request.adapter)
    if (placed) {
      if (placed.version < request.version) this.#replaceVersion(placed, plan)
      return
    }
    if (places.loading >= this.#options.maxLoads || this.#backsOff(request.adapter, plan, nowMs)) return
    if (places.free > 0) {
      places.add(request.adapter, request.version, 'loading', nowMs + this.#options.expectLoadMs(request.adapter, request.version), nowMs)
      plan.loads.push({ adapter: request.adapter, version: request.version })
      return
    }
    if (coming.slots > 0) {
      coming.slots--
      return
    }
    if (places.unloading + places.loading >= this.#options.maxLoads) return
    const victim = places.findVictim(nowMs, name => needed.has(name))
    if (victim) this.#unload(victim, plan)
    else if (places.keptUntilMs > nowMs) plan.wakeAtMs = Math.min(plan.wakeAtMs ?? Infinity, places.keptUntilMs)
  }

  /** Whether the last load of an adapter failed so lately that the next one has to wait. */
  #backsOff (adapter: string, plan: DeskPlan & { wakeAtMs: number | undefined }, nowMs: number): boolean {
    const failedAtMs = this.#failedLoads.get(adapter)
    if (failedAtMs === undefined) return false
    if (nowMs - failedAtMs < loadBackOffMs) {
      plan.wakeAtMs = Math.min(plan.wakeAtMs ?? Infinity, failedAtMs + loadBackOffMs)
      return true
    }
    this.#failedLoads.delete(adapter)
    return false
  }

  /** An engine holds one version of an adapter at a time; the old one goes when what runs on it has ended. */
  #replaceVersion (placed: PlacedAdapter, plan: DeskPlan): void {
    if (placed.state !== 'loaded') return
    placed.isClosing = true
    if (placed.running === 0) this.#unload(placed, plan)
  }

  #unload (placed: PlacedAdapter, plan: DeskPlan): void {
    placed.state = 'unloading'
    plan.unloads.push(placed.name)
  }

  // Expectations

  /** Time until the engine would begin with a request, its load and the prompts before it included. */
  #expectStartMs (request: DeskRequest, nowMs: number): number {
    const backlogMs = this.work.readBacklogMs(nowMs)
    const batchMs = this.#running.size >= this.#options.batchLimit ? fullBatchMs : 0
    return Math.max(backlogMs, this.#expectAdapterMs(request, nowMs)) + batchMs
  }

  #expectAdapterMs (request: DeskRequest, nowMs: number): number {
    if (request.isBase) return 0
    const { expectLoadMs, maxLoads } = this.#options
    const loadMs = expectLoadMs(request.adapter, request.version)
    const placed = this.places.find(request.adapter)
    if (placed && placed.version >= request.version) {
      if (placed.state === 'loaded') return 0
      if (placed.state === 'loading') return Math.max(0, placed.readyAtMs - nowMs)
    }
    const queued = this.#countQueuedAdapters()
    const rounds = Math.floor((queued + this.places.loading) / maxLoads)
    const missing = queued + 1 - this.places.free - this.places.idle
    return loadMs * (1 + rounds) + Math.max(0, missing) * this.#expectSlotMs()
  }

  /** Adapters whose load could begin now, beside those that wait for theirs. */
  #countOpenings (): number {
    const queued = this.#countQueuedAdapters()
    return Math.min(this.places.free + this.places.idle, this.#options.maxLoads - this.places.loading) - queued
  }

  /** Adapters that wait for a load which has not begun. */
  #countQueuedAdapters (): number {
    const queued = new Set<string>()
    for (const { request } of this.#waiting.values()) if (!request.isBase && !this.places.find(request.adapter)) queued.add(request.adapter)
    return queued.size
  }

  /** Time until the next adapter in use falls idle: one that serves a single request does so when that ends. */
  #expectSlotMs (): number {
    return this.#runMs / Math.max(1, this.places.nearlyIdle)
  }

  #findReasonToDecline (request: DeskRequest, expectedMs: number, readMs: number, nowMs: number): string | undefined {
    const load = this.readLoad(nowMs)
    const isPlaced = request.isBase || this.places.find(request.adapter) !== undefined
    const isHot = request.isBase || this.places.readShare(request.adapter, nowMs) > hotShare
    // Another replica of a rare adapter would cost a slot elsewhere for little work.
    const isTooBusy = isHot ? isCrowded(load) : load.backlogMs > this.#findRareLimitMs(request, isPlaced) || load.batchPart >= 1
    if (isTooBusy) return `prompts take ${Math.round(load.use * 100)}% of the engine's time and ${Math.round(load.batchPart * 100)}% of the batch is taken`
    const isQuick = isPlaced || this.#options.expectLoadMs(request.adapter, request.version) < quickLoadMs
    if (!isQuick && request.isElsewhere) return 'another engine has taken its adapter'
    if (!isQuick && this.#countOpenings() <= 0) return 'no slot or load is free for its adapter'
    const inTimeMs = Math.max(request.dueAtMs - nowMs, (request.uselessAtMs - nowMs) * latePolitePart)
    if (expectedMs + readMs > inTimeMs) return `it would start in ${Math.round(expectedMs)} ms`
    return undefined
  }

  /** Up to which backlog a rare adapter's request stays: bringing the adapter to another engine takes a load's time. */
  #findRareLimitMs ({ isElsewhere }: DeskRequest, isPlaced: boolean): number {
    return isPlaced && !isElsewhere ? Math.max(rareBacklogMs, this.#options.expectColdMs()) : rareBacklogMs
  }

  /** When a refused caller should come back: one after the other, once the excess is worked off. */
  #pickReturn (excessMs: number, nowMs: number): number {
    const earliestMs = nowMs + Math.max(minRetryAfterMs, excessMs)
    this.#lastReturnMs = Math.min(Math.max(earliestMs, this.#lastReturnMs + returnIntervalMs), earliestMs + maxReturnSpreadMs)
    return this.#lastReturnMs - nowMs
  }
}
