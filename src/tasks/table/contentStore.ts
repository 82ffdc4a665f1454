/** Stores content: small content in table rows, larger content in the object store. */
import VError from 'verror'
import type { ObjectStore } from '../../ports/objectStore.js'
import type { AnswerReference, ContentReference, StoredAnswer } from '../../schemas/storedAnswer.js'

/** Larger content goes to the object store, so that listing rows stays fast. */
export const maxRowContentBytes = 2048

/** Writes content and returns a reference to store in a row. Rejects where the object store does not respond. */
export async function writeContent (objects: ObjectStore, objectKey: string, bytes: Uint8Array): Promise<ContentReference> {
  if (bytes.length <= maxRowContentBytes) return { body: Buffer.from(bytes).toString('base64') }
  await objects.writeObject(objectKey, bytes)
  return { objectKey }
}

/** Reads content by its reference. Rejects where the object store does not respond or has no such object. */
export async function readContent (objects: ObjectStore, { body, objectKey }: ContentReference): Promise<Uint8Array> {
  if (body !== undefined) return Buffer.from(body, 'base64')
  const bytes = await objects.readObject(objectKey ?? '')
  if (!bytes) throw new VError('object "%s" does not exist', objectKey)
  return bytes
}

/** Removes the content's object from the object store, where it has one. */
export async function removeContent (objects: ObjectStore, { objectKey }: ContentReference): Promise<void> {
  if (objectKey !== undefined) await objects.removeObject(objectKey)
}

/** Writes a complete response; see `writeContent`. */
export async function writeAnswer (objects: ObjectStore, objectKey: string, { status, headers, body }: StoredAnswer): Promise<AnswerReference> {
  return { status, headers, ...await writeContent(objects, objectKey, body) }
}

/** Reads a complete response; see `readContent`. */
export async function readAnswer (objects: ObjectStore, reference: AnswerReference): Promise<StoredAnswer> {
  return { status: reference.status, headers: reference.headers, body: await readContent(objects, reference) }
}
