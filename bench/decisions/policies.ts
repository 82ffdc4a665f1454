/** The policies that the bench compares, baselines first. */
import { createFirstComePlanner } from '../../src/core/firstComePlanner.js'
import type { ChooseEndpoint } from '../../src/core/endpointChoice.js'
import { chooseLeastLoaded } from '../../src/core/leastLoadedChoice.js'
import type { Policy } from './runTrace.js'

/** Chooses by a hash of adapter and endpoint alone, whatever their load. */
export const chooseRendezvous: ChooseEndpoint = (request, views, random) => {
  const best = views
    .filter(({ summary }) => summary.isReady && !request.avoidEndpoints.includes(summary.endpointId))
    .map(view => ({ view, weight: hashText(`${request.adapter} ${view.summary.endpointId}`) }))
    .sort((left, right) => right.weight - left.weight)[0]
  return best ? chooseLeastLoaded(request, [best.view], random) : chooseLeastLoaded(request, [], random)
}

/** FNV-1a, 32 bits, with a final mix. */
function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  return (hash ^ (hash >>> 13)) >>> 0
}

export const policies: Policy[] = [
  { name: 'least-loaded', createPlanner: createFirstComePlanner, chooseEndpoint: chooseLeastLoaded },
  { name: 'rendezvous', createPlanner: createFirstComePlanner, chooseEndpoint: chooseRendezvous }
]
