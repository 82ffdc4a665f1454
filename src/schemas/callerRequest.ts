/** A request of a caller and the head of an endpoint's answer, in the project's words. */

export interface CallerRequest {
  /** Names one try of the caller; another try has another id. */
  readonly requestId: string | undefined
  readonly method: string
  /** Key by which the caller is known; empty where it sent none. */
  readonly callerKey: string
  readonly path: string
  readonly host: string
  /** Names and values in turn, without those that concern one connection or that only the system sets. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly receivedAtMs: number
  /** How long the caller still waited when the request arrived; undefined where it did not say. */
  readonly timeLeftMs: number | undefined
  /** Last event that the caller has of a stream that it resumes. */
  readonly lastEventId: number | undefined
  readonly model: string
  /** Empty for the model itself. */
  readonly adapter: string
  readonly promptTokens: number
  readonly maxTokens: number
  /** Parts of the prompt that requests share, in order; the last one belongs to the request or its session. */
  readonly promptParts: readonly { readonly id: string, readonly tokens: number }[]
}

export interface EndpointLoad {
  readonly running: number
  readonly waiting: number
  readonly places: number
}

export interface AnswerHead {
  readonly status: number
  /** Names and values in turn, for the caller. */
  readonly headers: readonly string[]
  /** The request that the endpoint answers; another id means that the answer belongs to another request. */
  readonly requestId: string | undefined
  readonly isSigned: boolean
  /** The endpoint promises that it did not run the request and never will. */
  readonly isNotRun: boolean
  readonly load: EndpointLoad | undefined
  /** For how long the endpoint wants nothing from this host. */
  readonly retryAfterMs: number | undefined
  /** A time to come back that is negative, a date or no number. */
  readonly unreadableRetryAfter: string | undefined
  /** The endpoint says that it leaves. */
  readonly isLeaving: boolean
  /** Length of the body where the answer tells it. */
  readonly contentLength: number | undefined
  readonly isEncoded: boolean
  readonly isClosing: boolean
}

/** What the system adds to a request when it sends it to an endpoint. */
export interface SendMark {
  readonly endpointId: string
  readonly timeLeftMs: number
  /** Adapter version that the endpoint must have; 0 where none was declared. */
  readonly version: number
  /** 0 runs first; undefined leaves the endpoint's default. */
  readonly priority: number | undefined
  readonly lastEventId: number | undefined
}
