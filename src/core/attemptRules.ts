/** What follows from an attempt that did not end well. */
import type { RouteKind } from '../schemas/routing.js'
import type { Verdict } from '../schemas/verdict.js'

export interface AttemptFailure {
  verdict: Verdict
  reason: string
  /** Status that the endpoint itself gave; undefined where there was no answer. */
  status: number | undefined
}

export interface RetryView {
  kind: RouteKind
  isResumable: boolean
  /** Endpoints that may have run the request so far, the failed one included. */
  runs: number
  maxAttempts: number
  /** Milliseconds until the caller's or the operator's limit. */
  timeLeftMs: number
  /** Whether the caller has had a part of the answer. */
  hasAnswered: boolean
}

/** Less time than this is not worth another attempt. */
const minAttemptMs = 30

/** Whether a request may run once more after it may have run. */
export function isRepeatable (kind: RouteKind, isResumable: boolean): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable)
}

/**
 * Whether a request may be sent to another endpoint after a failure. What did not run may be sent again; what may have
 * run only where it may be repeated, and to no more endpoints than the route allows.
 *
 * @example
 * mayRetry({ verdict: 'mayHaveRun', reason: 'the connection was lost', status: undefined }, view)
 */
export function mayRetry (failure: AttemptFailure, view: RetryView): boolean {
  if (view.timeLeftMs < minAttemptMs) return false
  if (failure.verdict === 'notRun') return !view.hasAnswered || isRepeatable(view.kind, view.isResumable)
  if (!isRepeatable(view.kind, view.isResumable) || view.runs >= view.maxAttempts) return false
  return !view.hasAnswered || view.kind === 'stream'
}
