/** What asks for a place at an engine, and what a desk decides about it. */
import type { PromptPart } from './promptCache.js'

/** A request that asks for a place. All times are of the owner's monotonic clock. */
export interface DeskRequest {
  readonly key: string
  /** `MODEL/ADAPTER`; the model itself has an empty adapter and needs no slot. */
  readonly adapter: string
  readonly isBase: boolean
  readonly version: number
  /** When its answer becomes late, counted from its caller's first try. */
  readonly dueAtMs: number
  /** From when on a start is of no use, as its caller will have left before the first part. */
  readonly uselessAtMs: number
  readonly promptTokens: number
  readonly parts: readonly PromptPart[]
  /** Whether the asker has other engines to ask. */
  readonly mayDecline: boolean
  /** Whether another engine took the adapter's requests of late. */
  readonly isElsewhere: boolean
}

export type DeskVerdict =
  | { readonly kind: 'granted' }
  | { readonly kind: 'queued', readonly expectedMs: number }
  /** Another engine may serve it sooner; this one would in `expectedMs`. */
  | { readonly kind: 'declined', readonly expectedMs: number, readonly reason: string }
  | { readonly kind: 'refused', readonly retryAfterMs: number, readonly reason: string }

export interface DeskPlan {
  readonly granted: string[]
  readonly refused: { readonly key: string, readonly retryAfterMs: number, readonly reason: string }[]
  readonly loads: { readonly adapter: string, readonly version: number }[]
  readonly unloads: string[]
  /** When to plan again if nothing happens before. */
  readonly wakeAtMs: number | undefined
}

export interface DeskOptions {
  readonly adapterSlots: number
  readonly batchLimit: number
  /** Tokens of the engine's memory that prompts may keep. */
  readonly cacheTokens: number
  /** Loads that the engine takes at a time. */
  readonly maxLoads: number
  /** Expected time of an adapter's load. */
  readonly expectLoadMs: (adapter: string, version: number) => number
  /** Expected time of a load from the weight store. */
  readonly expectColdMs: () => number
}
