/** An allocator's record of one reservation, from the request for it until it is released. */
import { formatAdapterName } from '../../core/allocation/adapterName.js'
import type { AllocationRequest } from '../../core/allocation/allocationRequest.js'
import type { RunningRequestsReport, ReservationReply, ReservationRequest } from '../../schemas/datagram.js'

/** Number of released reservations that an allocator remembers: more than end within seconds, as long as a datagram may be on its way. */
export const maxEndedKeys = 1024

export type SendReservationReply = (reply: ReservationReply) => void

export interface ReservationEntry {
  readonly key: string
  readonly request: ReservationRequest
  readonly sendReply: SendReservationReply
  version: number
  /** In milliseconds of the monotonic clock. */
  readonly receivedAtMs: number
  isGranted: boolean
  /** The last reply, sent again when the request is retried. */
  lastReply: ReservationReply | undefined
}

/**
 * Creates an entry for a running request for which this owner gave no reservation. Fields that only matter before a grant
 * have default values.
 */
export function createAdoptedReservation (endpointId: string, key: string, reported: RunningRequestsReport['places'][number], receivedAtMs: number): ReservationEntry {
  const request: ReservationRequest = {
    type: 'ask', endpointId, requestId: '', route: '', rank: 0, dueInMs: 0, uselessInMs: 0, promptTokens: 0, maxTokens: 0, parts: [], mayDecline: false, ...reported
  }
  return { key, request, sendReply: () => {}, version: reported.version, receivedAtMs, isGranted: true, lastReply: undefined }
}

/**
 * Creates what the planner decides on from a reservation.
 *
 * @example
 * planner.add(createAllocationRequest(reservation, { promptTokens: 650, isServedElsewhere: false }, nowMs), nowMs)
 */
export function createAllocationRequest ({ key, request, version }: ReservationEntry, estimates: Pick<AllocationRequest, 'promptTokens' | 'isServedElsewhere'>, nowMs: number): AllocationRequest {
  return {
    key,
    adapter: formatAdapterName(request),
    isBase: request.adapter === '',
    version,
    dueAtMs: nowMs + request.dueInMs,
    abandonAtMs: nowMs + request.uselessInMs,
    promptSegments: request.parts.map(([id, tokens]) => ({ id, tokens })),
    mayDecline: request.mayDecline,
    isResumed: request.isResumed ?? false,
    account: request.account,
    ...estimates
  }
}
