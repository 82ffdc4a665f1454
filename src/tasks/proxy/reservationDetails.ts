/** Describes a request to the host that grants it at an endpoint. */
import type { EndpointEntry } from '../../schemas/routing.js'
import type { EndpointQuery } from './endpointSelector.js'
import type { ReservationDetails } from './reservationClient.js'

/**
 * Describes a request. `version`: the adapter version that the endpoint must have; `nowMs`: the monotonic time, as all durations count
 * from now.
 *
 * @example
 * createReservationDetails(query, endpoint, 3, true, clock.readMonotonic()).dueInMs // 480
 */
export function createReservationDetails (query: EndpointQuery, endpoint: EndpointEntry, version: number, mayDecline: boolean, nowMs: number): ReservationDetails {
  const { request, route, dueAtMs, abandonAtMs, deadlineAtMs } = query
  return {
    endpointId: endpoint.id,
    requestId: request.requestId ?? '',
    model: request.model,
    adapter: request.adapter,
    version,
    route: route.name,
    rank: route.rank,
    dueInMs: dueAtMs - nowMs,
    uselessInMs: Math.min(deadlineAtMs, abandonAtMs) - nowMs,
    leavesInMs: deadlineAtMs - nowMs,
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
    parts: request.promptSegments.map(({ id, tokens }) => [id, tokens]),
    mayDecline,
    ...(query.account !== undefined && { account: query.account }),
    ...(query.isResumed && { isResumed: true })
  }
}
