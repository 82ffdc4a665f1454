/** Keeps how long the latest requests of each route took. */

/** Durations that are kept of a route. */
const maxDurations = 128

interface RouteDurations {
  ms: number[]
  /** Where the next duration is written once the list is full. */
  next: number
}

export class RecentDurations {
  #routes = new Map<string, RouteDurations>()

  record (route: string, ms: number): void {
    const known = this.#routes.get(route) ?? { ms: [], next: 0 }
    this.#routes.set(route, known)
    known.ms[known.next] = ms
    known.next = (known.next + 1) % maxDurations
  }

  /**
   * Finds the time in milliseconds within which a fraction of a route's latest requests ended; undefined before the first.
   *
   * @example
   * durations.record('counter', 400)
   * durations.findQuantileMs('counter', 0.95) // 400
   */
  findQuantileMs (route: string, fraction: number): number | undefined {
    const sorted = [...this.#routes.get(route)?.ms ?? []].sort((left, right) => left - right)
    return sorted[Math.ceil(fraction * sorted.length) - 1]
  }

  /** Forgets all other routes. */
  retainRoutes (names: ReadonlySet<string>): void {
    for (const name of this.#routes.keys()) if (!names.has(name)) this.#routes.delete(name)
  }
}
