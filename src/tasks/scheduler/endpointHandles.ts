/** Tracks which adapter handles of an endpoint its owner may use; loads and unloads them. */
import { createLog } from '../../createLog.js'
import { parseHandle } from '../../core/handleFormat.js'
import type { ParsedHandle } from '../../core/handleFormat.js'
import type { PlannedLoad } from '../../core/planner.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine, EngineReport, AdapterOrderOutcome } from '../../ports/engine.js'
import type { EndpointOwnership } from '../ownership/endpointOwnership.js'

const log = createLog('scheduler')
const retryDelayMs = 500

/** `kept`: the handle is still loaded and usable; `unknown`: an unload order may still take effect. */
export type HandleUnloadOutcome = 'unloaded' | 'kept' | 'unknown'

/** Counts of adapter slots that the owner cannot free, as a former owner or the engine may still use their adapters. */
export interface UnavailableSlots {
  /** Slots whose handles get no requests, including duplicate handles of an adapter. */
  unusable: number
  /** Slots whose handles get requests, but may not be unloaded. */
  kept: number
}

export interface HandleLoadResult {
  handle: string
  /** Why the adapter cannot be used; undefined if it is loaded. */
  failure: string | undefined
}

export interface EndpointHandlesOptions {
  clock: Clock
  engine: Pick<Engine, 'loadAdapter' | 'unloadAdapter'>
  endpointId: string
  fencing: number
  /** Handles loaded by former owners that this owner may use. */
  adoptableHandles: string[]
  ownership: Pick<EndpointOwnership, 'isOwner' | 'createHandle' | 'writeUnloadIntent' | 'mayUnload' | 'recordReport' | 'listRemovable'>
}

export class EndpointHandles {
  #options: EndpointHandlesOptions
  #usableFormerHandles: Set<string>
  #unloading = new Set<string>()
  /** Handles whose state on the engine is tracked: being loaded, in use, or being unloaded. */
  #tracked = new Set<string>()
  #unavailableSlotCount = 0
  /** Duplicate handles of an adapter that are being unloaded. */
  #duplicates = new Set<string>()

  constructor (options: EndpointHandlesOptions) {
    this.#options = options
    this.#usableFormerHandles = new Set(options.adoptableHandles)
  }

  /** Number of adapter slots that the owner could not free at the engine's last report. */
  get unavailableSlotCount (): number {
    return this.#unavailableSlotCount
  }

  /** Whether requests may be sent to a handle: it is adoptable, or was created under the current fencing token. */
  isUsable (handle: string): boolean {
    return this.#usableFormerHandles.has(handle) || parseHandle(handle)?.fencing === this.#options.fencing
  }

  /**
   * Loads an adapter under a new handle. `recordOrder` is called just before the order is sent.
   * Resolves to undefined, and sends no order, if this host does not own the endpoint.
   */
  async load (address: string, { adapter, version }: Pick<PlannedLoad, 'adapter' | 'version'>, recordOrder: (handle: string) => void): Promise<HandleLoadResult | undefined> {
    const { ownership, engine, endpointId, fencing } = this.#options
    const handle = ownership.createHandle(endpointId, adapter, version)
    if (!handle) return undefined
    recordOrder(handle)
    this.#tracked.add(handle)
    const outcome = await engine.loadAdapter(address, { adapter, version, handle, fencing })
    if (outcome.verdict === 'done') return { handle, failure: undefined }
    log('Load of "%s" on "%s" failed: %s.', handle, endpointId, outcome.message)
    // The response was lost; a later report shows whether the engine has the handle.
    if (outcome.verdict === 'unknown') this.#tracked.delete(handle)
    return { handle, failure: outcome.message }
  }

  /** Stops tracking a handle that the engine says it does not have. If a later report lists it, it is used again. */
  recordMissing (handle: string): void {
    this.#tracked.delete(handle)
  }

  /** Clears the tracked handles, as the engine has lost all adapters in a restart. */
  recordRestarted (): void {
    this.#tracked.clear()
    this.#duplicates.clear()
  }

  /** Starts to track usable handles that the engine has loaded and that are not tracked yet, and returns them. */
  trackUntrackedHandles (report: EngineReport): ParsedHandle[] {
    const untracked = report.adapters.filter(({ handle, state }) => state === 'loaded' && this.isUsable(handle) && !this.#tracked.has(handle))
    for (const { handle } of untracked) this.#tracked.add(handle)
    return untracked.flatMap(({ handle }) => parseHandle(handle) ?? [])
  }

  /** Records a report, and orders the engine to unload the handles that nobody uses. */
  receiveReport (address: string, report: EngineReport, readAtMs: number): void {
    const { ownership, endpointId } = this.#options
    ownership.recordReport(endpointId, report, readAtMs)
    for (const handle of ownership.listRemovable(endpointId)) this.#unloadRemovable(address, handle)
  }

  /** Counts the adapter slots that the owner cannot free for another adapter now. */
  countUnavailableSlots (report: EngineReport): UnavailableSlots {
    const { ownership, endpointId } = this.#options
    const usable = report.adapters.filter(({ handle }) => this.isUsable(handle) && !this.#duplicates.has(handle))
    const kept = usable.filter(({ handle }) => !ownership.mayUnload(endpointId, handle)).length
    const unusable = report.adapters.length - usable.length
    this.#unavailableSlotCount = unusable + kept
    return { unusable, kept }
  }

  /**
   * Unloads a duplicate handle of an adapter. An engine may refuse this, for example while a cancelled request still
   * runs under the handle. The handle is then untracked again, so that a later report leads to another unload and its
   * adapter slot is freed.
   */
  async unloadDuplicate (address: string, handle: string): Promise<void> {
    this.#duplicates.add(handle)
    const outcome = await this.unload(address, handle, () => {})
    if (outcome !== 'unloaded') {
      await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, retryDelayMs) })
      this.#tracked.delete(handle)
    }
    this.#duplicates.delete(handle)
  }

  /** Unloads a handle that gets no more requests. `recordOrder` is called just before the order is sent, if it is sent. */
  async unload (address: string, handle: string, recordOrder: () => void): Promise<HandleUnloadOutcome> {
    const { ownership, endpointId } = this.#options
    const mayUnload = await ownership.writeUnloadIntent(endpointId, handle)
    if (!mayUnload || !ownership.isOwner(endpointId)) return 'kept'
    recordOrder()
    const outcome = await this.#sendUnload(address, handle)
    if (outcome.verdict === 'done') return 'unloaded'
    log('Unload of "%s" on "%s" was refused or not confirmed: %s.', handle, endpointId, outcome.message)
    return outcome.verdict === 'refused' ? 'kept' : 'unknown'
  }

  async #unloadRemovable (address: string, handle: string): Promise<void> {
    if (this.#unloading.has(handle)) return
    this.#unloading.add(handle)
    const outcome = await this.#sendUnload(address, handle)
    log('Unload of unused handle "%s" on "%s" ended with outcome "%s".', handle, this.#options.endpointId, outcome.verdict)
    this.#unloading.delete(handle)
  }

  /**
   * Sends an unload order, and retries it until its outcome is known: while an order may still take effect, the handle
   * is unusable. Resolves to `unknown` only if this host no longer owns the endpoint and may not send the order again.
   */
  async #sendUnload (address: string, handle: string): Promise<AdapterOrderOutcome> {
    const { clock, engine, ownership, endpointId, fencing } = this.#options
    const { adapter, version } = parseHandle(handle)!
    for (;;) {
      const outcome = await engine.unloadAdapter(address, { adapter, version, handle, fencing })
      if (outcome.verdict === 'refused' && outcome.code === 'handle_unknown') return { verdict: 'done' }
      if (outcome.verdict !== 'unknown') return outcome
      await new Promise<void>(resolve => { clock.setTimer(resolve, retryDelayMs) })
      if (!ownership.isOwner(endpointId)) return outcome
    }
  }
}
