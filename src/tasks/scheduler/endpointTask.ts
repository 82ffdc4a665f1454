/** Serves one endpoint as its owner: executes the planner's plans and relays the engine's output to gateways. */
import { formatAdapterVersion } from '../../core/handleFormat.js'
import type { EndpointPlan, EndpointPlanner, PlannedDispatch, PlannedFailure } from '../../core/planner.js'
import type { ShutdownRules } from '../../core/shutdownRules.js'
import type { SuspectState } from '../../core/suspectRegistry.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { Engine, EngineReport, GenerateEvent, Generation } from '../../ports/engine.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { EndpointState } from '../../schemas/operatorMessage.js'
import type { Dispatch, EndpointSummary, PeerMessage } from '../../schemas/peerMessage.js'
import { createMayHaveRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import {
  createBlockedFailure, createEndpointLeavingFailure, createNotOwnerFailure, createNoSlotFailure, createNotReadyFailure, createSchedulerLeavingFailure
} from './endpointRefusals.js'
import { SuspectRequestQueue } from './suspectRequestQueue.js'
import type { EndpointCrash } from './suspectRequestQueue.js'
import type { EndpointOwnership } from '../ownership/endpointOwnership.js'
import { createGenerationRequest } from './createGenerationRequest.js'
import { describeAttempts, createDispatchedMessage, createResumeDecision, formatAttemptKey } from './describeEndpoint.js'
import { EndpointSlots } from './endpointSlots.js'
import type { RequestPermit } from './endpointSlots.js'
import { EngineReportMonitor } from './engineReportMonitor.js'
import type { EngineReportMonitorEvent } from './engineReportMonitor.js'
import { getDefaultResumeDelayMs, startResumableGeneration } from './resumableGeneration.js'

/** A request that is past its due time by this long, and whose adapter is neither loaded nor loading, fails as not run. */
const overdueToleranceMs = 5000
/** Reported as the expected load time if no adapter slot can be freed. */
const unavailableLoadMs = 600_000

export interface EndpointTaskOptions {
  clock: Clock
  engine: Engine
  entry: EngineEntry
  fencing: number
  /** Handles loaded by former owners that requests may be sent to. */
  adoptableHandles: string[]
  planner: EndpointPlanner
  ownership: Pick<EndpointOwnership, 'isOwner' | 'createHandle' | 'writeUnloadIntent' | 'mayUnload' | 'recordReport' | 'listRemovable'>
  requestPermit: RequestPermit
  recordDecision: RecordDecision
  findSuspectState: (fingerprint: string) => SuspectState
  shutdownRules: ShutdownRules
  /** Called with the requests that were running on the endpoint when its engine crashed. */
  receiveCrash: (crash: EndpointCrash) => void
  /** Called when the summary has changed in a way that gateways must learn of at once. */
  receiveChange: () => void
}

/** Sends a message to the gateway that dispatched the request. */
export type Reply = (message: PeerMessage) => void

interface Attempt {
  dispatch: Dispatch
  reply: Reply
  receivedAtMs: number
  handle: string | undefined
  generation: Generation | undefined
  sequence: number
}

export class EndpointTask {
  #options: EndpointTaskOptions
  #entry: EngineEntry
  #attempts = new Map<string, Attempt>()
  #isStopping = false
  #planTimer: Timer | undefined
  #isPlanning = false
  #suspectQueue = new SuspectRequestQueue<Attempt>()
  #slots: EndpointSlots
  #reportMonitor: EngineReportMonitor

  constructor (options: EndpointTaskOptions) {
    this.#options = options
    this.#entry = options.entry
    this.#slots = new EndpointSlots({
      ...options,
      endpointId: options.entry.id,
      getEntry: () => this.#entry,
      getIncarnation: () => this.#reportMonitor.incarnation,
      isStopping: () => this.#isStopping,
      plan: () => this.#plan()
    })
    this.#reportMonitor = new EngineReportMonitor({
      clock: options.clock,
      engine: options.engine,
      endpointId: options.entry.id,
      findAddress: () => this.#entry.address,
      isQuiet: () => this.#attempts.size === 0 && this.#slots.unavailableSlotCount === 0,
      send: event => this.#receiveEngineWatchEvent(event)
    })
  }

  get endpointId (): string {
    return this.#entry.id
  }

  get fencing (): number {
    return this.#options.fencing
  }

  get runningCount (): number {
    return [...this.#attempts.values()].filter(attempt => attempt.generation).length
  }

  start (): void {
    this.#reportMonitor.start()
  }

  /** Accepts no more requests, fails the queued ones as not run, and resolves when the running ones have ended. */
  async drain (): Promise<void> {
    this.#isStopping = true
    this.#failQueued(createSchedulerLeavingFailure(this.endpointId))
    this.#options.receiveChange()
    while (!this.#options.shutdownRules.canHandOver(this.#attempts.size)) {
      await new Promise<void>(resolve => this.#options.clock.setTimer(resolve, 20))
    }
  }

  /** Stops the task. Call it only when no request is running. */
  stop (): void {
    this.#isStopping = true
    this.#reportMonitor.stop()
    this.#planTimer?.cancel()
  }

  updateEntry (entry: EngineEntry): void {
    this.#entry = entry
    if (entry.presence === 'leaving') this.#failQueued(createEndpointLeavingFailure(entry.id))
    this.#options.receiveChange()
  }

  receiveDispatch (dispatch: Dispatch, reply: Reply): void {
    const receivedAtMs = this.#options.clock.readMonotonic()
    const attempt: Attempt = { dispatch, reply, receivedAtMs, handle: undefined, generation: undefined, sequence: 0 }
    this.#attempts.set(formatAttemptKey(dispatch), attempt)
    const refusal = this.#findRefusal()
    if (refusal) {
      this.#fail(attempt, refusal)
      return
    }
    if (!dispatch.isSuspect || this.#suspectQueue.startOrQueue(attempt)) this.#admit(attempt)
  }

  #admit (attempt: Attempt): void {
    const { dispatch } = attempt
    const nowMs = this.#options.clock.readMonotonic()
    const admission = this.#options.planner.addRequest({
      requestId: dispatch.requestId,
      attempt: dispatch.attempt,
      adapter: dispatch.adapter,
      version: dispatch.version,
      className: dispatch.className,
      target: dispatch.target,
      callerName: dispatch.callerName,
      fingerprint: dispatch.fingerprint,
      promptTokens: dispatch.promptTokens,
      maxTokens: dispatch.maxTokens,
      arrivedAtMs: nowMs - dispatch.ageMs,
      dueAtMs: nowMs + dispatch.dueInMs
    }, nowMs)
    this.#options.recordDecision(admission.decision)
    if (admission.isAdmitted) this.#plan()
    else this.#fail(attempt, admission.failure)
  }

  receiveCancel (requestId: string, attemptNumber: number): void {
    const attempt = this.#attempts.get(formatAttemptKey({ requestId, attempt: attemptNumber }))
    if (!attempt) return
    attempt.generation?.cancel()
    this.#remove(attempt)
  }

  /** Cancels all attempts of a gateway whose link has closed. */
  handleClosedLink (reply: Reply): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.reply === reply) this.receiveCancel(attempt.dispatch.requestId, attempt.dispatch.attempt)
    }
  }

  getSummary (): EndpointSummary {
    const forecast = this.#options.planner.computeForecast(this.#options.clock.readMonotonic())
    return {
      endpointId: this.endpointId,
      zone: this.#entry.zone,
      baseModel: this.#entry.baseModel,
      fencing: this.#options.fencing,
      isReady: this.#findRefusal() === undefined,
      slots: this.#entry.slots,
      batchLimit: this.#entry.batchLimit,
      running: this.runningCount,
      ...forecast,
      ...(!this.#slots.canLoad && { expectedLoadMs: unavailableLoadMs })
    }
  }

  /** Describes the endpoint's state for operators. */
  describeState (): Omit<EndpointState, 'host'> {
    const { queued, ...summary } = this.getSummary()
    const attempts = describeAttempts([...this.#attempts.values()], this.#options.clock.readMonotonic())
    return { ...summary, presence: this.#entry.presence, ...attempts }
  }

  #findRefusal (): RequestFailure | undefined {
    const id = this.endpointId
    if (this.#isStopping) return createSchedulerLeavingFailure(id)
    if (this.#entry.presence === 'leaving') return createEndpointLeavingFailure(id)
    if (!this.#reportMonitor.isReady) return createNotReadyFailure(id)
    if (!this.#options.ownership.isOwner(id)) return createNotOwnerFailure(id)
    if (this.#slots.isBlocked) return createBlockedFailure(id)
    return undefined
  }

  // Planning

  #plan (): void {
    if (this.#isPlanning || this.#isStopping || !this.#reportMonitor.isReady) return
    this.#isPlanning = true
    this.#planTimer?.cancel()
    const nowMs = this.#options.clock.readMonotonic()
    const plan = this.#options.planner.plan(nowMs)
    this.#executePlan(plan)
    if (plan.wakeAtMs !== undefined) this.#planTimer = this.#options.clock.setTimer(() => this.#plan(), plan.wakeAtMs - nowMs)
    this.#isPlanning = false
  }

  #executePlan (plan: EndpointPlan): void {
    for (const failure of plan.failures) this.#executeFailure(failure)
    for (const dispatch of plan.dispatches) this.#executeDispatch(dispatch)
    for (const unload of plan.unloads) this.#slots.executeUnload(unload)
    for (const load of plan.loads) this.#slots.executeLoad(load)
    if (plan.loads.length > 0) this.#options.receiveChange()
  }

  #executeFailure (planned: PlannedFailure): void {
    this.#options.recordDecision(planned.decision)
    const attempt = this.#attempts.get(formatAttemptKey(planned))
    if (attempt) this.#fail(attempt, planned.failure)
  }

  #executeDispatch (planned: PlannedDispatch): void {
    const attempt = this.#attempts.get(formatAttemptKey(planned))
    if (!attempt) return
    const { dispatch } = attempt
    const isOwner = this.#options.ownership.isOwner(this.endpointId)
    const refusal = isOwner ? this.#suspectQueue.checkBeforeDispatch(attempt, dispatch, this.#options.findSuspectState) : this.#findRefusal()
    if (refusal) {
      this.#fail(attempt, refusal)
      return
    }
    this.#options.recordDecision({ ...planned.decision, handle: planned.handle })
    attempt.handle = planned.handle
    attempt.reply(createDispatchedMessage(planned))
    attempt.generation = startResumableGeneration({
      recordResume: from => this.#options.recordDecision(createResumeDecision(planned, from)),
      clock: this.#options.clock,
      engine: this.#options.engine,
      address: this.#entry.address,
      order: createGenerationRequest(dispatch, planned),
      getResumeDelayMs: getDefaultResumeDelayMs,
      send: event => this.#receiveGenerateEvent(attempt, event),
      mayStart: () => this.#options.ownership.isOwner(this.endpointId)
    })
  }

  // Responses

  #receiveGenerateEvent (attempt: Attempt, event: GenerateEvent): void {
    const { requestId, attempt: number } = attempt.dispatch
    if (event.type === 'data') {
      if (attempt.sequence === 0) this.#options.planner.recordFirstToken(requestId, number, this.#options.clock.readMonotonic())
      attempt.reply({ type: 'answerData', requestId, attempt: number, sequence: attempt.sequence++, data: event.data })
    } else if (event.type === 'end') {
      attempt.reply({ type: 'answerEnd', requestId, attempt: number, sequence: attempt.sequence })
      this.#finish(attempt)
    } else if (event.isEndpointLost) {
      this.#receiveConnectionLoss(attempt, event.failure)
    } else {
      this.#fail(attempt, event.failure)
      if (event.failure.code === 'handle_unknown' && attempt.handle) this.#receiveMissingHandle(attempt.handle)
    }
  }

  #receiveMissingHandle (handle: string): void {
    this.#slots.recordMissing(handle)
    this.#plan()
  }

  /**
   * Handles the loss of a connection to the engine. Unless the request certainly did not run, first checks whether the
   * engine crashed: if so, the request's content may become suspect, and gateways must know that before they retry
   * the request on another endpoint.
   */
  async #receiveConnectionLoss (attempt: Attempt, failure: RequestFailure): Promise<void> {
    if (failure.verdict !== 'notRun') await this.#reportMonitor.checkForCrash()
    if (this.#attempts.get(formatAttemptKey(attempt.dispatch)) === attempt) this.#fail(attempt, failure)
  }

  #reportCrash (incarnation: string): void {
    const interrupted = [...this.#attempts.values()].filter(attempt => attempt.generation)
    if (interrupted.length === 0) return
    this.#options.receiveCrash({
      endpointId: this.endpointId,
      incarnation,
      fingerprints: interrupted.map(attempt => attempt.dispatch.fingerprint)
    })
  }

  #finish (attempt: Attempt): void {
    const { requestId, attempt: number } = attempt.dispatch
    this.#attempts.delete(formatAttemptKey(attempt.dispatch))
    this.#options.planner.recordFinished(requestId, number, this.#options.clock.readMonotonic())
    this.#leaveSuspectGate(attempt)
    this.#plan()
  }

  #fail (attempt: Attempt, failure: RequestFailure): void {
    const { requestId, attempt: number } = attempt.dispatch
    attempt.reply({ type: 'answerFailed', requestId, attempt: number, failure })
    this.#remove(attempt)
  }

  #remove (attempt: Attempt): void {
    const { requestId, attempt: number } = attempt.dispatch
    this.#attempts.delete(formatAttemptKey(attempt.dispatch))
    this.#options.planner.removeRequest(requestId, number, this.#options.clock.readMonotonic())
    this.#leaveSuspectGate(attempt)
    this.#plan()
  }

  #leaveSuspectGate (attempt: Attempt): void {
    const nextAttempt = attempt.dispatch.isSuspect ? this.#suspectQueue.remove(attempt) : undefined
    if (nextAttempt) this.#admit(nextAttempt)
  }

  #failQueued (failure: RequestFailure): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (this.#options.shutdownRules.canReturnAttempt(attempt.generation !== undefined)) this.#fail(attempt, failure)
    }
  }

  // Engine reports

  #receiveEngineWatchEvent (event: EngineReportMonitorEvent): void {
    if (event.type === 'report') this.#receiveReport(event.report, event.readAtMs)
    else if (event.type === 'restarted') this.#handleRestart(event.incarnation)
    else if (event.type === 'crashed') this.#reportCrash(event.incarnation)
    else if (event.type === 'silent') this.#failQueued(createNotReadyFailure(this.endpointId))
    else if (event.type === 'lost') this.#failRunning()
    if (event.type !== 'report') this.#options.receiveChange()
  }

  #receiveReport (report: EngineReport, readAtMs: number): void {
    this.#slots.receiveReport(report, readAtMs)
    this.#failUnservable()
    this.#plan()
  }

  /** Fails queued requests that cannot be served here: no adapter slot can be freed, or they are too far past due. */
  #failUnservable (): void {
    const nowMs = this.#options.clock.readMonotonic()
    const loadedOrLoading = this.#slots.listLoadedOrLoading()
    for (const attempt of [...this.#attempts.values()]) {
      const { dispatch, receivedAtMs, generation } = attempt
      const isOverdue = nowMs > receivedAtMs + Math.max(0, dispatch.dueInMs) + overdueToleranceMs
      if (generation || (this.#slots.canLoad && !isOverdue) || loadedOrLoading.has(formatAdapterVersion(dispatch.adapter, dispatch.version))) continue
      this.#fail(attempt, createNoSlotFailure(this.endpointId, dispatch.adapter))
    }
  }

  #handleRestart (incarnation: string): void {
    this.#reportCrash(incarnation)
    this.#slots.recordRestarted()
    this.#failRunning()
  }

  #failRunning (): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (!attempt.generation) continue
      attempt.generation.cancel()
      this.#fail(attempt, createMayHaveRunFailure('endpoint_lost', `endpoint "${this.endpointId}" was lost while the request ran`, 502))
    }
  }
}
