/** Describes what the gateway decides about a request. */
import { formatAdapter } from '../../core/formatAdapter.js'
import { formatTarget } from '../../core/formatTarget.js'
import type { DecisionDraft } from '../../schemas/decision.js'
import type { RoutedRequest } from './routedRequest.js'

/** What differs from one decision to the next. */
export type RequestDecision = Pick<DecisionDraft, 'kind' | 'chosen' | 'reason'> &
  Partial<Pick<DecisionDraft, 'attempt' | 'endpointId' | 'handle' | 'verdict' | 'waits'>>

/**
 * Describes a decision about a request.
 *
 * @example
 * recordDecision(describeDecision(request, { kind: 'finish', attempt: 1, chosen: 'answered', reason: 'the answer is whole' }))
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

/** Describes the admission, at which version, class and target are fixed. */
export function describeAdmission (request: RoutedRequest): DecisionDraft {
  const chosen = formatAdapter(request.adapter, request.version)
  const reason = `version "${request.version}" is fixed for the request; class "${request.className}" promises ${formatTarget(request.target)}`
  return describeDecision(request, { kind: 'admit', chosen, reason })
}
