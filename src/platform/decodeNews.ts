/** Decodes rows of the tables that operators and endpoints write into news for the hosts. */
import type { AdapterVersion, EndpointEntry, RoutingConfiguration } from '../schemas/routing.js'
import { isSameEntry } from '../core/newsBoard.js'
import { decodeAdapterVersion, decodeConfiguration } from './decodeConfiguration.js'
import { decodeEndpoint } from './decodeEndpoint.js'
import { configurationKey, endpointsTable, operatorsTable, versionKeyPrefix } from './wireNames.js'

export { endpointsTable, operatorsTable } from './wireNames.js'

export type PlatformNews =
  | { kind: 'configuration', configuration: RoutingConfiguration }
  | { kind: 'version', version: AdapterVersion }
  /** `entry` is undefined where the row names no endpoint that could be used. */
  | { kind: 'endpoint', id: string, entry: EndpointEntry | undefined }

/**
 * Decodes one row; undefined where it holds nothing that hosts use. A row that was removed has no value.
 *
 * @example
 * decodePlatformRow('op', 'config', bytes) // { kind: 'configuration', … }
 */
export function decodePlatformRow (table: string, key: string, value: Uint8Array | undefined): PlatformNews | undefined {
  if (table === endpointsTable) return { kind: 'endpoint', id: key, entry: value && decodeEndpoint(key, value) }
  if (table !== operatorsTable || !value) return undefined
  if (key === configurationKey) {
    const configuration = decodeConfiguration(value)
    return configuration && { kind: 'configuration', configuration }
  }
  if (!key.startsWith(versionKeyPrefix)) return undefined
  const version = decodeAdapterVersion(value)
  return version && { kind: 'version', version }
}

/**
 * Whether two values of an endpoint's row differ only in what hosts don't pass on: its count of orders and what it
 * has loaded, which the owner learns from the endpoint itself.
 */
export function isSameEndpointNews (table: string, key: string, before: Uint8Array, after: Uint8Array): boolean {
  if (table !== endpointsTable) return false
  const [older, newer] = [decodeEndpoint(key, before), decodeEndpoint(key, after)]
  return older !== undefined && newer !== undefined && isSameEntry(older, newer)
}
