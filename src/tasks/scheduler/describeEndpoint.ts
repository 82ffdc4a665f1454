/** Describes an endpoint's running and queued requests for operators, and creates decisions and messages about them. */
import { formatTarget } from '../../core/formatTarget.js'
import type { PlannedDispatch, PlannedLoad } from '../../core/planner.js'
import type { DecisionDraft } from '../../schemas/decision.js'
import type { EndpointState } from '../../schemas/operatorMessage.js'
import type { Dispatch, PeerMessageOf } from '../../schemas/peerMessage.js'

const maxListedRequests = 100

/** The part of an endpoint task's attempt that is described. */
export interface DescribedAttempt {
  dispatch: Dispatch
  receivedAtMs: number
  handle: string | undefined
}

type AttemptsDescription = Pick<EndpointState, 'runningCount' | 'running' | 'queues'>

/**
 * Describes the attempts on one endpoint; lists at most the first hundred running ones.
 *
 * @example
 * describeAttempts(attempts, clock.readMonotonic()).queues
 */
export function describeAttempts (attempts: DescribedAttempt[], nowMs: number): AttemptsDescription {
  const running = attempts.filter(attempt => attempt.handle !== undefined)
  const waiting = attempts.filter(attempt => attempt.handle === undefined)
  return {
    runningCount: running.length,
    running: running.slice(0, maxListedRequests).map(attempt => describeRunning(attempt, nowMs)),
    queues: describeQueues(waiting, nowMs)
  }
}

function describeRunning (attempt: DescribedAttempt, nowMs: number): EndpointState['running'][number] {
  const { requestId, attempt: number, className, adapter, version } = attempt.dispatch
  return { requestId, attempt: number, className, adapter, version, handle: attempt.handle ?? '', ageMs: computeAgeMs(attempt, nowMs) }
}

function describeQueues (waiting: DescribedAttempt[], nowMs: number): EndpointState['queues'] {
  const queues = new Map<string, EndpointState['queues'][number]>()
  for (const attempt of waiting) {
    const { className, target } = attempt.dispatch
    const queue = queues.get(className) ?? { className, target: formatTarget(target), queued: 0, oldestMs: 0, dueInMs: Infinity }
    queue.queued++
    queue.oldestMs = Math.max(queue.oldestMs, computeAgeMs(attempt, nowMs))
    queue.dueInMs = Math.min(queue.dueInMs, attempt.dispatch.dueInMs - (nowMs - attempt.receivedAtMs))
    queues.set(className, queue)
  }
  return [...queues.values()]
}

function computeAgeMs (attempt: DescribedAttempt, nowMs: number): number {
  return attempt.dispatch.ageMs + nowMs - attempt.receivedAtMs
}

/** Creates the decision for a failed load. It names no request, as it concerns all that wait for the adapter. */
export function createFailedLoadDecision (
  endpointId: string, { adapter, version }: PlannedLoad, handle: string, message: string
): DecisionDraft {
  return { kind: 'fail', endpointId, adapter, version, handle, considered: [], chosen: 'load failed', reason: message, waits: [] }
}

/** Creates the message that notifies the gateway that its attempt was sent to the engine, and what it waited for. */
export function createDispatchedMessage ({ requestId, attempt, handle, decision }: PlannedDispatch): PeerMessageOf<'dispatched'> {
  return { type: 'dispatched', requestId, attempt, handle, waits: decision.waits }
}

/** Creates the decision that records a connection loss after which the engine is asked for the rest of the answer. */
export function createResumeDecision ({ decision, handle }: PlannedDispatch, resumeFrom: number): DecisionDraft {
  const reason = `the connection broke; the engine is asked for the rest, from event ${resumeFrom} on`
  return { ...decision, kind: 'resume', handle, reason, considered: [], waits: [] }
}

/**
 * Formats the key of an attempt, unique among the attempts on an endpoint.
 *
 * @example
 * formatAttemptKey({ requestId: 'req-1', attempt: 2 }) // 'req-1/2'
 */
export function formatAttemptKey ({ requestId, attempt }: { requestId: string, attempt: number }): string {
  return `${requestId}/${attempt}`
}
