/** Executes the planned loads and unloads of one endpoint, and keeps the planner's view of its adapter slots current. */
import { formatAdapterVersion } from '../../core/handleFormat.js'
import type { ParsedHandle } from '../../core/handleFormat.js'
import type { EndpointPlanner, PlannedLoad, PlannedUnload } from '../../core/planner.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine, EngineReport } from '../../ports/engine.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { EndpointOwnership } from '../ownership/endpointOwnership.js'
import { createFailedLoadDecision } from './describeEndpoint.js'
import { EndpointHandles } from './endpointHandles.js'

/** Requests a permit to load from the weight store; resolves to a function that releases the permit. */
export type RequestPermit = (endpointId: string, slackMs: number) => Promise<() => void>

export interface EndpointSlotsOptions {
  clock: Clock
  engine: Pick<Engine, 'loadAdapter' | 'unloadAdapter'>
  endpointId: string
  fencing: number
  /** Handles loaded by former owners that requests may be sent to. */
  adoptableHandles: string[]
  planner: EndpointPlanner
  ownership: Pick<EndpointOwnership, 'isOwner' | 'createHandle' | 'writeUnloadIntent' | 'mayUnload' | 'recordReport' | 'listRemovable'>
  requestPermit: RequestPermit
  recordDecision: RecordDecision
  getEntry: () => EngineEntry
  /** Changes whenever the engine restarts. */
  getIncarnation: () => string | undefined
  isStopping: () => boolean
  /** Called when the endpoint's summary has changed. */
  receiveChange: () => void
  /** Makes a new plan for the endpoint and executes it. */
  plan: () => void
}

export class EndpointSlots {
  #options: EndpointSlotsOptions
  #handles: EndpointHandles
  #isBlocked = false
  #canLoad = true

  constructor (options: EndpointSlotsOptions) {
    this.#options = options
    this.#handles = new EndpointHandles(options)
  }

  /** Whether no adapter slot can hold an adapter that requests may use. */
  get isBlocked (): boolean {
    return this.#isBlocked
  }

  /** Whether an adapter slot can be freed for another adapter. */
  get canLoad (): boolean {
    return this.#canLoad
  }

  /** Number of adapter slots that the owner could not free at the engine's last report. */
  get unavailableSlotCount (): number {
    return this.#handles.unavailableSlotCount
  }

  /** Adapters that are loaded or being loaded. */
  listLoadedOrLoading (): Set<string> {
    const { loaded, loading } = this.#options.planner.computeForecast(this.#options.clock.readMonotonic())
    return new Set([...loaded, ...loading])
  }

  async executeUnload (planned: PlannedUnload): Promise<void> {
    const { planner, clock, recordDecision, getEntry } = this.#options
    const outcome = await this.#handles.unload(getEntry().address, planned.handle, () => recordDecision(planned.decision))
    if (outcome === 'unloaded') planner.recordUnloaded(planned.handle, clock.readMonotonic())
    else if (outcome === 'kept') planner.recordUnloadFailed(planned.handle, clock.readMonotonic())
    this.#publishAndPlan()
  }

  async executeLoad (planned: PlannedLoad): Promise<void> {
    const { adapter, version } = planned
    const { endpointId, planner, clock, recordDecision, getEntry, getIncarnation, isStopping, requestPermit } = this.#options
    const incarnation = getIncarnation()
    const releasePermit = await requestPermit(endpointId, planned.slackMs)
    const mayLoad = !isStopping() && incarnation === getIncarnation() && planner.confirmLoad(adapter, version)
    const loadResult = mayLoad && await this.#handles.load(getEntry().address, planned, handle => {
      recordDecision({ ...planned.decision, handle })
      planner.recordLoadStarted(adapter, version, clock.readMonotonic())
    })
    releasePermit()
    // The engine has restarted since: the planner's state has been reset and no longer includes this load.
    if (incarnation !== getIncarnation()) return
    if (loadResult && loadResult.failure === undefined) {
      planner.recordLoaded(adapter, version, loadResult.handle, clock.readMonotonic())
    } else {
      if (loadResult) recordDecision(createFailedLoadDecision(endpointId, planned, loadResult.handle, loadResult.failure!))
      planner.recordLoadFailed(adapter, version, clock.readMonotonic())
    }
    this.#publishAndPlan()
  }

  receiveReport (report: EngineReport, readAtMs: number): void {
    this.#handles.receiveReport(this.#options.getEntry().address, report, readAtMs)
    for (const untracked of this.#handles.trackUntrackedHandles(report)) this.#useOrUnload(untracked)
    this.#updateUnavailableSlots(report)
  }

  /** Records that the engine does not have a handle that the planner takes for loaded. */
  recordMissing (handle: string): void {
    this.#handles.recordMissing(handle)
    this.#options.planner.recordUnloaded(handle, this.#options.clock.readMonotonic())
  }

  /** Records that the engine has lost all adapters in a restart. */
  recordRestarted (): void {
    this.#handles.recordRestarted()
    this.#options.planner.recordRestarted(this.#options.clock.readMonotonic())
  }

  #publishAndPlan (): void {
    this.#options.receiveChange()
    this.#options.plan()
  }

  /**
   * Updates which adapter slots the owner cannot free. If there is no other slot, requests that need a load are served by
   * other endpoints.
   */
  #updateUnavailableSlots (report: EngineReport): void {
    const { unusable, kept } = this.#handles.countUnavailableSlots(report)
    const { slots } = this.#options.getEntry()
    const couldLoadBefore = this.#canLoad
    this.#isBlocked = unusable >= slots
    this.#canLoad = unusable + kept < slots
    this.#options.planner.recordBlockedSlots(unusable, this.#options.clock.readMonotonic())
    if (this.#canLoad !== couldLoadBefore) this.#options.receiveChange()
  }

  /**
   * Uses a handle that a former owner left, or whose load ended without a response. If the adapter has a handle
   * already, the duplicate is unloaded.
   */
  #useOrUnload ({ handle, adapter, version }: ParsedHandle): void {
    const { planner, clock, getEntry } = this.#options
    const isLoadedOrLoading = this.listLoadedOrLoading().has(formatAdapterVersion(adapter, version))
    if (isLoadedOrLoading) this.#handles.unloadDuplicate(getEntry().address, handle)
    else planner.recordLoaded(adapter, version, handle, clock.readMonotonic())
  }
}
