/** Drives the router of requests through one history of an attempt's messages: delayed, duplicated, lost and out of order. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { chooseLeastLoaded } from '../../src/core/leastLoadedChoice.js'
import { RetryBudget } from '../../src/core/retryBudget.js'
import { SuspectRegistry } from '../../src/core/suspectRegistry.js'
import type { EndpointView } from '../../src/core/endpointChoice.js'
import type { PeerMessage } from '../../src/schemas/peerMessage.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../src/schemas/verdict.js'
import { RequestRouter } from '../../src/tasks/gateway/requestRouter.js'
import type { AnswerEvent, RoutedRequest } from '../../src/tasks/gateway/routedRequest.js'
import { createSampleSummary } from './sampleSummary.js'

/** Outcome of one attempt on its engine: it is refused, its connection closes after some chunks, or it ends. */
export type Fate = { type: 'notRun' } | { type: 'broken', parts: number } | { type: 'whole' }

export interface Step {
  /** Index of the attempt that sends, counted back from the newest. */
  back: number
  /** Which of its messages; undefined for the one that comes next. */
  message: number | undefined
  /** The link to its host closes instead of a message. */
  isClosed: boolean
}

export interface History {
  isRepeatable: boolean
  fates: Fate[]
  steps: Step[]
}

/** What the network does to a message; the default passes it on as it is. */
export type PassMessage = (delivery: Delivery, state: RouterHistory) => Delivery

export interface Delivery {
  hostId: string
  message: PeerMessage
}

interface SentAttempt {
  attempt: number
  hostId: string
  fate: Fate
  messages: PeerMessage[]
  next: number
}

const partsOfAnswer = 4
const hosts = ['scheduler-1', 'scheduler-2', 'scheduler-3']
const requestId = 'req-1'

export class RouterHistory {
  #clock = new VirtualClock()
  #router: RequestRouter
  #passMessage: PassMessage
  #fates: Fate[]
  readonly attempts: SentAttempt[] = []
  readonly events: AnswerEvent[] = []

  constructor (history: History, passMessage: PassMessage) {
    this.#passMessage = passMessage
    this.#fates = history.fates
    this.#router = new RequestRouter({
      clock: this.#clock,
      zone: 'az-1',
      links: { listViews: createViews, recordSent: () => {}, send: (hostId, message) => this.#receiveSent(hostId, message) },
      chooseEndpoint: chooseLeastLoaded,
      retryBudget: new RetryBudget({ burst: 100, retriesPerRequest: 0, retriesPerSecond: 0 }, 0),
      suspects: new SuspectRegistry(),
      random: () => 0,
      recordDecision: () => {}
    })
  }

  get parts (): string[] {
    return this.events.flatMap(event => event.type === 'data' ? [event.data] : [])
  }

  /** Runs the steps, then whatever the newest attempt still sends, until the request has its last event. */
  run (history: History): void {
    this.#router.startRequest(createRequest(history.isRepeatable), event => this.events.push(event))
    for (const step of history.steps) this.#runStep(step)
    for (let turn = 0; turn < 100 && this.#router.running > 0; turn++) {
      this.#runStep({ back: 0, message: undefined, isClosed: false })
      this.#router.receiveEndpointChange()
    }
    this.#clock.runUntil(60_000)
  }

  #receiveSent (hostId: string, message: PeerMessage): boolean {
    if (message.type !== 'dispatch') return true
    const fate = this.#fates[this.attempts.length % this.#fates.length]!
    this.attempts.push({ attempt: message.attempt, hostId, fate, messages: createMessages(message.attempt, fate), next: 0 })
    return true
  }

  #runStep ({ back, message, isClosed }: Step): void {
    const sent = this.attempts[this.attempts.length - 1 - back]
    if (!sent) return
    if (isClosed) {
      this.#router.receiveLinkClosed(sent.hostId)
      return
    }
    const index = message ?? sent.next
    const chosen = sent.messages[index]
    if (!chosen) return
    sent.next = Math.max(sent.next, index + 1)
    const passed = this.#passMessage({ hostId: sent.hostId, message: chosen }, this)
    this.#router.receiveMessage(passed.hostId, passed.message)
  }
}

function createMessages (attempt: number, fate: Fate): PeerMessage[] {
  if (fate.type === 'notRun') {
    return [{ type: 'answerFailed', requestId, attempt, failure: createNotRunFailure('queue_full', 'the queue is full', 429) }]
  }
  const count = fate.type === 'whole' ? partsOfAnswer : fate.parts
  const parts = Array.from({ length: count }, (_, sequence): PeerMessage =>
    ({ type: 'answerData', requestId, attempt, sequence, data: formatPart(attempt, sequence) }))
  return fate.type === 'whole'
    ? [...parts, { type: 'answerEnd', requestId, attempt, sequence: count }]
    : [...parts, { type: 'answerFailed', requestId, attempt, failure: createMayHaveRunFailure('endpoint_lost', 'the endpoint was lost', 502) }]
}

function formatPart (attempt: number, sequence: number): string {
  return `${attempt}.${sequence}`
}

/** Names what a history got wrong; undefined where every promise held. */
export function findBrokenPromise (history: History, { attempts, events, parts }: RouterHistory): string | undefined {
  const finals = events.filter(event => event.type !== 'data')
  if (finals.length !== 1 || events.at(-1) !== finals[0]) return `the request got ${finals.length} last events`
  const attempt = Number(parts[0]?.split('.')[0] ?? 0)
  const whole = Array.from({ length: partsOfAnswer }, (_, sequence) => formatPart(attempt, sequence))
  if (parts.some((part, index) => part !== whole[index])) return `the parts ${parts.join(' ')} are not those of one attempt in order`
  const final = finals[0]!
  if (final.type === 'end' && parts.length !== partsOfAnswer) return `an answer of ${parts.length} parts was called whole`
  const mayHaveRun = attempts.filter(({ fate }) => fate.type !== 'notRun').length
  if (final.type === 'failed' && final.failure.verdict === 'notRun' && mayHaveRun > 0) return 'a request that may have run was called not run'
  if (!history.isRepeatable && mayHaveRun > 1) return 'a request that may not run twice was tried again after it may have run'
  return undefined
}

function createViews (): EndpointView[] {
  return hosts.map((hostId, index) => ({
    hostId,
    sentSince: 0,
    loadsSentSince: [],
    summary: createSampleSummary(`engine-${index + 1}`, { loaded: ['cluj-tax@2'] })
  }))
}

function createRequest (isRetryable: boolean): RoutedRequest {
  return {
    requestId,
    callerName: 'clerk',
    adapter: 'cluj-tax',
    version: '2',
    baseModel: 'base-1',
    className: 'counter',
    target: { kind: 'firstTokenWithin', ms: 2000 },
    arrivedAtMs: 0,
    dueAtMs: 2000,
    isRetryable,
    fingerprint: 'fingerprint',
    promptTokens: 10,
    maxTokens: partsOfAnswer,
    path: '/v1/completions',
    body: '{}',
    isStream: true
  }
}
