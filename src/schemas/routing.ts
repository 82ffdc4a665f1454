/** Routes and services as operators configure them, in the project's words. */

/** `idempotent` may run more than once; `once` at most once; `stream` is a generation, which may be resumed or not. */
export type RouteKind = 'idempotent' | 'once' | 'stream'

export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly hostname: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Whether a stream may go on at another endpoint after its last whole event. */
  readonly isResumable: boolean
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number
  /** Time within which an answer is on time; for streams, its first event. */
  readonly targetMs: number
  /** Longest pause between two events of a stream that is on time. */
  readonly maxGapMs: number | undefined
  /** Callers abandon an answer after this long without a part of it. */
  readonly patienceMs: number
  /** 0 is the most urgent. */
  readonly rank: number
  /** Most endpoints that may run one request. */
  readonly maxAttempts: number
  readonly targets: readonly RouteTarget[]
}

export interface ModelShape {
  readonly name: string
  readonly weightsMb: number
  readonly adapterMb: number
  /** Time of a load from the weight store. */
  readonly loadMs: number
}

export interface EngineShape {
  /** Requests in one batch. */
  readonly batchLimit: number
  /** Tokens that running requests and cached prompts share. */
  readonly cacheTokens: number
  readonly adapterSlots: number
  readonly weightsMb: number
  /** Loads of models from the weight store that all endpoints together may begin a second. */
  readonly loadsPerSecond: number
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number
  readonly models: readonly ModelShape[]
}

export interface ServiceShape {
  readonly name: string
  /** Connections that one endpoint accepts from all hosts together. */
  readonly maxConnections: number
  /** Undefined for services without models. */
  readonly engine: EngineShape | undefined
}

export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

export interface RoutingConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceShape>
  readonly limits: CallerLimits
}

/** One endpoint as it tells of itself in the store. */
export interface EndpointEntry {
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly zone: string
  readonly isLeaving: boolean
  /** Until the endpoint is gone whatever it runs, counted from the entry; undefined where it leaves in its own time. */
  readonly goneInMs: number | undefined
  /** Requests that it runs at once. */
  readonly places: number
  /** When the process started, in Unix milliseconds; another number means that it holds and knows nothing of before. 0 where it does not say. */
  readonly startedAtMs: number
  readonly models: readonly LoadedModel[]
  /** Orders that the endpoint has accepted since its start. */
  readonly orderCount: number
}

export interface LoadedModel {
  readonly name: string
  readonly version: number
  readonly adapters: readonly LoadedAdapter[]
}

export interface LoadedAdapter {
  readonly name: string
  readonly version: number
}

/** A version of an adapter that operators have declared. */
export interface AdapterVersion {
  readonly model: string
  readonly adapter: string
  readonly version: number
}
