/** The mechanisms that the promises rest on; each can be switched off, to show that the oracle notices. */
import type { LoadBudgetOptions } from '../src/core/loadBudget.js'
import { requestRules } from '../src/core/requestRules.js'
import type { RequestRules } from '../src/core/requestRules.js'
import { defaultOwnershipPolicy } from '../src/core/ownershipPolicy.js'
import type { OwnershipPolicy } from '../src/core/ownershipPolicy.js'
import type { CreatePlanner, EndpointPlanner } from '../src/core/planner.js'
import { createSlackPlannerFactory } from '../src/core/slackPlanner.js'
import { defaultSuspectOptions } from '../src/core/suspectRegistry.js'
import type { SuspectOptions } from '../src/core/suspectRegistry.js'
import type { ServiceOutcome } from '../src/ports/serviceClient.js'
import type { HostListEntry } from '../src/schemas/hostList.js'
import type { ClaimResult, IdempotencyClaimTask } from '../src/tasks/idempotency/idempotencyClaimTask.js'
import type { KeyedRequest } from '../src/tasks/idempotency/claimRow.js'
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
  takeClaim: (claims: IdempotencyClaimTask, work: KeyedRequest) => Promise<ClaimResult>
  /** Whether a gateway may send a call of a plain service twice. */
  isCallRepeatable: (isIdempotent: boolean) => boolean
  /** What a gateway believes of the end of a call. */
  readServiceOutcome: (outcome: ServiceOutcome) => ServiceOutcome
  /** What schedulers believe of the weight store's budget. */
  readBudget: (budget: LoadBudgetOptions) => LoadBudgetOptions
  /** Resolves when the process may end. */
  stopScheduler: (task: SchedulerTask) => Promise<void>
}

export const allMechanisms: FuzzMechanisms = Object.freeze<FuzzMechanisms>({
  createPlanner: createSlackPlannerFactory(),
  requestRules,
  suspectOptions: defaultSuspectOptions,
  ownershipPolicy: defaultOwnershipPolicy,
  configurationRules: {},
  filterOutageReports: hostIds => hostIds,
  readEntry: entry => entry,
  takeClaim: async (claims, work) => await claims.acquireClaim(work),
  isCallRepeatable: isIdempotent => isIdempotent,
  readServiceOutcome: outcome => outcome,
  readBudget: budget => budget,
  stopScheduler: async task => await task.stop()
})

/** The planner forgets which version was asked for. */
const createForgetfulPlanner: CreatePlanner = shape => {
  const planner = createSlackPlannerFactory()(shape)
  const addRequest: EndpointPlanner['addRequest'] = (request, nowMs) => planner.addRequest({ ...request, version: '1' }, nowMs)
  return new Proxy(planner, { get: (target, name) => readMember(target, name as keyof EndpointPlanner, addRequest) })
}

/** The planner is told that requests end as soon as they start, so that their adapters look idle. */
const createBlindPlanner: CreatePlanner = shape => {
  const planner = createSlackPlannerFactory()(shape)
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

async function takeEveryClaim (claims: IdempotencyClaimTask, request: KeyedRequest): Promise<ClaimResult> {
  const result = await claims.acquireClaim(request)
  return result.type === 'claimed' ? result : { type: 'claimed', claim: { key: '', version: 0, request } }
}

/** Where the table is silent, the caller is told that nothing was run. */
async function refuseAsNotRun (claims: IdempotencyClaimTask, work: KeyedRequest): Promise<ClaimResult> {
  const result = await claims.acquireClaim(work)
  if (result.type !== 'refused' || result.failure.code !== 'claim_unavailable') return result
  return { ...result, failure: { ...result.failure, verdict: 'notRun' } }
}

/** A lost connection is taken for a call that was not run. */
function takeForNotRun (outcome: ServiceOutcome): ServiceOutcome {
  return outcome.type === 'failed' ? { type: 'failed', failure: { ...outcome.failure, verdict: 'notRun' } } : outcome
}

/** For each promise, the system with the mechanism behind it switched off; some promises have more than one. */
export const mechanismsWithout: Record<string, { promise: PromiseName, mechanisms: FuzzMechanisms }> = {
  rightAdapter: { promise: 'rightAdapter', mechanisms: { ...allMechanisms, createPlanner: createForgetfulPlanner } },
  neverUnloadedWhileServing: { promise: 'neverUnloadedWhileServing', mechanisms: { ...allMechanisms, createPlanner: createBlindPlanner } },
  wholeAnswer: { promise: 'wholeAnswer', mechanisms: { ...allMechanisms, requestRules: { ...requestRules, checkAnswerPart: () => 'take' } } },
  notRunMeansNotRun: { promise: 'notRunMeansNotRun', mechanisms: { ...allMechanisms, requestRules: { ...requestRules, mergeAttempts: last => last } } },
  atMostOnce: { promise: 'atMostOnce', mechanisms: { ...allMechanisms, takeClaim: takeEveryClaim } },
  silentTableMayHaveRun: { promise: 'notRunMeansNotRun', mechanisms: { ...allMechanisms, takeClaim: refuseAsNotRun } },
  callsNotRepeated: { promise: 'atMostOnce', mechanisms: { ...allMechanisms, isCallRepeatable: () => true } },
  lostCallsMayHaveRun: { promise: 'notRunMeansNotRun', mechanisms: { ...allMechanisms, readServiceOutcome: takeForNotRun } },
  loadsWithinBudget: { promise: 'loadsWithinBudget', mechanisms: { ...allMechanisms, readBudget: () => ({ loadsPerSecond: 1000, loadsAtFullSpeed: 30 }) } },
  leavingGetsNoWork: { promise: 'leavingGetsNoWork', mechanisms: { ...allMechanisms, readEntry: entry => ({ ...entry, presence: 'live' }) } },
  gracefulCutsNothing: { promise: 'gracefulCutsNothing', mechanisms: { ...allMechanisms, stopScheduler: async () => {} } },
  configurationHolds: { promise: 'configurationHolds', mechanisms: { ...allMechanisms, configurationRules: { isNext: () => true, isCurrent: () => true } } },
  crashesBounded: { promise: 'crashesBounded', mechanisms: { ...allMechanisms, suspectOptions: { ...defaultSuspectOptions, maxCrashes: Infinity } } }
}
