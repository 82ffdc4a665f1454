/** Prevents the eviction of an engine's adapters while it runs requests that its owner does not know of. */
import type { EngineAdapters } from '../../core/allocation/engineAdapters.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EngineOrders, EngineState } from '../../ports/engineOrders.js'

export interface UntrackedRunsOptions {
  clock: Clock
  log: EventLog
  endpointId: string
  orders: Pick<EngineOrders, 'readState'>
  adapters: EngineAdapters
  /** Number of running requests that the owner knows of. */
  countTracked: () => number
  /** Called when the retained adapters may be evicted again. */
  receiveAdaptersReleased: () => void
}

/** Requests that no proxy has reported, because their hosts are gone, have ended or been aborted after this time. */
const maxUntrackedRunMs = 1500
/** Up to this many such requests are ignored: they are unlikely to use an adapter that is chosen for eviction. */
const toleratedRuns = 3
/** Interval of the checks whether such requests have ended. */
const checkIntervalMs = 300

export class UntrackedRuns {
  #options: UntrackedRunsOptions
  #timer: Timer | undefined
  #isStopped = false

  constructor (options: UntrackedRunsOptions) {
    this.#options = options
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  /** Untracked requests may use any adapter; an unload would wait for them and block all further orders. */
  receiveState (state: EngineState): void {
    if (!this.#hasManyUntracked(state)) return
    this.#options.adapters.protectAll(this.#options.clock.readMonotonic() + maxUntrackedRunMs)
    this.#scheduleCheck()
  }

  #hasManyUntracked ({ running }: EngineState): boolean {
    return running - this.#options.countTracked() > toleratedRuns
  }

  #scheduleCheck (): void {
    this.#timer?.cancel()
    this.#timer = this.#options.clock.setTimer(() => this.#check(), checkIntervalMs)
  }

  async #check (): Promise<void> {
    const { clock, endpointId, orders, log, adapters, receiveAdaptersReleased } = this.#options
    if (this.#isStopped || clock.readMonotonic() >= adapters.protectedUntilMs) return
    try {
      if (!this.#hasManyUntracked(await orders.readState())) {
        adapters.endProtection()
        receiveAdaptersReleased()
        return
      }
    } catch (error) {
      log.record('engine.silent', 'Could not read how many requests an engine runs; its adapters are retained until the next check.', { endpointId, error: (error as Error).message })
    }
    if (!this.#isStopped) this.#scheduleCheck()
  }
}
