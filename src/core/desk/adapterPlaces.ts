/** The adapter slots of one engine: what is loaded, what is on its way, and which adapter makes way for another. */

export type AdapterState = 'loading' | 'loaded' | 'unloading'

export interface PlacedAdapter {
  /** `MODEL/ADAPTER`; one version of it at a time. */
  readonly name: string
  readonly version: number
  state: AdapterState
  /** When the load is expected to be done. */
  readyAtMs: number
  /** Requests that were granted a place with it and have not ended. */
  running: number
  /** Takes no more requests, as another version or adapter takes its slot. */
  isClosing: boolean
  usedAtMs: number
  /** Was there when this host took the engine over, so that others may use it. */
  isAdopted: boolean
}

/** Time after which a past request counts 1/e in an adapter's use. */
const useTermMs = 8000
/** Time after which past reading counts 1/e in an adapter's share of the engine. */
const shareTermMs = 2000
/** An adapter that was used this shortly ago is not given up for another while one is older: its next request is near. */
const minIdleMs = 50
/** Adapters whose use is remembered beyond those that are loaded. */
const maxRemembered = 2048
/** A use that is only estimated counts less than one request that came. */
const maxEstimatedUse = 0.5

interface AdapterUse {
  count: number
  atMs: number
  /** Time that the engine read prompts for the adapter, decayed up to `readAtMs`. */
  readMs: number
  readAtMs: number
}

export class AdapterPlaces {
  #slots: number
  #adapters = new Map<string, PlacedAdapter>()
  #uses = new Map<string, AdapterUse>()
  /** Nothing that is loaded makes way before this time. */
  #keptUntilMs = 0

  constructor (slots: number) {
    this.#slots = slots
  }

  /** When adopted adapters may make way. */
  get keptUntilMs (): number {
    return this.#keptUntilMs
  }

  get free (): number {
    return this.#slots - this.#adapters.size
  }

  get loading (): number {
    return this.#count(adapter => adapter.state === 'loading')
  }

  get unloading (): number {
    return this.#count(adapter => adapter.state === 'unloading' || adapter.isClosing)
  }

  /** Adapters that could give up their slots at once. */
  get idle (): number {
    return this.#count(adapter => adapter.state === 'loaded' && adapter.running === 0 && !adapter.isClosing)
  }

  /** Adapters that serve one request. */
  get nearlyIdle (): number {
    return this.#count(adapter => adapter.state === 'loaded' && adapter.running === 1)
  }

  find (name: string): PlacedAdapter | undefined {
    return this.#adapters.get(name)
  }

  list (): PlacedAdapter[] {
    return [...this.#adapters.values()]
  }

  add (name: string, version: number, state: AdapterState, readyAtMs: number, nowMs: number): PlacedAdapter {
    const adapter: PlacedAdapter = { name, version, state, readyAtMs, running: 0, isClosing: false, usedAtMs: nowMs, isAdopted: false }
    this.#adapters.set(name, adapter)
    return adapter
  }

  remove (name: string): void {
    this.#adapters.delete(name)
  }

  clear (): void {
    this.#adapters.clear()
  }

  recordAsked (name: string, nowMs: number): void {
    const use = this.#uses.get(name) ?? { count: 0, atMs: nowMs, readMs: 0, readAtMs: nowMs }
    use.count = 1 + use.count * Math.exp((use.atMs - nowMs) / useTermMs)
    use.atMs = nowMs
    // Deleting first keeps the map in order of the last request.
    this.#uses.delete(name)
    this.#uses.set(name, use)
    if (this.#uses.size > maxRemembered) this.#uses.delete(this.#uses.keys().next().value!)
  }

  /**
   * Takes over adapters whose use a former owner knew, in the order of their loads: what has stayed longest while others
   * were replaced is asked for most.
   */
  estimateUses (names: readonly string[], nowMs: number): void {
    names.forEach((name, index) => {
      if (!this.#uses.has(name)) this.#uses.set(name, { count: maxEstimatedUse * (names.length - index) / names.length, atMs: nowMs, readMs: 0, readAtMs: nowMs })
    })
  }

  /** The engine reads a prompt for the adapter. */
  recordRead (name: string, readMs: number, nowMs: number): void {
    const use = this.#uses.get(name)
    if (!use) return
    use.readMs = readMs + use.readMs * Math.exp((use.readAtMs - nowMs) / shareTermMs)
    use.readAtMs = nowMs
  }

  /** Part of the engine's time that prompts of an adapter took of late. */
  readShare (name: string, nowMs: number): number {
    const use = this.#uses.get(name)
    return use ? use.readMs * Math.exp((use.readAtMs - nowMs) / shareTermMs) / shareTermMs : 0
  }

  /** How often an adapter was asked for of late. */
  readUse (name: string, nowMs: number): number {
    const use = this.#uses.get(name)
    return use ? use.count * Math.exp((use.atMs - nowMs) / useTermMs) : 0
  }

  /** Keeps what is loaded now, as requests that this host does not know may use it. */
  keepAll (untilMs: number): void {
    this.#keptUntilMs = untilMs
    for (const adapter of this.#adapters.values()) adapter.isAdopted = true
  }

  /** What was kept may make way again. */
  releaseAll (): void {
    this.#keptUntilMs = 0
  }

  /** Finds the adapter that nobody uses and that is asked for least; undefined where all are in use. */
  findVictim (nowMs: number, isWanted: (name: string) => boolean): PlacedAdapter | undefined {
    let victim: PlacedAdapter | undefined
    let leastUse = Infinity
    for (const adapter of this.#adapters.values()) {
      if (adapter.state !== 'loaded' || adapter.running > 0 || adapter.isClosing || isWanted(adapter.name)) continue
      if (adapter.isAdopted && nowMs < this.#keptUntilMs) continue
      const isFresh = nowMs - adapter.usedAtMs < minIdleMs ? 1e6 : 0
      const use = this.readUse(adapter.name, nowMs) + isFresh
      if (use >= leastUse) continue
      victim = adapter
      leastUse = use
    }
    return victim
  }

  #count (matches: (adapter: PlacedAdapter) => boolean): number {
    let count = 0
    for (const adapter of this.#adapters.values()) if (matches(adapter)) count++
    return count
  }
}
