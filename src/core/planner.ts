/** What the scheduler asks of the decisions about one endpoint. */
import type { Target } from '../schemas/configuration.js'
import type { DecisionDraft } from '../schemas/decision.js'
import type { RequestFailure } from '../schemas/verdict.js'

/** A request that waits for an endpoint. All times are of the scheduler's monotonic clock. */
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
  /** When the target is due. */
  dueAtMs: number
}

export interface EndpointShape {
  endpointId: string
  slots: number
  batchLimit: number
}

export type Admission =
  | { isAdmitted: true, decision: DecisionDraft }
  | { isAdmitted: false, failure: RequestFailure, decision: DecisionDraft }

export interface PlannedDispatch {
  requestId: string
  attempt: number
  handle: string
  /** Smaller runs first. */
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
/** Requests that can no longer be served, such as those whose adapter cannot be loaded. */
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
  /** When to plan again if nothing happens before; undefined when only events matter. */
  wakeAtMs: number | undefined
}

/** Figures about an endpoint that its owner tells to gateways. */
export interface EndpointExpectation {
  queued: number
  expectedWaitMs: number
  expectedLoadMs: number
  /** Time between two starts when the batch is full, in milliseconds. */
  serviceIntervalMs: number
  /** Forecast of the stalls that giving up a slot for another adapter would cause, in milliseconds. */
  evictionCostMs: number
  loaded: string[]
  loading: string[]
}

/**
 * Decides for one endpoint. It does no I/O: the scheduler tells it what happened and carries out its plans.
 * A planned load takes a slot at once, as `loading`, until `recordLoaded` or `recordLoadFailed`.
 * A planned unload frees its slot when `recordUnloaded` is called, and its handle gets no request any more.
 */
export interface EndpointPlanner {
  addRequest: (request: QueuedRequest, nowMs: number) => Admission
  /** Forgets a request that was cancelled or lost, queued or running. */
  removeRequest: (requestId: string, attempt: number, nowMs: number) => void
  recordFirstToken: (requestId: string, attempt: number, nowMs: number) => void
  recordFinished: (requestId: string, attempt: number, nowMs: number) => void
  /** A planned load has got its permit and is ordered now. */
  /** Whether a planned load that has got its permit is still wanted; where not, the planner gives its slot up. */
  mayStartLoad: (adapter: string, version: string) => boolean
  recordLoadStarted: (adapter: string, version: string, nowMs: number) => void
  /** The adapter became usable under a handle, by a planned load or by adoption. */
  recordLoaded: (adapter: string, version: string, handle: string, nowMs: number) => void
  recordLoadFailed: (adapter: string, version: string, nowMs: number) => void
  recordUnloaded: (handle: string, nowMs: number) => void
  /**
   * A planned unload was not carried out; the handle is usable again. Another handle should be tried next: while the
   * table is down, only some of them may be unloaded.
   */
  recordUnloadFailed: (handle: string, nowMs: number) => void
  /** So many slots hold adapters that no request may use and that the planner cannot unload. */
  recordBlockedSlots: (count: number, nowMs: number) => void
  /** The engine lost everything; returns nothing, the scheduler fails what ran. */
  recordRestarted: (nowMs: number) => void
  plan: (nowMs: number) => EndpointPlan
  readExpectation: (nowMs: number) => EndpointExpectation
}

export type CreatePlanner = (shape: EndpointShape) => EndpointPlanner
