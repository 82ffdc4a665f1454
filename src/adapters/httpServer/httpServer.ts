/** A minimal HTTP server for a host's readiness, metrics and relay. A web framework would double a host's start time. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ByteBuffer } from '../../core/byteBuffer.js'
import { ConnectionBudget } from '../../core/connectionBudget.js'
import type { ConnectionShare } from '../../core/connectionBudget.js'
import { listenOn } from '../tcp/openPort.js'

export interface HttpReply {
  status: number
  contentType?: string
  body?: string | Uint8Array
}

/** Handles a request after its whole body has been read. */
export type HandleHttpRequest = (call: { method: string, url: URL, body: Buffer }) => HttpReply | Promise<HttpReply>

export interface HttpServer {
  /** Stops listening, and resolves once no request that may change something is unanswered, or after `maxMs`. Reads are not waited for. */
  drain: (maxMs: number) => Promise<void>
  /** Stops listening and closes all connections, including those with a request in progress. */
  close: () => void
}

/** Larger request bodies are rejected. A transaction of a host holds about 100 rows of 200 bytes. */
const maxBodyBytes = 1024 * 1024

/** Memory of a request, its head included, until its response has been written. */
const requestBytes = 32 * 1024
/** Unanswered requests on one connection, beyond which it is closed; hosts and the platform send one at a time. */
const maxUnanswered = 8
/** Used where a server is given no limits: hundreds of hosts, and some of their bodies. */
const defaultLimits: HttpServerLimits = { maxHeldBytes: 32 * 1024 * 1024, maxConnections: 1024 }

/** Limits on what all connections of a server hold; beyond them, the one that holds most or has been idle longest is closed. */
export interface HttpServerLimits {
  /** Limit on the bytes of requests and of responses that have not been written. */
  maxHeldBytes: number
  maxConnections: number
  /** Called when a connection is closed because of a limit. */
  receiveClosed?: (reason: string) => void
}

/** What a connection holds, and how many of its requests are unanswered. */
interface OpenConnection {
  share: ConnectionShare
  unanswered: number
}

/**
 * Starts a server on `ip:port`. Rejects where it cannot listen there. A handler that throws or rejects gives status 500.
 *
 * @example
 * const server = await startHttpServer('10.1.0.38:8141', () => ({ status: 200 }))
 */
export async function startHttpServer (address: string, handleRequest: HandleHttpRequest, { maxHeldBytes, maxConnections, receiveClosed }: HttpServerLimits = defaultLimits): Promise<HttpServer> {
  /** Responses that are due to requests which may change something. */
  const due = new Set<ServerResponse>()
  let receiveAnswered = (): void => {}
  const budget = new ConnectionBudget({ maxBytes: maxHeldBytes, maxConnections })
  const connections = new WeakMap<Socket, OpenConnection>()
  const server = createServer((request, response) => {
    const { socket } = request
    const connection = connections.get(socket)
    // What has been read from a connection that was closed is parsed to its end.
    if (!connection || socket.destroyed) return
    const { share } = connection
    if (++connection.unanswered > maxUnanswered) {
      share.closeFor('bytes')
      return
    }
    let heldBytes = 0
    const hold = (bytes: number): void => {
      heldBytes += bytes
      share.add(bytes)
    }
    share.setIdle(false)
    hold(requestBytes)
    response.on('close', () => {
      share.add(-heldBytes)
      if (--connection.unanswered === 0) share.setIdle(true)
    })
    if (request.method !== 'GET') {
      due.add(response)
      response.on('close', () => {
        due.delete(response)
        if (due.size === 0) receiveAnswered()
      })
    }
    readBody(request, hold)
      .then(async body => await handleRequest({ method: request.method ?? 'GET', url: new URL(request.url ?? '/', 'http://host'), body }))
      .catch((error: Error): HttpReply => ({ status: 500, body: error.message }))
      .then(({ status, contentType = 'text/plain', body = '' }) => {
        if (socket.destroyed) return
        hold(Buffer.byteLength(body))
        response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) }).end(body)
      })
  })
  server.on('connection', (socket: Socket) => {
    const share = budget.open(reason => {
      receiveClosed?.(reason)
      socket.destroy()
    })
    connections.set(socket, { share, unanswered: 0 })
    socket.on('close', () => share.release())
  })
  // Callers that have ended their side get the responses that are due.
  Object.assign(server, { httpAllowHalfOpen: true })
  await listenOn(server, address)
  return {
    drain: async maxMs => {
      server.close()
      if (due.size === 0) return
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, maxMs)
        receiveAnswered = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

/** Reads a body, and holds its bytes twice, as they are copied when it grows. */
async function readBody (request: IncomingMessage, hold: (bytes: number) => void): Promise<Buffer> {
  const bytes = new ByteBuffer()
  for await (const chunk of request as AsyncIterable<Buffer>) {
    if (bytes.length + chunk.length > maxBodyBytes) throw new Error(`the body of the call has more than ${maxBodyBytes} bytes`)
    hold(chunk.length * 2)
    bytes.append(chunk)
  }
  return bytes.take()
}
