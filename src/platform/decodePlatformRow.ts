/** Decodes rows of the tables that operators and endpoints write into cluster updates. */
import type { AdapterVersion, EndpointEntry, RoutingConfiguration } from '../schemas/routing.js'
import { isEquivalentEntry } from '../core/clusterView.js'
import { decodeAdapterVersion, decodeConfiguration } from './decodeConfiguration.js'
import { decodeEndpoint } from './decodeEndpoint.js'
import { configurationKey, endpointsTable, operatorsTable, versionKeyPrefix } from './wireNames.js'

export { endpointsTable, operatorsTable } from './wireNames.js'

export type PlatformUpdate =
  | { kind: 'configuration', configuration: RoutingConfiguration }
  | { kind: 'version', version: AdapterVersion }
  /** A row whose sample may be logged, unlike the rest of it. */
  | { kind: 'unreadable', sample: string }
  /** `entry` is undefined if the row does not describe a usable endpoint. */
  | { kind: 'endpoint', id: string, entry: EndpointEntry | undefined }

/**
 * Decodes one row; undefined if it holds nothing that hosts use. A removed row has no value.
 *
 * @example
 * decodePlatformRow('op', 'config', bytes) // { kind: 'configuration', … }
 */
export function decodePlatformRow (table: string, key: string, value: Uint8Array | undefined): PlatformUpdate | undefined {
  if (table === endpointsTable) return { kind: 'endpoint', id: key, entry: value && decodeEndpoint(key, value) }
  if (table !== operatorsTable || !value) return undefined
  if (key === configurationKey) {
    const configuration = decodeConfiguration(value)
    return configuration ? { kind: 'configuration', configuration } : { kind: 'unreadable', sample: findKeylessPart(value) }
  }
  if (!key.startsWith(versionKeyPrefix)) return undefined
  const version = decodeAdapterVersion(value)
  return version && { kind: 'version', version }
}

/**
 * Whether two values of an endpoint's row differ at most in fields that hosts do not pass on: its order count and its
 * loaded adapters, which the owner reads from the endpoint itself.
 */
export function isEquivalentEndpointValue (table: string, key: string, previous: Uint8Array, current: Uint8Array): boolean {
  if (table !== endpointsTable) return false
  const [previousEntry, currentEntry] = [decodeEndpoint(key, previous), decodeEndpoint(key, current)]
  return previousEntry !== undefined && currentEntry !== undefined && isEquivalentEntry(previousEntry, currentEntry)
}

/** Where the keys of accounts may begin; a backslash may hide either name. */
const keysPattern = /tenants|apikeys|\\/i

/** Returns the beginning of a configuration that holds no key of an account. */
function findKeylessPart (value: Uint8Array): string {
  return Buffer.from(value).toString('utf8').split(keysPattern)[0]!
}
