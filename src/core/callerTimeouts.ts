/** Estimates how long a caller has been trying, from the remaining time that it sends. */

/**
 * A remaining time is a candidate for the initial timeout if at least this fraction of a route's requests sent it, and at least
 * `minTimeoutCount` of them. The largest candidate is taken.
 */
const minTimeoutFraction = 0.05
const minTimeoutCount = 4
/** A time that this fraction of the requests sent is always an initial timeout, as a route may have several kinds of callers. */
const majorityFraction = 0.5
/** The counts are halved above this many requests, so that changes of the callers' timeouts are detected. */
const maxCounted = 1000

interface RouteTimeouts {
  /** Number of requests by remaining time, in whole milliseconds. */
  counts: Map<number, number>
  counted: number
}

/**
 * Learns which timeouts the callers of a route send with their first attempts. A caller that was refused, or whose host went
 * away, retries with what is left of that time.
 *
 * @example
 * timeouts.recordTimeLeft('counter', 6000)
 * timeouts.estimateElapsedMs('counter', 4500) // 1500, once 6000 is a known timeout
 */
export class CallerTimeouts {
  #routes = new Map<string, RouteTimeouts>()

  recordTimeLeft (route: string, timeLeftMs: number): void {
    let timeouts = this.#routes.get(route)
    if (!timeouts) this.#routes.set(route, timeouts = { counts: new Map(), counted: 0 })
    const rounded = Math.round(timeLeftMs)
    timeouts.counts.set(rounded, (timeouts.counts.get(rounded) ?? 0) + 1)
    if (++timeouts.counted > maxCounted) halveCounts(timeouts)
  }

  /** Time since the caller's first attempt; 0 where its timeout is not known. */
  estimateElapsedMs (route: string, timeLeftMs: number): number {
    const timeouts = this.#routes.get(route)
    if (!timeouts) return 0
    const rounded = Math.round(timeLeftMs)
    let timeoutMs = rounded
    for (const [value, count] of timeouts.counts) {
      if (count < minTimeoutCount || count < minTimeoutFraction * timeouts.counted || value < rounded) continue
      if (count >= majorityFraction * timeouts.counted) return value - timeLeftMs
      timeoutMs = Math.max(timeoutMs, value)
    }
    return Math.max(0, timeoutMs - timeLeftMs)
  }

  /** Removes all routes but those of `names`, the configured ones. */
  retainRoutes (names: ReadonlySet<string>): void {
    for (const name of this.#routes.keys()) if (!names.has(name)) this.#routes.delete(name)
  }
}

function halveCounts (timeouts: RouteTimeouts): void {
  timeouts.counted = 0
  for (const [value, count] of timeouts.counts) {
    const kept = Math.floor(count / 2)
    if (kept === 0) timeouts.counts.delete(value)
    else timeouts.counts.set(value, kept)
    timeouts.counted += kept
  }
}
