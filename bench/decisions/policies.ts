/** The policies that the bench compares, baselines first. */
import { createFirstComePlanner } from '../../src/core/firstComePlanner.js'
import type { ChooseEndpoint } from '../../src/core/endpointChoice.js'
import { createCostChoice } from '../../src/core/costChoice.js'
import { chooseLeastLoaded } from '../../src/core/leastLoadedChoice.js'
import { computeHash } from '../../src/core/rendezvousHash.js'
import { createSlackPlanners } from '../../src/core/slackPlanner.js'
import type { Policy } from './runTrace.js'

/** Chooses by a hash of adapter and endpoint alone, whatever their load. */
export const chooseRendezvous: ChooseEndpoint = (request, views, random) => {
  const best = views
    .filter(({ summary }) => summary.isReady && !request.avoidEndpoints.includes(summary.endpointId))
    .map(view => ({ view, weight: computeHash(`${request.adapter} ${view.summary.endpointId}`) }))
    .sort((left, right) => right.weight - left.weight)[0]
  return best ? chooseLeastLoaded(request, [best.view], random) : chooseLeastLoaded(request, [], random)
}

export const policies: Policy[] = [
  { name: 'least-loaded', createPlanner: createFirstComePlanner, createChoice: () => chooseLeastLoaded },
  { name: 'rendezvous', createPlanner: createFirstComePlanner, createChoice: () => chooseRendezvous },
  { name: 'slack', createPlanner: createSlackPlanners(), createChoice: ({ batchFillTarget }) => createCostChoice({ batchFillTarget }) }
]
