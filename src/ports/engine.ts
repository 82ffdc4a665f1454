/** A model engine that holds adapters in a few slots and runs requests in batches. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import type { RequestFailure } from '../schemas/verdict.js'

export const residentAdapterSchema = Type.Object({
  /** `adapter@version#fencing.sequence`; never used twice. */
  handle: Type.String(),
  state: Type.Union([Type.Literal('loading'), Type.Literal('loaded')]),
  /** Requests that the engine holds for this handle, running or waiting. */
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
  /** How old the report is, in milliseconds. */
  lagMs: Type.Number()
})
export type EngineReport = Static<typeof engineReportSchema>

export interface AdapterOrder {
  handle: string
  adapter: string
  version: string
  /** Fencing number of the lease under which the order is given. */
  fencing: number
}

/** `refused`: not done, and the engine says why; `unknown`: the answer was lost. */
export type OrderOutcome =
  | { verdict: 'done' }
  | { verdict: 'refused', code: string, message: string }
  | { verdict: 'unknown', message: string }

export interface GenerateOrder {
  requestId: string
  attempt: number
  handle: string
  /** `adapter@version`, which the answer shows in place of the handle. */
  model: string
  /** Smaller runs first. */
  priority: number
  /** Path of the OpenAI API, such as `/v1/chat/completions`. */
  path: string
  /** JSON object without `model`; the adapter of the engine adds the handle. */
  body: string
  isStream: boolean
  /** Number of the stream's event to go on from; the request is not sent again. Undefined starts the request. */
  resumeFrom?: number
}

/**
 * `data` holds whole server-sent events for streams, else the JSON body.
 * A failure with `resumeFrom` broke the connection alone: the rest of the answer can be asked for from there.
 */
export type GenerateEvent =
  | { type: 'data', data: string }
  | { type: 'end' }
  | { type: 'failed', failure: RequestFailure, isEndpointLost: boolean, resumeFrom?: number }

export interface Generation {
  /** Stops the work on the engine, also where the connection has broken; no event comes after it. */
  cancel: () => void
}

export interface Engine {
  /** Rejects when the engine gives no answer. */
  readReport: (address: string) => Promise<EngineReport>
  /** Resolves when the adapter is loaded; never rejects. */
  loadAdapter: (address: string, order: AdapterOrder) => Promise<OrderOutcome>
  /** Never rejects. */
  unloadAdapter: (address: string, order: AdapterOrder) => Promise<OrderOutcome>
  /**
   * Runs one request; events come in order, closed by one `end` or `failed`. `mayStart` is asked when the request leaves,
   * after any wait for a connection; false fails it as not run.
   */
  generate: (address: string, order: GenerateOrder, send: (event: GenerateEvent) => void, mayStart: () => boolean) => Generation
}
