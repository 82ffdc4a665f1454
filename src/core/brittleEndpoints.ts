/** How a host treats an endpoint that falls over when it has to reject many requests: it foresees rejections rather than provoke them. */
import type { EndpointEntry } from '../schemas/routing.js'
import { computeHash } from './rendezvousHash.js'

/** A host whose request was rejected stays away for this long at least, as the endpoint had no room just now. */
const minPauseMs = 250
/** And at most, so that the host finds out when the endpoint has room again. */
const maxPauseMs = 5000

/**
 * Requests that one host may have at a brittle engine without a grant: its share of those that the engine runs at once, as none may
 * wait there.
 *
 * @example
 * computeBrittleShare(6, 3) // 2
 */
export function computeBrittleShare (places: number, hostCount: number): number {
  return Math.max(1, Math.floor(places / Math.max(1, hostCount)))
}

/**
 * Requests that one host may have at each endpoint of a plain service while it is brittle, by endpoint id. The places of all endpoints
 * are dealt to the hosts by turns, in an order that all hosts compute alike. Where there are fewer places than hosts, several hosts
 * share one, so that no host is left without; an endpoint that names no places counts as one of one place.
 *
 * @example
 * computeBrittleShares([{ id: 'i-1', places: 2 }, { id: 'i-2', places: 2 }], ['h1', 'h2', 'h3'], 'h1') // Map { 'i-1' => 1, 'i-2' => 1 } for the first host
 */
export function computeBrittleShares (endpoints: readonly Pick<EndpointEntry, 'id' | 'places'>[], hosts: readonly string[], ownHost: string): Map<string, number> {
  const ordered = [...endpoints].sort((left, right) => left.id < right.id ? -1 : 1)
  const total = ordered.reduce((sum, { places }) => sum + Math.max(1, places), 0)
  const turns = Math.min(total, Math.max(1, hosts.length))
  const ownTurn = computeRank(hosts, ownHost) % turns
  let dealt = 0
  return new Map(ordered.map(({ id, places }) => {
    const before = countTurns(dealt, ownTurn, turns)
    dealt += Math.max(1, places)
    return [id, countTurns(dealt, ownTurn, turns) - before]
  }))
}

/** Counts how many of the places that have been dealt went to one turn. */
function countTurns (dealt: number, turn: number, turns: number): number {
  return Math.max(0, Math.ceil((dealt - turn) / turns))
}

/** Position of a host among those that share places, from 0. */
function computeRank (hosts: readonly string[], ownHost: string): number {
  const ownHash = computeHash(`brittle ${ownHost}`)
  return hosts.filter(host => host !== ownHost && computeHash(`brittle ${host}`) > ownHash).length
}

/**
 * How long a host sends nothing to a brittle endpoint that has rejected one of its requests, so that the hosts together stay
 * within what it bears. `draw` is from 0 to 1; it keeps hosts from coming back at once.
 *
 * @example
 * computeBrittlePauseMs(3, 9, 0) // 3000
 */
export function computeBrittlePauseMs (maxRejectionsPerSecond: number, hostCount: number, draw: number): number {
  const intervalMs = maxRejectionsPerSecond > 0 ? 1000 * hostCount / maxRejectionsPerSecond : maxPauseMs
  return Math.min(maxPauseMs, Math.max(minPauseMs, intervalMs)) * (1 + draw)
}
