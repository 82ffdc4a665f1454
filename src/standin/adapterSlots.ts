/** The adapter slots of a stand-in engine: loads, unloads and the check of fencing numbers. */
import type { EngineReport } from '../ports/engine.js'
import type { EngineFaults } from './engineFaults.js'
import type { WeightStore } from './weightStore.js'

export type ModelOutcome = { isDone: true } | { isDone: false, status: number, code: string, message: string }

export interface Slot {
  state: 'loading' | 'loaded'
  /** Requests that the engine holds for the handle. */
  running: number
}

export type RecordOrder = (kind: 'loaded' | 'unloaded' | 'refused' | 'loadFailed', handle: string, running: number) => void

export interface AdapterSlotsOptions {
  slots: number
  store: WeightStore
  faults: EngineFaults
  record: RecordOrder
}

export class AdapterSlots {
  #options: AdapterSlotsOptions
  #slots = new Map<string, Slot>()
  #highestFencing = 0

  constructor (options: AdapterSlotsOptions) {
    this.#options = options
  }

  /** The slot of a loaded handle; undefined while it is being loaded too. */
  findLoaded (handle: string): Slot | undefined {
    const slot = this.#slots.get(handle)
    return slot?.state === 'loaded' ? slot : undefined
  }

  describe (): EngineReport['adapters'] {
    return [...this.#slots].map(([handle, slot]) => ({ handle, state: slot.state, running: slot.running }))
  }

  async load (handle: string, fencing: number): Promise<ModelOutcome> {
    const refusal = this.#checkFencing(handle, fencing) ?? this.#checkRoom(handle)
    if (refusal) return this.#refuseOrder(handle, refusal)
    const slot: Slot = { state: 'loading', running: 0 }
    this.#slots.set(handle, slot)
    const hasArrived = await this.#options.store.readWeights() && !this.#options.faults.takeLoadFailure(handle)
    if (this.#slots.get(handle) !== slot) return createRefusal(503, 'engine_restarted', 'the engine restarted during the load')
    if (!hasArrived) return this.#failLoad(handle)
    slot.state = 'loaded'
    this.#options.record('loaded', handle, 0)
    return { isDone: true }
  }

  unload (handle: string, fencing: number): ModelOutcome {
    const refusal = this.#checkFencing(handle, fencing)
    if (refusal) return this.#refuseOrder(handle, refusal)
    const slot = this.#slots.get(handle)
    if (!slot) return createRefusal(404, 'handle_unknown', `handle "${handle}" is not loaded`)
    this.#slots.delete(handle)
    this.#options.record('unloaded', handle, slot.running)
    return { isDone: true }
  }

  /** Empties every slot; a restarted engine has seen no fencing number. */
  clear (): void {
    this.#slots.clear()
    this.#highestFencing = 0
  }

  #checkFencing (handle: string, fencing: number): ModelOutcome | undefined {
    if (fencing < this.#highestFencing && !this.#options.faults.isFencingIgnored) {
      return createRefusal(409, 'fencing_old', `the order for "${handle}" carries fencing number ${fencing}, the newest is ${this.#highestFencing}`)
    }
    this.#highestFencing = Math.max(this.#highestFencing, fencing)
    return undefined
  }

  #checkRoom (handle: string): ModelOutcome | undefined {
    if (this.#slots.has(handle)) return createRefusal(409, 'handle_in_use', `handle "${handle}" is in use`)
    if (this.#slots.size >= this.#options.slots) return createRefusal(409, 'no_free_slot', 'every adapter slot is taken')
    return undefined
  }

  #failLoad (handle: string): ModelOutcome {
    this.#slots.delete(handle)
    this.#options.record('loadFailed', handle, 0)
    return createRefusal(500, 'load_failed', `the weights of "${handle}" did not arrive`)
  }

  #refuseOrder (handle: string, refusal: ModelOutcome): ModelOutcome {
    this.#options.record('refused', handle, 0)
    return refusal
  }
}

/** Builds the outcome of something that was not done. */
export function createRefusal (status: number, code: string, message: string): ModelOutcome {
  return { isDone: false, status, code, message }
}
