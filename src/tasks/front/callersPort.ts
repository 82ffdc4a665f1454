/** Accepts callers' connections and reads their requests whole. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { CallerLimits } from '../../schemas/routing.js'
import { CallerAnswer } from './callerAnswer.js'

export interface CallersPortOptions {
  /** `ip:port`. */
  address: string
  clock: Clock
  log: EventLog
  decodeRequest: (message: IncomingMessage, body: Buffer | undefined, receivedAtMs: number) => CallerRequest
  /** Limits of the configuration; undefined before one is known. */
  findLimits: () => CallerLimits | undefined
  /** Bytes of bodies that may be held at once. */
  maxHeldBytes: number
  serve: (request: CallerRequest, answer: CallerAnswer) => ServedRequest
}

export interface ServedRequest {
  /** The caller has left. */
  receiveLeft: () => void
}

/** Used before a configuration is known; those of the published configurations. */
const defaultLimits: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** Node's own cap on the bytes of a head, above that of the configuration, which may change. */
const maxHeaderBytes = 64 * 1024
/** Open connections are looked at this often for a graceful stop. */
const stopCheckMs = 50

export class CallersPort {
  #options: CallersPortOptions
  #server: Server
  #sockets = new Set<Socket>()
  /** Connections on which a request is being served. */
  #used = new Set<Socket>()
  /** Bytes that a connection had received when it fell idle; more means that a request is arriving. */
  #readAtIdle = new WeakMap<Socket, number>()
  #active = 0
  #heldBytes = 0
  #isStopping = false
  /** Whether callers have been told to go elsewhere for long enough, so that connections are closed as they fall idle. */
  #isClosingIdle = false

  constructor (options: CallersPortOptions) {
    this.#options = options
    this.#server = createServer({ maxHeaderSize: maxHeaderBytes, requestTimeout: 0 }, (message, response) => this.#receiveRequest(message, response))
    this.#server.on('connection', socket => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    this.#server.on('checkContinue', (message: IncomingMessage, response: ServerResponse) => {
      response.writeContinue()
      this.#receiveRequest(message, response)
    })
    this.applyLimits()
  }

  get active (): number {
    return this.#active
  }

  get connections (): number {
    return this.#sockets.size
  }

  /** Takes over the time-outs of a new configuration; connections that are open stay. */
  applyLimits (): void {
    const limits = this.#options.findLimits() ?? defaultLimits
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

  /** From now on every answer asks its caller to open a new connection next time. */
  startClosing (): void {
    this.#isStopping = true
  }

  /**
   * Serves new connections for `quietMs`, then takes none and closes each one as soon as nothing runs on it. Resolves when
   * none is left, or at the deadline.
   */
  async drain (quietMs: number, deadlineMs: number): Promise<void> {
    const { clock } = this.#options
    const startedAtMs = clock.readMonotonic()
    for (;;) {
      const passedMs = clock.readMonotonic() - startedAtMs
      if (passedMs >= quietMs) {
        this.#isClosingIdle = true
        this.#server.close()
        this.#closeIdle()
      }
      if (passedMs >= deadlineMs || (passedMs >= quietMs && this.#active === 0 && this.#sockets.size === 0)) return
      await new Promise<void>(resolve => { clock.setTimer(resolve, stopCheckMs) })
    }
  }

  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  /** A request that crosses the close is not read, so that its caller knows that it did not run. */
  #closeIdle (): void {
    for (const socket of this.#sockets) {
      if (this.#used.has(socket) || socket.bytesRead > (this.#readAtIdle.get(socket) ?? 0)) continue
      socket.destroy()
    }
  }

  #receiveRequest (message: IncomingMessage, response: ServerResponse): void {
    const { clock } = this.#options
    const receivedAtMs = clock.readMonotonic()
    if (this.#isStopping) response.setHeader('Connection', 'close')
    this.#active++
    let served: ServedRequest | undefined
    let hasLeft = false
    const { socket } = message
    this.#used.add(socket)
    let heldBytes = 0
    response.on('close', () => {
      this.#active--
      this.#used.delete(socket)
      this.#readAtIdle.set(socket, socket.bytesRead)
      this.#heldBytes -= heldBytes
      // What came next on the connection might need more time than is left.
      if (this.#isClosingIdle) socket.destroySoon()
    })
    const answer = new CallerAnswer(response, () => {
      hasLeft = true
      served?.receiveLeft()
    })
    message.on('data', (chunk: Buffer) => {
      heldBytes += chunk.length
      this.#heldBytes += chunk.length
    })
    this.#readBody(message, answer, body => {
      if (hasLeft) return
      if (this.#isStopping) response.shouldKeepAlive = false
      served = this.#options.serve(this.#options.decodeRequest(message, body, receivedAtMs), answer)
    })
  }

  #readBody (message: IncomingMessage, answer: CallerAnswer, receiveBody: (body: Buffer | undefined) => void): void {
    const { maxBodyBytes } = this.#options.findLimits() ?? defaultLimits
    const chunks: Buffer[] = []
    let bytes = 0
    message.on('data', (chunk: Buffer) => {
      if (answer.isEnded) return
      bytes += chunk.length
      chunks.push(chunk)
      if (bytes > maxBodyBytes) this.#refuseBody(answer, 413)
      else if (this.#heldBytes > this.#options.maxHeldBytes) this.#refuseBody(answer, 503)
    })
    message.on('end', () => {
      if (!answer.isEnded) receiveBody(bytes === 0 ? undefined : Buffer.concat(chunks, bytes))
    })
    message.on('error', error => {
      this.#options.log.record('caller.unreadable', 'A request could not be read.', { error: error.message })
    })
  }

  #refuseBody (answer: CallerAnswer, status: number): void {
    this.#options.log.record('caller.refusedBody', 'Refused a request whose body is too large, or for which there is no memory now.', { status, heldBytes: this.#heldBytes })
    answer.writeHead(status, ['Connection', 'close', ...(status === 503 ? ['Retry-After', '1'] : [])])
    answer.end()
  }
}
