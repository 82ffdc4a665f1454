/** Allocates one engine's capacity: handles reservation requests, orders adapter loads and unloads, and grants reservations. */
import { AdapterLocations } from '../../core/allocation/adapterLocations.js'
import { formatAdapterName } from '../../core/allocation/adapterName.js'
import { AllocationPlanner } from '../../core/allocation/allocationPlanner.js'
import { describeEngineLoad } from '../../core/allocation/describeEngineLoad.js'
import type { AllocationPlan, AllocationDecision } from '../../core/allocation/allocationRequest.js'
import { PromptCounts } from '../../core/allocation/promptCounts.js'
import { listLoadedAdapters } from '../../core/allocation/reportedAdapters.js'
import { RecentKeys } from '../../core/recentKeys.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrders, EngineState } from '../../ports/engineOrders.js'
import type { RunningRequestsReport, EndpointLeaving, ServedElsewhere, ReservationReply, ReservationRequest, ReservationRelease } from '../../schemas/datagram.js'
import type { EndpointEntry, EngineSpec } from '../../schemas/routing.js'
import { EngineStateMonitor } from './engineStateMonitor.js'
import { UntrackedRuns } from './untrackedRuns.js'
import { AdapterLoader } from './adapterLoader.js'
import { AdapterOrders } from './adapterOrders.js'
import { applyEngineState } from './applyEngineState.js'
import { EngineLeaving } from './engineLeaving.js'
import { EngineLoadLog } from './engineLoadLog.js'
import { EngineOrderQueue } from './engineOrderQueue.js'
import { RecentReplies } from './recentReplies.js'
import { createAdoptedReservation, createAllocationRequest, maxEndedKeys } from './reservationEntry.js'
import type { SendReservationReply, ReservationEntry } from './reservationEntry.js'

export interface EngineAllocatorOptions {
  clock: Clock
  log: EventLog
  host: string
  entry: EndpointEntry
  engine: EngineSpec
  orders: EngineOrders
  /** Returns the fencing token for orders, or undefined if this host may not send orders now. */
  findFencingToken: () => number | undefined
  /** Returns the requests a second that the engine may get; undefined if it is not limited. */
  findRate: () => number | undefined
  /** Returns the newest declared version of an adapter, or 0 if none was declared. */
  findVersion: (model: string, adapter: string) => number
  /** Returns the weight by which an account shares the engine with others. */
  getAccountWeight?: (account: string) => number
  /** Delay before the first order, in milliseconds, during which orders of the former owner may still arrive. */
  takeoverDelayMs: number
}

/** A reservation that its holder did not release is freed this long after its caller has left. */
const lostReservationGraceMs = 1000
const sweepIntervalMs = 500
/** Version of adapters for which none was declared. */
const defaultAdapterVersion = 1
/** Number of loads that one engine accepts at a time. */
const maxConcurrentLoads = 4
/** Fraction of the engine's cache that is expected to hold prompt prefixes in addition to the running requests. */
const promptCacheFraction = 0.6

export class EngineAllocator {
  #options: EngineAllocatorOptions
  #endpointId: string
  #leaving: EngineLeaving
  #reservations = new Map<string, ReservationEntry>()
  /** Released reservations; messages about them that arrive late are ignored, as nothing would release them again. */
  #ended = new RecentKeys(maxEndedKeys)
  /** Refusals, which are repeated: a host that has received one would not use, nor release, what it is granted afterwards. */
  #refusals = new RecentReplies()
  #orderQueue: EngineOrderQueue
  #loader: AdapterLoader
  #adapterOrders: AdapterOrders
  #stateMonitor: EngineStateMonitor
  #planner: AllocationPlanner
  #promptCounts: PromptCounts
  #untrackedRuns: UntrackedRuns
  #adapterLocations = new AdapterLocations()
  #isStopped = false
  /** Whether the loaded adapters are known although no orders may be sent yet. */
  #hasInitialState = false
  #planTimer: Timer | undefined
  #sweepTimer: Timer | undefined
  #isPlanning = false
  #loadLog: EngineLoadLog

  constructor (options: EngineAllocatorOptions) {
    this.#options = options
    this.#endpointId = options.entry.id
    this.#leaving = new EngineLeaving(options)
    const { clock, log, engine, orders } = options
    this.#orderQueue = new EngineOrderQueue({ ...options, endpointId: options.entry.id, receiveMismatch: reason => this.#stateMonitor.refreshState(reason) })
    this.#loader = new AdapterLoader({
      clock,
      orderQueue: this.#orderQueue,
      receiveLoaded: (loadKey, tookMs, isWarm) => log.record('adapter.loaded', 'An adapter has been loaded.', { endpointId: options.entry.id, adapter: loadKey, tookMs: Math.round(tookMs), isWarm })
    })
    this.#stateMonitor = new EngineStateMonitor({
      clock, log, orders, endpointId: options.entry.id, models: engine.models, orderQueue: this.#orderQueue, receiveState: (state, isRestarted) => this.#applyState(state, isRestarted), receiveInitialState: state => this.#applyInitialState(state)
    })
    this.#promptCounts = new PromptCounts(engine.cacheTokens)
    this.#planner = new AllocationPlanner({
      adapterSlots: engine.adapterSlots,
      batchLimit: engine.batchLimit,
      cacheTokens: engine.cacheTokens * promptCacheFraction,
      maxLoads: maxConcurrentLoads,
      estimateLoadMs: (adapter, version) => this.#loader.computeExpectedLoadMs(adapter, version),
      estimateColdLoadMs: () => this.#loader.coldLoadMs,
      findRate: options.findRate,
      ...(options.getAccountWeight && { getAccountWeight: options.getAccountWeight })
    })
    this.#adapterOrders = new AdapterOrders({ clock, orderQueue: this.#orderQueue, loader: this.#loader, planner: this.#planner, receiveOutcome: () => this.#plan() })
    this.#loadLog = new EngineLoadLog({
      clock, log, endpointId: options.entry.id, describe: () => ({ isReady: this.#stateMonitor.isReady, isOpen: this.#orderQueue.canSendOrders, ...this.#describeLoad() })
    })
    this.#untrackedRuns = new UntrackedRuns({
      clock, log, orders, endpointId: options.entry.id, adapters: this.#planner.adapters, countTracked: () => this.#planner.running, receiveAdaptersReleased: () => this.#plan()
    })
  }

  get endpointId (): string {
    return this.#endpointId
  }

  start (): void {
    this.#stateMonitor.start(this.#options.takeoverDelayMs)
    const sweep = (): void => {
      this.#releaseLostReservations()
      this.#loadLog.write()
      this.#sweepTimer = this.#options.clock.setTimer(sweep, sweepIntervalMs)
    }
    sweep()
  }

  stop (reason: string): void {
    this.#isStopped = true
    this.#adapterOrders.stop()
    this.#planTimer?.cancel()
    this.#sweepTimer?.cancel()
    this.#stateMonitor.stop()
    this.#untrackedRuns.stop()
    this.#options.orders.close()
    for (const reservation of [...this.#reservations.values()]) if (!reservation.isGranted) this.#refuse(reservation, 'not_owner', reason, 0)
  }

  /** Called when the endpoint's row has changed. */
  receiveEntry (entry: EndpointEntry): void {
    if (this.#leaving.receiveEntry(entry)) this.#orderQueue.invalidate('its entry shows a restart')
    if (entry.isLeaving) this.#refuseWaiting()
  }

  /** Called when a host has received the engine's own notice that it is leaving. */
  receiveLeaving (notice: EndpointLeaving): void {
    if (this.#leaving.receiveNotice(notice)) this.#refuseWaiting()
  }

  /** Called when the engine's limit has changed: requests may wait for longer, or no more. */
  receiveLimitChange (): void {
    this.#plan()
  }

  /** Refuses waiting requests early, while there is time to load their adapters on other engines. */
  #refuseWaiting (): void {
    for (const reservation of [...this.#reservations.values()]) {
      if (reservation.isGranted) continue
      this.#planner.remove(reservation.key)
      this.#refuse(reservation, 'endpoint_leaving', `endpoint "${this.endpointId}" is leaving`, 0)
    }
  }

  receiveRequest (key: string, request: ReservationRequest, sendReply: SendReservationReply): void {
    if (this.#ended.has(key)) return
    const known = this.#reservations.get(key)
    const lastReply = known ? known.lastReply : this.#refusals.find(key)
    if (lastReply) sendReply(lastReply)
    if (known || lastReply) return
    const nowMs = this.#options.clock.readMonotonic()
    const reservation: ReservationEntry = {
      key, request, sendReply, version: this.#findVersion(request), receivedAtMs: nowMs, isGranted: false, lastReply: undefined
    }
    this.#reservations.set(key, reservation)
    const refusal = this.#findRefusal(reservation)
    if (refusal) this.#refuse(reservation, refusal.code, refusal.reason, 0)
    else this.#submit(reservation, nowMs)
  }

  receiveRelease (key: string, release: ReservationRelease): void {
    this.#ended.add(key)
    const reservation = this.#reservations.get(key)
    if (!reservation) return
    this.#reservations.delete(key)
    if (release.firstPartMs >= 0 && release.outcome === 'served') this.#planner.recordFirstChunk(key, release.firstPartMs, this.#options.clock.readMonotonic(), release.slowness)
    this.#planner.remove(key, release.outcome === 'served' ? this.#options.clock.readMonotonic() : undefined)
    if (release.outcome === 'missing') this.#handleMissingAdapter(reservation)
    if (release.outcome === 'unreachable' || release.outcome === 'broken') this.#stateMonitor.checkReachability()
    this.#plan()
  }

  /** The engine reports that it lacks an adapter: no more requests are sent for it unless the next state report lists it. */
  #handleMissingAdapter ({ request, version }: ReservationEntry): void {
    const adapter = formatAdapterName(request)
    const current = this.#planner.adapters.find(adapter)
    if (current?.state === 'loaded' && current.version === version) this.#planner.recordUnloaded(adapter)
    this.#orderQueue.invalidate(`adapter "${request.adapter}" is unexpectedly missing`)
  }

  /** Records requests of a proxy that run here without a reservation from this owner. */
  receiveRunningRequests (session: string, { places: running }: RunningRequestsReport): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const reported of running) {
      const key = `${session}.${reported.id}`
      if (this.#reservations.has(key) || this.#ended.has(key)) continue
      this.#reservations.set(key, createAdoptedReservation(this.endpointId, key, reported, nowMs))
      this.#planner.adopt(key, formatAdapterName(reported), reported.adapter === '', nowMs)
    }
  }

  /** Called when another engine served a request although this one is its adapter's preferred engine. */
  receiveServedElsewhere ({ model, adapter, takenBy }: ServedElsewhere): void {
    if (takenBy !== this.endpointId) this.#adapterLocations.record(formatAdapterName({ model, adapter }), takenBy, this.#options.clock.readMonotonic())
  }

  /** Called when a newer version of an adapter was declared: requests that wait for the old version wait for the new one. */
  receiveVersion (model: string, adapter: string): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const reservation of [...this.#reservations.values()]) {
      if (reservation.request.model !== model || reservation.request.adapter !== adapter || reservation.isGranted) continue
      this.#planner.remove(reservation.key)
      reservation.version = this.#findVersion(reservation.request)
      this.#submit(reservation, nowMs)
    }
  }

  describeState (): unknown {
    const nowMs = this.#options.clock.readMonotonic()
    const { running, waiting, adapters } = this.#planner
    return {
      endpointId: this.endpointId, isReady: this.#stateMonitor.isReady, running, waiting, load: this.#planner.getLoad(nowMs), pace: this.#planner.prefillBacklog.slowdown, adapters: adapters.list()
    }
  }

  #findVersion (request: ReservationRequest): number {
    if (request.adapter === '') return 0
    return Math.max(request.version, this.#options.findVersion(request.model, request.adapter), defaultAdapterVersion)
  }

  /** Finds the reason why no reservation can be granted now, regardless of the engine's load. */
  #findRefusal ({ request }: ReservationEntry): { code: string, reason: string } | undefined {
    if (this.#leaving.isLeaving) return { code: 'endpoint_leaving', reason: `endpoint "${this.endpointId}" is leaving` }
    // Requests that arrive before the first state report wait for it.
    if (!this.#stateMonitor.isReady && !this.#stateMonitor.isStarting) return { code: 'endpoint_not_ready', reason: `the state of endpoint "${this.endpointId}" is unknown` }
    const hasAdapter = request.adapter === '' || this.#planner.adapters.find(formatAdapterName(request)) !== undefined
    if (hasAdapter || this.#options.findFencingToken() !== undefined) return undefined
    return { code: 'no_orders', reason: `the owner of endpoint "${this.endpointId}" may not send it orders now` }
  }

  // Reservations

  #submit (reservation: ReservationEntry, nowMs: number): void {
    const { request } = reservation
    const promptTokens = this.#promptCounts.estimate(request.route, request.promptTokens)
    const isServedElsewhere = this.#adapterLocations.find(formatAdapterName(request), nowMs) !== undefined
    const decision = this.#planner.add(createAllocationRequest(reservation, { promptTokens, isServedElsewhere }, nowMs), nowMs)
    this.#applyDecision(reservation, decision)
  }

  #applyDecision (reservation: ReservationEntry, decision: AllocationDecision): void {
    if (decision.kind === 'declined') {
      this.#refuse(reservation, 'crowded', decision.reason, 0, decision.expectedMs)
    } else if (decision.kind === 'refused') {
      this.#options.log.record(decision.isOverShare ? 'place.overShare' : 'place.refused', 'Refused a reservation.', { requestId: reservation.request.requestId, endpointId: this.endpointId, reason: decision.reason, ...this.#describeLoad() })
      this.#refuse(reservation, decision.isLimited ? 'limited' : 'out_of_reach', decision.reason, decision.retryAfterMs)
    } else {
      this.#plan()
      if (reservation.lastReply === undefined && decision.kind === 'queued') this.#reply(reservation, { type: 'queued', id: reservation.request.id, expectedMs: decision.expectedMs })
    }
  }

  #describeLoad (): Record<string, number> {
    return describeEngineLoad(this.#planner, this.#options.clock.readMonotonic())
  }

  #reply (reservation: ReservationEntry, reply: ReservationReply): void {
    reservation.lastReply = reply
    reservation.sendReply(reply)
  }

  #refuse (reservation: ReservationEntry, code: string, message: string, retryAfterMs: number, expectedMs = -1): void {
    const nowMs = this.#options.clock.readMonotonic()
    const elsewhere = this.#adapterLocations.find(formatAdapterName(reservation.request), nowMs)
    const refusal: ReservationReply = { type: 'refusal', id: reservation.request.id, code, message, retryAfterMs, expectedMs, load: this.#planner.getLoad(nowMs), ...(elsewhere !== undefined && { elsewhere }) }
    this.#reply(reservation, refusal)
    this.#refusals.add(reservation.key, refusal)
    this.#reservations.delete(reservation.key)
  }

  /** Frees reservations whose holders were lost. */
  #releaseLostReservations (): void {
    const nowMs = this.#options.clock.readMonotonic()
    let hasReleased = false
    for (const [key, reservation] of this.#reservations) {
      if (nowMs - reservation.receivedAtMs < reservation.request.leavesInMs + lostReservationGraceMs) continue
      this.#reservations.delete(key)
      this.#planner.remove(key)
      hasReleased = true
      this.#options.log.record('place.lost', 'Freed a reservation that its holder did not release in time.', { requestId: reservation.request.requestId, endpointId: this.endpointId })
    }
    if (hasReleased) this.#plan()
  }

  // Planning

  #plan (): void {
    if (this.#isPlanning || this.#isStopped || !(this.#stateMonitor.isReady || (this.#hasInitialState && this.#stateMonitor.isStarting))) return
    this.#isPlanning = true
    this.#planTimer?.cancel()
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    const plan = this.#planner.plan(nowMs, this.#orderQueue.canSendOrders)
    this.#executePlan(plan, nowMs)
    if (plan.wakeAtMs !== undefined) this.#planTimer = clock.setTimer(() => this.#plan(), Math.max(1, plan.wakeAtMs - nowMs))
    this.#isPlanning = false
  }

  #executePlan (plan: AllocationPlan, nowMs: number): void {
    for (const { key, retryAfterMs, reason, isLimited, isOverShare } of plan.refused) {
      const reservation = this.#reservations.get(key)
      if (!reservation) continue
      this.#options.log.record(isOverShare ? 'place.overShare' : 'place.overdue', isOverShare ? 'Refused a request whose account is over its share.' : 'Refused a request that waited too long for its adapter.', { requestId: reservation.request.requestId, endpointId: this.endpointId, adapter: reservation.request.adapter, ...this.#describeLoad() })
      this.#refuse(reservation, isLimited ? 'limited' : 'overdue', reason, retryAfterMs)
    }
    const load = this.#planner.getLoad(nowMs)
    for (const key of plan.granted) this.#grant(key, load, nowMs)
    for (const adapter of plan.unloads) this.#adapterOrders.unload(adapter)
    for (const { adapter, version } of plan.loads) this.#adapterOrders.load(adapter, version)
  }

  #grant (key: string, load: ReturnType<AllocationPlanner['getLoad']>, nowMs: number): void {
    const reservation = this.#reservations.get(key)
    if (!reservation) return
    reservation.isGranted = true
    // Only versions that operators have declared are requested by number.
    const version = reservation.version === defaultAdapterVersion && this.#options.findVersion(reservation.request.model, reservation.request.adapter) === 0 ? 0 : reservation.version
    this.#reply(reservation, { type: 'grant', id: reservation.request.id, load, waitedMs: nowMs - reservation.receivedAtMs, version })
  }

  // State

  #applyInitialState (state: EngineState): void {
    const nowMs = this.#options.clock.readMonotonic()
    this.#hasInitialState = true
    for (const { name, version } of listLoadedAdapters(state)) this.#planner.recordLoaded(name, version, nowMs)
    this.#plan()
  }

  #applyState (state: EngineState, isRestarted: boolean): void {
    applyEngineState(state, isRestarted, {
      planner: this.#planner, loader: this.#loader, untrackedRuns: this.#untrackedRuns, receiveLoadOutcome: (name, version, outcome) => this.#adapterOrders.receiveLoadOutcome(name, version, outcome)
    }, this.#options.clock.readMonotonic())
    this.#plan()
  }
}
