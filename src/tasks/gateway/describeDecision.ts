/** Creates the decision records of the gateway's requests. */
import { formatAdapterVersion } from '../../core/handleFormat.js'
import { formatTarget } from '../../core/formatTarget.js'
import type { DecisionDraft } from '../../schemas/decision.js'
import type { RoutedRequest } from './routedRequest.js'

/** The fields that differ between the decisions about one request. */
export type RequestDecision = Pick<DecisionDraft, 'kind' | 'chosen' | 'reason'> &
  Partial<Pick<DecisionDraft, 'attempt' | 'endpointId' | 'handle' | 'verdict' | 'waits'>>

/**
 * Creates the record of a decision about a request.
 *
 * @example
 * recordDecision(describeDecision(request, { kind: 'finish', attempt: 1, chosen: 'answered', reason: 'the whole answer was sent' }))
 */
export function describeDecision (request: RoutedRequest, decision: RequestDecision): DecisionDraft {
  return {
    requestId: request.requestId,
    className: request.className,
    adapter: request.adapter,
    version: request.version,
    considered: [],
    waits: [],
    ...decision
  }
}

/** Creates the record of a request's admission, which fixes its adapter version, class and target. */
export function describeAdmission (request: RoutedRequest): DecisionDraft {
  const chosen = formatAdapterVersion(request.adapter, request.version)
  const reason = `version "${request.version}" is fixed for the request; class "${request.className}" promises ${formatTarget(request.target)}`
  return describeDecision(request, { kind: 'admit', chosen, reason })
}
