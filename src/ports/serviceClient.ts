/** Client of a plain HTTP service, which is not an engine. */
import type { RequestFailure } from '../schemas/verdict.js'

export interface ServiceCall {
  requestId: string
  attempt: number
  method: string
  /** Path and query, relative to the service. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

export type ServiceOutcome =
  | { type: 'answered', status: number, headers: Record<string, string>, body: Uint8Array }
  | { type: 'failed', failure: RequestFailure }

export interface ServiceClient {
  /** Never rejects; aborting the signal cancels the call. */
  call: (address: string, call: ServiceCall, signal: AbortSignal) => Promise<ServiceOutcome>
}
