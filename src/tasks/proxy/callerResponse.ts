/** The response to one caller: writes it with backpressure and detects that the caller has disconnected. */
import type { ServerResponse } from 'node:http'

export class CallerResponse {
  #response: ServerResponse
  #onCallerDisconnect: () => void
  #isEnded = false

  constructor (response: ServerResponse, onCallerDisconnect: () => void) {
    this.#response = response
    this.#onCallerDisconnect = onCallerDisconnect
    // The close that follows an error is passed to `receiveClose`.
    response.on('error', () => {})
  }

  /** Receives that the connection has closed, or that the response has been sent. */
  receiveClose (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#onCallerDisconnect()
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

  /** Returns false if the caller reads more slowly than the endpoint sends; calls `resume` once the buffer has drained. */
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

  /** Closes the connection of a response that cannot be completed, so that the caller does not take it for complete. */
  abort (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#response.destroy()
  }
}
