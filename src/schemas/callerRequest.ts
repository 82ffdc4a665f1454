/** A caller's request and the head of an endpoint's response, decoded from their wire names. */
import type { ForwardedFields } from './forwarding.js'

export interface CallerRequest {
  /** Identifies one attempt by the caller; a retry by the caller has another id. */
  readonly requestId: string | undefined
  readonly method: string
  /** Key that identifies the caller; empty if it sent none. */
  readonly callerKey: string
  /** Key by which the caller's account is found; undefined if it sent none, or several. */
  readonly apiKey?: string | undefined
  /** Name of the caller's account; empty if it has none and needs none, undefined if no keys are checked. */
  readonly account?: string | undefined
  readonly path: string
  readonly host: string
  /** Alternating names and values, without hop-by-hop headers and headers that only the system sets. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly receivedAtMs: number
  /** How much longer the caller would wait when the request arrived; undefined if it did not say. */
  readonly timeLeftMs: number | undefined
  /** Last event that the caller received of a stream that it resumes. */
  readonly lastEventId: number | undefined
  /** Whether the caller names a last event, readable or not. */
  readonly isResumption: boolean
  /** Id of the caller's request that brought the first event of that stream; undefined if it did not say. */
  readonly resumedRequestId: string | undefined
  readonly model: string
  /** Empty for the base model. */
  readonly adapter: string
  readonly promptTokens: number
  readonly maxTokens: number
  /** Whether the request states both token counts; those that it does not state are 0. */
  readonly hasTokenCounts?: boolean
  /** Prompt segments in order; requests share them, except for the last one, which belongs to the request or its session. */
  readonly promptSegments: readonly { readonly id: string, readonly tokens: number }[]
  /** What the host decided that sent the request through this one; undefined if the caller sent it. */
  readonly forwarded?: ForwardedFields
}

export interface EndpointLoad {
  readonly running: number
  readonly waiting: number
  readonly places: number
  /** How many times as long as usual work takes on the endpoint's machine at this moment; absent if the endpoint does not report it. */
  readonly slowness?: number
}

export interface ResponseHead {
  readonly status: number
  /** Alternating names and values, to be relayed to the caller. */
  readonly headers: readonly string[]
  /** Id of the request that the endpoint answered; a different id means that the response belongs to another request. */
  readonly requestId: string | undefined
  readonly isSigned: boolean
  /** The endpoint guarantees that it did not run the request and never will. */
  readonly isNotRun: boolean
  readonly load: EndpointLoad | undefined
  /** How long the endpoint asks this host to send no requests. */
  readonly retryAfterMs: number | undefined
  /** The value of a retry-after header that is negative, a date or not a number. */
  readonly invalidRetryAfter: string | undefined
  /** Requests a second that the endpoint takes from all hosts together; undefined if it names no limit. */
  readonly limitPerSecond: number | undefined
  /** The value of a limit header that is not a decimal number. */
  readonly invalidLimit: string | undefined
  /** Rejections a second beyond which the endpoint falls over; undefined if it doesn't say that it is brittle. */
  readonly maxRejectionsPerSecond: number | undefined
  /** The value of that header if it is not a decimal number. */
  readonly invalidMaxRejections: string | undefined
  /** The endpoint reports that it is leaving. */
  readonly isLeaving: boolean
  /** Whether a length or chunks delimit the body; otherwise the end of the connection does. */
  readonly isFramed: boolean
  /** Length of the body if the response states it. */
  readonly contentLength: number | undefined
  readonly isEncoded: boolean
  readonly isClosing: boolean
}

/** Values of the headers that the system adds to a request when it sends it to an endpoint. */
export interface SystemRequestFields {
  /** Endpoint that has to answer; undefined where another host selects it. */
  readonly endpointId: string | undefined
  readonly timeLeftMs: number
  /** Adapter version that the endpoint must have; 0 if none was declared. */
  readonly version: number
  /** 0 runs first; undefined means the endpoint's default. */
  readonly priority: number | undefined
  readonly lastEventId: number | undefined
}
