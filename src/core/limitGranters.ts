/** Selects the hosts that grant requests to a limited endpoint in place of an owner, so that all hosts agree without messages. */
import { computeHash } from './rendezvousHash.js'

export interface LimitGranterCandidate {
  readonly host: string
  /** Whether the host is shutting down. */
  readonly isLeaving: boolean
}

/** A granter and its deputy, which grants requests to those that the granter does not respond to. */
const maxGranters = 2

/**
 * Ranks the granter of an endpoint and its deputy; `ownerHost`, the owner of an engine, is neither.
 *
 * @example
 * rankLimitGranters('i-7f3a', hosts, undefined).map(({ host }) => host) // ['front-3', 'front-1']
 */
export function rankLimitGranters<Candidate extends LimitGranterCandidate> (endpointId: string, hosts: readonly Candidate[], ownerHost: string | undefined): Candidate[] {
  return hosts
    .filter(({ host, isLeaving }) => !isLeaving && host !== ownerHost)
    .map(candidate => ({ candidate, hash: computeHash(`limit ${endpointId} ${candidate.host}`) }))
    .sort((left, right) => right.hash - left.hash)
    .slice(0, maxGranters)
    .map(({ candidate }) => candidate)
}
