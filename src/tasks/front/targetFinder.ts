/** Finds an endpoint with a free place for a request. */
import type { EndpointHealth } from '../../core/endpointHealth.js'
import { pickLeastBusy, rankEngines } from '../../core/frontChoice.js'
import type { FrontCandidate } from '../../core/frontChoice.js'
import { isVacant } from '../../core/orderLease.js'
import { computeHash } from '../../core/rendezvousHash.js'
import type { NewsBoard } from '../../core/newsBoard.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { PlaceOutcome } from '../../schemas/datagram.js'
import type { EndpointEntry, Route } from '../../schemas/routing.js'
import type { AskOutcome, PlaceClient } from './placeClient.js'

export interface Target {
  readonly endpoint: EndpointEntry
  readonly link: EndpointLink
  /** Adapter version that the endpoint must have; 0 where none was declared. */
  readonly version: number
  readonly priority: number | undefined
  /** Tells the endpoint's owner what became of the place. */
  readonly end: (outcome: PlaceOutcome, firstPartMs: number) => void
}

export interface TargetQuery {
  request: CallerRequest
  route: Route
  service: string
  /** Endpoints that the request was sent to before. */
  tried: readonly string[]
  endsAtMs: number
  isOver: () => boolean
}

export type FoundTarget =
  | { kind: 'found', target: Target }
  | { kind: 'none', message: string, retryAfterMs: number }

export interface TargetFinderOptions {
  clock: Clock
  log: EventLog
  board: NewsBoard
  health: EndpointHealth
  places: PlaceClient
  zone: string
  random: () => number
  findLink: (endpoint: EndpointEntry) => EndpointLink
}

/** An owner that did not answer is not asked again for this long; a takeover takes some 4 s. */
const avoidOwnerMs = 1000
/** An adapter that was granted at an endpoint within this time is likely to be there still. */
const residentTermMs = 20_000
/** Owners that are asked for one request, one after the other. */
const maxAsked = 4
const noEndpointRetryMs = 300
/** Priorities on the engine from the route's rank; the engine's default is 5, and 0 is first. */
const basePriority = 3

export class TargetFinder {
  #options: TargetFinderOptions
  #silentOwners = new Map<string, number>()
  /** When an adapter was last granted at an endpoint. */
  #residents = new Map<string, number>()

  constructor (options: TargetFinderOptions) {
    this.#options = options
  }

  async findTarget (query: TargetQuery): Promise<FoundTarget> {
    const { board, clock } = this.#options
    const service = board.routes?.configuration.services.get(query.service)
    const entries = board.endpoints.listUsable(query.service, clock.readMonotonic())
    const fresh = entries.filter(entry => !query.tried.includes(entry.id))
    const usable = (fresh.length > 0 ? fresh : entries).filter(entry => this.#options.findLink(entry).hasRoom)
    if (usable.length === 0) {
      const message = entries.length === 0 ? `no endpoint of service "${query.service}" is ready` : `all connections to service "${query.service}" are in use`
      return { kind: 'none', message, retryAfterMs: noEndpointRetryMs }
    }
    return service?.engine ? await this.#findEngine(query, usable) : this.#findPlain(usable)
  }

  #findPlain (usable: EndpointEntry[]): FoundTarget {
    const { zone, random } = this.#options
    const candidates = usable.map(entry => this.#describe(entry))
    const best = pickLeastBusy(candidates, zone, random)!
    const endpoint = usable.find(entry => entry.id === best.id)!
    return { kind: 'found', target: { endpoint, link: this.#options.findLink(endpoint), version: 0, priority: undefined, end: () => {} } }
  }

  #describe (entry: EndpointEntry): FrontCandidate {
    const { health, clock } = this.#options
    const nowMs = clock.readMonotonic()
    const isFailing = health.isFailing(entry.id) && !health.takeProbe(entry.id, nowMs)
    return { id: entry.id, zone: entry.zone, busyPart: health.readBusyPart(entry.id, entry.places, nowMs), latencyMs: health.readLatencyMs(entry.id), isFailing }
  }

  /** Asks the owners of the engines in rank until one grants a place. */
  async #findEngine (query: TargetQuery, usable: EndpointEntry[]): Promise<FoundTarget> {
    const { board } = this.#options
    const { model, adapter } = query.request
    const version = adapter === '' ? 0 : board.findAdapterVersion(model, adapter)
    const name = adapter === '' ? `${model} ${this.#options.random()}` : `${model}/${adapter}@${version}`
    const ranked = rankEngines(name, usable.map(entry => this.#describe(entry)))
    let refusal: Extract<AskOutcome, { kind: 'refused' }> | undefined
    let asked = 0
    for (const { id } of ranked) {
      if (asked >= maxAsked || query.isOver()) break
      const endpoint = usable.find(entry => entry.id === id)!
      const address = this.#findOwnerAddress(endpoint)
      if (address === undefined) {
        if (this.#isResident(name, id)) return this.#createUnasked(endpoint, version, query.route)
        continue
      }
      asked++
      const outcome = await this.#ask(query, endpoint, address, version)
      if (outcome.kind === 'granted') {
        this.#residents.set(`${name} ${id}`, this.#options.clock.readMonotonic())
        return this.#createGranted(endpoint, outcome, query.route)
      }
      if (outcome.kind === 'refused') refusal ??= outcome
      else if (!query.isOver()) this.#recordSilent(address, endpoint, query)
      if (outcome.kind === 'silent' && this.#isResident(name, id)) return this.#createUnasked(endpoint, version, query.route)
    }
    return {
      kind: 'none',
      message: refusal?.message ?? `no owner of an engine of service "${query.service}" answers`,
      retryAfterMs: refusal?.retryAfterMs ?? noEndpointRetryMs
    }
  }

  #findOwnerAddress (endpoint: EndpointEntry): string | undefined {
    const row = this.#options.board.owners.get(endpoint.id)?.row
    if (!row || isVacant(row)) return undefined
    const silentAtMs = this.#silentOwners.get(row.session) ?? -Infinity
    return this.#options.clock.readMonotonic() - silentAtMs < avoidOwnerMs ? undefined : row.address
  }

  async #ask (query: TargetQuery, endpoint: EndpointEntry, address: string, version: number): Promise<AskOutcome> {
    const { request, route, endsAtMs } = query
    const nowMs = this.#options.clock.readMonotonic()
    const pending = this.#options.places.ask(address, {
      endpointId: endpoint.id,
      requestId: request.requestId ?? '',
      model: request.model,
      adapter: request.adapter,
      version,
      route: route.name,
      rank: route.rank,
      dueInMs: request.receivedAtMs + route.targetMs - nowMs,
      leavesInMs: endsAtMs - nowMs,
      promptTokens: Math.round(request.promptTokens),
      maxTokens: Math.round(request.maxTokens),
      fingerprint: computeHash(`${request.path} ${request.body?.toString('latin1') ?? ''}`).toString(16)
    })
    return await pending.outcome
  }

  #recordSilent (address: string, endpoint: EndpointEntry, query: TargetQuery): void {
    const row = this.#options.board.owners.get(endpoint.id)?.row
    if (row) this.#silentOwners.set(row.session, this.#options.clock.readMonotonic())
    this.#options.log.record('owner.silent', 'The owner of an endpoint does not answer; it is not asked for a while.', {
      requestId: query.request.requestId, endpointId: endpoint.id, address, owner: row?.host
    })
  }

  #isResident (name: string, endpointId: string): boolean {
    const grantedAtMs = this.#residents.get(`${name} ${endpointId}`)
    return grantedAtMs !== undefined && this.#options.clock.readMonotonic() - grantedAtMs < residentTermMs
  }

  #createGranted (endpoint: EndpointEntry, { place, version }: Extract<AskOutcome, { kind: 'granted' }>, route: Route): FoundTarget {
    return {
      kind: 'found',
      target: { endpoint, link: this.#options.findLink(endpoint), version, priority: basePriority + route.rank, end: (outcome, firstPartMs) => place.end(outcome, firstPartMs) }
    }
  }

  /** An engine without an owner goes on serving what it holds. */
  #createUnasked (endpoint: EndpointEntry, version: number, route: Route): FoundTarget {
    return {
      kind: 'found',
      target: { endpoint, link: this.#options.findLink(endpoint), version, priority: basePriority + route.rank, end: () => {} }
    }
  }
}
