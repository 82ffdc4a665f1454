/** What the planner of an endpoint knows; its parts read and change it. */
import { AdapterDemand } from './adapterDemand.js'
import { AdapterSlots } from './adapterSlots.js'
import type { Resident } from './adapterSlots.js'
import { createDraft } from './decisionDraft.js'
import { LoadBackOff } from './loadBackOff.js'
import { LoadNeeds } from './loadNeeds.js'
import { LoadTimes } from './loadTimes.js'
import type { EndpointShape, QueuedRequest } from './planner.js'
import type { SlackPlannerOptions } from './plannerOptions.js'
import { PlaceUse } from './placeUse.js'
import { RunTimes } from './runTimes.js'
import { WaitingRequests } from './waitingRequests.js'

export interface RunningRequest {
  request: QueuedRequest
  resident: Resident
  isUrgent: boolean
  dispatchedAtMs: number
}

export class PlannerState {
  readonly slots: AdapterSlots
  readonly waiting: WaitingRequests
  readonly needs: LoadNeeds
  readonly backOff: LoadBackOff
  readonly demand = new AdapterDemand()
  readonly times = new RunTimes()
  readonly loadTimes = new LoadTimes()
  readonly places = new PlaceUse()
  /** By request and attempt. */
  readonly running = new Map<string, RunningRequest>()

  constructor (readonly shape: EndpointShape, readonly options: SlackPlannerOptions) {
    this.slots = new AdapterSlots(shape.slots)
    this.waiting = new WaitingRequests(options.computeFairDelayMs)
    this.backOff = new LoadBackOff(options.computeBackOffMs)
    this.needs = new LoadNeeds({
      gatherCount: options.gatherCount,
      computeHoldMs: options.computeHoldMs,
      computeCriticalMs: () => this.criticalMs,
      isLate: options.isLate,
      findRetryMs: name => this.backOff.findRetryMs(name)
    })
  }

  /** How long before its latest start deferrable work becomes urgent. */
  get criticalMs (): number {
    return this.options.computeCriticalMs(this.times.runMs, this.times.loadMs)
  }

  describe (kind: Parameters<typeof createDraft>[0], request: QueuedRequest, reason: string): ReturnType<typeof createDraft> {
    return createDraft(kind, request, this.shape.endpointId, reason)
  }
}
