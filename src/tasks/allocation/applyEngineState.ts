/** Updates an allocator's planner and tracked loads to the state that its engine reported. */
import { parseAdapterName } from '../../core/allocation/adapterName.js'
import type { AllocationPlanner } from '../../core/allocation/allocationPlanner.js'
import { listLoadedAdapters, listLoadingAdapters } from '../../core/allocation/reportedAdapters.js'
import type { EngineState } from '../../ports/engineOrders.js'
import type { AdapterLoader, AdapterLoadOutcome } from './adapterLoader.js'
import type { UntrackedRuns } from './untrackedRuns.js'

export interface EngineStateTargets {
  planner: AllocationPlanner
  loader: AdapterLoader
  untrackedRuns: UntrackedRuns
  /** Called with the outcome of a load that a former owner ordered, or this host without a response. */
  receiveLoadOutcome: (name: string, version: number, outcome: AdapterLoadOutcome) => void
}

/**
 * Applies a state report. `isRestarted`: the engine lost its adapters, caches and running requests.
 *
 * @example
 * applyEngineState(await orders.readState(), false, { planner, loader, untrackedRuns, receiveLoadOutcome }, clock.readMonotonic())
 */
export function applyEngineState (state: EngineState, isRestarted: boolean, { planner, loader, untrackedRuns, receiveLoadOutcome }: EngineStateTargets, nowMs: number): void {
  if (isRestarted) {
    planner.recordRestarted()
    loader.stopTrackingAll()
  }
  const loaded = listLoadedAdapters(state)
  for (const { name, version } of loaded) {
    loader.stopTracking(name, version)
    if (planner.adapters.find(name)?.state !== 'unloading') planner.recordLoaded(name, version, nowMs)
  }
  planner.adapters.estimateUsage(loaded.map(({ name }) => name), nowMs)
  untrackedRuns.receiveState(state)
  const loading = listLoadingAdapters(state)
  // An adapter that is neither listed as loaded or loading nor tracked as loading or unloading here is gone.
  for (const { name, version, state: adapterState } of planner.adapters.list()) {
    const isExpected = adapterState === 'unloading' || loader.isLoading(name, version)
    if (!isExpected && ![...loaded, ...loading].some(other => other.name === name)) planner.recordUnloaded(name)
  }
  for (const { name, version } of loading) {
    if (loader.isLoading(name, version)) continue
    planner.recordLoading(name, version, nowMs)
    loader.trackLoad({ kind: 'load', ...parseAdapterName(name), version }).then(outcome => receiveLoadOutcome(name, version, outcome))
  }
}
