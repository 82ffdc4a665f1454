/** Why an endpoint takes no request at a moment; none of these requests was run. */
import { createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export function createSchedulerLeaving (endpointId: string): RequestFailure {
  return createNotRun('scheduler_leaving', `the owner of endpoint "${endpointId}" is leaving`, 503)
}

export function createEndpointLeaving (endpointId: string): RequestFailure {
  return createNotRun('endpoint_leaving', `endpoint "${endpointId}" is leaving`, 503)
}

export function createNotReady (endpointId: string): RequestFailure {
  return createNotRun('endpoint_not_ready', `endpoint "${endpointId}" gives no answer`, 503)
}

export function createNotOwner (endpointId: string): RequestFailure {
  return createNotRun('not_owner', `this host does not own endpoint "${endpointId}"`, 503)
}

export function createBlocked (endpointId: string): RequestFailure {
  return createNotRun('endpoint_blocked', `every slot of endpoint "${endpointId}" holds an adapter that a former owner may still use`, 503)
}

export function createNoSlot (endpointId: string, adapter: string): RequestFailure {
  return createNotRun('no_slot_in_time', `adapter "${adapter}" got no slot of endpoint "${endpointId}" in time`, 503)
}

export function createSuspectHeld (endpointId: string): RequestFailure {
  return createNotRun('suspect_held', `endpoint "${endpointId}" runs another request that may crash endpoints`, 503)
}
