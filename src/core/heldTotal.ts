/** A total of what many holders hold, such as the bytes of all request bodies in memory. */

/**
 * Sums what is held, in shares of which each is given back as a whole, so that nothing can be added behind the last part that was
 * taken off.
 *
 * @example
 * const total = new HeldTotal()
 * const share = total.openShare()
 * share.add(3)
 * total.value // 3
 * share.release()
 * share.add(2) // no effect
 * total.value // 0
 */
export class HeldTotal {
  #value = 0
  /** Open shares whose holder can be made to give up. */
  #evictable = new Set<HeldShare>()

  get value (): number {
    return this.#value
  }

  /** `evict`: has the holder give its share back; left out for a holder that never does. */
  openShare (evict?: () => void): HeldShare {
    const share = new HeldShare(amount => { this.#value += amount }, () => this.#evictable.delete(share), evict)
    if (evict) this.#evictable.add(share)
    return share
  }

  /** Has the largest share that can be evicted given back, if it is larger than this; returns whether there was one. */
  evictLargest (thanAmount: number): boolean {
    let largest: HeldShare | undefined
    for (const share of this.#evictable) if (share.amount > (largest?.amount ?? thanAmount)) largest = share
    largest?.evict()
    return largest !== undefined
  }
}

/** What one holder holds of a total; created by `HeldTotal.openShare`. */
export class HeldShare {
  #change: (amount: number) => void
  #pin: () => void
  #evict: (() => void) | undefined
  #amount = 0
  #isReleased = false

  constructor (change: (amount: number) => void, pin: () => void, evict: (() => void) | undefined) {
    this.#change = change
    this.#pin = pin
    this.#evict = evict
  }

  get amount (): number {
    return this.#amount
  }

  evict (): void {
    this.#evict?.()
  }

  /** From now on, the share is not evicted. */
  pin (): void {
    this.#pin()
  }

  /** Adds to the share; has no effect once it was given back. */
  add (amount: number): void {
    if (this.#isReleased) return
    this.#amount += amount
    this.#change(amount)
  }

  /** Gives the whole share back; has no effect when called again. */
  release (): void {
    if (this.#isReleased) return
    this.#isReleased = true
    this.#pin()
    this.#change(-this.#amount)
  }
}
