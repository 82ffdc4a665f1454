/** The callers' connections to a gateway: their requests are begun one after the other, and no close cuts off what runs. */
import { createServer } from 'node:http'
import type { IncomingMessage, OutgoingHttpHeaders, RequestListener, Server, ServerOptions, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { readBehindUpgrade } from '../../adapters/httpServer/readBehindUpgrade.js'
import type { ConnectionBudget, ConnectionShare } from '../../core/connectionBudget.js'
import { LogRateLimiter } from '../../core/logRateLimiter.js'
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { CallerConnection } from '../proxy/callerConnection.js'
import type { Exchange } from '../proxy/callerConnection.js'
import { maxAtOnceBytes } from '../proxy/callerResponse.js'
import { ReadingTurns } from '../proxy/readingTurns.js'
import { SmallChunkCounter } from '../proxy/requestBody.js'
import { renderErrorBody, renderErrorHeaders } from './callerError.js'
import { createFailure, renderFinalHeaders, renderResponse } from './clientErrors.js'

const log = createLog('callers')
/** Time after which a connection without a request is closed. */
export const keepAliveMs = 72_000
/** Time between two closings of idle connections while the server stops. */
const idleCloseIntervalMs = 100
/** Memory of a chunk of a body beside its bytes, which are held twice while the body is put together. */
const chunkOverheadBytes = 64
const bodyMemoryRatio = 2
/** Lines about closed connections: one a second, and a few at once. */
const limitedLines = { linesPerSecond: 1, burst: 5 }
const badRequestStatus = 400
const expectationFailedStatus = 417
const unavailableStatus = 503
/** Another gateway can take the request at once. */
const stoppingFailure = createNotRunFailure('gateway_stopping', 'the gateway stops and takes no further requests on this connection', unavailableStatus, 1000)

export interface CallerConnectionsOptions {
  clock: Clock
  /** Time within which a request must be received completely, in milliseconds. */
  maxArrivalMs: number
  /** Limits on what connections hold. */
  budget: ConnectionBudget
  /** Receives what was refused before it became a request. */
  receiveFailure: (failure: RequestFailure) => void
}

/** One connection, and the failure that its caller is told for bytes that are no request. */
interface OpenConnection {
  connection: CallerConnection
  share: ConnectionShare
  failure: RequestFailure
}

/**
 * Creates the HTTP server of the callers' port and keeps its connections.
 *
 * @example
 * const connections = new CallerConnections({ clock, maxArrivalMs, receiveFailure })
 * fastify({ serverFactory: (handle, { http }) => connections.createServer(http, handle), clientErrorHandler: (error, socket) => connections.receiveError(error, socket) })
 */
export class CallerConnections {
  #options: CallerConnectionsOptions
  #connections = new Map<Socket, OpenConnection>()
  #turns: ReadingTurns
  #lines = new LogRateLimiter(limitedLines)
  #isStopping = false

  constructor (options: CallerConnectionsOptions) {
    this.#options = options
    this.#turns = new ReadingTurns(options.clock)
  }

  /** Creates the server that passes each request to `handle` in its turn. */
  createServer (options: ServerOptions, handle: RequestListener): Server {
    const server = createServer({ ...options, requireHostHeader: false }, (message, response) => this.#receiveRequest(message, response, handle))
    // The server's own `close` would cut responses that have ended and are still being written.
    server.closeIdleConnections = () => {}
    // Connections whose callers have ended their side stay open for the responses.
    Object.assign(server, { httpAllowHalfOpen: true })
    server.on('connection', (socket: Socket) => this.#receiveConnection(socket))
    server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
      this.#receiveRequest(message, response, () => refuseBare(response, expectationFailedStatus))
    })
    server.on('connect', (_message: IncomingMessage, socket: Socket) => {
      const connection = this.#connections.get(socket)?.connection
      connection?.receiveUnsupported()
      // The server has removed its own listener, which passes this on to the response in progress.
      socket.on('drain', () => connection?.receiveDrain())
      socket.resume()
    })
    return server
  }

  /** Answers bytes that are no request, and a request that is not received in time, behind the responses before them. */
  receiveError (error: NodeJS.ErrnoException, socket: Socket): void {
    const open = this.#connections.get(socket)
    if (!open) return
    // What follows the last request is ignored.
    if (!open.connection.isLastReceived) log('Failed to read a request: %s.', error.message)
    // A connection that was reset or has failed is not a bad request.
    if (error.code !== 'ECONNRESET' && socket.writable && !open.connection.isLastReceived) {
      open.failure = createFailure(error)
      this.#options.receiveFailure(open.failure)
    }
    open.connection.receiveError(error)
  }

  /**
   * Closes each connection once the requests that were read from it have been answered, until `closeServer` resolves, so that neither kept
   * connections nor ones opened in advance delay a stop.
   */
  async drain (closeServer: () => PromiseLike<unknown>): Promise<void> {
    this.#isStopping = true
    const timer = setInterval(() => this.#closeIdle(), idleCloseIntervalMs)
    await closeServer()
    clearInterval(timer)
  }

  #closeIdle (): void {
    for (const { connection } of this.#connections.values()) connection.closeIfIdle(this.#options.maxArrivalMs)
  }

  #receiveConnection (socket: Socket): void {
    const { clock, budget } = this.#options
    const share = budget.open(reason => {
      if (this.#lines.tryTakeLine(reason, clock.readMonotonic())) log('Closed the connection of a caller, as all connections together have reached their limit of %s and this one held most or was idle longest; %d bytes are held.', reason, budget.heldBytes)
      socket.destroy()
    })
    const open: OpenConnection = {
      share,
      connection: new CallerConnection({
        socket,
        clock,
        share,
        turns: this.#turns,
        log: { record: (_kind, message, fields) => log('%s %o', message, fields) },
        isDraining: () => this.#isStopping,
        isCatchingUp: () => false,
        isClosingIdle: () => this.#isStopping,
        renderFinal: () => renderResponse(open.failure)
      }),
      failure: createNotRunFailure('invalid_http', 'the request is not valid HTTP', badRequestStatus)
    }
    const { connection } = open
    this.#connections.set(socket, open)
    // The server removes its listener at a request for a tunnel, and an error without one would end the process.
    socket.on('error', error => log('A connection of a caller failed: %s.', error.message))
    socket.on('end', () => connection.receiveEnd())
    socket.on('close', () => {
      this.#connections.delete(socket)
      if (connection.unansweredCount > 0) log('A connection ended with %d requests that had no whole response.', connection.unansweredCount)
      connection.receiveClose()
    })
  }

  #receiveRequest (message: IncomingMessage, response: ServerResponse, handle: RequestListener): void {
    const { socket } = message
    // What has been read from a connection that was closed is parsed to its end.
    if (socket.destroyed) return
    const open = this.#connections.get(socket)
    if (!open || open.connection.isLastReceived) {
      open?.connection.recordIgnored()
      message.resume()
      return
    }
    const isUnreadBehind = message.headers.upgrade !== undefined && !readBehindUpgrade(socket)
    const { connection, share } = open
    let hasBegun = false
    let bodyBytes = 0
    countChunks(message, (bytes, isSlow) => {
      bodyBytes += bytes
      share.add(bytes)
      if (isSlow) connection.receiveSmallChunks()
    })
    const lacksHost = message.headers.host === undefined && message.httpVersionMinor > 0
    const exchange: Exchange = {
      message,
      begin: () => {
        hasBegun = true
        handle(message, response)
      },
      resume: () => { response.emit('drain') },
      isRejected: lacksHost,
      reject: () => {
        exchange.isRejected = true
        const refuse = (): void => refuseLast(response, open.failure)
        exchange.begin = refuse
        if (hasBegun) refuse()
        else connection.advance()
      },
      writeInterim: () => {
        if (!response.headersSent && message.httpVersionMinor === 1) response.writeContinue()
      },
      giveUp: () => {
        // What has begun may run; a caller that has left resets the connection once interim responses are written to it.
        if (!hasBegun) refuseBare(response, unavailableStatus)
        // Nothing can be written before the response to callers of HTTP/1.0, so that their leaving would not be noticed.
        else if (!response.headersSent && message.httpVersionMinor === 0) socket.destroy()
      },
      end: () => {
        if (!connection.remove(exchange)) return
        share.add(-bodyBytes)
        bodyBytes = 0
        connection.advance()
      }
    }
    if (lacksHost) exchange.begin = () => refuseBare(response, badRequestStatus)
    // A caller that goes on sending would otherwise keep its connection, and hold the stop up.
    if (connection.isLeftToOthers) {
      this.#options.receiveFailure(stoppingFailure)
      exchange.isRejected = true
      exchange.begin = () => refuseRead(response, stoppingFailure)
      message.resume()
    }
    announceClose(response, isComplete => connection.decideClose(exchange, isComplete))
    connection.add(exchange, !response.shouldKeepAlive || lacksHost || isUnreadBehind)
    response.on('close', exchange.end)
    message.on('end', () => connection.recordRead())
    // A body that came with its head has been read by then, so that a refusal need not close the connection.
    process.nextTick(() => {
      if (message.complete) connection.recordRead()
      connection.advance()
    })
  }
}

/** Counts the memory of a body's chunks from when they are read, as a listener before that would have them read at once. */
function countChunks (message: IncomingMessage, receiveChunk: (bytes: number, isSlow: boolean) => void): void {
  const smallChunks = new SmallChunkCounter()
  const begin = (event: string | symbol): void => {
    if (event !== 'data') return
    message.off('newListener', begin)
    message.on('data', (chunk: Buffer | string) => receiveChunk(chunk.length * bodyMemoryRatio + chunkOverheadBytes, smallChunks.add(chunk.length)))
  }
  message.on('newListener', begin)
}

/** Has a response say that it is the last one of its connection if `decideClose` returns true when its head is written. */
function announceClose (response: ServerResponse, decideClose: (isComplete: boolean) => boolean): void {
  const writeHead = response.writeHead.bind(response) as (...values: unknown[]) => ServerResponse
  response.writeHead = (...values: unknown[]) => {
    const headers = values.at(-1)
    const length = response.getHeader('content-length') ?? (headers as OutgoingHttpHeaders | null)?.['content-length']
    // Requests may arrive until the end of a longer response.
    const isComplete = Number(length) <= maxAtOnceBytes
    if (decideClose(isComplete)) response.setHeader('connection', 'close')
    // Fastify announces the close with each response while it stops.
    else if (response.hasHeader('connection')) response.setHeader('connection', 'keep-alive')
    return writeHead(...values)
  }
}

function refuseBare (response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-length': 0 })
  response.end()
}

/** Refuses a request that has been read; others may follow it. */
function refuseRead (response: ServerResponse, failure: RequestFailure): void {
  const body = renderErrorBody(failure)
  response.writeHead(failure.status, { ...renderErrorHeaders(failure), 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}

/** Refuses a request that cannot be read to its end. */
function refuseLast (response: ServerResponse, failure: RequestFailure): void {
  if (response.headersSent) return
  const body = renderErrorBody(failure)
  response.writeHead(failure.status, renderFinalHeaders(body))
  response.end(body)
}
