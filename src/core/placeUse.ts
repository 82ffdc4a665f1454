/** Learns which part of an endpoint's batch places urgent requests take, and so what is left for deferrable ones. */

/** Time after which a past use counts 1/e, in milliseconds. */
const termMs = 20_000
/** Deferrable work is reckoned to get at least this part, as the targets of urgent work refuse what exceeds the rest. */
const minDeferrableShare = 0.1

export class PlaceUse {
  #current = 0
  #mean = 0
  #updatedAtMs = 0

  /** Records that urgent requests take a larger or smaller part of the places from now on. */
  recordUrgent (change: number, nowMs: number): void {
    this.#update(nowMs)
    this.#current += change
  }

  /** Part of the places left for deferrable requests, 0 to 1. */
  computeDeferrableShare (nowMs: number): number {
    this.#update(nowMs)
    return Math.max(minDeferrableShare, 1 - this.#mean)
  }

  #update (nowMs: number): void {
    const weight = Math.exp((this.#updatedAtMs - nowMs) / termMs)
    this.#mean = this.#mean * weight + this.#current * (1 - weight)
    this.#updatedAtMs = nowMs
  }
}
