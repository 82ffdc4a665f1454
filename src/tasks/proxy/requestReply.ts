/** Tells one caller what became of its request if no attempt has completed the response. */
import type { AttemptFailure } from '../../core/retryRules.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { AttemptHistory } from './attemptHistory.js'
import type { CallerResponse } from './callerResponse.js'
import type { ProxyContext } from './proxyContext.js'
import { quotaExceededStatus } from './quotaCharge.js'
import { createRefusal, defaultRetryAfterMs } from './refusals.js'
import type { Refusal } from './refusals.js'
import type { AttemptResult } from './requestAttempt.js'

/** How a request ended; `outcome` is the last part of the kind of its log line. */
export interface RequestEnd {
  outcome: string
  reason: string
  /** Undefined if the caller got no response, or that of an endpoint. */
  status?: number | undefined
  code?: string | undefined
}

export interface RequestReplyOptions {
  context: Pick<ProxyContext, 'encodeRefusalHeaders'>
  response: CallerResponse
  history: AttemptHistory
  getRequest: () => CallerRequest
  /** Called once, when the request has ended. */
  receiveEnd: (end: RequestEnd) => void
}

export class RequestReply {
  #options: RequestReplyOptions
  #hasEnded = false
  /** Error response of an endpoint, which is relayed to the caller if the request is given up. */
  #bufferedResponse: AttemptResult['bufferedResponse']

  constructor (options: RequestReplyOptions) {
    this.#options = options
  }

  get hasEnded (): boolean {
    return this.#hasEnded
  }

  /** Whether the response to the caller has begun. */
  get hasHead (): boolean {
    return this.#options.response.hasHead
  }

  /** Keeps the error response of an endpoint, which replaces an earlier one. */
  retainResponse (buffered: AttemptResult['bufferedResponse']): void {
    this.#bufferedResponse = buffered ?? this.#bufferedResponse
  }

  /**
   * Reports a failure to the caller; the response distinguishes a request that was not run from one that may have run.
   *
   * @example
   * reply.giveUp({ verdict: 'notRun', reason: 'the retry budget is exhausted', status: undefined }, undefined) // 503
   */
  giveUp (failure: AttemptFailure, retryAfterMs: number | undefined, code = 'not_run'): void {
    if (this.#hasEnded) return
    const { history } = this.#options
    if (this.hasHead) this.abort(failure.reason)
    else if (this.#bufferedResponse) this.#relayBufferedResponse(this.#bufferedResponse, failure.reason)
    else if (failure.verdict === 'notRun' && !history.mayHaveRun) this.refuse(code, failure.reason, retryAfterMs ?? history.retryAfterMs ?? defaultRetryAfterMs)
    else this.respond(502, 'endpoint_failed', failure.reason)
  }

  /** Closes the connection of a response that cannot be completed. */
  abort (reason: string): void {
    this.#options.response.abort()
    this.finish({ outcome: 'broken', reason, code: 'broken_off' })
  }

  /** Reports that the request was not run. */
  refuse (code: string, reason: string, retryAfterMs: number): void {
    this.respond(503, code, reason, retryAfterMs)
  }

  respond (status: number, code: string, reason: string, retryAfterMs?: number): void {
    if (this.#hasEnded) return
    this.#writeRefusal({ status, code, reason, retryAfterMs })
    this.finish({ outcome: status === 503 || status === quotaExceededStatus ? 'refused' : 'failed', reason, status, code })
  }

  /** Ends the request like one whose caller has left; a caller that still reads is told what became of it. */
  endForUnknownCaller (isSent: boolean): void {
    const reason = 'the caller has ended its side of the connection, and may have left'
    const status = isSent || this.#options.history.mayHaveRun ? 502 : 503
    this.finish({ outcome: 'left', reason, code: 'caller_left' })
    if (this.hasHead) this.#options.response.abort()
    else this.#writeRefusal({ status, code: 'caller_left', reason, retryAfterMs: status === 503 ? defaultRetryAfterMs : undefined })
  }

  /** Records the end of the request, unless it has ended. */
  finish (end: RequestEnd): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    this.#options.receiveEnd(end)
  }

  #relayBufferedResponse (buffered: NonNullable<AttemptResult['bufferedResponse']>, reason: string): void {
    this.#options.response.writeHead(buffered.head.status, buffered.head.headers)
    this.#options.response.end(buffered.body)
    this.finish({ outcome: 'failed', reason: `${reason}; the response of the endpoint with status ${buffered.head.status} is relayed`, status: buffered.head.status, code: 'endpoint_failed' })
  }

  #writeRefusal (refusal: Refusal): void {
    const { context, response, getRequest } = this.#options
    const { headers, body } = createRefusal(context, getRequest(), refusal)
    response.writeHead(refusal.status, headers)
    response.end(body)
  }
}
