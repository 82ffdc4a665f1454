/** Estimates how long an endpoint of a plain service takes for a request, from the releases of those that ran there. */

/** Weight of the newest sample in the moving averages. */
const smoothingFactor = 0.05
/** Time of a request at the usual speed before one was measured. */
const initialWorkMs = 40
/** Time that the messages of a grant and its release take before it was measured: two trips between hosts, and some ms for each to be handled. */
const initialOverheadMs = 8
/**
 * A slowness counts for this long and is then taken for the usual speed: machines are slow for 600 ms at a time, so that one of
 * unknown age lasts for 300 ms more on average.
 */
const slownessTtlMs = 300
/** Slowness beyond this is taken for an error of the endpoint. */
const maxSlowness = 10
/** Samples up to this many weigh as an average over all of them, so that the first ones replace the initial values. */
const maxAveragedSamples = 1 / smoothingFactor

/** What the holder of a grant measured. */
export interface MeasuredRun {
  /** From sending the request to the end of its response. */
  readonly tookMs: number
  /** From the grant to its release, as the granter measured it. */
  readonly heldMs: number
  /** How many times as long as usual work took as the response began. */
  readonly slowness: number
}

export class DispatchTimes {
  #workMs = initialWorkMs
  /** Mean difference of a request's time from the usual one. */
  #deviationMs = initialWorkMs / 2
  #overheadMs = initialOverheadMs
  #samples = 0
  #slowness = 1
  #slownessAtMs = -Infinity

  record ({ tookMs, heldMs, slowness }: MeasuredRun, nowMs: number): void {
    const bounded = Math.min(maxSlowness, Math.max(1 / maxSlowness, slowness))
    this.#samples = Math.min(maxAveragedSamples, this.#samples + 1)
    this.#deviationMs += (Math.abs(tookMs / bounded - this.#workMs) - this.#deviationMs) / this.#samples
    this.#workMs += (tookMs / bounded - this.#workMs) / this.#samples
    this.#overheadMs += (Math.max(0, heldMs - tookMs) - this.#overheadMs) / this.#samples
    this.#slowness = bounded
    this.#slownessAtMs = nowMs
  }

  get hasMeasured (): boolean {
    return this.#samples > 0
  }

  /** Times as long as usual that work takes now; 1 where that is not known. */
  getSlowness (nowMs: number): number {
    return nowMs - this.#slownessAtMs <= slownessTtlMs ? this.#slowness : 1
  }

  /** Time that a request which is sent now takes at the endpoint. */
  getWorkMs (nowMs: number): number {
    return this.#workMs * this.getSlowness(nowMs)
  }

  /** Time within which most requests that are sent now are answered. */
  getLongWorkMs (nowMs: number): number {
    return (this.#workMs + this.#deviationMs) * this.getSlowness(nowMs)
  }

  /** Time of the messages between a grant and its release, beyond that of the work. */
  get overheadMs (): number {
    return this.#overheadMs
  }

  /** Time for which a request that is granted now holds its place. */
  getHeldMs (nowMs: number): number {
    return this.getWorkMs(nowMs) + this.#overheadMs
  }
}
