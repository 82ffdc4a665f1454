/** The order in which an engine's requests are granted and its adapters are loaded. */
import type { AllocationRequest } from './allocationRequest.js'

/**
 * A request whose adapter has no slot is refused this fraction of its remaining time after its due time, as slots that become
 * free go to requests that can still be on time.
 */
const slotGraceRatio = 1
const minSlotGraceMs = 400
/** Each request that waits for an adapter moves its load forward by this much. */
const perRequestBonusMs = 150

/** An adapter that requests wait for: the most urgent of these requests and their number. */
export interface PendingLoad {
  request: AllocationRequest
  count: number
  /** Whether a load that starts now completes too late for an answer by the due time. */
  isLate: boolean
}

/** Time by which the load of a request's adapter has to start; after that the request is refused. */
export function computeSlotDeadlineMs ({ dueAtMs }: AllocationRequest, nowMs: number): number {
  return Math.max(dueAtMs, nowMs) + Math.max(minSlotGraceMs, slotGraceRatio * (dueAtMs - nowMs))
}

/**
 * Orders loads that can still lead to an answer on time before the others, then by due time. A load for several requests is
 * ordered before one for a single request that is due slightly earlier.
 */
export function comparePendingLoads (left: PendingLoad, right: PendingLoad): number {
  return Number(left.isLate) - Number(right.isLate) || (left.request.dueAtMs - left.count * perRequestBonusMs) - (right.request.dueAtMs - right.count * perRequestBonusMs)
}

/** Orders requests by due time, with those that are past it after all others. */
export function compareByDueTime (left: AllocationRequest, right: AllocationRequest, nowMs: number): number {
  const lateLeft = left.dueAtMs < nowMs ? 1 : 0
  const lateRight = right.dueAtMs < nowMs ? 1 : 0
  return lateLeft - lateRight || left.dueAtMs - right.dueAtMs
}
