/** Turns an attempt and its plan into the order for the engine. */
import { formatAdapter } from '../../core/formatAdapter.js'
import type { PlannedDispatch } from '../../core/planner.js'
import type { GenerateOrder } from '../../ports/engine.js'
import type { Dispatch } from '../../schemas/peerMessage.js'

/**
 * Creates the order to run one attempt under the planned handle.
 *
 * @example
 * engine.generate(address, createGenerateOrder(dispatch, planned), send, mayStart)
 */
export function createGenerateOrder (dispatch: Dispatch, planned: PlannedDispatch): GenerateOrder {
  const { requestId, attempt, adapter, version, path, body, isStream } = dispatch
  return {
    requestId, attempt, handle: planned.handle, model: formatAdapter(adapter, version), priority: planned.priority, path, body, isStream
  }
}
