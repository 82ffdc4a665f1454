/** Has senders whose small chunks cost much time read one after the other, with as much time left for everything else. */
import type { Clock } from '../../ports/clock.js'

/** A connection whose reading can be stopped for some time. */
export interface DelayedReader {
  pauseReading: () => void
  resumeReading: () => void
}

/** Least time between two turns. */
const minTurnMs = 2

/**
 * Delays connections whose reads cost time. Each read of 64 KB of one-byte chunks takes about 20 ms on the event loop, so that many such
 * senders would otherwise take all of it.
 *
 * @example
 * const turns = new ReadingTurns(clock)
 * turns.delay(connection, 20)
 */
export class ReadingTurns {
  #clock: Clock
  #isCrowded: () => boolean
  #waiting = new Set<DelayedReader>()
  #isScheduled = false

  /** `isCrowded`: whether turns are put off, as connections wait to be accepted; never if left out. */
  constructor (clock: Clock, isCrowded: () => boolean = () => false) {
    this.#clock = clock
    this.#isCrowded = isCrowded
  }

  /** Stops reading from a connection until its next turn; `costMs`: time that its last read took. */
  delay (reader: DelayedReader, costMs: number): void {
    reader.pauseReading()
    this.#waiting.add(reader)
    this.#schedule(costMs)
  }

  /** Withdraws a connection that has closed. */
  withdraw (reader: DelayedReader): void {
    this.#waiting.delete(reader)
  }

  #schedule (costMs: number): void {
    if (this.#isScheduled) return
    this.#isScheduled = true
    this.#clock.setTimer(() => {
      this.#isScheduled = false
      const [next] = this.#waiting
      if (!next) return
      if (this.#isCrowded()) {
        this.#schedule(minTurnMs)
        return
      }
      this.#waiting.delete(next)
      next.resumeReading()
      // A connection that sends nothing then does not hold up the others.
      if (this.#waiting.size > 0) this.#schedule(costMs)
    }, Math.max(minTurnMs, costMs))
  }
}
