/** A caller that writes several requests to one connection before it has their answers, and goes on until the connection is closed. */
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { decodeResponseHeaders, encodeCallerRequestHeaders } from '../../platform/standinWire.js'
import { createRequestId, isStreamed } from './fleetCaller.js'
import type { CallKind, FleetAnswer } from './fleetCaller.js'
import { fleetHost, fleetModel, fleetPaths } from './startFleet.js'

export interface RawRequest {
  kind: CallKind
  adapter?: string
  timeLeftMs?: number
  requestId?: string
  body?: string
  /** Follows the prefix of the kind's route. */
  path?: string
  /** Added to the request's head, such as `Connection: close`. */
  headerLines?: readonly string[]
}

export interface RawAnswer extends FleetAnswer {
  /** When the last byte of the request was written, in monotonic milliseconds. */
  sentAtMs: number
  /** When the answer was complete or the connection ended, in monotonic milliseconds. */
  endedAtMs: number
  /** Whether the answer asks the caller to open another connection. */
  isLast: boolean
}

interface PendingAnswer {
  answer: RawAnswer
  resolve: (answer: RawAnswer) => void
}

const headEnd = '\r\n\r\n'
const closedError = 'the connection ended before the answer was whole'

/**
 * Formats a request as it is written to a connection.
 *
 * @example
 * formatRawRequest({ kind: 'once', requestId: '9c41d07be2a35f68' }) // 'POST /once/x HTTP/1.1\r\n...'
 */
export function formatRawRequest ({ kind, adapter, timeLeftMs = 4000, requestId = createRequestId(), body = 'a question', path = 'x', headerLines = [] }: RawRequest): string {
  const headers = encodeCallerRequestHeaders({ requestId, host: fleetHost, timeLeftMs, ...(isStreamed(kind) && { model: adapter === undefined ? fleetModel : `${fleetModel}/${adapter}` }) })
  const isPost = kind !== 'idempotent'
  const lines = [
    `${isPost ? 'POST' : 'GET'} ${fleetPaths[kind]}${path} HTTP/1.1`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...headerLines, ...(isPost ? [`content-length: ${Buffer.byteLength(body)}`] : [])
  ]
  return lines.join('\r\n') + headEnd + (isPost ? body : '')
}

export class RawCaller {
  #socket: Socket
  #pending: PendingAnswer[] = []
  #received = ''
  #isClosed = false
  /** Resolves when the host has ended the connection. */
  readonly closed: Promise<void>

  private constructor (socket: Socket) {
    this.#socket = socket
    socket.setEncoding('latin1')
    socket.setNoDelay(true)
    socket.on('data', chunk => {
      this.#received += String(chunk)
      this.#readAnswers()
    })
    this.closed = new Promise(resolve => {
      const end = (): void => {
        this.#isClosed = true
        socket.destroy()
        for (const pending of this.#pending.splice(0)) finishAnswer(pending, closedError)
        resolve()
      }
      socket.on('end', end).on('close', end).on('error', () => {})
    })
  }

  /** Opens a connection to `ip:port`; rejects where nothing accepts it. */
  static async open (address: string): Promise<RawCaller> {
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port), allowHalfOpen: true })
    await new Promise<void>((resolve, reject) => socket.once('connect', resolve).once('error', reject))
    return new RawCaller(socket)
  }

  get isClosed (): boolean {
    return this.#isClosed
  }

  /** Whether a part of an answer has come whose end has not. */
  get isReadingAnswer (): boolean {
    return this.#received !== ''
  }

  /** Writes all requests at once, or bytes in place of one; resolves when each is answered or the connection has ended. */
  async send (requests: readonly (RawRequest | string)[]): Promise<RawAnswer[]> {
    const identified = requests.map(request => typeof request === 'string' ? { kind: 'once' as const, requestId: '', bytes: request } : { requestId: createRequestId(), bytes: undefined, ...request })
    const answers = identified.map(async ({ requestId, kind }) => await new Promise<RawAnswer>(resolve => {
      const sentAtMs = performance.now()
      const answer: RawAnswer = { requestId, kind, status: 0, body: '', signature: undefined, retryAfterS: undefined, error: undefined, tookMs: 0, sentAtMs, endedAtMs: 0, isLast: false }
      if (this.#isClosed) finishAnswer({ answer, resolve }, closedError)
      else this.#pending.push({ answer, resolve })
    }))
    if (!this.#isClosed) this.#socket.write(identified.map(request => request.bytes ?? formatRawRequest(request)).join(''))
    return await Promise.all(answers)
  }

  /** Writes the rest of a request that `send` has begun. */
  write (bytes: string): void {
    this.#socket.write(bytes)
  }

  /** Resolves when all that was written has left for the host. */
  async flushed (): Promise<void> {
    if (this.#socket.writableLength > 0) await once(this.#socket, 'drain')
  }

  /** Ends this side of the connection and reads on. */
  endSide (): void {
    this.#socket.end()
  }

  /** Stops or goes on reading, so that the host's buffers fill up. */
  setReading (isReading: boolean): void {
    if (isReading) this.#socket.resume()
    else this.#socket.pause()
  }

  close (): void {
    this.#socket.destroy()
  }

  #readAnswers (): void {
    while (this.#pending.length > 0) {
      const end = this.#received.indexOf(headEnd)
      if (end < 0) return
      const [statusLine = '', ...headerLines] = this.#received.slice(0, end).split('\r\n')
      const headers = new Map(headerLines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
      const body = readRawBody(this.#received.slice(end + headEnd.length), headers)
      const { answer } = this.#pending[0]!
      answer.status = Number(statusLine.split(' ')[1])
      const { signature, retryAfterS } = decodeResponseHeaders(Object.fromEntries(headers))
      Object.assign(answer, { signature, retryAfterS })
      answer.isLast = headers.get('connection') === 'close'
      answer.body = body.text
      if (!body.isWhole) return
      this.#received = this.#received.slice(end + headEnd.length + body.length)
      // An interim response belongs to the answer that follows.
      if (answer.status >= 200) finishAnswer(this.#pending.shift()!, undefined)
    }
  }
}

function finishAnswer ({ answer, resolve }: PendingAnswer, error: string | undefined): void {
  answer.error = error
  answer.endedAtMs = performance.now()
  answer.tookMs = answer.endedAtMs - answer.sentAtMs
  resolve(answer)
}

/**
 * Reads a body of stated length or in chunks; `length` counts its characters with the framing.
 *
 * @example
 * readRawBody('2\r\nok\r\n0\r\n\r\n', new Map([['transfer-encoding', 'chunked']])).text // 'ok'
 */
export function readRawBody (received: string, headers: ReadonlyMap<string, string>): { text: string, length: number, isWhole: boolean } {
  if (headers.get('transfer-encoding') !== 'chunked') {
    const length = Number(headers.get('content-length') ?? 0)
    return { text: received.slice(0, length), length, isWhole: received.length >= length }
  }
  let [text, position] = ['', 0]
  for (;;) {
    const lineEnd = received.indexOf('\r\n', position)
    if (lineEnd < 0) return { text, length: position, isWhole: false }
    const size = Number.parseInt(received.slice(position, lineEnd), 16)
    const next = lineEnd + 2 + size + 2
    if (received.length < next) return { text: text + received.slice(lineEnd + 2, lineEnd + 2 + size), length: position, isWhole: false }
    if (size === 0) return { text, length: next, isWhole: true }
    text += received.slice(lineEnd + 2, lineEnd + 2 + size)
    position = next
  }
}
