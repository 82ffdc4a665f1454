/** Estimates how long the requests of each route take, in the way in which TCP estimates round trips (RFC 6298). */

const meanWeight = 1 / 8
const deviationWeight = 1 / 4
const deviations = 4

interface RouteDuration {
  meanMs: number
  meanDeviationMs: number
}

export class DurationEstimator {
  #routes = new Map<string, RouteDuration>()

  record (route: string, ms: number): void {
    const known = this.#routes.get(route)
    if (!known) {
      this.#routes.set(route, { meanMs: ms, meanDeviationMs: ms / 2 })
      return
    }
    known.meanDeviationMs += deviationWeight * (Math.abs(ms - known.meanMs) - known.meanDeviationMs)
    known.meanMs += meanWeight * (ms - known.meanMs)
  }

  /**
   * Estimates a time in milliseconds within which nearly all requests of a route end; undefined before the first.
   *
   * @example
   * estimator.record('counter', 400)
   * estimator.estimateMs('counter') // 1200
   */
  estimateMs (route: string): number | undefined {
    const known = this.#routes.get(route)
    return known && known.meanMs + deviations * known.meanDeviationMs
  }

  /** Forgets all other routes. */
  retainRoutes (names: ReadonlySet<string>): void {
    for (const name of this.#routes.keys()) if (!names.has(name)) this.#routes.delete(name)
  }
}
