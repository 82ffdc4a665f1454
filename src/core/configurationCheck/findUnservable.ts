/** Finds values that hosts decode and cannot serve by. */
import type { Route, RoutingConfiguration } from '../../schemas/routing.js'
import { ConfigurationOrder } from '../configurationOrder.js'
import type { FieldFinding } from './checkFinding.js'

/**
 * Finds routes without a known service and values at which hosts fail.
 *
 * @example
 * findUnservable(configuration)[0]?.message // 'the configuration has no service "chat-pool"; …'
 */
export function findUnservable (configuration: RoutingConfiguration): FieldFinding[] {
  const { limits, routes } = configuration
  const findings = routes.flatMap((route, index) => describeRoute(route, configuration).map(({ field, message }): FieldFinding => ({ at: { entry: 'route', index, field }, message })))
  if (limits.idleTimeoutMs < 0) findings.push({ at: { entry: 'limits', field: 'idleTimeoutMs' }, message: `${limits.idleTimeoutMs} ms is no time; hosts set no limit then, and those of earlier versions end below -1000 ms` })
  return findings
}

function describeRoute ({ targets, rank }: Route, { services }: RoutingConfiguration): { field: keyof Route, message: string }[] {
  const unknown = [...new Set(targets.map(({ service }) => service))].filter(service => !services.has(service))
  return [
    ...(targets.length === 0 ? [{ field: 'targets' as const, message: 'the route names no service, so that every request is refused' }] : []),
    ...unknown.map(service => ({ field: 'targets' as const, message: `the configuration has no service "${service}"; hosts take its endpoints for ones without models and open one connection each` })),
    ...(Number.isSafeInteger(rank) ? [] : [{ field: 'rank' as const, message: `the priority ${rank} is not an integer; hosts drop each other's messages with it` }])
  ]
}

/**
 * Whether hosts that have a configuration of version `inForce` would take over one of `version`.
 *
 * @example
 * isTakenOver(8, 7) // false
 */
export function isTakenOver (inForce: number, version: number): boolean {
  const order = new ConfigurationOrder()
  const row = { table: '', key: '', version: 1, value: undefined }
  order.decide(row, inForce, false)
  return order.decide({ ...row, version: 2 }, version, false) === 'apply'
}
