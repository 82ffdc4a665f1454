/** Forecasts the arrival rate of requests for each adapter, from its last arrival and an exponentially decaying count. */

export interface DemandOptions {
  /** A caller that has just sent a request is likely to send the next one within about this time, in milliseconds. */
  recencyTimeConstantMs: number
  /** Time after which the weight of an arrival in the long-term rate has decayed to 1/e, in milliseconds. */
  rateTimeConstantMs: number
  /** Maximum number of adapters tracked; the one with the oldest last arrival is removed first. */
  maxAdapters: number
}

export const defaultDemandOptions: DemandOptions = Object.freeze({ recencyTimeConstantMs: 10_000, rateTimeConstantMs: 240_000, maxAdapters: 4096 })

interface Demand {
  /** Decayed number of arrivals, as of the last arrival. */
  count: number
  lastArrivalAtMs: number
}

/** Tracks the arrivals of urgent requests by adapter. */
export class AdapterDemand {
  #options: DemandOptions
  #demands = new Map<string, Demand>()

  constructor (options: DemandOptions = defaultDemandOptions) {
    this.#options = options
  }

  recordArrival (name: string, nowMs: number): void {
    const demand = this.#demands.get(name) ?? { count: 0, lastArrivalAtMs: nowMs }
    demand.count = 1 + demand.count * Math.exp((demand.lastArrivalAtMs - nowMs) / this.#options.rateTimeConstantMs)
    demand.lastArrivalAtMs = nowMs
    // Deleting the entry first keeps the map in order of the last arrival.
    this.#demands.delete(name)
    this.#demands.set(name, demand)
    if (this.#demands.size > this.#options.maxAdapters) this.#demands.delete(this.#demands.keys().next().value!)
  }

  /** Forecast arrivals per second: the long-term rate plus the expected next request of a caller that has just sent one. */
  computeRate (name: string, nowMs: number): number {
    const demand = this.#demands.get(name)
    if (!demand) return 0
    const { recencyTimeConstantMs, rateTimeConstantMs } = this.#options
    const ageMs = nowMs - demand.lastArrivalAtMs
    const recent = Math.exp(-ageMs / recencyTimeConstantMs) / recencyTimeConstantMs
    const longTerm = demand.count * Math.exp(-ageMs / rateTimeConstantMs) / rateTimeConstantMs
    return (recent + longTerm) * 1000
  }
}
