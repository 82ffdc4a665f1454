/** Estimates how long an engine's adapter loads take: short from its host's memory, long from the weight store. */

/** Adapters that are assumed to be in the host's memory; the published engines keep 108. */
const maxWarmAdapters = 100
/** Load time from the weight store before any was measured; the published specifications give 250 to 288 ms. */
const initialColdMs = 250
/** Load time from the host's memory, a tenth of that from the weight store in the published specifications. */
const warmLoadMs = 25
/** A load that completes within this time came from the host's memory. */
const maxWarmLoadMs = 90
/** Time between two probes whether a load is done; each probe is a small order. */
const probeIntervalMs = 12
/** The first probe of a slow load is sent at this fraction of the expected time, so that faster loads are detected early. */
const earlyProbeRatio = 0.85
/** Weight of the newest load in the moving average. */
const smoothing = 0.2

export class LoadTimeEstimator {
  /** Adapters that were loaded before, the most recent last. */
  #warmAdapters = new Set<string>()
  #coldMs = initialColdMs

  /** Expected time of a load from the weight store. */
  get coldMs (): number {
    return this.#coldMs
  }

  /** Expected time of a load. */
  estimateMs (name: string): number {
    return this.#warmAdapters.has(name) ? warmLoadMs : this.#coldMs
  }

  /**
   * Computes when to probe next whether a load is done, as time since its order was sent. `elapsedMs` is the time since then.
   * Any load may be a fast one, as a former owner may have loaded the adapter before.
   */
  computeNextProbeMs (elapsedMs: number): number {
    const earlyMs = this.#coldMs * earlyProbeRatio
    if (elapsedMs < warmLoadMs) return warmLoadMs
    if (elapsedMs < maxWarmLoadMs / 2) return elapsedMs + probeIntervalMs
    return Math.max(earlyMs, elapsedMs + probeIntervalMs)
  }

  /** Records a completed load; returns whether it came from the host's memory. */
  recordLoaded (name: string, tookMs: number): boolean {
    const isWarm = tookMs < maxWarmLoadMs
    if (!isWarm) this.#coldMs += smoothing * (tookMs - this.#coldMs)
    this.#warmAdapters.delete(name)
    this.#warmAdapters.add(name)
    if (this.#warmAdapters.size > maxWarmAdapters) this.#warmAdapters.delete(this.#warmAdapters.values().next().value!)
    return isWarm
  }
}
