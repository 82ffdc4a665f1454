/** Selects the hosts that grant the tokens of a group of accounts, so that all hosts agree without messages. */
import type { LimitGranterCandidate } from '../limitGranters.js'
import type { PairHasher } from '../rendezvousHash.js'

/**
 * Ranks the granter of a group and its deputy by rendezvous hashing, in one pass, as this runs at each change of the hosts.
 *
 * @example
 * rankQuotaGranters(3, hosts, new PairHasher()).map(({ host }) => host) // ['front-3', 'front-1']
 */
export function rankQuotaGranters<Candidate extends LimitGranterCandidate> (group: number, hosts: readonly Candidate[], hasher: PairHasher): Candidate[] {
  let granter: { candidate: Candidate, hash: number } | undefined
  let deputy: typeof granter
  for (const candidate of hosts) {
    if (candidate.isLeaving) continue
    const ranked = { candidate, hash: hasher.compute(`quota group ${group}`, candidate.host) }
    if (isBefore(ranked, granter)) [granter, deputy] = [ranked, granter]
    else if (isBefore(ranked, deputy)) deputy = ranked
  }
  return [granter, deputy].flatMap(ranked => ranked ? [ranked.candidate] : [])
}

interface Ranked {
  candidate: LimitGranterCandidate
  hash: number
}

/** Hosts with the same hash are ordered by name, so that the order in which a host learned of them does not matter. */
function isBefore (left: Ranked, right: Ranked | undefined): boolean {
  return !right || left.hash > right.hash || (left.hash === right.hash && left.candidate.host < right.candidate.host)
}
