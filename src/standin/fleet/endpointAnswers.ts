/** Answers of stand-in endpoints to requests that they run: of a plain service, or as a stream of events; some break off. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { countEvents, formatHeaders, formatUnframedHead } from './endpointBytes.js'
import type { EndpointFaults, FaultShare } from './endpointFaults.js'
import type { RunRecord } from './runJournal.js'
import { spoilEvent } from './spoilEvent.js'

/** A request that runs, and what its answer needs. */
export interface AnsweredRun {
  run: RunRecord
  socket: Socket
  response: ServerResponse
  headers: Record<string, string>
  finish: (outcome: RunRecord['outcome']) => void
  /** Draws that decide where an answer is cut. */
  random: () => number
  /** Returns the faults that are set now. */
  getFaults: () => EndpointFaults
  shouldStrike: (fault: FaultShare) => boolean
}

/** Delay before the second answer that follows a whole one. */
const extraDelayMs = 5
/** Events that come before the silence of a stream; every stream has one more at least. */
const eventsBeforeSilence = 2

/**
 * Sends the answer of a plain service.
 *
 * @example
 * setTimeout(() => sendPlainAnswer(answered), workMs)
 */
export function sendPlainAnswer ({ run, socket, response, headers, finish, getFaults, shouldStrike }: AnsweredRun): void {
  const body = `done ${run.requestId}`
  if (shouldStrike('cuts')) {
    finish('broken')
    response.writeHead(200, { ...headers, 'content-length': String(body.length) }).write(body.slice(0, 4))
    setImmediate(() => socket.resetAndDestroy())
  } else if (shouldStrike('unframedCuts')) {
    finish('broken')
    socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}connection: close\r\n\r\n${body.slice(0, 4)}`, () => socket.resetAndDestroy())
  } else if (shouldStrike('unframed')) {
    finish('whole')
    socket.end(formatUnframedHead(getFaults().unframedVersion, headers) + body)
  } else {
    finish('whole')
    response.writeHead(200, { ...headers, 'content-length': String(body.length) }).end(body)
    if (shouldStrike('extras')) setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\n${formatHeaders(headers)}content-length: ${body.length}\r\n\r\n${body}`), extraDelayMs)
  }
}

/**
 * Sends events over the bare connection, which ends the stream; a stream that is cut ends inside an event.
 *
 * @example
 * streamUnframed(answered, engine.options.eventMs)
 */
export function streamUnframed ({ run, socket, headers, finish, random, getFaults, shouldStrike }: AnsweredRun, eventMs: number): void {
  const last = countEvents(run.requestId)
  const cutAfter = shouldStrike('unframedCuts') ? run.fromEvent + Math.floor(random() * last) : Infinity
  const isEmpty = shouldStrike('emptyStreams')
  let next = run.fromEvent + 1
  socket.write(formatUnframedHead(getFaults().unframedVersion, { ...headers, 'content-type': 'text/event-stream' }))
  const send = (): void => {
    if (socket.destroyed) return
    if (isEmpty || next > cutAfter || next > last) {
      const isCut = !isEmpty && next > cutAfter
      finish(isCut || isEmpty ? 'broken' : 'whole')
      socket.end(isCut ? `id: ${next}\nda` : '')
      return
    }
    socket.write(`id: ${next}\ndata: ${run.requestId} ${next}\n\n`)
    next++
    setTimeout(send, eventMs)
  }
  setTimeout(send, eventMs)
}

/**
 * Sends events with rising ids; the number of them follows from the request's id.
 *
 * @example
 * streamEvents(answered, engine.options.eventMs)
 */
export function streamEvents ({ run, response, headers, finish, random, getFaults, shouldStrike }: AnsweredRun, engineEventMs: number): void {
  const last = countEvents(run.requestId)
  const { silenceMs, commentMs, spoiling, spoiledEvent, trickleMs } = getFaults()
  const eventMs = getFaults().eventMs || engineEventMs
  const cutAfter = shouldStrike('cuts') ? run.fromEvent + Math.floor(random() * last) : Infinity
  const isSpoiled = shouldStrike('spoiledIds')
  let next = run.fromEvent + 1
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
  if (trickleMs > 0) {
    const trickle = setInterval(() => response.write(':'), trickleMs)
    response.on('close', () => clearInterval(trickle))
    return
  }
  const send = (): void => {
    if (response.destroyed) return
    if (next > cutAfter || getFaults().breaksStreams) {
      finish('broken')
      // Half an event shows whether only whole ones are passed on.
      response.write(`id: ${next}\nda`, () => response.socket?.resetAndDestroy())
      return
    }
    if (next > last) {
      finish('whole')
      response.end()
      return
    }
    const event = `id: ${next}\ndata: ${run.requestId} ${next}\n\n`
    response.write(isSpoiled && next === spoiledEvent ? spoilEvent(event, spoiling) : event)
    next++
    const isSilent = next === eventsBeforeSilence + 1
    setTimeout(send, isSilent ? eventMs + silenceMs : eventMs)
    if (isSilent && commentMs > 0) sendComments(response, commentMs, silenceMs)
  }
  setTimeout(send, eventMs)
}

/** Sends comments, which hold a quiet connection open. */
function sendComments (response: ServerResponse, intervalMs: number, forMs: number): void {
  const timer = setInterval(() => response.write(': quiet\n\n'), intervalMs)
  setTimeout(() => clearInterval(timer), forMs)
}
