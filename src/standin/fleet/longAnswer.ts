/** Long answers of stand-in endpoints in each framing, sound or cut, as the path of a request asks for them. */
import type { AnsweredRun } from './endpointAnswers.js'
import { formatHeaders } from './endpointBytes.js'
import { formatChunk } from './endlessAnswer.js'
import type { EndlessEnd } from './endlessAnswer.js'

interface LongFraming {
  readonly version: '1.0' | '1.1'
  /** Line of the head; empty for none. */
  readonly connection: '' | 'connection: close\r\n'
  readonly body: 'length' | 'chunks' | 'end of the connection'
  readonly isKept: boolean
}

export const longFramings = Object.freeze({
  end: { version: '1.1', connection: '', body: 'end of the connection', isKept: false },
  close: { version: '1.1', connection: 'connection: close\r\n', body: 'end of the connection', isKept: false },
  closeLength: { version: '1.1', connection: 'connection: close\r\n', body: 'length', isKept: false },
  closeChunks: { version: '1.1', connection: 'connection: close\r\n', body: 'chunks', isKept: false },
  length: { version: '1.1', connection: '', body: 'length', isKept: true },
  chunks: { version: '1.1', connection: '', body: 'chunks', isKept: true },
  oldEnd: { version: '1.0', connection: '', body: 'end of the connection', isKept: false },
  oldLength: { version: '1.0', connection: '', body: 'length', isKept: false }
} satisfies Record<string, LongFraming>)
export type LongFramingName = keyof typeof longFramings

export interface LongAnswer {
  framing: LongFramingName
  status: 200 | 500
  /** Pieces of the whole body; 0 for a body without end. */
  pieces: number
  /** What the endpoint does to its connection after some time; empty for nothing before the body's end. */
  end: EndlessEnd
  /** Whether pieces come one at a time, with pauses. */
  trickles: boolean
}

const pathPattern = /\/long-(\w+)-(200|500)-(\d+)-(ends|resets|)-(true|false)$/
const endAfterMs = 900
const [intervalMs, trickleMs] = [4, 60]
const piecesPerInterval = 50
/** Bounds what a test's proxy holds of a body without end. */
const maxEndlessPieces = 4000
/** Stated by bodies without end that state one. */
const endlessLength = 900_000_000
const repeatsInPiece = 120

/**
 * Formats the last part of the path of a request for a long answer.
 *
 * @example
 * formatLongPath({ framing: 'close', status: 200, pieces: 40, end: '', trickles: false }) // 'long-close-200-40--false'
 */
export function formatLongPath ({ framing, status, pieces, end, trickles }: LongAnswer): string {
  return `long-${framing}-${status}-${pieces}-${end}-${trickles}`
}

/**
 * Returns the long answer that a path asks for; undefined for other paths.
 *
 * @example
 * decodeLongPath('/once/long-close-200-40--false')?.framing // 'close'
 */
export function decodeLongPath (path: string): LongAnswer | undefined {
  const [, framing, status, pieces, end, trickles] = pathPattern.exec(path) ?? []
  if (framing === undefined) return undefined
  return { framing: framing as LongFramingName, status: Number(status) as LongAnswer['status'], pieces: Number(pieces), end: end as EndlessEnd, trickles: trickles === 'true' }
}

/**
 * One event of a long stream, and one piece of a long plain body; each has a length of about 2 KB.
 *
 * @example
 * formatLongPiece('9c41', 1) // 'id: 1\ndata: 9c41 1 9c419c41...\n\n'
 */
export function formatLongPiece (requestId: string, id: number): string {
  return `id: ${id}\ndata: ${requestId} ${id} ${requestId.repeat(repeatsInPiece)}\n\n`
}

/**
 * Sends a long answer. A request that goes on with a stream gets the rest of it, and no further fault.
 *
 * @example
 * sendLongAnswer(answered, decodeLongPath(run.path)!, true)
 */
export function sendLongAnswer ({ run, socket, response, headers, finish }: AnsweredRun, { framing, status, pieces, end, trickles }: LongAnswer, isStream: boolean): void {
  const { version, connection, body, isKept }: LongFraming = longFramings[framing]
  const { requestId, fromEvent } = run
  const marks = { ...headers, ...(isStream && { 'content-type': 'text/event-stream' }), ...formatLengthHeader() }
  // The server does not handle a later request of a kept connection before it has ended this response itself.
  if (isKept) response.writeHead(status, marks)
  else socket.write(`HTTP/${version} ${status} Any\r\n${formatHeaders(marks)}${connection}\r\n`)
  let sent = fromEvent
  const timer = setInterval(sendPieces, trickles ? trickleMs : intervalMs)
  socket.once('close', () => {
    clearInterval(timer)
    finish('broken')
  })
  if (end !== '' && fromEvent === 0) setTimeout(letGo, endAfterMs)

  function formatLengthHeader (): Record<string, string> {
    if (body === 'end of the connection') return {}
    if (body === 'chunks') return { 'transfer-encoding': 'chunked' }
    const rest = Array.from({ length: Math.max(0, pieces - fromEvent) }, (_, index) => formatLongPiece(requestId, fromEvent + 1 + index).length)
    return { 'content-length': String(pieces === 0 ? endlessLength : rest.reduce((sum, length) => sum + length, 0)) }
  }

  function write (text: string): void {
    if (isKept) response.write(text)
    else socket.write(body === 'chunks' ? formatChunk(text) : text)
  }

  function sendPieces (): void {
    const last = Math.min(sent + (trickles ? 1 : piecesPerInterval), pieces === 0 ? maxEndlessPieces : pieces)
    let text = ''
    while (sent < last) text += formatLongPiece(requestId, ++sent)
    if (text !== '') write(text)
    if (pieces === 0 || sent < pieces) return
    clearInterval(timer)
    finish('whole')
    if (isKept) response.end()
    else socket.end(body === 'chunks' ? '0\r\n\r\n' : '')
  }

  function letGo (): void {
    clearInterval(timer)
    if (socket.destroyed || run.outcome === 'whole') return
    finish('broken')
    if (end === 'resets') socket.resetAndDestroy()
    else socket.end()
  }
}
