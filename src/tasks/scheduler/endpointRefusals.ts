/** Failures with which an endpoint rejects a request that it has not run. */
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export function createSchedulerLeavingFailure (endpointId: string): RequestFailure {
  return createNotRunFailure('scheduler_leaving', `the owner of endpoint "${endpointId}" is shutting down or releasing it`, 503)
}

export function createEndpointLeavingFailure (endpointId: string): RequestFailure {
  return createNotRunFailure('endpoint_leaving', `endpoint "${endpointId}" is leaving`, 503)
}

export function createNotReadyFailure (endpointId: string): RequestFailure {
  return createNotRunFailure('endpoint_not_ready', `endpoint "${endpointId}" is not sending reports`, 503)
}

export function createNotOwnerFailure (endpointId: string): RequestFailure {
  return createNotRunFailure('not_owner', `this host does not own endpoint "${endpointId}"`, 503)
}

export function createBlockedFailure (endpointId: string): RequestFailure {
  return createNotRunFailure('endpoint_blocked', `every adapter slot of endpoint "${endpointId}" holds an adapter that a former owner may still use`, 503)
}

export function createNoSlotFailure (endpointId: string, adapter: string): RequestFailure {
  return createNotRunFailure('no_slot_in_time', `adapter "${adapter}" got no adapter slot of endpoint "${endpointId}" in time`, 503)
}

export function createSuspectHeldFailure (endpointId: string): RequestFailure {
  return createNotRunFailure('suspect_held', `endpoint "${endpointId}" is running another request with suspect content`, 503)
}
