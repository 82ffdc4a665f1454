/** Has adapters loaded and notices when each load is done. */
import { LoadPace } from '../../core/desk/loadPace.js'
import type { Clock } from '../../ports/clock.js'
import type { EngineOrder } from '../../ports/orders.js'
import type { OrderLine } from './orderLine.js'

export interface LoadWatchOptions {
  clock: Clock
  line: OrderLine
  /** Called with each load that was seen to be done. */
  receiveLoaded: (name: string, tookMs: number, isWarm: boolean) => void
}

/** `settled`: the engine's state has told already. `unknown`: the engine may have the adapter, so its slot counts as taken until the engine's state is read. */
export type LoadOutcome = 'loaded' | 'refused' | 'unknown' | 'settled'

type AdapterLoad = Omit<EngineOrder, 'expectedCount'>

/** A load that was not seen to be done after this time is looked up in the engine's state. */
const maxLoadMs = 1500

export class LoadWatch {
  #options: LoadWatchOptions
  #pace = new LoadPace()
  /** Each load that is watched, with a token that is its own. */
  #loading = new Map<string, symbol>()

  constructor (options: LoadWatchOptions) {
    this.#options = options
  }

  /** Whether an adapter, named `MODEL/ADAPTER`, is on its way. */
  isLoading (adapter: string, version: number): boolean {
    return this.#loading.has(formatLoad(adapter, version))
  }

  /** Expected time of the load of an adapter, named `MODEL/ADAPTER`. */
  computeExpectedMs (adapter: string, version: number): number {
    return this.#pace.expectMs(formatLoad(adapter, version))
  }

  /** Expected time of a load from the weight store. */
  get coldMs (): number {
    return this.#pace.coldMs
  }

  /** Resolves when the adapter is usable, or when it will not be by this order. */
  async load (order: AdapterLoad): Promise<LoadOutcome> {
    return await this.#watch(order, async () => {
      const outcome = await this.#options.line.submit(order)
      if (outcome.verdict === 'holds') return 'loaded'
      return outcome.verdict === 'accepted' ? undefined : outcome.verdict
    })
  }

  /** Watches a load that is under way by an earlier order. */
  async resume (order: AdapterLoad): Promise<LoadOutcome> {
    return await this.#watch(order, async () => undefined)
  }

  async #watch (order: AdapterLoad, begin: () => Promise<LoadOutcome | undefined>): Promise<LoadOutcome> {
    const name = formatLoad(`${order.model}/${order.adapter}`, order.version ?? 0)
    const token = Symbol(name)
    this.#loading.set(name, token)
    const isWatched = (): boolean => this.#loading.get(name) === token
    try {
      return await begin() ?? await this.#probe(name, order, isWatched)
    } finally {
      if (isWatched()) this.#loading.delete(name)
    }
  }

  /**
   * Ends the watch of a load of which the engine's state has told. A probe after that would order the adapter anew once
   * it is unloaded.
   */
  settle (adapter: string, version: number): void {
    this.#loading.delete(formatLoad(adapter, version))
  }

  /**
   * Ends the watch of all loads, as the engine has started again without them. A probe would order its adapter anew, beside
   * what the engine has been given since.
   */
  forgetLoads (): void {
    this.#loading.clear()
  }

  async #probe (name: string, order: AdapterLoad, isWatched: () => boolean): Promise<LoadOutcome> {
    const { clock, line } = this.#options
    const startedAtMs = clock.readMonotonic()
    let passedMs = 0
    while (passedMs < maxLoadMs) {
      await this.#pause(this.#pace.findNextProbeMs(passedMs) - passedMs)
      if (!isWatched()) return 'settled'
      const probe = await line.probe(order)
      passedMs = clock.readMonotonic() - startedAtMs
      if (!isWatched()) return 'settled'
      if (probe.verdict !== 'holds') continue
      this.#options.receiveLoaded(name, passedMs, this.#pace.recordLoaded(name, passedMs))
      return 'loaded'
    }
    return 'unknown'
  }

  async #pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, Math.max(1, ms)) })
  }
}

function formatLoad (adapter: string, version: number): string {
  return `${adapter}@${version}`
}
