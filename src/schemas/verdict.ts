/** Verdicts: what is known about whether a request ran on an endpoint. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

export const verdictSchema = Type.Union([
  Type.Literal('notRun'),
  Type.Literal('ran'),
  Type.Literal('mayHaveRun')
])

/** `notRun`: it certainly did not run; `ran`: it certainly ran; `mayHaveRun`: it cannot be determined. */
export type Verdict = Static<typeof verdictSchema>

/** A failed request or attempt, with its verdict. */
export const requestFailureSchema = Type.Object({
  verdict: verdictSchema,
  /** Stable, machine-readable name, such as `adapter_not_found`. */
  code: Type.String(),
  /** One sentence for people that names what is wrong. */
  message: Type.String(),
  /** HTTP status that the caller sees. */
  status: Type.Integer(),
  /** Time after which a retry makes sense, in milliseconds. */
  retryAfterMs: Type.Optional(Type.Number())
})
export type RequestFailure = Static<typeof requestFailureSchema>

/**
 * Creates the failure of a request that certainly did not run.
 *
 * @example
 * createNotRunFailure('queue_full', 'the queue of class "counter" is full', 429, 1000)
 */
export function createNotRunFailure (code: string, message: string, status: number, retryAfterMs?: number): RequestFailure {
  return retryAfterMs === undefined
    ? { verdict: 'notRun', code, message, status }
    : { verdict: 'notRun', code, message, status, retryAfterMs }
}

/**
 * Creates the failure of a request that may have run.
 *
 * @example
 * createMayHaveRunFailure('endpoint_lost', 'endpoint "engine-3" went away while the request ran', 502)
 */
export function createMayHaveRunFailure (code: string, message: string, status: number): RequestFailure {
  return { verdict: 'mayHaveRun', code, message, status }
}

/**
 * Returns the failure of a request from that of its last attempt. If an earlier attempt may have run, the `notRun` of the
 * last one becomes `mayHaveRun` for the request.
 *
 * @example
 * applyEarlierAttempts(createNotRunFailure('no_endpoint', 'no endpoint', 503), true).verdict // 'mayHaveRun'
 */
export function applyEarlierAttempts (last: RequestFailure, mayHaveRun: boolean): RequestFailure {
  return mayHaveRun && last.verdict === 'notRun' ? { ...last, verdict: 'mayHaveRun' } : last
}
