/** Runs one request on an engine and turns its answer into events. */
import { StringDecoder } from 'node:string_decoder'
import type { Dispatcher, Pool } from 'undici'
import type { GenerateEvent, GenerateOrder, Generation } from '../../ports/engine.js'
import { createMayHaveRun, createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { parseEngineError } from './openaiEngine.js'

const eventEnd = '\n\n'
const lastEvent = 'data: [DONE]'
/** Errors after which the engine certainly has not seen the request. */
const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

type Send = (event: GenerateEvent) => void

/** Receives the parts of one HTTP answer. */
class GenerationHandler implements Dispatcher.DispatchHandler {
  #address: string
  #order: GenerateOrder
  #handleField: RegExp
  #send: Send
  #controller: Dispatcher.DispatchController | undefined
  #decoder = new StringDecoder('utf8')
  #status = 0
  #rest = ''
  #isDone = false
  #isClosed = false

  constructor (address: string, order: GenerateOrder, send: Send) {
    this.#address = address
    this.#order = order
    this.#handleField = createHandlePattern(order.handle)
    this.#send = send
  }

  cancel (): void {
    this.#isClosed = true
    this.#controller?.abort(new Error('the request was cancelled'))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#isClosed) controller.abort(new Error('the request was cancelled'))
  }

  onResponseStart (_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.#status = statusCode
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#rest += this.#decoder.write(chunk)
    if (this.#status === 200 && this.#order.isStream) this.#sendWholeEvents()
  }

  onResponseEnd (): void {
    if (this.#isClosed) return
    if (this.#status !== 200) this.#fail(createEngineRefusal(this.#status, this.#rest), false)
    else if (!this.#order.isStream) this.#finish(this.#rest)
    else if (this.#isDone) this.#finish('')
    else this.#fail(createMayHaveRun('answer_cut', `the answer from ${this.#address} ended before its last event`, 502), false)
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#isClosed) return
    const code = (error as NodeJS.ErrnoException).code ?? ''
    if (neverSentCodes.has(code)) {
      this.#fail(createNotRun('endpoint_unreachable', `no connection to ${this.#address}: ${code}`, 503), true)
    } else {
      this.#fail(createMayHaveRun('endpoint_lost', `the connection to ${this.#address} was lost: ${error.message}`, 502), true)
    }
  }

  /** Passes on what has come up to the last whole event, so that no event is ever split. */
  #sendWholeEvents (): void {
    const end = this.#rest.lastIndexOf(eventEnd)
    if (end < 0) return
    const data = this.#rest.slice(0, end + eventEnd.length)
    this.#rest = this.#rest.slice(end + eventEnd.length)
    if (data.trimEnd().endsWith(lastEvent)) this.#isDone = true
    if (!this.#isClosed) this.#sendData(data)
  }

  /** Shows the caller the adapter and version in place of the handle. */
  #sendData (data: string): void {
    this.#send({ type: 'data', data: data.replace(this.#handleField, `"model":"${this.#order.model}"`) })
  }

  #finish (data: string): void {
    if (data.length > 0) this.#sendData(data)
    this.#isClosed = true
    this.#send({ type: 'end' })
  }

  #fail (failure: RequestFailure, isEndpointLost: boolean): void {
    this.#isClosed = true
    this.#send({ type: 'failed', failure, isEndpointLost })
  }
}

/** The engine answered that it does not run the request. */
function createEngineRefusal (status: number, text: string): RequestFailure {
  const error = parseEngineError(text)
  if (status >= 500 && status !== 503) return createMayHaveRun(error.code, error.message, 502)
  return createNotRun(error.code, error.message, status)
}

/** Starts a request; see `Engine.generate`. */
export function runGeneration (pool: Pool, address: string, order: GenerateOrder, send: Send): Generation {
  const handler = new GenerationHandler(address, order, send)
  pool.dispatch({
    method: 'POST',
    path: order.path,
    body: addModel(order.body, order.handle),
    headers: {
      'content-type': 'application/json',
      'x-request-id': `${order.requestId}/${order.attempt}`,
      'x-priority': String(order.priority)
    },
    headersTimeout: 0,
    bodyTimeout: 0
  }, handler)
  return { cancel: () => handler.cancel() }
}

/** Puts the model's name in front of a JSON object that has none, without parsing it again. */
function addModel (body: string, handle: string): string {
  const separator = body === '{}' ? '' : ','
  return `{"model":${JSON.stringify(handle)}${separator}${body.slice(1)}`
}

/** Matches the `model` field; in the text of an answer its quotes would be escaped. */
function createHandlePattern (handle: string): RegExp {
  const escaped = JSON.stringify(handle).replace(/[.*+?^${}()|[\]\\]/g, '\\$&')
  return new RegExp(`"model":\\s*${escaped}`, 'g')
}
