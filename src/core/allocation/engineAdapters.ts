/** The adapter slots of one engine: which adapters are loaded, loading or unloading, and which one is evicted next. */

export type AdapterState = 'loading' | 'loaded' | 'unloading'

export interface EngineAdapter {
  /** `MODEL/ADAPTER`; an engine has one version of it at a time. */
  readonly name: string
  readonly version: number
  state: AdapterState
  /** When the load is expected to complete. */
  readyAtMs: number
  /** Requests with a granted reservation for this adapter that have not ended. */
  running: number
  /** Accepts no more requests, as another version or adapter replaces it. */
  isClosing: boolean
  usedAtMs: number
  /** Was loaded when this host took over the engine, so untracked requests may use it. */
  isAdopted: boolean
}

/** Time constant of the exponential decay of request counts. */
const usageDecayMs = 8000
/** Time constant of the exponential decay of prefill time, for an adapter's share of the engine. */
const prefillShareDecayMs = 2000
/** An adapter used within this time is evicted only where all candidates are this recent: its next request is likely soon. */
const minIdleMs = 50
/** Limit on the adapters whose usage is tracked, whether they are loaded or not. */
const maxTrackedUsages = 2048
/** Estimated usage counts less than one request that was received. */
const maxEstimatedUsage = 0.5

interface AdapterUsage {
  /** Decayed number of requests. */
  count: number
  atMs: number
  /** Time that the engine spent on prefill for the adapter, decayed up to `prefillAtMs`. */
  prefillMs: number
  prefillAtMs: number
}

export class EngineAdapters {
  #slots: number
  #adapters = new Map<string, EngineAdapter>()
  #usages = new Map<string, AdapterUsage>()
  /** Adopted adapters are not evicted before this time. */
  #protectedUntilMs = 0

  constructor (slots: number) {
    this.#slots = slots
  }

  /** When adopted adapters may be evicted. */
  get protectedUntilMs (): number {
    return this.#protectedUntilMs
  }

  get freeSlots (): number {
    return this.#slots - this.#adapters.size
  }

  get loadingCount (): number {
    return this.#count(adapter => adapter.state === 'loading')
  }

  get unloadingCount (): number {
    return this.#count(adapter => adapter.state === 'unloading' || adapter.isClosing)
  }

  /** Adapters that could be evicted immediately. */
  get idleCount (): number {
    return this.#count(adapter => adapter.state === 'loaded' && adapter.running === 0 && !adapter.isClosing)
  }

  /** Slots that are free, can be freed immediately or are being freed; an adapter that makes way for its own next version frees none. */
  get availableSlots (): number {
    return this.freeSlots + this.idleCount + this.#count(adapter => adapter.state === 'unloading' && !adapter.isClosing)
  }

  /** Adapters with exactly one running request. */
  get nearlyIdleCount (): number {
    return this.#count(adapter => adapter.state === 'loaded' && adapter.running === 1)
  }

  find (name: string): EngineAdapter | undefined {
    return this.#adapters.get(name)
  }

  list (): EngineAdapter[] {
    return [...this.#adapters.values()]
  }

  add (name: string, version: number, state: AdapterState, readyAtMs: number, nowMs: number): EngineAdapter {
    const adapter: EngineAdapter = { name, version, state, readyAtMs, running: 0, isClosing: false, usedAtMs: nowMs, isAdopted: false }
    this.#adapters.set(name, adapter)
    return adapter
  }

  remove (name: string): void {
    this.#adapters.delete(name)
  }

  clear (): void {
    this.#adapters.clear()
  }

  recordRequest (name: string, nowMs: number): void {
    const usage = this.#usages.get(name) ?? { count: 0, atMs: nowMs, prefillMs: 0, prefillAtMs: nowMs }
    usage.count = 1 + usage.count * Math.exp((usage.atMs - nowMs) / usageDecayMs)
    usage.atMs = nowMs
    // Deleting first keeps the map in order of the last request.
    this.#usages.delete(name)
    this.#usages.set(name, usage)
    if (this.#usages.size > maxTrackedUsages) this.#usages.delete(this.#usages.keys().next().value!)
  }

  /**
   * Estimates the usage of adapters that a former owner loaded, from the order of their loads (`names`, oldest first): an
   * adapter that stayed loaded longest while others were replaced is likely the most requested. Recorded usage is kept.
   */
  estimateUsage (names: readonly string[], nowMs: number): void {
    names.forEach((name, index) => {
      if (!this.#usages.has(name)) this.#usages.set(name, { count: maxEstimatedUsage * (names.length - index) / names.length, atMs: nowMs, prefillMs: 0, prefillAtMs: nowMs })
    })
  }

  /** Records that the engine spends `prefillMs` on a prompt for the adapter. */
  recordPrefill (name: string, prefillMs: number, nowMs: number): void {
    const usage = this.#usages.get(name)
    if (!usage) return
    usage.prefillMs = prefillMs + usage.prefillMs * Math.exp((usage.prefillAtMs - nowMs) / prefillShareDecayMs)
    usage.prefillAtMs = nowMs
  }

  /** Fraction of the engine's recent time that went into prefill for an adapter. */
  getPrefillShare (name: string, nowMs: number): number {
    const usage = this.#usages.get(name)
    return usage ? usage.prefillMs * Math.exp((usage.prefillAtMs - nowMs) / prefillShareDecayMs) / prefillShareDecayMs : 0
  }

  /** Decayed number of recent requests for an adapter. */
  getRecentUsage (name: string, nowMs: number): number {
    const usage = this.#usages.get(name)
    return usage ? usage.count * Math.exp((usage.atMs - nowMs) / usageDecayMs) : 0
  }

  /** Protects the adapters that are loaded now from eviction, as requests that this host does not track may use them. */
  protectAll (untilMs: number): void {
    this.#protectedUntilMs = untilMs
    for (const adapter of this.#adapters.values()) adapter.isAdopted = true
  }

  /** Ends the protection of adopted adapters early. */
  endProtection (): void {
    this.#protectedUntilMs = 0
  }

  /** Finds the unused adapter with the lowest recent usage; undefined where all are in use. */
  findEvictionCandidate (nowMs: number, isWanted: (name: string) => boolean): EngineAdapter | undefined {
    let candidate: EngineAdapter | undefined
    let lowestUsage = Infinity
    for (const adapter of this.#adapters.values()) {
      if (adapter.state !== 'loaded' || adapter.running > 0 || adapter.isClosing || isWanted(adapter.name)) continue
      if (adapter.isAdopted && nowMs < this.#protectedUntilMs) continue
      const recencyPenalty = nowMs - adapter.usedAtMs < minIdleMs ? 1e6 : 0
      const usage = this.getRecentUsage(adapter.name, nowMs) + recencyPenalty
      if (usage >= lowestUsage) continue
      candidate = adapter
      lowestUsage = usage
    }
    return candidate
  }

  #count (matches: (adapter: EngineAdapter) => boolean): number {
    let count = 0
    for (const adapter of this.#adapters.values()) if (matches(adapter)) count++
    return count
  }
}
