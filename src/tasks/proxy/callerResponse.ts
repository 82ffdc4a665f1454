/** The response to one caller: writes it with backpressure and detects that the caller has disconnected. */
import type { ServerResponse } from 'node:http'

export class CallerResponse {
  #response: ServerResponse
  #isEnded = false

  constructor (response: ServerResponse, onCallerDisconnect: () => void) {
    this.#response = response
    response.on('close', () => {
      if (this.#isEnded) return
      this.#isEnded = true
      onCallerDisconnect()
    })
    // The `close` event that follows an error is handled above.
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
