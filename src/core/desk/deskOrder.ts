/** In which order an engine's requests and loads are served. */
import type { DeskRequest } from './deskRequest.js'

/** A request whose adapter has no slot yet is given up this part of its target's time after it became late, as those in time take the slots that fall free. */
const slotGracePart = 1
const minSlotGraceMs = 400
/** Each further request that waits for an adapter brings its load forward by this much. */
const countBonusMs = 150

/** An adapter that is waited for: its most urgent request and how many there are. */
export interface LoadNeed {
  request: DeskRequest
  count: number
  /** Whether a load that begins now comes too late for an answer in time. */
  isLate: boolean
}

/** Until when an adapter's load must begin for a request to be worth its wait. */
export function findSlotLimit ({ dueAtMs }: DeskRequest, nowMs: number): number {
  return Math.max(dueAtMs, nowMs) + Math.max(minSlotGraceMs, slotGracePart * (dueAtMs - nowMs))
}

/**
 * Loads that can still bring an answer in time go first. Of those, one for several requests goes before one for a single
 * request that is due a little earlier.
 */
export function compareNeeds (left: LoadNeed, right: LoadNeed): number {
  return Number(left.isLate) - Number(right.isLate) || (left.request.dueAtMs - left.count * countBonusMs) - (right.request.dueAtMs - right.count * countBonusMs)
}

/** What can still be on time goes first, by its due time; what is late goes after it. */
export function compareUrgency (left: DeskRequest, right: DeskRequest, nowMs: number): number {
  const lateLeft = left.dueAtMs < nowMs ? 1 : 0
  const lateRight = right.dueAtMs < nowMs ? 1 : 0
  return lateLeft - lateRight || left.dueAtMs - right.dueAtMs
}
