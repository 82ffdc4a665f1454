/** Estimates how long requests and adapter loads take on an endpoint, from what was measured there. */

/** Weight of the newest measurement in the moving averages. */
const smoothing = 0.1
const initialFirstTokenMs = 60
const initialTokenMs = 25
const initialRunMs = 2000
const initialLoadMs = 1000

/** Moving averages, in milliseconds. */
export class RunTimes {
  #firstTokenMs = initialFirstTokenMs
  #tokenMs = initialTokenMs
  #runMs = initialRunMs
  #loadMs = initialLoadMs

  /** From dispatch to the first token. */
  get firstTokenMs (): number {
    return this.#firstTokenMs
  }

  /** Whole run of a request. */
  get runMs (): number {
    return this.#runMs
  }

  /** From the planning of a load to its end, including the wait for the load budget. */
  get loadMs (): number {
    return this.#loadMs
  }

  recordFirstToken (ms: number): void {
    this.#firstTokenMs += smoothing * (ms - this.#firstTokenMs)
  }

  recordRun (ms: number, maxTokens: number): void {
    this.#runMs += smoothing * (ms - this.#runMs)
    this.#tokenMs += smoothing * (ms / maxTokens - this.#tokenMs)
  }

  recordLoad (ms: number): void {
    this.#loadMs += smoothing * (ms - this.#loadMs)
  }

  /** Expected run time of a request of which only the maximum number of tokens is known. */
  computeRunMs (maxTokens: number): number {
    return this.#firstTokenMs + maxTokens * this.#tokenMs
  }
}
