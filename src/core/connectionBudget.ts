/** Bounds what all connections of callers hold together, in bytes and in number, and decides which one is closed first. */

export interface ConnectionBudgetOptions {
  /** Limit on the bytes that all connections hold. */
  maxBytes: number
  maxConnections: number
}

export type BudgetReason = 'bytes' | 'connections'

/**
 * Counts connections and the bytes that each holds. Beyond a limit, the connection that holds most is closed; for the number of
 * connections, the one that has been idle longest goes before it.
 *
 * @example
 * const budget = new ConnectionBudget({ maxBytes: 1000, maxConnections: 100 })
 * const share = budget.open(reason => socket.destroy())
 * share.add(1001) // closes the connection
 * budget.heldBytes // 0
 */
export class ConnectionBudget {
  #options: ConnectionBudgetOptions
  #shares = new Set<ConnectionShare>()
  #heldBytes = 0

  constructor (options: ConnectionBudgetOptions) {
    this.#options = options
  }

  get heldBytes (): number {
    return this.#heldBytes
  }

  get connectionCount (): number {
    return this.#shares.size
  }

  /** Adds a connection; `close` is called at most once, if it is to be closed because of a limit. */
  open (close: (reason: BudgetReason) => void): ConnectionShare {
    const share = new ConnectionShare({
      close,
      change: bytes => {
        this.#heldBytes += bytes
        if (bytes > 0) while (this.#heldBytes > this.#options.maxBytes) this.#findLargest()!.closeFor('bytes')
      },
      // The last one in the order of the set has been idle for the shortest time.
      moveBehind: () => {
        this.#shares.delete(share)
        this.#shares.add(share)
      },
      remove: () => { this.#shares.delete(share) }
    })
    if (this.#shares.size >= this.#options.maxConnections) (this.#findIdle() ?? this.#findLargest())?.closeFor('connections')
    this.#shares.add(share)
    return share
  }

  #findIdle (): ConnectionShare | undefined {
    for (const share of this.#shares) if (share.isIdle) return share
    return undefined
  }

  #findLargest (): ConnectionShare | undefined {
    let largest: ConnectionShare | undefined
    for (const share of this.#shares) if (!largest || share.bytes > largest.bytes) largest = share
    return largest
  }
}

interface ConnectionShareOptions {
  close: (reason: BudgetReason) => void
  change: (bytes: number) => void
  moveBehind: () => void
  remove: () => void
}

/** What one connection holds; created by `ConnectionBudget.open`. */
export class ConnectionShare {
  #options: ConnectionShareOptions
  #bytes = 0
  #isIdle = true
  #isReleased = false

  constructor (options: ConnectionShareOptions) {
    this.#options = options
  }

  get bytes (): number {
    return this.#bytes
  }

  get isIdle (): boolean {
    return this.#isIdle
  }

  /** Adds bytes, or removes them if negative; has no effect after `release`. */
  add (bytes: number): void {
    if (this.#isReleased || bytes === 0) return
    this.#bytes += bytes
    this.#options.change(bytes)
  }

  /** Records whether a request of the connection is in progress. */
  setIdle (isIdle: boolean): void {
    if (this.#isReleased || this.#isIdle === isIdle) return
    this.#isIdle = isIdle
    if (isIdle) this.#options.moveBehind()
  }

  closeFor (reason: BudgetReason): void {
    if (this.#isReleased) return
    this.release()
    this.#options.close(reason)
  }

  /** Gives back what the connection holds; has no effect when called again. */
  release (): void {
    if (this.#isReleased) return
    this.#isReleased = true
    this.#options.remove()
    this.#options.change(-this.#bytes)
    this.#bytes = 0
  }
}
