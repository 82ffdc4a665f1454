/** Computes when the parts of a response are due. */
import type { CallerTimeouts } from '../../core/callerTimeouts.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { Route } from '../../schemas/routing.js'

/**
 * Computes when the response is due and when its caller gives up, in monotonic milliseconds; for a resumed stream, relative to the
 * last chunk that its caller received.
 *
 * @example
 * computeDueTimes({ request, route, dueAtMs: 600, lastChunkAtMs: undefined }) // { dueAtMs: 600, abandonAtMs: 2400 }
 */
export function computeDueTimes ({ request, route, dueAtMs, lastChunkAtMs }: {
  request: Pick<CallerRequest, 'receivedAtMs'>, route: Pick<Route, 'maxGapMs' | 'patienceMs' | 'targetMs'>, dueAtMs: number, lastChunkAtMs: number | undefined
}): { dueAtMs: number, abandonAtMs: number } {
  return lastChunkAtMs === undefined
    ? { dueAtMs, abandonAtMs: request.receivedAtMs + route.patienceMs }
    : { dueAtMs: lastChunkAtMs + (route.maxGapMs ?? route.targetMs), abandonAtMs: lastChunkAtMs + route.patienceMs }
}

/**
 * Estimates how long the caller has been trying, in milliseconds; a caller that retries has been waiting since its first attempt.
 *
 * @example
 * computeSpentMs(callerTimeouts, route, { timeLeftMs: 4500 }) // 1500, where callers begin with 6000
 */
export function computeSpentMs (callerTimeouts: CallerTimeouts, route: Route, { timeLeftMs }: Pick<CallerRequest, 'timeLeftMs'>): number {
  if (timeLeftMs === undefined) return 0
  callerTimeouts.recordTimeLeft(route.name, timeLeftMs)
  return callerTimeouts.estimateElapsedMs(route.name, timeLeftMs)
}
