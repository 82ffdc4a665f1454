/** Counts what was granted within the last window. */

/** Parts of a window that are counted together; what lies in the oldest one counts as a whole, until all of it is outside the window. */
const slotsPerWindow = 16

export class GrantLog {
  #slotMs: number
  /** Sums by the number of the slot, oldest first. */
  #slots = new Map<number, number>()
  #sum = 0

  /**
   * @example
   * const log = new GrantLog(8000)
   * log.add(500, nowMs)
   * log.sum(nowMs + 4000) // 500
   */
  constructor (windowMs: number) {
    this.#slotMs = windowMs / slotsPerWindow
  }

  /** Records an amount, in tokens or requests, granted at a monotonic time in milliseconds. */
  add (amount: number, nowMs: number): void {
    this.#removeExpired(nowMs)
    const slot = Math.floor(nowMs / this.#slotMs)
    this.#slots.set(slot, (this.#slots.get(slot) ?? 0) + amount)
    this.#sum += amount
  }

  /** Returns at least what was granted within the window that ends now. */
  sum (nowMs: number): number {
    this.#removeExpired(nowMs)
    return this.#sum
  }

  clear (): void {
    this.#slots.clear()
    this.#sum = 0
  }

  #removeExpired (nowMs: number): void {
    const firstSlot = Math.floor(nowMs / this.#slotMs) - slotsPerWindow
    for (const [slot, amount] of this.#slots) {
      if (slot >= firstSlot) break
      this.#slots.delete(slot)
      this.#sum -= amount
    }
    // Ends the rounding errors of sums and differences.
    if (this.#slots.size === 0) this.#sum = 0
  }
}
