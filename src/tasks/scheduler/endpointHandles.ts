/** Which handles of an endpoint its owner may use, and how they are unloaded. */
import { createLog } from '../../createLog.js'
import { parseHandle } from '../../core/formatAdapter.js'
import type { ParsedHandle } from '../../core/formatAdapter.js'
import type { PlannedLoad } from '../../core/planner.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine, EngineReport, OrderOutcome } from '../../ports/engine.js'
import type { Ownership } from '../ownership/ownership.js'

const log = createLog('scheduler')
const repeatDelayMs = 500

/** `kept`: certainly not unloaded, and usable; `unknown`: an order may still take effect. */
export type UnloadOutcome = 'unloaded' | 'kept' | 'unknown'

/** Slots that the owner cannot free, because a former owner may still use what they hold, or the engine does. */
export interface BoundSlots {
  /** Slots whose adapters get no requests, and second handles of an adapter. */
  unusable: number
  /** Slots whose adapters get requests, but may not be unloaded. */
  kept: number
}

export interface LoadOutcome {
  handle: string
  /** Why the adapter cannot be used; undefined where it is loaded. */
  failure: string | undefined
}

export interface EndpointHandlesOptions {
  clock: Clock
  engine: Pick<Engine, 'loadAdapter' | 'unloadAdapter'>
  endpointId: string
  fencing: number
  /** Handles of former owners that may be used. */
  adoptableHandles: string[]
  ownership: Pick<Ownership, 'isOwner' | 'createHandle' | 'writeUnloadIntent' | 'mayUnload' | 'recordReport' | 'listRemovable'>
}

export class EndpointHandles {
  #options: EndpointHandlesOptions
  #adoptable: Set<string>
  #removing = new Set<string>()
  /** Handles whose state on the engine the task follows: ordered, in use or ordered to be unloaded. */
  #known = new Set<string>()
  #boundSlots = 0
  /** Second handles of an adapter that are being unloaded. */
  #surplus = new Set<string>()

  constructor (options: EndpointHandlesOptions) {
    this.#options = options
    this.#adoptable = new Set(options.adoptableHandles)
  }

  /** Slots that were bound to former owners when the engine last reported. */
  get boundSlots (): number {
    return this.#boundSlots
  }

  /** Whether requests may be given to a handle. */
  isUsable (handle: string): boolean {
    return this.#adoptable.has(handle) || parseHandle(handle)?.fencing === this.#options.fencing
  }

  /** Loads an adapter under a new handle; undefined where the endpoint is not owned, so that no order was given. */
  async load (address: string, { adapter, version }: Pick<PlannedLoad, 'adapter' | 'version'>, recordOrder: (handle: string) => void): Promise<LoadOutcome | undefined> {
    const { ownership, engine, endpointId, fencing } = this.#options
    const handle = ownership.createHandle(endpointId, adapter, version)
    if (!handle) return undefined
    recordOrder(handle)
    this.#known.add(handle)
    const outcome = await engine.loadAdapter(address, { adapter, version, handle, fencing })
    if (outcome.verdict === 'done') return { handle, failure: undefined }
    log('Load of "%s" on "%s" failed: %s.', handle, endpointId, outcome.message)
    // Where the answer was lost, a report will show whether the engine has the handle.
    if (outcome.verdict === 'unknown') this.#known.delete(handle)
    return { handle, failure: outcome.message }
  }

  /** The engine says that it does not have the handle; where a report shows it all the same, it is used again. */
  recordMissing (handle: string): void {
    this.#known.delete(handle)
  }

  /** The engine has lost everything. */
  recordRestarted (): void {
    this.#known.clear()
    this.#surplus.clear()
  }

  /** Lists usable handles that the engine holds and that are not followed yet; follows them from now on. */
  takeStrays (report: EngineReport): ParsedHandle[] {
    const strays = report.adapters.filter(({ handle, state }) => state === 'loaded' && this.isUsable(handle) && !this.#known.has(handle))
    for (const { handle } of strays) this.#known.add(handle)
    return strays.flatMap(({ handle }) => parseHandle(handle) ?? [])
  }

  /** Takes a report and orders what may be removed to be unloaded. */
  receiveReport (address: string, report: EngineReport, readAtMs: number): void {
    const { ownership, endpointId } = this.#options
    ownership.recordReport(endpointId, report, readAtMs)
    for (const handle of ownership.listRemovable(endpointId)) this.#remove(address, handle)
  }

  /** Counts the slots that the owner cannot give to another adapter now. */
  countBoundSlots (report: EngineReport): BoundSlots {
    const { ownership, endpointId } = this.#options
    const served = report.adapters.filter(({ handle }) => this.isUsable(handle) && !this.#surplus.has(handle))
    const kept = served.filter(({ handle }) => !ownership.mayUnload(endpointId, handle)).length
    const unusable = report.adapters.length - served.length
    this.#boundSlots = unusable + kept
    return { unusable, kept }
  }

  /**
   * Unloads a second handle of an adapter. An engine may refuse that, as while a cancelled request still runs there;
   * the handle is then a stray again, so that the slot which it holds is not forgotten.
   */
  async unloadSurplus (address: string, handle: string): Promise<void> {
    this.#surplus.add(handle)
    const outcome = await this.unload(address, handle, () => {})
    if (outcome !== 'unloaded') {
      await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, repeatDelayMs) })
      this.#known.delete(handle)
    }
    this.#surplus.delete(handle)
  }

  /** Unloads a handle that gets no requests any more; `recordOrder` is called where the order is given. */
  async unload (address: string, handle: string, recordOrder: () => void): Promise<UnloadOutcome> {
    const { ownership, endpointId } = this.#options
    const mayUnload = await ownership.writeUnloadIntent(endpointId, handle)
    if (!mayUnload || !ownership.isOwner(endpointId)) return 'kept'
    recordOrder()
    const outcome = await this.#order(address, handle)
    if (outcome.verdict === 'done') return 'unloaded'
    log('Unload of "%s" on "%s" was not carried out: %s.', handle, endpointId, outcome.message)
    return outcome.verdict === 'refused' ? 'kept' : 'unknown'
  }

  async #remove (address: string, handle: string): Promise<void> {
    if (this.#removing.has(handle)) return
    this.#removing.add(handle)
    const outcome = await this.#order(address, handle)
    log('Handle "%s" of a former owner of "%s" was ordered to be unloaded: %s.', handle, this.#options.endpointId, outcome.verdict)
    this.#removing.delete(handle)
  }

  /**
   * Repeats the order until its outcome is known: an order that may still take effect makes the handle unusable.
   * `unknown` is returned only where the order may not be given any more.
   */
  async #order (address: string, handle: string): Promise<OrderOutcome> {
    const { clock, engine, ownership, endpointId, fencing } = this.#options
    const { adapter, version } = parseHandle(handle)!
    for (;;) {
      const outcome = await engine.unloadAdapter(address, { adapter, version, handle, fencing })
      if (outcome.verdict === 'refused' && outcome.code === 'handle_unknown') return { verdict: 'done' }
      if (outcome.verdict !== 'unknown') return outcome
      await new Promise<void>(resolve => { clock.setTimer(resolve, repeatDelayMs) })
      if (!ownership.isOwner(endpointId)) return outcome
    }
  }
}
