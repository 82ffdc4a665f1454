/** Remembers the keys that were added last. */

/**
 * Knows a key until `maxKeys` others were added after it.
 *
 * @example
 * const ended = new RecentKeys(1024)
 * ended.add('front-1.7')
 * ended.has('front-1.7') // true
 */
export class RecentKeys {
  #maxKeys: number
  #keys = new Set<string>()

  constructor (maxKeys: number) {
    this.#maxKeys = maxKeys
  }

  add (key: string): void {
    // Deleting first keeps the set in the order of the last addition.
    this.#keys.delete(key)
    this.#keys.add(key)
    if (this.#keys.size > this.#maxKeys) this.#keys.delete(this.#keys.keys().next().value!)
  }

  has (key: string): boolean {
    return this.#keys.has(key)
  }
}
