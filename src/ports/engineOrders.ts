/** Sends load and unload orders for models and adapters to an engine, and reads its state. */
import type { LoadedAdapter, LoadedModel } from '../schemas/routing.js'

export interface EngineOrder {
  readonly kind: 'load' | 'unload'
  readonly model: string
  /** Undefined for an order that concerns the model itself. */
  readonly adapter: string | undefined
  /** Version of the adapter to load; undefined for the latest one. */
  readonly version: number | undefined
  /** Number of orders that the engine must have accepted so far; undefined sets no such precondition. */
  readonly expectedCount: number | undefined
}

export interface OrderHolder {
  readonly host: string
  readonly fencing: number
}

/**
 * `accepted`: in progress; `holds`: the ordered state is in place, now or already before; `refused`: not executed;
 * `unknown`: no valid response, so the order may be executed now or seconds later.
 */
export type EngineOrderOutcome =
  | { readonly verdict: 'accepted' | 'holds' }
  | { readonly verdict: 'refused', readonly cause: OrderRefusalCause, readonly reason: string }
  | { readonly verdict: 'unknown', readonly reason: string }

/**
 * `conflict`: another order is in progress or the order count differs; `fenced`: a newer lease holder exists;
 * `otherEndpoint`: the address now belongs to another endpoint.
 */
export type OrderRefusalCause = 'conflict' | 'fenced' | 'otherEndpoint' | 'invalid' | 'unavailable'

export interface EngineState {
  readonly startedAtMs: number | undefined
  readonly models: readonly LoadedModel[]
  readonly loading: readonly (LoadedAdapter & { readonly model: string })[]
  readonly isBusy: boolean
  readonly orderCount: number
  readonly running: number
  readonly waiting: number
}

/** Client of one engine, used by the holder of its lease. */
export interface EngineOrders {
  /** An order without a response after `timeoutMs` may still be executed. */
  send: (order: EngineOrder, holder: OrderHolder, timeoutMs: number) => Promise<EngineOrderOutcome>
  /** Reads the engine's state, which is some hundred milliseconds old. Rejects if the engine does not respond. */
  readState: () => Promise<EngineState>
  close: () => void
}
