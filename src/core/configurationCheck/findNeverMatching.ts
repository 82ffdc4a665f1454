/** Finds entries of a configuration that no request can reach. */
import { maxHostHeadBytes } from '../../constants.js'
import type { Route, RouteTarget, RoutingConfiguration } from '../../schemas/routing.js'
import { pickService, RouteTable } from '../routeTable.js'
import type { FieldFinding } from './checkFinding.js'

/** What a request line can hold as a path; hosts reject other requests before they look for a route. */
const pathPattern = /^\/[^\s\p{Cc}]*$/u

/** The parts of a larger split are not checked, as the time for it grows with the square of their number. */
const maxSampledTargets = 2000

/**
 * Finds routes, accounts and services that no request reaches. Requests for the routes' own prefixes are looked up in the route
 * table of hosts.
 *
 * @example
 * findNeverMatching(configuration)[0] // { at: { entry: 'route', index: 2 }, message: 'hidden by route "chat" (entry 4), …' }
 */
export function findNeverMatching (configuration: RoutingConfiguration): FieldFinding[] {
  const table = new RouteTable(configuration)
  const problems = configuration.routes.map(route => describeUnmatched(route, table))
  const reached = configuration.routes.filter((_route, index) => problems[index] === undefined)
  return [
    ...problems.flatMap((message, index): FieldFinding[] => message === undefined ? [] : [{ at: { entry: 'route', index }, message }]),
    ...configuration.routes.flatMap((route, index) => listUnpickedTargets(route).map((service): FieldFinding =>
      ({ at: { entry: 'route', index, field: 'targets' }, message: `service "${service}" is never picked, as its weight is 0 or less` }))),
    ...findUnreachedServices(configuration, reached),
    ...findAccountsWithoutKey(configuration),
    ...findUnservedRoutes(configuration)
  ]
}

/** Tells why no request is served by a route; undefined if one can be. */
function describeUnmatched (route: Route, table: RouteTable): string | undefined {
  const { hostname, prefix } = route
  if (!pathPattern.test(prefix)) return `no request has a path that begins with "${prefix}"`
  if (hostname.length + prefix.length > maxHostHeadBytes) return `its host and prefix are longer than the ${maxHostHeadBytes} bytes of a request's head that hosts read`
  const found = table.findRoute(hostname, prefix)
  if (found === route) return undefined
  const { routes } = table.configuration
  const isSame = found !== undefined && `${found.hostname}${found.prefix}` === `${hostname}${prefix}`
  if (isSame) return `hidden by route "${found.name}" (entry ${routes.indexOf(found)}), which has the same host and prefix and comes later`
  if (/:\d+$/.test(hostname)) return 'hosts look a route up by the host without its port, so that a hostname with a port matches nothing'
  if (prefix.includes('?')) return 'hosts look a route up by the path without its query, so that a prefix with "?" matches nothing'
  return `a prefix matches only if it ends with "/"; hosts answer ${found ? `by route "${found.name}"` : 'with 404'}`
}

/** Finds the services that hosts pick for no random number: one is tried within each part that a target may take of all numbers. */
function listUnpickedTargets ({ targets }: Route): string[] {
  const picked = listPickedServices(targets)
  return [...new Set(targets.map(({ service }) => service))].filter(service => !picked.has(service))
}

function listPickedServices (targets: readonly RouteTarget[]): Set<string> {
  if (targets.length > maxSampledTargets) return new Set(targets.map(({ service }) => service))
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let sum = 0
  const bounds = total === 0 ? [] : targets.map(({ weight }) => (sum += weight) / total).filter(bound => bound > 0 && bound < 1)
  const ordered = [0, ...bounds.sort((left, right) => left - right), 1]
  const fractions = ordered.slice(1).map((bound, index) => (bound + ordered[index]!) / 2)
  return new Set(fractions.flatMap(fraction => pickService(targets, fraction) ?? []))
}

function findUnreachedServices ({ services }: RoutingConfiguration, reached: readonly Route[]): FieldFinding[] {
  const picked = new Set(reached.flatMap(({ targets }) => [...listPickedServices(targets)]))
  return [...services.values()].filter(({ name }) => !picked.has(name)).map(({ name, engine }) => {
    const models = engine ? `, nor its models ${engine.models.map(model => `"${model.name}"`).join(', ') || '(none)'} and their adapters` : ''
    return { at: { entry: 'service', name }, message: `no route reaches this service${models}` }
  })
}

function findAccountsWithoutKey ({ accounts = [] }: RoutingConfiguration): FieldFinding[] {
  return accounts.filter(({ keys }) => keys.length === 0)
    .map(({ name }) => ({ at: { entry: 'account', name }, message: 'the account has no usable key, so that no request is served for it' }))
}

function findUnservedRoutes ({ routes, accounts }: RoutingConfiguration): FieldFinding[] {
  const hasKey = accounts === undefined || accounts.some(({ keys }) => keys.length > 0)
  return hasKey
    ? []
    : routes.flatMap(({ isPublic }, index): FieldFinding[] => isPublic ? [] : [{ at: { entry: 'route', index }, message: 'it needs the key of an account and no account has one, so that every request gets 401' }])
}
