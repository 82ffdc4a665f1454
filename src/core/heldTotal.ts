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

  get value (): number {
    return this.#value
  }

  openShare (): HeldShare {
    return new HeldShare(amount => { this.#value += amount })
  }
}

/** What one holder holds of a total; created by `HeldTotal.openShare`. */
export class HeldShare {
  #change: (amount: number) => void
  #amount = 0
  #isReleased = false

  constructor (change: (amount: number) => void) {
    this.#change = change
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
    this.#change(-this.#amount)
  }
}
