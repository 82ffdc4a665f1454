/** Tells what requests ask apart, so that one that comes again under another id is known again. */
import { createHash } from 'node:crypto'
import type { CallerRequest } from '../schemas/callerRequest.js'

/** Hexadecimal digits that are kept: 64 bits, so that no two of the contents of a day are taken for one. */
const hashDigits = 16

/**
 * Computes a hash of a request's path, caller and whole body. What may vary when it comes again, as its id, its time left or
 * the events that its caller has, is not part of it.
 *
 * @example
 * hashContent({ path: '/a/x', callerKey: '', body: Buffer.from('a question') }) // '6d1e…', the same on every host
 */
export function hashContent ({ path, callerKey, body }: Pick<CallerRequest, 'path' | 'callerKey' | 'body'>): string {
  const hash = createHash('sha1').update(`${path.length} ${path}${callerKey.length} ${callerKey}`)
  return (body ? hash.update(body) : hash).digest('hex').slice(0, hashDigits)
}
