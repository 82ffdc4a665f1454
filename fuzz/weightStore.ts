/** The weight store of the fuzzed system, which counts the loads of all engines together. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'

const defaultLoadMs = 400

/** What the store allows all hosts together. */
export const fuzzLoadBudget = Object.freeze({ loadsPerSecond: 4, loadsAtFullSpeed: 3 })

export interface WeightLoad {
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

  /** Resolves when the weights have been read, also where the engine that asked has gone. */
  async readWeights (): Promise<void> {
    const load: WeightLoad = { startedAtMs: this.#clock.readMonotonic(), endedAtMs: undefined }
    this.loads.push(load)
    await new Promise<void>(resolve => this.#clock.setTimer(resolve, this.loadMs ?? defaultLoadMs))
    load.endedAtMs = this.#clock.readMonotonic()
  }
}
