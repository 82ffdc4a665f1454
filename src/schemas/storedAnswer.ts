/** Content and answers as they are kept for later: in a row where small, else in the object store. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

const contentFields = {
  /** The content in base64; left out where it stands in the object store. */
  body: Type.Optional(Type.String()),
  objectKey: Type.Optional(Type.String())
}
export const contentReferenceSchema = Type.Object(contentFields)
/** Where content is kept. */
export type ContentReference = Static<typeof contentReferenceSchema>

export const answerReferenceSchema = Type.Object({
  status: Type.Integer(),
  headers: Type.Record(Type.String(), Type.String()),
  ...contentFields
})
/** Where an answer is kept. */
export type AnswerReference = Static<typeof answerReferenceSchema>

/** A whole answer. */
export interface StoredAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}
