/** Routes callers' requests: selects endpoints, dispatches attempts, relays responses and retries depending on the verdict. */
import { formatAdapterVersion } from '../../core/handleFormat.js'
import type { ChooseEndpoint } from '../../core/endpointChoice.js'
import { requestRules } from '../../core/requestRules.js'
import type { RequestRules } from '../../core/requestRules.js'
import type { RetryBudget } from '../../core/retryBudget.js'
import { createCrashRefusal } from '../../core/suspectRegistry.js'
import type { SuspectRegistry, SuspectState } from '../../core/suspectRegistry.js'
import { isDeferrable } from '../../core/targetTime.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { RecordDecision, Wait } from '../../schemas/decision.js'
import type { PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../schemas/verdict.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import { describeAdmission, describeDecision } from './describeDecision.js'
import type { RequestDecision } from './describeDecision.js'
import type { SchedulerLinks } from './schedulerLinks.js'
import type { AnswerEvent, AnswerSource, RoutedRequest, SendAnswer } from './routedRequest.js'

/** Longest wait of a request for an endpoint. A takeover of endpoints ends within this time; after it the request is refused. */
const maxWaitForEndpointMs = 10_000
const maxAttempts = 6
const maxDescribedRequests = 100
const retryAfterNoEndpointMs = 2000

export interface RequestRouterOptions {
  clock: Clock
  zone: string
  links: Pick<SchedulerLinks, 'listViews' | 'send' | 'recordSent'>
  chooseEndpoint: ChooseEndpoint
  retryBudget: RetryBudget
  suspects: SuspectRegistry
  random: () => number
  recordDecision: RecordDecision
  rules?: RequestRules
}

interface RunningRequest {
  request: RoutedRequest
  send: SendAnswer
  attempt: number
  /** Host and endpoint of the current attempt; undefined while the request waits for an endpoint. */
  target: { hostId: string, endpointId: string } | undefined
  /** Message from the scheduler that it sent the current attempt to its engine; undefined until then. */
  dispatched: PeerMessageOf<'dispatched'> | undefined
  /** Sequence number expected of the next response message of the current attempt. */
  nextSequence: number
  hasSentData: boolean
  /** Whether any attempt may have run; if so, the failure sent to the caller never states that the request did not run. */
  mayHaveRun: boolean
  avoidEndpoints: string[]
  waitingSinceMs: number | undefined
  waitTimer: Timer | undefined
}

/** A gateway's running requests, as shown in a state dump. */
export interface RouterState {
  running: number
  oldest: Array<{
    requestId: string
    className: string
    /** `adapter@version`. */
    adapter: string
    attempt: number
    ageMs: number
    dueInMs: number
    isWaitingForEndpoint: boolean
    hostId?: string
    endpointId?: string
  }>
}

type ResponseMessage = PeerMessageOf<'answerData'> | PeerMessageOf<'answerEnd'> | PeerMessageOf<'answerFailed'>

export class RequestRouter {
  #options: Required<RequestRouterOptions>
  #runningRequests = new Map<string, RunningRequest>()

  constructor (options: RequestRouterOptions) {
    this.#options = { rules: requestRules, ...options }
  }

  /** Number of requests that have not ended yet. */
  get running (): number {
    return this.#runningRequests.size
  }

  /** Describes the oldest requests that have not ended yet. */
  describeState (): RouterState {
    const nowMs = this.#options.clock.readMonotonic()
    const oldest = [...this.#runningRequests.values()].slice(0, maxDescribedRequests)
    return {
      running: this.running,
      oldest: oldest.map(({ request, attempt, target, waitingSinceMs }) => ({
        requestId: request.requestId,
        className: request.className,
        adapter: formatAdapterVersion(request.adapter, request.version),
        attempt,
        ageMs: nowMs - request.arrivedAtMs,
        dueInMs: request.dueAtMs - nowMs,
        isWaitingForEndpoint: waitingSinceMs !== undefined,
        ...target
      }))
    }
  }

  /** Starts a request and passes the events of its response to `send`. */
  startRequest (request: RoutedRequest, send: SendAnswer): void {
    if (this.#getSuspectState(request) === 'refused') {
      this.#options.recordDecision(describeDecision(request, { kind: 'refuse', verdict: 'notRun', chosen: 'refused', reason: createCrashRefusal().message }))
      send({ type: 'failed', failure: createCrashRefusal() })
      return
    }
    const running: RunningRequest = {
      request,
      send,
      attempt: 0,
      target: undefined,
      dispatched: undefined,
      nextSequence: 0,
      hasSentData: false,
      mayHaveRun: false,
      avoidEndpoints: [],
      waitingSinceMs: undefined,
      waitTimer: undefined
    }
    this.#runningRequests.set(request.requestId, running)
    this.#options.recordDecision(describeAdmission(request))
    this.#options.retryBudget.recordFirstAttempt()
    this.#startAttempt(running)
  }

  /** Cancels a running request, for example because its caller has disconnected. No further events are sent for it. */
  cancelRequest (requestId: string): void {
    const running = this.#runningRequests.get(requestId)
    if (!running) return
    this.#cancelAttempt(running)
    this.#recordEnd(running, { kind: 'fail', verdict: 'mayHaveRun', chosen: 'cancelled', reason: 'the caller hung up' })
    this.#remove(running)
  }

  receiveMessage (hostId: string, message: PeerMessage): void {
    if (message.type === 'suspects') this.#receiveSuspects(message)
    else if (message.type === 'dispatched') this.#receiveDispatched(hostId, message)
    else if (message.type === 'answerData' || message.type === 'answerEnd' || message.type === 'answerFailed') {
      this.#receiveResponseMessage(hostId, message)
    }
  }

  #receiveDispatched (hostId: string, message: PeerMessageOf<'dispatched'>): void {
    const running = this.#runningRequests.get(message.requestId)
    if (running?.attempt === message.attempt && running.target?.hostId === hostId) running.dispatched = message
  }

  /** Handles the loss of the link to a host: its attempts fail, and each may have run. */
  receiveLinkClosed (hostId: string): void {
    for (const running of [...this.#runningRequests.values()]) {
      if (running.target?.hostId !== hostId) continue
      this.#handleFailure(running, createMayHaveRunFailure('scheduler_lost', `the link to scheduler "${hostId}" was lost`, 502))
    }
  }

  /** Handles a change of the available endpoints: dispatches waiting requests where an endpoint can now be selected. */
  receiveEndpointChange (): void {
    for (const running of [...this.#runningRequests.values()]) {
      if (running.waitingSinceMs !== undefined) this.#dispatch(running)
    }
  }

  #receiveSuspects (message: PeerMessageOf<'suspects'>): void {
    const nowMs = this.#options.clock.readMonotonic()
    for (const record of message.suspects) this.#options.suspects.addRecord(record, nowMs)
  }

  #getSuspectState (request: RoutedRequest): SuspectState {
    return this.#options.suspects.findState(request.fingerprint, this.#options.clock.readMonotonic())
  }

  // Attempts

  #startAttempt (running: RunningRequest): void {
    running.attempt++
    running.nextSequence = 0
    running.dispatched = undefined
    this.#dispatch(running)
  }

  #dispatch (running: RunningRequest): void {
    const { request, attempt } = running
    const { links, chooseEndpoint, clock, random, recordDecision } = this.#options
    const nowMs = clock.readMonotonic()
    const choice = chooseEndpoint({
      requestId: request.requestId,
      attempt,
      adapter: request.adapter,
      version: request.version,
      baseModel: request.baseModel,
      className: request.className,
      dueInMs: request.dueAtMs - nowMs,
      isDeferrable: isDeferrable(request.target),
      promptTokens: request.promptTokens,
      avoidEndpoints: running.avoidEndpoints,
      zone: this.#options.zone
    }, links.listViews(), random)
    if (!choice.isChosen) {
      this.#waitForEndpoint(running, choice.decision.reason, nowMs)
      return
    }
    const waits: Wait[] = running.waitingSinceMs === undefined ? [] : [{ cause: 'queue', ms: nowMs - running.waitingSinceMs }]
    this.#stopWaiting(running)
    recordDecision({ ...choice.decision, reason: `${choice.decision.reason}; its owner is "${choice.hostId}"`, waits })
    running.target = { hostId: choice.hostId, endpointId: choice.endpointId }
    links.recordSent(choice.hostId, choice.endpointId, formatAdapterVersion(request.adapter, request.version))
    links.send(choice.hostId, {
      ...createDispatchMessage(request, attempt, choice.endpointId, nowMs), isSuspect: this.#getSuspectState(request) === 'suspect'
    })
  }

  #waitForEndpoint (running: RunningRequest, reason: string, nowMs: number): void {
    running.target = undefined
    running.avoidEndpoints = []
    if (running.waitingSinceMs !== undefined) return
    running.waitingSinceMs = nowMs
    running.waitTimer = this.#options.clock.setTimer(() => {
      this.#finishFailed(running, createNotRunFailure('no_endpoint', reason, 503, retryAfterNoEndpointMs))
    }, maxWaitForEndpointMs)
  }

  #stopWaiting (running: RunningRequest): void {
    running.waitingSinceMs = undefined
    running.waitTimer?.cancel()
  }

  #cancelAttempt (running: RunningRequest): void {
    if (!running.target) return
    this.#options.links.send(running.target.hostId, {
      type: 'cancel', requestId: running.request.requestId, attempt: running.attempt
    })
  }

  // Responses

  #receiveResponseMessage (hostId: string, message: ResponseMessage): void {
    const running = this.#runningRequests.get(message.requestId)
    if (!running?.target) return
    const { attempt, nextSequence, target: { endpointId, hostId: targetHostId } } = running
    const sequence = message.type === 'answerFailed' ? undefined : message.sequence
    const sequenceCheck = this.#options.rules.checkAnswerPart(
      { attempt, hostId: targetHostId, nextSequence }, { attempt: message.attempt, hostId, sequence })
    if (sequenceCheck === 'drop') return
    const source: AnswerSource = { endpointId, attempt }
    if (message.type === 'answerFailed') {
      this.#handleFailure(running, message.failure)
    } else if (sequenceCheck === 'gap') {
      this.#failAfterGap(running)
    } else if (message.type === 'answerData') {
      running.nextSequence++
      running.hasSentData = true
      running.send({ type: 'data', data: message.data, source })
    } else {
      this.#recordEnd(running, { kind: 'finish', verdict: 'ran', chosen: 'answered', reason: 'the whole answer was sent' })
      this.#remove(running)
      this.#options.suspects.recordCompleted(running.request.fingerprint, this.#options.clock.readMonotonic())
      running.send({ type: 'end', source })
    }
  }

  #failAfterGap (running: RunningRequest): void {
    this.#cancelAttempt(running)
    this.#handleFailure(running, createMayHaveRunFailure('answer_gap', `chunk ${running.nextSequence} of the response is missing`, 502))
  }

  #handleFailure (running: RunningRequest, failure: RequestFailure): void {
    if (failure.verdict !== 'notRun') running.mayHaveRun = true
    if (this.#getSuspectState(running.request) === 'refused') {
      this.#finishFailed(running, { ...createCrashRefusal(), verdict: 'mayHaveRun' })
      return
    }
    const denialReason = this.#findRetryDenialReason(running, failure)
    if (denialReason !== undefined) {
      this.#finishFailed(running, failure)
      return
    }
    if (running.target) running.avoidEndpoints.push(running.target.endpointId)
    if (failure.verdict !== 'notRun') running.mayHaveRun = true
    this.#recordEnd(running, { kind: 'retry', verdict: failure.verdict, chosen: 'retry', reason: failure.message })
    this.#startAttempt(running)
  }

  /** Returns why a retry is not allowed. If it is allowed, takes it from the retry budget and returns undefined. */
  #findRetryDenialReason (running: RunningRequest, failure: RequestFailure): string | undefined {
    if (running.hasSentData) return 'part of the response was sent'
    if (!this.#options.rules.canRetry(failure.verdict, running.request.isRetryable)) return 'the request is not retryable'
    if (isClientError(failure)) return 'another endpoint would reject the request as well'
    if (running.attempt >= maxAttempts) return 'too many attempts'
    if (!this.#options.retryBudget.takeRetry(this.#options.clock.readMonotonic())) return 'the retry budget is exhausted'
    return undefined
  }

  #finishFailed (running: RunningRequest, lastFailure: RequestFailure): void {
    const failure = this.#options.rules.mergeAttempts(lastFailure, running.hasSentData || running.mayHaveRun)
    this.#recordEnd(running, { kind: 'fail', verdict: failure.verdict, chosen: failure.code, reason: failure.message })
    this.#remove(running)
    const { target, attempt } = running
    running.send({ type: 'failed', failure, ...(target && { source: { endpointId: target.endpointId, attempt } }) } satisfies AnswerEvent)
  }

  /** Records a decision that ends the current attempt. */
  #recordEnd (running: RunningRequest, decision: RequestDecision): void {
    const { request, attempt, target, dispatched } = running
    const endpointFields = target && { endpointId: target.endpointId }
    const dispatchFields = dispatched && { handle: dispatched.handle, waits: dispatched.waits }
    this.#options.recordDecision(describeDecision(request, { attempt, ...endpointFields, ...dispatchFields, ...decision }))
  }

  #remove (running: RunningRequest): void {
    running.waitTimer?.cancel()
    this.#runningRequests.delete(running.request.requestId)
  }
}

/** 4xx statuses are not retried, except for an unknown handle and for status 429 (full queue). */
function isClientError (failure: RequestFailure): boolean {
  const isClientStatus = failure.status >= 400 && failure.status < 500
  return isClientStatus && failure.code !== 'handle_unknown' && failure.status !== 429
}

function createDispatchMessage (request: RoutedRequest, attempt: number, endpointId: string, nowMs: number): Omit<PeerMessageOf<'dispatch'>, 'isSuspect'> {
  return {
    type: 'dispatch',
    requestId: request.requestId,
    attempt,
    endpointId,
    adapter: request.adapter,
    version: request.version,
    baseModel: request.baseModel,
    className: request.className,
    target: request.target,
    ageMs: nowMs - request.arrivedAtMs,
    dueInMs: request.dueAtMs - nowMs,
    callerName: request.callerName,
    fingerprint: request.fingerprint,
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
    path: request.path,
    body: request.body,
    isStream: request.isStream
  }
}
