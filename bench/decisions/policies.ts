/** The policies that the bench compares, baselines first. */
import { createFcfsPlanner } from '../../src/core/fcfsPlanner.js'
import type { ChooseEndpoint } from '../../src/core/endpointChoice.js'
import { createCostChoice } from '../../src/core/costChoice.js'
import { chooseLeastLoaded } from '../../src/core/leastLoadedChoice.js'
import { computeHash } from '../../src/core/rendezvousHash.js'
import { createSlackPlannerFactory } from '../../src/core/slackPlanner.js'
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
  { name: 'least-loaded', createPlanner: createFcfsPlanner, createChoice: () => chooseLeastLoaded },
  { name: 'rendezvous', createPlanner: createFcfsPlanner, createChoice: () => chooseRendezvous },
  { name: 'slack', createPlanner: createSlackPlannerFactory(), createChoice: ({ batchFillTarget }) => createCostChoice({ batchFillTarget }) }
]
