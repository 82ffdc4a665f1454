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

/** Requests that come late wait for a limited endpoint for this long, or until its next token if that takes longer. */
const minLateWaitMs = 250

/** A request's turn at an endpoint that takes so many requests a second. */
export interface LimitTurn {
  /** Whether it was late already as it came. */
  isLate: boolean
  /** Time by which it has to be granted. */
  deadlineMs: number
  /** Whether its account is over its share. */
  isOverShare?: boolean
}

/** An adapter that requests wait for: the most urgent of these requests and their number. */
export interface PendingLoad {
  request: AllocationRequest
  count: number
  /** Whether a load that starts now completes too late for an answer by the due time. */
  isLate: boolean
  /** Whether all accounts of these requests are over their shares. */
  isOverShare: boolean
}

/** Time by which the load of a request's adapter has to start; after that the request is refused. */
export function computeSlotDeadlineMs ({ dueAtMs, abandonAtMs, isResumed }: AllocationRequest, nowMs: number): number {
  if (isResumed) return abandonAtMs
  return Math.max(dueAtMs, nowMs) + Math.max(minSlotGraceMs, slotGraceRatio * (dueAtMs - nowMs))
}

/**
 * Orders loads for resumed streams first, then those of accounts within their shares, then those that can still lead to an answer on time before the others, then by due time. A
 * load for several requests is ordered before one for a single request that is due slightly earlier.
 */
export function comparePendingLoads (left: PendingLoad, right: PendingLoad): number {
  return Number(right.request.isResumed) - Number(left.request.isResumed) || Number(left.isOverShare) - Number(right.isOverShare) || Number(left.isLate) - Number(right.isLate) || (left.request.dueAtMs - left.count * perRequestBonusMs) - (right.request.dueAtMs - right.count * perRequestBonusMs)
}

/** Orders requests by due time, with those that are past it after all others, and resumed streams before them. */
export function compareByDueTime (left: AllocationRequest, right: AllocationRequest, nowMs: number): number {
  const lateLeft = left.dueAtMs < nowMs ? 1 : 0
  const lateRight = right.dueAtMs < nowMs ? 1 : 0
  return Number(right.isResumed) - Number(left.isResumed) || lateLeft - lateRight || left.dueAtMs - right.dueAtMs
}

/**
 * Computes the turn of a request that comes now: it is answered on time or, where it is late already, taken soon.
 * `intervalMs`: time between two requests at the endpoint.
 *
 * @example
 * computeLimitTurn({ dueAtMs: 1500, abandonAtMs: 4000 }, 20, 250, 1000) // { isLate: false, deadlineMs: 1480 }
 */
export function computeLimitTurn ({ dueAtMs, abandonAtMs }: Pick<AllocationRequest, 'dueAtMs' | 'abandonAtMs'>, prefillMs: number, intervalMs: number, nowMs: number): LimitTurn {
  const isLate = dueAtMs < nowMs
  const latestMs = isLate ? nowMs + Math.max(minLateWaitMs, intervalMs) : Math.max(nowMs, dueAtMs - prefillMs)
  return { isLate, deadlineMs: Math.min(abandonAtMs - prefillMs, latestMs) }
}

/** Orders requests of accounts within their shares first, then those that came on time, as a late answer is worth less, then by deadline. */
export function compareLimitTurns (left: LimitTurn, right: LimitTurn): number {
  return Number(left.isOverShare ?? false) - Number(right.isOverShare ?? false) || Number(left.isLate) - Number(right.isLate) || left.deadlineMs - right.deadlineMs
}
