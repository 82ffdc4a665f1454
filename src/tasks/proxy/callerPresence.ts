/** Finds out whether a caller that has ended its side of a connection has left, or still reads the responses to what it sent. */
import type { Clock, Timer } from '../../ports/clock.js'

export interface CallerPresenceOptions {
  clock: Clock
  /** Writes bytes that a caller ignores and the system of one that has left answers with a reset; returns false if none can be written now. */
  writeProbe: () => boolean
  /** Bytes written to the connection so far. */
  countWritten: () => number
  /** Called once if nothing could be written for so long that the caller has to be taken for one that has left. */
  onUnknown: () => void
}

/** Several round trips to callers in other places, within which the reset of a caller that has left fails the next write. */
const checkIntervalMs = 50
/** Writes without an error after which the caller is known to read; the first one only causes the reset. */
const requiredWrites = 3
/** How often a caller that is known to read is probed, as it may still leave. */
const probeIntervalMs = 100
/** Leaves time to cancel what runs within half a second of the caller's leaving. */
const maxSilenceMs = 400

/**
 * Watches one connection from the end of its caller's side on. `stop` is to be called when the connection closes, as after a reset.
 *
 * @example
 * const presence = new CallerPresence({ clock, writeProbe, countWritten: () => socket.bytesWritten, onUnknown: () => exchange.withdraw() })
 * await presence.waitUntilKnown()
 */
export class CallerPresence {
  #options: CallerPresenceOptions
  #writtenBytes: number
  /** When bytes were last seen to be written, at first the start, in monotonic milliseconds. */
  #lastWrittenAtMs: number
  #writes = 0
  #hasGivenUp = false
  #timer: Timer | undefined
  #isStopped = false
  #waiting: (() => void)[] = []

  constructor (options: CallerPresenceOptions) {
    this.#options = options
    this.#lastWrittenAtMs = options.clock.readMonotonic()
    this.#writtenBytes = options.countWritten()
    this.#check()
  }

  /** Whether the caller has been written to since it ended its side, without a reset. */
  get isKnown (): boolean {
    return this.#writes >= requiredWrites
  }

  /** Resolves when the caller is known to read, or the connection has closed. */
  async waitUntilKnown (): Promise<void> {
    if (this.isKnown || this.#isStopped) return
    await new Promise<void>(resolve => this.#waiting.push(resolve))
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
    this.#wakeWaiting()
  }

  #check (): void {
    if (this.#isStopped) return
    const { clock, writeProbe, onUnknown } = this.#options
    const nowMs = clock.readMonotonic()
    this.#countWrite(nowMs)
    const isProbeDue = !this.isKnown || nowMs - this.#lastWrittenAtMs >= probeIntervalMs
    if (isProbeDue && writeProbe()) this.#countWrite(nowMs)
    if (this.isKnown) this.#wakeWaiting()
    else if (nowMs - this.#lastWrittenAtMs >= maxSilenceMs && !this.#hasGivenUp) {
      this.#hasGivenUp = true
      onUnknown()
    }
    this.#timer = clock.setTimer(() => this.#check(), checkIntervalMs)
  }

  #countWrite (nowMs: number): void {
    const writtenBytes = this.#options.countWritten()
    if (writtenBytes === this.#writtenBytes) return
    this.#writtenBytes = writtenBytes
    this.#lastWrittenAtMs = nowMs
    this.#writes++
  }

  #wakeWaiting (): void {
    for (const resolve of this.#waiting.splice(0)) resolve()
  }
}
