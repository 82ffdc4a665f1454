/** Rendezvous hashing: every host ranks the same endpoints in the same order for an adapter, with no messages. */

/**
 * Computes a 32-bit hash of a text (FNV-1a with a final mix).
 *
 * @example
 * computeHash('cluj-tax@3 engine-2') // the same number on every host
 */
export function computeHash (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
