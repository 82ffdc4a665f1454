/** Runs one request on an engine, or resumes its answer, and turns the answer into events. */
import { StringDecoder } from 'node:string_decoder'
import type { Dispatcher, Pool } from 'undici'
import type { GenerateEvent, GenerateOrder, Generation } from '../../ports/engine.js'
import { createMayHaveRun, createNotRun } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { parseEngineError } from './engineError.js'
import { EventReader } from './eventReader.js'
import { createHandleReplacer } from './handleReplacer.js'

/** Errors after which the engine certainly has not seen the request. */
const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])
/** Errors of an engine that holds the connection and sends nothing. */
const idleCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])
const cancelTimeoutMs = 2000

type Send = (event: GenerateEvent) => void
type MayStart = () => boolean

/** Receives the parts of one HTTP answer. */
class GenerationHandler implements Dispatcher.DispatchHandler {
  #address: string
  #order: GenerateOrder
  #replaceHandle: (data: string) => string
  #send: Send
  #mayStart: MayStart
  #controller: Dispatcher.DispatchController | undefined
  #decoder = new StringDecoder('utf8')
  #events: EventReader
  #status = 0
  #body = ''
  #isClosed = false

  constructor (address: string, order: GenerateOrder, send: Send, mayStart: MayStart) {
    this.#address = address
    this.#order = order
    this.#replaceHandle = createHandleReplacer(order)
    this.#send = send
    this.#mayStart = mayStart
    this.#events = new EventReader(order.resumeFrom ?? 0)
  }

  cancel (): void {
    this.#isClosed = true
    this.#controller?.abort(new Error('the request was cancelled'))
  }

  /** Called in the same step that writes the request to its connection. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (!this.#isClosed && this.#order.resumeFrom === undefined && !this.#mayStart()) {
      this.#fail(createNotRun('order_withdrawn', `the request was withdrawn before it was sent to ${this.#address}`, 503), false)
    }
    if (this.#isClosed) controller.abort(new Error('the request was cancelled'))
  }

  onResponseStart (_controller: Dispatcher.DispatchController, statusCode: number): void {
    this.#status = statusCode
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const text = this.#decoder.write(chunk)
    if (this.#status === 200 && this.#order.isStream) this.#receiveEvents(text)
    else this.#body += text
  }

  onResponseEnd (): void {
    if (this.#isClosed) return
    if (this.#status !== 200) this.#receiveRefusal()
    else if (!this.#order.isStream) this.#finish(this.#body)
    else this.#failCut()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#isClosed) return
    const code = (error as NodeJS.ErrnoException).code ?? ''
    if (neverSentCodes.has(code)) {
      this.#fail(this.#createUnreachable(code), true)
    } else if (idleCodes.has(code)) {
      this.#fail(createMayHaveRun('endpoint_stalled', `${this.#address} sent nothing for too long`, 504), false)
    } else {
      const failure = createMayHaveRun('endpoint_lost', `the connection to ${this.#address} was lost: ${error.message}`, 502)
      this.#fail(failure, true, this.#findResumePoint())
    }
  }

  #createUnreachable (code: string): RequestFailure {
    const message = `no connection to ${this.#address}: ${code}`
    return this.#order.resumeFrom === undefined
      ? createNotRun('endpoint_unreachable', message, 503)
      : createMayHaveRun('endpoint_unreachable', message, 502)
  }

  #receiveEvents (text: string): void {
    if (this.#isClosed) return
    const events = this.#events.read(text)
    if (events.length > 0) this.#sendData(events)
    if (this.#events.state === 'done') this.#finish('')
    else if (this.#events.state === 'gap') this.#failGap()
  }

  /** Shows the caller the adapter and version in place of the handle. */
  #sendData (data: string): void {
    this.#send({ type: 'data', data: this.#replaceHandle(data) })
  }

  #finish (data: string): void {
    if (data.length > 0) this.#sendData(data)
    this.#isClosed = true
    this.#send({ type: 'end' })
  }

  #failCut (): void {
    const failure = createMayHaveRun('answer_cut', `the answer from ${this.#address} ended before its last event`, 502)
    this.#fail(failure, false, this.#findResumePoint())
  }

  #failGap (): void {
    const failure = createMayHaveRun('answer_gap', `event ${this.#events.nextId} of the answer from ${this.#address} is missing`, 502)
    this.#fail(failure, false, this.#findResumePoint())
    this.#controller?.abort(new Error(failure.message))
  }

  #receiveRefusal (): void {
    const error = parseEngineError(this.#body)
    if (this.#order.resumeFrom !== undefined) {
      // The engine has lost the answer, so it has probably restarted.
      this.#fail(createMayHaveRun(error.code, error.message, 502), true)
    } else if (this.#status >= 500 && this.#status !== 503) {
      this.#fail(createMayHaveRun(error.code, error.message, 502), false)
    } else {
      this.#fail(createNotRun(error.code, error.message, this.#status), false)
    }
  }

  /** A whole answer is asked for again from its start; a stream without numbers cannot be continued. */
  #findResumePoint (): number | undefined {
    if (!this.#order.isStream) return 0
    return this.#events.isNumbered ? this.#events.nextId : undefined
  }

  #fail (failure: RequestFailure, isEndpointLost: boolean, resumeFrom?: number): void {
    this.#isClosed = true
    this.#send({ type: 'failed', failure, isEndpointLost, ...(resumeFrom !== undefined && { resumeFrom }) })
  }
}

/** Starts a request or resumes its answer; see `Engine.generate`. */
export function runGeneration (pool: Pool, address: string, order: GenerateOrder, idleTimeoutMs: number, send: Send, mayStart: MayStart): Generation {
  const handler = new GenerationHandler(address, order, send, mayStart)
  const timeouts = { headersTimeout: idleTimeoutMs, bodyTimeout: idleTimeoutMs }
  const streamPath = `/v1/streams/${order.requestId}/${order.attempt}`
  pool.dispatch(order.resumeFrom === undefined
    ? { method: 'POST', path: order.path, body: addModel(order.body, order.handle), headers: createHeaders(order), ...timeouts }
    : { method: 'GET', path: `${streamPath}?from=${order.resumeFrom}`, ...timeouts }, handler)
  return {
    cancel: () => {
      handler.cancel()
      cancelOnEngine(pool, streamPath)
    }
  }
}

/** A closed connection alone does not stop the work, since the answer could be resumed. */
async function cancelOnEngine (pool: Pool, path: string): Promise<void> {
  try {
    const response = await pool.request({ method: 'DELETE', path, headersTimeout: cancelTimeoutMs, bodyTimeout: cancelTimeoutMs })
    await response.body.dump()
  } catch {
    // The engine gives up an answer that nobody resumes.
  }
}

function createHeaders (order: GenerateOrder): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-request-id': `${order.requestId}/${order.attempt}`,
    'x-priority': String(order.priority)
  }
}

/** Puts the model's name in front of a JSON object that has none, without parsing it again. */
function addModel (body: string, handle: string): string {
  const separator = body === '{}' ? '' : ','
  return `{"model":${JSON.stringify(handle)}${separator}${body.slice(1)}`
}
