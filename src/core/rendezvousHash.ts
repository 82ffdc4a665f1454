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
  return hashBits(hash)
}

function hashBits (value: number): number {
  let hash = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Keeps a pair apart from the same names the other way round: 2^32 over the golden ratio, as in multiplicative hashing. */
const orderFactor = 0x9e3779b1
/** Hashes that are kept; a deployment has fewer hosts and endpoints, and names come and go. */
const maxKeptHashes = 4096

/**
 * Hashes pairs of names. Each name is read once, so that ranking all hosts for all endpoints costs a few operations a pair.
 *
 * @example
 * const hashes = new PairHashes()
 * hashes.compute('engine-2', 'host-7') // the same number on every host
 */
export class PairHashes {
  #hashes = new Map<string, number>()

  compute (left: string, right: string): number {
    return hashBits(Math.imul(this.#find(left), orderFactor) ^ this.#find(right))
  }

  #find (name: string): number {
    const known = this.#hashes.get(name)
    if (known !== undefined) return known
    if (this.#hashes.size >= maxKeptHashes) this.#hashes.clear()
    const hash = computeHash(name)
    this.#hashes.set(name, hash)
    return hash
  }
}
