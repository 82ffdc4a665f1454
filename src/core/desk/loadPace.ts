/** How long an engine's loads take: quick from its host's memory, slow from the weight store. */

/** Adapters that an engine keeps in its host's memory; the published engines keep 108. */
const rememberedAdapters = 100
/** Time of a first load before any was seen, in milliseconds; the published sheets say 250 to 288, and a tenth from memory. */
const initialColdMs = 250
const warmMs = 25
/** A load that was done by this time came from the host's memory. */
const warmLimitMs = 90
/** Time between two questions whether a load is done; each is a small order. */
const probeIntervalMs = 12
/** The first question about a slow load comes at this part of the expected time, so that quicker ones are noticed. */
const earlyPart = 0.85
/** Weight of the newest load in the expected time. */
const smoothing = 0.2

export class LoadPace {
  /** Adapters loaded before, the latest last. */
  #remembered = new Set<string>()
  #coldMs = initialColdMs

  /** Expected time of a load from the weight store. */
  get coldMs (): number {
    return this.#coldMs
  }

  /** Expected time of a load. */
  expectMs (name: string): number {
    return this.#remembered.has(name) ? warmMs : this.#coldMs
  }

  /**
   * When to ask next whether a load is done, counted from its order. Any load may be a quick one, as a former owner may
   * have had the adapter loaded.
   */
  findNextProbeMs (passedMs: number): number {
    const earlyMs = this.#coldMs * earlyPart
    if (passedMs < warmMs) return warmMs
    if (passedMs < warmLimitMs / 2) return passedMs + probeIntervalMs
    return Math.max(earlyMs, passedMs + probeIntervalMs)
  }

  /** Records a load that was seen to be done; returns whether it came from the host's memory. */
  recordLoaded (name: string, tookMs: number): boolean {
    const isWarm = tookMs < warmLimitMs
    if (!isWarm) this.#coldMs += smoothing * (tookMs - this.#coldMs)
    this.#remembered.delete(name)
    this.#remembered.add(name)
    if (this.#remembered.size > rememberedAdapters) this.#remembered.delete(this.#remembered.values().next().value!)
    return isWarm
  }
}
