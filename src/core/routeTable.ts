/** Finds the route of a request by its host and the longest prefix of its path. */
import type { Route, RouteTarget, RoutingConfiguration } from '../schemas/routing.js'

/**
 * An index of the routes of one configuration.
 *
 * @example
 * new RouteTable(configuration).findRoute('town.example', '/claims/2f')?.name
 */
export class RouteTable {
  readonly configuration: RoutingConfiguration
  #routes = new Map<string, Route>()

  constructor (configuration: RoutingConfiguration) {
    this.configuration = configuration
    for (const route of configuration.routes) this.#routes.set(`${route.hostname}${route.prefix}`, route)
  }

  /** `host` may carry a port, `path` a query. */
  findRoute (host: string, path: string): Route | undefined {
    const hostname = host.replace(/:\d+$/, '').toLowerCase()
    const query = path.indexOf('?')
    let end = query < 0 ? path.length : query
    while (end > 0) {
      const slash = path.lastIndexOf('/', end - 1)
      if (slash < 0) return undefined
      const route = this.#routes.get(`${hostname}${path.slice(0, slash + 1)}`)
      if (route) return route
      end = slash
    }
    return undefined
  }
}

/**
 * Picks the service of a request from a route's split; `fraction` is a random number from 0 up to 1.
 *
 * @example
 * pickService([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], 0.95) // 'b'
 */
export function pickService (targets: readonly RouteTarget[], fraction: number): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let left = fraction * total
  for (const { service, weight } of targets) {
    left -= weight
    if (left < 0) return service
  }
  return targets.at(-1)?.service
}
