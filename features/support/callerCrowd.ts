/** Crowds of callers that hold more than their share of a server: each connection is opened again once it is closed. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'

export interface CrowdTarget {
  host: string
  port: number
  /** Lines of the head of a request that the server accepts, the request line first; one with a body, one whose response is long. */
  plain: readonly string[]
  withBody: readonly string[]
  long: readonly string[]
}

interface CrowdKind {
  connections: number
  /** Begins to send on a new connection. */
  begin: (socket: Socket, target: CrowdTarget) => void
}

const maxBodyBytes = 4_000_000
const smallChunks = Buffer.from('1\r\nx\r\n'.repeat(60_000))
const largeChunk = Buffer.from(`fa00\r\n${'x'.repeat(0xfa00)}\r\n`)
const reopenMs = 20
const readIntervalMs = 100
const bigHeader = `x-filler: ${'f'.repeat(15_000)}`

function formatHead (lines: readonly string[]): string {
  return `${lines.join('\r\n')}\r\n\r\n`
}

/** Sends requests as fast as the server takes them and reads none of the responses. */
function sendAhead (socket: Socket, head: string): void {
  const requests = Buffer.from(head.repeat(Math.ceil(100_000 / head.length)))
  const send = (): void => { while (!socket.destroyed && socket.write(requests)); }
  socket.pause()
  socket.on('drain', send)
  send()
}

function sendBody (socket: Socket, { withBody }: CrowdTarget, chunks: readonly Buffer[]): void {
  socket.resume()
  socket.write(formatHead([...withBody, 'transfer-encoding: chunked']))
  let index = 0
  const send = (): void => { while (index < chunks.length && !socket.destroyed && socket.write(chunks[index++]!)); }
  socket.on('drain', send)
  send()
}

export const crowdKinds = {
  'send requests ahead and read nothing': { connections: 40, begin: (socket, { plain }) => sendAhead(socket, formatHead(plain)) },
  'send bare request lines ahead and read nothing': { connections: 40, begin: (socket, { plain }) => sendAhead(socket, formatHead(plain.slice(0, 1))) },
  'send requests with large heads ahead and read nothing': { connections: 80, begin: (socket, { plain }) => sendAhead(socket, formatHead([...plain, bigHeader])) },
  'send bodies in one-byte chunks and hold them open': { connections: 60, begin: (socket, target) => sendBody(socket, target, [smallChunks]) },
  'send bodies in large chunks and hold them open': { connections: 60, begin: (socket, target) => sendBody(socket, target, Array.from({ length: Math.floor(maxBodyBytes / 0xfa00) }, () => largeChunk)) },
  'read long responses slowly': {
    connections: 150,
    begin: (socket, { long }) => {
      socket.pause()
      socket.write(formatHead(long))
      const timer = setInterval(() => { socket.read(1000) }, readIntervalMs)
      socket.on('close', () => clearInterval(timer))
    }
  },
  'open connections and send nothing': { connections: 600, begin: socket => { socket.resume() } }
} satisfies Record<string, CrowdKind>
export type CrowdName = keyof typeof crowdKinds

/**
 * Keeps the connections of a crowd open until it is stopped.
 *
 * @example
 * const crowd = startCrowd('send requests ahead and read nothing', target)
 * crowd.stop()
 */
export function startCrowd (name: CrowdName, target: CrowdTarget): { stop: () => void } {
  const { connections, begin }: CrowdKind = crowdKinds[name]
  const sockets = new Set<Socket>()
  let isStopped = false
  const open = (): void => {
    if (isStopped) return
    const socket = connect({ host: target.host, port: target.port })
    sockets.add(socket)
    socket.on('error', () => {}).on('connect', () => begin(socket, target)).on('close', () => {
      sockets.delete(socket)
      setTimeout(open, reopenMs)
    })
  }
  for (let index = 0; index < connections; index++) open()
  return {
    stop: () => {
      isStopped = true
      for (const socket of sockets) socket.destroy()
    }
  }
}
