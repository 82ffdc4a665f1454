/** Carries out the loads and unloads planned for one endpoint, and keeps the planner to what the engine holds. */
import { formatAdapter } from '../../core/formatAdapter.js'
import type { ParsedHandle } from '../../core/formatAdapter.js'
import type { EndpointPlanner, PlannedLoad, PlannedUnload } from '../../core/planner.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine, EngineReport } from '../../ports/engine.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { Ownership } from '../ownership/ownership.js'
import { describeFailedLoad } from './describeEndpoint.js'
import { EndpointHandles } from './endpointHandles.js'

/** Asks for leave to load from the weight store; resolves to the function that gives it back. */
export type RequestPermit = (endpointId: string, slackMs: number) => Promise<() => void>

export interface EndpointSlotsOptions {
  clock: Clock
  engine: Pick<Engine, 'loadAdapter' | 'unloadAdapter'>
  endpointId: string
  fencing: number
  /** Handles of former owners that requests may be given to. */
  adoptableHandles: string[]
  planner: EndpointPlanner
  ownership: Pick<Ownership, 'isOwner' | 'createHandle' | 'writeUnloadIntent' | 'mayUnload' | 'recordReport' | 'listRemovable'>
  requestPermit: RequestPermit
  recordDecision: RecordDecision
  findEntry: () => EngineEntry
  /** Changes whenever the engine restarts. */
  findIncarnation: () => string | undefined
  isStopping: () => boolean
  /** Called when the summary of the endpoint has changed. */
  receiveChange: () => void
  /** Plans anew. */
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

  /** Whether no slot can hold an adapter that requests may use. */
  get isBlocked (): boolean {
    return this.#isBlocked
  }

  /** Whether a slot can be freed for another adapter. */
  get canLoad (): boolean {
    return this.#canLoad
  }

  /** Slots that were bound to former owners when the engine last reported. */
  get boundSlots (): number {
    return this.#handles.boundSlots
  }

  /** Adapters that are loaded or being loaded. */
  listResident (): Set<string> {
    const { loaded, loading } = this.#options.planner.readExpectation(this.#options.clock.readMonotonic())
    return new Set([...loaded, ...loading])
  }

  async carryOutUnload (planned: PlannedUnload): Promise<void> {
    const { planner, clock, recordDecision, findEntry } = this.#options
    const outcome = await this.#handles.unload(findEntry().address, planned.handle, () => recordDecision(planned.decision))
    if (outcome === 'unloaded') planner.recordUnloaded(planned.handle, clock.readMonotonic())
    else if (outcome === 'kept') planner.recordUnloadFailed(planned.handle, clock.readMonotonic())
    this.#finish()
  }

  async carryOutLoad (planned: PlannedLoad): Promise<void> {
    const { adapter, version } = planned
    const { endpointId, planner, clock, recordDecision, findEntry, findIncarnation, isStopping, requestPermit } = this.#options
    const incarnation = findIncarnation()
    const release = await requestPermit(endpointId, planned.slackMs)
    const mayLoad = !isStopping() && incarnation === findIncarnation() && planner.mayStartLoad(adapter, version)
    const load = mayLoad && await this.#handles.load(findEntry().address, planned, handle => {
      recordDecision({ ...planned.decision, handle })
      planner.recordLoadStarted(adapter, version, clock.readMonotonic())
    })
    release()
    // After a restart the planner has planned anew; what it knows is not about this load.
    if (incarnation !== findIncarnation()) return
    if (load && load.failure === undefined) {
      planner.recordLoaded(adapter, version, load.handle, clock.readMonotonic())
    } else {
      if (load) recordDecision(describeFailedLoad(endpointId, planned, load.handle, load.failure!))
      planner.recordLoadFailed(adapter, version, clock.readMonotonic())
    }
    this.#finish()
  }

  receiveReport (report: EngineReport, readAtMs: number): void {
    this.#handles.receiveReport(this.#options.findEntry().address, report, readAtMs)
    for (const stray of this.#handles.takeStrays(report)) this.#receiveStray(stray)
    this.#receiveBoundSlots(report)
  }

  /** The engine no longer has a handle that the planner counts on. */
  recordMissing (handle: string): void {
    this.#handles.recordMissing(handle)
    this.#options.planner.recordUnloaded(handle, this.#options.clock.readMonotonic())
  }

  /** The engine has lost everything. */
  recordRestarted (): void {
    this.#handles.recordRestarted()
    this.#options.planner.recordRestarted(this.#options.clock.readMonotonic())
  }

  #finish (): void {
    this.#options.receiveChange()
    this.#options.plan()
  }

  /** Slots that are bound to former owners; where that is all of them, requests that need a load go elsewhere. */
  #receiveBoundSlots (report: EngineReport): void {
    const { unusable, kept } = this.#handles.countBoundSlots(report)
    const { slots } = this.#options.findEntry()
    const couldLoad = this.#canLoad
    this.#isBlocked = unusable >= slots
    this.#canLoad = unusable + kept < slots
    this.#options.planner.recordBlockedSlots(unusable, this.#options.clock.readMonotonic())
    if (this.#canLoad !== couldLoad) this.#options.receiveChange()
  }

  /** Uses a handle that a former owner handed over, or whose load ended unseen; a second one of an adapter is unloaded. */
  #receiveStray ({ handle, adapter, version }: ParsedHandle): void {
    const { planner, clock, findEntry } = this.#options
    const isResident = this.listResident().has(formatAdapter(adapter, version))
    if (isResident) this.#handles.unloadSurplus(findEntry().address, handle)
    else planner.recordLoaded(adapter, version, handle, clock.readMonotonic())
  }
}
