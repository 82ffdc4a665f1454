/** Refuses requests early whose target cannot be met, and tells their callers when to come back. */
import type { QueuedRequest } from './planner.js'
import type { RequestFailure } from '../schemas/verdict.js'
import { createNotRun } from '../schemas/verdict.js'

/** What the planner expects for a new request. Times in milliseconds. */
export interface AdmissionView {
  endpointId: string
  queued: number
  maxQueued: number
  isUrgent: boolean
  /** Until the request could start, its load and its place in the queue included. */
  expectedStartMs: number
  /** Until the latest time to start. */
  slackMs: number
  /** Time between two starts when the batch is full. */
  serviceIntervalMs: number
}

/** Returns the refusal of a request; undefined where it is admitted. */
export type FindRefusal = (request: QueuedRequest, view: AdmissionView, nowMs: number) => RequestFailure | undefined

const minRetryAfterMs = 100

/**
 * Creates the rule. Those who were refused are told times one after the other, so that they don't come back together.
 *
 * @example
 * const findRefusal = createAdmission()
 * findRefusal(request, view, nowMs)?.retryAfterMs
 */
export function createAdmission (): FindRefusal {
  let lastReturnMs = 0
  return (request, view, nowMs) => {
    const excessMs = view.expectedStartMs - view.slackMs
    const isFull = view.queued >= view.maxQueued
    if (!isFull && excessMs <= 0) return undefined
    const earliestMs = nowMs + Math.max(minRetryAfterMs, excessMs)
    lastReturnMs = Math.max(earliestMs, lastReturnMs + view.serviceIntervalMs)
    // Beyond the time that the queue needs, a caller's turn is not put off any further.
    lastReturnMs = Math.min(lastReturnMs, earliestMs + view.maxQueued * view.serviceIntervalMs)
    const message = isFull
      ? `the queue of endpoint "${view.endpointId}" is full with ${view.queued} requests`
      : `class "${request.className}" cannot meet its target on endpoint "${view.endpointId}": ` +
        `the request would start in ${Math.round(view.expectedStartMs)} ms and must start in ${Math.round(view.slackMs)} ms`
    return createNotRun(isFull ? 'queue_full' : 'target_out_of_reach', message, 429, Math.ceil(lastReturnMs - nowMs))
  }
}
