/** Finds the route of a request by its host name and the longest matching path prefix. */
import { AccountDirectory } from './accountDirectory.js'
import type { Route, RouteTarget, RoutingConfiguration } from '../schemas/routing.js'

/**
 * Index of the routes of one configuration.
 *
 * @example
 * new RouteTable(configuration).findRoute('town.example', '/claims/2f')?.name
 */
export class RouteTable {
  readonly configuration: RoutingConfiguration
  /** Undefined if the configuration has no accounts, so that no keys are checked. */
  readonly accounts: AccountDirectory | undefined
  #routes = new Map<string, Route>()

  constructor (configuration: RoutingConfiguration) {
    this.configuration = configuration
    this.accounts = configuration.accounts && new AccountDirectory(configuration.accounts)
    for (const route of configuration.routes) this.#routes.set(`${route.hostname}${route.prefix}`, route)
  }

  /** `host` may include a port, `path` a query string. */
  findRoute (host: string, path: string): Route | undefined {
    const hostname = host.replace(/:\d+$/, '').toLowerCase()
    const queryIndex = path.indexOf('?')
    let end = queryIndex < 0 ? path.length : queryIndex
    while (end > 0) {
      const slashIndex = path.lastIndexOf('/', end - 1)
      if (slashIndex < 0) return undefined
      const route = this.#routes.get(`${hostname}${path.slice(0, slashIndex + 1)}`)
      if (route) return route
      end = slashIndex
    }
    return undefined
  }
}

/**
 * Picks a service by the weights of a route's targets; `fraction` is a random number in the range [0, 1).
 *
 * @example
 * pickService([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], 0.95) // 'b'
 */
export function pickService (targets: readonly RouteTarget[], fraction: number): string | undefined {
  const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = fraction * totalWeight
  for (const { service, weight } of targets) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return targets.at(-1)?.service
}
