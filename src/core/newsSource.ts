/** From whom a host gets its news: a few hosts of each availability zone follow the store, the others follow them. */
import { computeHash } from './rendezvousHash.js'

export interface SourceHost {
  host: string
  address: string
  zone: string
}

/** With up to so many hosts two readers are enough, in different zones; with more each zone has its own. */
const fewHosts = 12
const minReaders = 2

/**
 * Lists the readers of the store, the best of each zone first; every host finds the same ones.
 *
 * @example
 * listReaders(hosts).map(reader => reader.host)
 */
export function listReaders (hosts: readonly SourceHost[]): SourceHost[] {
  const ranked = hosts.map(host => ({ host, hash: computeHash(`reader ${host.host}`) }))
    .sort((left, right) => right.hash - left.hash)
    .map(({ host }) => host)
  const leaders = ranked.filter((host, index) => ranked.findIndex(other => other.zone === host.zone) === index)
  const count = hosts.length <= fewHosts ? minReaders : Math.max(minReaders, leaders.length)
  return [...leaders, ...ranked.filter(host => !leaders.includes(host))].slice(0, count)
}

/**
 * Lists where a host should look for news, best first: readers of its own zone, then those of others. A host that is a
 * reader itself looks at the store first.
 */
export function listSources (own: SourceHost, hosts: readonly SourceHost[]): (SourceHost | 'store')[] {
  const readers = listReaders(hosts)
  const isReader = readers.length < minReaders || readers.some(host => host.host === own.host)
  const others = readers.filter(host => host.host !== own.host)
  const near = others.filter(host => host.zone === own.zone)
  const far = others.filter(host => host.zone !== own.zone)
    .sort((left, right) => computeHash(`${own.host} ${left.host}`) - computeHash(`${own.host} ${right.host}`))
  return isReader ? ['store', ...near, ...far] : [...near, ...far, 'store']
}

/** Where a host looks for news, as of the hosts that it knows. */
export interface NewsSources {
  /** Whether the host is one of the readers. */
  readonly isReader: boolean
  /** Addresses of relays, best first. */
  readonly relayAddresses: readonly string[]
  /** The reader that gathers renewals; undefined where no host is known. */
  readonly gathererAddress: string | undefined
}

export interface SourceListOptions {
  own: SourceHost
  listHosts: () => readonly SourceHost[]
  /** Changes whenever `listHosts` does. */
  readHostsVersion: () => number
}

/** Keeps the sources of one host; they are ranked anew only when hosts have come or gone, as ranking reads all of them. */
export class SourceList {
  #options: SourceListOptions
  #sources: NewsSources | undefined
  #hostsVersion = -1

  constructor (options: SourceListOptions) {
    this.#options = options
  }

  read (): NewsSources {
    const hostsVersion = this.#options.readHostsVersion()
    if (!this.#sources || hostsVersion !== this.#hostsVersion) {
      this.#sources = this.#rank()
      this.#hostsVersion = hostsVersion
    }
    return this.#sources
  }

  #rank (): NewsSources {
    const { own, listHosts } = this.#options
    const hosts = listHosts()
    const sources = listSources(own, hosts)
    return Object.freeze({
      isReader: sources[0] === 'store',
      relayAddresses: sources.flatMap(source => source === 'store' ? [] : [source.address]),
      gathererAddress: listReaders(hosts)[0]?.address
    })
  }
}
