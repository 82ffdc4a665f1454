/** Gives out the places of one engine: queues asks, has adapters loaded and unloaded, and grants places. */
import type { EndpointPlan, EndpointPlanner, PlannedLoad, PlannedUnload } from '../../core/planner.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrders, EngineState } from '../../ports/orders.js'
import type { PlaceAnswer, PlaceAsk, PlaceDone } from '../../schemas/datagram.js'
import type { EndpointEntry, EngineShape } from '../../schemas/routing.js'
import { createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { LoadWatch } from './loadWatch.js'
import { OrderLine } from './orderLine.js'

export type AnswerAsk = (answer: PlaceAnswer) => void

export interface EndpointDeskOptions {
  clock: Clock
  log: EventLog
  host: string
  entry: EndpointEntry
  engine: EngineShape
  orders: EngineOrders
  planner: EndpointPlanner
  findFencing: () => number | undefined
  /** Newest declared version of an adapter; 0 where none was declared. */
  findVersion: (model: string, adapter: string) => number
  /** Time before the first order, while orders of the former owner may still arrive, in milliseconds. */
  settleMs: number
}

interface Place {
  key: string
  ask: PlaceAsk
  answer: AnswerAsk
  version: number
  receivedAtMs: number
  grantedAtMs: number | undefined
  /** The last answer, for an ask that comes again. */
  lastAnswer: PlaceAnswer | undefined
}

/** Reports tell the state as of some hundred milliseconds ago. */
const reportLagMs = 350
/** Time between two tries to read the engine's state. */
const rereadMs = 300
/** A place whose holder was not heard of any more is free this long after its caller has left. */
const lostPlaceMs = 1000
const sweepIntervalMs = 500
/** Version of adapters for which none was declared. */
const firstVersion = 1

export class EndpointDesk {
  #options: EndpointDeskOptions
  #entry: EndpointEntry
  #places = new Map<string, Place>()
  #line: OrderLine
  #loads: LoadWatch
  #isReady = false
  #isReading = false
  #isStopped = false
  #wake: Timer | undefined
  #sweep: Timer | undefined
  #isPlanning = false

  constructor (options: EndpointDeskOptions) {
    this.#options = options
    this.#entry = options.entry
    this.#line = new OrderLine({
      ...options,
      endpointId: options.entry.id,
      receiveMismatch: reason => { this.#readState(reportLagMs, reason) }
    })
    this.#loads = new LoadWatch({ clock: options.clock, line: this.#line })
  }

  get endpointId (): string {
    return this.#entry.id
  }

  get startedAtMs (): number {
    return this.#entry.startedAtMs
  }

  start (): void {
    this.#readState(this.#options.settleMs, 'the host has become the owner')
    const sweep = (): void => {
      this.#sweepPlaces()
      this.#sweep = this.#options.clock.setTimer(sweep, sweepIntervalMs)
    }
    sweep()
  }

  stop (failure: RequestFailure): void {
    this.#isStopped = true
    this.#wake?.cancel()
    this.#sweep?.cancel()
    this.#options.orders.close()
    for (const place of [...this.#places.values()]) if (place.grantedAtMs === undefined) this.#refuse(place, failure)
  }

  /** The endpoint's row has changed. */
  receiveEntry (entry: EndpointEntry): void {
    const isRestarted = entry.startedAtMs !== this.#entry.startedAtMs
    this.#entry = entry
    if (isRestarted) this.#receiveRestart('its entry tells of a new start')
  }

  receiveAsk (key: string, ask: PlaceAsk, answer: AnswerAsk): void {
    const known = this.#places.get(key)
    if (known) {
      if (known.lastAnswer) answer(known.lastAnswer)
      return
    }
    const { clock } = this.#options
    const nowMs = clock.readMonotonic()
    const place: Place = {
      key, ask, answer, receivedAtMs: nowMs, grantedAtMs: undefined, lastAnswer: undefined, version: this.#findVersion(ask)
    }
    this.#places.set(key, place)
    if (!this.#isReady || this.#entry.isLeaving) {
      const reason = this.#entry.isLeaving ? 'is leaving' : 'has not told its state yet'
      this.#refuse(place, createNotRun('endpoint_not_ready', `endpoint "${this.endpointId}" ${reason}`, 503))
      return
    }
    this.#admit(place, nowMs)
  }

  receiveDone (key: string, done: PlaceDone): void {
    const place = this.#places.get(key)
    if (!place) return
    const { planner, clock } = this.#options
    const nowMs = clock.readMonotonic()
    this.#places.delete(key)
    if (done.firstPartMs >= 0) planner.recordFirstToken(key, 0, nowMs)
    if (done.outcome === 'served') planner.recordFinished(key, 0, nowMs)
    else planner.removeRequest(key, 0, nowMs)
    if (done.outcome === 'missing') this.#readState(reportLagMs, `adapter "${place.ask.adapter}" was expected there and is missing`)
    this.#plan()
  }

  /** A newer version of an adapter was declared: what waits for the old one waits for the new one. */
  receiveVersion (model: string, adapter: string): void {
    const { planner, clock } = this.#options
    const nowMs = clock.readMonotonic()
    for (const place of [...this.#places.values()]) {
      if (place.ask.model !== model || place.ask.adapter !== adapter || place.grantedAtMs !== undefined) continue
      planner.removeRequest(place.key, 0, nowMs)
      place.version = this.#findVersion(place.ask)
      this.#admit(place, nowMs)
    }
  }

  describeState (): unknown {
    const { planner, clock } = this.#options
    const granted = [...this.#places.values()].filter(place => place.grantedAtMs !== undefined).length
    return { ...planner.readExpectation(clock.readMonotonic()), endpointId: this.endpointId, isReady: this.#isReady, granted, queued: this.#places.size - granted }
  }

  #findVersion (ask: PlaceAsk): number {
    return Math.max(ask.version, this.#options.findVersion(ask.model, ask.adapter))
  }

  // Places

  #admit (place: Place, nowMs: number): void {
    const { ask, version } = place
    const { planner, log } = this.#options
    const admission = planner.addRequest({
      requestId: place.key,
      attempt: 0,
      adapter: formatModelAdapter(ask.model, ask.adapter),
      version: String(ask.adapter === '' ? 0 : version || firstVersion),
      className: ask.route,
      target: { kind: 'firstTokenWithin', ms: Math.max(1, ask.dueInMs) },
      callerName: '',
      fingerprint: ask.fingerprint,
      promptTokens: ask.promptTokens,
      maxTokens: Math.max(1, ask.maxTokens),
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + ask.dueInMs
    }, nowMs)
    if (!admission.isAdmitted) {
      log.record('place.refused', 'Refused a place.', { requestId: ask.requestId, endpointId: this.endpointId, reason: admission.failure.message })
      this.#refuse(place, admission.failure)
      return
    }
    this.#plan()
    if (place.lastAnswer === undefined) {
      const { expectedLoadMs, expectedWaitMs } = planner.readExpectation(nowMs)
      this.#answer(place, { type: 'queued', id: ask.id, expectedMs: Math.max(expectedLoadMs, expectedWaitMs) })
    }
  }

  #answer (place: Place, answer: PlaceAnswer): void {
    place.lastAnswer = answer
    place.answer(answer)
  }

  #refuse (place: Place, failure: RequestFailure): void {
    this.#answer(place, {
      type: 'refusal', id: place.ask.id, code: failure.code, message: failure.message, retryAfterMs: failure.retryAfterMs ?? 0, load: this.#readLoad()
    })
    this.#places.delete(place.key)
  }

  #readLoad (): number {
    let granted = 0
    for (const place of this.#places.values()) if (place.grantedAtMs !== undefined) granted++
    return granted / this.#options.engine.batchLimit
  }

  /** Frees places whose holders were lost. */
  #sweepPlaces (): void {
    const nowMs = this.#options.clock.readMonotonic()
    let isChanged = false
    for (const [key, place] of this.#places) {
      if (nowMs - place.receivedAtMs < place.ask.leavesInMs + lostPlaceMs) continue
      this.#places.delete(key)
      this.#options.planner.removeRequest(key, 0, nowMs)
      isChanged = true
      this.#options.log.record('place.lost', 'Freed a place whose holder was not heard of any more.', { requestId: place.ask.requestId, endpointId: this.endpointId })
    }
    if (isChanged) this.#plan()
  }

  // Plans

  #plan (): void {
    if (this.#isPlanning || this.#isStopped || !this.#isReady) return
    this.#isPlanning = true
    this.#wake?.cancel()
    const { planner, clock } = this.#options
    const nowMs = clock.readMonotonic()
    const plan = planner.plan(nowMs)
    this.#carryOut(plan, nowMs)
    if (plan.wakeAtMs !== undefined) this.#wake = clock.setTimer(() => this.#plan(), plan.wakeAtMs - nowMs)
    this.#isPlanning = false
  }

  #carryOut (plan: EndpointPlan, nowMs: number): void {
    for (const { requestId, failure } of plan.failures) {
      const place = this.#places.get(requestId)
      if (place) this.#refuse(place, failure)
    }
    for (const { requestId } of plan.dispatches) this.#grant(requestId, nowMs)
    for (const unload of plan.unloads) this.#carryOutUnload(unload)
    for (const load of plan.loads) this.#carryOutLoad(load)
  }

  #grant (key: string, nowMs: number): void {
    const place = this.#places.get(key)
    if (!place) return
    place.grantedAtMs = nowMs
    this.#answer(place, {
      type: 'grant', id: place.ask.id, load: this.#readLoad(), waitedMs: nowMs - place.receivedAtMs, version: place.version
    })
  }

  // Orders

  async #carryOutLoad (load: PlannedLoad): Promise<void> {
    const { planner, clock } = this.#options
    if (!planner.mayStartLoad(load.adapter, load.version)) {
      planner.recordLoadFailed(load.adapter, load.version, clock.readMonotonic())
      this.#plan()
      return
    }
    planner.recordLoadStarted(load.adapter, load.version, clock.readMonotonic())
    const { model, adapter } = parseModelAdapter(load.adapter)
    const isLoaded = await this.#loads.load({ kind: 'load', model, adapter, version: Number(load.version) })
    if (this.#isStopped) return
    const nowMs = clock.readMonotonic()
    if (isLoaded) planner.recordLoaded(load.adapter, load.version, formatHandle(load.adapter, load.version), nowMs)
    else planner.recordLoadFailed(load.adapter, load.version, nowMs)
    this.#plan()
  }

  async #carryOutUnload ({ handle }: PlannedUnload): Promise<void> {
    const { planner, clock } = this.#options
    const { model, adapter } = parseModelAdapter(handle.slice(0, handle.lastIndexOf('@')))
    const outcome = await this.#line.submit({ kind: 'unload', model, adapter, version: undefined })
    if (this.#isStopped) return
    if (outcome.verdict === 'accepted') await new Promise<void>(resolve => { clock.setTimer(resolve, rereadMs) })
    const isDone = outcome.verdict === 'holds' || outcome.verdict === 'accepted'
    if (isDone) planner.recordUnloaded(handle, clock.readMonotonic())
    else planner.recordUnloadFailed(handle, clock.readMonotonic())
    this.#plan()
  }

  // State

  /** Reads the engine's state after a delay, until it answers, and takes it over. */
  async #readState (delayMs: number, reason: string): Promise<void> {
    if (this.#isReading) return
    this.#isReading = true
    const { clock, orders, log } = this.#options
    await new Promise<void>(resolve => { clock.setTimer(resolve, delayMs) })
    while (!this.#isStopped) {
      try {
        const state = await orders.readState()
        log.record('engine.state', 'Read the state of an engine.', { endpointId: this.endpointId, reason, orderCount: state.orderCount, running: state.running })
        this.#isReading = false
        await this.#takeOver(state)
        return
      } catch (error) {
        log.record('engine.unreachable', 'An engine did not tell its state; it is asked again.', { endpointId: this.endpointId, error: (error as Error).message })
        await new Promise<void>(resolve => { clock.setTimer(resolve, rereadMs) })
      }
    }
  }

  async #takeOver (state: EngineState): Promise<void> {
    const { planner, clock, engine } = this.#options
    this.#line.recordState(state)
    const nowMs = clock.readMonotonic()
    const missing = engine.models.filter(shape => !state.models.some(model => model.name === shape.name))
    if (missing.length === engine.models.length) {
      await this.#loadModel(missing[0]!.name, missing[0]!.loadMs)
      return
    }
    const listed = new Set<string>()
    for (const model of state.models) {
      planner.recordFixed(formatModelAdapter(model.name, ''), '0', formatHandle(model.name, '0'), nowMs)
      for (const { name, version } of model.adapters) {
        const adapter = formatModelAdapter(model.name, name)
        listed.add(formatHandle(adapter, String(version)))
        planner.recordLoaded(adapter, String(version), formatHandle(adapter, String(version)), nowMs)
      }
    }
    // What is neither listed nor being loaded by this desk is gone.
    for (const handle of planner.readExpectation(nowMs).loaded) {
      if (handle.includes('/') && !handle.includes('/@') && !listed.has(handle)) planner.recordUnloaded(handle, nowMs)
    }
    const foreign = state.loading.filter(({ name, version }) => !this.#loads.isLoading(name, version))
    planner.recordBlockedSlots(foreign.length, nowMs)
    if (foreign.length > 0) this.#readState(reportLagMs, 'a former owner\'s loads are under way')
    this.#isReady = true
    this.#plan()
  }

  /** An engine that holds no model is given the first one of its service. */
  async #loadModel (model: string, loadMs: number): Promise<void> {
    const outcome = await this.#line.submit({ kind: 'load', model, adapter: undefined, version: undefined })
    await this.#readState(outcome.verdict === 'accepted' ? loadMs + reportLagMs : rereadMs, `the engine holds no model; its load was ${outcome.verdict}`)
  }

  #receiveRestart (reason: string): void {
    const { planner, clock } = this.#options
    planner.recordRestarted(clock.readMonotonic())
    this.#isReady = false
    this.#line.recordState(undefined)
    this.#readState(0, reason)
  }
}

/** An adapter's name among all models of an engine; the model itself has an empty adapter. */
function formatModelAdapter (model: string, adapter: string): string {
  return `${model}/${adapter}`
}

function parseModelAdapter (name: string): { model: string, adapter: string } {
  const slash = name.indexOf('/')
  return { model: name.slice(0, slash), adapter: name.slice(slash + 1) }
}

function formatHandle (adapter: string, version: string): string {
  return `${adapter}@${version}`
}
