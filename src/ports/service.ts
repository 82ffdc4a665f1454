/** A plain HTTP service beside the engines. */
import type { RequestFailure } from '../schemas/verdict.js'

export interface ServiceCall {
  requestId: string
  attempt: number
  method: string
  /** Path and query below the service. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

export type ServiceOutcome =
  | { type: 'answered', status: number, headers: Record<string, string>, body: Uint8Array }
  | { type: 'failed', failure: RequestFailure }

export interface Service {
  /** Never rejects; aborting the signal gives up the call. */
  call: (address: string, call: ServiceCall, signal: AbortSignal) => Promise<ServiceOutcome>
}
