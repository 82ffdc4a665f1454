/** Refuses requests whose target cannot be met, with a time after which the caller may retry. */
import type { QueuedRequest } from './planner.js'
import type { RequestFailure } from '../schemas/verdict.js'
import { createNotRunFailure } from '../schemas/verdict.js'

/** The planner's forecast for a new request. Times in milliseconds. */
export interface AdmissionInput {
  endpointId: string
  queued: number
  maxQueued: number
  isUrgent: boolean
  /** Time until the request could start, including the adapter's load and the wait in the queue. */
  expectedStartMs: number
  /** Time until the latest start; for urgent requests it includes the grace period. */
  slackMs: number
  /** Mean time between two request starts while the batch is full. */
  serviceIntervalMs: number
}

/** Returns the refusal of a request, or undefined if it is admitted. */
export type FindRefusal = (request: QueuedRequest, input: AdmissionInput, nowMs: number) => RequestFailure | undefined

const minRetryAfterMs = 100

/**
 * Creates the default admission policy. It spaces the retry times of refused requests, so that they don't all retry together.
 *
 * @example
 * const findRefusal = createAdmissionPolicy()
 * findRefusal(request, input, nowMs)?.retryAfterMs
 */
export function createAdmissionPolicy (): FindRefusal {
  let lastRetryAtMs = 0
  return (request, input, nowMs) => {
    const overrunMs = input.expectedStartMs - input.slackMs
    const isFull = input.queued >= input.maxQueued
    if (!isFull && overrunMs <= 0) return undefined
    const earliestRetryAtMs = nowMs + Math.max(minRetryAfterMs, overrunMs)
    lastRetryAtMs = Math.max(earliestRetryAtMs, lastRetryAtMs + input.serviceIntervalMs)
    // A retry time is put off by no more than the time that a full queue needs.
    lastRetryAtMs = Math.min(lastRetryAtMs, earliestRetryAtMs + input.maxQueued * input.serviceIntervalMs)
    const message = isFull
      ? `the queue of endpoint "${input.endpointId}" is full with ${input.queued} requests`
      : `class "${request.className}" cannot meet its target on endpoint "${input.endpointId}": ` +
        `the request would start in ${Math.round(input.expectedStartMs)} ms and must start in ${Math.round(input.slackMs)} ms`
    return createNotRunFailure(isFull ? 'queue_full' : 'target_out_of_reach', message, 429, Math.ceil(lastRetryAtMs - nowMs))
  }
}
