/** Serves one request: finds its route, sends it to endpoints until one answers, and relays the answer. */
import { isRepeatable, mayRetry } from '../../core/attemptRules.js'
import type { AttemptFailure } from '../../core/attemptRules.js'
import type { OpenRequest } from '../../core/openContents.js'
import { hashContent } from '../../core/requestContent.js'
import { pickService } from '../../core/routeTable.js'
import type { Timer } from '../../ports/clock.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { Route } from '../../schemas/routing.js'
import { Attempt } from './attempt.js'
import type { AttemptResult } from './attempt.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { FrontContext } from './frontContext.js'
import type { PlaceSearch, Target } from './targetFinder.js'

/** Used where the caller does not say how long it waits. */
const defaultTimeLeftMs = 30_000
/** Told to callers where nothing better is known. */
const defaultRetryAfterMs = 200
/** Time between two looks for what a host that starts, or engines between two owners, will have in a moment. */
const passingStepMs = 50
/** A takeover takes some 350 ms, and so do the first news after a start. */
const maxPassingMs = 450

export class FrontRequest implements OpenRequest {
  #context: FrontContext
  #request: CallerRequest
  #answer: CallerAnswer
  #route: Route | undefined
  #service = ''
  /** Hash of what the request asks, to recognise one that crashes endpoints. */
  #fingerprint = ''
  #dueAtMs = 0
  /** When the caller had the last part of a stream. */
  #lastPartAtMs: number | undefined
  #endsAtMs = 0
  #timer: Timer | undefined
  #attempt: Attempt | undefined
  #isSending = false
  #tried: string[] = []
  #runs = 0
  #sends = 0
  #isOver = false
  /** Time spent on waiting for what was about to change. */
  #passingMs = 0
  /** Time spent on finding endpoints with a place. */
  #placeMs = 0
  #searches: PlaceSearch[] = []
  /** Whether an endpoint may have run the request. */
  #mayHaveRun = false
  #retryAfterMs: number | undefined
  /** A failure of an endpoint's own that is passed on where no other attempt does better. */
  #heldAnswer: AttemptResult['heldAnswer']

  constructor (context: FrontContext, request: CallerRequest, answer: CallerAnswer) {
    this.#context = context
    this.#request = request
    this.#answer = answer
  }

  receiveLeft (): void {
    this.#finish('left', 'the caller closed its connection', undefined, 'caller_left')
    this.#attempt?.cancel()
  }

  /** What has not been sent yet is refused at once; an attempt under way ends by itself. */
  receiveRefusal (): void {
    if (!this.#isSending) this.#refuseCrashing()
  }

  async serve (): Promise<void> {
    const { board, clock, budget, random, openContents } = this.#context
    const request = this.#request
    while (!board.routes && await this.#waitForChange()) { /* The news of a host that starts come in a moment. */ }
    if (this.#isOver) return
    if (!board.routes) {
      this.#refuse('no_configuration', 'this host knows no configuration yet', defaultRetryAfterMs)
      return
    }
    const route = board.routes.findRoute(request.host, request.path)
    if (!route) {
      this.#respond(404, 'route_unknown', 'no route matches the host and path')
      return
    }
    this.#route = route
    this.#fingerprint = hashContent(request)
    this.#service = pickService(route.targets, random()) ?? ''
    this.#dueAtMs = request.receivedAtMs + route.targetMs - this.#computeSpentMs(route, request)
    this.#endsAtMs = request.receivedAtMs + Math.min(request.timeLeftMs ?? defaultTimeLeftMs, route.timeoutMs)
    this.#timer = clock.setTimer(() => this.#receiveTimeout(), this.#endsAtMs - clock.readMonotonic())
    budget.recordRequest(this.#service, clock.readMonotonic())
    openContents.add(this.#fingerprint, this)
    await this.#run(route)
  }

  /** Ends a request whose content crashes endpoints; false where it may run. */
  #refuseCrashing (): boolean {
    const refusal = this.#context.suspects.findRefusal(this.#fingerprint)
    if (!refusal) return false
    if (this.#answer.hasHead) this.#breakOff(refusal.message)
    else this.#respond(refusal.status, refusal.code, refusal.message)
    return true
  }

  /** A caller that comes back has been waiting since its first try. */
  #computeSpentMs (route: Route, { timeLeftMs }: CallerRequest): number {
    if (timeLeftMs === undefined) return 0
    const { waits } = this.#context
    waits.recordTimeLeft(route.name, timeLeftMs)
    return waits.computeSpentMs(route.name, timeLeftMs)
  }

  /** A stream that goes on has until its caller misses the next part. */
  #computeTimes (route: Route): { dueAtMs: number, uselessAtMs: number } {
    const lastPartAtMs = this.#lastPartAtMs
    return lastPartAtMs === undefined
      ? { dueAtMs: this.#dueAtMs, uselessAtMs: this.#request.receivedAtMs + route.patienceMs }
      : { dueAtMs: lastPartAtMs + (route.maxGapMs ?? route.targetMs), uselessAtMs: lastPartAtMs + route.patienceMs }
  }

  async #run (route: Route): Promise<void> {
    const { clock } = this.#context
    while (!this.#refuseCrashing()) {
      const soughtAtMs = clock.readMonotonic()
      const found = await this.#context.targets.findTarget({
        request: this.#request, route, service: this.#service, tried: this.#tried, ...this.#computeTimes(route), endsAtMs: this.#endsAtMs, isOver: () => this.#isOver
      })
      this.#placeMs += clock.readMonotonic() - soughtAtMs
      if (found.search) this.#searches.push(found.search)
      if (this.#isOver || this.#refuseCrashing()) {
        if (found.kind === 'found') found.target.end('withdrawn', -1)
        return
      }
      if (found.kind === 'none' && found.isPassing && await this.#waitForChange()) continue
      if (this.#isOver) return
      if (found.kind === 'none') {
        this.#giveUp({ verdict: 'notRun', reason: found.message, status: undefined }, found.retryAfterMs)
        return
      }
      // The endpoint may have said so while the request waited for its place.
      if (!this.#context.signs.mayTake(found.target.endpoint, clock.readMonotonic())) {
        found.target.end('withdrawn', -1)
        continue
      }
      const isRepeat = this.#sends > 0
      if (isRepeat && !this.#context.budget.takeRepeat(this.#service, clock.readMonotonic())) {
        found.target.end('withdrawn', -1)
        this.#giveUp({ verdict: 'notRun', reason: 'the budget of repeats is used up', status: undefined }, undefined)
        return
      }
      const failure = await this.#send(found.target, route)
      if (!failure || this.#isOver) return
      if (!mayRetry(failure, this.#describeRetry(route))) {
        this.#giveUp(failure, undefined)
        return
      }
      this.#context.log.record('request.retried', 'An attempt failed; the request goes to another endpoint.', {
        requestId: this.#request.requestId, content: this.#fingerprint, route: route.name, endpointId: found.target.endpoint.id, verdict: failure.verdict, reason: failure.reason, runs: this.#runs
      })
    }
  }

  #describeRetry (route: Route): Parameters<typeof mayRetry>[1] {
    return {
      kind: route.kind,
      isResumable: route.isResumable,
      runs: this.#runs,
      maxAttempts: route.maxAttempts,
      timeLeftMs: this.#endsAtMs - this.#context.clock.readMonotonic(),
      hasAnswered: this.#answer.hasHead
    }
  }

  /** Waits a little for what is about to change; false where that has been long enough. */
  async #waitForChange (): Promise<boolean> {
    if (this.#passingMs >= maxPassingMs || this.#isOver) return false
    this.#passingMs += passingStepMs
    await new Promise<void>(resolve => { this.#context.clock.setTimer(resolve, passingStepMs) })
    return !this.#isOver
  }

  /** Runs one attempt; returns what went wrong, or undefined where the caller has its answer. */
  async #send (target: Target, route: Route): Promise<AttemptFailure | undefined> {
    this.#sends++
    this.#tried.push(target.endpoint.id)
    const attempt = new Attempt(this.#context, {
      request: this.#request,
      answer: this.#answer,
      route,
      target,
      timeLeftMs: this.#endsAtMs - this.#context.clock.readMonotonic(),
      isRepeatable: isRepeatable(route.kind, route.isResumable),
      lastEventId: this.#attempt?.lastEventId
    })
    this.#attempt = attempt
    this.#isSending = true
    const sentAtMs = this.#context.clock.readMonotonic()
    const result = await attempt.run()
    this.#isSending = false
    this.#lastPartAtMs = attempt.lastPartAtMs ?? this.#lastPartAtMs
    if (result.kind === 'answered') {
      this.#context.suspects.recordServed(this.#fingerprint)
      this.#finish('served', `endpoint "${target.endpoint.id}" answered with status ${result.status}`)
      return undefined
    }
    this.#heldAnswer = result.heldAnswer ?? this.#heldAnswer
    if (isCut(result.failure)) await this.#recordCut(target, sentAtMs, result.failure.reason)
    if (result.failure.verdict !== 'notRun') {
      this.#mayHaveRun = true
      this.#runs++
    }
    this.#retryAfterMs = result.retryAfterMs ?? this.#retryAfterMs
    return result.failure
  }

  /** What has crashed an endpoint before is not repeated before it is known whether it has crashed another one. */
  async #recordCut ({ endpoint, link }: Target, sentAtMs: number, reason: string): Promise<void> {
    const { log, crashes, suspects } = this.#context
    const cut = { endpointId: endpoint.id, startedAtMs: endpoint.startedAtMs, content: this.#fingerprint, sentAtMs }
    log.record('request.cut', 'The connection to an endpoint ended beneath a request, which may have run.', { requestId: this.#request.requestId, ...cut, reason })
    const looked = crashes.receiveCut(cut, link)
    if (suspects.isSuspect(this.#fingerprint)) await looked
  }

  #receiveTimeout (): void {
    const isSent = this.#attempt?.isSent ?? false
    this.#attempt?.cancel()
    if (this.#answer.hasHead) this.#breakOff('the time of the request is over')
    else if (isSent || this.#mayHaveRun) this.#respond(504, 'timed_out', 'the time of the request is over')
    else this.#refuse('timed_out', 'the time of the request is over and it has not run', this.#retryAfterMs ?? defaultRetryAfterMs)
  }

  /** Tells the caller the failure as it is: not run, or that it may have run. */
  #giveUp (failure: AttemptFailure, retryAfterMs: number | undefined): void {
    if (this.#isOver) return
    if (this.#answer.hasHead) this.#breakOff(failure.reason)
    else if (this.#heldAnswer) this.#passHeldAnswer(this.#heldAnswer, failure.reason)
    else if (failure.verdict === 'notRun' && !this.#mayHaveRun) this.#refuse('not_run', failure.reason, retryAfterMs ?? this.#retryAfterMs ?? defaultRetryAfterMs)
    else this.#respond(502, 'endpoint_failed', failure.reason)
  }

  #passHeldAnswer (held: NonNullable<AttemptResult['heldAnswer']>, reason: string): void {
    this.#answer.writeHead(held.head.status, held.head.headers)
    this.#answer.end(held.body)
    this.#finish('failed', `${reason}; the answer of an endpoint with status ${held.head.status} is passed on`, held.head.status, 'endpoint_failed')
  }

  #breakOff (reason: string): void {
    this.#answer.breakOff()
    this.#finish('broken', reason, undefined, 'broken_off')
  }

  #refuse (code: string, reason: string, retryAfterMs: number): void {
    this.#respond(503, code, reason, retryAfterMs)
  }

  #respond (status: number, code: string, reason: string, retryAfterMs?: number): void {
    if (this.#isOver) return
    const body = Buffer.from(JSON.stringify({ error: code, message: reason }))
    this.#answer.writeHead(status, [
      ...this.#context.encodeRefusalHeaders(this.#request.requestId, retryAfterMs), 'Content-Type', 'application/json', 'Content-Length', String(body.length)
    ])
    this.#answer.end(body)
    this.#finish(status === 503 ? 'refused' : 'failed', reason, status, code)
  }

  #finish (outcome: string, reason: string, status?: number, code?: string): void {
    if (this.#isOver) return
    this.#isOver = true
    this.#timer?.cancel()
    const { clock, log, board, openContents } = this.#context
    openContents.remove(this.#fingerprint, this)
    log.record(`request.${outcome}`, 'A request has ended.', {
      requestId: this.#request.requestId,
      content: this.#fingerprint,
      route: this.#route?.name,
      work: this.#route?.kind,
      code,
      service: this.#service,
      adapter: this.#request.adapter,
      promptTokens: this.#request.promptTokens,
      timeLeftMs: this.#request.timeLeftMs,
      spentMs: this.#route && Math.round(this.#request.receivedAtMs + this.#route.targetMs - this.#dueAtMs),
      reason,
      status,
      tried: this.#tried,
      sends: this.#sends,
      runs: this.#runs,
      searches: this.#searches,
      placeMs: Math.round(this.#placeMs),
      firstPartMs: Math.round(this.#attempt?.firstPartMs ?? -1),
      tookMs: Math.round(clock.readMonotonic() - this.#request.receivedAtMs),
      configuration: board.routes?.configuration.version
    })
  }
}

/** Whether a request that may have run got no answer, as when its endpoint went away. */
function isCut ({ verdict, status }: AttemptFailure): boolean {
  return verdict === 'mayHaveRun' && status === undefined
}
