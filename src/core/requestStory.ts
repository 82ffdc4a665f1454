/** Puts one request's story together from the decisions of several hosts, whose clocks are not compared. */
import type { Decision, Wait } from '../schemas/decision.js'
import type { Story, StoryAttempt } from '../schemas/operatorMessage.js'

/** Shorter waits are left out of stories. */
const minWaitMs = 1

/** Order of the kinds within one attempt. */
const stages: Array<Decision['kind']> = [
  'chooseEndpoint', 'admit', 'refuse', 'suspect', 'unload', 'load', 'dispatch', 'resume', 'retry', 'finish', 'fail'
]

/**
 * Builds the story of a request; undefined where nothing is known of it.
 *
 * @example
 * buildStory('req-7', decisions, [])?.attempts[0]?.waits // [{ cause: 'load', ms: 620 }]
 */
export function buildStory (requestId: string, decisions: Decision[], silentHosts: string[]): Story | undefined {
  const own = decisions.filter(decision => decision.requestId === requestId)
  const first = own[0]
  if (!first) return undefined
  const numbers = [...new Set(own.flatMap(decision => decision.attempt ?? []))].sort((left, right) => left - right)
  const ordered = listInOrder(own)
  const admission = own.find(decision => decision.kind === 'admit' && decision.attempt === undefined)
  return {
    requestId,
    outcome: findOutcome(own),
    ...selectNames(admission ?? first),
    admission: describeAdmission(admission, own),
    attempts: numbers.map(attempt => buildAttempt(attempt, ordered)),
    turns: listTurns(ordered, decisions),
    decisions: ordered,
    silentHosts
  }
}

function describeAdmission (admission: Decision | undefined, own: Decision[]): string {
  if (admission) return admission.reason
  const refusal = own.find(decision => decision.kind === 'refuse' && decision.attempt === undefined)
  return refusal ? `refused: ${refusal.reason}` : 'the gateway that admitted the request has given no answer'
}

function selectNames (decision: Decision): Pick<Story, 'className' | 'adapter' | 'version'> {
  const { className, adapter, version } = decision
  return { ...(className && { className }), ...(adapter && { adapter }), ...(version && { version }) }
}

function findOutcome (own: Decision[]): Story['outcome'] {
  if (own.some(decision => decision.kind === 'finish')) return 'answered'
  if (own.some(decision => decision.kind === 'fail')) return 'failed'
  return own.some(decision => decision.kind === 'refuse' && decision.attempt === undefined) ? 'refused' : 'running'
}

function listInOrder (own: Decision[]): Decision[] {
  const rate = (decision: Decision): number => (decision.attempt ?? 0) * 100 + stages.indexOf(decision.kind)
  return [...own].sort((left, right) => rate(left) - rate(right))
}

function buildAttempt (attempt: number, ordered: Decision[]): StoryAttempt {
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
    waits: resolveWaits(own, dispatch ?? own.find(decision => decision.kind === 'refuse'), end)
  }
}

/**
 * Waits as the decisions give them. Where none does, the time from the admission to the dispatch, or to the refusal,
 * was spent in the queue, and from a load of the request's own on for that load.
 */
function resolveWaits (own: Decision[], start: Decision | undefined, end: Decision | undefined): Wait[] {
  // The gateway's record of the end repeats the waits, and stands in for a scheduler that gives no answer.
  const before = own.filter(decision => decision !== end)
  const told = before.some(decision => decision.kind === 'dispatch') || !end ? before : [...before, end]
  const named = told.flatMap(decision => decision.waits).filter(wait => wait.ms >= minWaitMs)
  const admit = own.find(decision => decision.kind === 'admit')
  if (admit && !start && end) return listQueueWait(own, end)
  if (!admit || !start || admit.host !== start.host || named.length > 0) return named
  const load = own.find(decision => decision.kind === 'load' && decision.host === start.host)
  const loadMs = load ? start.atMs - load.atMs : 0
  const waits: Wait[] = [{ cause: 'load', ms: loadMs }, { cause: 'queue', ms: start.atMs - admit.atMs - loadMs }]
  return waits.filter(wait => wait.ms >= minWaitMs)
}

/** An attempt that ended before any dispatch spent the gateway's time from choice to end in the queue. */
function listQueueWait (own: Decision[], end: Decision): Wait[] {
  const choice = own.find(decision => decision.kind === 'chooseEndpoint' && decision.host === end.host)
  const ms = choice ? end.atMs - choice.atMs : 0
  return ms >= minWaitMs ? [{ cause: 'queue', ms }] : []
}

/** Names the decisions that changed the request's way, those of others on its endpoint among them. */
function listTurns (ordered: Decision[], all: Decision[]): string[] {
  const turns = ordered.filter(decision => ['resume', 'retry', 'refuse', 'suspect', 'load', 'unload'].includes(decision.kind))
  // A refusal that was followed by another attempt is told by that attempt's retry, with the same reason.
  const isRepeated = (decision: Decision): boolean => decision.kind === 'refuse' &&
    ordered.some(other => other.kind === 'retry' && other.attempt === decision.attempt && other.reason === decision.reason)
  const related = all.filter(decision => decision.requestId !== ordered[0]?.requestId)
  return [...turns.filter(turn => !isRepeated(turn)), ...related].map(decision => describeTurn(decision))
}

function describeTurn (decision: Decision): string {
  const place = decision.endpointId === undefined ? '' : ` on "${decision.endpointId}"`
  return `${decision.kind}${place}, decided by "${decision.host}": ${decision.reason}`
}
