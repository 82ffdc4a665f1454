/** Prompt segments that requests share, by which requests with one of them in common are recognized. */
import { createHash } from 'node:crypto'
import type { CallerRequest } from '../schemas/callerRequest.js'

/** Longer names are replaced by a hash, as they become part of keys in the store. */
const maxNameLength = 40
const plainNamePattern = /^[\w.@-]+$/
/** Separates a part from the adapter version in the name of a combination. */
const combinationMark = '~'

/**
 * Lists the distinct ids of a request's prompt segments, without the last one, which belongs to the request or its session.
 *
 * @example
 * listSharedParts({ promptSegments: [{ id: '5c1e', tokens: 800 }, { id: '91bd', tokens: 410 }, { id: 'e440', tokens: 250 }] }) // ['5c1e', '91bd']
 */
export function listSharedParts ({ promptSegments }: Pick<CallerRequest, 'promptSegments'>): string[] {
  return [...new Set(promptSegments.slice(0, -1).map(({ id }) => fitName(id)))]
}

/**
 * Lists what may make a request crash an engine: its shared parts, and each of them together with the adapter version, as a part
 * may crash engines on some versions only.
 *
 * @example
 * listSuspectParts(request, 2) // ['5c1e', '91bd', '5c1e~a3@2', '91bd~a3@2']
 */
export function listSuspectParts (request: Pick<CallerRequest, 'promptSegments' | 'adapter'>, version: number): string[] {
  const parts = listSharedParts(request)
  const adapterVersion = fitName(`${request.adapter}@${version}`)
  return request.adapter === '' ? parts : [...parts, ...parts.map(part => `${part}${combinationMark}${adapterVersion}`)]
}

/**
 * Whether a name that `listSuspectParts` returns stands for a part together with an adapter version.
 *
 * @example
 * isCombination('5c1e~a3@2') // true
 */
export function isCombination (part: string): boolean {
  return part.includes(combinationMark)
}

function fitName (name: string): string {
  return name.length <= maxNameLength && plainNamePattern.test(name) ? name : createHash('sha1').update(name).digest('hex')
}
