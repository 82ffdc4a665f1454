/** Measures the cost of a decision and how it grows with queue length, adapters and endpoints. */
import { chooseByCost } from '../../src/core/costChoice.js'
import type { ChoiceRequest, EndpointView } from '../../src/core/endpointChoice.js'
import type { EndpointPlanner, QueuedRequest } from '../../src/core/planner.js'
import { createSlackPlannerFactory } from '../../src/core/slackPlanner.js'
import { computeCosts } from './measures.js'

const rounds = 20_000
const shape = { endpointId: 'engine-1', slots: 8, batchLimit: 16 }

/** Prints microseconds a call for several sizes: mean, what 99 in 100 keep to, and greatest. */
export function printDecisionCosts (): void {
  process.stdout.write('\nplanner, microseconds for a request (admission, plan, end, plan)\n')
  for (const [queued, adapters] of [[0, 8], [100, 50], [500, 200], [2000, 200], [2000, 2000], [10_000, 3000]] as const) {
    process.stdout.write(`queue ${queued}, adapters ${adapters}: ${measurePlanner(queued, adapters)}\n`)
  }
  process.stdout.write('\nchoice, microseconds\n')
  for (const endpoints of [6, 8, 16, 64, 256]) {
    process.stdout.write(`endpoints ${endpoints}: ${measureChoice(endpoints)}\n`)
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

function measurePlanner (queued: number, adapters: number): string {
  const planner = createSlackPlannerFactory({ maxQueued: Infinity })(shape)
  for (let slot = 0; slot < shape.slots; slot++) planner.recordLoaded(`hot-${slot}`, '1', `hot-${slot}@1#1.${slot}`, 0)
  for (let index = 0; index < queued; index++) planner.addRequest(createRequest(`q${index}`, `cold-${index % adapters}`, false, 0), 0)
  runRounds(planner, 'warm', rounds / 4)
  return formatTimes(runRounds(planner, 'r', rounds))
}

function runRounds (planner: EndpointPlanner, name: string, count: number): number[] {
  const times: number[] = []
  for (let round = 0; round < count; round++) {
    const nowMs = round / 10
    const requestId = `${name}${round}`
    const request = createRequest(requestId, `hot-${round % shape.slots}`, true, nowMs)
    const startMs = performance.now()
    planner.addRequest(request, nowMs)
    planner.plan(nowMs)
    planner.recordFinished(requestId, 1, nowMs)
    planner.plan(nowMs)
    times.push(performance.now() - startMs)
  }
  return times
}

function measureChoice (endpoints: number): string {
  const views = Array.from({ length: endpoints }, (_, index) => createView(index))
  const times: number[] = []
  for (let round = 0; round < rounds; round++) {
    const request = createChoiceRequest(round)
    const startMs = performance.now()
    chooseByCost(request, views, () => 0)
    times.push(performance.now() - startMs)
  }
  return formatTimes(times)
}

function formatTimes (times: number[]): string {
  const { mean, ninetyNine, greatest } = computeCosts(times)
  return [mean, ninetyNine, greatest].map(value => value.toFixed(1)).join(' / ')
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
