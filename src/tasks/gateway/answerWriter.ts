/** Writes one response to its caller, streamed or in one piece, and reports a failure if it is incomplete. */
import { maxBufferedResponseBytes } from '../../constants.js'
import { createMayHaveRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { ResponseSink } from './answerRecorder.js'
import { renderErrorBody, renderErrorHeaders } from './callerError.js'
import type { AnswerEvent, AnswerSource, RoutedRequest } from './routedRequest.js'

export interface AnswerWriterOptions {
  response: ResponseSink
  request: Pick<RoutedRequest, 'requestId' | 'adapter' | 'version' | 'isStream'>
  /** Cancels the request if its caller reads too slowly or its response is too long to buffer. */
  cancel: () => void
}

export class AnswerWriter {
  #options: AnswerWriterOptions
  #chunks: string[] = []
  #bufferedBytes = 0
  #source: AnswerSource | undefined

  constructor (options: AnswerWriterOptions) {
    this.#options = options
  }

  receive (event: AnswerEvent): void {
    this.#source = event.source ?? this.#source
    if (event.type === 'failed') this.#writeFailure(event.failure)
    else if (event.type === 'data') this.#writeData(event.data)
    else this.#writeEnd()
  }

  #writeData (data: string): void {
    if (!this.#options.request.isStream) {
      this.#bufferChunk(data)
      return
    }
    const { response } = this.#options
    if (!response.headersSent) response.writeHead(200, { ...this.#renderHeaders(), 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
    response.write(data)
    if (response.writableLength > maxBufferedResponseBytes) this.#cancelAsTooLarge('the caller reads the response too slowly')
  }

  #bufferChunk (data: string): void {
    this.#chunks.push(data)
    this.#bufferedBytes += data.length
    if (this.#bufferedBytes > maxBufferedResponseBytes) this.#cancelAsTooLarge(`the response is longer than ${maxBufferedResponseBytes} bytes`)
  }

  #cancelAsTooLarge (reason: string): void {
    this.#options.cancel()
    this.#writeFailure(createMayHaveRunFailure('answer_too_large', reason, 502))
  }

  #writeEnd (): void {
    const { response, request } = this.#options
    if (request.isStream) {
      response.end()
      return
    }
    const body = this.#chunks.join('')
    response.writeHead(200, {
      ...this.#renderHeaders(), 'content-type': 'application/json', 'content-length': Buffer.byteLength(body)
    })
    response.end(body)
  }

  /** A failed stream ends without its last event, `[DONE]`, so that callers can't mistake it for a complete response. */
  #writeFailure (failure: RequestFailure): void {
    const { response } = this.#options
    if (response.destroyed) return
    const body = renderErrorBody(failure)
    if (response.headersSent) {
      response.end(`event: error\ndata: ${body}\n\n`)
      return
    }
    response.writeHead(failure.status, {
      ...this.#renderHeaders(), ...renderErrorHeaders(failure), 'content-type': 'application/json', 'content-length': Buffer.byteLength(body)
    })
    response.end(body)
  }

  #renderHeaders (): Record<string, string> {
    const { requestId, adapter, version } = this.#options.request
    const headers: Record<string, string> = {
      'sedgevalve-request-id': requestId, 'sedgevalve-adapter': adapter, 'sedgevalve-version': version
    }
    if (this.#source) {
      headers['sedgevalve-endpoint'] = this.#source.endpointId
      headers['sedgevalve-attempt'] = String(this.#source.attempt)
    }
    return headers
  }
}
