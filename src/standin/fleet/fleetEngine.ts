/** A stand-in of one model engine of the platform: adapters in slots, orders under conditions, streams. */
import type { EngineOrder, EngineState, OrderHolder } from '../../ports/engineOrders.js'
import type { LoadedAdapter } from '../../schemas/routing.js'

export interface FleetEngineOptions {
  id: string
  model: string
  adapterSlots: number
  batchLimit: number
  coldLoadMs: number
  warmLoadMs: number
  /** Age of what reports tell. */
  reportLagMs: number
  /** Time between two events of a stream. */
  eventMs: number
  /** Time of the model's load, for an engine that starts without it; 0 for one that has it. */
  modelLoadMs: number
}

/** What went wrong that no client of the system may cause; tests expect none. */
export interface EngineViolation {
  rule: 'overfull' | 'fencing'
  detail: string
}

export interface EngineAnswer {
  status: number
}

interface Loading {
  version: number
  doneAtMs: number
}

export class FleetEngine {
  readonly options: FleetEngineOptions
  readonly violations: EngineViolation[] = []
  startedAtMs: number
  #adapters = new Map<string, number>()
  #loading = new Map<string, Loading>()
  #remembered = new Set<string>()
  #running = new Map<string, number>()
  #unloading = new Set<string>()
  #count = 0
  #fencing = 0
  /** The host that sent the highest fencing token. */
  #holder: string | undefined
  /** When the model is there; undefined before its load was ordered. */
  #modelReadyAtMs: number | undefined
  #reported: EngineState | undefined
  #readNow: () => number

  constructor (options: FleetEngineOptions, readNow: () => number) {
    this.options = options
    this.#readNow = readNow
    this.startedAtMs = Date.now()
    if (options.modelLoadMs === 0) this.#modelReadyAtMs = 0
    this.#reported = this.#describe()
  }

  get running (): number {
    return [...this.#running.values()].reduce((sum, count) => sum + count, 0)
  }

  get orderCount (): number {
    return this.#count
  }

  /** The engine starts anew under its id and holds only its model. */
  restart (): void {
    this.startedAtMs = Math.max(Date.now(), this.startedAtMs + 1)
    this.#adapters.clear()
    this.#loading.clear()
    this.#running.clear()
    this.#unloading.clear()
    this.#count = 0
    this.#fencing = 0
    this.#holder = undefined
    this.#reported = this.#describe()
  }

  /** The engine loses an adapter by itself; reports tell of it as late as of anything. */
  loseAdapter (adapter: string): void {
    this.#adapters.delete(adapter)
    this.#report()
  }

  /** Carries an order out; returns the status of its answer. */
  receiveOrder (order: EngineOrder, holder: OrderHolder): number {
    this.#finishLoads()
    if (holder.fencing < this.#fencing) this.violations.push({ rule: 'fencing', detail: `"${holder.host}" ordered with ${holder.fencing} after ${this.#fencing}` })
    if (holder.fencing === this.#fencing && this.#holder !== undefined && holder.host !== this.#holder) this.violations.push({ rule: 'fencing', detail: `"${holder.host}" and "${this.#holder}" both ordered with ${holder.fencing}` })
    if (holder.fencing >= this.#fencing) this.#holder = holder.host
    this.#fencing = Math.max(this.#fencing, holder.fencing)
    if (this.#unloading.size > 0 && !(order.kind === 'unload' && this.#unloading.has(order.adapter ?? ''))) return 409
    if (order.expectedCount !== undefined && order.expectedCount !== this.#count) return 409
    if (order.adapter === undefined) return this.#loadModel()
    if (!this.#hasModel()) return 409
    return order.kind === 'load' ? this.#load(order.adapter, order.version ?? 1) : this.#unload(order.adapter)
  }

  /** Whether a request may run now; the status of its refusal otherwise. */
  findRefusal (adapter: string, version: number | undefined): number | undefined {
    this.#finishLoads()
    if (!this.#hasModel()) return 421
    if (adapter === '') return undefined
    const held = this.#adapters.get(adapter)
    if (held === undefined && this.#loading.has(adapter)) return 503
    if (this.#unloading.has(adapter)) return 503
    if (held === undefined || (version !== undefined && held !== version)) return 421
    return this.running >= this.options.batchLimit * 4 ? 503 : undefined
  }

  recordRun (adapter: string, change: 1 | -1): void {
    const left = (this.#running.get(adapter) ?? 0) + change
    if (left > 0) this.#running.set(adapter, left)
    else this.#running.delete(adapter)
    if (left > 0 || !this.#unloading.delete(adapter)) return
    this.#adapters.delete(adapter)
    this.#report()
  }

  /** The state as of a while ago. */
  readReport (): EngineState {
    this.#finishLoads()
    return this.#reported ?? this.#describe()
  }

  describeModels (): EngineState['models'] {
    this.#finishLoads()
    return this.#describe().models
  }

  #hasModel (): boolean {
    return this.#modelReadyAtMs !== undefined && this.#modelReadyAtMs <= this.#readNow()
  }

  #loadModel (): number {
    if (this.#hasModel()) return 200
    if (this.#modelReadyAtMs !== undefined) return 409
    this.#count++
    this.#modelReadyAtMs = this.#readNow() + this.options.modelLoadMs
    this.#reportModelIn(this.options.modelLoadMs)
    return 202
  }

  /** A timer may end a moment before the clock says so. */
  #reportModelIn (ms: number): void {
    setTimeout(() => {
      if (this.#hasModel()) this.#report()
      else this.#reportModelIn(1)
    }, ms).unref()
  }

  #load (adapter: string, version: number): number {
    if (this.#adapters.get(adapter) === version) return 200
    const coming = this.#loading.get(adapter)
    if (coming?.version === version) return 202
    const taken = new Set([...this.#adapters.keys(), ...this.#loading.keys()]).size
    if (taken + 1 > this.options.adapterSlots && !this.#adapters.has(adapter)) {
      this.violations.push({ rule: 'overfull', detail: `load of "${adapter}" with ${taken} of ${this.options.adapterSlots} slots taken` })
      this.restart()
      return 500
    }
    this.#count++
    this.#adapters.delete(adapter)
    const takesMs = this.#remembered.has(`${adapter}@${version}`) ? this.options.warmLoadMs : this.options.coldLoadMs
    this.#loading.set(adapter, { version, doneAtMs: this.#readNow() + takesMs })
    setTimeout(() => this.#finishLoads(), takesMs + 1).unref()
    this.#report()
    return 202
  }

  #unload (adapter: string): number {
    if (!this.#adapters.has(adapter)) return 200
    if ((this.#running.get(adapter) ?? 0) > 0) {
      this.#unloading.add(adapter)
      return 202
    }
    this.#adapters.delete(adapter)
    this.#count++
    this.#report()
    return 200
  }

  #finishLoads (): void {
    const nowMs = this.#readNow()
    for (const [adapter, { version, doneAtMs }] of this.#loading) {
      if (doneAtMs > nowMs) continue
      this.#loading.delete(adapter)
      this.#adapters.set(adapter, version)
      this.#remembered.add(`${adapter}@${version}`)
      this.#report()
    }
  }

  #report (): void {
    const state = this.#describe()
    setTimeout(() => {
      // What a process told before its end is not read after it.
      if (state.startedAtMs === this.startedAtMs) this.#reported = state
    }, this.options.reportLagMs).unref()
  }

  #describe (): EngineState {
    const { model } = this.options
    const adapters: LoadedAdapter[] = [...this.#adapters].map(([name, version]) => ({ name, version }))
    return {
      startedAtMs: this.startedAtMs,
      models: this.#hasModel() ? [{ name: model, version: 1, adapters }] : [],
      loading: [...this.#loading].map(([name, { version }]) => ({ model, name, version })),
      isBusy: false,
      orderCount: this.#count,
      running: this.running,
      waiting: 0
    }
  }
}
