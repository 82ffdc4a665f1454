/** Selects where a host reads cluster updates: a few hosts per zone watch the store, the others watch those hosts. */
import { computeHash } from './rendezvousHash.js'

export interface UpdateSourceHost {
  host: string
  address: string
  zone: string
}

/** Up to this many hosts, two store readers in different zones are enough; with more, each zone has its own reader. */
const smallClusterHosts = 12
const minReaders = 2

/**
 * Selects the hosts that read the store, the highest-ranked one of each zone first. Every host that knows the same hosts gets
 * the same result.
 *
 * @example
 * selectStoreReaders(hosts).map(reader => reader.host)
 */
export function selectStoreReaders (hosts: readonly UpdateSourceHost[]): UpdateSourceHost[] {
  const ranked = hosts.map(host => ({ host, hash: computeHash(`reader ${host.host}`) }))
    .sort((left, right) => right.hash - left.hash)
    .map(({ host }) => host)
  const zoneLeaders = ranked.filter((host, index) => ranked.findIndex(other => other.zone === host.zone) === index)
  const count = hosts.length <= smallClusterHosts ? minReaders : Math.max(minReaders, zoneLeaders.length)
  return [...zoneLeaders, ...ranked.filter(host => !zoneLeaders.includes(host))].slice(0, count)
}

/**
 * Lists the sources from which a host should read updates, in order of preference: store readers of its own zone, then those
 * of other zones, then the store. A host that is a store reader itself reads the store first.
 */
export function rankUpdateSources (own: UpdateSourceHost, hosts: readonly UpdateSourceHost[]): (UpdateSourceHost | 'store')[] {
  const readers = selectStoreReaders(hosts)
  const isReader = readers.length < minReaders || readers.some(host => host.host === own.host)
  const otherReaders = readers.filter(host => host.host !== own.host)
  const sameZone = otherReaders.filter(host => host.zone === own.zone)
  const otherZones = otherReaders.filter(host => host.zone !== own.zone)
    .sort((left, right) => computeHash(`${own.host} ${left.host}`) - computeHash(`${own.host} ${right.host}`))
  return isReader ? ['store', ...sameZone, ...otherZones] : [...sameZone, ...otherZones, 'store']
}

/** The update sources of a host, derived from the hosts that it knows. */
export interface UpdateSources {
  /** Whether the host is a store reader. */
  readonly isStoreReader: boolean
  /** Addresses of relays, in order of preference. */
  readonly relayAddresses: readonly string[]
  /** Address of the store reader that collects other hosts' renewals; undefined if no host is known. */
  readonly renewalCollectorAddress: string | undefined
}

export interface UpdateSourceListOptions {
  own: UpdateSourceHost
  listHosts: () => readonly UpdateSourceHost[]
  /** Returns a number that changes whenever the result of `listHosts` changes. */
  getHostsVersion: () => number
}

/** Caches the update sources of one host. They are ranked again only when hosts change, as ranking visits every host. */
export class UpdateSourceList {
  #options: UpdateSourceListOptions
  #sources: UpdateSources | undefined
  #hostsVersion = -1

  constructor (options: UpdateSourceListOptions) {
    this.#options = options
  }

  getSources (): UpdateSources {
    const hostsVersion = this.#options.getHostsVersion()
    if (!this.#sources || hostsVersion !== this.#hostsVersion) {
      this.#sources = this.#rank()
      this.#hostsVersion = hostsVersion
    }
    return this.#sources
  }

  #rank (): UpdateSources {
    const { own, listHosts } = this.#options
    const hosts = listHosts()
    const sources = rankUpdateSources(own, hosts)
    return Object.freeze({
      isStoreReader: sources[0] === 'store',
      relayAddresses: sources.flatMap(source => source === 'store' ? [] : [source.address]),
      renewalCollectorAddress: selectStoreReaders(hosts)[0]?.address
    })
  }
}
