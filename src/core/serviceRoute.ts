/** Which calls of a plain service may be repeated. */
import type { ServiceRecord } from '../schemas/configuration.js'

const methodsWithoutEffect = new Set(['GET', 'HEAD', 'OPTIONS'])

/**
 * Tells whether a call may run twice; the longest registered path that matches decides.
 *
 * @example
 * isCallIdempotent(record, 'POST', '/kits/7') // true where the operators registered it so
 */
export function isCallIdempotent (record: ServiceRecord, method: string, path: string): boolean {
  const matching = record.routes
    .filter(route => route.method === method && isPathWithin(path, route.path))
    .sort((left, right) => right.path.length - left.path.length)[0]
  return matching?.idempotent ?? methodsWithoutEffect.has(method)
}

function isPathWithin (path: string, prefix: string): boolean {
  const [plain = ''] = path.split('?')
  const folder = prefix.endsWith('/') ? prefix : `${prefix}/`
  return plain === prefix || plain.startsWith(folder)
}
