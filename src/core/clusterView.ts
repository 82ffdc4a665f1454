/** A host's local view of the configuration, endpoints, owners, adapter versions and other hosts, built from store rows. */
import type { StoreRow } from '../ports/store.js'
import { decodeHostsRow, decodeRenewal, hostsTable, parseHostsKey, renewalsTable } from '../schemas/hostRows.js'
import type { HostRow, OwnerRow, RenewalRow, ServiceVersionsRow, SuspectRow, WrittenInEra } from '../schemas/hostRows.js'
import type { AccountDefect, AdapterVersion, EndpointEntry, RoutingConfiguration } from '../schemas/routing.js'
import { ConfigurationOrder } from './configurationOrder.js'
import { EndpointDirectory } from './endpointDirectory.js'
import { RouteTable } from './routeTable.js'
import { StoreEra, computeFencingToken } from './storeEra.js'

/** A decoded row of one of the tables that operators and endpoints write. */
export type DecodedUpdate =
  | { kind: 'configuration', configuration: RoutingConfiguration }
  | { kind: 'version', version: AdapterVersion }
  /** `sample` is what may be logged of the row. */
  | { kind: 'unreadable', sample: string }
  | { kind: 'endpoint', id: string, entry: EndpointEntry | undefined }

/** Decodes a row; returns undefined if the row has no meaning for hosts or its value cannot be decoded. */
export type DecodeUpdate = (table: string, key: string, value: Uint8Array | undefined) => DecodedUpdate | undefined

export interface KnownOwner {
  readonly row: OwnerRow
  /** Version of the owner row in the store, in the latest era in which the table was read. */
  readonly version: number
}

export interface KnownHost {
  readonly row: HostRow
  /** Version of the host row in the store. */
  readonly version: number
}

export interface KnownServiceVersions {
  readonly row: ServiceVersionsRow
  /** Version of the row in the store; 0 if the store has none. */
  readonly version: number
}

interface HeldConfiguration {
  readonly row: StoreRow
  readonly configuration: RoutingConfiguration
  readonly dueAtMs: number
}

/** After a restore operators write within this time what the store has lost of theirs. */
const restoredConfigurationHoldMs = 5000

/** A change of the cluster view. */
export type ClusterViewChange =
  | { kind: 'configuration', version: number, previousVersion: number | undefined, accountDefects: readonly AccountDefect[] }
  | { kind: 'version', version: AdapterVersion }
  | { kind: 'endpoint', id: string, entry: EndpointEntry | undefined }
  | { kind: 'owner', endpointId: string, owner: KnownOwner | undefined }
  | { kind: 'host', name: string, host: KnownHost | undefined }
  /** `suspect` is undefined if the row was removed; `name` identifies the row. `mayBeRestored`: the store may only have lost a later change. */
  | { kind: 'suspect', name: string, suspect: SuspectRow | undefined, version: number, mayBeRestored: boolean }
  | { kind: 'serviceVersions', service: string }
  | { kind: 'renewal', host: string, renewal: RenewalRow | undefined, version: number }
  | { kind: 'unreadable', table: string, key: string, sample: string }

export class ClusterView {
  readonly endpoints: EndpointDirectory
  readonly owners = new Map<string, KnownOwner>()
  readonly hosts = new Map<string, KnownHost>()
  /** Rows with the software versions of services, by service. */
  readonly serviceVersions = new Map<string, KnownServiceVersions>()
  #hostsVersion = 0
  #decodeUpdate: DecodeUpdate
  #eras: StoreEra
  /** The earliest era that a row names as the first one. */
  #firstEra: number | undefined
  #routes: RouteTable | undefined
  #configurationOrder = new ConfigurationOrder()
  #heldConfiguration: HeldConfiguration | undefined
  /** Newest declared adapter versions, keyed by `model/adapter`. */
  #versions = new Map<string, AdapterVersion>()

  /** `heartbeatMs`: interval at which an endpoint rewrites its entry in the store. */
  constructor (decodeUpdate: DecodeUpdate, heartbeatMs?: number, eras = new StoreEra()) {
    this.#decodeUpdate = decodeUpdate
    this.#eras = eras
    this.endpoints = new EndpointDirectory(heartbeatMs)
  }

  /** Undefined until a configuration has been received. */
  get routes (): RouteTable | undefined {
    return this.#routes
  }

  /** Incremented whenever a host is added, removed or changed. */
  get hostsVersion (): number {
    return this.#hostsVersion
  }

  /** Returns the declared version of an adapter, or 0 if none was declared. */
  findAdapterVersion (model: string, adapter: string): number {
    return this.#versions.get(`${model}/${adapter}`)?.version ?? 0
  }

  /** What this host writes into its rows about the era. */
  get writtenInEra (): WrittenInEra {
    const { current } = this.#eras
    return current === undefined ? {} : { era: current, firstEra: this.firstEra! }
  }

  /** Era in which the deployment began to count eras; undefined while the store has named none. */
  get firstEra (): number | undefined {
    const { current } = this.#eras
    return current === undefined ? undefined : Math.min(current, this.#firstEra ?? current)
  }

  /** Computes the fencing token of an owner row that was written in an era. */
  computeFencingToken (version: number, era: number | undefined): number {
    return computeFencingToken(version, era, this.firstEra)
  }

  /**
   * Whether the store may have lost a later owner of an endpoint: the row, or its absence, is from before the latest era, and nobody
   * has confirmed it since.
   */
  isUncertainOwner (owner: KnownOwner | undefined): boolean {
    return this.isUncertainRow(owner?.row)
  }

  /** Whether the store may have lost a later change of a row of this deployment's hosts, or the row itself. */
  isUncertainRow (row: WrittenInEra | undefined): boolean {
    const { current } = this.#eras
    return current !== undefined && current > this.firstEra! && row?.era !== current
  }

  /** Whether a row comes from a copy that the store was restored from: it was written in an earlier era. */
  isOfEarlierEra (row: WrittenInEra): boolean {
    const { current } = this.#eras
    return current !== undefined && row.era !== undefined && row.era < current
  }

  /** Begins a new era of the store: rows that are read next may be older than those that are known. */
  beginEra (nowMs: number): void {
    this.#configurationOrder.beginEra()
    this.endpoints.beginEra(nowMs)
  }

  /** Puts a configuration in force that was held back, if no operator has written another one in time. */
  releaseHeldConfiguration (nowMs: number): ClusterViewChange | undefined {
    const held = this.#heldConfiguration
    if (!held || nowMs < held.dueAtMs) return undefined
    this.#heldConfiguration = undefined
    this.#configurationOrder.acceptHeld(held.row, held.configuration.version)
    return this.#putInForce(held.configuration)
  }

  /**
   * Applies a changed row; returns the resulting change, or undefined if nothing relevant changed. `mayBeRestored`: the row may be of a
   * copy that the store was restored from.
   */
  applyRow (row: StoreRow, nowMs: number, mayBeRestored = false): ClusterViewChange | undefined {
    if (row.table === hostsTable) return this.#applyHostsRow(row, mayBeRestored)
    if (row.table === renewalsTable) return { kind: 'renewal', host: row.key, renewal: row.value && decodeRenewal(row.value), version: row.version }
    const decoded = this.#decodeUpdate(row.table, row.key, row.value)
    if (!decoded) return row.value && createUnreadableChange(row)
    if (decoded.kind === 'unreadable') return createUnreadableChange(row, Buffer.from(decoded.sample))
    if (decoded.kind === 'configuration') return this.#applyConfiguration(row, decoded.configuration, nowMs, mayBeRestored)
    if (decoded.kind === 'version') return this.#applyVersion(decoded.version)
    if (decoded.entry) return mayBeRestored && this.endpoints.isOutdated(decoded.entry) ? undefined : this.#applyEntry(decoded.id, decoded.entry, nowMs)
    this.endpoints.recordRemoval(decoded.id, nowMs, row.value === undefined)
    return row.value ? createUnreadableChange(row) : decoded
  }

  /**
   * Endpoints rewrite their entries all the time. A change that affects only the loaded models or the order count is not
   * reported, as it matters only to code that looks the entry up.
   */
  #applyEntry (id: string, entry: EndpointEntry, nowMs: number): ClusterViewChange | undefined {
    const before = this.endpoints.find(id, nowMs)
    this.endpoints.recordEntry(entry, nowMs)
    return before && isEquivalentEntry(before, entry) ? undefined : { kind: 'endpoint', id, entry }
  }

  #applyConfiguration (row: StoreRow, configuration: RoutingConfiguration, nowMs: number, mayBeRestored: boolean): ClusterViewChange | undefined {
    // Rows may arrive in any order, so an older version never replaces a newer one.
    const decision = this.#configurationOrder.decide(row, configuration.version, mayBeRestored)
    this.#heldConfiguration = decision === 'hold' ? { row, configuration, dueAtMs: nowMs + restoredConfigurationHoldMs } : undefined
    return decision === 'apply' ? this.#putInForce(configuration) : undefined
  }

  #putInForce (configuration: RoutingConfiguration): ClusterViewChange {
    const previousVersion = this.#routes?.configuration.version
    this.#routes = new RouteTable(configuration)
    return { kind: 'configuration', version: configuration.version, previousVersion, accountDefects: configuration.accountDefects ?? [] }
  }

  #applyVersion (version: AdapterVersion): ClusterViewChange | undefined {
    const name = `${version.model}/${version.adapter}`
    if ((this.#versions.get(name)?.version ?? 0) >= version.version) return undefined
    this.#versions.set(name, version)
    return { kind: 'version', version }
  }

  #applyHostsRow ({ key, version, value }: StoreRow, mayBeRestored: boolean): ClusterViewChange | undefined {
    const decoded = value && decodeHostsRow(key, value)
    if (decoded && 'firstEra' in decoded.row) this.#firstEra = Math.min(this.#firstEra ?? Infinity, decoded.row.firstEra ?? Infinity)
    if (decoded?.kind === 'host') {
      const host = { row: decoded.row, version }
      this.hosts.set(decoded.name, host)
      this.#hostsVersion++
      return { kind: 'host', name: decoded.name, host }
    }
    if (decoded?.kind === 'owner') {
      const owner = { row: decoded.row, version }
      this.owners.set(decoded.name, owner)
      return { kind: 'owner', endpointId: decoded.name, owner }
    }
    if (decoded?.kind === 'suspect') return { kind: 'suspect', name: decoded.name, suspect: decoded.row, version, mayBeRestored }
    if (decoded?.kind === 'versions') return this.#applyServiceVersions(decoded.row, version, mayBeRestored)
    if (value) return createUnreadableChange({ table: hostsTable, key, version, value })
    const removed = parseHostsKey(key)
    if (removed?.kind === 'host' && this.hosts.delete(removed.name)) this.#hostsVersion++
    if (removed?.kind === 'owner') this.owners.delete(removed.name)
    if (!removed) return undefined
    if (removed.kind === 'suspect') return { kind: 'suspect', name: removed.name, suspect: undefined, version, mayBeRestored }
    if (removed.kind === 'versions') {
      if (mayBeRestored) return this.#applyServiceVersions({ service: removed.name, versions: [] }, 0, mayBeRestored)
      this.serviceVersions.delete(removed.name)
      return { kind: 'serviceVersions', service: removed.name }
    }
    return removed.kind === 'host'
      ? { kind: 'host', name: removed.name, host: undefined }
      : { kind: 'owner', endpointId: removed.name, owner: undefined }
  }

  /** Versions that the store has lost are kept: streams may have begun at them. */
  #applyServiceVersions (row: ServiceVersionsRow, version: number, mayBeRestored: boolean): ClusterViewChange {
    const known = mayBeRestored ? this.serviceVersions.get(row.service)?.row.versions ?? [] : []
    const versions = [...new Set([...row.versions, ...known])]
    this.serviceVersions.set(row.service, { row: { ...row, versions }, version })
    return { kind: 'serviceVersions', service: row.service }
  }
}

/** Maximum size of the sample of an undecodable row that goes into the log. */
const maxSampleBytes = 400

function createUnreadableChange ({ table, key, value }: StoreRow, sample = value): ClusterViewChange {
  return { kind: 'unreadable', table, key, sample: Buffer.from(sample ?? []).toString('utf8', 0, maxSampleBytes) }
}

/** Whether two entries of an endpoint are equal, apart from the loaded models and the order count. */
export function isEquivalentEntry (before: EndpointEntry, after: EndpointEntry): boolean {
  const serialize = (entry: EndpointEntry): string => JSON.stringify({ ...entry, models: undefined, orderCount: undefined })
  return serialize(before) === serialize(after)
}
