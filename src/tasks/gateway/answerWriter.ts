/** Writes one answer to its caller, streamed or whole, and marks it when it is not whole. */
import { maxBufferedAnswerBytes } from '../../constants.js'
import { createMayHaveRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { AnswerResponse } from './answerRecorder.js'
import { renderErrorBody, renderErrorHeaders } from './callerError.js'
import type { AnswerEvent, AnswerSource, RoutedRequest } from './routedRequest.js'

export interface AnswerWriterOptions {
  response: AnswerResponse
  request: Pick<RoutedRequest, 'requestId' | 'adapter' | 'version' | 'isStream'>
  /** Gives up the request when its caller does not read. */
  cancel: () => void
}

export class AnswerWriter {
  #options: AnswerWriterOptions
  #parts: string[] = []
  #partBytes = 0
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
      this.#keepPart(data)
      return
    }
    const { response } = this.#options
    if (!response.headersSent) response.writeHead(200, { ...this.#renderHeaders(), 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
    response.write(data)
    if (response.writableLength > maxBufferedAnswerBytes) this.#giveUp('the caller reads too slowly')
  }

  #keepPart (data: string): void {
    this.#parts.push(data)
    this.#partBytes += data.length
    if (this.#partBytes > maxBufferedAnswerBytes) this.#giveUp(`the answer is longer than ${maxBufferedAnswerBytes} bytes`)
  }

  #giveUp (reason: string): void {
    this.#options.cancel()
    this.#writeFailure(createMayHaveRun('answer_too_large', reason, 502))
  }

  #writeEnd (): void {
    const { response, request } = this.#options
    if (request.isStream) {
      response.end()
      return
    }
    const body = this.#parts.join('')
    response.writeHead(200, {
      ...this.#renderHeaders(), 'content-type': 'application/json', 'content-length': Buffer.byteLength(body)
    })
    response.end(body)
  }

  /** Without its last event, `[DONE]`, a stream that was cut cannot be taken for a whole answer. */
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
