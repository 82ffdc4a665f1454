/** Requests for a reservation at an engine, and what its allocator decides about them. */
import type { PromptSegment } from './prefixCacheEstimate.js'

/** A request that needs a reservation. All times are on the owner's monotonic clock. */
export interface AllocationRequest {
  readonly key: string
  /** `MODEL/ADAPTER`; the adapter part is empty for the base model, which needs no adapter slot. */
  readonly adapter: string
  readonly isBase: boolean
  readonly version: number
  /** When its answer is due by the route's latency target, counted from the caller's first attempt. */
  readonly dueAtMs: number
  /** When its caller leaves unless the first chunk has arrived; a later start is useless. */
  readonly abandonAtMs: number
  readonly promptTokens: number
  readonly promptSegments: readonly PromptSegment[]
  /** Whether the proxy has other engines to try, so that this one may decline. */
  readonly mayDecline: boolean
  /** Whether another engine served the adapter's requests recently. */
  readonly isServedElsewhere: boolean
  /** Whether it goes on with a stream, of which the caller has the beginning. */
  readonly isResumed: boolean
  /** Name of its client account; undefined if there are no accounts. */
  readonly account?: string | undefined
}

export type AllocationDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'queued', readonly expectedMs: number }
  /** Another engine may serve it sooner; this one would start it in `expectedMs`. */
  | { readonly kind: 'declined', readonly expectedMs: number, readonly reason: string }
  | { readonly kind: 'refused' } & AllocationRefusal

export interface AllocationRefusal {
  readonly retryAfterMs: number
  readonly reason: string
  /** Whether the reason is the engine's limit, so that another engine may take the request. */
  readonly isLimited: boolean
  /** Whether the reason is that its account is over its share of the engine. */
  readonly isOverShare?: boolean
}

export interface AllocationPlan {
  readonly granted: string[]
  readonly refused: (AllocationRefusal & { readonly key: string })[]
  readonly loads: { readonly adapter: string, readonly version: number }[]
  readonly unloads: string[]
  /** When to plan again unless an event triggers it earlier. */
  readonly wakeAtMs: number | undefined
}

/** A plan that is being made. */
export type MutablePlan = Omit<AllocationPlan, 'wakeAtMs'> & { wakeAtMs: number | undefined }

/** Has the next plan made at this time at the latest. */
export function wakeBy (plan: MutablePlan, atMs: number): void {
  plan.wakeAtMs = Math.min(plan.wakeAtMs ?? Infinity, atMs)
}

export interface AllocationOptions {
  readonly adapterSlots: number
  readonly batchLimit: number
  /** Tokens of the engine's memory that are available for cached prompts. */
  readonly cacheTokens: number
  /** Loads that the engine runs concurrently. */
  readonly maxLoads: number
  /** Expected load time of an adapter. */
  readonly estimateLoadMs: (adapter: string, version: number) => number
  /** Expected time of a load from the weight store. */
  readonly estimateColdLoadMs: () => number
  /** Requests a second that the engine may get while it is limited; undefined if it is not. */
  readonly findRate: (nowMs: number) => number | undefined
  /** Returns the weight by which an account shares the engine with others; all are equal if it is left out. */
  readonly getAccountWeight?: (account: string) => number
  /** Whether long prompts are treated like short ones, as before; for comparisons. */
  readonly isSizeBlind?: boolean
}
