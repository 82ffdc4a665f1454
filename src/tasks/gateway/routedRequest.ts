/** A caller's request with the values that stay the same for all its attempts, and the events of its response. */
import type { Target } from '../../schemas/configuration.js'
import type { RequestFailure } from '../../schemas/verdict.js'

export interface RoutedRequest {
  requestId: string
  callerName: string
  adapter: string
  version: string
  baseModel: string
  className: string
  target: Target
  /** Monotonic time at which the request arrived. */
  arrivedAtMs: number
  /** Monotonic time by which the request's latency target must be met. */
  dueAtMs: number
  /** Whether the request can safely run more than once. */
  isRetryable: boolean
  fingerprint: string
  promptTokens: number
  maxTokens: number
  path: string
  /** Request body: a JSON object without the `model` field. */
  body: string
  isStream: boolean
}

/** The endpoint and attempt that a response event comes from. */
export interface AnswerSource {
  endpointId: string
  attempt: number
}

/** Events of a response arrive in order; exactly one `end` or `failed` event comes last. */
export type AnswerEvent =
  | { type: 'data', data: string, source: AnswerSource }
  | { type: 'end', source: AnswerSource }
  /** `source` is undefined if the request failed while no attempt was dispatched. */
  | { type: 'failed', failure: RequestFailure, source?: AnswerSource }

export type SendAnswer = (event: AnswerEvent) => void
