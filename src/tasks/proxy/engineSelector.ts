/** Requests reservations from the owners of engines, in the order in which the engines should serve an adapter. */
import { computeBrittleShare } from '../../core/brittleEndpoints.js'
import type { EndpointHealth } from '../../core/endpointHealth.js'
import { findPreferredEngine, rankEngines } from '../../core/endpointSelection.js'
import type { EngineCandidate } from '../../core/endpointSelection.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { EndpointNotices } from '../../core/endpointNotices.js'
import { isUnowned } from '../../core/ownershipLease.js'
import { PeerBackoff } from '../../core/peerBackoff.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import type { LimitGrantClient } from './limitGrantClient.js'
import { createReservationDetails } from './reservationDetails.js'
import type { ReservationClient, ReservationOutcome } from './reservationClient.js'
import type { EndpointQuery, EndpointSelection, GetEndpointLink, ReservationSearch, SelectedEndpoint } from './endpointSelector.js'

export interface EngineSelectorOptions {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  health: EndpointHealth
  reservations: ReservationClient
  notices: EndpointNotices
  limitGrants: Pick<LimitGrantClient, 'requestGrant'>
  random: () => number
  getLink: GetEndpointLink
}

type Refusal = Extract<ReservationOutcome, { kind: 'refused' }>

/** An engine whose owner currently grants no reservations is ranked behind the others for this long. */
const engineBackoffMs = 250
/** An adapter is probably still loaded on an engine this long after a reservation for it was granted there. */
const grantedAdapterTtlMs = 20_000
/** Owners of engines that are not limited which may decline a request before the one that can start it first has to decide. */
const maxDeclines = 4
const maxOwnersAsked = 7
/** Requests that a host may always send to an engine without a grant from its owner, however many hosts there are. */
const minUngrantedRequests = 2
const noEndpointRetryMs = 300
/** Codes of refusals by owners that could not evaluate the load of the engine. */
const transientCodes: ReadonlySet<string> = new Set(['not_owner', 'no_orders', 'endpoint_not_ready', 'endpoint_leaving'])
/** Codes of refusals because of the engine's load or limit; the engine takes other requests nevertheless. */
const loadCodes: ReadonlySet<string> = new Set(['out_of_reach', 'overdue', 'limited'])
/** Added to the rank of the route to get the request's priority on the engine, where 0 runs first and 5 is the default. */
const basePriority = 3

export class EngineSelector {
  #options: EngineSelectorOptions
  #ownerBackoff = new PeerBackoff()
  /** When the owner of an engine last said that it grants no reservations, by endpoint id. */
  #closedEngines = new Map<string, number>()
  /** When a reservation for an adapter was last granted at an endpoint, by `RANKING_KEY ENDPOINT_ID`. */
  #grantedAdapters = new Map<string, number>()

  constructor (options: EngineSelectorOptions) {
    this.#options = options
  }

  async selectEngine (query: EndpointQuery, usable: EndpointEntry[]): Promise<EndpointSelection> {
    const { model, adapter } = query.request
    const version = adapter === '' ? 0 : this.#options.clusterView.findAdapterVersion(model, adapter)
    const rankingKey = adapter === '' ? `${model} ${this.#options.random()}` : `${model}/${adapter}@${version}`
    const candidates = usable.map(entry => this.#createCandidate(entry))
    const ranked = rankEngines(rankingKey, candidates)
    const refusals: { endpoint: EndpointEntry, refusal: Refusal }[] = []
    const search: ReservationSearch = { answers: [], waitedMs: 0 }
    const preferredId = findPreferredEngine(rankingKey, candidates)!
    const order = ranked.map(({ id }) => id)
    let declines = 0
    // Engine that the owner of the preferred engine already knows to serve the adapter.
    let knownServingId: string | undefined
    for (let asked = 0; asked < Math.min(maxOwnersAsked, order.length) && declines < maxDeclines && !query.hasEnded(); asked++) {
      const endpoint = usable.find(entry => entry.id === order[asked])!
      const result = await this.#tryEngine(query, endpoint, rankingKey, version, true, search)
      if (!result) continue
      if (!('code' in result)) {
        if (endpoint.id !== knownServingId) this.#notifyPreferredEngine(query, preferredId, endpoint.id)
        return { ...result, search }
      }
      refusals.push({ endpoint, refusal: result })
      if (result.expectedMs >= 0 && !this.#isLimited(endpoint)) declines++
      if (result.elsewhere !== undefined && moveForward(order, result.elsewhere, asked + 1)) knownServingId = result.elsewhere
    }
    return { ...await this.#requireDecision(query, preferredId, rankingKey, version, refusals, search), search }
  }

  /** Notifies the owner of an adapter's preferred engine, which refers later requests to the engine that serves this one. */
  #notifyPreferredEngine ({ request: { model, adapter } }: EndpointQuery, preferredId: string, servingId: string): void {
    const { clusterView, reservations } = this.#options
    const address = clusterView.owners.get(preferredId)?.row.address
    if (servingId !== preferredId && adapter !== '' && address) reservations.notifyServedElsewhere(address, { type: 'placed', endpointId: preferredId, model, adapter, takenBy: servingId })
  }

  /** After all owners that were asked have declined: the one that can start the request first has to accept or refuse it. */
  async #requireDecision (
    query: EndpointQuery, preferredId: string, rankingKey: string, version: number, refusals: { endpoint: EndpointEntry, refusal: Refusal }[], search: ReservationSearch
  ): Promise<EndpointSelection> {
    const declined = refusals.filter(({ refusal }) => refusal.expectedMs >= 0).sort((left, right) => left.refusal.expectedMs - right.refusal.expectedMs)
    let decisive = refusals[0]?.refusal
    for (const { endpoint } of declined) {
      if (query.hasEnded()) break
      const result = await this.#tryEngine(query, endpoint, rankingKey, version, false, search)
      if (result && !('code' in result)) {
        this.#notifyPreferredEngine(query, preferredId, endpoint.id)
        return result
      }
      decisive = result ?? decisive
      // Requests of all hosts may have taken the next turns of a limited engine since it was asked first.
      if (result?.code !== 'limited') break
    }
    return {
      kind: 'none',
      message: decisive?.message ?? `no owner of an engine of service "${query.service}" responds`,
      retryAfterMs: decisive && decisive.retryAfterMs > 0 ? decisive.retryAfterMs : noEndpointRetryMs,
      isTransient: refusals.every(({ refusal }) => transientCodes.has(refusal.code))
    }
  }

  /** Asks the owner of one engine; undefined if it does not respond and the engine cannot be used without a grant. */
  async #tryEngine (
    query: EndpointQuery, endpoint: EndpointEntry, rankingKey: string, version: number, mayDecline: boolean, search: ReservationSearch
  ): Promise<EndpointSelection | Refusal | undefined> {
    const address = this.#findOwnerAddress(endpoint)
    if (address === undefined) return await this.#useWithoutGrant(rankingKey, endpoint, version, query)
    const outcome = await this.#requestReservation(query, endpoint, address, version, mayDecline)
    const nowMs = this.#options.clock.readMonotonic()
    if (outcome.kind !== 'silent') this.#ownerBackoff.recordResponse(this.#options.clusterView.owners.get(endpoint.id)?.row.session ?? '')
    search.answers.push(`${endpoint.id} ${outcome.kind === 'refused' ? `${outcome.code} ${Math.round(outcome.expectedMs)}` : outcome.kind}`)
    if (outcome.kind === 'granted') {
      search.waitedMs = Math.round(outcome.waitedMs)
      search.load = outcome.load
      this.#grantedAdapters.set(`${rankingKey} ${endpoint.id}`, nowMs)
      return { kind: 'found', target: this.#createTarget(endpoint, outcome.version, true, query, (result, firstChunkMs, figures) => outcome.reservation.release(result, firstChunkMs, figures)) }
    }
    if (outcome.kind === 'refused') {
      if (outcome.code === 'no_orders' || outcome.code === 'not_owner') {
        const ungranted = await this.#useWithoutGrant(rankingKey, endpoint, version, query)
        if (ungranted) return ungranted
      }
      if (outcome.expectedMs < 0 && !loadCodes.has(outcome.code)) this.#closedEngines.set(endpoint.id, nowMs)
      return outcome
    }
    if (!query.hasEnded()) this.#recordUnresponsiveOwner(address, endpoint, query)
    return await this.#useWithoutGrant(rankingKey, endpoint, version, query)
  }

  #isLimited (endpoint: EndpointEntry): boolean {
    const { clock, notices } = this.#options
    return notices.getRate(endpoint, clock.readMonotonic()) !== undefined
  }

  #createCandidate (entry: EndpointEntry): EngineCandidate {
    const { health, clock } = this.#options
    const nowMs = clock.readMonotonic()
    const isClosed = nowMs - (this.#closedEngines.get(entry.id) ?? -Infinity) < engineBackoffMs
    return { id: entry.id, isFailing: isClosed || (health.isFailing(entry.id) && !health.tryAcquireProbe(entry.id, nowMs)) }
  }

  /** Returns the address of an endpoint's owner; undefined if there is no owner, or if it is skipped as unresponsive. */
  #findOwnerAddress (endpoint: EndpointEntry): string | undefined {
    const row = this.#options.clusterView.owners.get(endpoint.id)?.row
    if (!row || isUnowned(row)) return undefined
    return this.#ownerBackoff.isSkipped(row.session, this.#options.clock.readMonotonic()) ? undefined : row.address
  }

  async #requestReservation (query: EndpointQuery, endpoint: EndpointEntry, address: string, version: number, mayDecline: boolean): Promise<ReservationOutcome> {
    return await this.#options.reservations.requestReservation(address, createReservationDetails(query, endpoint, version, mayDecline, this.#options.clock.readMonotonic())).outcome
  }

  #recordUnresponsiveOwner (address: string, endpoint: EndpointEntry, query: EndpointQuery): void {
    const row = this.#options.clusterView.owners.get(endpoint.id)?.row
    if (row) this.#ownerBackoff.recordSilence(row.session, this.#options.clock.readMonotonic())
    this.#options.log.record('owner.silent', 'The owner of an endpoint does not respond; this host skips it for a while.', {
      requestId: query.request.requestId, endpointId: endpoint.id, address, owner: row?.host
    })
  }

  /**
   * Uses an engine without a grant of its owner, for adapters that it has loaded and up to this host's share of its batch slots. If
   * the engine is limited, another host has to grant the request.
   */
  async #useWithoutGrant (rankingKey: string, endpoint: EndpointEntry, version: number, query: EndpointQuery): Promise<EndpointSelection | undefined> {
    const { clock, clusterView, health, limitGrants, notices, reservations } = this.#options
    const { model, adapter } = query.request
    const grantedAtMs = this.#grantedAdapters.get(`${rankingKey} ${endpoint.id}`) ?? -Infinity
    const isLoaded = adapter === '' || clock.readMonotonic() - grantedAtMs < grantedAdapterTtlMs || hasAdapter(endpoint, model, adapter, version)
    const hostCount = Math.max(1, clusterView.hosts.size)
    const isBrittle = notices.getMaxRejections(endpoint) !== undefined
    const share = isBrittle ? computeBrittleShare(endpoint.places, hostCount) : Math.max(minUngrantedRequests, endpoint.places / hostCount)
    if (!isLoaded || health.getInFlightCount(endpoint.id) >= share) return undefined
    const details = createReservationDetails(query, endpoint, version, false, clock.readMonotonic())
    if (this.#isLimited(endpoint)) {
      const outcome = await limitGrants.requestGrant({ ...details, mayDecline: true })
      if (outcome.kind !== 'granted') return undefined
      // The endpoint's owner, not the granter, counts the requests that run there.
      outcome.reservation.release('withdrawn', -1)
    }
    // The owner is notified nevertheless, because it may respond again or be replaced by another one.
    const reservation = reservations.reserveWithoutGrant(clusterView.owners.get(endpoint.id)?.row.address ?? '', details)
    return { kind: 'found', target: this.#createTarget(endpoint, version, false, query, (outcome, firstChunkMs, figures) => reservation.release(outcome, firstChunkMs, figures)) }
  }

  #createTarget (endpoint: EndpointEntry, version: number, isGranted: boolean, { route, isResumed }: EndpointQuery, release: SelectedEndpoint['release']): SelectedEndpoint {
    return { endpoint, link: this.#options.getLink(endpoint), version, priority: basePriority + route.rank - (isResumed ? 1 : 0), isGranted, release }
  }
}

/** Whether an engine's own entry lists an adapter. Without an owner the list stays valid, as only the owner changes it. */
function hasAdapter (endpoint: EndpointEntry, model: string, adapter: string, version: number): boolean {
  const loaded = endpoint.models.find(({ name }) => name === model)?.adapters.find(({ name }) => name === adapter)
  return loaded !== undefined && loaded.version >= version
}

/** Moves an engine that has not been asked yet to an earlier position; false if it is not in the rest of the order. */
function moveForward (order: string[], id: string, position: number): boolean {
  const index = order.indexOf(id)
  if (index < position) return false
  order.splice(position, 0, ...order.splice(index, 1))
  return true
}
