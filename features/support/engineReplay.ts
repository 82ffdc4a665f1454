/** Replays a load against the planners of several engines on a virtual clock, and measures when requests get their first events. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { AllocationPlanner } from '../../src/core/allocation/allocationPlanner.js'
import type { Timer } from '../../src/ports/clock.js'
import type { AllocationRequest } from '../../src/core/allocation/allocationRequest.js'

export interface ReplayRequest {
  atMs: number
  kind: string
  targetMs: number
  /** Time after which its caller gives up. */
  patienceMs: number
  promptTokens: number
  account?: string
}

export interface ReplayOptions {
  seed: number
  batchLimit: number
  /** Speed of each engine; 1 is the usual. */
  speeds: number[]
  /** Momentary slowness of an engine's machine; 1 is the usual. */
  getSlowness?: (engine: number, nowMs: number) => number
  /** Whether long prompts are treated like short ones. */
  isSizeBlind?: boolean
  /** Whether responses report the slowness. */
  isSlownessTold?: boolean
}

export interface ReplayResult {
  request: ReplayRequest
  /** From arrival to the first event; undefined if the request was refused for good. */
  firstMs: number | undefined
}

interface Prefill {
  remainingTokens: number
  promptTokens: number
  complete: () => void
}

const tokensPerMs = 38.7
const msPerMillionPairs = 0.737
/** Tokens that an engine reads in one step. */
const chunkTokens = 4096
/** Fraction of a step that goes into prefill beside the decoding of running streams. */
const prefillTimeRatio = 0.8
const decodeMs = 450
const minStepMs = 8
const maxDeclines = 4
/** Times that a refused caller comes back. */
const maxRetries = 2

/** Numbers from 0 to 1 that depend on the seed alone. */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

class ReplayEngine {
  readonly planner: AllocationPlanner
  readonly grants = new Map<string, () => void>()
  readonly refusals = new Map<string, (retryAfterMs: number) => void>()
  #clock: VirtualClock
  #getFactor: () => number
  #prefills: Prefill[] = []
  #isStepping = false
  #planTimer: Timer | undefined

  constructor (clock: VirtualClock, batchLimit: number, isSizeBlind: boolean, getFactor: () => number) {
    this.#clock = clock
    this.#getFactor = getFactor
    this.planner = new AllocationPlanner({ adapterSlots: 4, batchLimit, cacheTokens: 100_000, maxLoads: 4, estimateLoadMs: () => 250, estimateColdLoadMs: () => 250, findRate: () => undefined, isSizeBlind })
  }

  plan (): void {
    this.#planTimer?.cancel()
    const plan = this.planner.plan(this.#clock.readMonotonic(), true)
    for (const { key, retryAfterMs } of plan.refused) this.refusals.get(key)?.(retryAfterMs)
    for (const key of plan.granted) this.grants.get(key)?.()
    if (plan.wakeAtMs !== undefined) this.#planTimer = this.#clock.setTimer(() => this.plan(), Math.max(1, plan.wakeAtMs - this.#clock.readMonotonic()))
  }

  add (prefill: Prefill): void {
    this.#prefills.push(prefill)
    if (!this.#isStepping) this.#step()
  }

  #step (): void {
    this.#isStepping = this.#prefills.length > 0
    if (!this.#isStepping) return
    let budget = chunkTokens
    let workMs = 0
    const completed: Prefill[] = []
    for (const prefill of this.#prefills) {
      const tokens = Math.min(budget, prefill.remainingTokens)
      workMs += tokens / tokensPerMs + msPerMillionPairs * tokens * prefill.promptTokens / 1e6
      prefill.remainingTokens -= tokens
      budget -= tokens
      if (prefill.remainingTokens === 0) completed.push(prefill)
      if (budget === 0) break
    }
    this.#prefills = this.#prefills.filter(prefill => prefill.remainingTokens > 0)
    this.#clock.setTimer(() => {
      for (const prefill of completed) prefill.complete()
      this.#step()
    }, Math.max(minStepMs, workMs / prefillTimeRatio) * this.#getFactor())
  }
}

/** Runs all requests to their ends. */
export function replayLoad (requests: readonly ReplayRequest[], options: ReplayOptions): ReplayResult[] {
  const clock = new VirtualClock()
  const random = createRandom(options.seed)
  const getSlowness = (index: number): number => options.getSlowness?.(index, clock.readMonotonic()) ?? 1
  const engines = options.speeds.map((speed, index) => new ReplayEngine(clock, options.batchLimit, options.isSizeBlind ?? false, () => getSlowness(index) / speed))
  const results = requests.map(request => ({ request, firstMs: undefined as number | undefined }))
  const retries = new Map<ReplayResult, number>()
  let nextKey = 0

  function send (result: ReplayResult, index: number, key: string): void {
    const engine = engines[index]!
    const { promptTokens, atMs } = result.request
    const sentAtMs = clock.readMonotonic()
    engine.add({
      remainingTokens: promptTokens,
      promptTokens,
      complete: () => {
        const nowMs = clock.readMonotonic()
        const slowness = options.isSlownessTold ? getSlowness(index) : undefined
        result.firstMs = nowMs - atMs
        clock.setTimer(() => {
          const endMs = clock.readMonotonic()
          engine.planner.recordFirstChunk(key, nowMs - sentAtMs, endMs, slowness)
          engine.planner.remove(key, endMs)
          engine.plan()
        }, decodeMs * getSlowness(index) / options.speeds[index]!)
      }
    })
  }

  function ask (result: ReplayResult, index: number, mayDecline: boolean): number {
    const engine = engines[index]!
    const { atMs, targetMs, patienceMs, promptTokens, account } = result.request
    const key = String(nextKey++)
    const request: AllocationRequest = {
      key, adapter: 'base/', isBase: true, version: 0, dueAtMs: atMs + targetMs, abandonAtMs: atMs + patienceMs, promptTokens, promptSegments: [], mayDecline, isServedElsewhere: false, isResumed: false, account
    }
    engine.grants.set(key, () => send(result, index, key))
    engine.refusals.set(key, retryAfterMs => retry(result, retryAfterMs))
    const decision = engine.planner.add(request, clock.readMonotonic())
    if (decision.kind === 'declined') return decision.expectedMs
    if (decision.kind === 'refused') retry(result, decision.retryAfterMs)
    else engine.plan()
    return -1
  }

  function dispatch (result: ReplayResult): void {
    const order = engines.map((_, index) => ({ index, position: random() })).sort((left, right) => left.position - right.position)
    let best = { index: -1, expectedMs: Infinity }
    for (const { index } of order.slice(0, maxDeclines)) {
      const expectedMs = ask(result, index, true)
      if (expectedMs < 0) return
      if (expectedMs < best.expectedMs) best = { index, expectedMs }
    }
    ask(result, best.index, false)
  }

  function retry (result: ReplayResult, retryAfterMs: number): void {
    const { atMs, patienceMs } = result.request
    const count = retries.get(result) ?? 0
    retries.set(result, count + 1)
    if (count < maxRetries && clock.readMonotonic() + retryAfterMs < atMs + patienceMs) clock.setTimer(() => dispatch(result), retryAfterMs)
  }

  for (const result of results) clock.setTimer(() => dispatch(result), result.request.atMs)
  clock.runUntil(Math.max(...requests.map(({ atMs }) => atMs)) + 20_000)
  return results
}

/** Draws arrival times of a Poisson process. */
export function drawArrivals (perSecond: number, fromMs: number, untilMs: number, random: () => number): number[] {
  const times: number[] = []
  for (let atMs = fromMs - Math.log(1 - random()) * 1000 / perSecond; atMs < untilMs; atMs -= Math.log(1 - random()) * 1000 / perSecond) times.push(atMs)
  return times
}

export function computeOnTimeShare (results: readonly ReplayResult[]): number {
  return results.filter(({ request, firstMs }) => firstMs !== undefined && firstMs <= request.targetMs).length / results.length
}

/** Time within which a part of the requests got their first events; infinite if too few did. */
export function computeQuantile (results: readonly ReplayResult[], quantile: number): number {
  const sorted = results.map(({ firstMs }) => firstMs ?? Infinity).sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))]!
}
