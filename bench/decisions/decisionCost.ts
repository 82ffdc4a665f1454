/** Measures the cost of a decision and how it grows with queue length, adapters and endpoints. */
import { chooseByCost } from '../../src/core/costChoice.js'
import type { ChoiceRequest, EndpointView } from '../../src/core/endpointChoice.js'
import type { EndpointPlanner, QueuedRequest } from '../../src/core/planner.js'
import { createSlackPlanners } from '../../src/core/slackPlanner.js'

const rounds = 20_000
const shape = { endpointId: 'engine-1', slots: 8, batchLimit: 16 }

/** Prints microseconds a call for several sizes, one line each. */
export function printDecisionCosts (): void {
  process.stdout.write('\nplanner, microseconds for a request (admission, plan, end, plan)\n')
  for (const [queued, adapters] of [[0, 8], [100, 50], [500, 200], [2000, 200], [2000, 2000], [10_000, 3000]] as const) {
    process.stdout.write(`queue ${queued}, adapters ${adapters}: ${measurePlanner(queued, adapters).toFixed(1)}\n`)
  }
  process.stdout.write('\nchoice, microseconds\n')
  for (const endpoints of [6, 8, 16, 64, 256]) {
    process.stdout.write(`endpoints ${endpoints}: ${measureChoice(endpoints).toFixed(1)}\n`)
  }
}

function createRequest (requestId: string, adapter: string, isUrgent: boolean, nowMs: number): QueuedRequest {
  const ms = isUrgent ? 2000 : 3_600_000
  return {
    requestId,
    attempt: 1,
    adapter,
    version: '1',
    className: isUrgent ? 'counter' : 'overnight',
    target: { kind: isUrgent ? 'firstTokenWithin' : 'finishWithin', ms },
    callerName: `caller-${requestId.length}`,
    fingerprint: '',
    promptTokens: 100,
    maxTokens: 100,
    arrivedAtMs: nowMs,
    dueAtMs: nowMs + ms
  }
}

function measurePlanner (queued: number, adapters: number): number {
  const planner = createSlackPlanners({ maxQueued: Infinity })(shape)
  for (let slot = 0; slot < shape.slots; slot++) planner.recordLoaded(`hot-${slot}`, '1', `hot-${slot}@1#1.${slot}`, 0)
  for (let index = 0; index < queued; index++) planner.addRequest(createRequest(`q${index}`, `cold-${index % adapters}`, false, 0), 0)
  runRounds(planner, 'warm', rounds / 4)
  const startMs = performance.now()
  runRounds(planner, 'r', rounds)
  return (performance.now() - startMs) / rounds * 1000
}

function runRounds (planner: EndpointPlanner, name: string, count: number): void {
  for (let round = 0; round < count; round++) {
    const nowMs = round / 10
    const requestId = `${name}${round}`
    planner.addRequest(createRequest(requestId, `hot-${round % shape.slots}`, true, nowMs), nowMs)
    planner.plan(nowMs)
    planner.recordFinished(requestId, 1, nowMs)
    planner.plan(nowMs)
  }
}

function measureChoice (endpoints: number): number {
  const views = Array.from({ length: endpoints }, (_, index) => createView(index))
  const startMs = performance.now()
  for (let round = 0; round < rounds; round++) chooseByCost(createChoiceRequest(round), views, () => 0)
  return (performance.now() - startMs) / rounds * 1000
}

function createChoiceRequest (round: number): ChoiceRequest {
  return {
    requestId: `r${round}`,
    attempt: 1,
    adapter: `adapter-${round % 3000}`,
    version: '1',
    baseModel: 'base',
    className: 'counter',
    dueInMs: 2000,
    isDeferrable: false,
    promptTokens: 100,
    avoidEndpoints: [],
    zone: 'az-1'
  }
}

function createView (index: number): EndpointView {
  return {
    hostId: 'host-1',
    sentSince: index % 3,
    loadsSentSince: [],
    summary: {
      endpointId: `engine-${index}`,
      zone: 'az-1',
      baseModel: 'base',
      fencing: 1,
      isReady: true,
      slots: 8,
      batchLimit: 16,
      running: index % 16,
      queued: 0,
      expectedWaitMs: 0,
      expectedLoadMs: 700,
      serviceIntervalMs: 100,
      evictionCostMs: index,
      loaded: Array.from({ length: 8 }, (_, slot) => `adapter-${index * 8 + slot}@1`),
      loading: []
    }
  }
}
