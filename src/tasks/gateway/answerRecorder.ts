/** Relays a response to its caller and records it, so that it can be replayed to later requests with the same key. */
import type { ServerResponse } from 'node:http'
import { maxBufferedResponseBytes } from '../../constants.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'

/** Where a response is written: directly to the caller, or to a recorder. */
export interface ResponseSink {
  readonly headersSent: boolean
  readonly destroyed: boolean
  readonly writableLength: number
  writeHead: (status: number, headers: Record<string, string | number>) => unknown
  write: (data: string) => unknown
  end: (data?: string) => unknown
}

/**
 * Continues to record after the caller disconnects. A caller that reads too slowly is disconnected by the recorder itself,
 * so writers always see an open sink without backlog.
 */
export class AnswerRecorder implements ResponseSink {
  readonly destroyed = false
  readonly writableLength = 0
  #response: ServerResponse | undefined
  #status = 0
  #headers: Record<string, string> = {}
  #chunks: string[] = []
  #bytes = 0
  #beforeEnd: (() => Promise<void>) | undefined

  /** `response` is omitted if no caller waits on a connection. */
  constructor (response?: ServerResponse) {
    this.#response = response
  }

  get headersSent (): boolean {
    return this.#status !== 0
  }

  /** Returns the response recorded so far, or undefined if it is longer than `maxBufferedResponseBytes`. */
  getAnswer (): StoredAnswer | undefined {
    if (this.#bytes > maxBufferedResponseBytes) return undefined
    return { status: this.#status, headers: this.#headers, body: Buffer.from(this.#chunks.join('')) }
  }

  /** Sets a callback that has to settle before the response to the caller is ended. */
  setBeforeEnd (beforeEnd: () => Promise<void>): void {
    this.#beforeEnd = beforeEnd
  }

  writeHead (status: number, headers: Record<string, string | number>): void {
    this.#status = status
    this.#headers = Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, String(value)]))
    if (this.#isOpen()) this.#response!.writeHead(status, headers)
  }

  write (data: string): void {
    this.#record(data)
    if (!this.#isOpen()) return
    this.#response!.write(data)
    if (this.#response!.writableLength > maxBufferedResponseBytes) this.#response!.destroy()
  }

  end (data = ''): void {
    this.#record(data)
    const finish = (): void => { if (this.#isOpen()) this.#response!.end(data) }
    if (this.#beforeEnd) this.#beforeEnd().then(finish, finish)
    else finish()
  }

  #record (data: string): void {
    this.#bytes += Buffer.byteLength(data)
    if (this.#bytes <= maxBufferedResponseBytes) this.#chunks.push(data)
  }

  #isOpen (): boolean {
    return this.#response !== undefined && !this.#response.destroyed
  }
}
