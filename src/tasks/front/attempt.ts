/** One attempt: sends a request to one endpoint and relays its answer, or tells how it failed. */
import type { AttemptFailure } from '../../core/attemptRules.js'
import { EventCutter } from '../../core/eventCutter.js'
import type { AnswerReceiver, SendFailure, Sending } from '../../ports/endpointLink.js'
import type { AnswerHead, CallerRequest } from '../../schemas/callerRequest.js'
import type { PlaceOutcome } from '../../schemas/datagram.js'
import type { Route } from '../../schemas/routing.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { FrontContext } from './frontContext.js'
import type { Target } from './targetFinder.js'

export interface AttemptOptions {
  request: CallerRequest
  answer: CallerAnswer
  route: Route
  target: Target
  timeLeftMs: number
  /** Whether a failure may lead to another run, so that an answer that fails is worth holding back. */
  isRepeatable: boolean
  /** Last event that the caller has from an earlier attempt. */
  lastEventId: number | undefined
}

export interface HeldAnswer {
  head: AnswerHead
  body: Buffer
}

export type AttemptResult = {
  heldAnswer?: HeldAnswer
  retryAfterMs?: number
} & ({ kind: 'answered', status: number } | { kind: 'failed', failure: AttemptFailure })

/** Answers up to this size are held until they are whole, so that one that breaks off can be tried again. */
const maxHeldBytes = 256 * 1024

export class Attempt implements AnswerReceiver {
  #context: FrontContext
  #options: AttemptOptions
  #sending: Sending | undefined
  #startedAtMs = 0
  #firstPartMs = -1
  #lastPartAtMs: number | undefined
  #isSent = false
  /** Whether this attempt's head went to the caller, rather than that of an earlier one. */
  #hasWrittenHead = false
  #isOver = false
  #head: AnswerHead | undefined
  #held: Buffer[] = []
  #heldBytes = 0
  #cutter: EventCutter | undefined
  #settle: (result: AttemptResult) => void = () => {}

  constructor (context: FrontContext, options: AttemptOptions) {
    this.#context = context
    this.#options = options
  }

  get isSent (): boolean {
    return this.#isSent
  }

  /** From sending the request to the first part of the answer; -1 where none came. */
  get firstPartMs (): number {
    return this.#firstPartMs
  }

  /** When the last part of the answer went to the caller; undefined where none did. */
  get lastPartAtMs (): number | undefined {
    return this.#lastPartAtMs
  }

  /** Last whole event that was passed on to the caller. */
  get lastEventId (): number | undefined {
    return this.#cutter?.lastId ?? this.#options.lastEventId
  }

  async run (): Promise<AttemptResult> {
    const { request, target, timeLeftMs, lastEventId } = this.#options
    const { clock, encodeRequestHeaders, health } = this.#context
    this.#startedAtMs = clock.readMonotonic()
    const result = new Promise<AttemptResult>(resolve => { this.#settle = resolve })
    health.recordSent(target.endpoint.id)
    this.#sending = target.link.send({
      method: request.method,
      path: request.path,
      headers: encodeRequestHeaders(request, {
        endpointId: target.endpoint.id, timeLeftMs, version: target.version, priority: target.priority, lastEventId
      }),
      body: request.body
    }, this)
    return await result
  }

  /** Ends the attempt; the endpoint sees its connection close. */
  cancel (): void {
    if (this.#isOver) return
    this.#close('withdrawn')
    this.#sending?.cancel()
  }

  // Answer

  receiveSent (): void {
    this.#isSent = true
  }

  receiveHead (status: number, rawHeaders: readonly string[]): void {
    const head = this.#context.decodeAnswerHead(status, rawHeaders)
    const { target, request, route } = this.#options
    this.#context.signTask.receiveHead(target.endpoint, head)
    if (head.load) this.#context.health.recordLoad(target.endpoint.id, head.load, this.#context.clock.readMonotonic())
    if (head.requestId !== undefined && head.requestId !== request.requestId) {
      this.#failAndCancel(`the endpoint sent the answer to another request, "${head.requestId}"`)
      return
    }
    if (status >= 200 && status < 300 && (!head.isSigned || head.isEncoded)) {
      this.#failAndCancel('the endpoint sent a success that is not its own')
      return
    }
    this.#head = head
    if (route.kind === 'stream' && status >= 200 && status < 300) this.#cutter = new EventCutter(this.#options.lastEventId ?? request.lastEventId)
  }

  receiveData (chunk: Buffer): boolean {
    if (this.#isOver || !this.#head) return true
    if (this.#firstPartMs < 0) this.#firstPartMs = this.#context.clock.readMonotonic() - this.#startedAtMs
    if (this.#cutter) return this.#relayEvents(this.#cutter, chunk)
    if (this.#hasWrittenHead) return this.#write(chunk)
    this.#held.push(chunk)
    this.#heldBytes += chunk.length
    if (this.#heldBytes <= maxHeldBytes || this.#options.answer.hasHead) return true
    this.#writeHead(this.#head)
    return this.#write(this.#takeHeld())
  }

  receiveEnd (): void {
    if (this.#isOver) return
    const head = this.#head
    if (!head) {
      this.#fail({ verdict: 'mayHaveRun', reason: 'the endpoint ended its answer without a head', status: undefined })
    } else if (this.#cutter) {
      if (this.#cutter.heldBytes > 0) this.#fail({ verdict: 'mayHaveRun', reason: 'the stream ended in the middle of an event', status: undefined })
      else this.#finishAnswer(head)
    } else {
      this.#judgeWhole(head)
    }
  }

  receiveFailure (failure: SendFailure): void {
    if (this.#isOver) return
    this.#fail({ verdict: failure.kind === 'notSent' ? 'notRun' : 'mayHaveRun', reason: failure.reason, status: undefined })
  }

  #relayEvents (cutter: EventCutter, chunk: Buffer): boolean {
    const cut = cutter.add(chunk)
    if (!cut.isInOrder) {
      this.#failAndCancel('the events of the stream are not in order')
      return true
    }
    if (cut.count === 0) return true
    if (!this.#options.answer.hasHead) this.#writeHead(this.#head!)
    this.#lastPartAtMs = this.#context.clock.readMonotonic()
    return this.#write(cut.bytes)
  }

  #writeHead (head: AnswerHead): void {
    const length = head.contentLength === undefined || this.#cutter ? [] : ['Content-Length', String(head.contentLength)]
    this.#hasWrittenHead = true
    this.#options.answer.writeHead(head.status, [...head.headers, ...length])
  }

  #write (chunk: Buffer): boolean {
    return this.#options.answer.write(chunk, () => this.#sending?.resume())
  }

  #takeHeld (): Buffer {
    const body = Buffer.concat(this.#held)
    this.#held = []
    return body
  }

  /** Judges a whole answer that is no stream: a success goes to the caller, a failure may be worth another attempt. */
  #judgeWhole (head: AnswerHead): void {
    // The caller already has a part of a stream, which only another part of it can complete.
    const isResumed = this.#options.answer.hasHead && !this.#hasWrittenHead
    const isFailure = head.status >= 500 || head.isNotRun || isResumed
    if (!isFailure || this.#hasWrittenHead) {
      this.#finishAnswer(head)
      return
    }
    const body = this.#takeHeld()
    const reason = `the endpoint answered with status ${head.status}`
    const failure: AttemptFailure = { verdict: head.isNotRun ? 'notRun' : 'ran', reason, status: head.status }
    // A promise that nothing ran is the system's to give, once it gives up.
    const heldAnswer = head.isNotRun || isResumed ? undefined : { head, body }
    this.#fail(failure, { ...(heldAnswer && { heldAnswer }), ...(head.retryAfterMs !== undefined && { retryAfterMs: head.retryAfterMs }) })
  }

  #finishAnswer (head: AnswerHead): void {
    const { answer, target } = this.#options
    const body = this.#takeHeld()
    if (!answer.hasHead) {
      answer.writeHead(head.status, [...head.headers, 'Content-Length', String(body.length)])
      answer.end(body)
    } else {
      answer.end(body.length > 0 ? body : undefined)
    }
    this.#context.health.recordSuccess(target.endpoint.id, this.#context.clock.readMonotonic() - this.#startedAtMs)
    this.#close('served')
    this.#settle({ kind: 'answered', status: head.status })
  }

  #failAndCancel (reason: string): void {
    if (this.#isOver) return
    this.#fail({ verdict: 'mayHaveRun', reason, status: undefined })
    this.#sending?.cancel()
  }

  #fail (failure: AttemptFailure, extra: { heldAnswer?: HeldAnswer, retryAfterMs?: number } = {}): void {
    const { target } = this.#options
    if (failure.verdict !== 'notRun' || failure.status === undefined) this.#context.health.recordFailure(target.endpoint.id)
    this.#cutter?.clear()
    this.#close(this.#describeOutcome(failure))
    this.#settle({ kind: 'failed', failure, ...extra })
  }

  #describeOutcome (failure: AttemptFailure): PlaceOutcome {
    if (failure.status === 421) return 'missing'
    if (failure.verdict === 'notRun') return failure.status === undefined ? 'unreachable' : 'rejected'
    return failure.status === undefined ? 'broken' : 'failed'
  }

  #close (outcome: PlaceOutcome): void {
    this.#isOver = true
    this.#context.health.recordEnded(this.#options.target.endpoint.id)
    this.#options.target.end(outcome, this.#firstPartMs)
  }
}
