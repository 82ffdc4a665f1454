/** Forecasts how often each adapter is asked for, from its last arrival and a slowly decaying count. */

export interface DemandOptions {
  /** A caller that has asked is likely to ask again within about this time, in milliseconds. */
  recencyTermMs: number
  /** Time after which an arrival counts 1/e in the long-term rate, in milliseconds. */
  rateTermMs: number
  /** Adapters that are remembered; those not asked for the longest are forgotten. */
  maxAdapters: number
}

export const defaultDemandOptions: DemandOptions = Object.freeze({ recencyTermMs: 10_000, rateTermMs: 240_000, maxAdapters: 4096 })

interface Demand {
  /** Arrivals, decayed up to the last one. */
  count: number
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
    const demand = this.#demands.get(name) ?? { count: 0, seenAtMs: nowMs }
    demand.count = 1 + demand.count * Math.exp((demand.seenAtMs - nowMs) / this.#options.rateTermMs)
    demand.seenAtMs = nowMs
    // Deleting first keeps the map in order of the last arrival.
    this.#demands.delete(name)
    this.#demands.set(name, demand)
    if (this.#demands.size > this.#options.maxAdapters) this.#demands.delete(this.#demands.keys().next().value!)
  }

  /** Forecast arrivals a second: the long-term rate, and the next request of a caller who has just asked. */
  computeRate (name: string, nowMs: number): number {
    const demand = this.#demands.get(name)
    if (!demand) return 0
    const { recencyTermMs, rateTermMs } = this.#options
    const ageMs = nowMs - demand.seenAtMs
    const recent = Math.exp(-ageMs / recencyTermMs) / recencyTermMs
    const longTerm = demand.count * Math.exp(-ageMs / rateTermMs) / rateTermMs
    return (recent + longTerm) * 1000
  }
}
