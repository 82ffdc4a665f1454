/** Stored content and responses: small ones are kept in a row, others in the object store. */
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'

const contentFields = {
  /** The content in base64; absent if it is in the object store. */
  body: Type.Optional(Type.String()),
  objectKey: Type.Optional(Type.String())
}
export const contentReferenceSchema = Type.Object(contentFields)
/** Content stored inline or in the object store. */
export type ContentReference = Static<typeof contentReferenceSchema>

export const answerReferenceSchema = Type.Object({
  status: Type.Integer(),
  headers: Type.Record(Type.String(), Type.String()),
  ...contentFields
})
/** A response whose body is stored inline or in the object store. */
export type AnswerReference = Static<typeof answerReferenceSchema>

/** A complete response. */
export interface StoredAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}
