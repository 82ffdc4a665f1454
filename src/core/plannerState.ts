/** The state of an endpoint's planner, which its dispatch and load planners read and change. */
import { AdapterDemand } from './adapterDemand.js'
import { AdapterSlots } from './adapterSlots.js'
import type { ResidentAdapter } from './adapterSlots.js'
import { createDecisionDraft } from './decisionDraft.js'
import { LoadBackOff } from './loadBackOff.js'
import { AdapterLoadNeeds } from './adapterLoadNeeds.js'
import { AdapterLoadTimes } from './adapterLoadTimes.js'
import type { EndpointCapacity, QueuedRequest } from './planner.js'
import type { SlackPlannerOptions } from './plannerOptions.js'
import { DeferrableCapacity } from './deferrableCapacity.js'
import { RunTimes } from './runTimes.js'
import { WaitingRequests } from './waitingRequests.js'

export interface RunningRequest {
  request: QueuedRequest
  resident: ResidentAdapter
  isUrgent: boolean
  dispatchedAtMs: number
}

export class PlannerState {
  readonly slots: AdapterSlots
  readonly waiting: WaitingRequests
  readonly loadNeeds: AdapterLoadNeeds
  readonly loadBackOff: LoadBackOff
  readonly demand = new AdapterDemand()
  readonly runTimes = new RunTimes()
  readonly loadTimes = new AdapterLoadTimes()
  readonly deferrableCapacity = new DeferrableCapacity()
  /** Running requests, keyed by request and attempt. */
  readonly running = new Map<string, RunningRequest>()

  constructor (readonly capacity: EndpointCapacity, readonly options: SlackPlannerOptions) {
    this.slots = new AdapterSlots(capacity.slots)
    this.waiting = new WaitingRequests(options.computeFairDelayMs)
    this.loadBackOff = new LoadBackOff(options.computeBackOffMs)
    this.loadNeeds = new AdapterLoadNeeds({
      deferrableLoadThreshold: options.deferrableLoadThreshold,
      computeBatchingDelayMs: options.computeBatchingDelayMs,
      getCriticalWindowMs: () => this.criticalWindowMs,
      isLate: options.isLate,
      findRetryMs: name => this.loadBackOff.getRetryAtMs(name)
    })
  }

  /** How long before its latest start a deferrable request becomes urgent, in milliseconds. */
  get criticalWindowMs (): number {
    return this.options.computeCriticalWindowMs(this.runTimes.runMs, this.runTimes.loadMs)
  }

  createDecisionDraft (kind: Parameters<typeof createDecisionDraft>[0], request: QueuedRequest, reason: string): ReturnType<typeof createDecisionDraft> {
    return createDecisionDraft(kind, request, this.capacity.endpointId, reason)
  }
}
