/** Creates decisions for tests. */
import type { Decision, DecisionDraft } from '../../src/schemas/decision.js'

/** Creates a decision draft from the fields that matter to a test, with placeholders for the others. */
export function createDecision (kind: Decision['kind'], fields: Partial<DecisionDraft> = {}): DecisionDraft {
  return { kind, considered: [], chosen: 'chosen', reason: 'a reason', waits: [], ...fields }
}
