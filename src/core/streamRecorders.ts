/** Selects the hosts that write the streams of all hosts to the store in batches. */
import { computeHash } from './rendezvousHash.js'

export interface StreamRecorderCandidate {
  readonly host: string
  readonly isLeaving: boolean
}

/** One recorder writes the streams of this many hosts: some 1,100 a second at the two-year size, in batches of 100. */
const hostsPerRecorder = 40

/**
 * Counts the hosts that record streams.
 *
 * @example
 * countStreamRecorders(hosts) // 2, of 80 hosts
 */
export function countStreamRecorders (hosts: readonly Pick<StreamRecorderCandidate, 'isLeaving'>[]): number {
  return Math.ceil(hosts.filter(({ isLeaving }) => !isLeaving).length / hostsPerRecorder)
}

/**
 * Ranks the recorders of a stream, the one to use first. Streams are spread over the recorders by their keys.
 *
 * @example
 * rankStreamRecorders('6d1e…', hosts)[0]?.address
 */
export function rankStreamRecorders<Candidate extends StreamRecorderCandidate> (key: string, hosts: readonly Candidate[]): Candidate[] {
  const available = hosts.filter(({ isLeaving }) => !isLeaving)
  const ranked = available.map(candidate => ({ candidate, hash: computeHash(`recorder ${candidate.host}`) })).sort((left, right) => right.hash - left.hash).map(({ candidate }) => candidate)
  const count = countStreamRecorders(hosts)
  const first = count === 0 ? 0 : computeHash(key) % count
  return [...ranked.slice(first, count), ...ranked.slice(0, first), ...ranked.slice(count)]
}
