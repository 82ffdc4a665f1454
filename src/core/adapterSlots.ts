/** The adapter slots of one endpoint: which adapters are loaded, how many requests they run and which one to evict. */
import { formatAdapterVersion } from './handleFormat.js'

/** An adapter that occupies a slot: loading, loaded or being unloaded. */
export interface ResidentAdapter {
  name: string
  adapter: string
  version: string
  /** Undefined while the adapter is being loaded. */
  handle: string | undefined
  /** Number of requests that run with the adapter. */
  running: number
  /** When the last of the running requests is expected to end. */
  busyUntilMs: number
  isUnloading: boolean
  /** The adapter is not unloaded before this time, because the last unload was not carried out. */
  noUnloadUntilMs: number
  /** The adapter gets no new requests, so that it can be unloaded when its running requests have ended. */
  isDraining: boolean
  /** The planned load was cancelled before it started, because no request waited for it any more. */
  isWithdrawn: boolean
  plannedAtMs: number
  /** When the load got its permit; undefined before that. */
  startedAtMs: number | undefined
  loadedAtMs: number | undefined
}

export class AdapterSlots {
  #limit: number
  #blockedCount = 0
  #residents = new Map<string, ResidentAdapter>()

  constructor (limit: number) {
    this.#limit = limit
  }

  /** Number of slots that are neither occupied nor blocked. */
  get freeCount (): number {
    return this.#limit - this.#blockedCount - this.#residents.size
  }

  /** Sets how many slots are blocked by adapters that no request may use. */
  setBlockedCount (count: number): void {
    this.#blockedCount = count
  }

  /** Number of adapters whose load is planned or running. */
  get pendingCount (): number {
    return this.#count(resident => resident.handle === undefined)
  }

  /** Number of loaded adapters that run no request and are not being evicted. */
  get idleCount (): number {
    return this.#count(isIdle)
  }

  find (name: string): ResidentAdapter | undefined {
    return this.#residents.get(name)
  }

  list (): IterableIterator<ResidentAdapter> {
    return this.#residents.values()
  }

  add (adapter: string, version: string, nowMs: number): ResidentAdapter {
    const name = formatAdapterVersion(adapter, version)
    const resident: ResidentAdapter = {
      name,
      adapter,
      version,
      handle: undefined,
      running: 0,
      busyUntilMs: nowMs,
      isUnloading: false,
      noUnloadUntilMs: nowMs,
      isDraining: false,
      isWithdrawn: false,
      plannedAtMs: nowMs,
      startedAtMs: undefined,
      loadedAtMs: undefined
    }
    this.#residents.set(name, resident)
    return resident
  }

  findByHandle (handle: string): ResidentAdapter | undefined {
    for (const resident of this.#residents.values()) if (resident.handle === handle) return resident
    return undefined
  }

  remove (name: string): void {
    this.#residents.delete(name)
  }

  clear (): void {
    this.#residents.clear()
  }

  /** Finds the loaded adapter with the lowest eviction cost; undefined if none is usable or all cost Infinity. */
  findEvictionCandidate (computeCost: (resident: ResidentAdapter) => number): ResidentAdapter | undefined {
    let cheapest: ResidentAdapter | undefined
    let lowestCost = Infinity
    for (const resident of this.#residents.values()) {
      if (!isUsable(resident)) continue
      const cost = computeCost(resident)
      if (cost >= lowestCost) continue
      cheapest = resident
      lowestCost = cost
    }
    return cheapest
  }

  /** Number of adapters that are being evicted: unloading, or draining until their running requests have ended. */
  get evictingCount (): number {
    return this.#count(resident => resident.isUnloading || resident.isDraining)
  }

  #count (matches: (resident: ResidentAdapter) => boolean): number {
    let count = 0
    for (const resident of this.#residents.values()) if (matches(resident)) count++
    return count
  }
}

/** Whether new requests may be dispatched to the adapter. */
export function isUsable (resident: ResidentAdapter): boolean {
  return resident.handle !== undefined && !resident.isUnloading && !resident.isDraining
}

function isIdle (resident: ResidentAdapter): boolean {
  return isUsable(resident) && resident.running === 0
}
