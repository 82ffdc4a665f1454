/** Keeps answers: small ones in rows, others in the object store. */
import VError from 'verror'
import type { Objects } from '../../ports/objects.js'
import type { AnswerReference, StoredAnswer } from '../../schemas/storedAnswer.js'

/** Larger bodies go to the object store, so that rows stay quick to list. */
export const maxRowBodyBytes = 2048

/** Writes an answer; the reference is for a row. Rejects where the object store gives no answer. */
export async function writeAnswer (objects: Objects, objectKey: string, answer: StoredAnswer): Promise<AnswerReference> {
  const { status, headers, body } = answer
  if (body.length <= maxRowBodyBytes) return { status, headers, body: Buffer.from(body).toString('base64') }
  await objects.writeObject(objectKey, body)
  return { status, headers, objectKey }
}

/** Reads an answer back. Rejects where the object store gives no answer. */
export async function readAnswer (objects: Objects, reference: AnswerReference): Promise<StoredAnswer> {
  const { status, headers, body, objectKey } = reference
  if (body !== undefined) return { status, headers, body: Buffer.from(body, 'base64') }
  const bytes = await objects.readObject(objectKey ?? '')
  if (!bytes) throw new VError('object "%s" does not exist', objectKey)
  return { status, headers, body: bytes }
}

/** Removes the object of an answer, where it has one. */
export async function removeAnswer (objects: Objects, reference: AnswerReference): Promise<void> {
  if (reference.objectKey !== undefined) await objects.removeObject(reference.objectKey)
}
