/** What varies in the decisions about an endpoint; each mechanism is a function that a caller may replace. */
import { createAdmission } from './admission.js'
import type { FindRefusal } from './admission.js'
import { computeExponentialBackOffMs } from './loadBackOff.js'
import type { ComputeBackOffMs } from './loadBackOff.js'
import type { QueuedRequest } from './planner.js'
import { isDeferrable } from './targetTime.js'
import { computeFairDelayMs } from './waitingRequests.js'
import type { ComputeFairDelayMs } from './waitingRequests.js'

export interface SlackPlannerOptions {
  maxQueued: number
  /** Loads that an endpoint waits for at once. */
  maxPendingLoads: number
  /** Slots that deferrable work leaves idle, so that an urgent load finds one. */
  spareSlots: number
  /** Batch places that deferrable work leaves empty for urgent requests. */
  sparePlaces: number
  /** Batch places that must be empty before an adapter is loaded for deferrable work. */
  gatherRoom: number
  /** Arrivals within this time count as the loss of an adapter that gives up its slot. */
  evictionHorizonMs: number
  /** Deferrable requests of one adapter that are worth a load at once. */
  gatherCount: number
  /** Whether nobody waits for the request, so that it may be gathered into a batch. */
  mayWait: (request: QueuedRequest) => boolean
  /** Order among waiting requests, smaller first, from the latest time to start in milliseconds. */
  computeOrderMs: (request: QueuedRequest, latestStartMs: number) => number
  /** How long a deferrable request is held for others of its adapter, from its slack in milliseconds. */
  computeHoldMs: (slackMs: number) => number
  /** How long before its latest start deferrable work becomes urgent, from the expected run and load in milliseconds. */
  computeCriticalMs: (runMs: number, loadMs: number) => number
  /**
   * Greatest forecast loss, in loads, that an adapter for deferrable work may cause by taking another's slot, from the part
   * of its slack that has gone.
   */
  computeMostLoss: (gonePart: number) => number
  /** Whether deferrable work can no longer meet its target, so that it makes way for work that can. */
  isLate: (latestStartMs: number, nowMs: number) => boolean
  /** How long after its target an urgent request is still worth a start, from the length of its target in milliseconds. */
  computeGraceMs: (targetMs: number) => number
  computeFairDelayMs: ComputeFairDelayMs
  computeBackOffMs: ComputeBackOffMs
  createAdmission: () => FindRefusal
}

export const defaultSlackPlannerOptions: SlackPlannerOptions = Object.freeze({
  maxQueued: 2000,
  maxPendingLoads: 3,
  spareSlots: 1,
  sparePlaces: 1,
  gatherRoom: 1,
  evictionHorizonMs: 10_000,
  gatherCount: 8,
  mayWait: (request: QueuedRequest) => isDeferrable(request.target),
  computeOrderMs: (_request: QueuedRequest, latestStartMs: number) => latestStartMs,
  computeHoldMs: (slackMs: number) => 0.5 * slackMs,
  computeCriticalMs: (runMs: number, loadMs: number) => 4 * runMs + 4 * loadMs,
  computeMostLoss: (gonePart: number) => gonePart,
  isLate: (latestStartMs: number, nowMs: number) => latestStartMs < nowMs,
  computeGraceMs: (targetMs: number) => 0.5 * targetMs,
  computeFairDelayMs,
  computeBackOffMs: computeExponentialBackOffMs,
  createAdmission
})
