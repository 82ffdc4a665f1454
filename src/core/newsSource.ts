/** From whom a host gets its news: a few hosts of each availability zone follow the store, the others follow them. */
import { computeHash } from './rendezvousHash.js'

export interface SourceHost {
  host: string
  address: string
  zone: string
}

/** Hosts of a zone that follow the store; the second one keeps the news flowing while the first one is replaced. */
export const readersPerZone = 1

/**
 * Ranks the hosts of a zone as readers of the store; every host finds the same order.
 *
 * @example
 * rankReaders(hosts, 'sala-unu')[0]?.host
 */
export function rankReaders (hosts: readonly SourceHost[], zone: string): SourceHost[] {
  return hosts.filter(host => host.zone === zone)
    .map(host => ({ host, hash: computeHash(`reader ${host.host}`) }))
    .sort((left, right) => right.hash - left.hash)
    .map(({ host }) => host)
}

/**
 * Lists where a host should look for news, best first: readers of its own zone, then those of others. A host that is a
 * reader itself looks at the store first.
 */
export function listSources (own: SourceHost, hosts: readonly SourceHost[]): (SourceHost | 'store')[] {
  const zones = [...new Set(hosts.map(host => host.zone))].sort()
  const readers = rankReaders(hosts, own.zone).slice(0, readersPerZone)
  const isReader = readers.length < readersPerZone || readers.some(host => host.host === own.host)
  const near = readers.filter(host => host.host !== own.host)
  const far = zones.filter(zone => zone !== own.zone)
    .flatMap(zone => rankReaders(hosts, zone).slice(0, readersPerZone))
    .sort((left, right) => computeHash(`${own.host} ${left.host}`) - computeHash(`${own.host} ${right.host}`))
  return isReader ? ['store', ...near, ...far] : [...near, 'store', ...far]
}
