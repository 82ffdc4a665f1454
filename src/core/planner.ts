/** The interface between the scheduler and the planner of one endpoint. */
import type { Target } from '../schemas/configuration.js'
import type { DecisionDraft } from '../schemas/decision.js'
import type { RequestFailure } from '../schemas/verdict.js'

/** A request that waits for an endpoint. All times are on the scheduler's monotonic clock. */
export interface QueuedRequest {
  requestId: string
  attempt: number
  adapter: string
  version: string
  className: string
  target: Target
  callerName: string
  fingerprint: string
  promptTokens: number
  maxTokens: number
  arrivedAtMs: number
  /** When the target must be met. */
  dueAtMs: number
}

export interface EndpointCapacity {
  endpointId: string
  /** Number of adapter slots. */
  slots: number
  /** Number of batch slots, that is, requests that run at once. */
  batchLimit: number
}

export type Admission =
  | { isAdmitted: true, decision: DecisionDraft }
  | { isAdmitted: false, failure: RequestFailure, decision: DecisionDraft }

export interface PlannedDispatch {
  requestId: string
  attempt: number
  handle: string
  /** Priority on the engine; the request with the smaller value runs first. */
  priority: number
  decision: DecisionDraft
}
export interface PlannedLoad {
  adapter: string
  version: string
  /** Time left until the load is needed, in milliseconds. */
  slackMs: number
  decision: DecisionDraft
}
export interface PlannedUnload {
  handle: string
  decision: DecisionDraft
}
/** A request that can no longer be served, such as one whose target has passed. */
export interface PlannedFailure {
  requestId: string
  attempt: number
  failure: RequestFailure
  decision: DecisionDraft
}
export interface EndpointPlan {
  dispatches: PlannedDispatch[]
  loads: PlannedLoad[]
  unloads: PlannedUnload[]
  failures: PlannedFailure[]
  /** When to plan again if no event occurs before; undefined if only an event can change the plan. */
  wakeAtMs: number | undefined
}

/** Forecast for an endpoint, which its owner reports to gateways. */
export interface EndpointForecast {
  queued: number
  expectedWaitMs: number
  expectedLoadMs: number
  /** Mean time between two request starts while the batch is full, in milliseconds. */
  serviceIntervalMs: number
  /** Forecast of the stalls that evicting an adapter for another one would cause, in milliseconds. */
  evictionCostMs: number
  loaded: string[]
  loading: string[]
}

/**
 * Plans dispatches, loads and unloads for one endpoint. It does no I/O: the scheduler reports events to it and carries out
 * its plans. A planned load occupies an adapter slot at once, listed as `loading`, until `recordLoaded` or
 * `recordLoadFailed` is called. A planned unload frees its slot when `recordUnloaded` is called; from the time of the plan
 * no requests are dispatched to its handle.
 */
export interface EndpointPlanner {
  addRequest: (request: QueuedRequest, nowMs: number) => Admission
  /** Removes a queued or running request that was cancelled or lost. */
  removeRequest: (requestId: string, attempt: number, nowMs: number) => void
  recordFirstToken: (requestId: string, attempt: number, nowMs: number) => void
  recordFinished: (requestId: string, attempt: number, nowMs: number) => void
  /**
   * Whether a planned load that has got its permit is still needed. If not, the planner marks the load as withdrawn, and
   * the scheduler reports it with `recordLoadFailed`, which frees the slot.
   */
  confirmLoad: (adapter: string, version: string) => boolean
  /** Records that a planned load has got its permit and that the engine is ordered to load the adapter. */
  recordLoadStarted: (adapter: string, version: string, nowMs: number) => void
  /** Records that the adapter became usable under a handle, after a planned load or by adoption. */
  recordLoaded: (adapter: string, version: string, handle: string, nowMs: number) => void
  recordLoadFailed: (adapter: string, version: string, nowMs: number) => void
  recordUnloaded: (handle: string, nowMs: number) => void
  /**
   * Records that a planned unload was not carried out and that the handle is usable again. The planner chooses another
   * handle next, because only some handles may be unloaded while the table is down.
   */
  recordUnloadFailed: (handle: string, nowMs: number) => void
  /** Records how many slots hold adapters that no request may use and that the planner cannot unload. */
  recordBlockedSlots: (count: number, nowMs: number) => void
  /** Records that the engine restarted and lost all adapters and requests; the scheduler fails the requests that ran. */
  recordRestarted: (nowMs: number) => void
  plan: (nowMs: number) => EndpointPlan
  computeForecast: (nowMs: number) => EndpointForecast
}

export type CreatePlanner = (capacity: EndpointCapacity) => EndpointPlanner
