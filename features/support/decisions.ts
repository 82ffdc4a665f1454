/** Decisions for tests. */
import type { Decision, DecisionDraft } from '../../src/schemas/decision.js'

/** Creates a draft with what matters to a test. */
export function createDecision (kind: Decision['kind'], fields: Partial<DecisionDraft> = {}): DecisionDraft {
  return { kind, considered: [], chosen: 'chosen', reason: 'a reason', waits: [], ...fields }
}
