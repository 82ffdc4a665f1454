/** Which endpoint a front sends a request to, or asks for a place. */
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

/** Above this part of its places an endpoint passes an adapter's further requests on to the next in rank. */
export const crowdedPart = 0.75
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

/**
 * Ranks the engines for an adapter. Every host finds the same order by rendezvous hashing, so that an adapter's requests
 * meet where it is loaded; engines that are crowded or fail go behind those that are not.
 */
export function rankEngines (name: string, candidates: readonly FrontCandidate[]): FrontCandidate[] {
  return candidates
    .map(candidate => ({ candidate, group: (candidate.isFailing ? 2 : 0) + (candidate.busyPart > crowdedPart ? 1 : 0), hash: computeHash(`${name} ${candidate.id}`) }))
    .sort((left, right) => left.group - right.group || right.hash - left.hash)
    .map(({ candidate }) => candidate)
}
