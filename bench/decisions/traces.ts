/** Builds seeded traces of requests, scaled to a part of the deployment's capacity. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { countBestMisses } from './bounds.js'
import { engineTimes } from './workload.js'
import type { Deployment, Trace, TraceEvent, TraceRequest, WorkClass } from './workload.js'

export type Random = () => number

export const traceNames = ['steady', 'day', 'shift', 'burst', 'faults', 'capacity', 'overload'] as const
export type TraceName = typeof traceNames[number]

const warmUpMs = 60_000
const endMs = 300_000
const targetUse = 0.8
const overloadFactor = 3
/** When three times the capacity is asked for. */
export const floodTimes = Object.freeze({ fromMs: 120_000, untilMs: 180_000 })
/** Part of the adapters whose popularity changes within a trace. */
const turnover = 0.41
/** Period of the daily rhythm, compressed. */
const dayMs = 240_000
const capacitySeed = 1000

interface Shape {
  /** Factor on the rate of arrivals at a time. */
  rate: (atMs: number) => number
  /** When popularity changes hands at once; undefined where it drifts. */
  shiftAtMs: number | undefined
  hasBurst: boolean
  events: TraceEvent[]
  maxReturns: number
}

const steadyShape: Shape = { rate: () => 1, shiftAtMs: undefined, hasBurst: false, events: [], maxReturns: 0 }

const shapes: Record<TraceName, Shape> = {
  steady: steadyShape,
  day: { ...steadyShape, rate: atMs => 1 + 0.25 * Math.sin(2 * Math.PI * atMs / dayMs) },
  shift: { ...steadyShape, shiftAtMs: 150_000 },
  burst: { ...steadyShape, hasBurst: true },
  faults: {
    ...steadyShape,
    events: [
      { atMs: 120_000, kind: 'engineRestarts', engine: 1 },
      { atMs: 170_000, kind: 'storeSlows', factor: 3 },
      { atMs: 210_000, kind: 'storeSlows', factor: 1 }
    ]
  },
  capacity: { ...steadyShape, rate: () => 1 / targetUse, maxReturns: 2 },
  overload: {
    ...steadyShape,
    rate: atMs => atMs >= floodTimes.fromMs && atMs < floodTimes.untilMs ? overloadFactor / targetUse : 1 / targetUse,
    maxReturns: 2
  }
}

/** Creates a source of numbers from 0 up to 1. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Builds the trace of a seed at 80% of capacity; `capacity` runs at capacity, as does `overload`, with three times that for a minute. */
export function buildTrace (deployment: Deployment, name: TraceName, seed: number): Trace {
  const shape = shapes[name]
  const requests = buildRequests(deployment, shape, findRate(deployment), seed)
  return { name, deployment, seed, requests, events: shape.events, warmUpMs, endMs, maxReturns: shape.maxReturns }
}

const rates = new Map<string, number>()

/** Finds the arrivals a second that use 80% of the engines or of the load budget, whichever is scarcer. */
function findRate (deployment: Deployment): number {
  const known = rates.get(deployment.name)
  if (known !== undefined) return known
  let low = 0.5
  let high = 100
  for (let round = 0; round < 12; round++) {
    const rate = (low + high) / 2
    const requests = buildRequests(deployment, steadyShape, rate, capacitySeed)
    if (computeUse(deployment, requests) > targetUse) high = rate
    else low = rate
  }
  rates.set(deployment.name, low)
  return low
}

/** Part of the capacity that requests take: of full batches, or of the load budget with the best eviction. */
function computeUse (deployment: Deployment, requests: TraceRequest[]): number {
  const { batchLimit, engines, slots, loadsPerSecond } = deployment
  const fullStepMs = engineTimes.stepBaseMs + engineTimes.stepPerRequestMs * batchLimit
  const engineMs = requests.reduce((sum, request) =>
    sum + request.maxTokens * fullStepMs / batchLimit + request.promptTokens * engineTimes.prefillPerTokenMs, 0)
  const loads = countBestMisses(requests.map(request => request.adapter), engines * slots)
  return Math.max(engineMs / (engines * endMs), loads / (loadsPerSecond * endMs / 1000))
}

function buildRequests (deployment: Deployment, shape: Shape, perSecond: number, seed: number): TraceRequest[] {
  const random = createRandom(seed)
  const popularity = new Popularity(deployment, shape, seed, random)
  const requests: TraceRequest[] = []
  for (const workClass of deployment.classes) {
    const sessions = perSecond * workClass.share / workClass.meanSession * endMs / 1000
    addSessions(requests, workClass, shape, sessions, popularity, random)
  }
  if (shape.hasBurst) addBurst(requests, deployment, popularity, random)
  requests.sort((left, right) => left.atMs - right.atMs)
  return requests.filter(request => request.atMs < endMs).map((request, index) => ({ ...request, id: `r${index}` }))
}

function addSessions (
  requests: TraceRequest[], workClass: WorkClass, shape: Shape, sessions: number, popularity: Popularity, random: Random
): void {
  const maxRate = overloadFactor / targetUse
  let atMs = 0
  for (;;) {
    // Arrivals at the highest rate, thinned to the rate of the moment.
    atMs += createExponential(endMs / sessions / maxRate, random)
    if (atMs >= endMs) return
    if (random() > shape.rate(atMs) / maxRate) continue
    const startMs = workClass.isBatch ? warmUpMs + atMs / endMs * 10_000 : atMs
    addSession(requests, workClass, popularity.choose(startMs, random), startMs, random)
  }
}

function addSession (requests: TraceRequest[], workClass: WorkClass, adapter: string, startMs: number, random: Random): void {
  const callerName = `${workClass.name}-${Math.floor(random() * 40)}`
  let atMs = startMs
  do {
    requests.push({
      id: '',
      atMs,
      adapter,
      workClass,
      callerName,
      promptTokens: Math.ceil(workClass.meanPromptTokens * (0.5 + random())),
      maxTokens: Math.ceil(workClass.meanTokens * (0.5 + random()))
    })
    atMs += createExponential(workClass.sessionGapMs, random)
  } while (random() > 1 / workClass.meanSession)
}

/** A lesson begins: thirty children ask about one kit within half a minute. */
function addBurst (requests: TraceRequest[], deployment: Deployment, popularity: Popularity, random: Random): void {
  const workClass = deployment.classes[0]!
  for (const startMs of [100_000, 160_000, 220_000]) {
    const adapter = popularity.chooseCold(random)
    for (let child = 0; child < 30; child++) addSession(requests, workClass, adapter, startMs + random() * 30_000, random)
  }
}

function createExponential (mean: number, random: Random): number {
  return -Math.log(1 - random()) * mean
}

/** Which adapter has which rank, as it changes over a trace. */
class Popularity {
  #cumulative: number[] = []
  #ranks: string[]
  #later: string[]
  #shape: Shape

  constructor (deployment: Deployment, shape: Shape, seed: number, random: Random) {
    this.#shape = shape
    let sum = 0
    for (let rank = 1; rank <= deployment.adapters; rank++) {
      sum += rank ** -deployment.skew
      this.#cumulative.push(sum)
    }
    this.#ranks = this.#cumulative.map((_, rank) => `adapter-${seed}-${rank}`)
    this.#later = swapRanks(this.#ranks, random)
  }

  choose (atMs: number, random: Random): string {
    const { shiftAtMs } = this.#shape
    const partChanged = shiftAtMs === undefined ? atMs / endMs : Number(atMs >= shiftAtMs)
    const rank = this.#chooseRank(random)
    // Each rank changes hands at a time of its own.
    const changesAt = (rank * 0.618) % 1
    return (partChanged > changesAt || partChanged === 1 ? this.#later : this.#ranks)[rank]!
  }

  chooseCold (random: Random): string {
    return this.#ranks[Math.floor(this.#ranks.length * (0.5 + random() / 2))]!
  }

  #chooseRank (random: Random): number {
    const wanted = random() * this.#cumulative.at(-1)!
    let low = 0
    let high = this.#cumulative.length - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#cumulative[middle]! < wanted) low = middle + 1
      else high = middle
    }
    return low
  }
}

function swapRanks (ranks: string[], random: Random): string[] {
  const swapped = [...ranks]
  for (let rank = 0; rank < swapped.length; rank++) {
    if (random() > turnover / 2) continue
    const other = Math.floor(random() * swapped.length)
    const name = swapped[rank]!
    swapped[rank] = swapped[other]!
    swapped[other] = name
  }
  return swapped
}
