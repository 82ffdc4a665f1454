/** Selects the hosts that grant requests to an endpoint of a plain service, so that all hosts agree without messages. */
import type { HostRow } from '../../schemas/hostRows.js'
import { computeHash } from '../rendezvousHash.js'

/** Hosts of which the granters are selected; `hostsVersion` changes whenever one of them does. */
export interface DispatchHosts {
  readonly hosts: ReadonlyMap<string, { readonly row: HostRow }>
  readonly hostsVersion: number
}

export interface DispatchGranterCandidate {
  readonly host: string
  /** Whether the host is shutting down. */
  readonly isLeaving: boolean
  /** Part of a processor that the host may use; absent if it is not reported. */
  readonly processorShare?: number
}

/** A granter and its deputy, which grants a part while the granter does not respond. */
const maxGranters = 2
/** Weight of hosts that do not report their share of a processor. */
const defaultWeight = 1
const hashRange = 2 ** 32

/**
 * Ranks the granter of an endpoint and its deputy by weighted rendezvous hashing: a host with twice the processor time grants for
 * twice as many endpoints, and a host that leaves moves only its own endpoints.
 *
 * @example
 * rankDispatchGranters('i-7f3a', hosts).map(({ host }) => host) // ['front-3', 'front-1']
 */
export function rankDispatchGranters<Candidate extends DispatchGranterCandidate> (endpointId: string, hosts: readonly Candidate[]): Candidate[] {
  return hosts
    .filter(({ isLeaving }) => !isLeaving)
    .map(candidate => ({ candidate, score: computeScore(endpointId, candidate) }))
    .sort((left, right) => right.score - left.score || (left.candidate.host < right.candidate.host ? -1 : 1))
    .slice(0, maxGranters)
    .map(({ candidate }) => candidate)
}

function computeScore (endpointId: string, { host, processorShare }: DispatchGranterCandidate): number {
  const weight = processorShare !== undefined && processorShare > 0 ? processorShare : defaultWeight
  return -weight / Math.log((computeHash(`dispatch ${endpointId} ${host}`) + 0.5) / hashRange)
}

/** Ranks the granters of endpoints once for each change of the hosts, as a ranking hashes all of them. */
export class DispatchGranters {
  #hosts: DispatchHosts
  #ranked = new Map<string, HostRow[]>()
  #hostsVersion = -1

  constructor (hosts: DispatchHosts) {
    this.#hosts = hosts
  }

  /** The granter of an endpoint and its deputy; fewer if there are no hosts. */
  list (endpointId: string): readonly HostRow[] {
    if (this.#hosts.hostsVersion !== this.#hostsVersion) {
      this.#ranked.clear()
      this.#hostsVersion = this.#hosts.hostsVersion
    }
    let ranked = this.#ranked.get(endpointId)
    if (!ranked) {
      ranked = rankDispatchGranters(endpointId, [...this.#hosts.hosts.values()].map(({ row }) => row))
      this.#ranked.set(endpointId, ranked)
    }
    return ranked
  }
}
