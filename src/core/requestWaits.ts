/** Splits the time from a request's arrival at an endpoint to its dispatch by cause. */
import type { Wait, WaitCause } from '../schemas/decision.js'
import type { ResidentAdapter } from './adapterSlots.js'
import type { WaitingRequest } from './waitingRequests.js'

/**
 * Computes the waits of a request that is dispatched now. Until the load was planned, an urgent request waited for a slot and a
 * deferrable one for its batch; after that for the load budget, then for the load itself, then in the queue.
 *
 * @example
 * computeWaits(waiting, resident, 5000) // [{ cause: 'load', ms: 650 }, { cause: 'queue', ms: 12 }]
 */
export function computeWaits (waiting: WaitingRequest, resident: ResidentAdapter, nowMs: number): Wait[] {
  const waits: Wait[] = []
  let fromMs = waiting.addedAtMs
  const addWait = (cause: WaitCause, untilMs: number): void => {
    const ms = Math.min(untilMs, nowMs) - fromMs
    if (ms <= 0) return
    waits.push({ cause, ms })
    fromMs += ms
  }
  addWait(waiting.isUrgent ? 'slot' : 'batch', resident.plannedAtMs)
  addWait('budget', resident.startedAtMs ?? resident.plannedAtMs)
  addWait('load', resident.loadedAtMs ?? resident.plannedAtMs)
  addWait('queue', nowMs)
  return waits
}
