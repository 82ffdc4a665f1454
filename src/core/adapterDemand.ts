/** Forecasts how often each adapter is asked for, from a fast and a slow decaying count. */

export interface DemandOptions {
  /** Time after which an arrival counts 1/e in the fast rate, in milliseconds. */
  fastTermMs: number
  slowTermMs: number
  /** Adapters that are remembered; the least asked for are forgotten. */
  maxAdapters: number
}

export const defaultDemandOptions: DemandOptions = Object.freeze({ fastTermMs: 20_000, slowTermMs: 240_000, maxAdapters: 4096 })

interface Demand {
  fast: number
  slow: number
  seenAtMs: number
}

/** Counts the arrivals of urgent requests by adapter. */
export class AdapterDemand {
  #options: DemandOptions
  #demands = new Map<string, Demand>()

  constructor (options: DemandOptions = defaultDemandOptions) {
    this.#options = options
  }

  recordArrival (name: string, nowMs: number): void {
    const demand = this.#demands.get(name) ?? { fast: 0, slow: 0, seenAtMs: nowMs }
    this.#decay(demand, nowMs)
    demand.fast++
    demand.slow++
    // Deleting first keeps the map in order of the last arrival.
    this.#demands.delete(name)
    this.#demands.set(name, demand)
    if (this.#demands.size > this.#options.maxAdapters) this.#demands.delete(this.#demands.keys().next().value!)
  }

  /** Forecast arrivals a second: the higher of the recent and the long-term rate. */
  computeRate (name: string, nowMs: number): number {
    const demand = this.#demands.get(name)
    if (!demand) return 0
    const { fastTermMs, slowTermMs } = this.#options
    const ageMs = nowMs - demand.seenAtMs
    const fast = demand.fast * Math.exp(-ageMs / fastTermMs) / fastTermMs
    const slow = demand.slow * Math.exp(-ageMs / slowTermMs) / slowTermMs
    return Math.max(fast, slow) * 1000
  }

  #decay (demand: Demand, nowMs: number): void {
    const ageMs = nowMs - demand.seenAtMs
    demand.fast *= Math.exp(-ageMs / this.#options.fastTermMs)
    demand.slow *= Math.exp(-ageMs / this.#options.slowTermMs)
    demand.seenAtMs = nowMs
  }
}
