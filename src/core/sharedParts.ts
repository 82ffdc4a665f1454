/** Prompt segments that requests share, by which requests with one of them in common are recognized. */
import type { CallerRequest } from '../schemas/callerRequest.js'

/**
 * Lists the distinct ids of a request's prompt segments, without the last one, which belongs to the request or its session.
 *
 * @example
 * listSharedParts({ promptSegments: [{ id: '5c1e', tokens: 800 }, { id: '91bd', tokens: 410 }, { id: 'e440', tokens: 250 }] }) // ['5c1e', '91bd']
 */
export function listSharedParts ({ promptSegments }: Pick<CallerRequest, 'promptSegments'>): string[] {
  return [...new Set(promptSegments.slice(0, -1).map(({ id }) => id))]
}
