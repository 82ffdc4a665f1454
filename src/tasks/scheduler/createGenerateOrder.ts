/** Converts an attempt and its planned dispatch to the generation request for the engine. */
import { formatAdapter } from '../../core/formatAdapter.js'
import type { PlannedDispatch } from '../../core/planner.js'
import type { GenerateOrder } from '../../ports/engine.js'
import type { Dispatch } from '../../schemas/peerMessage.js'

/**
 * Creates the request that runs one attempt under the planned adapter handle.
 *
 * @example
 * engine.generate(address, createGenerationRequest(dispatch, planned), send, mayStart)
 */
export function createGenerateOrder (dispatch: Dispatch, planned: PlannedDispatch): GenerateOrder {
  const { requestId, attempt, adapter, version, path, body, isStream } = dispatch
  return {
    requestId, attempt, handle: planned.handle, model: formatAdapter(adapter, version), priority: planned.priority, path, body, isStream
  }
}
