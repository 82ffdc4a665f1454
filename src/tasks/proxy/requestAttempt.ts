/** One attempt to serve a request: sends it to one endpoint and relays the response, or reports how the attempt failed. */
import { ByteBuffer } from '../../core/byteBuffer.js'
import { PieceLimit } from '../../core/pieceLimit.js'
import { isRetryable } from '../../core/retryRules.js'
import type { AttemptFailure } from '../../core/retryRules.js'
import { SseEventSplitter } from '../../core/sseEventSplitter.js'
import type { ResponseReceiver, SendFailure, RequestInFlight } from '../../ports/endpointLink.js'
import type { ResponseHead, CallerRequest } from '../../schemas/callerRequest.js'
import type { ReleaseOutcome, ReservationFigures } from '../../schemas/datagram.js'
import type { Route } from '../../schemas/routing.js'
import type { CallerResponse } from './callerResponse.js'
import type { ProxyContext } from './proxyContext.js'
import { isResponseTo } from './attemptTarget.js'
import type { AttemptTarget } from './attemptTarget.js'

export interface RequestAttemptOptions {
  request: CallerRequest
  response: CallerResponse
  route: Route
  target: AttemptTarget
  timeLeftMs: number
  /** Id of the last event that the caller received from an earlier attempt. */
  lastEventId: number | undefined
  /** Names and values in turn that are added to a success response. */
  addedHeaders: readonly string[]
}

export interface BufferedResponse {
  head: ResponseHead
  body: Buffer
}

export type AttemptResult = {
  bufferedResponse?: BufferedResponse
  retryAfterMs?: number
} & ({ kind: 'answered', status: number } | { kind: 'failed', failure: AttemptFailure })

/**
 * Responses up to this size are buffered until they are complete, so that a truncated one can be followed by a retry. A larger one is
 * relayed as it arrives, if its caller can get it at all.
 */
const maxBufferedBytes = 256 * 1024

export class RequestAttempt implements ResponseReceiver {
  #context: ProxyContext
  #options: RequestAttemptOptions
  #requestInFlight: RequestInFlight | undefined
  #startedAtMs = 0
  /** Standstills of the process before the request was passed to its link. */
  #standstillCount = 0
  #firstChunkMs = -1
  #lastChunkAtMs: number | undefined
  /** When the request was written to its connection; undefined before. */
  #sentAtMs: number | undefined
  #hasBegun = false
  /** Whether this attempt wrote the response head to the caller; an earlier attempt may have written it instead. */
  #hasWrittenHead = false
  #isFinished = false
  #head: ResponseHead | undefined
  #bufferedBody = new ByteBuffer()
  /** Pieces of a response that is no event stream. */
  #pieces = new PieceLimit()
  #eventSplitter: SseEventSplitter | undefined
  #resolve: (result: AttemptResult) => void = () => {}
  #reject: (error: Error) => void = () => {}

  constructor (context: ProxyContext, options: RequestAttemptOptions) {
    this.#context = context
    this.#options = options
  }

  get isSent (): boolean {
    return this.#sentAtMs !== undefined
  }

  /** When the request was written to its connection, in monotonic milliseconds; undefined before. */
  get sentAtMs (): number | undefined {
    return this.#sentAtMs
  }

  /** When anything last arrived from the target, in monotonic milliseconds; -Infinity if nothing did. */
  get lastContactAtMs (): number {
    return this.#options.target.link.activity.lastContactAtMs
  }

  /** Whether the endpoint has begun to write its answer: for a stream a whole event has arrived, otherwise a success response. */
  get hasBegun (): boolean {
    return this.#hasBegun
  }

  /** Milliseconds from sending the request to the first chunk of the response; -1 if none has arrived. */
  get firstChunkMs (): number {
    return this.#firstChunkMs
  }

  /** When the last chunk of a stream was written to the caller, in monotonic milliseconds; undefined if none was. */
  get lastChunkAtMs (): number | undefined {
    return this.#lastChunkAtMs
  }

  /** Id of the last complete event that was relayed to the caller; undefined if none was, or if events have no ids. */
  get lastEventId (): number | undefined {
    return this.#eventSplitter?.lastId ?? this.#options.lastEventId
  }

  /** Whether another attempt may follow: the caller has nothing of the response, or it is certain which event it got last. */
  get canBeFollowed (): boolean {
    return !this.#options.response.hasHead || this.lastEventId !== undefined
  }

  async run (): Promise<AttemptResult> {
    const { request, response, target, timeLeftMs, lastEventId } = this.#options
    const { clock, health, standstill } = this.#context
    this.#startedAtMs = clock.readMonotonic()
    const result = new Promise<AttemptResult>((resolve, reject) => {
      this.#resolve = resolve
      this.#reject = reject
    })
    health.recordRequestStart(target.id)
    if (standstill.isCatchingUp()) await standstill.waitForCloses()
    if (response.isCallerUncertain) await response.waitUntilCallerKnown()
    if (!this.#isFinished) {
      this.#standstillCount = standstill.countStandstills()
      this.#requestInFlight = target.link.send({
        id: request.requestId,
        method: request.method,
        path: request.path,
        headers: target.encodeHeaders(request, timeLeftMs - (clock.readMonotonic() - this.#startedAtMs), lastEventId),
        body: request.body
      }, this)
    }
    return await result
  }

  /** Ends the attempt and closes its connection, so that the endpoint stops working on the request. */
  cancel (): void {
    if (this.#isFinished) return
    this.#finish('withdrawn')
    this.#requestInFlight?.cancel()
  }

  // ResponseReceiver

  confirmSend (): boolean {
    // The caller may have left while the connection was opened and the process stood still.
    if (this.#context.standstill.countStandstills() !== this.#standstillCount || !this.#options.target.isAvailable()) return false
    this.#sentAtMs = this.#context.clock.readMonotonic()
    return true
  }

  receiveHead (status: number, rawHeaders: readonly string[]): void {
    const { target, request, route } = this.#options
    const head = target.decodeHead(status, rawHeaders, this.#startedAtMs)
    if (!isResponseTo(request, head)) {
      this.#failAndCancel(`the endpoint sent the response to another request, "${head.requestId}"`)
      return
    }
    // A faulty endpoint may repeat an earlier refusal, and run the request or be running it.
    if (head.isNotRun && head.requestId !== request.requestId) {
      this.#failAndCancel('the endpoint sent a refusal that does not name the request')
      return
    }
    if (status >= 200 && status < 300 && (!head.isSigned || head.isEncoded)) {
      this.#failAndCancel('the endpoint sent a success response that is unsigned or has a content encoding')
      return
    }
    this.#head = head
    if (route.kind !== 'stream' && status >= 200 && status < 300) this.#recordBegun()
    if (route.kind === 'stream' && status >= 200 && status < 300) this.#eventSplitter = new SseEventSplitter({ lastId: this.#options.lastEventId ?? request.lastEventId, isContinued: this.#options.response.hasHead })
  }

  receiveData (chunk: Buffer): boolean {
    if (this.#isFinished || !this.#head) return true
    if (this.#firstChunkMs < 0) this.#firstChunkMs = this.#context.clock.readMonotonic() - this.#startedAtMs
    if (this.#eventSplitter) return this.#relayEvents(this.#eventSplitter, chunk)
    if (this.#pieces.add(chunk.length)) {
      this.#failAndCancel('the endpoint sent its response in too many small pieces')
      return true
    }
    if (this.#hasWrittenHead) return this.#write(chunk)
    this.#bufferedBody.append(chunk)
    if (this.#bufferedBody.length <= maxBufferedBytes) return true
    if (!this.#canRelay(this.#head)) {
      this.#failAndCancel(`the endpoint sent more than ${maxBufferedBytes} bytes with status ${this.#head.status}, which its caller cannot get`)
      return true
    }
    this.#writeHead(this.#head)
    return this.#write(this.#bufferedBody.take())
  }

  receiveEnd (): void {
    if (this.#isFinished) return
    const head = this.#head
    if (!head) {
      this.#fail({ verdict: 'mayHaveRun', reason: 'the endpoint ended its response without sending a head', status: undefined })
    } else if (this.#eventSplitter) {
      if (this.#eventSplitter.isIncomplete) this.#fail({ verdict: 'mayHaveRun', reason: 'the stream ended in the middle of an event, or before the id of its first one was confirmed', status: undefined })
      // An engine that crashes before its first event closes the connection just as one that has nothing more to send.
      else if (!head.isFramed && !this.#hasBegun) this.#fail({ verdict: 'mayHaveRun', reason: 'the connection ended before the first event of the stream', status: undefined })
      else this.#completeResponse(head)
    } else {
      this.#handleCompleteResponse(head)
    }
  }

  receiveFailure (failure: SendFailure): void {
    if (failure.exception) {
      // It ends the request, as one in `serve` does; nothing is said about the endpoint.
      this.#reject(failure.exception)
      return
    }
    if (this.#isFinished) return
    this.#fail({ verdict: failure.kind === 'notSent' ? 'notRun' : 'mayHaveRun', reason: failure.reason, status: undefined })
  }

  #relayEvents (eventSplitter: SseEventSplitter, chunk: Buffer): boolean {
    const events = eventSplitter.add(chunk)
    const mayContinue = events.count > 0 ? this.#relay(events.bytes) : this.#write(events.bytes)
    if (events.defect === undefined) return mayContinue
    this.#failAndCancel(events.defect)
    return true
  }

  /** Relays complete events; returns false if the caller reads more slowly than they come. */
  #relay (bytes: Buffer): boolean {
    if (!this.#options.response.hasHead) this.#writeHead(this.#head!)
    this.#lastChunkAtMs = this.#context.clock.readMonotonic()
    this.#recordBegun()
    return this.#write(bytes)
  }

  #recordBegun (): void {
    if (this.#hasBegun) return
    this.#hasBegun = true
    this.#options.target.receiveBegun()
  }

  #writeHead (head: ResponseHead): void {
    const lengthHeader = head.contentLength === undefined || this.#eventSplitter ? [] : ['Content-Length', String(head.contentLength)]
    this.#hasWrittenHead = true
    this.#options.response.writeHead(head.status, [...head.headers, ...this.#options.addedHeaders, ...lengthHeader])
  }

  #write (chunk: Buffer): boolean {
    return this.#options.response.write(chunk, () => this.#requestInFlight?.resume())
  }

  /** Whether the response can be the caller's, who may have another head already, or may still be served by another endpoint. */
  #canRelay (head: ResponseHead): boolean {
    const { response, route } = this.#options
    if (response.hasHead || head.isNotRun) return false
    return head.status < 500 || !isRetryable(route.kind, route.isResumable)
  }

  /** Handles a complete response that is not an event stream: relays a success, and reports a failure that may be retried. */
  #handleCompleteResponse (head: ResponseHead): void {
    // The caller already has the beginning of a stream, which only the rest of that stream can complete.
    const isResumed = this.#options.response.hasHead && !this.#hasWrittenHead
    const isFailure = head.status >= 500 || head.isNotRun || isResumed
    if (!isFailure || this.#hasWrittenHead) {
      this.#completeResponse(head)
      return
    }
    const body = this.#bufferedBody.take()
    const reason = `the endpoint responded with status ${head.status}`
    const failure: AttemptFailure = { verdict: head.isNotRun ? 'notRun' : 'ran', reason, status: head.status }
    // The endpoint's statement that it did not run the request is not relayed: the proxy says so itself once it gives up.
    const bufferedResponse = head.isNotRun || isResumed ? undefined : { head, body }
    this.#fail(failure, { ...(bufferedResponse && { bufferedResponse }), ...(head.retryAfterMs !== undefined && { retryAfterMs: head.retryAfterMs }) })
  }

  #completeResponse (head: ResponseHead): void {
    const { response, target } = this.#options
    const body = this.#eventSplitter?.takeRest() ?? this.#bufferedBody.take()
    if (!response.hasHead) {
      response.writeHead(head.status, [...head.headers, ...this.#options.addedHeaders, 'Content-Length', String(body.length)])
      response.end(body)
    } else {
      response.end(body.length > 0 ? body : undefined)
    }
    this.#context.health.recordSuccess(target.id, this.#context.clock.readMonotonic() - this.#startedAtMs)
    this.#finish('served')
    this.#resolve({ kind: 'answered', status: head.status })
  }

  #failAndCancel (reason: string): void {
    if (this.#isFinished) return
    this.#fail({ verdict: 'mayHaveRun', reason, status: undefined })
    this.#requestInFlight?.cancel()
  }

  #fail (failure: AttemptFailure, extra: { bufferedResponse?: BufferedResponse, retryAfterMs?: number } = {}): void {
    const { target } = this.#options
    if (failure.verdict !== 'notRun' || failure.status === undefined) this.#context.health.recordFailure(target.id)
    this.#eventSplitter?.clear()
    this.#bufferedBody.clear()
    this.#finish(this.#getOutcome(failure))
    this.#resolve({ kind: 'failed', failure, ...extra })
  }

  #getOutcome (failure: AttemptFailure): ReleaseOutcome {
    if (failure.status === 421) return 'missing'
    if (failure.verdict === 'notRun') return failure.status === undefined ? 'unreachable' : 'rejected'
    return failure.status === undefined ? 'broken' : 'failed'
  }

  #finish (outcome: ReleaseOutcome): void {
    this.#isFinished = true
    this.#context.health.recordRequestEnd(this.#options.target.id)
    this.#options.target.release(outcome, this.#firstChunkMs, this.#measureFigures(outcome))
  }

  /** Undefined if the endpoint does not report its slowness: the hosts of its service need no figures then. */
  #measureFigures (outcome: ReleaseOutcome): ReservationFigures | undefined {
    const load = this.#head?.load
    if (load?.slowness === undefined) return undefined
    const tookMs = outcome === 'served' && this.#sentAtMs !== undefined ? this.#context.clock.readMonotonic() - this.#sentAtMs : undefined
    return { slowness: load.slowness, busy: load.running + load.waiting, ...(tookMs !== undefined && { tookMs }) }
  }
}
