/** Serves one request of a caller: finds its route, sends it to endpoints until one responds, and relays the response. */
import { defaultTimeLeftMs } from '../../constants.js'
import { canRetryAttempt, isInterrupted, isRetryable } from '../../core/retryRules.js'
import type { AttemptFailure } from '../../core/retryRules.js'
import type { InFlightRequest } from '../../core/inFlightRequests.js'
import { pickService } from '../../core/routeTable.js'
import type { Timer } from '../../ports/clock.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { Route } from '../../schemas/routing.js'
import { RequestAttempt } from './requestAttempt.js'
import type { AttemptResult } from './requestAttempt.js'
import { createReplyHeaders } from '../forwarding/forwardingHeaders.js'
import type { ForwardingPeer } from '../forwarding/requestForwarder.js'
import { AttemptHistory } from './attemptHistory.js'
import { createEndpointTarget } from './attemptTarget.js'
import type { AttemptTarget } from './attemptTarget.js'
import { AccountAccess } from './accountAccess.js'
import type { Admission } from './accountAccess.js'
import { logRequestEnd } from './logRequestEnd.js'
import { isEndpointAvailable } from './endpointAvailability.js'
import { defaultRetryAfterMs, internalErrorReason, stoppingCode, stoppingRetryMs, unauthorizedStatus, unknownKeyCode, unreachableCode, unreachableRetryMs } from './refusals.js'
import { QuotaCharge, quotaExceededCode, quotaExceededStatus } from './quotaCharge.js'
import { RequestReply } from './requestReply.js'
import type { RequestEnd } from './requestReply.js'
import { RequestRetries } from './requestRetries.js'
import { RequestSuspicion } from './requestSuspicion.js'
import { computeDueTimes, computeSpentMs } from './dueTimes.js'
import { ForwardingAttempts } from './forwardingAttempts.js'
import { TransientWait } from './transientWait.js'
import type { CallerResponse } from './callerResponse.js'
import type { ProxyContext } from './proxyContext.js'
import type { SelectedEndpoint } from './endpointSelector.js'

export class ProxiedRequest implements InFlightRequest {
  #context: ProxyContext
  #request: CallerRequest
  #response: CallerResponse
  #forwarding: ForwardingAttempts
  #retries: RequestRetries
  #route: Route | undefined
  #access: AccountAccess | undefined
  #admission: Admission | undefined
  #quotaCharge: QuotaCharge
  #service = ''
  /** Software version of the endpoints that may go on with the stream; undefined before its first event. */
  #softwareVersion: string | undefined
  #suspicion: RequestSuspicion
  #dueAtMs = 0
  /** When the last chunk of a stream was written to the caller; undefined if none was. */
  #lastChunkAtMs: number | undefined
  #deadlineAtMs = 0
  #timer: Timer | undefined
  #attempt: RequestAttempt | undefined
  #isSending = false
  #history: AttemptHistory
  #reply: RequestReply
  /** Whether the caller has probably left, so that no further attempt follows. */
  #isCallerUnknown = false
  #transientWait: TransientWait

  constructor (context: ProxyContext, request: CallerRequest, response: CallerResponse) {
    this.#context = context
    this.#request = request
    this.#response = response
    this.#forwarding = new ForwardingAttempts(context, request)
    this.#retries = new RequestRetries(context)
    this.#quotaCharge = new QuotaCharge(context)
    this.#transientWait = new TransientWait(context.clock)
    this.#softwareVersion = request.forwarded?.softwareVersion
    this.#suspicion = new RequestSuspicion(context)
    this.#history = new AttemptHistory(request.forwarded)
    this.#reply = new RequestReply({ context, response, history: this.#history, getRequest: () => this.#request, receiveEnd: end => this.#receiveEnd(end) })
  }

  receiveCallerDisconnect (): void {
    this.#reply.finish({ outcome: 'left', reason: 'the caller closed its connection', code: 'caller_left' })
    this.#attempt?.cancel()
  }

  /**
   * Called when the request's content or prompt parts are found to crash endpoints. An attempt in progress is cancelled unless
   * its answer has begun, as it would crash one more endpoint.
   */
  receiveRefusal (): void {
    if (this.#isSending && this.#attempt!.hasBegun) return
    if (this.#refuseIfCrashing()) this.#attempt?.cancel()
  }

  /** Called when this host stops: tells the caller what has become of its request. */
  receiveStop (): void {
    const verdict = this.#isSent ? 'mayHaveRun' : 'notRun'
    this.#attempt?.cancel()
    this.#reply.giveUp({ verdict, reason: 'this host has stopped', status: undefined }, stoppingRetryMs, stoppingCode)
  }

  /** Called when a new configuration has been applied, which may have removed the request's key. */
  receiveConfiguration (): void {
    if (!this.#isSent) this.#refuseIfKeyUnknown()
  }

  receiveUnknownCaller (): void {
    this.#isCallerUnknown = true
    const mustComplete = this.#isSent && !isRetryable(this.#route!.kind, this.#route!.isResumable)
    if (!mustComplete) this.#endForUnknownCaller()
  }

  #endForUnknownCaller (): void {
    if (this.#reply.hasEnded) return
    const isSent = this.#isSent
    this.#attempt?.cancel()
    this.#reply.endForUnknownCaller(isSent)
  }

  get #isSent (): boolean {
    return this.#isSending && this.#attempt!.isSent
  }

  /** Called when an exception ended `serve`. */
  receiveError (): void {
    this.#attempt?.cancel()
    if (this.#response.hasHead) this.#reply.abort(internalErrorReason)
    else this.#reply.respond(500, 'internal_error', internalErrorReason)
  }

  async serve (): Promise<void> {
    const { clusterView, clock, callerTimeouts, retryBudget, random, inFlightRequests } = this.#context
    while (!clusterView.routes && !this.#reply.hasEnded && await this.#transientWait.wait()) { /* A host that is starting receives its first cluster updates shortly. */ }
    if (this.#reply.hasEnded) return
    if (!clusterView.routes) {
      this.#reply.refuse('no_configuration', 'this host has no configuration yet', defaultRetryAfterMs)
      return
    }
    const configuredRoute = clusterView.routes.findRoute(this.#request.host, this.#request.path)
    if (!configuredRoute) {
      this.#reply.respond(404, 'route_unknown', 'no route matches the host and path')
      return
    }
    this.#route = configuredRoute
    this.#access = new AccountAccess(this.#context, this.#request, configuredRoute)
    if (this.#refuseIfKeyUnknown()) return
    const { request, route } = this.#admission!
    this.#suspicion.receiveRequest(request)
    this.#service = this.#request.forwarded?.service ?? pickService(route.targets, random()) ?? ''
    this.#dueAtMs = request.receivedAtMs + route.targetMs - computeSpentMs(callerTimeouts, route, request)
    this.#deadlineAtMs = request.receivedAtMs + Math.min(request.timeLeftMs ?? defaultTimeLeftMs, route.timeoutMs)
    this.#timer = clock.setTimer(() => this.#receiveTimeout(), this.#deadlineAtMs - clock.readMonotonic())
    // The host that forwards a request counts it.
    if (!request.forwarded) retryBudget.recordRequest(this.#service, clock.readMonotonic())
    for (const fingerprint of this.#suspicion.fingerprints) inFlightRequests.add(fingerprint, this)
    if (this.#deadlineAtMs <= clock.readMonotonic()) return this.#receiveTimeout()
    const isResolved = this.#softwareVersion !== undefined
    if (route.kind === 'stream' && request.isResumption && !isResolved && !await this.#resolveStream(route)) return
    const charge = this.#quotaCharge.charge(this.#admission!.account, request)
    const refusal = charge instanceof Promise ? await charge : charge
    if (refusal) return this.#reply.respond(quotaExceededStatus, quotaExceededCode, refusal.reason, refusal.retryAfterMs)
    await this.#run(route)
  }

  /** Finds the software version that began the stream which the caller takes up; refuses the request if it is unknown. */
  async #resolveStream (route: Route): Promise<boolean> {
    const resolution = await this.#context.streamOrigins.resolve(this.#request, route, this.#service)
    if (this.#reply.hasEnded) return false
    if (resolution.kind === 'unknown') {
      this.#reply.respond(503, 'stream_unknown', resolution.reason, resolution.retryAfterMs)
      return false
    }
    this.#service = resolution.origin.service
    this.#softwareVersion = resolution.origin.version
    return true
  }

  #receiveBegun (route: Route, { endpoint }: SelectedEndpoint): void {
    this.#suspicion.recordBegun()
    if (route.kind !== 'stream') return
    this.#softwareVersion = endpoint.softwareVersion
    this.#context.streamOrigins.recordBegun(this.#request, route, endpoint)
  }

  /** Refuses the request if its content or prompt parts are known to crash endpoints; returns false if it may run. */
  #refuseIfCrashing (): boolean {
    if (this.#reply.hasEnded) return true
    const refusal = this.#suspicion.findRefusal(!this.#isSending)
    if (!refusal) return false
    if (this.#response.hasHead) this.#reply.abort(refusal.message)
    else if (refusal.retryAfterMs === undefined) this.#reply.respond(refusal.status, refusal.code, refusal.message)
    else if (this.#history.mayHaveRun || this.#isSending) this.#reply.respond(502, refusal.code, refusal.message)
    else this.#reply.refuse(refusal.code, refusal.message, refusal.retryAfterMs)
    return true
  }

  /** Refuses the request if it needs the key of an account and has none that is valid now; returns false if it may run. */
  #refuseIfKeyUnknown (): boolean {
    if (this.#reply.hasEnded) return true
    this.#admission = this.#access!.check(this.#context.clusterView.routes!)
    if (this.#admission) {
      this.#request = this.#admission.request
      this.#route = this.#admission.route
      return false
    }
    this.#attempt?.cancel()
    if (this.#history.mayHaveRun || this.#response.hasHead) this.#reply.giveUp({ verdict: 'notRun', reason: this.#access!.refusalReason, status: undefined }, undefined)
    else this.#reply.respond(unauthorizedStatus, unknownKeyCode, this.#access!.refusalReason)
    return true
  }

  /** Gives the request up if it cannot be expected to end before this host stops; returns false if it may run. */
  #refuseIfStopping (route: Route): boolean {
    if (this.#reply.hasEnded || this.#context.shutdown.canComplete(route, this.#deadlineAtMs)) return this.#reply.hasEnded
    this.#reply.giveUp({ verdict: 'notRun', reason: 'this host stops before the request can be expected to end', status: undefined }, stoppingRetryMs, stoppingCode)
    return true
  }

  #getDeadlineAtMs (): number {
    return Math.min(this.#deadlineAtMs, this.#context.shutdown.endsAtMs)
  }

  async #run (route: Route): Promise<void> {
    const { clock } = this.#context
    while (!this.#refuseIfKeyUnknown() && !this.#refuseIfCrashing() && !this.#refuseIfStopping(route)) {
      if (this.#isCallerUnknown) return this.#endForUnknownCaller()
      if (this.#context.forwarder.isStranded(this.#service)) {
        if (!await this.#forward(route)) return
        continue
      }
      const selectionStartedAtMs = clock.readMonotonic()
      const selection = await this.#context.endpointSelector.selectEndpoint({
        request: this.#request, route: this.#route!, service: this.#service, account: this.#request.account || undefined, softwareVersion: this.#softwareVersion, isResumed: this.#request.isResumption || this.#response.hasHead, attemptedEndpointIds: this.#history.endpointIds, ...computeDueTimes({ request: this.#request, route, dueAtMs: this.#dueAtMs, lastChunkAtMs: this.#lastChunkAtMs }), deadlineAtMs: this.#getDeadlineAtMs(), hasEnded: () => this.#reply.hasEnded
      })
      this.#history.recordSelection(selection, clock.readMonotonic() - selectionStartedAtMs)
      if (this.#refuseIfKeyUnknown() || this.#refuseIfCrashing() || this.#refuseIfStopping(route)) {
        if (selection.kind === 'found') selection.target.release('withdrawn', -1)
        return
      }
      if (selection.kind === 'none' && selection.isTransient && await this.#transientWait.wait()) continue
      if (this.#reply.hasEnded) return
      if (selection.kind === 'none') {
        this.#reply.giveUp({ verdict: 'notRun', reason: selection.message, status: undefined }, selection.retryAfterMs)
        return
      }
      // The endpoint may have left, paused or restarted while the request waited for its reservation.
      if (!isEndpointAvailable(this.#context, selection.target.endpoint)) {
        selection.target.release('withdrawn', -1)
        continue
      }
      if (!this.#retries.takeIfNeeded(this.#service)) {
        selection.target.release('withdrawn', -1)
        this.#reply.giveUp({ verdict: 'notRun', reason: 'the retry budget is exhausted', status: undefined }, undefined)
        return
      }
      const wasAttempted = this.#history.endpointIds.includes(selection.target.endpoint.id)
      const failure = await this.#send(selection.target, route)
      if (!failure || this.#reply.hasEnded || this.#refuseIfCrashing()) return
      // Repeating a request that may have crashed its engine would take the next one along.
      if (this.#suspicion.isPossibleCause || !canRetryAttempt(failure, this.#createRetryView(route))) {
        this.#reply.giveUp(failure, undefined)
        return
      }
      this.#context.log.record('request.retried', 'An attempt failed; the request is retried.', {
        requestId: this.#request.requestId, content: this.#suspicion.fingerprint, route: route.name, endpointId: selection.target.endpoint.id, verdict: failure.verdict, reason: failure.reason, runs: this.#history.runCount
      })
      // While no endpoint takes connections, this host may have lost its links to all, which it knows shortly.
      if (wasAttempted && !this.#attempt?.isSent) await this.#transientWait.waitInterval()
    }
  }

  #createRetryView (route: Route): Parameters<typeof canRetryAttempt>[1] {
    const timeLeftMs = this.#getDeadlineAtMs() - this.#context.clock.readMonotonic()
    return { kind: route.kind, isResumable: route.isResumable, possibleRuns: this.#history.runCount, maxAttempts: route.maxAttempts, timeLeftMs, hasSentAnswer: this.#response.hasHead, canBeFollowed: this.#attempt?.canBeFollowed ?? true }
  }

  /** Runs one attempt; returns its failure, or undefined if the caller has received its response. */
  async #send (target: SelectedEndpoint, route: Route): Promise<AttemptFailure | undefined> {
    this.#history.recordSend(target.endpoint)
    this.#context.noticeTask.recordSend(target.endpoint.id, target.isGranted)
    const sentAtMs = this.#context.clock.readMonotonic()
    const request = this.#request
    const result = await this.#runAttempt(route, createEndpointTarget(this.#context, request, target, {
      isAvailable: () => this.#request === request && isEndpointAvailable(this.#context, target.endpoint),
      receiveBegun: () => this.#receiveBegun(route, target)
    }), this.#request.forwarded ? createReplyHeaders({ softwareVersion: target.endpoint.softwareVersion }) : [])
    if (this.#attempt!.isSent) this.#retries.recordArrival()
    if (result.kind === 'answered') {
      this.#suspicion.recordServed()
      if (route.kind === 'stream') this.#context.streamOrigins.recordEnded(this.#request, route)
      this.#context.shutdown.recordServed(route, this.#context.clock.readMonotonic() - this.#request.receivedAtMs)
      this.#reply.finish({ outcome: 'served', reason: `endpoint "${target.endpoint.id}" responded with status ${result.status}` })
      return undefined
    }
    this.#reply.retainResponse(result.bufferedResponse)
    if (result.failure.verdict !== 'notRun') {
      this.#history.recordPossibleRun()
      this.#suspicion.recordPossibleRun()
    }
    if (isInterrupted(result.failure)) {
      await this.#suspicion.recordInterruption({ requestId: this.#request.requestId, target, hasBegun: this.#attempt!.hasBegun, sentAtMs, reason: result.failure.reason })
    }
    this.#history.retryAfterMs = result.retryAfterMs ?? this.#history.retryAfterMs
    return result.failure
  }

  /** Runs one attempt to its end; `addedHeaders` are added to a success response. */
  async #runAttempt (route: Route, target: AttemptTarget, addedHeaders: readonly string[]): Promise<AttemptResult> {
    const timeLeftMs = this.#getDeadlineAtMs() - this.#context.clock.readMonotonic()
    const attempt = new RequestAttempt(this.#context, { request: this.#request, response: this.#response, route, target, timeLeftMs, lastEventId: this.#attempt?.lastEventId, addedHeaders })
    this.#attempt = attempt
    this.#isSending = true
    const result = await attempt.run()
    this.#isSending = false
    this.#lastChunkAtMs = attempt.lastChunkAtMs ?? this.#lastChunkAtMs
    return result
  }

  /**
   * Sends the request through another host, as this one reaches no endpoint of the service. Returns whether the request is to be
   * tried once more, through another host or by this one if it reaches endpoints again.
   */
  async #forward (route: Route): Promise<boolean> {
    const { forwarder } = this.#context
    const peer = this.#forwarding.selectPeer()
    const isOverBudget = peer && !this.#retries.takeIfNeeded(this.#service)
    if (!peer || isOverBudget) {
      const reason = peer ? 'the retry budget is exhausted' : `no endpoint of service "${this.#service}" can be reached`
      this.#reply.giveUp({ verdict: 'notRun', reason, status: undefined }, unreachableRetryMs, peer ? undefined : unreachableCode)
      return false
    }
    const fields = { service: this.#service, softwareVersion: this.#softwareVersion, attemptedEndpointIds: this.#history.endpointIds, runs: this.#history.runCount, account: this.#request.account }
    const request = this.#request
    const result = await this.#runAttempt(route, this.#forwarding.createTarget(peer, fields, {
      isAvailable: () => this.#request === request,
      receiveBegun: () => {
        if (route.kind === 'stream') this.#softwareVersion = this.#forwarding.softwareVersion ?? this.#softwareVersion
      }
    }), [])
    if (result.kind === 'answered') {
      forwarder.recordResponse(peer)
      this.#reply.finish({ outcome: 'served', reason: `host "${peer.row.host}" responded with status ${result.status}` })
      return false
    }
    return !this.#reply.hasEnded && this.#receiveForwardingFailure(route, peer, result)
  }

  /** Returns whether a request that another host could not serve is to be tried once more. */
  #receiveForwardingFailure (route: Route, peer: ForwardingPeer, { failure, bufferedResponse, retryAfterMs }: Extract<AttemptResult, { kind: 'failed' }>): boolean {
    const verdict = this.#forwarding.recordFailure(peer, failure)
    if (failure.verdict !== 'notRun') {
      this.#history.recordPossibleRun()
      this.#retries.recordArrival()
    }
    this.#reply.retainResponse(bufferedResponse)
    if (verdict === 'elsewhere' && canRetryAttempt(failure, this.#createRetryView(route))) return true
    this.#reply.giveUp(failure, retryAfterMs)
    return false
  }

  #receiveTimeout (): void {
    const isSent = this.#attempt?.isSent ?? false
    this.#attempt?.cancel()
    if (this.#response.hasHead) this.#reply.abort('the deadline of the request has passed')
    else if (isSent || this.#history.mayHaveRun) this.#reply.respond(504, 'timed_out', 'the deadline of the request has passed')
    else this.#reply.refuse('timed_out', 'the deadline of the request passed before it was run', this.#history.retryAfterMs ?? defaultRetryAfterMs)
  }

  #receiveEnd ({ outcome, reason, status, code }: RequestEnd): void {
    this.#timer?.cancel()
    this.#quotaCharge.end(outcome === 'served' || this.#history.mayHaveRun || this.#isSent)
    const { clock, log, clusterView, inFlightRequests } = this.#context
    for (const fingerprint of this.#suspicion.fingerprints) inFlightRequests.remove(fingerprint, this)
    if (!this.#isSent) this.#suspicion.cancelTrial()
    logRequestEnd(log, outcome, {
      request: this.#request,
      fingerprint: this.#suspicion.fingerprint,
      route: this.#route,
      service: this.#service,
      dueAtMs: this.#dueAtMs,
      nowMs: clock.readMonotonic(),
      code,
      reason,
      status,
      history: this.#history,
      hosts: this.#forwarding.hosts,
      quotaDetails: this.#quotaCharge.details,
      firstChunkMs: this.#attempt?.firstChunkMs ?? -1,
      lastAttempt: outcome === 'left' ? this.#attempt : undefined,
      configurationVersion: clusterView.routes?.configuration.version
    })
  }
}
