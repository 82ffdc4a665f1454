/** Builds the timeline of a request from the decisions of several hosts; their clocks are never compared with each other. */
import type { Decision, Wait } from '../schemas/decision.js'
import type { RequestTimeline, TimelineAttempt } from '../schemas/operatorMessage.js'

/** Shorter waits are omitted. */
const minWaitMs = 1

/** Order of decision kinds within one attempt. */
const kindOrder: Array<Decision['kind']> = [
  'chooseEndpoint', 'admit', 'refuse', 'suspect', 'unload', 'load', 'dispatch', 'resume', 'retry', 'finish', 'fail'
]

/**
 * Builds the timeline of a request; returns undefined if no decision about it is known.
 *
 * @example
 * buildRequestTimeline('req-7', decisions, [])?.attempts[0]?.waits // [{ cause: 'load', ms: 620 }]
 */
export function buildRequestTimeline (requestId: string, decisions: Decision[], silentHosts: string[]): RequestTimeline | undefined {
  const own = decisions.filter(decision => decision.requestId === requestId)
  const first = own[0]
  if (!first) return undefined
  const attemptNumbers = [...new Set(own.flatMap(decision => decision.attempt ?? []))].sort((left, right) => left - right)
  const ordered = sortDecisions(own)
  const admission = own.find(decision => decision.kind === 'admit' && decision.attempt === undefined)
  return {
    requestId,
    outcome: findOutcome(own),
    ...getRequestNames(admission ?? first),
    admission: describeAdmission(admission, own),
    attempts: attemptNumbers.map(attempt => buildAttempt(attempt, ordered)),
    turns: describeKeyDecisions(ordered, decisions),
    decisions: ordered,
    silentHosts
  }
}

function describeAdmission (admission: Decision | undefined, own: Decision[]): string {
  if (admission) return admission.reason
  const refusal = own.find(decision => decision.kind === 'refuse' && decision.attempt === undefined)
  return refusal ? `refused: ${refusal.reason}` : 'the gateway that admitted the request has given no answer'
}

function getRequestNames (decision: Decision): Pick<RequestTimeline, 'className' | 'adapter' | 'version'> {
  const { className, adapter, version } = decision
  return { ...(className && { className }), ...(adapter && { adapter }), ...(version && { version }) }
}

function findOutcome (own: Decision[]): RequestTimeline['outcome'] {
  if (own.some(decision => decision.kind === 'finish')) return 'answered'
  if (own.some(decision => decision.kind === 'fail')) return 'failed'
  return own.some(decision => decision.kind === 'refuse' && decision.attempt === undefined) ? 'refused' : 'running'
}

function sortDecisions (own: Decision[]): Decision[] {
  const computeRank = (decision: Decision): number => (decision.attempt ?? 0) * 100 + kindOrder.indexOf(decision.kind)
  return [...own].sort((left, right) => computeRank(left) - computeRank(right))
}

function buildAttempt (attempt: number, ordered: Decision[]): TimelineAttempt {
  const own = ordered.filter(decision => decision.attempt === attempt)
  const choice = own.find(decision => decision.kind === 'chooseEndpoint')
  const dispatch = own.find(decision => decision.kind === 'dispatch')
  const end = own.find(decision => ['finish', 'fail', 'retry'].includes(decision.kind))
  const scheduler = own.find(decision => decision.kind === 'admit' || decision.kind === 'dispatch' || decision.kind === 'refuse')
  const endpointId = choice?.endpointId ?? scheduler?.endpointId
  const handle = dispatch?.handle ?? end?.handle
  return {
    attempt,
    ...(endpointId && { endpointId }),
    ...(scheduler && { host: scheduler.host }),
    ...(handle && { handle }),
    ...(end?.verdict && { verdict: end.verdict }),
    choice: choice?.reason ?? '',
    end: end?.reason ?? 'not ended',
    waits: computeWaits(own, dispatch ?? own.find(decision => decision.kind === 'refuse'), end)
  }
}

/**
 * Returns the waits that the decisions report. If none reports any, the time from admission to dispatch or refusal is
 * split: time before a load for this request counts as queue time, time from the start of that load on as load time.
 */
function computeWaits (own: Decision[], queueEnd: Decision | undefined, end: Decision | undefined): Wait[] {
  // The gateway's final decision also reports the waits. It is used only if the scheduler's decisions are missing.
  const beforeEnd = own.filter(decision => decision !== end)
  const sources = beforeEnd.some(decision => decision.kind === 'dispatch') || !end ? beforeEnd : [...beforeEnd, end]
  const reportedWaits = sources.flatMap(decision => decision.waits).filter(wait => wait.ms >= minWaitMs)
  const admit = own.find(decision => decision.kind === 'admit')
  if (admit && !queueEnd && end) return computeQueueWait(own, end)
  if (!admit || !queueEnd || admit.host !== queueEnd.host || reportedWaits.length > 0) return reportedWaits
  const load = own.find(decision => decision.kind === 'load' && decision.host === queueEnd.host)
  const loadMs = load ? queueEnd.atMs - load.atMs : 0
  const waits: Wait[] = [{ cause: 'load', ms: loadMs }, { cause: 'queue', ms: queueEnd.atMs - admit.atMs - loadMs }]
  return waits.filter(wait => wait.ms >= minWaitMs)
}

/** An attempt that ended before dispatch spent the time between choice and end, on the same host's clock, in the queue. */
function computeQueueWait (own: Decision[], end: Decision): Wait[] {
  const choice = own.find(decision => decision.kind === 'chooseEndpoint' && decision.host === end.host)
  const ms = choice ? end.atMs - choice.atMs : 0
  return ms >= minWaitMs ? [{ cause: 'queue', ms }] : []
}

/** Describes the decisions that changed how the request was processed, and those about other requests on its endpoint. */
function describeKeyDecisions (ordered: Decision[], all: Decision[]): string[] {
  const keyDecisions = ordered.filter(decision => ['resume', 'retry', 'refuse', 'suspect', 'load', 'unload'].includes(decision.kind))
  // A refusal that led to a retry of the same attempt is already covered by the retry, which has the same reason.
  const isCoveredByRetry = (decision: Decision): boolean => decision.kind === 'refuse' &&
    ordered.some(other => other.kind === 'retry' && other.attempt === decision.attempt && other.reason === decision.reason)
  const related = all.filter(decision => decision.requestId !== ordered[0]?.requestId)
  return [...keyDecisions.filter(decision => !isCoveredByRetry(decision)), ...related].map(decision => describeDecision(decision))
}

function describeDecision (decision: Decision): string {
  const location = decision.endpointId === undefined ? '' : ` on "${decision.endpointId}"`
  return `${decision.kind}${location}, decided by "${decision.host}": ${decision.reason}`
}
