/** The mechanisms that the promises rest on; each can be switched off, to show that the oracle notices. */
import { requestRules } from '../src/core/requestRules.js'
import type { RequestRules } from '../src/core/requestRules.js'
import { defaultOwnershipPolicy } from '../src/core/ownershipPolicy.js'
import type { OwnershipPolicy } from '../src/core/ownershipPolicy.js'
import type { CreatePlanner, EndpointPlanner } from '../src/core/planner.js'
import { createSlackPlanners } from '../src/core/slackPlanner.js'
import { defaultSuspectOptions } from '../src/core/suspects.js'
import type { SuspectOptions } from '../src/core/suspects.js'
import type { HostListEntry } from '../src/schemas/hostList.js'
import type { ClaimResult, ClaimTask } from '../src/tasks/claims/claimTask.js'
import type { ClaimedWork } from '../src/tasks/claims/claimRow.js'
import type { ConfigurationTaskOptions } from '../src/tasks/configuration/configurationTask.js'
import type { SchedulerTask } from '../src/tasks/scheduler/schedulerTask.js'
import type { PromiseName } from './promises.js'

export interface FuzzMechanisms {
  createPlanner: CreatePlanner
  requestRules: RequestRules
  suspectOptions: SuspectOptions
  ownershipPolicy: OwnershipPolicy
  configurationRules: Pick<ConfigurationTaskOptions, 'isNext' | 'isCurrent'>
  /** What schedulers believe of their peers' reports that the table is down. */
  filterOutageReports: (hostIds: string[]) => string[]
  /** What a scheduler reads of an entry of the list. */
  readEntry: (entry: HostListEntry) => HostListEntry
  takeClaim: (claims: ClaimTask, work: ClaimedWork) => Promise<ClaimResult>
  /** Resolves when the process may end. */
  stopScheduler: (task: SchedulerTask) => Promise<void>
}

export const allMechanisms: FuzzMechanisms = Object.freeze<FuzzMechanisms>({
  createPlanner: createSlackPlanners(),
  requestRules,
  suspectOptions: defaultSuspectOptions,
  ownershipPolicy: defaultOwnershipPolicy,
  configurationRules: {},
  filterOutageReports: hostIds => hostIds,
  readEntry: entry => entry,
  takeClaim: async (claims, work) => await claims.takeClaim(work),
  stopScheduler: async task => await task.stop()
})

/** The planner forgets which version was asked for. */
const createForgetfulPlanner: CreatePlanner = shape => {
  const planner = createSlackPlanners()(shape)
  const addRequest: EndpointPlanner['addRequest'] = (request, nowMs) => planner.addRequest({ ...request, version: '1' }, nowMs)
  return new Proxy(planner, { get: (target, name) => readMember(target, name as keyof EndpointPlanner, addRequest) })
}

/** The planner is told that requests end as soon as they start, so that their adapters look idle. */
const createBlindPlanner: CreatePlanner = shape => {
  const planner = createSlackPlanners()(shape)
  const plan: EndpointPlanner['plan'] = nowMs => {
    const planned = planner.plan(nowMs)
    for (const { requestId, attempt } of planned.dispatches) planner.recordFinished(requestId, attempt, nowMs)
    return planned
  }
  return new Proxy(planner, { get: (target, name) => name === 'plan' ? plan : readMember(target, name as keyof EndpointPlanner, undefined) })
}

function readMember (planner: EndpointPlanner, name: keyof EndpointPlanner, addRequest: EndpointPlanner['addRequest'] | undefined): unknown {
  if (name === 'addRequest' && addRequest) return addRequest
  return planner[name].bind(planner)
}

/** For each promise, the system with the mechanism behind it switched off. */
export const mechanismsWithout: Partial<Record<PromiseName, FuzzMechanisms>> = {
  rightAdapter: { ...allMechanisms, createPlanner: createForgetfulPlanner },
  neverUnloadedWhileServing: { ...allMechanisms, createPlanner: createBlindPlanner },
  wholeAnswer: { ...allMechanisms, requestRules: { ...requestRules, checkAnswer: () => 'take' } },
  notRunMeansNotRun: { ...allMechanisms, requestRules: { ...requestRules, joinAttempts: last => last } },
  atMostOnce: {
    ...allMechanisms,
    takeClaim: async (claims, work) => {
      const result = await claims.takeClaim(work)
      return result.type === 'claimed' ? result : { type: 'claimed', claim: { key: '', version: 0, work } }
    }
  },
  leavingGetsNoWork: { ...allMechanisms, readEntry: entry => ({ ...entry, presence: 'live' }) },
  gracefulCutsNothing: { ...allMechanisms, stopScheduler: async () => {} },
  configurationHolds: { ...allMechanisms, configurationRules: { isNext: () => true, isCurrent: () => true } },
  crashesBounded: { ...allMechanisms, suspectOptions: { ...defaultSuspectOptions, maxCrashes: Infinity } }
}
