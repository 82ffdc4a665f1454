/** HTTP server for callers: accepts their connections and reads each request, body included, before it is handled. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { readBehindUpgrade } from '../../adapters/httpServer/readBehindUpgrade.js'
import { listenOn } from '../../adapters/tcp/openPort.js'
import { extraHeadTimeMs, maxHostHeadBytes } from '../../constants.js'
import { ConnectionBudget } from '../../core/connectionBudget.js'
import type { ConnectionShare } from '../../core/connectionBudget.js'
import { HeldTotal } from '../../core/heldTotal.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { CallerLimits } from '../../schemas/routing.js'
import { CallerConnection } from './callerConnection.js'
import type { Exchange } from './callerConnection.js'
import { CallerResponse } from './callerResponse.js'
import { FirstReads } from './firstReads.js'
import { ReadingTurns } from './readingTurns.js'
import { RequestBody } from './requestBody.js'

export interface CallerListenerOptions {
  /** `ip:port`. */
  address: string
  clock: Clock
  log: EventLog
  decodeRequest: (message: IncomingMessage, body: Buffer | undefined, receivedAtMs: number) => CallerRequest
  /** Limits from the current configuration; undefined until the first configuration is known. */
  getLimits: () => CallerLimits | undefined
  /** Limit on the total size of all request bodies in memory. */
  maxHeldBytes: number
  /** Bytes of the request bodies in memory, where several listeners share the limit. */
  heldBytes?: HeldTotal
  /** Limits on what connections hold, which several listeners may share; none if left out. */
  budget?: ConnectionBudget
  /** Called with the size of each chunk of a body that was read; nothing is called if left out. */
  receiveRead?: (bytes: number) => void
  /** Whether what arrives now may have arrived earlier, as the process stood still; never if left out. */
  isCatchingUp?: () => boolean
  createHandle: (request: CallerRequest, response: CallerResponse) => RequestHandle
}

export interface RequestHandle {
  /** Handles the request. Rejects if an exception ends that. */
  serve: () => Promise<void>
  /** Called when an exception ended the handling of the request. */
  receiveError: () => void
  /** Called when the caller has disconnected. */
  receiveCallerDisconnect: () => void
  /** Called when the caller has ended its side of the connection and has probably left; ends the request unless it runs and may not be repeated. */
  receiveUnknownCaller: () => void
  /** Called when this host stops; ends the request. */
  receiveStop: () => void
}

/** Used until a configuration is known. The published configurations have the same values. */
const defaultLimits: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** Connections that the system holds for this process to accept. */
const maxPendingConnections = 1024
/** Time after the idle time-out at which Node.js closes an idle connection. */
const keepAliveExtraMs = 1000
const badRequestStatus = 400
const contentTooLargeStatus = 413
const expectationFailedStatus = 417
const unavailableStatus = 503
/** Time to write the last answers. */
const answerMs = 200
/** Interval at which `drain` checks the open connections. */
const drainCheckIntervalMs = 50
/** Turns of the event loop without a connection or request after which none has arrived: one to accept a connection, and one to read it. */
const quietTurns = 2

export class CallerListener {
  #options: CallerListenerOptions
  #server: Server
  /** Requests in progress that have begun. */
  #handles = new Set<RequestHandle>()
  #connections = new Map<Socket, CallerConnection>()
  #activeRequests = 0
  /** Bytes of the request bodies in memory. */
  #heldBytes: HeldTotal
  #budget: ConnectionBudget
  #turns: ReadingTurns
  #firstReads: FirstReads
  #shares = new WeakMap<Socket, ConnectionShare>()
  /** Connections and requests that have arrived so far. */
  #arrivals = 0
  #isDraining = false
  /** Whether `drain` has stopped accepting connections, so that open ones are closed when they become idle. */
  #isClosingIdle = false
  /** Whether requests that have not ended are ended, as the host is about to exit. */
  #isStopping = false

  constructor (options: CallerListenerOptions) {
    this.#options = options
    this.#heldBytes = options.heldBytes ?? new HeldTotal()
    this.#budget = options.budget ?? new ConnectionBudget({ maxBytes: Infinity, maxConnections: Infinity })
    this.#turns = new ReadingTurns(options.clock, () => this.#firstReads.isCrowded)
    this.#server = createServer({ maxHeaderSize: maxHostHeadBytes, requestTimeout: 0, requireHostHeader: false }, (message, response) => this.#receiveRequest(message, response))
    // The server's own `close` would cut responses that have ended and are still being written.
    this.#server.closeIdleConnections = () => {}
    // Connections whose callers have ended their side stay open for the responses.
    Object.assign(this.#server, { httpAllowHalfOpen: true })
    this.#firstReads = this.#createFirstReads()
    // Without this, the server closes the connection at once.
    this.#server.on('timeout', (socket: Socket) => { this.#connections.get(socket)?.receiveIdleTimeout() })
    this.#server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => {
      const isRead = this.#findRefusedStatus(message) === undefined && !this.#connections.get(message.socket)?.isLastReceived
      if (isRead) response.writeContinue()
      this.#receiveRequest(message, response)
    })
    this.#server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => this.#receiveRequest(message, response, expectationFailedStatus))
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      const connection = this.#connections.get(socket)
      if (!connection?.isLastReceived) options.log.record('caller.unreadable', 'Failed to read a request.', { error: error.message })
      connection?.receiveError(error)
    })
    this.#server.on('connect', (_message: IncomingMessage, socket: Socket) => {
      const connection = this.#connections.get(socket)
      connection?.receiveUnsupported()
      // The server has removed its own listener, which passes this on to the response in progress.
      socket.on('drain', () => connection?.receiveDrain())
      socket.resume()
    })
    this.applyLimits()
  }

  /** Puts the order of first reads before the server's own listener, which reads from a connection at once. */
  #createFirstReads (): FirstReads {
    const listeners = this.#server.listeners('connection')
    this.#server.removeAllListeners('connection')
    const firstReads = new FirstReads({
      clock: this.#options.clock,
      hold: (socket, bytes) => this.#shares.get(socket)?.add(bytes),
      deliver: socket => {
        for (const listener of listeners) listener.call(this.#server, socket)
        this.#receiveConnection(socket)
      }
    })
    this.#server.on('connection', (socket: Socket) => {
      this.#arrivals++
      this.#openShare(socket)
      firstReads.receive(socket)
    })
    return firstReads
  }

  get activeRequestCount (): number {
    return this.#activeRequests
  }

  /** Bytes of the request bodies in memory. */
  get heldBytes (): number {
    return this.#heldBytes.value
  }

  get connectionCount (): number {
    return this.#connections.size
  }

  /** Applies the timeouts of the current configuration. Open connections stay open. */
  applyLimits (): void {
    const limits = this.#getLimits()
    this.#server.headersTimeout = limits.headerTimeoutMs + extraHeadTimeMs
    // A time that is not positive sets no limit; Node.js throws after a response if its sum with the extra time is negative.
    const idleTimeoutMs = Math.max(0, limits.idleTimeoutMs)
    this.#server.keepAliveTimeout = idleTimeoutMs
    // Node.js 20.19 ends the idle time-out at the first byte of a request, and checks the time-out of heads every 30 s only.
    this.#server.timeout = idleTimeoutMs === 0 ? 0 : idleTimeoutMs + keepAliveExtraMs
  }

  async start (): Promise<void> {
    await listenOn(this.#server, this.#options.address, maxPendingConnections)
  }

  /** From now on, callers are asked to open a new connection for their next request. */
  disableKeepAlive (): void {
    this.#isDraining = true
  }

  /**
   * Accepts new connections for another `quietMs`, then stops listening and closes each connection once it is idle. Resolves
   * when no connection is left, or after `deadlineMs`.
   */
  async drain (quietMs: number, deadlineMs: number): Promise<void> {
    const { clock } = this.#options
    const startedAtMs = clock.readMonotonic()
    for (;;) {
      const elapsedMs = clock.readMonotonic() - startedAtMs
      if (elapsedMs >= quietMs) {
        await this.#waitForArrived()
        this.#isClosingIdle = true
        this.#server.close()
        this.#firstReads.flush()
        const { headerTimeoutMs } = this.#getLimits()
        for (const connection of this.#connections.values()) connection.closeIfIdle(headerTimeoutMs)
      }
      if (elapsedMs >= deadlineMs || (elapsedMs >= quietMs && this.#activeRequests === 0 && this.#connections.size === 0)) return
      await new Promise<void>(resolve => { clock.setTimer(resolve, drainCheckIntervalMs) })
    }
  }

  /** Ends the requests that are left, so that each of their callers gets an answer, and resolves when these have been written. */
  async stop (): Promise<void> {
    this.#isStopping = true
    for (const handle of this.#handles) handle.receiveStop()
    await this.drain(0, answerMs)
  }

  close (): void {
    this.#server.close()
    this.#firstReads.flush()
    for (const socket of this.#connections.keys()) socket.destroy()
  }

  /** Resolves once what arrived while the process stood still has been accepted and read. */
  async #waitForArrived (): Promise<void> {
    for (let turn = 0, quiet = 0; quiet < quietTurns && turn < maxPendingConnections; turn++) {
      const before = this.#arrivals
      await new Promise(resolve => setImmediate(resolve))
      quiet = this.#arrivals === before ? quiet + 1 : 0
    }
  }

  #openShare (socket: Socket): void {
    const budget = this.#budget
    const share = budget.open(reason => {
      const unanswered = this.#connections.get(socket)?.unansweredCount ?? 0
      this.#options.log.record('caller.limited', 'Closed the connection of a caller, as all connections together have reached a limit and this one held most or was idle longest.', { reason, heldBytes: budget.heldBytes, connections: budget.connectionCount, unanswered })
      socket.destroy()
    })
    this.#shares.set(socket, share)
    socket.once('close', () => share.release())
  }

  #receiveConnection (socket: Socket): void {
    const { clock, log } = this.#options
    const share = this.#shares.get(socket)!
    const connection = new CallerConnection({ socket, clock, log, share, turns: this.#turns, isCatchingUp: () => this.#options.isCatchingUp?.() ?? false, isDraining: () => this.#isDraining, isClosingIdle: () => this.#isClosingIdle })
    this.#connections.set(socket, connection)
    let hasCallerEnded = false
    // The server removes its listener at a request for a tunnel, and an error without one would end the process.
    socket.on('error', () => {})
    socket.on('end', () => {
      hasCallerEnded = true
      connection.receiveEnd()
    })
    socket.on('close', () => {
      this.#connections.delete(socket)
      const { unansweredCount } = connection
      if (unansweredCount > 0) log.record('caller.connectionCut', 'A connection ended with requests that had no whole answer.', { closedBy: hasCallerEnded || socket.errored ? 'caller' : 'host', unanswered: unansweredCount, active: this.#activeRequests })
      connection.receiveClose()
    })
  }

  #receiveRequest (message: IncomingMessage, response: ServerResponse, refusedStatus = this.#findRefusedStatus(message)): void {
    const { clock, maxHeldBytes } = this.#options
    const { socket } = message
    const receivedAtMs = this.#firstReads.takeArrival(socket) ?? clock.readMonotonic()
    const connection = this.#connections.get(socket)
    // What has been read from a connection that was closed is parsed to its end.
    if (socket.destroyed) return
    if (!connection || connection.isLastReceived) {
      connection?.recordIgnored()
      message.on('data', (chunk: Buffer) => this.#options.receiveRead?.(chunk.length))
      return
    }
    const isUnreadBehind = message.headers.upgrade !== undefined && (this.#firstReads.isPassing(socket) || !readBehindUpgrade(socket))
    this.#arrivals++
    this.#activeRequests++
    let handle: RequestHandle | undefined
    const callerResponse = new CallerResponse({
      response,
      onCallerDisconnect: () => handle?.receiveCallerDisconnect(),
      decideClose: isComplete => connection.decideClose(exchange, isComplete),
      isDraining: () => this.#isDraining,
      isCallerUncertain: () => connection.isCallerUncertain,
      waitUntilCallerKnown: async () => await connection.waitUntilCallerKnown(),
      holdUnread: bytes => connection.holdUnread(bytes)
    })
    const exchange: Exchange = {
      message,
      begin: undefined,
      isRejected: false,
      resume: () => { response.emit('drain') },
      reject: status => {
        body.release()
        this.#prepareRejection(exchange, connection, callerResponse, status)
      },
      writeInterim: () => {
        if (!response.headersSent && message.httpVersionMinor === 1) response.writeContinue()
      },
      giveUp: () => {
        if (handle) handle.receiveUnknownCaller()
        else callerResponse.refuse(unavailableStatus)
      },
      end: () => {
        if (!connection.remove(exchange)) return
        this.#activeRequests--
        body.release()
        callerResponse.receiveClose()
        if (handle) this.#handles.delete(handle)
        connection.advance()
      }
    }
    // Read before the request is added, as those behind an unanswered one count as late.
    const { isLeftToOthers } = connection
    // The server closes connections of HTTP/1.0 after answers of unknown length.
    connection.add(exchange, !response.shouldKeepAlive || message.httpVersionMinor === 0 || isUnreadBehind)
    response.on('close', exchange.end)
    message.on('error', error => {
      this.#options.log.record('caller.unreadable', 'Failed to read a request.', { error: error.message })
    })
    const handleRequest = async (bytes: Buffer | undefined): Promise<void> => {
      handle = this.#options.createHandle(this.#options.decodeRequest(message, bytes, receivedAtMs), callerResponse)
      this.#handles.add(handle)
      // While this host stops, the request is left to other hosts.
      if (isLeftToOthers || this.#isStopping) handle.receiveStop()
      else await handle.serve()
    }
    const body = new RequestBody({
      message,
      maxBytes: this.#getLimits().maxBodyBytes,
      heldBytes: this.#heldBytes,
      maxHeldBytes,
      receiveRead: bytes => this.#options.receiveRead?.(bytes),
      onComplete: bytes => {
        connection.recordRead()
        exchange.begin = () => { handleRequest(bytes).catch((error: Error) => this.#receiveException(error, handle, callerResponse)) }
        connection.advance()
      },
      onSmallChunks: () => connection.receiveSmallChunks(),
      onExcess: status => exchange.reject(status)
    })
    if (refusedStatus !== undefined) exchange.reject(refusedStatus)
  }

  /** Ends a request whose handling threw, so that neither the process nor other requests end with it. */
  #receiveException (error: Error, handle: RequestHandle | undefined, response: CallerResponse): void {
    this.#options.log.record('request.threw', 'An exception ended the handling of a request.', { error: error.message, stack: error.stack })
    try {
      handle?.receiveError()
    } catch (secondError) {
      this.#options.log.record('request.threw', 'An exception ended the handling of a request.', { error: (secondError as Error).message, stack: (secondError as Error).stack })
    }
    response.fail()
  }

  /** Rejects a request in its turn. */
  #prepareRejection (exchange: Exchange, connection: CallerConnection, response: CallerResponse, status: number): void {
    if (exchange.begin) return
    this.#options.log.record('caller.refusedBody', 'Rejected a request because its body is too large or cannot be read, or because the request bodies in memory have reached their limit.', { status, heldBytes: this.#heldBytes.value })
    exchange.isRejected = true
    exchange.begin = () => response.refuse(status)
    connection.advance()
  }

  /** Status of a request that is refused because of its head; HTTP/1.1 requires the name of a host. */
  #findRefusedStatus ({ headers, httpVersionMinor }: IncomingMessage): number | undefined {
    if (headers.host === undefined && httpVersionMinor > 0) return badRequestStatus
    return Number(headers['content-length'] ?? 0) > this.#getLimits().maxBodyBytes ? contentTooLargeStatus : undefined
  }

  #getLimits (): CallerLimits {
    return this.#options.getLimits() ?? defaultLimits
  }
}
