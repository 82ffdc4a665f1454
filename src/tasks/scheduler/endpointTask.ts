/** Owns one endpoint: carries out the plans made for it and relays what its engine sends. */
import { createLog } from '../../createLog.js'
import { formatAdapter, parseHandle } from '../../core/formatAdapter.js'
import type { EndpointPlan, EndpointPlanner, PlannedDispatch, PlannedFailure, PlannedLoad, PlannedUnload } from '../../core/planner.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { Engine, EngineReport, GenerateEvent, GenerateOrder, Generation } from '../../ports/engine.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { EndpointState } from '../../schemas/operatorMessage.js'
import type { Dispatch, EndpointSummary, PeerMessage } from '../../schemas/peerMessage.js'
import { createMayHaveRun, createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { Ownership } from '../ownership/ownership.js'
import { describeAttempts, describeFailedLoad } from './describeEndpoint.js'
import { EndpointHandles } from './endpointHandles.js'
import { defaultPlanResume, startResumedGeneration } from './resumeGeneration.js'

const log = createLog('scheduler')
const reportIntervalMs = 250
/** An engine that gives no report this often is taken for lost. */
const maxMissedReports = 4
/** After a lost connection, an engine that gives no report for this time is taken for crashed. */
const lossCheckMs = 1000

/** Asks for leave to load from the weight store; resolves to the function that gives it back. */
export type RequestPermit = (endpointId: string, slackMs: number) => Promise<() => void>

export interface EndpointTaskOptions {
  clock: Clock
  engine: Engine
  entry: EngineEntry
  fencing: number
  /** Handles of former owners that requests may be given to. */
  adoptableHandles: string[]
  planner: EndpointPlanner
  ownership: Pick<Ownership, 'isOwner' | 'createHandle' | 'writeUnloadIntent' | 'recordReport' | 'listRemovable'>
  requestPermit: RequestPermit
  recordDecision: RecordDecision
  /** Called with what ran on the endpoint when its engine went away. */
  receiveCrash: (crash: EndpointCrash) => void
  /** Called when the summary has changed in a way that gateways should know at once. */
  receiveChange: () => void
}

export interface EndpointCrash {
  endpointId: string
  incarnation: string
  /** Fingerprints of the requests that ran. */
  fingerprints: string[]
}

/** Sends a message to the gateway that asked. */
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
  #incarnation: string | undefined
  #missedReports = 0
  #isReady = false
  #isStopping = false
  #wake: Timer | undefined
  #isPlanning = false
  #reports: Repetition | undefined
  #heldSuspects: Attempt[] = []
  #lossCheck: Promise<void> | undefined
  #handles: EndpointHandles

  constructor (options: EndpointTaskOptions) {
    this.#options = options
    this.#entry = options.entry
    this.#handles = new EndpointHandles({ ...options, endpointId: options.entry.id })
  }

  get endpointId (): string {
    return this.#entry.id
  }

  get fencing (): number {
    return this.#options.fencing
  }

  get running (): number {
    return [...this.#attempts.values()].filter(attempt => attempt.generation).length
  }

  start (): void {
    this.#reports = repeatTask(this.#options.clock, reportIntervalMs, async () => await this.#readReport(),
      error => this.#receiveMissedReport(error))
  }

  /** Takes no new work, fails what is queued as not run and resolves when what runs has ended. */
  async drain (): Promise<void> {
    this.#isStopping = true
    this.#failQueued(createNotRun('scheduler_leaving', `the owner of endpoint "${this.endpointId}" is leaving`, 503))
    this.#options.receiveChange()
    while (this.#attempts.size > 0) {
      await new Promise<void>(resolve => this.#options.clock.setTimer(resolve, 20))
    }
  }

  /** Ends the task; to be called when nothing runs any more. */
  stop (): void {
    this.#isStopping = true
    this.#reports?.stop()
    this.#wake?.cancel()
  }

  receiveEntry (entry: EngineEntry): void {
    this.#entry = entry
    if (entry.presence === 'leaving') {
      this.#failQueued(createNotRun('endpoint_leaving', `endpoint "${entry.id}" is leaving`, 503))
    }
    this.#options.receiveChange()
  }

  receiveDispatch (dispatch: Dispatch, reply: Reply): void {
    const receivedAtMs = this.#options.clock.readMonotonic()
    const attempt: Attempt = { dispatch, reply, receivedAtMs, handle: undefined, generation: undefined, sequence: 0 }
    this.#attempts.set(formatAttempt(dispatch), attempt)
    const refusal = this.#findRefusal()
    if (refusal) {
      this.#fail(attempt, refusal)
      return
    }
    if (dispatch.isSuspect && this.#hasSuspect(attempt)) this.#heldSuspects.push(attempt)
    else this.#admit(attempt)
  }

  /** Suspects never run beside each other, so that a crash tells which of them caused it. */
  #hasSuspect (except: Attempt): boolean {
    return [...this.#attempts.values()].some(attempt => attempt !== except && attempt.dispatch.isSuspect)
  }

  #admitHeldSuspect (): void {
    const isBusy = [...this.#attempts.values()].some(attempt => attempt.dispatch.isSuspect && !this.#heldSuspects.includes(attempt))
    const next = isBusy ? undefined : this.#heldSuspects.shift()
    if (next) this.#admit(next)
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
    const attempt = this.#attempts.get(formatAttempt({ requestId, attempt: attemptNumber }))
    if (!attempt) return
    attempt.generation?.cancel()
    this.#forget(attempt)
  }

  /** Gives up everything that a gateway has asked for, when its link has closed. */
  receiveClosedLink (reply: Reply): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.reply === reply) this.receiveCancel(attempt.dispatch.requestId, attempt.dispatch.attempt)
    }
  }

  readSummary (): EndpointSummary {
    const expectation = this.#options.planner.readExpectation(this.#options.clock.readMonotonic())
    return {
      endpointId: this.endpointId,
      zone: this.#entry.zone,
      baseModel: this.#entry.baseModel,
      fencing: this.#options.fencing,
      isReady: this.#findRefusal() === undefined,
      slots: this.#entry.slots,
      batchLimit: this.#entry.batchLimit,
      running: this.running,
      ...expectation
    }
  }

  /** Describes the endpoint for operators. */
  describeState (): Omit<EndpointState, 'host'> {
    const { queued, ...summary } = this.readSummary()
    const attempts = describeAttempts([...this.#attempts.values()], this.#options.clock.readMonotonic())
    return { ...summary, presence: this.#entry.presence, ...attempts }
  }

  #findRefusal (): RequestFailure | undefined {
    const id = this.endpointId
    if (this.#isStopping) return createNotRun('scheduler_leaving', `the owner of endpoint "${id}" is leaving`, 503)
    if (this.#entry.presence === 'leaving') return createNotRun('endpoint_leaving', `endpoint "${id}" is leaving`, 503)
    if (!this.#isReady) return createNotRun('endpoint_not_ready', `endpoint "${id}" is not ready`, 503)
    if (!this.#options.ownership.isOwner(id)) return createNotRun('not_owner', `this host does not own endpoint "${id}"`, 503)
    return undefined
  }

  // Planning

  #plan (): void {
    if (this.#isPlanning || this.#isStopping || !this.#isReady) return
    this.#isPlanning = true
    this.#wake?.cancel()
    const nowMs = this.#options.clock.readMonotonic()
    const plan = this.#options.planner.plan(nowMs)
    this.#carryOut(plan)
    if (plan.wakeAtMs !== undefined) this.#wake = this.#options.clock.setTimer(() => this.#plan(), plan.wakeAtMs - nowMs)
    this.#isPlanning = false
  }

  #carryOut (plan: EndpointPlan): void {
    for (const failure of plan.failures) this.#carryOutFailure(failure)
    for (const dispatch of plan.dispatches) this.#carryOutDispatch(dispatch)
    for (const unload of plan.unloads) this.#carryOutUnload(unload)
    for (const load of plan.loads) this.#carryOutLoad(load)
    if (plan.loads.length > 0) this.#options.receiveChange()
  }

  #carryOutFailure (planned: PlannedFailure): void {
    this.#options.recordDecision(planned.decision)
    const attempt = this.#attempts.get(formatAttempt(planned))
    if (attempt) this.#fail(attempt, planned.failure)
  }

  #carryOutDispatch (planned: PlannedDispatch): void {
    const attempt = this.#attempts.get(formatAttempt(planned))
    if (!attempt) return
    const { dispatch } = attempt
    if (!this.#options.ownership.isOwner(this.endpointId)) {
      this.#fail(attempt, this.#findRefusal()!)
      return
    }
    this.#options.recordDecision({ ...planned.decision, handle: planned.handle })
    attempt.handle = planned.handle
    const order: GenerateOrder = {
      requestId: dispatch.requestId,
      attempt: dispatch.attempt,
      handle: planned.handle,
      model: formatAdapter(dispatch.adapter, dispatch.version),
      priority: planned.priority,
      path: dispatch.path,
      body: dispatch.body,
      isStream: dispatch.isStream
    }
    attempt.generation = startResumedGeneration({
      clock: this.#options.clock,
      engine: this.#options.engine,
      address: this.#entry.address,
      order,
      planResume: defaultPlanResume,
      send: event => this.#receiveEvent(attempt, event)
    })
  }

  async #carryOutUnload (planned: PlannedUnload): Promise<void> {
    const { planner, clock, recordDecision } = this.#options
    const outcome = await this.#handles.unload(this.#entry.address, planned.handle, () => recordDecision(planned.decision))
    if (outcome === 'unloaded') planner.recordUnloaded(planned.handle, clock.readMonotonic())
    else if (outcome === 'kept') planner.recordUnloadFailed(planned.handle, clock.readMonotonic())
    this.#options.receiveChange()
    this.#plan()
  }

  async #carryOutLoad (planned: PlannedLoad): Promise<void> {
    const { adapter, version } = planned
    const { ownership, planner, clock, engine, fencing } = this.#options
    const incarnation = this.#incarnation
    const release = await this.#options.requestPermit(this.endpointId, planned.slackMs)
    const handle = ownership.createHandle(this.endpointId, adapter, version)
    if (!handle || this.#isStopping || incarnation !== this.#incarnation) {
      release()
      planner.recordLoadFailed(adapter, version, clock.readMonotonic())
      return
    }
    this.#options.recordDecision({ ...planned.decision, handle })
    planner.recordLoadStarted(adapter, version, clock.readMonotonic())
    const outcome = await engine.loadAdapter(this.#entry.address, { adapter, version, handle, fencing })
    release()
    if (incarnation !== this.#incarnation) return
    if (outcome.verdict === 'done') {
      planner.recordLoaded(adapter, version, handle, clock.readMonotonic())
    } else {
      log('Load of "%s" on "%s" failed: %s.', handle, this.endpointId, outcome.message)
      this.#options.recordDecision(describeFailedLoad(this.endpointId, planned, handle, outcome.message))
      planner.recordLoadFailed(adapter, version, clock.readMonotonic())
    }
    this.#options.receiveChange()
    this.#plan()
  }

  // Answers

  #receiveEvent (attempt: Attempt, event: GenerateEvent): void {
    const { requestId, attempt: number } = attempt.dispatch
    if (event.type === 'data') {
      if (attempt.sequence === 0) this.#options.planner.recordFirstToken(requestId, number, this.#options.clock.readMonotonic())
      attempt.reply({ type: 'answerData', requestId, attempt: number, sequence: attempt.sequence++, data: event.data })
    } else if (event.type === 'end') {
      attempt.reply({ type: 'answerEnd', requestId, attempt: number, sequence: attempt.sequence })
      this.#finish(attempt)
    } else if (event.isEndpointLost) {
      this.#receiveLoss(attempt, event.failure)
    } else {
      this.#fail(attempt, event.failure)
    }
  }

  /**
   * A connection was lost while a request ran. Whether the engine crashed decides whether the request is a suspect,
   * and gateways must know that before they try it elsewhere.
   */
  async #receiveLoss (attempt: Attempt, failure: RequestFailure): Promise<void> {
    if (failure.verdict !== 'notRun') {
      this.#lossCheck ??= this.#checkLoss()
      await this.#lossCheck
    }
    if (this.#attempts.get(formatAttempt(attempt.dispatch)) === attempt) this.#fail(attempt, failure)
  }

  async #checkLoss (): Promise<void> {
    const { clock, engine } = this.#options
    const incarnation = this.#incarnation
    const silence = new Promise<undefined>(resolve => clock.setTimer(() => resolve(undefined), lossCheckMs))
    const report = await Promise.race([engine.readReport(this.#entry.address).catch(() => undefined), silence])
    this.#lossCheck = undefined
    if (incarnation !== this.#incarnation || report?.incarnation === incarnation) return
    this.#reportCrash()
    this.#isReady = false
    this.#options.receiveChange()
  }

  #reportCrash (): void {
    const lost = [...this.#attempts.values()].filter(attempt => attempt.generation)
    this.#options.receiveCrash({
      endpointId: this.endpointId,
      incarnation: this.#incarnation ?? '',
      fingerprints: lost.map(attempt => attempt.dispatch.fingerprint)
    })
  }

  #finish (attempt: Attempt): void {
    const { requestId, attempt: number } = attempt.dispatch
    this.#attempts.delete(formatAttempt(attempt.dispatch))
    this.#options.planner.recordFinished(requestId, number, this.#options.clock.readMonotonic())
    if (attempt.dispatch.isSuspect) this.#admitHeldSuspect()
    this.#plan()
  }

  #fail (attempt: Attempt, failure: RequestFailure): void {
    const { requestId, attempt: number } = attempt.dispatch
    attempt.reply({ type: 'answerFailed', requestId, attempt: number, failure })
    this.#forget(attempt)
  }

  #forget (attempt: Attempt): void {
    const { requestId, attempt: number } = attempt.dispatch
    this.#attempts.delete(formatAttempt(attempt.dispatch))
    this.#options.planner.removeRequest(requestId, number, this.#options.clock.readMonotonic())
    if (attempt.dispatch.isSuspect) {
      this.#heldSuspects = this.#heldSuspects.filter(held => held !== attempt)
      this.#admitHeldSuspect()
    }
    this.#plan()
  }

  #failQueued (failure: RequestFailure): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (!attempt.generation) this.#fail(attempt, failure)
    }
  }

  // Reports

  async #readReport (): Promise<void> {
    const { clock, engine, planner } = this.#options
    const readAtMs = clock.readMonotonic()
    const report = await engine.readReport(this.#entry.address)
    this.#missedReports = 0
    planner.recordBlockedSlots(this.#handles.receiveReport(this.#entry.address, report, readAtMs), clock.readMonotonic())
    if (report.incarnation !== this.#incarnation) this.#receiveIncarnation(report)
    if (!this.#isReady) {
      this.#isReady = true
      this.#options.receiveChange()
    }
    this.#plan()
  }

  #receiveIncarnation (report: EngineReport): void {
    if (this.#incarnation !== undefined) this.#receiveRestart()
    this.#incarnation = report.incarnation
    const nowMs = this.#options.clock.readMonotonic()
    for (const { handle, state } of report.adapters) {
      const parsed = parseHandle(handle)
      if (!parsed || state !== 'loaded' || !this.#handles.isUsable(handle)) continue
      this.#options.planner.recordLoaded(parsed.adapter, parsed.version, handle, nowMs)
    }
  }

  #receiveRestart (): void {
    log('Engine "%s" has restarted empty.', this.endpointId)
    const lost = [...this.#attempts.values()].filter(attempt => attempt.generation)
    if (lost.length > 0) this.#reportCrash()
    this.#options.planner.recordRestarted(this.#options.clock.readMonotonic())
    for (const attempt of lost) {
      attempt.generation?.cancel()
      this.#fail(attempt, createMayHaveRun('endpoint_lost', `endpoint "${this.endpointId}" restarted while the request ran`, 502))
    }
  }

  #receiveMissedReport (error: Error): void {
    this.#missedReports++
    if (!this.#isReady || this.#missedReports < maxMissedReports) return
    log('Engine "%s" gives no report: %s.', this.endpointId, error.message)
    this.#isReady = false
    this.#failQueued(createNotRun('endpoint_not_ready', `endpoint "${this.endpointId}" gives no answer`, 503))
    this.#options.receiveChange()
  }
}

function formatAttempt (names: { requestId: string, attempt: number }): string {
  return `${names.requestId}/${names.attempt}`
}
