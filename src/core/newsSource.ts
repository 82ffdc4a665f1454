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
