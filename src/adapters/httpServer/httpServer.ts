/** A minimal HTTP server for a host's readiness, metrics and relay. A web framework would double a host's start time. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
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

/**
 * Starts a server on `ip:port`. Rejects where it cannot listen there. A handler that throws or rejects gives status 500.
 *
 * @example
 * const server = await startHttpServer('10.1.0.38:8141', () => ({ status: 200 }))
 */
export async function startHttpServer (address: string, handleRequest: HandleHttpRequest): Promise<HttpServer> {
  /** Responses that are due to requests which may change something. */
  const due = new Set<ServerResponse>()
  let receiveAnswered = (): void => {}
  const server = createServer((request, response) => {
    if (request.method !== 'GET') {
      due.add(response)
      response.on('close', () => {
        due.delete(response)
        if (due.size === 0) receiveAnswered()
      })
    }
    readBody(request)
      .then(async body => await handleRequest({ method: request.method ?? 'GET', url: new URL(request.url ?? '/', 'http://host'), body }))
      .catch((error: Error): HttpReply => ({ status: 500, body: error.message }))
      .then(({ status, contentType = 'text/plain', body = '' }) => {
        response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) }).end(body)
      })
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

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maxBodyBytes) throw new Error(`the body of the call has more than ${maxBodyBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
