/** Client of a model engine, which has a few adapter slots and runs requests in batches. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import type { RequestFailure } from '../schemas/verdict.js'

export const residentAdapterSchema = Type.Object({
  /** `adapter@version#fencing.sequence`; never reused. */
  handle: Type.String(),
  state: Type.Union([Type.Literal('loading'), Type.Literal('loaded')]),
  /** Requests for this handle that the engine is running or has queued. */
  running: Type.Integer()
})

export const engineReportSchema = Type.Object({
  /** Changes whenever the engine restarts. */
  incarnation: Type.String(),
  slots: Type.Integer(),
  batchLimit: Type.Integer(),
  running: Type.Integer(),
  waiting: Type.Integer(),
  adapters: Type.Array(residentAdapterSchema),
  /** Age of the report, in milliseconds. */
  lagMs: Type.Number()
})
export type EngineReport = Static<typeof engineReportSchema>

export interface AdapterOrder {
  handle: string
  adapter: string
  version: string
  /** Fencing token of the lease under which the order is sent. */
  fencing: number
}

/** `refused`: not executed, with the reason from the engine; `unknown`: the response was lost. */
export type AdapterOrderOutcome =
  | { verdict: 'done' }
  | { verdict: 'refused', code: string, message: string }
  | { verdict: 'unknown', message: string }

export interface GenerationRequest {
  requestId: string
  attempt: number
  handle: string
  /** `adapter@version`; replaces the handle in the response. */
  model: string
  /** A smaller number runs first. */
  priority: number
  /** Path of the OpenAI API, such as `/v1/chat/completions`. */
  path: string
  /** JSON object without `model`; the engine client adds the handle as its model. */
  body: string
  isStream: boolean
  /** Number of the stream event to resume from, without sending the request again. Undefined starts the request. */
  resumeFrom?: number
}

/**
 * `data` holds complete server-sent events for streams, else the JSON body.
 * A failure with `resumeFrom` means that the engine may still have the response: the rest can be requested from that event on.
 */
export type GenerateEvent =
  | { type: 'data', data: string }
  | { type: 'end' }
  | { type: 'failed', failure: RequestFailure, isEndpointLost: boolean, resumeFrom?: number }

export interface Generation {
  /** Stops the work on the engine, even if the connection has broken; no event is sent afterwards. */
  cancel: () => void
}

export interface Engine {
  /** Rejects if the engine does not respond. */
  readReport: (address: string) => Promise<EngineReport>
  /** Resolves when the adapter is loaded; never rejects. */
  loadAdapter: (address: string, order: AdapterOrder) => Promise<AdapterOrderOutcome>
  /** Never rejects. */
  unloadAdapter: (address: string, order: AdapterOrder) => Promise<AdapterOrderOutcome>
  /**
   * Runs one request; events are sent in order, the last one is a single `end` or `failed`. `mayStart` is called when the
   * request is about to be written, after any wait for a connection; if it returns false, the request fails as not run.
   */
  generate: (address: string, order: GenerationRequest, send: (event: GenerateEvent) => void, mayStart: () => boolean) => Generation
}
