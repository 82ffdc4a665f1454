/** One caller's connection: begins its requests one after the other, and closes it without losing a response. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionShare } from '../../core/connectionBudget.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import { CallerPresence } from './callerPresence.js'
import type { DelayedReader, ReadingTurns } from './readingTurns.js'

/** A request that was read from a connection, and the response to it. */
export interface Exchange {
  readonly message: IncomingMessage
  /** Handles the request or rejects it; undefined until its body has been read or found unacceptable. */
  begin: (() => void) | undefined
  /** Whether `begin` rejects the request. */
  isRejected: boolean
  /** Lets the response go on once its connection has room again. */
  resume: () => void
  /** Rejects a request that cannot be read to its end. */
  reject: (status: number) => void
  /** Writes an interim response; has no effect once the response has begun, and for callers that know none. */
  writeInterim: () => void
  /** Ends a request whose caller has probably left, unless it runs and may not be repeated. */
  giveUp: () => void
  /** Called once the response has been written, or the connection has closed. */
  end: () => void
}

/**
 * Why requests that still arrive on a connection are ignored: a response has announced the close; its own request asked for it; the caller has
 * ended its side; a request cannot be read to its end, or the bytes behind it are none; or the connection is being closed.
 */
type IgnoreReason = 'announced' | 'requested' | 'callerEnded' | 'unreadable' | 'closing'

export interface CallerConnectionOptions {
  socket: Socket
  clock: Clock
  log: EventLog
  /** What the connection holds of the budget of all connections. */
  share: ConnectionShare
  /** Order in which senders of small chunks are read. */
  turns: ReadingTurns
  /** Whether callers are to open other connections, as this host stops. */
  isDraining: () => boolean
  /** Whether what arrives now may have arrived earlier, as the process stood still. */
  isCatchingUp: () => boolean
  /** Whether connections are closed as soon as they are idle, also those whose callers were not asked to open another one. */
  isClosingIdle: () => boolean
  /** Renders the response to bytes that are no request from its status and phrase. Without it, the response has no body. */
  renderFinal?: (status: string) => string
}

/** Time for a caller to receive its last response before the connection is reset because of bytes that nobody reads. */
const lingerMs = 500
/** Time for a caller to send its next request, whose response announces the close, before an idle connection is closed: several round trips. */
const minIdleMs = 50
/** A caller that ends its side this soon after a request has hardly given it up: some clients do so with each request. */
const promptEndMs = 50
/** Beyond these, requests of a connection stay with the system until others have been answered. */
const maxWaitingRequests = 64
/** Memory of a request that waits behind others, beside its head: its objects and those of its response. */
const waitingRequestBytes = 16_384
/** Memory of a head for each of its bytes: the strings of names and values, and their copies by name. */
const headMemoryRatio = 2
const badRequestStatus = 400
/** Statuses and phrases, by the codes of errors of Node.js, for bytes that are no request. */
const unreadableStatuses: Readonly<Record<string, string>> = Object.freeze({
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout'
})
const parserErrorPattern = /^(HPE_|ERR_HTTP_)/

export class CallerConnection {
  #options: CallerConnectionOptions
  /** Requests without a whole response, in the order in which they came. */
  #exchanges: Exchange[] = []
  #hasBegunFirst = false
  /** When a request was last read to its end, in monotonic milliseconds. */
  #lastReadAtMs = -Infinity
  /** Set once nothing that arrives is a request of this connection any more. */
  #ignoreReason: IgnoreReason | undefined
  /** Status line that follows the last response, as bytes arrived that are no request. */
  #finalStatus: string | undefined
  #isClosing = false
  /** Whether nothing is read, as too many requests wait. */
  #isPaused = false
  /** Whether nothing is read until the connection's turn, as small chunks cost too much time. */
  #isDelayed = false
  /** Memory of each request that waits behind others. */
  #waitingBytes = new WeakMap<Exchange, number>()
  #reader: DelayedReader = {
    pauseReading: () => {
      this.#isDelayed = true
      this.#options.socket.pause()
    },
    resumeReading: () => {
      this.#isDelayed = false
      if (!this.#isPaused) this.#options.socket.resume()
    }
  }

  /** `bytesRead` when the connection became idle; a greater value now means that a request is arriving. */
  #bytesReadAtIdle = 0
  /** When the last response was written, in monotonic milliseconds. */
  #idleSinceMs = -Infinity
  /** Whether that was during a stop, so that the caller may still be receiving a response that did not announce the close. */
  #isIdleInStop = false
  /** Whether it was after idle connections began to be closed. */
  #isIdleLate = false
  /** When bytes were first seen on an idle connection that was to be closed, in monotonic milliseconds. */
  #arrivingSinceMs: number | undefined
  #linger: Timer | undefined
  /** Set once the caller has ended its side while requests were unanswered. */
  #presence: CallerPresence | undefined

  constructor (options: CallerConnectionOptions) {
    this.#options = options
    const { socket } = options
    // Node.js closes a connection with this after the last response, which resets it if unread bytes have arrived.
    socket.destroySoon = () => { if (this.#finalStatus === undefined) this.closeGracefully() }
  }

  /** Ends what is left on a connection that has closed. */
  receiveClose (): void {
    this.#ignoreReason ??= 'closing'
    this.#isClosing = true
    this.#linger?.cancel()
    this.#presence?.stop()
    this.#options.share.release()
    this.#options.turns.withdraw(this.#reader)
    // The response to a request that follows another one on its connection reports no close before its turn.
    for (const exchange of this.#exchanges.toReversed()) exchange.end()
  }

  /**
   * Receives that the caller has ended its side: it has left, or reads the responses to what it has sent. It counts as one that reads if it did so
   * right behind its request and nothing that is written to it is reset. Nothing is sent to endpoints before that is known.
   */
  receiveEnd (): void {
    const { socket, clock, log, isCatchingUp } = this.#options
    const sinceReadMs = clock.readMonotonic() - this.#lastReadAtMs
    this.#ignoreReason ??= 'callerEnded'
    const last = this.#exchanges.at(-1)
    // Its parser reports no error behind a request that was announced as the last one.
    if (last && !last.message.complete) last.reject(badRequestStatus)
    const isTrusted = sinceReadMs <= promptEndMs && !isCatchingUp() && last?.message.httpVersionMinor !== 0
    if (this.#exchanges.length === 0) {
      socket.end()
      return
    }
    log.record('caller.endedSide', 'A caller ended its side of its connection while requests were unanswered.', { unanswered: this.#exchanges.length, sinceReadMs: Math.round(sinceReadMs), isTrusted })
    this.#presence = new CallerPresence({
      clock,
      isTrusted,
      writeProbe: () => this.#exchanges[0]?.writeInterim(),
      countWritten: () => socket.bytesWritten
    })
    if (!isTrusted && this.#hasBegunFirst) this.#exchanges[0]?.giveUp()
  }

  /** Records that a request was read to its end. */
  recordRead (): void {
    this.#lastReadAtMs = this.#options.clock.readMonotonic()
  }

  /** Whether the caller has ended its side and is not yet known to read on. */
  get isCallerUncertain (): boolean {
    return this.#presence?.isKnown === false
  }

  /** Resolves when the caller is known to read, or the connection has closed. */
  async waitUntilCallerKnown (): Promise<void> {
    await this.#presence?.waitUntilKnown()
  }

  /** Passes on that the connection has room again. */
  receiveDrain (): void {
    this.#exchanges[0]?.resume()
  }

  /** Counts memory of responses that the caller has not read yet; the connection is closed if it holds most where all hold too much. */
  holdUnread (bytes: number): void {
    this.#options.share.add(bytes)
  }

  get unansweredCount (): number {
    return this.#exchanges.length
  }

  /** Whether a request that is read now is refused as not run, as the stop may cut it or would last as long as its caller goes on sending. */
  get isLeftToOthers (): boolean {
    return this.#isIdleLate || (this.#options.isClosingIdle() && this.#exchanges.length > 0)
  }

  /** Whether further requests are ignored. */
  get isLastReceived (): boolean {
    return this.#ignoreReason !== undefined
  }

  /** Records a request that arrived behind the last one. */
  recordIgnored (): void {
    // Node.js keeps the response to each request until the connection closes.
    this.#options.share.add(waitingRequestBytes)
    this.#options.log.record('caller.requestIgnored', 'Ignored a request that arrived behind the last one of its connection.', { reason: this.#ignoreReason, unanswered: this.#exchanges.length })
  }

  add (exchange: Exchange, isLast: boolean): void {
    this.#exchanges.push(exchange)
    if (isLast) this.#ignoreReason ??= 'requested'
    this.#options.share.setIdle(false)
    this.#limitReading()
    if (this.#exchanges.length > 1) this.#holdWaiting(exchange)
  }

  /** Begins the first request once it has been read; those behind it wait for its response, so that no close cuts them off at endpoints. */
  advance (): void {
    const first = this.#exchanges[0]
    if (!first?.begin || this.#hasBegunFirst || this.#isClosing || this.#options.socket.destroyed) return
    if (this.isCallerUncertain && this.#presence!.isTrusted) {
      this.waitUntilCallerKnown().then(() => this.advance())
      return
    }
    this.#hasBegunFirst = true
    if (this.isCallerUncertain && !first.isRejected) first.giveUp()
    else first.begin()
  }

  /** Removes a request whose response has been written; returns false if it was removed before. */
  remove (exchange: Exchange): boolean {
    const index = this.#exchanges.lastIndexOf(exchange)
    if (index < 0) return false
    this.#exchanges.splice(index, 1)
    if (index === 0) this.#hasBegunFirst = false
    this.#options.share.add(-(this.#waitingBytes.get(exchange) ?? 0))
    this.#limitReading()
    if (this.#exchanges.length === 0) this.#receiveIdle()
    return true
  }

  /**
   * Decides when a response's head is written whether it is the connection's last one. While a host stops, a complete response is if no request was
   * read behind it. An unfinished one is not, as requests may arrive until its end, and what follows an announced close gets no response.
   */
  decideClose (exchange: Exchange, isComplete: boolean): boolean {
    const isAlone = this.#exchanges.length === 1 && this.#finalStatus === undefined
    if (this.#options.isDraining() && isAlone && isComplete) this.#ignoreReason ??= 'announced'
    if (!exchange.message.complete) this.#ignoreReason ??= 'unreadable'
    return this.isLastReceived && isAlone
  }

  /** Receives that small chunks have arrived, whose reading took some time in this turn of the event loop. */
  receiveSmallChunks (): void {
    if (this.#isDelayed) return
    this.#isDelayed = true
    const startedAtMs = performance.now()
    // Node.js reads on after each read, in the ticks that follow it.
    process.nextTick(() => process.nextTick(() => {
      if (this.#isClosing || this.#options.socket.destroyed) return
      this.#options.turns.delay(this.#reader, performance.now() - startedAtMs)
    }))
  }

  /** Answers bytes that are no request with an error, after the responses to the requests before them. */
  receiveError (error: NodeJS.ErrnoException): void {
    const { socket } = this.#options
    if (!parserErrorPattern.test(error.code ?? '')) {
      socket.destroy()
      return
    }
    // What follows the last request is ignored.
    if (this.isLastReceived) return
    this.#ignoreReason = 'unreadable'
    const status = unreadableStatuses[error.code!] ?? `${badRequestStatus} Bad Request`
    const last = this.#exchanges.at(-1)
    if (last && !last.message.complete) last.reject(Number.parseInt(status, 10))
    else this.#finish(status)
  }

  /** Ends the connection with this status line once the requests before have their responses. */
  receiveUnsupported (): void {
    if (this.isLastReceived) return
    this.#ignoreReason = 'unreadable'
    this.#finish('501 Not Implemented')
  }

  /**
   * Closes the connection if no request is in progress or arriving; one whose head does not arrive within `headTimeoutMs` is none. The
   * caller knows that a request which arrives then was not read.
   */
  closeIfIdle (headTimeoutMs: number): void {
    const { socket, clock } = this.#options
    if (this.#exchanges.length > 0 || this.#isClosing || clock.readMonotonic() - this.#idleSinceMs < minIdleMs) return
    if (socket.bytesRead > this.#bytesReadAtIdle) {
      this.#arrivingSinceMs ??= clock.readMonotonic()
      if (clock.readMonotonic() - this.#arrivingSinceMs < headTimeoutMs) return
    }
    if (this.#isIdleInStop) this.closeGracefully()
    else socket.destroy()
  }

  /**
   * Receives that nothing has arrived or been written for the idle time-out. Closes the connection unless a request is in progress, or has arrived
   * meanwhile and is yet to be read, as the process stood still. The first request of a connection has the time-out of heads alone.
   */
  async receiveIdleTimeout (): Promise<void> {
    const { socket } = this.#options
    if (this.#exchanges.length > 0 || this.#idleSinceMs === -Infinity) return
    const { bytesRead } = socket
    // In this turn of the event loop, what has arrived is read.
    await new Promise(resolve => setImmediate(resolve))
    if (socket.bytesRead === bytesRead) socket.destroy()
  }

  /** Closes the connection in stages: ends it after what was written, and ignores what still arrives until the caller has closed it. */
  closeGracefully (): void {
    if (this.#isClosing) return
    this.#isClosing = true
    this.#ignoreReason ??= 'closing'
    const { socket, clock } = this.#options
    socket.end(() => { this.#linger = clock.setTimer(() => socket.destroy(), lingerMs) })
  }

  #receiveIdle (): void {
    const { socket, clock, isDraining, isClosingIdle } = this.#options
    this.#bytesReadAtIdle = socket.bytesRead
    this.#idleSinceMs = clock.readMonotonic()
    this.#options.share.setIdle(true)
    this.#isIdleInStop = isDraining()
    this.#isIdleLate = isClosingIdle()
    if (this.#finalStatus !== undefined) this.#closeWithStatus(this.#finalStatus)
  }

  /** Reads no further while too many requests wait. Node.js reads on at each request and response, so this follows them. */
  #limitReading (): void {
    const { socket } = this.#options
    if (this.#exchanges.length >= maxWaitingRequests) {
      if (!this.#isPaused) {
        // Within one turn of the event loop, the system's buffer would be read to its end.
        process.nextTick(() => process.nextTick(() => { if (this.#isPaused) socket.pause() }))
      }
      this.#isPaused = true
      setImmediate(() => { if (this.#isPaused) socket.pause() })
    } else if (this.#isPaused) {
      this.#isPaused = false
      // The end of the caller's side may have waited behind the requests that were read before.
      this.recordRead()
      if (!this.#isDelayed) socket.resume()
    }
  }

  /** Counts a request that waits behind others; the connection is closed if it holds most where all hold too much. */
  #holdWaiting (exchange: Exchange): void {
    const { rawHeaders } = exchange.message
    const headBytes = rawHeaders.reduce((sum, text) => sum + text.length, exchange.message.url?.length ?? 0)
    const bytes = waitingRequestBytes + headBytes * headMemoryRatio
    this.#waitingBytes.set(exchange, bytes)
    this.#options.share.add(bytes)
  }

  #finish (status: string): void {
    this.#finalStatus = status
    if (this.#exchanges.length === 0) this.#closeWithStatus(status)
  }

  #closeWithStatus (status: string): void {
    const { socket, renderFinal = renderBareFinal } = this.#options
    socket.write(renderFinal(status))
    this.closeGracefully()
  }
}

function renderBareFinal (status: string): string {
  return `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`
}
