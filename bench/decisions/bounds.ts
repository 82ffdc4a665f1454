/** What no policy can beat on a trace: see docs/design/placement.md and docs/design/batching.md. */
import { isDeferrable } from '../../src/core/targetTime.js'
import { engineTimes } from './workload.js'
import type { Trace, TraceRequest } from './workload.js'

export interface Bounds {
  /** Least sum of load stalls of requests that somebody waits for, in milliseconds. */
  urgentStallMs: number
  /** Least sum of load stalls of all requests, in milliseconds. */
  stallMs: number
  /** Greatest mean part of a batch in use. */
  batchEfficiency: number
}

/** Computes the bounds over the measured part of a trace. */
export function computeBounds (trace: Trace): Bounds {
  const measured = trace.requests.filter(request => request.atMs >= trace.warmUpMs)
  return { ...computeStallBounds(trace), batchEfficiency: computeEfficiencyBound(trace, measured) }
}

/**
 * Sums the stalls of adapters that had never been asked for: whoever asks first waits for a whole load, and so does each
 * urgent request that follows while that load can at the earliest be under way, for the rest of it.
 */
export function computeStallBounds ({ requests, deployment, warmUpMs }: Trace): Pick<Bounds, 'urgentStallMs' | 'stallMs'> {
  const { loadMs } = deployment
  const firstAtMs = new Map<string, number>()
  let urgentStallMs = 0
  let deferrableStallMs = 0
  for (const { adapter, atMs, workClass } of requests) {
    const isFirst = !firstAtMs.has(adapter)
    if (isFirst) firstAtMs.set(adapter, atMs)
    if (atMs < warmUpMs) continue
    if (!isDeferrable(workClass.target)) urgentStallMs += Math.max(0, firstAtMs.get(adapter)! + loadMs - atMs)
    else if (isFirst) deferrableStallMs += loadMs
  }
  return { urgentStallMs, stallMs: urgentStallMs + deferrableStallMs }
}

/**
 * Counts the loads of the best eviction with full knowledge of the future (Belady's algorithm).
 * The cache starts with the adapters that are asked for first, at no cost.
 */
export function countBestMisses (references: string[], slots: number): number {
  const nextUse = findNextUses(references)
  const cached = new Map<string, number>()
  let misses = 0
  references.forEach((adapter, index) => {
    if (!cached.has(adapter) && cached.size >= slots) {
      misses++
      cached.delete(findFarthest(cached))
    }
    cached.set(adapter, nextUse[index]!)
  })
  return misses
}

function findNextUses (references: string[]): number[] {
  const nextUse = new Array<number>(references.length)
  const seen = new Map<string, number>()
  for (let index = references.length - 1; index >= 0; index--) {
    nextUse[index] = seen.get(references[index]!) ?? Infinity
    seen.set(references[index]!, index)
  }
  return nextUse
}

function findFarthest (cached: Map<string, number>): string {
  let farthest = ''
  let farthestUse = -1
  for (const [adapter, use] of cached) {
    if (use > farthestUse) {
      farthest = adapter
      farthestUse = use
    }
  }
  return farthest
}

const windowMs = 1000

/** No step holds more requests than could be in the system at the time. */
function computeEfficiencyBound (trace: Trace, measured: TraceRequest[]): number {
  const { batchLimit } = trace.deployment
  const spans = trace.requests.map(request => ({ request, from: request.atMs, until: findLatestEnd(trace, request) }))
  const present = countPresent(spans)
  let tokens = 0
  let steps = 0
  const first = spans.length - measured.length
  for (const { request, from, until } of spans.slice(first)) {
    let most = 1
    for (let window = Math.floor(from / windowMs); window <= Math.floor(until / windowMs); window++) most = Math.max(most, present[window] ?? 0)
    tokens += request.maxTokens
    steps += request.maxTokens / Math.min(batchLimit, most)
  }
  return tokens / (steps * batchLimit)
}

function countPresent (spans: Array<{ from: number, until: number }>): number[] {
  const changes: number[] = []
  for (const { from, until } of spans) {
    const last = Math.floor(until / windowMs) + 1
    changes[Math.floor(from / windowMs)] = (changes[Math.floor(from / windowMs)] ?? 0) + 1
    changes[last] = (changes[last] ?? 0) - 1
  }
  let count = 0
  return Array.from(changes, change => (count += change ?? 0))
}

function findLatestEnd (trace: Trace, request: TraceRequest): number {
  const { target } = request.workClass
  const fullStepMs = engineTimes.stepBaseMs + engineTimes.stepPerRequestMs * trace.deployment.batchLimit
  if (target.kind === 'finishByTimeOfDay') return trace.endMs
  if (target.kind !== 'firstTokenWithin') return request.atMs + target.ms
  return request.atMs + target.ms + request.maxTokens * fullStepMs
}
