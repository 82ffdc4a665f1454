/** What is known about whether a request ran on an endpoint. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

export const verdictSchema = Type.Union([
  Type.Literal('notRun'),
  Type.Literal('ran'),
  Type.Literal('mayHaveRun')
])

/** `notRun`: certainly not run; `ran`: certainly run; `mayHaveRun`: nobody can tell. */
export type Verdict = Static<typeof verdictSchema>

/** A failed request or attempt, told with its verdict. */
export const requestFailureSchema = Type.Object({
  verdict: verdictSchema,
  /** Stable, machine-readable name, such as `adapter_not_found`. */
  code: Type.String(),
  /** One sentence for people; names the thing that is wrong. */
  message: Type.String(),
  /** HTTP status that the caller sees. */
  status: Type.Integer(),
  /** When trying again makes sense, in milliseconds from now. */
  retryAfterMs: Type.Optional(Type.Number())
})
export type RequestFailure = Static<typeof requestFailureSchema>

/**
 * Builds a failure that certainly did not run.
 *
 * @example
 * createNotRun('queue_full', 'the queue of class "counter" is full', 429, 1000)
 */
export function createNotRun (code: string, message: string, status: number, retryAfterMs?: number): RequestFailure {
  return retryAfterMs === undefined
    ? { verdict: 'notRun', code, message, status }
    : { verdict: 'notRun', code, message, status, retryAfterMs }
}

/**
 * Builds a failure of which nobody can tell whether the request ran.
 *
 * @example
 * createMayHaveRun('endpoint_lost', 'endpoint "engine-3" went away while the request ran', 502)
 */
export function createMayHaveRun (code: string, message: string, status: number): RequestFailure {
  return { verdict: 'mayHaveRun', code, message, status }
}

/**
 * Judges a request by all its attempts: where an earlier one may have run, the last one's `notRun` does not hold for the request.
 *
 * @example
 * addEarlierAttempts(createNotRun('no_endpoint', 'no endpoint', 503), true).verdict // 'mayHaveRun'
 */
export function addEarlierAttempts (last: RequestFailure, mayHaveRun: boolean): RequestFailure {
  return mayHaveRun && last.verdict === 'notRun' ? { ...last, verdict: 'mayHaveRun' } : last
}
