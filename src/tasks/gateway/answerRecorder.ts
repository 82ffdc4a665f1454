/** Passes an answer on to its caller and records it for later requests with the same key. */
import type { ServerResponse } from 'node:http'
import { maxBufferedAnswerBytes } from '../../constants.js'
import type { StoredAnswer } from '../../schemas/storedAnswer.js'

/** What an answer is written to: a caller's response, or something that records it too. */
export interface AnswerResponse {
  readonly headersSent: boolean
  readonly destroyed: boolean
  readonly writableLength: number
  writeHead: (status: number, headers: Record<string, string | number>) => unknown
  write: (data: string) => unknown
  end: (data?: string) => unknown
}

/** Goes on recording when the caller has gone; a caller that reads too slowly is cut off. */
export class AnswerRecorder implements AnswerResponse {
  readonly destroyed = false
  readonly writableLength = 0
  #response: ServerResponse | undefined
  #status = 0
  #headers: Record<string, string> = {}
  #parts: string[] = []
  #bytes = 0
  #beforeEnd: (() => Promise<void>) | undefined

  /** `response` is left out where nobody waits. */
  constructor (response?: ServerResponse) {
    this.#response = response
  }

  get headersSent (): boolean {
    return this.#status !== 0
  }

  /** The whole answer so far; undefined where it was too long to record. */
  readAnswer (): StoredAnswer | undefined {
    if (this.#bytes > maxBufferedAnswerBytes) return undefined
    return { status: this.#status, headers: this.#headers, body: Buffer.from(this.#parts.join('')) }
  }

  /** Sets what has to be done before the caller sees the end of the answer. */
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
    if (this.#response!.writableLength > maxBufferedAnswerBytes) this.#response!.destroy()
  }

  end (data = ''): void {
    this.#record(data)
    const finish = (): void => { if (this.#isOpen()) this.#response!.end(data) }
    if (this.#beforeEnd) this.#beforeEnd().then(finish, finish)
    else finish()
  }

  #record (data: string): void {
    this.#bytes += Buffer.byteLength(data)
    if (this.#bytes <= maxBufferedAnswerBytes) this.#parts.push(data)
  }

  #isOpen (): boolean {
    return this.#response !== undefined && !this.#response.destroyed
  }
}
