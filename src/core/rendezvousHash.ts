/** Rendezvous hashing: all hosts rank endpoints in the same order for an adapter, without messages. */

/**
 * Computes a 32-bit hash of a text (FNV-1a with a finalizer).
 *
 * @example
 * computeHash('cluj-tax@3 engine-2') // the same number on every host
 */
export function computeHash (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  return mixBits(hash)
}

/** Mixes the bits of a hash with the MurmurHash3 finalizer. */
function mixBits (value: number): number {
  let hash = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Makes the hash of a pair depend on the order of its names: 2^32 over the golden ratio, as in multiplicative hashing. */
const orderMultiplier = 0x9e3779b1
/** Maximum number of cached hashes: more than a deployment's hosts and endpoints, but bounded, as names change over time. */
const maxCachedHashes = 4096

/**
 * Hashes pairs of names. The hash of each name is cached, so that ranking all hosts for all endpoints costs a few operations
 * per pair.
 *
 * @example
 * const hasher = new PairHasher()
 * hasher.compute('engine-2', 'host-7') // the same number on every host
 */
export class PairHasher {
  #hashes = new Map<string, number>()

  compute (left: string, right: string): number {
    return mixBits(Math.imul(this.#getHash(left), orderMultiplier) ^ this.#getHash(right))
  }

  #getHash (name: string): number {
    const cached = this.#hashes.get(name)
    if (cached !== undefined) return cached
    if (this.#hashes.size >= maxCachedHashes) this.#hashes.clear()
    const hash = computeHash(name)
    this.#hashes.set(name, hash)
    return hash
  }
}
