/** Selects an endpoint of a plain service whose requests are granted one by one, with a place there. */
import { DispatchChoice, isDispatched } from '../../core/dispatch/dispatchChoice.js'
import type { DispatchCandidate } from '../../core/dispatch/dispatchChoice.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { EndpointHealth } from '../../core/endpointHealth.js'
import type { EndpointNotices } from '../../core/endpointNotices.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import type { DispatchClient } from './dispatchClient.js'
import type { EndpointQuery, EndpointSelection, GetEndpointLink, ReservationSearch, SelectedEndpoint } from './endpointSelector.js'
import { createReservationDetails } from './reservationDetails.js'
import type { ReservationOutcome } from './reservationClient.js'

export interface DispatchSelectorOptions {
  clock: Clock
  clusterView: Pick<ClusterView, 'hosts' | 'endpoints'>
  health: EndpointHealth
  notices: EndpointNotices
  places: Pick<DispatchClient, 'requestPlace'>
  own: { zone: string }
  random: () => number
  getLink: GetEndpointLink
}

type Refusal = Extract<ReservationOutcome, { kind: 'refused' }>

/** When a caller may come back if no host grants and this host has used its share. */
const ungrantedRetryMs = 100
/** Requests that a host may always have at an endpoint while no host grants, however many hosts there are. */
const minUngrantedRequests = 1
/** An endpoint that left or paused while it was asked does not say when to come back. */
const leavingCode = 'endpoint_leaving'

export class DispatchSelector {
  #options: DispatchSelectorOptions
  #choice = new DispatchChoice()

  constructor (options: DispatchSelectorOptions) {
    this.#options = options
  }

  /** Whether requests to the service are granted; limited and brittle endpoints are selected by their own rules. */
  isUsedFor (service: string, accepting: readonly EndpointEntry[]): boolean {
    const { clock, clusterView, health, notices } = this.#options
    if (!accepting.some(({ id }) => health.hasReportedSlowness(id))) return false
    const nowMs = clock.readMonotonic()
    const known = clusterView.endpoints.listUsable(service, nowMs)
    if (known.some(entry => notices.getRate(entry, nowMs) !== undefined || notices.getMaxRejections(entry) !== undefined)) return false
    return isDispatched(known.map(({ id, places }) => ({ places, hasReportedSlowness: health.hasReportedSlowness(id) })), clusterView.hosts.size)
  }

  async selectEndpoint (query: EndpointQuery, usable: readonly EndpointEntry[]): Promise<EndpointSelection> {
    const { clock, own, random } = this.#options
    const ranked = this.#choice.rank(usable.map(entry => this.#createCandidate(entry)), own.zone, clock.readMonotonic(), random)
    const search: ReservationSearch = { answers: [], waitedMs: 0, isDispatched: true }
    const refusals: Refusal[] = []
    const silent: EndpointEntry[] = []
    let best: { endpoint: EndpointEntry, answerMs: number } | undefined
    for (const { endpoint } of ranked) {
      if (query.hasEnded()) break
      const outcome = await this.#requestPlace(query, endpoint, ranked.length > 1, best?.answerMs, search)
      if (outcome.kind === 'granted') return { kind: 'found', target: this.#createGranted(endpoint, outcome), search }
      if (outcome.kind === 'silent') silent.push(endpoint)
      else if (outcome.code !== 'declined') refusals.push(outcome)
      else if (!best || outcome.expectedMs < best.answerMs) best = { endpoint, answerMs: outcome.expectedMs }
    }
    const ungranted = query.hasEnded() ? undefined : this.#findUngranted(silent)
    if (ungranted) return { kind: 'found', target: this.#createTarget(ungranted), search }
    if (best && !query.hasEnded()) {
      const outcome = await this.#requestPlace(query, best.endpoint, false, undefined, search)
      if (outcome.kind === 'granted') return { kind: 'found', target: this.#createGranted(best.endpoint, outcome), search }
      if (outcome.kind === 'refused') refusals.push(outcome)
    }
    return { ...this.#createRefusal(query.service, refusals), search }
  }

  async #requestPlace (query: EndpointQuery, endpoint: EndpointEntry, mayDecline: boolean, elsewhereMs: number | undefined, search: ReservationSearch): Promise<ReservationOutcome> {
    const { clock, places } = this.#options
    const details = createReservationDetails(query, endpoint, 0, mayDecline, clock.readMonotonic())
    const outcome = await places.requestPlace({ ...details, ...(elsewhereMs !== undefined && { elsewhereMs }) })
    search.answers.push(`${endpoint.id} ${outcome.kind === 'refused' ? `${outcome.code} ${Math.round(outcome.expectedMs)}` : outcome.kind}`)
    const answerMs = outcome.kind === 'refused' ? outcome.expectedMs : outcome.kind === 'granted' ? outcome.answerMs ?? -1 : -1
    if (answerMs >= 0) this.#choice.recordAnswer(endpoint.id, answerMs, clock.readMonotonic())
    if (outcome.kind === 'granted') search.waitedMs = Math.round(outcome.waitedMs)
    return outcome
  }

  /** Of the endpoints that no host grants, the one with the fewest requests of this host, if they are fewer than its share. */
  #findUngranted (silent: readonly EndpointEntry[]): EndpointEntry | undefined {
    const { clusterView, health } = this.#options
    const hostCount = Math.max(1, clusterView.hosts.size)
    const free = silent.filter(({ id, places }) => health.getInFlightCount(id) < Math.max(minUngrantedRequests, places / hostCount))
    return free.length === 0 ? undefined : free.reduce((left, right) => health.getInFlightCount(left.id) <= health.getInFlightCount(right.id) ? left : right)
  }

  #createRefusal (service: string, refusals: readonly Refusal[]): EndpointSelection & { kind: 'none' } {
    const decided = refusals.filter(({ code }) => code !== leavingCode)
    if (decided.length === 0) {
      const message = refusals[0]?.message ?? `no host grants requests to endpoints of service "${service}"`
      return { kind: 'none', message, retryAfterMs: ungrantedRetryMs * (1 + this.#options.random()), isTransient: false }
    }
    const soonest = decided.reduce((left, right) => left.retryAfterMs <= right.retryAfterMs ? left : right)
    return { kind: 'none', message: soonest.message, retryAfterMs: soonest.retryAfterMs, isTransient: false }
  }

  #createCandidate (endpoint: EndpointEntry): DispatchCandidate & { endpoint: EndpointEntry } {
    const { health, clock } = this.#options
    const { id, zone } = endpoint
    const isFailing = health.isFailing(id) && !health.tryAcquireProbe(id, clock.readMonotonic())
    return { id, zone, isFailing, latencyMs: health.getLatencyMs(id), endpoint }
  }

  #createGranted (endpoint: EndpointEntry, { reservation }: Extract<ReservationOutcome, { kind: 'granted' }>): SelectedEndpoint {
    return { ...this.#createTarget(endpoint), isGranted: true, release: (outcome, firstChunkMs, figures) => reservation.release(outcome, firstChunkMs, figures) }
  }

  #createTarget (endpoint: EndpointEntry): SelectedEndpoint {
    return { endpoint, link: this.#options.getLink(endpoint), version: 0, priority: undefined, isGranted: false, release: () => {} }
  }
}
