/** Creates the decision records of the gateway about calls of plain services. */
import type { DecisionDraft, Wait } from '../../schemas/decision.js'
import type { ServiceEntry } from '../../schemas/hostList.js'
import type { RoutedCall, ServiceResult } from './serviceRouter.js'

type CallDecision = Pick<DecisionDraft, 'kind' | 'chosen' | 'reason'> &
  Partial<Pick<DecisionDraft, 'attempt' | 'endpointId' | 'verdict' | 'waits'>>

/** Describes the admission of a call. */
export function describeAdmittedCall (call: RoutedCall): DecisionDraft {
  const retryRule = call.isRetryable ? 'the call may be retried' : 'the call may run once only'
  return describeCall(call, { kind: 'admit', chosen: call.service, reason: `${call.method} of service "${call.service}"; ${retryRule}` })
}

/** Describes the choice of an endpoint. */
export function describeCallChoice (call: RoutedCall, entry: ServiceEntry, attempt: number, waits: Wait[]): DecisionDraft {
  const reason = 'the least busy live endpoint of the service; an endpoint in another zone counts as busier'
  return describeCall(call, { kind: 'chooseEndpoint', attempt, endpointId: entry.id, chosen: entry.id, reason, waits })
}

/** Describes how an attempt ended: with a response, with a failure that is retried, or with a final failure. */
export function describeCallEnd (call: RoutedCall, result: ServiceResult, retry?: 'retry'): DecisionDraft {
  const { outcome, attempt, endpointId } = result
  const attemptFields = { attempt, ...(endpointId !== '' && { endpointId }) }
  if (outcome.type === 'answered') {
    return describeCall(call, { kind: 'finish', ...attemptFields, verdict: 'ran', chosen: 'answered', reason: `the service responded with status ${outcome.status}` })
  }
  const { verdict, code, message } = outcome.failure
  return describeCall(call, { kind: retry ?? 'fail', ...attemptFields, verdict, chosen: retry ?? code, reason: message })
}

function describeCall (call: RoutedCall, decision: CallDecision): DecisionDraft {
  return { requestId: call.requestId, considered: [], waits: [], ...decision }
}
