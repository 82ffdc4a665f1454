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

/** Hash of an endpoint and a host; the host with the highest one suits the endpoint best. */
export type HashPair = (endpointId: string, hostId: string) => number

/**
 * Finds, for each endpoint that may be taken, how many hosts should take it rather than `hostId`; left out where `hostId`
 * is not among the hosts. Every host that reads the same rows finds the same ranking: hosts below the bound come first,
 * then those of the endpoint's own availability zone, then those with the higher hash.
 *
 * @example
 * findTakerRanks('scheduler-3', endpoints, hosts, hashPair).get('engine-1') // 0: nobody is better placed
 */
export function findTakerRanks (hostId: string, endpoints: readonly SpreadEndpoint[], hosts: readonly SpreadHost[], hashPair: HashPair): Map<string, number> {
  const own = hosts.find(host => host.hostId === hostId)
  const ranks = new Map<string, number>()
  const free = endpoints.filter(endpoint => endpoint.ownerId === undefined)
    .sort((left, right) => left.endpointId < right.endpointId ? -1 : 1)
  if (!own || free.length === 0) return ranks
  const bound = computeBound(endpoints, hosts)
  const loads = countLoads(endpoints, hosts)
  const hasRoom = (host: SpreadHost): boolean => (loads.get(host.hostId) ?? 0) < bound
  for (const endpoint of free) {
    const ownFit = computeFit(endpoint, own, hashPair, hasRoom)
    let rank = 0
    let best = own
    let bestFit = ownFit
    for (const host of hosts) {
      const fit = computeFit(endpoint, host, hashPair, hasRoom)
      if (fit > ownFit) rank++
      if (fit > bestFit) [best, bestFit] = [host, fit]
    }
    ranks.set(endpoint.endpointId, rank)
    loads.set(best.hostId, (loads.get(best.hostId) ?? 0) + 1)
  }
  return ranks
}

/**
 * Names an endpoint that a host should hand over because it owns more than its share; undefined where it does not.
 * The one that would suit the host least goes first.
 */
export function findSurplus (
  hostId: string, endpoints: readonly SpreadEndpoint[], hosts: readonly SpreadHost[], hashPair: HashPair
): string | undefined {
  const owned = endpoints.filter(endpoint => endpoint.ownerId === hostId)
  if (owned.length <= computeBound(endpoints, hosts)) return undefined
  const own = hosts.find(host => host.hostId === hostId)
  if (!own) return undefined
  const countBetter = (endpoint: SpreadEndpoint): number => {
    const ownFit = computeFit(endpoint, own, hashPair, () => true)
    return hosts.filter(host => computeFit(endpoint, host, hashPair, () => true) > ownFit).length
  }
  return owned.sort((left, right) => countBetter(right) - countBetter(left))[0]?.endpointId
}

function computeBound (endpoints: readonly SpreadEndpoint[], hosts: readonly SpreadHost[]): number {
  return Math.ceil(endpoints.length / Math.max(1, hosts.length))
}

function countLoads (endpoints: readonly SpreadEndpoint[], hosts: readonly SpreadHost[]): Map<string, number> {
  const loads = new Map(hosts.map(host => [host.hostId, 0]))
  for (const { ownerId } of endpoints) {
    if (ownerId !== undefined) loads.set(ownerId, (loads.get(ownerId) ?? 0) + 1)
  }
  return loads
}

/** Above any 32-bit hash. */
const zoneFit = 2 ** 32
/** Room counts for more than the zone. */
const roomFit = 2 * zoneFit

/** How well a host suits an endpoint; higher is better. */
function computeFit (endpoint: SpreadEndpoint, host: SpreadHost, hashPair: HashPair, hasRoom: (host: SpreadHost) => boolean): number {
  return (hasRoom(host) ? roomFit : 0) + (host.zone === endpoint.zone ? zoneFit : 0) + hashPair(endpoint.endpointId, host.hostId)
}
