/** Has adapters loaded and notices when each load is done. */
import type { Clock } from '../../ports/clock.js'
import type { EngineOrder } from '../../ports/orders.js'
import type { OrderLine } from './orderLine.js'

export interface LoadWatchOptions {
  clock: Clock
  line: OrderLine
}

/** Adapters that an engine keeps in its host's memory, from where they load ten times as fast; the published engines keep 108. */
const rememberedAdapters = 100
/** Time of a first load before any was seen, in milliseconds; the published sheets say 250 to 288. */
const initialColdMs = 250
const initialWarmMs = 25
/** Time between two questions whether a load is done. */
const probeIntervalMs = 20
/** A load that was not seen to be done after this time is looked up in the engine's state. */
const maxLoadMs = 1500
/** Weight of the newest load in the expected time. */
const smoothing = 0.2

/** `unknown`: the engine may have the adapter, so its slot counts as taken until the engine's state is read. */
export type LoadOutcome = 'loaded' | 'refused' | 'unknown'

type AdapterLoad = Omit<EngineOrder, 'expectedCount'>

export class LoadWatch {
  #options: LoadWatchOptions
  #loading = new Set<string>()
  /** Adapters loaded before, the latest last. */
  #remembered = new Set<string>()
  #coldMs = initialColdMs
  #warmMs = initialWarmMs

  constructor (options: LoadWatchOptions) {
    this.#options = options
  }

  /** Whether an adapter, named `MODEL/ADAPTER`, is on its way. */
  isLoading (adapter: string, version: number): boolean {
    return this.#loading.has(formatLoad(adapter, version))
  }

  /** Expected time of the load of an adapter, named `MODEL/ADAPTER`. */
  computeExpectedMs (adapter: string, version: number): number {
    return this.#expectMs(formatLoad(adapter, version))
  }

  #expectMs (name: string): number {
    return this.#remembered.has(name) ? this.#warmMs : this.#coldMs
  }

  /** Resolves when the adapter is usable, or when it will not be by this order. */
  async load (order: AdapterLoad): Promise<LoadOutcome> {
    const name = formatLoad(`${order.model}/${order.adapter}`, order.version ?? 0)
    this.#loading.add(name)
    try {
      return await this.#load(name, order)
    } finally {
      this.#loading.delete(name)
    }
  }

  async #load (name: string, order: AdapterLoad): Promise<LoadOutcome> {
    const { clock, line } = this.#options
    const isWarm = this.#remembered.has(name)
    const outcome = await line.submit(order)
    if (outcome.verdict === 'holds') return 'loaded'
    if (outcome.verdict !== 'accepted') return outcome.verdict
    const startedAtMs = clock.readMonotonic()
    await this.#pause(this.#expectMs(name))
    while (clock.readMonotonic() - startedAtMs < maxLoadMs) {
      const probe = await line.probe(order)
      if (probe.verdict === 'holds') {
        this.#record(name, clock.readMonotonic() - startedAtMs, isWarm)
        return 'loaded'
      }
      await this.#pause(probeIntervalMs)
    }
    return 'unknown'
  }

  #record (name: string, tookMs: number, isWarm: boolean): void {
    if (isWarm) this.#warmMs += smoothing * (tookMs - this.#warmMs)
    else this.#coldMs += smoothing * (tookMs - this.#coldMs)
    this.#remembered.delete(name)
    this.#remembered.add(name)
    if (this.#remembered.size > rememberedAdapters) this.#remembered.delete(this.#remembered.values().next().value!)
  }

  async #pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, ms) })
  }
}

function formatLoad (adapter: string, version: number): string {
  return `${adapter}@${version}`
}
