/** Assigns endpoints to hosts by rendezvous hashing with bounded loads. */

export interface AssignmentHost {
  hostId: string
  zone: string
}

export interface AssignmentEndpoint {
  endpointId: string
  zone: string
  /** Undefined if the endpoint can be claimed. */
  ownerId: string | undefined
}

/** Rendezvous hash of an endpoint and a host; a higher value means a better match. */
export type HashPair = (endpointId: string, hostId: string) => number

/**
 * Returns, for each claimable endpoint, how many hosts rank above `hostId` for claiming it; empty if `hostId` is not among
 * the hosts. Every host that reads the same rows computes the same ranking: hosts below the load bound come first, then hosts
 * in the endpoint's availability zone, then hosts with a higher hash.
 *
 * @example
 * rankEndpointClaims('scheduler-3', endpoints, hosts, hashPair).get('engine-1') // 0: no host ranks higher
 */
export function rankEndpointClaims (hostId: string, endpoints: readonly AssignmentEndpoint[], hosts: readonly AssignmentHost[], hashPair: HashPair): Map<string, number> {
  const own = hosts.find(host => host.hostId === hostId)
  const ranks = new Map<string, number>()
  const claimable = endpoints.filter(endpoint => endpoint.ownerId === undefined)
    .sort((left, right) => left.endpointId < right.endpointId ? -1 : 1)
  if (!own || claimable.length === 0) return ranks
  const maxLoad = computeMaxLoad(endpoints, hosts)
  const loads = countLoads(endpoints, hosts)
  const hasCapacity = (host: AssignmentHost): boolean => (loads.get(host.hostId) ?? 0) < maxLoad
  for (const endpoint of claimable) {
    const ownScore = computeScore(endpoint, own, hashPair, hasCapacity)
    let rank = 0
    let best = own
    let bestScore = ownScore
    for (const host of hosts) {
      const score = computeScore(endpoint, host, hashPair, hasCapacity)
      if (score > ownScore) rank++
      if (score > bestScore) [best, bestScore] = [host, score]
    }
    ranks.set(endpoint.endpointId, rank)
    loads.set(best.hostId, (loads.get(best.hostId) ?? 0) + 1)
  }
  return ranks
}

/**
 * Returns an endpoint that a host should hand over because it owns more than its share; undefined if it does not.
 * The endpoint for which the host ranks lowest is returned.
 */
export function findExcessEndpoint (
  hostId: string, endpoints: readonly AssignmentEndpoint[], hosts: readonly AssignmentHost[], hashPair: HashPair
): string | undefined {
  const owned = endpoints.filter(endpoint => endpoint.ownerId === hostId)
  if (owned.length <= computeMaxLoad(endpoints, hosts)) return undefined
  const own = hosts.find(host => host.hostId === hostId)
  if (!own) return undefined
  const countBetterHosts = (endpoint: AssignmentEndpoint): number => {
    const ownScore = computeScore(endpoint, own, hashPair, () => true)
    return hosts.filter(host => computeScore(endpoint, host, hashPair, () => true) > ownScore).length
  }
  return owned.sort((left, right) => countBetterHosts(right) - countBetterHosts(left))[0]?.endpointId
}

function computeMaxLoad (endpoints: readonly AssignmentEndpoint[], hosts: readonly AssignmentHost[]): number {
  return Math.ceil(endpoints.length / Math.max(1, hosts.length))
}

function countLoads (endpoints: readonly AssignmentEndpoint[], hosts: readonly AssignmentHost[]): Map<string, number> {
  const loads = new Map(hosts.map(host => [host.hostId, 0]))
  for (const { ownerId } of endpoints) {
    if (ownerId !== undefined) loads.set(ownerId, (loads.get(ownerId) ?? 0) + 1)
  }
  return loads
}

/** Larger than any 32-bit hash, so that a matching zone outweighs the hash. */
const zoneScore = 2 ** 32
/** Spare capacity outweighs a matching zone. */
const capacityScore = 2 * zoneScore

/** How well a host matches an endpoint; higher is better. */
function computeScore (endpoint: AssignmentEndpoint, host: AssignmentHost, hashPair: HashPair, hasCapacity: (host: AssignmentHost) => boolean): number {
  return (hasCapacity(host) ? capacityScore : 0) + (host.zone === endpoint.zone ? zoneScore : 0) + hashPair(endpoint.endpointId, host.hostId)
}
