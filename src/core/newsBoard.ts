/** What a host believes of the configuration, the endpoints, their owners, new versions and the other hosts. */
import type { StoreRow } from '../ports/store.js'
import { decodeHostsRow, decodeRenewal, hostsTable, parseHostsKey, renewalsTable } from '../schemas/hostRows.js'
import type { HostRow, OwnerRow, RenewalRow, SuspectRow } from '../schemas/hostRows.js'
import type { AdapterVersion, EndpointEntry, RoutingConfiguration } from '../schemas/routing.js'
import { EndpointDirectory } from './endpointDirectory.js'
import { RouteTable } from './routeTable.js'

/** A decoded row of the tables that operators and endpoints write. */
export type DecodedNews =
  | { kind: 'configuration', configuration: RoutingConfiguration }
  | { kind: 'version', version: AdapterVersion }
  | { kind: 'endpoint', id: string, entry: EndpointEntry | undefined }

export type DecodeNews = (table: string, key: string, value: Uint8Array | undefined) => DecodedNews | undefined

export interface KnownOwner {
  readonly row: OwnerRow
  /** Version of the row: the owner's fencing number. */
  readonly fencing: number
}

export interface KnownHost {
  readonly row: HostRow
  /** Version of the row in the store. */
  readonly version: number
}

/** What has changed on the board. */
export type BoardChange =
  | { kind: 'configuration', version: number, before: number | undefined }
  | { kind: 'version', version: AdapterVersion }
  | { kind: 'endpoint', id: string, entry: EndpointEntry | undefined }
  | { kind: 'owner', endpointId: string, owner: KnownOwner | undefined }
  | { kind: 'host', name: string, host: KnownHost | undefined }
  /** `suspect` is undefined where its row was removed; `name` tells its rows apart. */
  | { kind: 'suspect', name: string, suspect: SuspectRow | undefined, version: number }
  | { kind: 'renewal', host: string, renewal: RenewalRow | undefined, version: number }
  | { kind: 'unreadable', table: string, key: string, sample: string }

export class NewsBoard {
  readonly endpoints: EndpointDirectory
  readonly owners = new Map<string, KnownOwner>()
  readonly hosts = new Map<string, KnownHost>()
  #hostsVersion = 0
  #decodeNews: DecodeNews
  #routes: RouteTable | undefined
  /** By model and adapter. */
  #versions = new Map<string, AdapterVersion>()

  /** `heartbeatMs`: time between two reports of an endpoint in the store. */
  constructor (decodeNews: DecodeNews, heartbeatMs?: number) {
    this.#decodeNews = decodeNews
    this.endpoints = new EndpointDirectory(heartbeatMs)
  }

  /** Undefined before a configuration is known. */
  get routes (): RouteTable | undefined {
    return this.#routes
  }

  /** Rises when a host has come, gone or changed. */
  get hostsVersion (): number {
    return this.#hostsVersion
  }

  /** The declared version of an adapter; 0 where none was declared. */
  findAdapterVersion (model: string, adapter: string): number {
    return this.#versions.get(`${model}/${adapter}`)?.version ?? 0
  }

  /** Takes a changed row; returns what it changes, or undefined where it changes nothing. */
  applyRow (row: StoreRow, nowMs: number): BoardChange | undefined {
    if (row.table === hostsTable) return this.#applyHostsRow(row)
    if (row.table === renewalsTable) return { kind: 'renewal', host: row.key, renewal: row.value && decodeRenewal(row.value), version: row.version }
    const news = this.#decodeNews(row.table, row.key, row.value)
    if (!news) return row.value && describeUnreadable(row)
    if (news.kind === 'configuration') return this.#applyConfiguration(news.configuration)
    if (news.kind === 'version') return this.#applyVersion(news.version)
    if (news.entry) return this.#applyEntry(news.id, news.entry, nowMs)
    this.endpoints.recordRemoved(news.id, nowMs, row.value === undefined)
    return row.value ? describeUnreadable(row) : news
  }

  /** Endpoints write all the time; what they hold and their count of orders concern nobody but who asks. */
  #applyEntry (id: string, entry: EndpointEntry, nowMs: number): BoardChange | undefined {
    const before = this.endpoints.find(id, nowMs)
    this.endpoints.recordEntry(entry, nowMs)
    return before && isSameEntry(before, entry) ? undefined : { kind: 'endpoint', id, entry }
  }

  #applyConfiguration (configuration: RoutingConfiguration): BoardChange | undefined {
    const before = this.#routes?.configuration.version
    // A version never goes back, whatever order rows arrive in.
    if (before !== undefined && before >= configuration.version) return undefined
    this.#routes = new RouteTable(configuration)
    return { kind: 'configuration', version: configuration.version, before }
  }

  #applyVersion (version: AdapterVersion): BoardChange | undefined {
    const name = `${version.model}/${version.adapter}`
    if ((this.#versions.get(name)?.version ?? 0) >= version.version) return undefined
    this.#versions.set(name, version)
    return { kind: 'version', version }
  }

  #applyHostsRow ({ key, version, value }: StoreRow): BoardChange | undefined {
    const decoded = value && decodeHostsRow(key, value)
    if (decoded?.kind === 'host') {
      const host = { row: decoded.row, version }
      this.hosts.set(decoded.name, host)
      this.#hostsVersion++
      return { kind: 'host', name: decoded.name, host }
    }
    if (decoded?.kind === 'owner') {
      const owner = { row: decoded.row, fencing: version }
      this.owners.set(decoded.name, owner)
      return { kind: 'owner', endpointId: decoded.name, owner }
    }
    if (decoded?.kind === 'suspect') return { kind: 'suspect', name: decoded.name, suspect: decoded.row, version }
    if (value) return describeUnreadable({ table: hostsTable, key, version, value })
    const removed = parseHostsKey(key)
    if (removed?.kind === 'host' && this.hosts.delete(removed.name)) this.#hostsVersion++
    if (removed?.kind === 'owner') this.owners.delete(removed.name)
    if (!removed) return undefined
    if (removed.kind === 'suspect') return { kind: 'suspect', name: removed.name, suspect: undefined, version }
    return removed.kind === 'host'
      ? { kind: 'host', name: removed.name, host: undefined }
      : { kind: 'owner', endpointId: removed.name, owner: undefined }
  }
}

/** Bytes of a row that cannot be read, for the log. */
const maxSampleBytes = 400

function describeUnreadable ({ table, key, value }: StoreRow): BoardChange {
  return { kind: 'unreadable', table, key, sample: Buffer.from(value ?? []).toString('utf8', 0, maxSampleBytes) }
}

/** Whether two entries of an endpoint differ only in what it holds and its count of orders. */
export function isSameEntry (before: EndpointEntry, after: EndpointEntry): boolean {
  const format = (entry: EndpointEntry): string => JSON.stringify({ ...entry, models: undefined, orderCount: undefined })
  return format(before) === format(after)
}
