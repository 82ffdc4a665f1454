/** Spreads endpoints over schedulers by rendezvous hashing with a bounded load. */

export interface SpreadHost {
  hostId: string
  zone: string
}

export interface SpreadEndpoint {
  endpointId: string
  zone: string
  /** Undefined where the endpoint may be taken. */
  ownerId: string | undefined
}

export type HashText = (text: string) => number

/**
 * Ranks, for each endpoint that may be taken, the hosts that should take it, best first.
 * Every host that reads the same rows finds the same ranking. Hosts below the bound come first, then those of the
 * endpoint's own availability zone, then those with the higher hash.
 *
 * @example
 * rankTakers(endpoints, hosts, hashText).get('engine-1')?.[0] // 'scheduler-3'
 */
export function rankTakers (endpoints: SpreadEndpoint[], hosts: SpreadHost[], hashText: HashText): Map<string, string[]> {
  const bound = computeBound(endpoints, hosts)
  const loads = countLoads(endpoints, hosts)
  const free = endpoints.filter(endpoint => endpoint.ownerId === undefined)
    .sort((left, right) => left.endpointId < right.endpointId ? -1 : 1)
  const rankings = new Map<string, string[]>()
  for (const endpoint of free) {
    const ranking = rankHosts(endpoint, hosts, hashText, host => (loads.get(host.hostId) ?? 0) < bound)
    rankings.set(endpoint.endpointId, ranking)
    const best = ranking[0]
    if (best !== undefined) loads.set(best, (loads.get(best) ?? 0) + 1)
  }
  return rankings
}

/**
 * Names an endpoint that a host should hand over because it owns more than its share; undefined where it does not.
 * The one that would suit the host least goes first.
 */
export function findSurplus (
  hostId: string, endpoints: SpreadEndpoint[], hosts: SpreadHost[], hashText: HashText
): string | undefined {
  const owned = endpoints.filter(endpoint => endpoint.ownerId === hostId)
  if (owned.length <= computeBound(endpoints, hosts)) return undefined
  const findRank = (endpoint: SpreadEndpoint): number =>
    rankHosts(endpoint, hosts, hashText, () => true).indexOf(hostId)
  return owned.sort((left, right) => findRank(right) - findRank(left))[0]?.endpointId
}

function computeBound (endpoints: SpreadEndpoint[], hosts: SpreadHost[]): number {
  return Math.ceil(endpoints.length / Math.max(1, hosts.length))
}

function countLoads (endpoints: SpreadEndpoint[], hosts: SpreadHost[]): Map<string, number> {
  const loads = new Map(hosts.map(host => [host.hostId, 0]))
  for (const { ownerId } of endpoints) {
    if (ownerId !== undefined) loads.set(ownerId, (loads.get(ownerId) ?? 0) + 1)
  }
  return loads
}

function rankHosts (
  endpoint: SpreadEndpoint, hosts: SpreadHost[], hashText: HashText, hasRoom: (host: SpreadHost) => boolean
): string[] {
  const rated = hosts.map(host => ({
    hostId: host.hostId,
    isFull: hasRoom(host) ? 0 : 1,
    isFar: host.zone === endpoint.zone ? 0 : 1,
    hash: hashText(`${endpoint.endpointId}/${host.hostId}`)
  }))
  rated.sort((left, right) => left.isFull - right.isFull || left.isFar - right.isFar || right.hash - left.hash)
  return rated.map(host => host.hostId)
}
