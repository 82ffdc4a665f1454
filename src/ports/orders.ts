/** Orders to engines and their reports. */
import type { LoadedAdapter, LoadedModel } from '../schemas/routing.js'

export interface EngineOrder {
  readonly kind: 'load' | 'unload'
  readonly model: string
  /** Undefined for an order about the model itself. */
  readonly adapter: string | undefined
  /** Version of the adapter to load; undefined for the newest. */
  readonly version: number | undefined
  /** Orders that the engine must have accepted so far; undefined where that does not matter. */
  readonly expectedCount: number | undefined
}

export interface OrderHolder {
  readonly host: string
  readonly fencing: number
}

/**
 * `accepted`: being carried out; `holds`: done, or it was so before; `refused`: not carried out; `unknown`: no answer,
 * so that it may be carried out now or seconds later.
 */
export type OrderOutcome =
  | { readonly verdict: 'accepted' | 'holds' }
  | { readonly verdict: 'refused', readonly cause: OrderRefusal, readonly reason: string }
  | { readonly verdict: 'unknown', readonly reason: string }

/** `conflict`: another order runs or the count differs; `fenced`: a newer holder; `otherEndpoint`: the address has moved on. */
export type OrderRefusal = 'conflict' | 'fenced' | 'otherEndpoint' | 'invalid' | 'unavailable'

export interface EngineState {
  readonly startedAtMs: number | undefined
  readonly models: readonly LoadedModel[]
  readonly loading: readonly (LoadedAdapter & { readonly model: string })[]
  readonly isBusy: boolean
  readonly orderCount: number
  readonly running: number
  readonly waiting: number
}

/** Reaches one engine as the holder of its lease. */
export interface EngineOrders {
  /** An order without an answer after `timeoutMs` may still be carried out. */
  send: (order: EngineOrder, holder: OrderHolder, timeoutMs: number) => Promise<OrderOutcome>
  /** Reads the engine's state as of some hundred milliseconds ago. Rejects where it does not answer. */
  readState: () => Promise<EngineState>
  close: () => void
}
