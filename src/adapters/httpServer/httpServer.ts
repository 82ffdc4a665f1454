/** Small servers of a host: readiness, metrics and the relay. They need no framework, which would double a host's start. */
import { createServer } from 'node:http'
import type { IncomingMessage } from 'node:http'

export interface HttpReply {
  status: number
  contentType?: string
  body?: string | Uint8Array
}

/** Answers a call; `body` is read whole before. */
export type AnswerCall = (call: { method: string, url: URL, body: Buffer }) => HttpReply | Promise<HttpReply>

export interface HttpServer {
  /** Ends open calls too. */
  close: () => void
}

/** Bytes of a body that are read; a transaction of a host holds some 100 rows of 200 bytes. */
const maxBodyBytes = 1024 * 1024

/**
 * Starts a server on `ip:port`.
 *
 * @example
 * const server = await startHttpServer('10.1.0.38:8141', () => ({ status: 200 }))
 */
export async function startHttpServer (address: string, answerCall: AnswerCall): Promise<HttpServer> {
  const server = createServer((message, response) => {
    readBody(message)
      .then(async body => await answerCall({ method: message.method ?? 'GET', url: new URL(message.url ?? '/', 'http://host'), body }))
      .catch((error: Error): HttpReply => ({ status: 500, body: error.message }))
      .then(({ status, contentType = 'text/plain', body = '' }) => {
        response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) }).end(body)
      })
  })
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, resolve)
  })
  return {
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

async function readBody (message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of message as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maxBodyBytes) throw new Error(`the body of the call has more than ${maxBodyBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
