/** Runs a request on an engine, or resumes its response, and reports the response as events. */
import { StringDecoder } from 'node:string_decoder'
import type { Dispatcher, Pool } from 'undici'
import { isStatusValid } from '../../core/isStatusValid.js'
import type { GenerateEvent, GenerationRequest, Generation } from '../../ports/engine.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { parseEngineError } from './engineError.js'
import { EventReader } from './eventReader.js'
import { createHandleReplacer } from './handleReplacer.js'

/** Connect errors: the engine has certainly not received the request. */
const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])
/** Errors for an engine that keeps the connection open but sends no data. */
const idleCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])
const cancelTimeoutMs = 2000

type SendEvent = (event: GenerateEvent) => void
type MayStart = () => boolean

/** Handles one HTTP response. */
class GenerationHandler implements Dispatcher.DispatchHandler {
  #address: string
  #request: GenerationRequest
  #replaceHandle: (data: string) => string
  #send: SendEvent
  #mayStart: MayStart
  #controller: Dispatcher.DispatchController | undefined
  #decoder = new StringDecoder('utf8')
  #events: EventReader
  #status = 0
  #body = ''
  #isClosed = false

  constructor (address: string, request: GenerationRequest, send: SendEvent, mayStart: MayStart) {
    this.#address = address
    this.#request = request
    this.#replaceHandle = createHandleReplacer(request)
    this.#send = send
    this.#mayStart = mayStart
    this.#events = new EventReader(request.resumeFrom ?? 0)
  }

  cancel (): void {
    this.#isClosed = true
    this.#controller?.abort(new Error('the request was cancelled'))
  }

  /** Called synchronously with the write of the request to its connection, after any wait for a connection. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (!this.#isClosed && this.#request.resumeFrom === undefined && !this.#mayStart()) {
      this.#fail(createNotRunFailure('order_withdrawn', `the request was withdrawn before it was sent to ${this.#address}`, 503), false)
    }
    if (this.#isClosed) controller.abort(new Error('the request was cancelled'))
  }

  onResponseStart (controller: Dispatcher.DispatchController, statusCode: number): void {
    this.#status = statusCode
    if (this.#isClosed || isStatusValid(statusCode)) return
    const failure = createMayHaveRunFailure('endpoint_lost', `${this.#address} sent a response with status ${statusCode}, which is not valid`, 502)
    this.#fail(failure, this.#request.resumeFrom !== undefined)
    controller.abort(new Error(failure.message))
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const text = this.#decoder.write(chunk)
    if (this.#status === 200 && this.#request.isStream) this.#receiveEvents(text)
    else this.#body += text
  }

  onResponseEnd (): void {
    if (this.#isClosed) return
    if (this.#status !== 200) this.#receiveErrorResponse()
    else if (!this.#request.isStream) this.#finish(this.#body)
    else this.#failTruncated()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#isClosed) return
    const code = (error as NodeJS.ErrnoException).code ?? ''
    if (neverSentCodes.has(code)) {
      this.#fail(this.#createUnreachableFailure(code), true)
    } else if (idleCodes.has(code)) {
      this.#fail(createMayHaveRunFailure('endpoint_stalled', `${this.#address} sent no data for too long`, 504), false)
    } else {
      const failure = createMayHaveRunFailure('endpoint_lost', `the connection to ${this.#address} was lost: ${error.message}`, 502)
      this.#fail(failure, true, this.#getResumePosition())
    }
  }

  #createUnreachableFailure (code: string): RequestFailure {
    const message = `no connection to ${this.#address}: ${code}`
    return this.#request.resumeFrom === undefined
      ? createNotRunFailure('endpoint_unreachable', message, 503)
      : createMayHaveRunFailure('endpoint_unreachable', message, 502)
  }

  #receiveEvents (text: string): void {
    if (this.#isClosed) return
    const events = this.#events.read(text)
    if (events.length > 0) this.#sendData(events)
    if (this.#events.state === 'done') this.#finish('')
    else if (this.#events.state === 'gap') this.#failGap()
  }

  /** Sends data with the handle replaced by the adapter and version. */
  #sendData (data: string): void {
    this.#send({ type: 'data', data: this.#replaceHandle(data) })
  }

  #finish (data: string): void {
    if (data.length > 0) this.#sendData(data)
    this.#isClosed = true
    this.#send({ type: 'end' })
  }

  #failTruncated (): void {
    const failure = createMayHaveRunFailure('answer_cut', `the response from ${this.#address} ended before its last event`, 502)
    this.#fail(failure, false, this.#getResumePosition())
  }

  #failGap (): void {
    const failure = createMayHaveRunFailure('answer_gap', `event ${this.#events.nextId} of the response from ${this.#address} is missing`, 502)
    this.#fail(failure, false, this.#getResumePosition())
    this.#controller?.abort(new Error(failure.message))
  }

  #receiveErrorResponse (): void {
    const error = parseEngineError(this.#body)
    if (this.#request.resumeFrom !== undefined) {
      // The engine no longer has the response, so it has probably restarted.
      this.#fail(createMayHaveRunFailure(error.code, error.message, 502), true)
    } else if (this.#status >= 500 && this.#status !== 503) {
      this.#fail(createMayHaveRunFailure(error.code, error.message, 502), false)
    } else {
      this.#fail(createNotRunFailure(error.code, error.message, this.#status), false)
    }
  }

  /** A response that is not streamed is requested again from its start; a stream without event numbers cannot be resumed. */
  #getResumePosition (): number | undefined {
    if (!this.#request.isStream) return 0
    return this.#events.isNumbered ? this.#events.nextId : undefined
  }

  #fail (failure: RequestFailure, isEndpointLost: boolean, resumeFrom?: number): void {
    this.#isClosed = true
    this.#send({ type: 'failed', failure, isEndpointLost, ...(resumeFrom !== undefined && { resumeFrom }) })
  }
}

/** Starts a request or resumes its response; see `Engine.generate`. */
export function runGeneration (pool: Pool, address: string, request: GenerationRequest, idleTimeoutMs: number, send: SendEvent, mayStart: MayStart): Generation {
  const handler = new GenerationHandler(address, request, send, mayStart)
  const timeouts = { headersTimeout: idleTimeoutMs, bodyTimeout: idleTimeoutMs }
  const streamPath = `/v1/streams/${request.requestId}/${request.attempt}`
  pool.dispatch(request.resumeFrom === undefined
    ? { method: 'POST', path: request.path, body: addModel(request.body, request.handle), headers: createHeaders(request), ...timeouts }
    : { method: 'GET', path: `${streamPath}?from=${request.resumeFrom}`, ...timeouts }, handler)
  return {
    cancel: () => {
      handler.cancel()
      cancelOnEngine(pool, streamPath)
    }
  }
}

/** Cancels explicitly: an engine whose connection closes keeps generating for a while, since the response could be resumed. */
async function cancelOnEngine (pool: Pool, path: string): Promise<void> {
  try {
    const response = await pool.request({ method: 'DELETE', path, headersTimeout: cancelTimeoutMs, bodyTimeout: cancelTimeoutMs })
    await response.body.dump()
  } catch {
    // Ignored: the engine cancels a response that nobody resumes.
  }
}

function createHeaders (request: GenerationRequest): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-request-id': `${request.requestId}/${request.attempt}`,
    'x-priority': String(request.priority)
  }
}

/** Inserts the `model` field at the start of a JSON object that has none, without parsing the object. */
function addModel (body: string, handle: string): string {
  const separator = body === '{}' ? '' : ','
  return `{"model":${JSON.stringify(handle)}${separator}${body.slice(1)}`
}
