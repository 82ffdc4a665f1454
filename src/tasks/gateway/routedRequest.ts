/** A caller's request, with everything that is fixed once for all its attempts. */
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
  /** Monotonic time of the arrival. */
  arrivedAtMs: number
  /** Monotonic time at which the target is due. */
  dueAtMs: number
  /** Whether running it twice does no harm. */
  isRepeatable: boolean
  fingerprint: string
  promptTokens: number
  maxTokens: number
  path: string
  /** JSON object without `model`. */
  body: string
  isStream: boolean
}

/** Where a part of an answer comes from. */
export interface AnswerSource {
  endpointId: string
  attempt: number
}

/** Events come in order, closed by one `end` or `failed`. */
export type AnswerEvent =
  | { type: 'data', data: string, source: AnswerSource }
  | { type: 'end', source: AnswerSource }
  /** `source` is left out where no attempt was sent. */
  | { type: 'failed', failure: RequestFailure, source?: AnswerSource }

export type SendAnswer = (event: AnswerEvent) => void
