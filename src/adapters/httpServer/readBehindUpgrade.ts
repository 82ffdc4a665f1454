/** Has a server read what follows a request that asks for another protocol. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** What this uses of Node.js's parser of a connection, which is not documented. */
interface ConnectionParser {
  readonly constructor: { readonly kOnExecute: number }
  /** The request that is being read, or the last one that was. */
  readonly incoming: (IncomingMessage & { upgrade?: boolean }) | null
  /** Returns how many bytes were read. */
  execute: (bytes: Buffer) => number | Error
  getCurrentBuffer: () => Buffer
  [callback: number]: (result: number | Error) => void
}

const followed = new WeakSet<Socket>()

/**
 * To be called when a request that asks for another protocol has arrived on a connection. Node.js stops to read there and, as nothing takes the
 * connection over, drops what else has arrived: whole requests, or the head of one whose body it would then read as a request. Returns false
 * if this version of Node.js does not let what follows be read, so that the request has to be the connection's last one.
 *
 * @example
 * const isLast = message.headers.upgrade !== undefined && !readBehindUpgrade(message.socket)
 */
export function readBehindUpgrade (socket: Socket): boolean {
  if (followed.has(socket)) return true
  const { parser } = socket as Socket & { parser?: ConnectionParser }
  const kOnExecute = parser?.constructor.kOnExecute
  const receiveResult = kOnExecute === undefined ? undefined : parser?.[kOnExecute]
  if (!parser || kOnExecute === undefined || !receiveResult || !('getCurrentBuffer' in parser)) return false
  followed.add(socket)
  let lastRead: IncomingMessage | null = null
  parser[kOnExecute] = result => {
    let rest = parser.getCurrentBuffer()
    while (typeof result === 'number' && result !== rest.length) {
      const { incoming } = parser
      // A request for a tunnel.
      if (incoming?.upgrade) break
      // Nothing was read to its end, so that these bytes are no request; the parser does not say so behind one that asks for another protocol.
      if (!incoming?.complete || incoming === lastRead) {
        result = Object.assign(new Error('Parse Error: no request behind one that asks for another protocol'), { code: 'HPE_INVALID_CONSTANT' })
        break
      }
      lastRead = incoming
      rest = rest.subarray(result)
      result = parser.execute(rest)
    }
    if (parser.incoming?.complete) lastRead = parser.incoming
    receiveResult(result)
  }
  return true
}
