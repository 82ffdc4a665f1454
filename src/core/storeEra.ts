/** The era of the store: it rises each time that the store is restored from a copy, and row versions start again from the copy's. */

/** Called when the store has been restored; `previous` is the era before. */
export type ReceiveNewEra = (era: number, previous: number) => void

/**
 * Tracks the latest era that this host knows, from responses of the store and from other hosts. Versions of rows can be compared
 * only within one era.
 */
export class StoreEra {
  #current: number | undefined
  #receivers: ReceiveNewEra[] = []
  #changeCount = 0

  /** Undefined while no response has named an era. */
  get current (): number | undefined {
    return this.#current
  }

  /** Number of eras that began since this host started. */
  get changeCount (): number {
    return this.#changeCount
  }

  /** Calls `receive` at each new era, before the response that named it is used. */
  onNewEra (receive: ReceiveNewEra): void {
    this.#receivers.push(receive)
  }

  /**
   * Records the era that a response names. Returns whether the response is of the latest era; one that names none counts as such.
   *
   * @example
   * eras.observe(3) // true; begins era 3 if the last one was 2
   * eras.observe(2) // false: the response is from before the store was restored
   */
  observe (era: number | undefined): boolean {
    if (era === undefined) return true
    const previous = this.#current
    if (previous !== undefined && era <= previous) return era === previous
    this.#current = era
    if (previous === undefined) return true
    this.#changeCount++
    for (const receive of this.#receivers) receive(era, previous)
    return true
  }
}

/** Added to the fencing tokens for each era, so that they rise although versions don't: a century of transactions at 300 a second. */
const fencingStep = 2 ** 40

/**
 * Computes the fencing token of an owner row. Until the store is first restored it is the version of the row, as for hosts that know
 * no eras. `firstEra`: era in which the deployment began to count eras.
 *
 * @example
 * computeFencingToken(41, 1, 1) // 41
 * computeFencingToken(41, 2, 1) // 1099511627817
 */
export function computeFencingToken (version: number, era: number | undefined, firstEra: number | undefined): number {
  return version + fencingStep * Math.max(0, (era ?? 0) - (firstEra ?? era ?? 0))
}
