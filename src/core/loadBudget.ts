/** Which waiting load gets the next permit of the weight store's budget. */

export interface LoadBudgetOptions {
  /** Loads that may start each second, on average. */
  loadsPerSecond: number
  /** Loads that the store serves at full speed at once; no more are permitted at a time. */
  loadsAtFullSpeed: number
}

export interface WaitingLoad {
  /** Names the load; unique among those that wait or run. */
  permitId: string
  /** When the load is needed, on the clock of the budget, in milliseconds. */
  neededAtMs: number
}

/**
 * Orders waiting loads by the time at which they are needed and permits them within rate and concurrency.
 * A deferrable load is needed late, so it goes after the urgent ones and yet never starves:
 * its time comes near while it waits.
 *
 * @example
 * const budget = new LoadBudget({ loadsPerSecond: 4.5, loadsAtFullSpeed: 3 }, 0)
 * budget.addWaiting({ permitId: 'a', neededAtMs: 2000 })
 * budget.takeNext(0) // { permitId: 'a', neededAtMs: 2000 }
 */
export class LoadBudget {
  #options: LoadBudgetOptions
  #waiting: WaitingLoad[] = []
  #granted = new Set<string>()
  #saved: number
  #filledAtMs: number

  constructor (options: LoadBudgetOptions, nowMs: number) {
    this.#options = options
    this.#saved = options.loadsAtFullSpeed
    this.#filledAtMs = nowMs
  }

  /** Number of loads that wait for a permit. */
  get waiting (): number {
    return this.#waiting.length
  }

  /** Number of loads that hold a permit. */
  get granted (): number {
    return this.#granted.size
  }

  /** Changes the share of the budget, such as when hosts come and go; loads under way keep their permits. */
  setOptions (options: LoadBudgetOptions, nowMs: number): void {
    this.#fill(nowMs)
    this.#options = options
    this.#saved = Math.min(this.#saved, options.loadsAtFullSpeed)
  }

  /** Queues a load; of two that are needed at the same time, the one added first goes first. */
  addWaiting (load: WaitingLoad): void {
    const index = this.#waiting.findLastIndex(other => other.neededAtMs <= load.neededAtMs)
    this.#waiting.splice(index + 1, 0, load)
  }

  /** Takes the permit of the load that is needed first; undefined while rate or concurrency forbid one. */
  takeNext (nowMs: number): WaitingLoad | undefined {
    this.#fill(nowMs)
    if (this.#saved < 1 || this.#granted.size >= this.#options.loadsAtFullSpeed) return undefined
    const load = this.#waiting.shift()
    if (!load) return undefined
    this.#saved--
    this.#granted.add(load.permitId)
    return load
  }

  /** Counts a load that runs under a permit of an earlier granter. */
  addGranted (permitId: string): void {
    this.#granted.add(permitId)
  }

  /** Gives a permit back, or withdraws a load that still waits; unknown names are ignored. */
  releasePermit (permitId: string): void {
    if (this.#granted.delete(permitId)) return
    this.#waiting = this.#waiting.filter(load => load.permitId !== permitId)
  }

  /** When the rate allows the next permit; undefined where nothing waits or only a release can help. */
  findNextPermitMs (nowMs: number): number | undefined {
    this.#fill(nowMs)
    if (this.#waiting.length === 0 || this.#granted.size >= this.#options.loadsAtFullSpeed) return undefined
    return nowMs + Math.max(0, 1 - this.#saved) / this.#options.loadsPerSecond * 1000
  }

  #fill (nowMs: number): void {
    const earned = Math.max(0, nowMs - this.#filledAtMs) / 1000 * this.#options.loadsPerSecond
    this.#saved = Math.min(this.#options.loadsAtFullSpeed, this.#saved + earned)
    this.#filledAtMs = Math.max(this.#filledAtMs, nowMs)
  }
}
