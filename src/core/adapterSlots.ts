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
  /** May not be unloaded before this time, because the last unload was not carried out. */
  keptUntilMs: number
  /** Takes no more requests, so that its slot falls free. */
  isDraining: boolean
  /** Its load was given up before it began, as nobody waited for it any more. */
  isWithdrawn: boolean
  plannedAtMs: number
  /** When the load got its permit. */
  startedAtMs: number | undefined
  loadedAtMs: number | undefined
}

export class AdapterSlots {
  #limit: number
  #blocked = 0
  #residents = new Map<string, Resident>()

  constructor (limit: number) {
    this.#limit = limit
  }

  get free (): number {
    return this.#limit - this.#blocked - this.#residents.size
  }

  /** Sets how many slots hold adapters that no request may use. */
  setBlocked (count: number): void {
    this.#blocked = count
  }

  get pending (): number {
    return this.#count(resident => resident.handle === undefined)
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
      keptUntilMs: nowMs,
      isDraining: false,
      isWithdrawn: false,
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

  /** Finds the loaded resident whose slot costs least to give up; undefined where all are being loaded or unloaded. */
  findVictim (computeCost: (resident: Resident) => number): Resident | undefined {
    let least: Resident | undefined
    let leastCost = Infinity
    for (const resident of this.#residents.values()) {
      if (!isUsable(resident)) continue
      const cost = computeCost(resident)
      if (cost >= leastCost) continue
      least = resident
      leastCost = cost
    }
    return least
  }

  /** Residents that give up their slots, at once or when what they run has ended. */
  get leaving (): number {
    return this.#count(resident => resident.isUnloading || resident.isDraining)
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
  return isUsable(resident) && resident.running === 0
}
