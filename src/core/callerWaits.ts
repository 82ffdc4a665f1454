/** Tells how long a caller has been trying, from the time that it says it will still wait. */

/** The largest time that this part of a route's requests tell, and at least so many, is that of first tries. */
const usualPart = 0.05
const usualCount = 4
/** A time that this part tells is one of first tries too, where a route has callers of several kinds. */
const majorPart = 0.5
/** Beyond so many requests the counts are halved, so that a change of the callers' habits is followed. */
const maxCounted = 1000

interface RouteWaits {
  /** How often each time was told, in whole milliseconds. */
  counts: Map<number, number>
  counted: number
}

/**
 * Learns which times the callers of a route tell at their first try. A caller that was refused, or met a host that was
 * gone, comes back with what it has left of that time.
 *
 * @example
 * waits.recordTimeLeft('counter', 6000)
 * waits.computeSpentMs('counter', 4500) // 1500, once 6000 is known to be usual
 */
export class CallerWaits {
  #routes = new Map<string, RouteWaits>()

  recordTimeLeft (route: string, timeLeftMs: number): void {
    let waits = this.#routes.get(route)
    if (!waits) this.#routes.set(route, waits = { counts: new Map(), counted: 0 })
    const rounded = Math.round(timeLeftMs)
    waits.counts.set(rounded, (waits.counts.get(rounded) ?? 0) + 1)
    if (++waits.counted > maxCounted) halveCounts(waits)
  }

  /** Time since the caller's first try; 0 where its habits are not known. */
  computeSpentMs (route: string, timeLeftMs: number): number {
    const waits = this.#routes.get(route)
    if (!waits) return 0
    const rounded = Math.round(timeLeftMs)
    let full = rounded
    for (const [value, count] of waits.counts) {
      if (count < usualCount || count < usualPart * waits.counted || value < rounded) continue
      if (count >= majorPart * waits.counted) return value - timeLeftMs
      full = Math.max(full, value)
    }
    return Math.max(0, full - timeLeftMs)
  }

  /** Drops routes that are no longer configured. */
  keepRoutes (names: ReadonlySet<string>): void {
    for (const name of this.#routes.keys()) if (!names.has(name)) this.#routes.delete(name)
  }
}

function halveCounts (waits: RouteWaits): void {
  waits.counted = 0
  for (const [value, count] of waits.counts) {
    const kept = Math.floor(count / 2)
    if (kept === 0) waits.counts.delete(value)
    else waits.counts.set(value, kept)
    waits.counted += kept
  }
}
