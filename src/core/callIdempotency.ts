/** Decides which calls to a plain HTTP service may be retried. */
import type { ServiceRecord } from '../schemas/configuration.js'

/** Safe methods as RFC 9110 defines them, without the rarely used TRACE. */
const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS'])

/**
 * Whether a call may run twice. The longest registered path that matches decides; without a match, only safe methods may.
 *
 * @example
 * isCallIdempotent(record, 'POST', '/kits/7') // true if the operators registered this route as idempotent
 */
export function isCallIdempotent (record: ServiceRecord, method: string, path: string): boolean {
  const longestMatch = record.routes
    .filter(route => route.method === method && isPathWithin(path, route.path))
    .sort((left, right) => right.path.length - left.path.length)[0]
  return longestMatch?.idempotent ?? safeMethods.has(method)
}

function isPathWithin (path: string, prefix: string): boolean {
  const [pathname = ''] = path.split('?')
  const directory = prefix.endsWith('/') ? prefix : `${prefix}/`
  return pathname === prefix || pathname.startsWith(directory)
}
