/** Keeps content: small in rows, else in the object store. */
import VError from 'verror'
import type { Objects } from '../../ports/objects.js'
import type { AnswerReference, ContentReference, StoredAnswer } from '../../schemas/storedAnswer.js'

/** Larger content goes to the object store, so that rows stay quick to list. */
export const maxRowContentBytes = 2048

/** Writes content; the reference is for a row. Rejects where the object store gives no answer. */
export async function writeContent (objects: Objects, objectKey: string, bytes: Uint8Array): Promise<ContentReference> {
  if (bytes.length <= maxRowContentBytes) return { body: Buffer.from(bytes).toString('base64') }
  await objects.writeObject(objectKey, bytes)
  return { objectKey }
}

/** Reads content back. Rejects where the object store gives no answer. */
export async function readContent (objects: Objects, { body, objectKey }: ContentReference): Promise<Uint8Array> {
  if (body !== undefined) return Buffer.from(body, 'base64')
  const bytes = await objects.readObject(objectKey ?? '')
  if (!bytes) throw new VError('object "%s" does not exist', objectKey)
  return bytes
}

/** Removes the object of some content, where it has one. */
export async function removeContent (objects: Objects, { objectKey }: ContentReference): Promise<void> {
  if (objectKey !== undefined) await objects.removeObject(objectKey)
}

/** Writes a whole answer; see `writeContent`. */
export async function writeAnswer (objects: Objects, objectKey: string, { status, headers, body }: StoredAnswer): Promise<AnswerReference> {
  return { status, headers, ...await writeContent(objects, objectKey, body) }
}

/** Reads a whole answer back; see `readContent`. */
export async function readAnswer (objects: Objects, reference: AnswerReference): Promise<StoredAnswer> {
  return { status: reference.status, headers: reference.headers, body: await readContent(objects, reference) }
}
