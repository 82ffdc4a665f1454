/** Finds limits that contradict each other or that nothing can meet, by what hosts do with each value. */
import { extraHeadTimeMs, maxHostHeadBytes } from '../../constants.js'
import type { CallerLimits, ClientAccount, EngineSpec, RoutingConfiguration, ServiceSpec } from '../../schemas/routing.js'
import { AccountDirectory } from '../accountDirectory.js'
import { computeHostConnections } from '../hostConnections.js'
import { computeRequestCost } from '../quota/quotaTerms.js'
import type { FieldFinding } from './checkFinding.js'
import { findRouteContradictions } from './findRouteContradictions.js'

/**
 * Finds the contradictions of all parts of a configuration.
 *
 * @example
 * findContradictions(configuration)[0]?.message // 'the target of 900 ms is longer than the time-out of 500 ms, …'
 */
export function findContradictions (configuration: RoutingConfiguration): FieldFinding[] {
  const { services, accounts } = configuration
  return [
    ...findRouteContradictions(configuration),
    ...[...services.values()].flatMap(findServiceContradictions),
    ...(accounts ?? []).flatMap(findQuotaContradictions),
    ...findUnequalUnits(accounts ?? []),
    ...findLimitContradictions(configuration)
  ]
}

function findServiceContradictions (service: ServiceSpec): FieldFinding[] {
  const { name, maxConnections, engine } = service
  const findings: FieldFinding[] = []
  if (computeHostConnections(maxConnections, 1) > maxConnections) findings.push({ at: { entry: 'service', name, field: 'maxConnections' }, message: `each host opens one connection to an endpoint, whatever a limit of ${maxConnections} says` })
  return engine ? [...findings, ...findEngineContradictions(service, engine)] : findings
}

function findEngineContradictions ({ name, maxConnections }: ServiceSpec, { batchLimit, cacheTokens, adapterSlots, models }: EngineSpec): FieldFinding[] {
  const findings: FieldFinding[] = []
  const add = (field: keyof EngineSpec, message: string): void => { findings.push({ at: { entry: 'engine', name, field }, message }) }
  // Each connection carries one request at a time.
  const connections = computeHostConnections(maxConnections, 1)
  if (batchLimit < 1) add('batchLimit', `no request is granted with ${batchLimit} places in a batch`)
  else if (connections < batchLimit) add('batchLimit', `a batch of ${batchLimit} is never full, as hosts use ${connections} of the ${maxConnections} connections of an endpoint`)
  if (cacheTokens <= 0) add('cacheTokens', 'hosts take no count of prompt tokens for plausible, as none fits the cache')
  if (adapterSlots < 1 && models.some(({ adapterMb }) => adapterMb > 0)) add('adapterSlots', `its models have adapters, but no request with an adapter is granted with ${adapterSlots} slots`)
  if (models.length === 0) add('models', 'hosts have no model to load into an engine that has none')
  const seen = new Set<string>()
  const repeatedNames = models.map(model => model.name).filter(model => seen.size === seen.add(model).size)
  for (const repeated of new Set(repeatedNames)) add('models', `model "${repeated}" is listed more than once`)
  return findings
}

function findQuotaContradictions ({ name, quota }: ClientAccount): FieldFinding[] {
  if (!quota) return []
  const findings: FieldFinding[] = []
  const add = (field: 'burst' | 'plainTokens', message: string): void => { findings.push({ at: { entry: 'account', name, field }, message }) }
  const cost = computeRequestCost(quota, { promptTokens: 0, maxTokens: 0, hasTokenCounts: false })
  if (quota.burst < cost) add('burst', `the burst of ${quota.burst} is smaller than the ${cost} that ${quota.unit === 'tokens' ? 'a request without token counts' : 'a request'} costs, which is then served only out of what the hosts' settings tolerate above the quota`)
  if (quota.unit === 'requests' && quota.plainTokens > 0) add('plainTokens', 'it has no effect on a quota that counts requests')
  if (quota.unit === 'tokens' && quota.plainTokens === 0) add('plainTokens', 'requests without token counts cost nothing, so that the quota does not limit them')
  return findings
}

/** Accounts share scarce capacity by the rates of their quotas only if these can be compared. */
function findUnequalUnits (accounts: readonly ClientAccount[]): FieldFinding[] {
  const directory = new AccountDirectory(accounts)
  const isWeighted = accounts.every(({ name, quota }) => directory.getWeight(name) === (quota?.perSecond ?? 0))
  const hasRates = new Set(accounts.flatMap(({ quota }) => quota?.perSecond ?? [])).size > 1
  return isWeighted || !hasRates
    ? []
    : [{ at: { entry: 'configuration', field: 'accounts' }, message: 'some accounts have no quota or quotas of another unit, so that all share scarce capacity equally, whatever their rates' }]
}

function findLimitContradictions (configuration: RoutingConfiguration): FieldFinding[] {
  const { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs } = configuration.limits
  const findings: FieldFinding[] = []
  const add = (field: keyof CallerLimits, message: string): void => { findings.push({ at: { entry: 'limits', field }, message }) }
  if (maxHeaderBytes > maxHostHeadBytes) add('maxHeaderBytes', `hosts reject heads of more than ${maxHostHeadBytes} bytes, whatever a limit of ${maxHeaderBytes} says`)
  for (const [index, { name, size }] of listHeads(configuration).entries()) if (size > maxHeaderBytes) findings.push({ at: { entry: 'route', index, field: 'prefix' }, message: `the smallest head of a request for route "${name}" has ${size} bytes, more than the limit of ${maxHeaderBytes}` })
  if (maxBodyBytes < 0) add('maxBodyBytes', `every request is rejected, as no body has ${maxBodyBytes} bytes`)
  else if (maxBodyBytes < 1) add('maxBodyBytes', 'every request with a body is rejected')
  if (headerTimeoutMs <= -extraHeadTimeMs) add('headerTimeoutMs', `${headerTimeoutMs} ms turns the limit off`)
  else if (headerTimeoutMs <= 0) add('headerTimeoutMs', `hosts wait ${headerTimeoutMs + extraHeadTimeMs} ms for a head, whatever a limit of ${headerTimeoutMs} ms says`)
  if (idleTimeoutMs === 0) add('idleTimeoutMs', 'it turns the limit off: idle connections stay open')
  return findings
}

/** Computes the bytes of the shortest request for each route, with the shortest key where one is needed. */
function listHeads ({ routes, accounts }: RoutingConfiguration): { name: string, size: number }[] {
  const keyLength = (accounts ?? []).flatMap(({ keys }) => keys).reduce((least, key) => Math.min(least, key.length), Infinity)
  return routes.map(({ name, hostname, prefix, isPublic }) => {
    const credentials = isPublic || keyLength === Infinity ? '' : `Authorization: Bearer ${'x'.repeat(keyLength)}\r\n`
    return { name, size: Buffer.byteLength(`GET ${prefix} HTTP/1.1\r\nHost: ${hostname}\r\n${credentials}\r\n`) }
  })
}
