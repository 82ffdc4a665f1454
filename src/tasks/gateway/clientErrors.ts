/** What a client gets that sends something other than HTTP, or too many headers. */
import type { Socket } from 'node:net'
import { maxHeaderBytes } from '../../constants.js'
import { createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { renderErrorBody } from './callerError.js'

const headersTooLargeStatus = 431

/**
 * Creates the handler that a server calls for a connection whose request cannot be read.
 *
 * @example
 * fastify({ clientErrorHandler: createClientErrorHandler(failure => countBadInput(failure.code)) })
 */
export function createClientErrorHandler (
  receiveFailure: (failure: RequestFailure) => void
): (error: NodeJS.ErrnoException, socket: Socket) => void {
  return (error, socket) => {
    // A connection that was reset has sent nothing wrong.
    if (error.code === 'ECONNRESET' || !socket.writable) return
    const failure = createFailure(error)
    receiveFailure(failure)
    socket.end(renderResponse(failure))
  }
}

function createFailure (error: NodeJS.ErrnoException): RequestFailure {
  return error.code === 'HPE_HEADER_OVERFLOW'
    ? createNotRun('headers_too_large', `the headers are larger than ${maxHeaderBytes} bytes`, headersTooLargeStatus)
    : createNotRun('invalid_http', 'the request is not valid HTTP, or did not come in time', 400)
}

function renderResponse (failure: RequestFailure): string {
  const body = renderErrorBody(failure)
  return [
    `HTTP/1.1 ${failure.status === headersTooLargeStatus ? '431 Request Header Fields Too Large' : '400 Bad Request'}`,
    'sedgevalve-verdict: not-run', 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`,
    'connection: close', '', body
  ].join('\r\n')
}
