/** Which endpoint a front sends a request to, or asks for a place. */
import type { DeskLoad } from '../schemas/datagram.js'
import { computeHash } from './rendezvousHash.js'

export interface FrontCandidate {
  id: string
  zone: string
  /** Part of the places that are taken, 0 to 1 and beyond where requests wait. */
  busyPart: number
  /** Usual time of an answer; 0 where none was seen. */
  latencyMs: number
  isFailing: boolean
}

/** Another zone costs two crossings of some 1 ms, a fraction of a place. */
const otherZonePart = 0.02

/**
 * Picks the endpoint of a plain service with the least expected wait; undefined where there is none.
 *
 * @example
 * pickLeastBusy(candidates, 'sala-unu', Math.random)?.id
 */
export function pickLeastBusy (candidates: readonly FrontCandidate[], ownZone: string, random: () => number): FrontCandidate | undefined {
  let best: FrontCandidate | undefined
  let leastCost = Infinity
  for (const candidate of candidates) {
    const far = candidate.zone === ownZone ? 0 : otherZonePart
    // A random tenth of a place keeps hosts with the same view from all choosing the same endpoint.
    const cost = candidate.busyPart + far + random() * 0.1 + (candidate.isFailing ? 10 : 0)
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

/** Above this use and backlog an engine's owner sends requests elsewhere that have somewhere else to go. */
const crowdedUse = 0.6
const crowdedBacklogMs = 25
/** Part of the batch that is full enough to send requests elsewhere. */
const crowdedBatchPart = 0.85

/** Whether an engine should not get a request that another one can take. */
export function isCrowded ({ use, backlogMs, batchPart }: DeskLoad): boolean {
  return (use > crowdedUse && backlogMs > crowdedBacklogMs) || batchPart > crowdedBatchPart
}

/**
 * Finds the engine that keeps track of an adapter; hosts agree on it whatever they have met.
 *
 * @example
 * findHome('base/a3@1', candidates)?.id
 */
export function findHome (name: string, candidates: readonly EngineCandidate[]): string | undefined {
  let home: string | undefined
  let highest = -Infinity
  for (const { id } of candidates) {
    const hash = computeHash(`${name} ${id}`)
    if (hash > highest) [home, highest] = [id, hash]
  }
  return home
}

/**
 * Ranks the engines for an adapter. Every host finds the same order by rendezvous hashing, so that an adapter's requests
 * meet where it is loaded; engines that fail go behind those that do not.
 */
export function rankEngines (name: string, candidates: readonly EngineCandidate[]): EngineCandidate[] {
  return candidates
    .map(candidate => ({ candidate, group: candidate.isFailing ? 1 : 0, hash: computeHash(`${name} ${candidate.id}`) }))
    .sort((left, right) => left.group - right.group || right.hash - left.hash)
    .map(({ candidate }) => candidate)
}
