/** The weight store of the fuzzed system, which counts the loads of all engines together. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'

const defaultLoadMs = 400

/** What the store allows all hosts together. */
export const fuzzLoadBudget = Object.freeze({ loadsPerSecond: 4, loadsAtFullSpeed: 3 })

export interface WeightLoad {
  engineId: string
  startedAtMs: number
  endedAtMs: number | undefined
}

export class WeightStore {
  readonly loads: WeightLoad[] = []
  /** Time that a load takes; undefined is the usual time. */
  loadMs: number | undefined
  #clock: VirtualClock

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  /** Resolves when the weights have been read. */
  async readWeights (engineId: string): Promise<void> {
    const load: WeightLoad = { engineId, startedAtMs: this.#clock.readMonotonic(), endedAtMs: undefined }
    this.loads.push(load)
    await new Promise<void>(resolve => this.#clock.setTimer(resolve, this.loadMs ?? defaultLoadMs))
    load.endedAtMs ??= this.#clock.readMonotonic()
  }

  /** The engine is gone, and with it the connections over which it reads. */
  endReads (engineId: string): void {
    for (const load of this.loads) if (load.engineId === engineId) load.endedAtMs ??= this.#clock.readMonotonic()
  }
}
