/** Gives out the places of one engine: takes asks, has adapters loaded and unloaded, and grants places. */
import { AdapterDirectory } from '../../core/desk/adapterDirectory.js'
import { formatAdapter, parseAdapter } from '../../core/desk/adapterName.js'
import { DeskPlanner } from '../../core/desk/deskPlanner.js'
import { describeLoad } from '../../core/desk/describeLoad.js'
import type { DeskPlan, DeskVerdict } from '../../core/desk/deskRequest.js'
import { listComing, listHeld } from '../../core/desk/engineHoldings.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrders, EngineState } from '../../ports/orders.js'
import type { Held, Leaving, Placed, PlaceAnswer, PlaceAsk, PlaceDone } from '../../schemas/datagram.js'
import type { EndpointEntry, EngineShape } from '../../schemas/routing.js'
import { EngineWatch } from './engineWatch.js'
import { ForeignRuns } from './foreignRuns.js'
import { LoadWatch } from './loadWatch.js'
import type { LoadOutcome } from './loadWatch.js'
import { OrderLine } from './orderLine.js'
import { createHeldPlace } from './place.js'
import type { AnswerAsk, Place } from './place.js'

export interface EndpointDeskOptions {
  clock: Clock
  log: EventLog
  host: string
  entry: EndpointEntry
  engine: EngineShape
  orders: EngineOrders
  findFencing: () => number | undefined
  /** Newest declared version of an adapter; 0 where none was declared. */
  findVersion: (model: string, adapter: string) => number
  /** Time before the first order, while orders of the former owner may still arrive, in milliseconds. */
  settleMs: number
}

/** A place whose holder was not heard of any more is free this long after its caller has left. */
const lostPlaceMs = 1000
const sweepIntervalMs = 500
/** For how long an owner takes one host's word that an engine leaves; later signs prolong it, and a false one passes. */
const leavingTermMs = 5000
/** Time between two log lines about an engine's load. */
const reportIntervalMs = 1000
/** Version of adapters for which none was declared. */
const firstVersion = 1
/** Loads that one engine takes at a time. */
const maxLoads = 4
/** Part of the engine's memory that prompts may be expected to keep beside what runs. */
const keptPart = 0.6

export class EndpointDesk {
  #options: EndpointDeskOptions
  #entry: EndpointEntry
  #places = new Map<string, Place>()
  #line: OrderLine
  #loads: LoadWatch
  #watch: EngineWatch
  #planner: DeskPlanner
  #foreignRuns: ForeignRuns
  #directory = new AdapterDirectory()
  #isStopped = false
  /** Whether it is known what the engine holds, although it may not be given orders yet. */
  #hasEarlyState = false
  #wake: Timer | undefined
  #sweep: Timer | undefined
  #isPlanning = false
  #reportedAtMs = -Infinity
  /** Until when the engine counts as leaving by its own answers. */
  #leavingUntilMs = -Infinity

  constructor (options: EndpointDeskOptions) {
    this.#options = options
    this.#entry = options.entry
    const { clock, log, engine, orders } = options
    this.#line = new OrderLine({ ...options, endpointId: options.entry.id, receiveMismatch: reason => this.#watch.checkState(reason) })
    this.#loads = new LoadWatch({
      clock,
      line: this.#line,
      receiveLoaded: (adapter, tookMs, isWarm) => log.record('adapter.loaded', 'An adapter is loaded.', { endpointId: options.entry.id, adapter, tookMs: Math.round(tookMs), isWarm })
    })
    this.#watch = new EngineWatch({
      clock, log, orders, endpointId: options.entry.id, models: engine.models, line: this.#line, receiveState: (state, isRestarted) => this.#takeOver(state, isRestarted), receiveEarlyState: state => this.#receiveEarlyState(state)
    })
    this.#planner = new DeskPlanner({
      adapterSlots: engine.adapterSlots,
      batchLimit: engine.batchLimit,
      cacheTokens: engine.cacheTokens * keptPart,
      maxLoads,
      expectLoadMs: (adapter, version) => this.#loads.computeExpectedMs(adapter, version),
      expectColdMs: () => this.#loads.coldMs
    })
    this.#foreignRuns = new ForeignRuns({
      clock, log, orders, endpointId: options.entry.id, places: this.#planner.places, countOwn: () => this.#planner.running, receiveReleased: () => this.#plan()
    })
  }

  get endpointId (): string {
    return this.#entry.id
  }

  start (): void {
    this.#watch.start(this.#options.settleMs)
    const sweep = (): void => {
      this.#sweepPlaces()
      this.#reportLoad()
      this.#sweep = this.#options.clock.setTimer(sweep, sweepIntervalMs)
    }
    sweep()
  }

  stop (reason: string): void {
    this.#isStopped = true
    this.#wake?.cancel()
    this.#sweep?.cancel()
    this.#watch.stop()
    this.#foreignRuns.stop()
    this.#options.orders.close()
    for (const place of [...this.#places.values()]) if (!place.isGranted) this.#refuse(place, 'not_owner', reason, 0)
  }

  /** The endpoint's row has changed. */
  receiveEntry (entry: EndpointEntry): void {
    const isRestarted = entry.startedAtMs !== this.#entry.startedAtMs
    this.#entry = entry
    if (isRestarted) {
      this.#leavingUntilMs = -Infinity
      this.#line.close('its entry tells of a new start')
    }
    if (entry.isLeaving) this.#releaseWaiting()
  }

  /** A host was told by the engine itself that it leaves. */
  receiveLeaving ({ startedAtMs }: Leaving): void {
    if (startedAtMs !== this.#entry.startedAtMs) return
    const { clock, log } = this.#options
    const nowMs = clock.readMonotonic()
    const wasLeaving = this.#isLeaving(nowMs)
    this.#leavingUntilMs = nowMs + leavingTermMs
    if (wasLeaving) return
    log.record('engine.leaving', 'An engine says in its answers that it leaves; it gets no loads and gives no places for a while.', { endpointId: this.endpointId, startedAtMs, leftMs: leavingTermMs })
    this.#releaseWaiting()
  }

  #isLeaving (nowMs: number): boolean {
    return this.#entry.isLeaving || nowMs < this.#leavingUntilMs
  }

  /** What waits here is placed elsewhere while there is time to load its adapter there. */
  #releaseWaiting (): void {
    for (const place of [...this.#places.values()]) {
      if (place.isGranted) continue
      this.#planner.remove(place.key)
      this.#refuse(place, 'endpoint_leaving', `endpoint "${this.endpointId}" is leaving`, 0)
    }
  }

  receiveAsk (key: string, ask: PlaceAsk, answer: AnswerAsk): void {
    const known = this.#places.get(key)
    if (known) {
      if (known.lastAnswer) answer(known.lastAnswer)
      return
    }
    const nowMs = this.#options.clock.readMonotonic()
    const place: Place = {
      key, ask, answer, version: this.#findVersion(ask), receivedAtMs: nowMs, isGranted: false, lastAnswer: undefined
    }
    this.#places.set(key, place)
    const obstacle = this.#findObstacle(place)
    if (obstacle) this.#refuse(place, obstacle.code, obstacle.reason, 0)
    else this.#admit(place, nowMs)
  }

  receiveDone (key: string, done: PlaceDone): void {
    const place = this.#places.get(key)
    if (!place) return
    this.#places.delete(key)
    if (done.firstPartMs >= 0 && done.outcome === 'served') this.#planner.recordFirstPart(key, done.firstPartMs)
    this.#planner.remove(key, done.outcome === 'served' ? this.#options.clock.readMonotonic() : undefined)
    if (done.outcome === 'missing') this.#receiveMissing(place)
    if (done.outcome === 'unreachable' || done.outcome === 'broken') this.#watch.checkReachable()
    this.#plan()
  }

  /** The engine says that it lacks an adapter: it takes no more requests for it unless its next report lists it. */
  #receiveMissing ({ ask, version }: Place): void {
    const adapter = formatAdapter(ask)
    const placed = this.#planner.places.find(adapter)
    if (placed?.state === 'loaded' && placed.version === version) this.#planner.recordUnloaded(adapter)
    this.#line.close(`adapter "${ask.adapter}" was expected there and is missing`)
  }

  /** Requests of a front run here without a place that this owner gave. */
  receiveHeld (session: string, { places }: Held): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const held of places) {
      const key = `${session}.${held.id}`
      if (this.#places.has(key)) continue
      this.#places.set(key, createHeldPlace(this.endpointId, key, held, nowMs))
      this.#planner.adopt(key, formatAdapter(held), held.adapter === '', nowMs)
    }
  }

  /** Another engine took a request whose adapter has its home here. */
  receivePlaced ({ model, adapter, takenBy }: Placed): void {
    if (takenBy !== this.endpointId) this.#directory.record(formatAdapter({ model, adapter }), takenBy, this.#options.clock.readMonotonic())
  }

  /** A newer version of an adapter was declared: what waits for the old one waits for the new one. */
  receiveVersion (model: string, adapter: string): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const place of [...this.#places.values()]) {
      if (place.ask.model !== model || place.ask.adapter !== adapter || place.isGranted) continue
      this.#planner.remove(place.key)
      place.version = this.#findVersion(place.ask)
      this.#admit(place, nowMs)
    }
  }

  describeState (): unknown {
    const nowMs = this.#options.clock.readMonotonic()
    const { running, waiting, places } = this.#planner
    return {
      endpointId: this.endpointId, isReady: this.#watch.isReady, running, waiting, load: this.#planner.readLoad(nowMs), pace: this.#planner.work.pace, adapters: places.list()
    }
  }

  #findVersion (ask: PlaceAsk): number {
    if (ask.adapter === '') return 0
    return Math.max(ask.version, this.#options.findVersion(ask.model, ask.adapter), firstVersion)
  }

  /** Why the engine gives no places now, whatever its load. */
  #findObstacle ({ ask }: Place): { code: string, reason: string } | undefined {
    if (this.#isLeaving(this.#options.clock.readMonotonic())) return { code: 'endpoint_leaving', reason: `endpoint "${this.endpointId}" is leaving` }
    // Asks that come before the first report wait for it.
    if (!this.#watch.isReady && !this.#watch.isStarting) return { code: 'endpoint_not_ready', reason: `endpoint "${this.endpointId}" does not tell its state` }
    const isPlaced = ask.adapter === '' || this.#planner.places.find(formatAdapter(ask)) !== undefined
    if (isPlaced || this.#options.findFencing() !== undefined) return undefined
    return { code: 'no_orders', reason: `the owner of endpoint "${this.endpointId}" may not give it orders now` }
  }

  // Places

  #admit (place: Place, nowMs: number): void {
    const { ask } = place
    const verdict = this.#planner.add({
      key: place.key,
      adapter: formatAdapter(ask),
      isBase: ask.adapter === '',
      version: place.version,
      dueAtMs: nowMs + ask.dueInMs,
      uselessAtMs: nowMs + ask.uselessInMs,
      promptTokens: ask.promptTokens,
      parts: ask.parts.map(([id, tokens]) => ({ id, tokens })),
      mayDecline: ask.mayDecline,
      isElsewhere: this.#directory.find(formatAdapter(ask), nowMs) !== undefined
    }, nowMs)
    this.#receiveVerdict(place, verdict)
  }

  #receiveVerdict (place: Place, verdict: DeskVerdict): void {
    if (verdict.kind === 'declined') {
      this.#refuse(place, 'crowded', verdict.reason, 0, verdict.expectedMs)
    } else if (verdict.kind === 'refused') {
      this.#options.log.record('place.refused', 'Refused a place.', { requestId: place.ask.requestId, endpointId: this.endpointId, reason: verdict.reason, ...this.#describeLoad() })
      this.#refuse(place, 'out_of_reach', verdict.reason, verdict.retryAfterMs)
    } else {
      this.#plan()
      if (place.lastAnswer === undefined && verdict.kind === 'queued') this.#answer(place, { type: 'queued', id: place.ask.id, expectedMs: verdict.expectedMs })
    }
  }

  #describeLoad (): Record<string, number> {
    return describeLoad(this.#planner, this.#options.clock.readMonotonic())
  }

  #answer (place: Place, answer: PlaceAnswer): void {
    place.lastAnswer = answer
    place.answer(answer)
  }

  #refuse (place: Place, code: string, message: string, retryAfterMs: number, expectedMs = -1): void {
    const nowMs = this.#options.clock.readMonotonic()
    const elsewhere = this.#directory.find(formatAdapter(place.ask), nowMs)
    this.#answer(place, { type: 'refusal', id: place.ask.id, code, message, retryAfterMs, expectedMs, load: this.#planner.readLoad(nowMs), ...(elsewhere !== undefined && { elsewhere }) })
    this.#places.delete(place.key)
  }

  /** Frees places whose holders were lost. */
  #sweepPlaces (): void {
    const nowMs = this.#options.clock.readMonotonic()
    let isChanged = false
    for (const [key, place] of this.#places) {
      if (nowMs - place.receivedAtMs < place.ask.leavesInMs + lostPlaceMs) continue
      this.#places.delete(key)
      this.#planner.remove(key)
      isChanged = true
      this.#options.log.record('place.lost', 'Freed a place whose holder was not heard of any more.', { requestId: place.ask.requestId, endpointId: this.endpointId })
    }
    if (isChanged) this.#plan()
  }

  /** One line now and then, so that what the engine could take at a moment can be told afterwards. */
  #reportLoad (): void {
    const nowMs = this.#options.clock.readMonotonic()
    if (nowMs - this.#reportedAtMs < reportIntervalMs) return
    this.#reportedAtMs = nowMs
    this.#options.log.record('engine.load', 'The load of an engine.', { endpointId: this.endpointId, isReady: this.#watch.isReady, isOpen: this.#line.isOpen, ...this.#describeLoad() })
  }

  // Plans

  #plan (): void {
    if (this.#isPlanning || this.#isStopped || !(this.#watch.isReady || (this.#hasEarlyState && this.#watch.isStarting))) return
    this.#isPlanning = true
    this.#wake?.cancel()
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    const plan = this.#planner.plan(nowMs, this.#line.isOpen)
    this.#carryOut(plan, nowMs)
    if (plan.wakeAtMs !== undefined) this.#wake = clock.setTimer(() => this.#plan(), Math.max(1, plan.wakeAtMs - nowMs))
    this.#isPlanning = false
  }

  #carryOut (plan: DeskPlan, nowMs: number): void {
    for (const { key, retryAfterMs, reason } of plan.refused) {
      const place = this.#places.get(key)
      if (!place) continue
      this.#options.log.record('place.overdue', 'Gave a request up that waited for its adapter.', { requestId: place.ask.requestId, endpointId: this.endpointId, adapter: place.ask.adapter, ...this.#describeLoad() })
      this.#refuse(place, 'overdue', reason, retryAfterMs)
    }
    const load = this.#planner.readLoad(nowMs)
    for (const key of plan.granted) this.#grant(key, load, nowMs)
    for (const adapter of plan.unloads) this.#carryOutUnload(adapter)
    for (const { adapter, version } of plan.loads) this.#carryOutLoad(adapter, version)
  }

  #grant (key: string, load: ReturnType<DeskPlanner['readLoad']>, nowMs: number): void {
    const place = this.#places.get(key)
    if (!place) return
    place.isGranted = true
    // Only versions that operators declared are asked for by number.
    const version = place.version === firstVersion && this.#options.findVersion(place.ask.model, place.ask.adapter) === 0 ? 0 : place.version
    this.#answer(place, { type: 'grant', id: place.ask.id, load, waitedMs: nowMs - place.receivedAtMs, version })
  }

  // Orders

  async #carryOutLoad (name: string, version: number): Promise<void> {
    const { model, adapter } = parseAdapter(name)
    this.#receiveLoad(name, version, await this.#loads.load({ kind: 'load', model, adapter, version }))
  }

  #receiveLoad (name: string, version: number, outcome: LoadOutcome): void {
    if (this.#isStopped) return
    const nowMs = this.#options.clock.readMonotonic()
    if (outcome === 'loaded') this.#planner.recordLoaded(name, version, nowMs)
    else if (outcome === 'refused') this.#planner.recordLoadFailed(name, nowMs)
    else if (outcome === 'unknown') this.#line.close(`nobody knows whether adapter "${name}" was loaded`)
    this.#plan()
  }

  async #carryOutUnload (name: string): Promise<void> {
    const { clock } = this.#options
    const { model, adapter } = parseAdapter(name)
    const outcome = await this.#line.submit({ kind: 'unload', model, adapter, version: undefined })
    if (this.#isStopped) return
    if (outcome.verdict === 'holds') this.#planner.recordUnloaded(name)
    else this.#planner.recordUnloadFailed(name, clock.readMonotonic())
    this.#plan()
  }

  // State

  #receiveEarlyState (state: EngineState): void {
    const nowMs = this.#options.clock.readMonotonic()
    this.#hasEarlyState = true
    for (const { name, version } of listHeld(state)) this.#planner.recordLoaded(name, version, nowMs)
    this.#plan()
  }

  /** Takes over what the engine says that it holds. */
  #takeOver (state: EngineState, isRestarted: boolean): void {
    const nowMs = this.#options.clock.readMonotonic()
    if (isRestarted) {
      this.#planner.recordRestarted()
      this.#loads.forgetLoads()
    }
    const held = listHeld(state)
    for (const { name, version } of held) {
      this.#loads.settle(name, version)
      if (this.#planner.places.find(name)?.state !== 'unloading') this.#planner.recordLoaded(name, version, nowMs)
    }
    this.#planner.places.estimateUses(held.map(({ name }) => name), nowMs)
    this.#foreignRuns.receiveState(state)
    const coming = listComing(state)
    // What is neither listed nor on its way is gone.
    for (const { name, version, state: adapterState } of this.#planner.places.list()) {
      const isAwaited = adapterState === 'unloading' || this.#loads.isLoading(name, version)
      if (!isAwaited && ![...held, ...coming].some(other => other.name === name)) this.#planner.recordUnloaded(name)
    }
    for (const { name, version } of coming) {
      if (this.#loads.isLoading(name, version)) continue
      // Ordered by a former owner, or by this host without an answer.
      this.#planner.recordLoading(name, version, nowMs)
      this.#loads.resume({ kind: 'load', ...parseAdapter(name), version }).then(outcome => this.#receiveLoad(name, version, outcome))
    }
    this.#plan()
  }
}
