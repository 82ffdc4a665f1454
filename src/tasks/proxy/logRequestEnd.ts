/** Logs how a request ended, with all that explains it. */
import { listSharedParts } from '../../core/sharedParts.js'
import type { EventFields, EventLog } from '../../ports/eventLog.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { Route } from '../../schemas/routing.js'
import type { AttemptHistory } from './attemptHistory.js'

export interface RequestSummary {
  readonly request: CallerRequest
  readonly fingerprint: string
  /** Undefined if the request ended before its route was known. */
  readonly route: Route | undefined
  readonly service: string
  /** When the response was due; this and `nowMs` are of the host's monotonic clock. */
  readonly dueAtMs: number
  readonly nowMs: number
  readonly code: string | undefined
  readonly reason: string
  readonly status: number | undefined
  readonly history: AttemptHistory
  /** Hosts that the request was sent through. */
  readonly hosts: readonly string[]
  /** What a refusal by the quota of the account was decided by; undefined if there was none. */
  readonly quotaDetails: EventFields | undefined
  /** -1 if no part of a response has arrived. */
  readonly firstChunkMs: number
  /** When the last attempt was written to its connection and its target was last heard; undefined where that is of no interest. */
  readonly lastAttempt: { readonly sentAtMs: number | undefined, readonly lastContactAtMs: number } | undefined
  readonly configurationVersion: number | undefined
}

/** Records the end of a request; `outcome` is the last part of the line's kind. */
export function logRequestEnd (log: EventLog, outcome: string, summary: RequestSummary): void {
  const { request, route, history, hosts, lastAttempt } = summary
  log.record(`request.${outcome}`, 'A request has ended.', {
    requestId: request.requestId,
    content: summary.fingerprint,
    route: route?.name,
    work: route?.kind,
    ...(request.account && { account: request.account }),
    code: summary.code,
    service: summary.service,
    adapter: request.adapter,
    promptTokens: request.promptTokens,
    parts: listSharedParts(request),
    timeLeftMs: request.timeLeftMs,
    spentMs: route && Math.round(request.receivedAtMs + route.targetMs - summary.dueAtMs),
    reason: summary.reason,
    status: summary.status,
    lastEventId: request.lastEventId,
    resumedRequestId: request.resumedRequestId,
    tried: [...history.endpointIds],
    versions: [...history.softwareVersions],
    ...(hosts.length > 0 && { via: [...hosts] }),
    ...(request.forwarded && { isForwarded: true }),
    sends: history.sendCount,
    runs: history.runCount,
    searches: [...history.searches],
    ...(history.searches.some(({ isDispatched }) => isDispatched) && { isDispatched: true }),
    placeMs: Math.round(history.selectionMs),
    firstPartMs: Math.round(summary.firstChunkMs),
    ...(lastAttempt && describeLastAttempt(lastAttempt, summary.nowMs)),
    ...summary.quotaDetails,
    tookMs: Math.round(summary.nowMs - request.receivedAtMs),
    configuration: summary.configurationVersion
  })
}

/** Milliseconds since the attempt was written and since its target was last heard; absent where neither has happened. */
function describeLastAttempt ({ sentAtMs, lastContactAtMs }: NonNullable<RequestSummary['lastAttempt']>, nowMs: number): EventFields {
  return {
    ...(sentAtMs !== undefined && { sinceSentMs: Math.round(nowMs - sentAtMs) }),
    ...(Number.isFinite(lastContactAtMs) && { sinceHeardMs: Math.round(nowMs - lastContactAtMs) })
  }
}
