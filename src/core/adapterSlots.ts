/** The adapter slots of one endpoint: what is loaded, what runs there and which slot is given up for another load. */
import { formatAdapter } from './formatAdapter.js'

export interface Resident {
  name: string
  adapter: string
  version: string
  /** Undefined while the adapter is being loaded. */
  handle: string | undefined
  running: number
  /** When the last of the requests that run is expected to end. */
  busyUntilMs: number
  isUnloading: boolean
  /** Takes no more requests, so that its slot falls free. */
  isDraining: boolean
  plannedAtMs: number
  /** When the load got its permit. */
  startedAtMs: number | undefined
  loadedAtMs: number | undefined
}

export class AdapterSlots {
  #limit: number
  #residents = new Map<string, Resident>()

  constructor (limit: number) {
    this.#limit = limit
  }

  get free (): number {
    return this.#limit - this.#residents.size
  }

  get pending (): number {
    return this.#count(resident => resident.handle === undefined)
  }

  get unloading (): number {
    return this.#count(resident => resident.isUnloading)
  }

  /** Loaded residents that run nothing and are not being unloaded. */
  get idle (): number {
    return this.#count(isIdle)
  }

  find (name: string): Resident | undefined {
    return this.#residents.get(name)
  }

  list (): IterableIterator<Resident> {
    return this.#residents.values()
  }

  add (adapter: string, version: string, nowMs: number): Resident {
    const name = formatAdapter(adapter, version)
    const resident: Resident = {
      name,
      adapter,
      version,
      handle: undefined,
      running: 0,
      busyUntilMs: nowMs,
      isUnloading: false,
      isDraining: false,
      plannedAtMs: nowMs,
      startedAtMs: undefined,
      loadedAtMs: undefined
    }
    this.#residents.set(name, resident)
    return resident
  }

  findByHandle (handle: string): Resident | undefined {
    for (const resident of this.#residents.values()) if (resident.handle === handle) return resident
    return undefined
  }

  remove (name: string): void {
    this.#residents.delete(name)
  }

  clear (): void {
    this.#residents.clear()
  }

  /** Finds the idle resident whose loss costs least; undefined where none may go. */
  findVictim (computeCost: (resident: Resident) => number): Resident | undefined {
    return findLeast(this.#residents.values(), isIdle, computeCost)
  }

  /** Finds the busy resident that is expected to fall idle first. */
  findDrainable (mayDrain: (resident: Resident) => boolean): Resident | undefined {
    return findLeast(this.#residents.values(), resident => isUsable(resident) && mayDrain(resident), resident => resident.busyUntilMs)
  }

  /** Time until a slot can be given up, in milliseconds; 0 where one is free or idle. */
  computeSlotWaitMs (nowMs: number): number {
    if (this.free > 0 || this.idle > 0 || this.unloading > 0) return 0
    let firstMs = Infinity
    for (const resident of this.#residents.values()) if (resident.handle) firstMs = Math.min(firstMs, resident.busyUntilMs)
    return Number.isFinite(firstMs) ? Math.max(0, firstMs - nowMs) : 0
  }

  #count (matches: (resident: Resident) => boolean): number {
    let count = 0
    for (const resident of this.#residents.values()) if (matches(resident)) count++
    return count
  }
}

/** Whether new requests may be sent to the resident. */
export function isUsable (resident: Resident): boolean {
  return resident.handle !== undefined && !resident.isUnloading && !resident.isDraining
}

function isIdle (resident: Resident): boolean {
  return resident.handle !== undefined && !resident.isUnloading && resident.running === 0
}

function findLeast (
  residents: Iterable<Resident>, matches: (resident: Resident) => boolean, computeCost: (resident: Resident) => number
): Resident | undefined {
  let least: Resident | undefined
  let leastCost = Infinity
  for (const resident of residents) {
    if (!matches(resident)) continue
    const cost = computeCost(resident)
    if (cost >= leastCost) continue
    least = resident
    leastCost = cost
  }
  return least
}
