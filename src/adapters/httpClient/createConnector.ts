/** Opens the connections of HTTP clients, so that the end of one reaches its client behind the bytes before it, and never as a paused parser's end. */
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'
import VError from 'verror'

/**
 * Creates the `connect` option of undici's clients. `timeoutMs`: time for opening a connection, in milliseconds; a connection that takes longer fails with
 * `UND_ERR_CONNECT_TIMEOUT`.
 *
 * undici completes a response that is to end with its connection when the socket ends or closes, and asserts that its parser is not paused then. The assertion
 * fails in a callback of the socket, where nothing can catch it. With these connections `end`, and a reset by the other side, wait until everything has been
 * read, and each other close is an error, which undici reports to the request without asking the parser.
 *
 * @example
 * const client = new Client('http://10.128.0.9:8080', { connect: createConnector(500) })
 */
export function createConnector (timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs })
  return (options, callback) => {
    connect(options, (...result) => {
      if (result[1]) {
        holdEndUntilRead(result[1])
        reportCloses(result[1])
      }
      callback(...result)
    })
  }
}

/**
 * Holds the end of a socket, or the error of its reading, back while its client does not read. undici reads at each `readable` event unless its parser is paused.
 * All other errors, and our own closes, take effect at once.
 */
function holdEndUntilRead (socket: Socket): void {
  const { push, read, destroy } = socket
  let deliverEnd: (() => void) | undefined
  let hasReadAll = false
  const releaseEnd = (): void => {
    if (!deliverEnd || socket.destroyed) return
    hasReadAll = false
    socket.emit('readable')
    if (!hasReadAll) return
    const deliver = deliverEnd
    deliverEnd = undefined
    deliver()
  }
  const holdEnd = (deliver: () => void): void => {
    deliverEnd ??= deliver
    releaseEnd()
  }
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (chunk !== null) return push.call(socket, chunk, encoding)
    // A reset that arrives together with data is reported as an end. After a reset the socket has no remote address.
    if (socket.remoteAddress === undefined) holdEnd(() => destroy.call(socket, new VError('the connection was reset')))
    else {
      holdEnd(() => {
        push.call(socket, null)
        read.call(socket, 0)
      })
    }
    return false
  }
  socket.read = (size?: number): unknown => {
    const chunk: unknown = read.call(socket, size)
    if (size === undefined && chunk === null) {
      hasReadAll = true
      // A parser that goes on reads before it handles what it holds, which may pause it again.
      if (deliverEnd) process.nextTick(releaseEnd)
    }
    return chunk
  }
  socket.destroy = (error?: Error) => {
    if ((error as NodeJS.ErrnoException | undefined)?.syscall !== 'read') return destroy.call(socket, error)
    holdEnd(() => destroy.call(socket, error))
    return socket
  }
}

/** undici takes a close without an error, and a reset, for a possible end of the response. */
function reportCloses (socket: Socket): void {
  const { _destroy } = socket
  socket._destroy = (error, callback) => { _destroy.call(socket, describeClose(socket, error), callback) }
}

function describeClose (socket: Socket, error: Error | null): Error | null {
  if (error === null) return socket.readableEnded ? null : new VError('the connection was closed before its end')
  // The code decides; the wrapped error has none.
  return (error as NodeJS.ErrnoException).code === 'ECONNRESET' ? new VError(error, 'the connection was reset') : error
}
