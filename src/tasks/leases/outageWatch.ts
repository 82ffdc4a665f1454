/** Finds out whether the store is away for all hosts or for this one alone, by asking the others. */
import type { Clock, Timer } from '../../ports/clock.js'

export interface OutageWatchOptions {
  clock: Clock
  /** Milliseconds since the store is known to have answered this host, or another one on whose word it relies. */
  readStoreAgeMs: () => number
  listPeers: () => { host: string, address: string }[]
  /** Asks a host when the store last answered it; undefined where it does not answer. */
  askStoreAge: (address: string) => Promise<number | undefined>
  /** Whether anything depends on the answer. */
  isNeeded: () => boolean
}

/**
 * A store that was not heard of for this long may be away: one renewal and its answer. Two rounds of questions fit before
 * `orderLimitMs`, after which owners give no orders unless the store is away for all.
 */
const awayMs = 1400
/** Time between two rounds of questions, each to all hosts. */
const roundMs = 400
/** How long a peer's word counts. */
const wordTermMs = 1200

interface Word {
  storeAgeMs: number
  heardAtMs: number
}

export class OutageWatch {
  #options: OutageWatchOptions
  #words = new Map<string, Word>()
  #timer: Timer | undefined

  constructor (options: OutageWatchOptions) {
    this.#options = options
  }

  start (): void {
    const round = (): void => {
      if (this.#options.isNeeded() && this.#options.readStoreAgeMs() > awayMs) this.#askAll()
      this.#timer = this.#options.clock.setTimer(round, roundMs)
    }
    round()
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Whether most hosts say that the store is away, and none says that it is there. */
  isOutage (): boolean {
    const { clock, readStoreAgeMs, listPeers } = this.#options
    if (readStoreAgeMs() <= awayMs) return false
    const nowMs = clock.readMonotonic()
    const peers = listPeers()
    let heard = 1
    for (const { host } of peers) {
      const word = this.#words.get(host)
      if (!word || nowMs - word.heardAtMs > wordTermMs) continue
      if (word.storeAgeMs <= awayMs) return false
      heard++
    }
    return heard > (peers.length + 1) / 2
  }

  #askAll (): void {
    const { clock, listPeers, askStoreAge } = this.#options
    for (const { host, address } of listPeers()) {
      askStoreAge(address).then(storeAgeMs => {
        if (storeAgeMs !== undefined) this.#words.set(host, { storeAgeMs, heardAtMs: clock.readMonotonic() })
      })
    }
  }
}
