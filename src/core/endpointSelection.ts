/** Selects the endpoint that a proxy sends a request to, or asks for a reservation. */
import type { EngineLoad } from '../schemas/datagram.js'
import { computeHash } from './rendezvousHash.js'

export interface EndpointCandidate {
  id: string
  zone: string
  /** Fraction of the endpoint's concurrency limit that is in use, 0 to 1, and above 1 where requests wait. */
  utilization: number
  /** Usual time of an answer in milliseconds; 0 where none was measured. */
  latencyMs: number
  isFailing: boolean
}

/** Added to the utilization of endpoints in other zones, as a request there crosses zones twice at about 1 ms each. */
const crossZonePenalty = 0.02

/**
 * Selects the endpoint of a service without engines that has the least expected wait; undefined where there is no candidate.
 *
 * @example
 * pickLeastBusy(candidates, 'sala-unu', Math.random)?.id
 */
export function pickLeastBusy (candidates: readonly EndpointCandidate[], ownZone: string, random: () => number): EndpointCandidate | undefined {
  let best: EndpointCandidate | undefined
  let leastCost = Infinity
  for (const candidate of candidates) {
    const zonePenalty = candidate.zone === ownZone ? 0 : crossZonePenalty
    // Random noise of up to a tenth of the capacity keeps hosts with the same view from all choosing the same endpoint.
    const cost = candidate.utilization + zonePenalty + random() * 0.1 + (candidate.isFailing ? 10 : 0)
    if (cost >= leastCost) continue
    best = candidate
    leastCost = cost
  }
  return best
}

export interface EngineCandidate {
  id: string
  isFailing: boolean
}

/** Above both this prefill utilization and this backlog, an engine's owner declines requests that another engine can serve. */
const nearCapacityUtilization = 0.6
const nearCapacityBacklogMs = 25
/** Above this fraction of the batch in use, an engine's owner declines them too. */
const nearCapacityBatchFraction = 0.85

/** Whether an engine should not get a request that another one can serve. */
export function isNearCapacity ({ use, backlogMs, batchPart }: EngineLoad): boolean {
  return (use > nearCapacityUtilization && backlogMs > nearCapacityBacklogMs) || batchPart > nearCapacityBatchFraction
}

/**
 * Finds the preferred engine of an adapter, whose allocator records where the adapter's requests are served. Hosts agree on it
 * whatever failures they have seen.
 *
 * @example
 * findPreferredEngine('base/a3@1', candidates)
 */
export function findPreferredEngine (name: string, candidates: readonly EngineCandidate[]): string | undefined {
  let preferred: string | undefined
  let highest = -Infinity
  for (const { id } of candidates) {
    const hash = computeHash(`${name} ${id}`)
    if (hash > highest) [preferred, highest] = [id, hash]
  }
  return preferred
}

/**
 * Ranks the engines for an adapter by rendezvous hashing. All hosts compute the same order, so an adapter's requests go to the
 * engine that has it loaded; failing engines are ranked after all others.
 */
export function rankEngines (name: string, candidates: readonly EngineCandidate[]): EngineCandidate[] {
  return candidates
    .map(candidate => ({ candidate, group: candidate.isFailing ? 1 : 0, hash: computeHash(`${name} ${candidate.id}`) }))
    .sort((left, right) => left.group - right.group || right.hash - left.hash)
    .map(({ candidate }) => candidate)
}
