/** A caller's answer as it is kept for later: in a row where it is small, else in the object store. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

export const answerHeadSchema = Type.Object({
  status: Type.Integer(),
  headers: Type.Record(Type.String(), Type.String())
})
export type AnswerHead = Static<typeof answerHeadSchema>

export const answerReferenceSchema = Type.Object({
  ...answerHeadSchema.properties,
  /** The body in base64; left out where it stands in the object store. */
  body: Type.Optional(Type.String()),
  objectKey: Type.Optional(Type.String())
})
/** Where an answer is kept. */
export type AnswerReference = Static<typeof answerReferenceSchema>

/** A whole answer. */
export interface StoredAnswer extends AnswerHead {
  body: Uint8Array
}
