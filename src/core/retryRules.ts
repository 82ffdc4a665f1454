/** Decides whether a request may be retried after a failed attempt. */
import type { RouteKind } from '../schemas/routing.js'
import type { Verdict } from '../schemas/verdict.js'

export interface AttemptFailure {
  verdict: Verdict
  reason: string
  /** HTTP status that the endpoint returned; undefined if there was no answer. */
  status: number | undefined
}

export interface RetryContext {
  kind: RouteKind
  isResumable: boolean
  /** Number of attempts so far that may have run the request, including the failed one. */
  possibleRuns: number
  maxAttempts: number
  /** Milliseconds until the deadline set by the caller or the operator. */
  timeLeftMs: number
  /** Whether part of the answer has been sent to the caller. */
  hasSentAnswer: boolean
  /** Whether another attempt can go on with what the caller has: it has nothing, or a stream up to an event that is known. */
  canBeFollowed: boolean
}

/** No further attempt is started with less time left than this. */
const minAttemptMs = 30

/**
 * Whether a request that may already have run may run again.
 *
 * @example
 * isRetryable('stream', true) // true: its caller may take it up
 */
export function isRetryable (kind: RouteKind, isResumable: boolean): boolean {
  return kind === 'idempotent' || (kind === 'stream' && isResumable)
}

/**
 * Whether a request may be sent to another endpoint after a failure. A request that was not run may be sent again. A request
 * that may have run is retried only if running it twice is allowed, and for no more attempts than the route's maximum.
 *
 * @example
 * canRetryAttempt({ verdict: 'mayHaveRun', reason: 'the connection was lost', status: undefined }, context)
 */
export function canRetryAttempt (failure: AttemptFailure, context: RetryContext): boolean {
  if (context.timeLeftMs < minAttemptMs || !context.canBeFollowed) return false
  if (failure.verdict === 'notRun') return !context.hasSentAnswer || isRetryable(context.kind, context.isResumable)
  if (!isRetryable(context.kind, context.isResumable) || context.possibleRuns >= context.maxAttempts) return false
  return !context.hasSentAnswer || context.kind === 'stream'
}

/**
 * Whether a request may have run but got no valid, complete response, for example because its endpoint crashed.
 *
 * @example
 * isInterrupted({ verdict: 'mayHaveRun', reason: 'the connection was reset', status: undefined }) // true
 */
export function isInterrupted ({ verdict, status }: AttemptFailure): boolean {
  return verdict === 'mayHaveRun' && status === undefined
}
