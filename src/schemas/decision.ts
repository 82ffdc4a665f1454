/** Record of one decision: the candidates, the choice and the reason. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

export const waitCauseSchema = Type.Union([
  Type.Literal('queue'),
  Type.Literal('slot'),
  Type.Literal('load'),
  Type.Literal('budget'),
  Type.Literal('batch')
])
export type WaitCause = Static<typeof waitCauseSchema>

export const waitSchema = Type.Object({ cause: waitCauseSchema, ms: Type.Number() })
export type Wait = Static<typeof waitSchema>

export const candidateSchema = Type.Object({
  /** An endpoint, a handle or a request. */
  name: Type.String(),
  /** Expected cost in milliseconds; lower is better. */
  costMs: Type.Number(),
  note: Type.String()
})
export type Candidate = Static<typeof candidateSchema>

export const decisionKindSchema = Type.Union([
  Type.Literal('admit'),
  Type.Literal('refuse'),
  Type.Literal('chooseEndpoint'),
  Type.Literal('dispatch'),
  Type.Literal('load'),
  Type.Literal('unload'),
  Type.Literal('resume'),
  Type.Literal('retry'),
  Type.Literal('finish'),
  Type.Literal('fail'),
  Type.Literal('ownership'),
  Type.Literal('configuration'),
  Type.Literal('membership'),
  Type.Literal('job'),
  Type.Literal('suspect')
])

export const decisionSchema = Type.Object({
  kind: decisionKindSchema,
  /** Wall-clock time on the deciding host, for display only. */
  atMs: Type.Number(),
  host: Type.String(),
  requestId: Type.Optional(Type.String()),
  attempt: Type.Optional(Type.Integer()),
  className: Type.Optional(Type.String()),
  adapter: Type.Optional(Type.String()),
  version: Type.Optional(Type.String()),
  endpointId: Type.Optional(Type.String()),
  handle: Type.Optional(Type.String()),
  verdict: Type.Optional(Type.String()),
  considered: Type.Array(candidateSchema),
  chosen: Type.String(),
  reason: Type.String(),
  waits: Type.Array(waitSchema)
})
export type Decision = Static<typeof decisionSchema>

/** A decision as the core returns it, before the host adds its name and the time. */
export type DecisionDraft = Omit<Decision, 'atMs' | 'host'>

/** Records a decision; the log, the live feed and `explain` all use the same records. */
export type RecordDecision = (draft: DecisionDraft) => void
