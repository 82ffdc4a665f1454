/** Writes the answer to one caller, with backpressure, and notices when the caller leaves. */
import type { ServerResponse } from 'node:http'

export class CallerAnswer {
  #response: ServerResponse
  #isEnded = false

  constructor (response: ServerResponse, receiveLeft: () => void) {
    this.#response = response
    response.on('close', () => {
      if (this.#isEnded) return
      this.#isEnded = true
      receiveLeft()
    })
    // The close that follows is what matters.
    response.on('error', () => {})
  }

  get isEnded (): boolean {
    return this.#isEnded
  }

  get hasHead (): boolean {
    return this.#response.headersSent
  }

  writeHead (status: number, headers: readonly string[]): void {
    if (!this.#isEnded) this.#response.writeHead(status, [...headers])
  }

  /** Returns false where the caller reads more slowly than the endpoint sends; `resume` is called when it has caught up. */
  write (chunk: Buffer, resume: () => void): boolean {
    if (this.#isEnded || chunk.length === 0) return true
    if (this.#response.write(chunk)) return true
    this.#response.once('drain', resume)
    return false
  }

  end (chunk?: Buffer): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#response.end(chunk)
  }

  /** Ends an answer that cannot be made whole, so that it does not look complete. */
  breakOff (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#response.destroy()
  }
}
