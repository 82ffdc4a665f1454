/** Names streams by the request that began them, so that no caller can refer to another caller's stream. */
import { createHash } from 'node:crypto'
import type { CallerRequest } from '../schemas/callerRequest.js'
import type { Route } from '../schemas/routing.js'

/** Length in hexadecimal digits: 128 bits, so that callers cannot choose ids whose keys collide. */
const keyDigits = 32

/**
 * Computes the key of the stream that a caller's request began on a route. Ids are the callers' own words, of any length.
 *
 * @example
 * computeStreamKey('9c41d07be2a35f68', { callerKey: '' }, route) // '6d1e…', the same on every host
 */
export function computeStreamKey (requestId: string, { callerKey }: Pick<CallerRequest, 'callerKey'>, { hostname, prefix }: Pick<Route, 'hostname' | 'prefix'>): string {
  return createHash('sha256').update(JSON.stringify([hostname, prefix, callerKey, requestId])).digest('hex').slice(0, keyDigits)
}
