/** Keeps an engine's adapters while it runs requests that its owner has not been told of. */
import type { AdapterPlaces } from '../../core/desk/adapterPlaces.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrders, EngineState } from '../../ports/orders.js'

export interface ForeignRunsOptions {
  clock: Clock
  log: EventLog
  endpointId: string
  orders: Pick<EngineOrders, 'readState'>
  places: AdapterPlaces
  /** Requests that the owner knows to run. */
  countOwn: () => number
  /** Adapters that were kept may make way. */
  receiveReleased: () => void
}

/** Runs that no front has told of, as their hosts are gone, have ended or been dropped after this time. */
const foreignRunMs = 1500
/** So few of them are likely to leave an adapter that makes way alone. */
const fewForeignRuns = 3
/** Time between two looks whether such runs have ended. */
const checkIntervalMs = 300

export class ForeignRuns {
  #options: ForeignRunsOptions
  #timer: Timer | undefined
  #isStopped = false

  constructor (options: ForeignRunsOptions) {
    this.#options = options
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  /** What runs beside the owner's requests may use any adapter; an unload would wait for it and hold all orders up. */
  receiveState (state: EngineState): void {
    if (!this.#hasMany(state)) return
    this.#options.places.keepAll(this.#options.clock.readMonotonic() + foreignRunMs)
    this.#schedule()
  }

  #hasMany ({ running }: EngineState): boolean {
    return running - this.#options.countOwn() > fewForeignRuns
  }

  #schedule (): void {
    this.#timer?.cancel()
    this.#timer = this.#options.clock.setTimer(() => this.#check(), checkIntervalMs)
  }

  async #check (): Promise<void> {
    const { clock, endpointId, orders, log, places, receiveReleased } = this.#options
    if (this.#isStopped || clock.readMonotonic() >= places.keptUntilMs) return
    try {
      if (!this.#hasMany(await orders.readState())) {
        places.releaseAll()
        receiveReleased()
        return
      }
    } catch (error) {
      log.record('engine.silent', 'An engine does not tell what runs there; its adapters are kept a little longer.', { endpointId, error: (error as Error).message })
    }
    if (!this.#isStopped) this.#schedule()
  }
}
