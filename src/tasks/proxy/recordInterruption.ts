/** Reports requests that ended without a complete response, as their endpoints may have crashed. */
import type { ProxyContext } from './proxyContext.js'
import type { SelectedEndpoint } from './endpointSelector.js'

export interface InterruptedRequest {
  requestId: string | undefined
  /** Hash of the request's content. */
  content: string
  /** Prompt parts that other requests may share. */
  parts: readonly string[]
  /** Whether the endpoint had begun its answer. */
  hasBegun: boolean
  /** In monotonic milliseconds. */
  sentAtMs: number
  reason: string
}

/** Other hosts object within this time if they know the prompt parts of an interrupted request to be sound. */
const objectionWaitMs = 100

/**
 * Reports an interrupted request and resolves with whether its prompt parts may be the cause of a crash. For a request that may be the
 * cause this takes until the first probe has shown whether the endpoint crashed, so that it is not retried before.
 *
 * @example
 * const isPossibleCause = await recordInterruption(context, target, { requestId, content, parts, hasBegun: false, sentAtMs, reason })
 */
export async function recordInterruption (context: ProxyContext, { endpoint, link }: SelectedEndpoint, { requestId, reason, ...request }: InterruptedRequest): Promise<boolean> {
  const { clock, log, crashDetection, suspects } = context
  const { content, parts, hasBegun } = request
  const interruption = { endpointId: endpoint.id, startedAtMs: endpoint.startedAtMs, ...request }
  log.record('request.cut', 'The connection to an endpoint closed before its response was complete; the request may have run.', { requestId, ...interruption, reason })
  const firstProbe = crashDetection.receiveInterruption(interruption, link)
  const mayBeCause = !hasBegun && parts.length > 0
  if (mayBeCause || suspects.isSuspect(content)) await firstProbe
  // Other hosts may have seen answers begin on the parts.
  if (mayBeCause && suspects.hasSuspectPart(parts)) await new Promise<void>(resolve => { clock.setTimer(resolve, objectionWaitMs) })
  return mayBeCause && suspects.hasSuspectPart(parts)
}
