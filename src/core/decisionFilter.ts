/** Filters the decisions that a watcher receives. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import type { Decision } from '../schemas/decision.js'

/** A decision must match every given field; an empty filter selects all decisions. */
export const decisionFilterSchema = Type.Object({
  class: Type.Optional(Type.String()),
  adapter: Type.Optional(Type.String()),
  endpoint: Type.Optional(Type.String()),
  host: Type.Optional(Type.String()),
  request: Type.Optional(Type.String())
}, { additionalProperties: false })
export type DecisionFilter = Static<typeof decisionFilterSchema>

/**
 * Returns whether a filter selects a decision.
 *
 * @example
 * isDecisionSelected({ class: 'counter' }, decision)
 */
export function isDecisionSelected (filter: DecisionFilter, decision: Decision): boolean {
  return isMatch(filter.class, decision.className) &&
    isMatch(filter.adapter, decision.adapter) &&
    isMatch(filter.endpoint, decision.endpointId) &&
    isMatch(filter.host, decision.host) &&
    isMatch(filter.request, decision.requestId)
}

function isMatch (expected: string | undefined, value: string | undefined): boolean {
  return expected === undefined || expected === value
}
