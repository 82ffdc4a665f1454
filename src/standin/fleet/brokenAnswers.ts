/** Answers of stand-in endpoints whose head, status or framing is wrong, written to the bare connection. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { decodeReceivedHeaders, encodeEndpointResponseHeaders } from '../../platform/standinWire.js'
import { formatHeaders, formatUnframedHead, formatWholeAnswer } from './endpointBytes.js'
import { formatChunk, isEndlessFor, isEndlessRefusal, sendEndless } from './endlessAnswer.js'
import type { EndlessEnd, EndlessFormName } from './endlessAnswer.js'
import type { RunRecord } from './runJournal.js'

/** A reset at once would take the bytes along that were written before it. */
const resetDelayMs = 20

export interface EndlessRun {
  run: RunRecord
  socket: Socket
  headers: Record<string, string>
  end: EndlessEnd
  finish: (outcome: RunRecord['outcome']) => void
  /** Called with the bytes of an endless answer once its connection has closed. */
  receiveEnd: (bytes: number) => void
}

/**
 * Answers a request without end, or with the first two events of a stream whose continuation has no end.
 *
 * @example
 * answerWithoutEnd('bytes', { run, socket, headers, end: '', finish, receiveEnd: bytes => endlessBytes.push(bytes) })
 */
export function answerWithoutEnd (endless: EndlessFormName, { run, socket, headers, end, finish, receiveEnd }: EndlessRun): void {
  if (!isEndlessFor(endless, run.fromEvent)) {
    // The caller has two events of a stream that somebody else has to complete.
    const broken = [1, 2].map(id => formatChunk(`id: ${id}\ndata: ${run.requestId} ${id}\n\n`)).join('')
    socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${broken}`)
    setTimeout(() => socket.resetAndDestroy(), resetDelayMs)
    finish('broken')
    return
  }
  const startBytes = socket.bytesWritten
  sendEndless(socket, endless, formatHeaders(isEndlessRefusal(endless) ? encodeEndpointResponseHeaders(run.requestId, undefined) : headers), end)
  socket.once('close', () => {
    finish('broken')
    receiveEnd(socket.bytesWritten - startBytes)
  })
}

/**
 * Sends what would be a whole answer if its status were 200.
 *
 * @example
 * sendStatus(socket, '600 Odd', false, run, headers)
 */
export function sendStatus (socket: Socket, status: string, isStream: boolean, run: RunRecord, headers: Record<string, string>): void {
  const { body, contentType } = formatWholeAnswer(isStream, run.requestId, run.fromEvent)
  socket.write(`HTTP/1.1 ${status}\r\n${formatHeaders({ ...headers, ...contentType })}content-length: ${body.length}\r\n\r\n${body}`)
}

/**
 * Sends part of an answer without a length while the request's body still arrives, and resets the connection.
 *
 * @example
 * cutUpload(request, 'i-1', false)
 */
export function cutUpload (request: IncomingMessage, endpointId: string, isStream: boolean): void {
  const { socket } = request
  const { requestId = '', lastEventId } = decodeReceivedHeaders(request.headers)
  const { body, contentType } = formatWholeAnswer(isStream, requestId, lastEventId)
  // A stream that ends after a whole event looks complete.
  const part = isStream ? body.slice(0, body.indexOf('\n\n') + 2) : body.slice(0, body.length / 2)
  request.pause()
  socket.write(formatUnframedHead('1.1', { ...encodeEndpointResponseHeaders(requestId, `signed by ${endpointId}`), ...contentType }) + part)
  setTimeout(() => socket.resetAndDestroy(), resetDelayMs)
}

export interface HeadCut {
  isStream: boolean
  headers: Record<string, string>
  /** Draws where the head is cut. */
  random: () => number
  /** Whether the connection is reset rather than closed. */
  isReset: boolean
}

/**
 * Ends the connection somewhere before the blank line that ends the head.
 *
 * @example
 * cutHead(socket, { isStream: true, headers, random, isReset: false })
 */
export function cutHead (socket: Socket, { isStream, headers, random, isReset }: HeadCut): void {
  const framing: Record<string, string> = isStream ? { 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' } : { 'content-length': '5' }
  const head = `HTTP/1.1 200 OK\r\n${formatHeaders({ ...headers, ...framing })}`
  const part = head.slice(0, 1 + Math.floor(random() * head.length))
  if (isReset) socket.write(part, () => socket.resetAndDestroy())
  else socket.end(part)
}
