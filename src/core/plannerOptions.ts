/** The options of the slack planner. Each scheduling rule is a function, so that a caller may replace it. */
import { createAdmissionPolicy } from './admissionPolicy.js'
import type { FindRefusal } from './admissionPolicy.js'
import { computeExponentialBackOffMs } from './loadBackOff.js'
import type { ComputeBackOffMs } from './loadBackOff.js'
import type { QueuedRequest } from './planner.js'
import { isDeferrable } from './targetTime.js'
import { computeFairDelayMs } from './waitingRequests.js'
import type { ComputeFairDelayMs } from './waitingRequests.js'

export interface SlackPlannerOptions {
  maxQueued: number
  /** Maximum number of pending loads of an endpoint. */
  maxPendingLoads: number
  /** Adapter slots that loads for deferrable work leave free or idle for urgent loads. */
  spareAdapterSlots: number
  /** Batch slots that deferrable work leaves free for urgent requests. */
  spareBatchSlots: number
  /** Batch slots that must be free before an adapter is loaded for deferrable work. */
  minFreeBatchSlots: number
  /** The cost of evicting an adapter counts the arrivals forecast within this time, in milliseconds. */
  evictionHorizonMs: number
  /** Number of deferrable requests of one adapter that justify a load at once. */
  deferrableLoadThreshold: number
  /** Whether nobody waits for the request's response, so that the request may be delayed and batched. */
  isDeferrable: (request: QueuedRequest) => boolean
  /** Sort key of a waiting request (smaller first), from its latest time to start in milliseconds. */
  computeSortKeyMs: (request: QueuedRequest, latestStartMs: number) => number
  /** How long a deferrable request is delayed to be batched with others of its adapter, from its slack; in milliseconds. */
  computeBatchingDelayMs: (slackMs: number) => number
  /** How long before its latest start deferrable work becomes urgent, from the expected run and load; in milliseconds. */
  computeCriticalWindowMs: (runMs: number, loadMs: number) => number
  /**
   * Highest cost of evicting another adapter for deferrable work, in units of a load's duration, from the fraction of the
   * deferrable work's slack that has elapsed.
   */
  computeMaxEvictionLoss: (elapsedFraction: number) => number
  /** Whether deferrable work can no longer meet its target, so that it runs after work that can. */
  isLate: (latestStartMs: number, nowMs: number) => boolean
  /** How long after its target an urgent request is still started, from the length of its target; in milliseconds. */
  computeGraceMs: (targetMs: number) => number
  computeFairDelayMs: ComputeFairDelayMs
  computeBackOffMs: ComputeBackOffMs
  createAdmission: () => FindRefusal
}

export const defaultSlackPlannerOptions: SlackPlannerOptions = Object.freeze({
  maxQueued: 2000,
  maxPendingLoads: 3,
  spareAdapterSlots: 1,
  spareBatchSlots: 1,
  minFreeBatchSlots: 1,
  evictionHorizonMs: 10_000,
  deferrableLoadThreshold: 8,
  isDeferrable: (request: QueuedRequest) => isDeferrable(request.target),
  computeSortKeyMs: (_request: QueuedRequest, latestStartMs: number) => latestStartMs,
  computeBatchingDelayMs: (slackMs: number) => 0.5 * slackMs,
  computeCriticalWindowMs: (runMs: number, loadMs: number) => 4 * runMs + 4 * loadMs,
  computeMaxEvictionLoss: (elapsedFraction: number) => elapsedFraction,
  isLate: (latestStartMs: number, nowMs: number) => latestStartMs < nowMs,
  computeGraceMs: (targetMs: number) => 0.5 * targetMs,
  computeFairDelayMs,
  computeBackOffMs: computeExponentialBackOffMs,
  createAdmission: createAdmissionPolicy
})
