/** The response to one caller: writes it with backpressure and detects that the caller has disconnected. */
import type { ServerResponse } from 'node:http'

/** A body of this size goes out at once, whether or not its caller reads it. */
export const maxAtOnceBytes = 64 * 1024

export interface CallerResponseOptions {
  response: ServerResponse
  onCallerDisconnect: () => void
  /** Whether the caller is told that this is the last response on its connection; `isComplete`: whether it goes out as a whole. */
  decideClose: (isComplete: boolean) => boolean
  /** Whether the host stops, so that a complete response announces the close if nothing was read behind its request. */
  isDraining: () => boolean
  /** Whether the caller has ended its side of the connection and is not yet known to read on. */
  isCallerUncertain: () => boolean
  /** Resolves when the caller is known to read, or the connection has closed. */
  waitUntilCallerKnown: () => Promise<void>
  /** Counts memory of what the caller has not read yet; negative once it is free again. */
  holdUnread: (bytes: number) => void
}

/** What an endpoint has sent beyond what it was asked to wait with: a read of the socket, and another one in the parser. */
const pausedEndpointBytes = 128 * 1024
const internalErrorStatus = 500
const unavailableStatus = 503

export class CallerResponse {
  #response: ServerResponse
  #options: CallerResponseOptions
  /** Status and headers that go out with the first bytes of the body, when it is known whether these are all. */
  #pendingHead: { status: number, headers: readonly string[] } | undefined
  #isEnded = false
  /** Memory that counts as held for this response. */
  #unreadBytes = 0

  constructor (options: CallerResponseOptions) {
    const { response } = options
    this.#response = response
    this.#options = options
    // The close that follows an error is passed to `receiveClose`.
    response.on('error', () => {})
    response.on('drain', () => this.#holdUnread(0))
  }

  /** Receives that the connection has closed, or that the response has been sent. */
  receiveClose (): void {
    this.#holdUnread(0)
    if (this.#isEnded) return
    this.#isEnded = true
    this.#options.onCallerDisconnect()
  }

  get isEnded (): boolean {
    return this.#isEnded
  }

  get isCallerUncertain (): boolean {
    return this.#options.isCallerUncertain()
  }

  async waitUntilCallerKnown (): Promise<void> {
    await this.#options.waitUntilCallerKnown()
  }

  get hasHead (): boolean {
    return this.#pendingHead !== undefined || this.#response.headersSent
  }

  writeHead (status: number, headers: readonly string[]): void {
    if (!this.#isEnded) this.#pendingHead = { status, headers }
  }

  /** Returns false if the caller reads more slowly than the endpoint sends; calls `resume` once the buffer has drained. */
  write (chunk: Buffer, resume: () => void): boolean {
    if (this.#isEnded || chunk.length === 0) return true
    this.#flushHead(false)
    if (this.#response.write(chunk)) return true
    this.#response.once('drain', resume)
    this.#holdUnread(this.#response.writableLength + pausedEndpointBytes)
    return false
  }

  end (chunk?: Buffer): void {
    if (this.#isEnded) return
    this.#isEnded = true
    const isComplete = (chunk?.length ?? 0) <= maxAtOnceBytes
    // What arrived while the process stood still counts when the close is decided.
    if (isComplete && this.#pendingHead && this.#options.isDraining()) setImmediate(() => setImmediate(() => this.#finish(isComplete, chunk)))
    else this.#finish(isComplete, chunk)
  }

  /** Rejects a request that has not been begun. */
  refuse (status: number): void {
    this.writeHead(status, status === unavailableStatus ? ['Retry-After', '1'] : [])
    this.end()
  }

  /** Closes the connection of a response that cannot be completed, so that the caller does not take it for complete. */
  abort (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#response.destroy()
  }

  /** Ends a response that has not ended with status 500, or its connection if its body has begun. */
  fail (): void {
    // An exception may also have come while the response was ended.
    const isEndPending = this.#isEnded && this.#pendingHead !== undefined
    if (this.#response.writableEnded || this.#response.destroyed || isEndPending) return
    this.#isEnded = false
    if (this.#response.headersSent) this.abort()
    else {
      this.writeHead(internalErrorStatus, ['Content-Length', '0'])
      this.end()
    }
  }

  #finish (isComplete: boolean, chunk: Buffer | undefined): void {
    this.#flushHead(isComplete)
    this.#response.end(chunk)
    this.#holdUnread(this.#response.writableLength)
  }

  #holdUnread (bytes: number): void {
    if (bytes === this.#unreadBytes) return
    const added = bytes - this.#unreadBytes
    this.#unreadBytes = bytes
    this.#options.holdUnread(added)
  }

  #flushHead (isComplete: boolean): void {
    if (!this.#pendingHead) return
    const { status, headers } = this.#pendingHead
    this.#pendingHead = undefined
    this.#response.writeHead(status, [...headers, ...(this.#options.decideClose(isComplete) ? ['Connection', 'close'] : [])])
  }
}
