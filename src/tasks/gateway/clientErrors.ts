/** Responses to clients that send invalid HTTP, too large headers, or a request too slowly. */
import { maxHeaderBytes } from '../../constants.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { renderErrorBody } from './callerError.js'

const statusLines: Record<number, string> = {
  400: '400 Bad Request',
  408: '408 Request Timeout',
  431: '431 Request Header Fields Too Large'
}

/** Creates the failure that a client is told for an error of Node.js's HTTP parser or of its timeouts. */
export function createFailure (error: NodeJS.ErrnoException): RequestFailure {
  if (error.code === 'HPE_HEADER_OVERFLOW') return createNotRunFailure('headers_too_large', `the headers are larger than ${maxHeaderBytes} bytes`, 431)
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return createNotRunFailure('request_timeout', 'the request was not received completely in time', 408)
  return createNotRunFailure('invalid_http', 'the request is not valid HTTP', 400)
}

/** Renders the whole response to bytes that are no request; it is the last one of its connection. */
export function renderResponse (failure: RequestFailure): string {
  const body = renderErrorBody(failure)
  const headers = Object.entries(renderFinalHeaders(body)).map(([name, value]) => `${name}: ${value}`)
  return [`HTTP/1.1 ${statusLines[failure.status]}`, ...headers, '', body].join('\r\n')
}

/** Renders the headers of such a response. */
export function renderFinalHeaders (body: string): Record<string, string> {
  return {
    'sedgevalve-verdict': 'not-run', 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), connection: 'close'
  }
}
