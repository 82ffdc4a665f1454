/** A request router over links that a test answers by hand, on a virtual clock. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { chooseLeastLoaded } from '../../src/core/leastLoadedChoice.js'
import { RetryBudget, defaultRetryBudget } from '../../src/core/retryBudget.js'
import { SuspectRegistry } from '../../src/core/suspectRegistry.js'
import type { PeerMessage, PeerMessageOf } from '../../src/schemas/peerMessage.js'
import { RequestRouter } from '../../src/tasks/gateway/requestRouter.js'
import type { RequestRouterOptions } from '../../src/tasks/gateway/requestRouter.js'
import type { AnswerEvent, RoutedRequest } from '../../src/tasks/gateway/routedRequest.js'
import { createSampleSummary } from './sampleSummary.js'

export interface SentMessage {
  hostId: string
  message: PeerMessage
}

export interface RouterFixture {
  router: RequestRouter
  clock: VirtualClock
  sent: SentMessage[]
  events: AnswerEvent[]
  /** Starts a request; what is left out is as of a plain streamed request. */
  start: (request?: Partial<RoutedRequest>) => void
  /** The dispatch that was sent last. */
  findLastDispatch: () => PeerMessageOf<'dispatch'> & { hostId: string }
}

const hostCount = 3

const plainRequest: RoutedRequest = {
  requestId: 'req-1',
  callerName: 'caller',
  adapter: 'alpha',
  version: '1',
  baseModel: 'base-1',
  className: 'counter',
  target: { kind: 'firstTokenWithin', ms: 1000 },
  arrivedAtMs: 0,
  dueAtMs: 1000,
  isRetryable: true,
  fingerprint: 'fingerprint-1',
  promptTokens: 4,
  maxTokens: 4,
  path: '/v1/chat/completions',
  body: '{}',
  isStream: true
}

/**
 * Creates a router with three schedulers that own one endpoint each.
 *
 * @example
 * const fixture = createRouterFixture()
 * fixture.start({ isRetryable: false })
 */
export function createRouterFixture (options: Partial<RequestRouterOptions> = {}): RouterFixture {
  const clock = new VirtualClock()
  const sent: SentMessage[] = []
  const events: AnswerEvent[] = []
  const views = Array.from({ length: hostCount }, (_, index) => (
    { summary: createSampleSummary(`engine-${index + 1}`, { expectedWaitMs: index + 1 }), hostId: `scheduler-${index + 1}`, sentSince: 0, loadsSentSince: [] }))
  const router = new RequestRouter({
    clock,
    zone: 'az-1',
    links: {
      listViews: () => views,
      send: (hostId, message) => sent.push({ hostId, message }) > 0,
      recordSent: () => {}
    },
    chooseEndpoint: chooseLeastLoaded,
    retryBudget: new RetryBudget(defaultRetryBudget, 0),
    suspects: new SuspectRegistry(),
    random: () => 0,
    recordDecision: () => {},
    ...options
  })
  return {
    router,
    clock,
    sent,
    events,
    start: request => router.startRequest({ ...plainRequest, ...request }, event => events.push(event)),
    findLastDispatch: () => {
      const last = sent.findLast(({ message }) => message.type === 'dispatch')!
      return { ...last.message as PeerMessageOf<'dispatch'>, hostId: last.hostId }
    }
  }
}
