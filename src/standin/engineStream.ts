/** The answers of a stand-in engine: kept while they are written and for a while after, so that they can be resumed. */
import type { ServerResponse } from 'node:http'
import type { Clock, Timer } from '../ports/clock.js'
import type { StreamFaults } from './engineFaults.js'

/** A request whose connection is gone goes on for this long. */
const resumeGraceMs = 3000
/** A finished answer can be read again for this long. */
const finishedKeepMs = 5000

const noFaults: StreamFaults = { isStalled: false, cutAfterTokens: undefined, isDuplicated: false, isLate: false }

export interface EngineStreamOptions {
  clock: Clock
  contentType: string
  faults: StreamFaults
  /** Stops the work, because nobody has resumed the answer in time. */
  cancel: () => void
  /** Called when the answer is kept no longer. */
  forget: () => void
}

/** One answer, as numbered frames. */
export class EngineStream {
  #options: EngineStreamOptions
  #frames: string[] = []
  #isFinished = false
  #response: ServerResponse | undefined
  #faults: StreamFaults
  #heldFrame: string | undefined
  #timer: Timer | undefined

  constructor (options: EngineStreamOptions) {
    this.#options = options
    this.#faults = options.faults
  }

  get length (): number {
    return this.#frames.length
  }

  /** Sends the answer from a frame on; the faults hold for the first connection alone, but for a stall. */
  attach (response: ServerResponse, from: number): void {
    this.#timer?.cancel()
    this.#response?.destroy()
    this.#response = response
    this.#heldFrame = undefined
    if (from > 0 || this.#frames.length > 0) this.#faults = { ...noFaults, isStalled: this.#faults.isStalled }
    response.writeHead(200, { 'content-type': this.#options.contentType })
    response.on('close', () => this.#receiveClosed(response))
    for (const frame of this.#frames.slice(from)) response.write(frame)
    if (this.#isFinished) response.end()
  }

  write (frame: string): void {
    this.#frames.push(frame)
    if (this.#response) this.#deliver(this.#response, frame)
  }

  finish (): void {
    this.#isFinished = true
    this.#flushHeld()
    this.#response?.end()
    this.#timer?.cancel()
    this.#timer = this.#options.clock.setTimer(this.#options.forget, finishedKeepMs)
  }

  /** Ends at once; nothing can be resumed. */
  drop (): void {
    this.#timer?.cancel()
    this.#response?.destroy()
    this.#response = undefined
  }

  #deliver (response: ServerResponse, frame: string): void {
    const { isDuplicated, isLate, cutAfterTokens } = this.#faults
    if (isLate && this.#heldFrame === undefined && this.#frames.length % 2 === 1) {
      this.#heldFrame = frame
      return
    }
    response.write(isDuplicated ? frame + frame : frame)
    this.#flushHeld()
    if (cutAfterTokens !== undefined && this.#frames.length >= cutAfterTokens) this.#cut(response)
  }

  #flushHeld (): void {
    if (this.#heldFrame !== undefined) this.#response?.write(this.#heldFrame)
    this.#heldFrame = undefined
  }

  /** Ends the connection with what was written so far. */
  #cut (response: ServerResponse): void {
    this.#response = undefined
    response.socket?.destroySoon()
  }

  #receiveClosed (response: ServerResponse): void {
    if (this.#response === response) this.#response = undefined
    if (this.#isFinished || this.#response) return
    this.#timer?.cancel()
    this.#timer = this.#options.clock.setTimer(() => {
      this.#options.cancel()
      this.#options.forget()
    }, resumeGraceMs)
  }
}
