/** Simulates one planner on a virtual clock, with requests and loads of fixed duration. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { formatHandle } from '../../src/core/handleFormat.js'
import type { EndpointPlanner, EndpointCapacity, PlannedDispatch, PlannedLoad, QueuedRequest } from '../../src/core/planner.js'
import type { SlackPlannerOptions } from '../../src/core/plannerOptions.js'
import { createSlackPlannerFactory } from '../../src/core/slackPlanner.js'
import type { Wait } from '../../src/schemas/decision.js'
import type { RequestFailure } from '../../src/schemas/verdict.js'

export interface TrialOptions {
  capacity: Omit<EndpointCapacity, 'endpointId'>
  runMs: number
  loadMs: number
  /** How long a load waits for its permit, in milliseconds; 0 means no wait. */
  permitMs: number
  /** Adapters whose loads fail. */
  failingAdapters: string[]
  planner: Partial<SlackPlannerOptions>
}

export type TrialRequest = Pick<QueuedRequest, 'requestId' | 'adapter' | 'target' | 'callerName'>

export class PlannerTrial {
  readonly clock = new VirtualClock()
  readonly startedAtMs = new Map<string, number>()
  readonly failures = new Map<string, RequestFailure>()
  readonly waits = new Map<string, Wait[]>()
  readonly loads: string[] = []
  #options: TrialOptions
  #planner: EndpointPlanner

  constructor (options: TrialOptions) {
    this.#options = options
    this.#planner = createSlackPlannerFactory(options.planner)({ endpointId: 'engine-1', ...options.capacity })
  }

  /** Adds a request at a time of the virtual clock. Its target must be relative (`ms`); for others the due time is the arrival. */
  addAt (atMs: number, request: TrialRequest): void {
    this.clock.setTimer(() => this.#add(request, atMs), atMs)
  }

  #add (request: TrialRequest, nowMs: number): void {
    const targetMs = 'ms' in request.target ? request.target.ms : 0
    const admission = this.#planner.addRequest({
      ...request,
      attempt: 1,
      version: '1',
      className: request.target.kind,
      fingerprint: '',
      promptTokens: 1,
      maxTokens: 10,
      arrivedAtMs: nowMs,
      dueAtMs: nowMs + targetMs
    }, nowMs)
    if (!admission.isAdmitted) this.failures.set(request.requestId, admission.failure)
    this.#plan()
  }

  #plan (): void {
    const nowMs = this.clock.readMonotonic()
    const plan = this.#planner.plan(nowMs)
    for (const { requestId, failure } of plan.failures) this.failures.set(requestId, failure)
    for (const dispatch of plan.dispatches) this.#runRequest(dispatch, nowMs)
    for (const load of plan.loads) this.#requestPermit(load)
    for (const { handle } of plan.unloads) this.#planner.recordUnloaded(handle, nowMs)
    if (plan.unloads.length > 0) this.#plan()
    else if (plan.wakeAtMs !== undefined) this.clock.setTimer(() => this.#plan(), plan.wakeAtMs - nowMs)
  }

  #runRequest ({ requestId, decision }: PlannedDispatch, nowMs: number): void {
    this.startedAtMs.set(requestId, nowMs)
    this.waits.set(requestId, decision.waits)
    this.clock.setTimer(() => {
      this.#planner.recordFinished(requestId, 1, this.clock.readMonotonic())
      this.#plan()
    }, this.#options.runMs)
  }

  #requestPermit (load: PlannedLoad): void {
    const { permitMs } = this.#options
    if (permitMs === 0) this.#startLoad(load)
    else this.clock.setTimer(() => this.#startLoad(load), permitMs)
  }

  #startLoad ({ adapter, version }: PlannedLoad): void {
    const { loadMs, failingAdapters } = this.#options
    if (!this.#planner.confirmLoad(adapter, version)) {
      this.#planner.recordLoadFailed(adapter, version, this.clock.readMonotonic())
      this.#plan()
      return
    }
    const handle = formatHandle(adapter, version, 1, this.loads.push(adapter))
    this.#planner.recordLoadStarted(adapter, version, this.clock.readMonotonic())
    this.clock.setTimer(() => {
      const nowMs = this.clock.readMonotonic()
      if (failingAdapters.includes(adapter)) this.#planner.recordLoadFailed(adapter, version, nowMs)
      else this.#planner.recordLoaded(adapter, version, handle, nowMs)
      this.#plan()
    }, loadMs)
  }
}
