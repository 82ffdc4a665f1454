/** Creates the record of a decision about a request on an endpoint. */
import type { DecisionDraft } from '../schemas/decision.js'
import type { QueuedRequest } from './planner.js'

/**
 * Creates a draft without candidates or waits.
 *
 * @example
 * createDecisionDraft('load', request, 'engine-3', 'two requests wait for the adapter')
 */
export function createDecisionDraft (
  kind: DecisionDraft['kind'], request: QueuedRequest, endpointId: string, reason: string
): DecisionDraft {
  return {
    kind,
    requestId: request.requestId,
    attempt: request.attempt,
    className: request.className,
    adapter: request.adapter,
    version: request.version,
    endpointId,
    considered: [],
    chosen: endpointId,
    reason,
    waits: []
  }
}
