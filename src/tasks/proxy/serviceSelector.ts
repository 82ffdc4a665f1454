/** Selects an endpoint of a service without engines: the least busy one or, where endpoints are limited, one that is granted. */
import { computeBrittleShares } from '../../core/brittleEndpoints.js'
import type { EndpointHealth } from '../../core/endpointHealth.js'
import type { EndpointNotices } from '../../core/endpointNotices.js'
import { pickLeastBusy } from '../../core/endpointSelection.js'
import type { EndpointCandidate } from '../../core/endpointSelection.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import type { DispatchSelector } from './dispatchSelector.js'
import type { EndpointQuery, EndpointSelection, GetEndpointLink, SelectedEndpoint } from './endpointSelector.js'
import type { LimitGrantClient } from './limitGrantClient.js'
import { createReservationDetails } from './reservationDetails.js'
import type { ReservationOutcome } from './reservationClient.js'

export interface ServiceSelectorOptions {
  clock: Clock
  clusterView: Pick<ClusterView, 'hosts' | 'endpoints'>
  health: EndpointHealth
  notices: EndpointNotices
  limitGrants: Pick<LimitGrantClient, 'requestGrant'>
  dispatch: Pick<DispatchSelector, 'isUsedFor' | 'selectEndpoint'>
  own: { host: string, zone: string }
  random: () => number
  getLink: GetEndpointLink
}

/** A granter that refused or did not respond is asked again after this time at the earliest. */
const minAskIntervalMs = 100
/** When a caller may come back whose service is brittle and busy. */
const brittleRetryMs = 200
/** While other endpoints take requests, it is asked again after this time at the latest. */
const maxAskIntervalMs = 5000

export class ServiceSelector {
  #options: ServiceSelectorOptions
  /** When the granter of a limited endpoint may be asked again, by endpoint id. */
  #nextAskAtMs = new Map<string, number>()

  constructor (options: ServiceSelectorOptions) {
    this.#options = options
  }

  async selectEndpoint (query: EndpointQuery, accepting: readonly EndpointEntry[]): Promise<EndpointSelection> {
    const { clock, notices, random, dispatch } = this.#options
    if (dispatch.isUsedFor(query.service, accepting)) return await dispatch.selectEndpoint(query, accepting)
    const usable = this.#filterByRoom(query.service, accepting)
    if (usable.length === 0) return { kind: 'none', message: `all endpoints of service "${query.service}" are brittle and busy`, retryAfterMs: brittleRetryMs * (1 + random()), isTransient: true }
    const limited = usable.filter(entry => notices.getRate(entry, clock.readMonotonic()) !== undefined)
    const unlimited = usable.filter(entry => !limited.includes(entry))
    for (const { id } of unlimited) this.#nextAskAtMs.delete(id)
    const granted = await this.#tryLimited(query, limited.filter(({ id }) => clock.readMonotonic() >= this.#getNextAskAtMs(id)), unlimited.length > 0)
    if (granted) return granted
    if (unlimited.length > 0) return { kind: 'found', target: this.#createTarget(this.#pickLeastBusy(unlimited)) }
    const soonest = limited.reduce((left, right) => this.#getNextAskAtMs(left.id) <= this.#getNextAskAtMs(right.id) ? left : right)
    const waitMs = this.#getNextAskAtMs(soonest.id) - clock.readMonotonic()
    if (query.dueAtMs > clock.readMonotonic() + waitMs && !query.hasEnded()) return await this.#requireDecision(query, soonest)
    return createRefusal(`all endpoints of service "${query.service}" take few requests`, Math.max(minAskIntervalMs, waitMs) * (1 + random()))
  }

  /**
   * Keeps the endpoints that have room for a request of this host. Brittle ones must not be made to reject it; where one endpoint has
   * said that it is brittle, the others of its service, or its next process, have only not been heard since.
   */
  #filterByRoom (service: string, entries: readonly EndpointEntry[]): readonly EndpointEntry[] {
    const { clock, clusterView, health, notices, own } = this.#options
    const known = clusterView.endpoints.listUsable(service, clock.readMonotonic())
    if (known.every(entry => notices.getMaxRejections(entry) === undefined)) return entries
    const shares = computeBrittleShares(known, [...clusterView.hosts.keys()], own.host)
    return entries.filter(({ id }) => health.getInFlightCount(id) < (shares.get(id) ?? 0))
  }

  /** Requests a grant that can be used at once, in random order so that all limited endpoints get requests. */
  async #tryLimited (query: EndpointQuery, limited: readonly EndpointEntry[], hasOthers: boolean): Promise<EndpointSelection | undefined> {
    const { random } = this.#options
    const order = limited.map(entry => ({ entry, rank: random() })).sort((left, right) => left.rank - right.rank)
    for (const { entry } of order) {
      if (query.hasEnded()) return undefined
      const outcome = await this.#requestGrant(query, entry, true)
      if (outcome.kind === 'granted') return this.#createGranted(entry, outcome)
      this.#scheduleNextAsk(entry, outcome, hasOthers)
    }
    return undefined
  }

  /** The endpoint that can take the request first: its granter queues the request or refuses it. */
  async #requireDecision (query: EndpointQuery, endpoint: EndpointEntry): Promise<EndpointSelection> {
    const outcome = await this.#requestGrant(query, endpoint, false)
    if (outcome.kind === 'granted') return this.#createGranted(endpoint, outcome)
    this.#scheduleNextAsk(endpoint, outcome, false)
    return outcome.kind === 'refused'
      ? createRefusal(outcome.message, outcome.retryAfterMs)
      : createRefusal(`no host grants requests to endpoint "${endpoint.id}", which takes few`, minAskIntervalMs)
  }

  async #requestGrant (query: EndpointQuery, endpoint: EndpointEntry, mayDecline: boolean): Promise<ReservationOutcome> {
    const { clock, limitGrants } = this.#options
    return await limitGrants.requestGrant(createReservationDetails(query, endpoint, 0, mayDecline, clock.readMonotonic()))
  }

  /** Spreads the next requests of all hosts over the time in which the endpoint takes one from each. */
  #scheduleNextAsk (endpoint: EndpointEntry, outcome: ReservationOutcome, hasOthers: boolean): void {
    const { clock, clusterView, notices, random } = this.#options
    const nowMs = clock.readMonotonic()
    const expectedMs = outcome.kind === 'refused' ? Math.max(0, outcome.expectedMs) : minAskIntervalMs
    const intervalMs = 1000 / (notices.getRate(endpoint, nowMs) ?? Infinity)
    const spreadMs = hasOthers ? random() * clusterView.hosts.size * intervalMs : 0
    this.#nextAskAtMs.set(endpoint.id, nowMs + Math.min(maxAskIntervalMs, Math.max(minAskIntervalMs, expectedMs + spreadMs)))
  }

  #getNextAskAtMs (endpointId: string): number {
    return this.#nextAskAtMs.get(endpointId) ?? -Infinity
  }

  #createGranted (endpoint: EndpointEntry, outcome: Extract<ReservationOutcome, { kind: 'granted' }>): EndpointSelection {
    return { kind: 'found', target: { ...this.#createTarget(endpoint), isGranted: true, release: (result, firstChunkMs) => outcome.reservation.release(result, firstChunkMs) } }
  }

  #createTarget (endpoint: EndpointEntry): SelectedEndpoint {
    return { endpoint, link: this.#options.getLink(endpoint), version: 0, priority: undefined, isGranted: false, release: () => {} }
  }

  #pickLeastBusy (entries: readonly EndpointEntry[]): EndpointEntry {
    const { own, random } = this.#options
    const best = pickLeastBusy(entries.map(entry => this.#createCandidate(entry)), own.zone, random)!
    return entries.find(entry => entry.id === best.id)!
  }

  #createCandidate (entry: EndpointEntry): EndpointCandidate {
    const { health, clock } = this.#options
    const nowMs = clock.readMonotonic()
    const isFailing = health.isFailing(entry.id) && !health.tryAcquireProbe(entry.id, nowMs)
    return { id: entry.id, zone: entry.zone, utilization: health.getUtilization(entry.id, entry.places, nowMs), latencyMs: health.getLatencyMs(entry.id), isFailing }
  }
}

function createRefusal (message: string, retryAfterMs: number): EndpointSelection {
  return { kind: 'none', message, retryAfterMs, isTransient: false }
}
