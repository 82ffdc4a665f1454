/** Routes and services as configured by operators, and endpoints as registered in the store, decoded from their wire names. */

/** `idempotent` may run more than once; `once` at most once; `stream` is a streamed generation, resumable or not. */
export type RouteKind = 'idempotent' | 'once' | 'stream'

export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly hostname: string
  /** Starts and ends with a slash. */
  readonly prefix: string
  readonly kind: RouteKind
  /** Whether a stream may be resumed on another endpoint after its last complete event. */
  readonly isResumable: boolean
  /** Maximum time that a caller waits. */
  readonly timeoutMs: number
  /** Target time for the response; for streams, for its first event. */
  readonly targetMs: number
  /** Target for the longest gap between two events of a stream. */
  readonly maxGapMs: number | undefined
  /** Callers abandon a response after this time without a chunk of it. */
  readonly patienceMs: number
  /** 0 is the most urgent. The rank of a client account goes before it. */
  readonly rank: number
  /** Whether requests need no key of a client account. */
  readonly isPublic: boolean
  /** Maximum number of endpoints that may run one request. */
  readonly maxAttempts: number
  readonly targets: readonly RouteTarget[]
}

export interface ModelSpec {
  readonly name: string
  readonly weightsMb: number
  readonly adapterMb: number
  /** Duration of a load from the weight store. */
  readonly loadMs: number
}

export interface EngineSpec {
  /** Maximum number of requests in one batch. */
  readonly batchLimit: number
  /** Size of the cache that running requests and cached prompts share, in tokens. */
  readonly cacheTokens: number
  readonly adapterSlots: number
  readonly weightsMb: number
  /** Number of model loads from the weight store that all endpoints together may start per second. */
  readonly loadsPerSecond: number
  /** Number of tokens in one event of a stream. */
  readonly tokensPerEvent: number
  readonly models: readonly ModelSpec[]
}

export interface ServiceSpec {
  readonly name: string
  /** Maximum number of connections that one endpoint accepts from all hosts together. */
  readonly maxConnections: number
  /** Undefined for services without models. */
  readonly engine: EngineSpec | undefined
}

export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** `requests`: each request counts as one; `tokens`: as the tokens that it states. */
export type QuotaUnit = 'requests' | 'tokens'

/** What all hosts together may run for a client account. */
export interface AccountQuota {
  readonly unit: QuotaUnit
  readonly perSecond: number
  /** What may be used at once beyond the rate. */
  readonly burst: number
  /** Tokens of a request that states none. */
  readonly plainTokens: number
}

export interface ClientAccount {
  readonly name: string
  readonly keys: readonly string[]
  /** 0 is the most urgent; undefined if the ranks of the routes apply. */
  readonly rank: number | undefined
  /** Undefined if the account is not limited. */
  readonly quota: AccountQuota | undefined
}

/** A part of a client account's entry that was left out, as it is invalid. */
export interface AccountDefect {
  /** Name of the account, or its position among the entries if it has no valid name. */
  readonly account: string
  /** Position of the part in the configuration, by the platform's names. */
  readonly path: string
  readonly reason: string
}

export interface RoutingConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, ServiceSpec>
  readonly limits: CallerLimits
  /** Undefined if the configuration has no accounts, so that no keys are checked. */
  readonly accounts?: readonly ClientAccount[] | undefined
  /** What was left out of `accounts`. */
  readonly accountDefects?: readonly AccountDefect[]
}

/** One endpoint, as its own row in the store describes it. */
export interface EndpointEntry {
  readonly id: string
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly zone: string
  readonly isLeaving: boolean
  /** Time from this entry until the endpoint stops, even with requests still running; undefined if it has no such limit. */
  readonly goneInMs: number | undefined
  /** Concurrency limit: number of requests that it runs at once. */
  readonly places: number
  /** Version of the endpoint's software, compared exactly; empty if not reported. */
  readonly softwareVersion: string
  /** Start of the process, in Unix milliseconds; 0 if not reported. A different value means that it restarted and lost its state. */
  readonly startedAtMs: number
  readonly models: readonly LoadedModel[]
  /** Number of orders that the endpoint has accepted since it started. */
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

/** A version of an adapter, as declared by operators. */
export interface AdapterVersion {
  readonly model: string
  readonly adapter: string
  readonly version: number
}
