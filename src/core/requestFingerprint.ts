/** Computes fingerprints of requests, so that a request that is sent again under another id is recognized. */
import { createHash } from 'node:crypto'
import type { CallerRequest } from '../schemas/callerRequest.js'

/** Length in hexadecimal digits: 64 bits, so that the distinct requests of a day do not collide. */
const fingerprintDigits = 16

/**
 * Computes a hash of a request's path, caller key and whole body. It leaves out what may differ when the request is sent again,
 * such as its id, its remaining time or the events that its caller has received.
 *
 * @example
 * computeRequestFingerprint({ path: '/a/x', callerKey: '', body: Buffer.from('a question') }) // '6d1e…', the same on every host
 */
export function computeRequestFingerprint ({ path, callerKey, body }: Pick<CallerRequest, 'path' | 'callerKey' | 'body'>): string {
  const hash = createHash('sha1').update(`${path.length} ${path}${callerKey.length} ${callerKey}`)
  return (body ? hash.update(body) : hash).digest('hex').slice(0, fingerprintDigits)
}
