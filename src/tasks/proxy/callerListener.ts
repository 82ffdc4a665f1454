/** HTTP server for callers: accepts their connections and reads each request, body included, before it is handled. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ByteBuffer } from '../../core/byteBuffer.js'
import { PieceLimit } from '../../core/pieceLimit.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { CallerLimits } from '../../schemas/routing.js'
import { CallerResponse } from './callerResponse.js'

export interface CallerListenerOptions {
  /** `ip:port`. */
  address: string
  clock: Clock
  log: EventLog
  decodeRequest: (message: IncomingMessage, body: Buffer | undefined, receivedAtMs: number) => CallerRequest
  /** Limits from the current configuration; undefined until the first configuration is known. */
  getLimits: () => CallerLimits | undefined
  /** Limit on the total size of all request bodies in memory. */
  maxBufferedBytes: number
  handleRequest: (request: CallerRequest, response: CallerResponse) => RequestHandle
}

export interface RequestHandle {
  /** Called when the caller has disconnected. */
  receiveCallerDisconnect: () => void
  /** Called when this host stops; ends the request. */
  receiveStop: () => void
}

/** Used until a configuration is known. The published configurations have the same values. */
const defaultLimits: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** Node.js limit on the size of a request head; fixed at startup, so it exceeds the configured limit, which may change. */
const maxHeadBytes = 64 * 1024
/** Time to write the last answers. */
const answerMs = 200
/** Interval at which `drain` checks the open connections. */
const drainCheckIntervalMs = 50

export class CallerListener {
  #options: CallerListenerOptions
  #server: Server
  /** Requests in progress that have been read. */
  #handles = new Set<RequestHandle>()
  /** What ends each request in progress, by its connection. */
  #sockets = new Map<Socket, Set<() => void>>()
  /** `bytesRead` of a connection when it became idle; a greater value now means that a request is arriving. */
  #bytesReadAtIdle = new WeakMap<Socket, number>()
  #activeRequests = 0
  #bufferedBytes = 0
  #isKeepAliveDisabled = false
  /** Whether `drain` has stopped accepting connections, so that open ones are closed when they become idle. */
  #isClosingIdle = false

  constructor (options: CallerListenerOptions) {
    this.#options = options
    this.#server = createServer({ maxHeaderSize: maxHeadBytes, requestTimeout: 0 }, (message, response) => this.#receiveRequest(message, response))
    this.#server.on('connection', socket => {
      const endRequests = new Set<() => void>()
      this.#sockets.set(socket, endRequests)
      let hasCallerEnded = false
      socket.on('end', () => { hasCallerEnded = true })
      socket.on('close', () => {
        this.#sockets.delete(socket)
        if (endRequests.size > 0) options.log.record('caller.connectionCut', 'A connection ended with requests that had no whole answer.', { closedBy: hasCallerEnded || socket.errored ? 'caller' : 'host', unanswered: endRequests.size, active: this.#activeRequests })
        // The response to a request that follows another one on its connection reports no close before its turn.
        for (const endRequest of endRequests) endRequest()
      })
    })
    this.#server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => {
      response.writeContinue()
      this.#receiveRequest(message, response)
    })
    this.applyLimits()
  }

  get activeRequestCount (): number {
    return this.#activeRequests
  }

  get connectionCount (): number {
    return this.#sockets.size
  }

  /** Applies the timeouts of the current configuration. Open connections stay open. */
  applyLimits (): void {
    const limits = this.#options.getLimits() ?? defaultLimits
    this.#server.headersTimeout = limits.headerTimeoutMs + 2000
    this.#server.keepAliveTimeout = limits.idleTimeoutMs
  }

  async start (): Promise<void> {
    const [host, port] = this.#options.address.split(':')
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ host, port: Number(port), backlog: 1024 }, resolve)
    })
  }

  /** From now on, every response asks the caller to open a new connection for its next request. */
  disableKeepAlive (): void {
    this.#isKeepAliveDisabled = true
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
        this.#isClosingIdle = true
        this.#server.close()
        this.#closeIdleConnections()
      }
      if (elapsedMs >= deadlineMs || (elapsedMs >= quietMs && this.#activeRequests === 0 && this.#sockets.size === 0)) return
      await new Promise<void>(resolve => { clock.setTimer(resolve, drainCheckIntervalMs) })
    }
  }

  /** Ends the requests that are left, so that each of their callers gets an answer, and resolves when these have been written. */
  async stop (): Promise<void> {
    for (const handle of this.#handles) handle.receiveStop()
    await this.drain(0, answerMs)
  }

  close (): void {
    this.#server.close()
    for (const socket of this.#sockets.keys()) socket.destroy()
  }

  /** A request that arrives while its connection is being closed is never read, so its caller knows that it did not run. */
  #closeIdleConnections (): void {
    for (const [socket, { size }] of this.#sockets) {
      if (size > 0 || socket.bytesRead > (this.#bytesReadAtIdle.get(socket) ?? 0)) continue
      socket.destroy()
    }
  }

  #receiveRequest (message: IncomingMessage, response: ServerResponse): void {
    const { clock } = this.#options
    const receivedAtMs = clock.readMonotonic()
    if (this.#isKeepAliveDisabled) response.setHeader('Connection', 'close')
    this.#activeRequests++
    let handle: RequestHandle | undefined
    let hasDisconnected = false
    const { socket } = message
    const endRequests = this.#sockets.get(socket)!
    let bodyBytes = 0
    const callerResponse = new CallerResponse(response, () => {
      hasDisconnected = true
      handle?.receiveCallerDisconnect()
    })
    const endRequest = (): void => {
      if (!endRequests.delete(endRequest)) return
      this.#activeRequests--
      this.#bytesReadAtIdle.set(socket, socket.bytesRead)
      this.#bufferedBytes -= bodyBytes
      callerResponse.receiveClose()
      if (handle) this.#handles.delete(handle)
      // A further request on this connection might take longer than the time left until shutdown.
      if (this.#isClosingIdle && endRequests.size === 0) socket.destroySoon()
    }
    endRequests.add(endRequest)
    response.on('close', endRequest)
    message.on('data', (chunk: Buffer) => {
      bodyBytes += chunk.length
      this.#bufferedBytes += chunk.length
    })
    this.#readBody(message, callerResponse, body => {
      if (hasDisconnected) return
      if (this.#isKeepAliveDisabled) response.shouldKeepAlive = false
      handle = this.#options.handleRequest(this.#options.decodeRequest(message, body, receivedAtMs), callerResponse)
      this.#handles.add(handle)
    })
  }

  #readBody (message: IncomingMessage, response: CallerResponse, onBody: (body: Buffer | undefined) => void): void {
    const { maxBodyBytes } = this.#options.getLimits() ?? defaultLimits
    const body = new ByteBuffer()
    const pieces = new PieceLimit()
    message.on('data', (chunk: Buffer) => {
      if (response.isEnded) return
      body.append(chunk)
      if (body.length > maxBodyBytes) this.#rejectBody(response, 413)
      else if (pieces.add(chunk.length)) this.#rejectBody(response, 400)
      else if (this.#bufferedBytes > this.#options.maxBufferedBytes) this.#rejectBody(response, 503)
    })
    message.on('end', () => {
      if (!response.isEnded) onBody(body.length === 0 ? undefined : body.take())
    })
    message.on('error', error => {
      this.#options.log.record('caller.unreadable', 'Failed to read a request.', { error: error.message })
    })
  }

  #rejectBody (response: CallerResponse, status: number): void {
    this.#options.log.record('caller.refusedBody', 'Rejected a request because its body is too large or comes in too many small pieces, or because the request bodies in memory have reached their limit.', { status, heldBytes: this.#bufferedBytes })
    response.writeHead(status, ['Connection', 'close', ...(status === 503 ? ['Retry-After', '1'] : [])])
    response.end()
  }
}
