/** Finds out whether a caller that has ended its side of a connection has left, or still reads the responses to what it sent. */
import type { Clock, Timer } from '../../ports/clock.js'

export interface CallerPresenceOptions {
  clock: Clock
  /** Whether the caller counts as present if nothing that is written to it is reset. */
  isTrusted: boolean
  /** Writes bytes that a caller ignores and the system of one that has left answers with a reset; has no effect if none can be written now. */
  writeProbe: () => void
  /** Bytes written to the connection so far. */
  countWritten: () => number
}

/** Several round trips to callers in other places, within which the reset of a caller that has left fails the next write. */
const checkIntervalMs = 50
/** Checks that found bytes written, without an error, after which a caller is known to read: two intervals without a reset. */
const requiredWrites = 3
/** How often a caller that is known to read is probed, as it may still leave. */
const probeIntervalMs = 150

/**
 * Watches one connection from the end of its caller's side on: writes probes, so that the connection closes if the caller has left. `stop` is
 * to be called when the connection closes.
 *
 * @example
 * const presence = new CallerPresence({ clock, isTrusted: true, writeProbe, countWritten: () => socket.bytesWritten })
 * await presence.waitUntilKnown()
 */
export class CallerPresence {
  #options: CallerPresenceOptions
  #writtenBytes: number
  /** When bytes were last seen to be written, in monotonic milliseconds. */
  #lastWrittenAtMs = -Infinity
  #writes = 0
  #timer: Timer | undefined
  #isStopped = false
  #waiting: (() => void)[] = []

  constructor (options: CallerPresenceOptions) {
    this.#options = options
    this.#writtenBytes = options.countWritten()
    this.#check()
  }

  get isTrusted (): boolean {
    return this.#options.isTrusted
  }

  /** Whether the caller has been written to since it ended its side, without a reset. */
  get isKnown (): boolean {
    return this.isTrusted && this.#writes >= requiredWrites
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
    const { clock, writeProbe } = this.#options
    const nowMs = clock.readMonotonic()
    this.#countWrite(nowMs)
    if (this.#writes < requiredWrites || nowMs - this.#lastWrittenAtMs >= probeIntervalMs) {
      writeProbe()
      this.#countWrite(nowMs)
    }
    if (this.isKnown) this.#wakeWaiting()
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
