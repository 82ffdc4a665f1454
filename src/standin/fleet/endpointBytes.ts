/** The bytes that stand-in endpoints read and write on their connections. */
import type { IncomingMessage } from 'node:http'
import type { EndpointFaults } from './endpointFaults.js'

/**
 * Events of the stream that answers a request.
 *
 * @example
 * countEvents('9c41d07be2a35f02') // 5
 */
export function countEvents (requestId: string): number {
  return 3 + (Number.parseInt(requestId.slice(-2), 16) || 0) % 8
}

/**
 * Events after `fromEvent` of a stream, otherwise the answer of a plain service.
 *
 * @example
 * formatWholeAnswer(false, 'r1', 0).body // 'done r1'
 */
export function formatWholeAnswer (isStream: boolean, requestId: string, fromEvent: number): { body: string, contentType: Record<string, string> } {
  if (!isStream) return { body: `done ${requestId}`, contentType: {} }
  const ids = Array.from({ length: countEvents(requestId) }, (_, index) => index + 1).filter(id => id > fromEvent)
  return { body: ids.map(id => `id: ${id}\ndata: ${requestId} ${id}\n\n`).join(''), contentType: { 'content-type': 'text/event-stream' } }
}

/**
 * Head of a response whose body ends with its connection.
 *
 * @example
 * formatUnframedHead('1.0', {}) // 'HTTP/1.0 200 OK\r\n\r\n'
 */
export function formatUnframedHead (version: EndpointFaults['unframedVersion'], headers: Record<string, string>): string {
  const connection = version === '1.1' ? 'connection: close\r\n' : ''
  return `HTTP/${version} 200 OK\r\n${formatHeaders(headers)}${connection}\r\n`
}

/**
 * Header lines, each with its end.
 *
 * @example
 * formatHeaders({ server: 'x' }) // 'server: x\r\n'
 */
export function formatHeaders (headers: Record<string, string>): string {
  return Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
}

/**
 * Reads a request to its end; rejects if its connection closes before.
 *
 * @example
 * const text = await readBody(request)
 */
export async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}
