/** Decides which new connection is read next where more arrive than are read. */

interface WaitingConnection {
  readonly bytes: number
}

/**
 * Holds new connections whose first bytes have arrived. The one with the fewest bytes is next, as reading it delays the others least: an ordinary
 * request comes before connections that send as much as the system takes. Every second one that is not short is the one that has waited longest.
 *
 * @example
 * const order = new FirstReadOrder<string>(8192)
 * order.add('crowd', 65_536)
 * order.add('ordinary', 400)
 * order.takeShort() // 'ordinary'
 * order.takeShort() // undefined
 * order.takeAny() // 'crowd'
 */
export class FirstReadOrder<Connection> {
  /** In the order of their arrival. */
  #waiting = new Map<Connection, WaitingConnection>()
  #maxShortBytes: number
  #isOldestNext = false

  constructor (maxShortBytes: number) {
    this.#maxShortBytes = maxShortBytes
  }

  get size (): number {
    return this.#waiting.size
  }

  add (connection: Connection, bytes: number): void {
    this.#waiting.set(connection, { bytes })
  }

  remove (connection: Connection): void {
    this.#waiting.delete(connection)
  }

  /** Takes the connection with the fewest bytes, if these are few; undefined otherwise. */
  takeShort (): Connection | undefined {
    const shortest = this.#findShortest()
    if (shortest === undefined || this.#waiting.get(shortest)!.bytes > this.#maxShortBytes) return undefined
    this.#waiting.delete(shortest)
    return shortest
  }

  /** Takes the connection with the fewest bytes and the one that has waited longest by turns; undefined if none waits. */
  takeAny (): Connection | undefined {
    const [oldest] = this.#waiting.keys()
    const next = this.#isOldestNext ? oldest : this.#findShortest()
    this.#isOldestNext = !this.#isOldestNext
    if (next !== undefined) this.#waiting.delete(next)
    return next
  }

  #findShortest (): Connection | undefined {
    let found: Connection | undefined
    let fewest = Infinity
    for (const [connection, { bytes }] of this.#waiting) {
      if (bytes >= fewest) continue
      found = connection
      fewest = bytes
    }
    return found
  }
}
