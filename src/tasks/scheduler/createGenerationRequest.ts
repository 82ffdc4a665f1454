/** Converts an attempt and its planned dispatch to the generation request for the engine. */
import { formatAdapterVersion } from '../../core/handleFormat.js'
import type { PlannedDispatch } from '../../core/planner.js'
import type { GenerationRequest } from '../../ports/engine.js'
import type { Dispatch } from '../../schemas/peerMessage.js'

/**
 * Creates the request that runs one attempt under the planned adapter handle.
 *
 * @example
 * engine.generate(address, createGenerationRequest(dispatch, planned), send, mayStart)
 */
export function createGenerationRequest (dispatch: Dispatch, planned: PlannedDispatch): GenerationRequest {
  const { requestId, attempt, adapter, version, path, body, isStream } = dispatch
  return {
    requestId, attempt, handle: planned.handle, model: formatAdapterVersion(adapter, version), priority: planned.priority, path, body, isStream
  }
}
