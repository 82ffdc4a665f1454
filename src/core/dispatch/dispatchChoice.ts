/** Decides where a host asks for a place at an endpoint of a plain service, from what it knows of the endpoints. */

export interface DispatchCandidate {
  readonly id: string
  readonly zone: string
  readonly isFailing: boolean
  /** Usual time of an answer in milliseconds; 0 where none was measured. */
  readonly latencyMs: number
}

interface KnownState {
  /** When a request that came then would have been answered, from that time on. */
  answerMs: number
  atMs: number
}

/** No more endpoints are asked for one request. */
const maxAsked = 3
/** What is known of an endpoint counts for this long: a queue of some 100 ms is gone by then, and half of the slow times are over. */
const stateTtlMs = 300
/** A request to another zone crosses zones twice, at about 1 ms each. */
const crossZoneMs = 2
/** Part of the usual time that is drawn at random, as hosts with the same knowledge would all choose the same endpoint. */
const noiseRatio = 0.5
/** Usual time of an answer where none was measured. */
const defaultLatencyMs = 40
/** Added for an endpoint that fails: more than any target, so that it is asked only behind all others. */
const failingMs = 10_000
/** Endpoints whose state is kept; more than published deployments have. */
const maxKnown = 1024

export class DispatchChoice {
  #known = new Map<string, KnownState>()

  /** Records when the granter of an endpoint expected to have a request answered. */
  recordAnswer (id: string, answerMs: number, nowMs: number): void {
    this.#known.delete(id)
    this.#known.set(id, { answerMs, atMs: nowMs })
    if (this.#known.size > maxKnown) this.#known.delete(this.#known.keys().next().value!)
  }

  /** Orders endpoints by when they are expected to answer; no more than are to be asked. */
  rank<Candidate extends DispatchCandidate> (candidates: readonly Candidate[], ownZone: string, nowMs: number, random: () => number): Candidate[] {
    const measured = candidates.map(({ latencyMs }) => latencyMs).filter(latencyMs => latencyMs > 0)
    const usualMs = measured.length > 0 ? measured.reduce((sum, latencyMs) => sum + latencyMs, 0) / measured.length : defaultLatencyMs
    return candidates
      .map(candidate => ({ candidate, costMs: this.#estimateMs(candidate, usualMs, nowMs) + (candidate.zone === ownZone ? 0 : crossZoneMs) + random() * noiseRatio * usualMs + (candidate.isFailing ? failingMs : 0) }))
      .sort((left, right) => left.costMs - right.costMs)
      .slice(0, maxAsked)
      .map(({ candidate }) => candidate)
  }

  #estimateMs ({ id }: DispatchCandidate, usualMs: number, nowMs: number): number {
    const known = this.#known.get(id)
    return known && nowMs - known.atMs <= stateTtlMs ? Math.max(usualMs, known.answerMs) : usualMs
  }
}

/**
 * Whether requests to a service are granted one by one: its endpoints report how slow they are, and there are more hosts than places,
 * so that no host can have a place of its own.
 *
 * @example
 * isDispatched([{ places: 6, hasReportedSlowness: true }], 80) // true
 */
export function isDispatched (endpoints: readonly { readonly places: number, readonly hasReportedSlowness: boolean }[], hostCount: number): boolean {
  if (!endpoints.some(({ hasReportedSlowness }) => hasReportedSlowness)) return false
  return hostCount > endpoints.reduce((sum, { places }) => sum + places, 0)
}
