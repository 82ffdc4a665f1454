/** Grants permits of the weight store's load budget to waiting loads. */

export interface LoadBudgetOptions {
  /** Average number of loads that may start per second. */
  loadsPerSecond: number
  /** Number of concurrent loads that the store serves at full speed; no more are permitted at once. */
  loadsAtFullSpeed: number
}

export interface WaitingLoad {
  /** Identifies the load; unique among those that wait or run. */
  permitId: string
  /** When the load is needed, on the clock of the budget, in milliseconds. */
  neededAtMs: number
}

/**
 * Grants permits to waiting loads, ordered by the time at which they are needed, within a rate limit (token bucket) and a
 * concurrency limit. A deferrable load is needed late, so it is ordered after urgent ones; it doesn't starve, because its
 * time is fixed and comes closer while it waits.
 *
 * @example
 * const budget = new LoadBudget({ loadsPerSecond: 4.5, loadsAtFullSpeed: 3 }, 0)
 * budget.addWaiting({ permitId: 'a', neededAtMs: 2000 })
 * budget.grantNextPermit(0) // { permitId: 'a', neededAtMs: 2000 }
 */
export class LoadBudget {
  #options: LoadBudgetOptions
  #waiting: WaitingLoad[] = []
  #granted = new Set<string>()
  #tokens: number
  #refilledAtMs: number

  constructor (options: LoadBudgetOptions, nowMs: number) {
    this.#options = options
    this.#tokens = options.loadsAtFullSpeed
    this.#refilledAtMs = nowMs
  }

  /** Number of loads that wait for a permit. */
  get waitingCount (): number {
    return this.#waiting.length
  }

  /** Number of loads that hold a permit. */
  get grantedCount (): number {
    return this.#granted.size
  }

  /** Changes the limits, for example when hosts join or leave; running loads keep their permits. */
  setOptions (options: LoadBudgetOptions, nowMs: number): void {
    this.#refill(nowMs)
    this.#options = options
    this.#tokens = Math.min(this.#tokens, options.loadsAtFullSpeed)
  }

  /** Queues a load. Loads that are needed at the same time are ordered first in, first out. */
  addWaiting (load: WaitingLoad): void {
    const index = this.#waiting.findLastIndex(other => other.neededAtMs <= load.neededAtMs)
    this.#waiting.splice(index + 1, 0, load)
  }

  /** Grants a permit to the load that is needed first; undefined if none waits or a limit is reached. */
  grantNextPermit (nowMs: number): WaitingLoad | undefined {
    this.#refill(nowMs)
    if (this.#tokens < 1 || this.#granted.size >= this.#options.loadsAtFullSpeed) return undefined
    const load = this.#waiting.shift()
    if (!load) return undefined
    this.#tokens--
    this.#granted.add(load.permitId)
    return load
  }

  /** Counts a load that runs under a permit of a previous granter. */
  addGranted (permitId: string): void {
    this.#granted.add(permitId)
  }

  /** Releases a permit or removes a load that still waits; unknown ids are ignored. */
  releasePermit (permitId: string): void {
    if (this.#granted.delete(permitId)) return
    this.#waiting = this.#waiting.filter(load => load.permitId !== permitId)
  }

  /** When the rate limit allows the next permit; undefined if no load waits or a permit must be released first. */
  findNextPermitMs (nowMs: number): number | undefined {
    this.#refill(nowMs)
    if (this.#waiting.length === 0 || this.#granted.size >= this.#options.loadsAtFullSpeed) return undefined
    return nowMs + Math.max(0, 1 - this.#tokens) / this.#options.loadsPerSecond * 1000
  }

  #refill (nowMs: number): void {
    const added = Math.max(0, nowMs - this.#refilledAtMs) / 1000 * this.#options.loadsPerSecond
    this.#tokens = Math.min(this.#options.loadsAtFullSpeed, this.#tokens + added)
    this.#refilledAtMs = Math.max(this.#refilledAtMs, nowMs)
  }
}
