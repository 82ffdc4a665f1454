/** Orders adapter loads and detects when each load has completed. */
import { LoadTimeEstimator } from '../../core/allocation/loadTimeEstimator.js'
import type { Clock } from '../../ports/clock.js'
import type { EngineOrder } from '../../ports/engineOrders.js'
import type { EngineOrderQueue } from './engineOrderQueue.js'

export interface AdapterLoaderOptions {
  clock: Clock
  orderQueue: EngineOrderQueue
  /** Called for each load that was found to have completed; the key is `MODEL/ADAPTER@VERSION`. */
  receiveLoaded: (loadKey: string, tookMs: number, isWarm: boolean) => void
}

/**
 * `settled`: the engine's state has already shown the result. `unknown`: the engine may have the adapter, so its slot counts as
 * in use until the engine's state is read.
 */
export type AdapterLoadOutcome = 'loaded' | 'refused' | 'unknown' | 'settled'

type LoadOrder = Omit<EngineOrder, 'expectedCount'>

/** After this time a load that was not found to have completed is looked up in the engine's state. */
const maxProbeMs = 1500

export class AdapterLoader {
  #options: AdapterLoaderOptions
  #loadTimes = new LoadTimeEstimator()
  /** A unique token for each tracked load, to distinguish it from a later load of the same adapter. */
  #trackedLoads = new Map<string, symbol>()

  constructor (options: AdapterLoaderOptions) {
    this.#options = options
  }

  /** Whether a load of an adapter, named `MODEL/ADAPTER`, is in progress. */
  isLoading (adapter: string, version: number): boolean {
    return this.#trackedLoads.has(formatLoadKey(adapter, version))
  }

  /** Expected load time of an adapter, named `MODEL/ADAPTER`, in milliseconds. */
  computeExpectedLoadMs (adapter: string, version: number): number {
    return this.#loadTimes.estimateMs(formatLoadKey(adapter, version))
  }

  /** Expected time of a load from the weight store, in milliseconds. */
  get coldLoadMs (): number {
    return this.#loadTimes.coldMs
  }

  /** Orders a load. Resolves once the adapter is usable or this order can no longer make it so. */
  async load (order: LoadOrder): Promise<AdapterLoadOutcome> {
    return await this.#track(order, async () => {
      const outcome = await this.#options.orderQueue.submit(order)
      if (outcome.verdict === 'holds') return 'loaded'
      return outcome.verdict === 'accepted' ? undefined : outcome.verdict
    })
  }

  /** Tracks a load that an earlier order started. */
  async trackLoad (order: LoadOrder): Promise<AdapterLoadOutcome> {
    return await this.#track(order, async () => undefined)
  }

  async #track (order: LoadOrder, startLoad: () => Promise<AdapterLoadOutcome | undefined>): Promise<AdapterLoadOutcome> {
    const loadKey = formatLoadKey(`${order.model}/${order.adapter}`, order.version ?? 0)
    const token = Symbol(loadKey)
    this.#trackedLoads.set(loadKey, token)
    const isTracked = (): boolean => this.#trackedLoads.get(loadKey) === token
    try {
      return await startLoad() ?? await this.#probeUntilLoaded(loadKey, order, isTracked)
    } finally {
      if (isTracked()) this.#trackedLoads.delete(loadKey)
    }
  }

  /**
   * Stops tracking a load whose result the engine's state has shown. A later probe would load the adapter again after it
   * was unloaded.
   */
  stopTracking (adapter: string, version: number): void {
    this.#trackedLoads.delete(formatLoadKey(adapter, version))
  }

  /**
   * Stops tracking all loads after the engine restarted and lost them. A probe would load its adapter again, in addition to
   * what was loaded since the restart.
   */
  stopTrackingAll (): void {
    this.#trackedLoads.clear()
  }

  async #probeUntilLoaded (loadKey: string, order: LoadOrder, isTracked: () => boolean): Promise<AdapterLoadOutcome> {
    const { clock, orderQueue } = this.#options
    const startedAtMs = clock.readMonotonic()
    let elapsedMs = 0
    while (elapsedMs < maxProbeMs) {
      await this.#delay(this.#loadTimes.computeNextProbeMs(elapsedMs) - elapsedMs)
      if (!isTracked()) return 'settled'
      const probe = await orderQueue.probe(order)
      elapsedMs = clock.readMonotonic() - startedAtMs
      if (!isTracked()) return 'settled'
      if (probe.verdict !== 'holds') continue
      this.#options.receiveLoaded(loadKey, elapsedMs, this.#loadTimes.recordLoaded(loadKey, elapsedMs))
      return 'loaded'
    }
    return 'unknown'
  }

  async #delay (ms: number): Promise<void> {
    await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, Math.max(1, ms)) })
  }
}

function formatLoadKey (adapter: string, version: number): string {
  return `${adapter}@${version}`
}
