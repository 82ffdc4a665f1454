/** Asks the owners of engines for a place, in the order in which a request's adapter should be served. */
import type { EndpointHealth } from '../../core/endpointHealth.js'
import { findHome, rankEngines } from '../../core/frontChoice.js'
import type { EngineCandidate } from '../../core/frontChoice.js'
import type { NewsBoard } from '../../core/newsBoard.js'
import { isVacant } from '../../core/orderLease.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import type { AskDetails, AskOutcome, PlaceClient } from './placeClient.js'
import type { FindLink, FoundTarget, PlaceSearch, Target, TargetQuery } from './targetFinder.js'

export interface EngineFinderOptions {
  clock: Clock
  log: EventLog
  board: NewsBoard
  health: EndpointHealth
  places: PlaceClient
  random: () => number
  findLink: FindLink
}

interface Silence {
  atMs: number
  /** The owner is not asked again for this long. */
  avoidMs: number
}

type Refusal = Extract<AskOutcome, { kind: 'refused' }>

/** An owner that did not answer is not asked again for this long, and for twice as long after each further silence. */
const avoidOwnerMs = 500
const maxAvoidOwnerMs = 4000
/** An engine whose owner said that it gives no places is not asked again for this long. */
const avoidEngineMs = 250
/** An adapter that was granted at an endpoint within this time is likely to be there still. */
const residentTermMs = 20_000
/** Owners that are asked whether they would rather not, before one has to take the request. */
const maxPolite = 4
const maxAsked = 7
/** Requests that a host may have at an engine without an owner's word, however many hosts there are. */
const minShare = 2
const noEndpointRetryMs = 300
/** Refusals of owners that know nothing of the load. */
const passingCodes: ReadonlySet<string> = new Set(['not_owner', 'no_orders', 'endpoint_not_ready', 'endpoint_leaving'])
/** Priorities on the engine from the route's rank; the engine's default is 5, and 0 is first. */
const basePriority = 3

export class EngineFinder {
  #options: EngineFinderOptions
  /** By session of the owner. */
  #silentOwners = new Map<string, Silence>()
  /** By endpoint. */
  #closedEngines = new Map<string, number>()
  /** When an adapter was last granted at an endpoint. */
  #residents = new Map<string, number>()

  constructor (options: EngineFinderOptions) {
    this.#options = options
  }

  async findEngine (query: TargetQuery, usable: EndpointEntry[]): Promise<FoundTarget> {
    const { model, adapter } = query.request
    const version = adapter === '' ? 0 : this.#options.board.findAdapterVersion(model, adapter)
    const name = adapter === '' ? `${model} ${this.#options.random()}` : `${model}/${adapter}@${version}`
    const candidates = usable.map(entry => this.#describe(entry))
    const ranked = rankEngines(name, candidates)
    const refusals: { endpoint: EndpointEntry, refusal: Refusal }[] = []
    const search: PlaceSearch = { answers: [], waitedMs: 0 }
    const home = findHome(name, candidates)!
    const order = ranked.map(({ id }) => id)
    let polite = 0
    let told: string | undefined
    for (let asked = 0; asked < Math.min(maxAsked, order.length) && polite < maxPolite && !query.isOver(); asked++) {
      const endpoint = usable.find(entry => entry.id === order[asked])!
      const found = await this.#try(query, endpoint, name, version, true, search)
      if (!found) continue
      if (!('code' in found)) {
        if (endpoint.id !== told) this.#tellHome(query, home, endpoint.id)
        return { ...found, search }
      }
      refusals.push({ endpoint, refusal: found })
      if (found.expectedMs >= 0) polite++
      if (found.elsewhere !== undefined && bringForward(order, found.elsewhere, asked + 1)) told = found.elsewhere
    }
    return { ...await this.#insist(query, home, name, version, refusals, search), search }
  }

  /** The home of an adapter sends its next requests to the engine that took this one. */
  #tellHome ({ request: { model, adapter } }: TargetQuery, home: string, takenBy: string): void {
    const { board, places } = this.#options
    const address = board.owners.get(home)?.row.address
    if (takenBy !== home && adapter !== '' && address) places.tellPlaced(address, { type: 'placed', endpointId: home, model, adapter, takenBy })
  }

  /** All that were asked would rather not: the one that would be soonest has to take the request or refuse it. */
  async #insist (
    query: TargetQuery, home: string, name: string, version: number, refusals: { endpoint: EndpointEntry, refusal: Refusal }[], search: PlaceSearch
  ): Promise<FoundTarget> {
    const open = refusals.filter(({ refusal }) => refusal.expectedMs >= 0).sort((left, right) => left.refusal.expectedMs - right.refusal.expectedMs)
    const soonest = open[0]
    let last = refusals[0]?.refusal
    if (soonest && !query.isOver()) {
      const found = await this.#try(query, soonest.endpoint, name, version, false, search)
      if (found && !('code' in found)) {
        this.#tellHome(query, home, soonest.endpoint.id)
        return found
      }
      last = found ?? last
    }
    return {
      kind: 'none',
      message: last?.message ?? `no owner of an engine of service "${query.service}" answers`,
      retryAfterMs: last && last.retryAfterMs > 0 ? last.retryAfterMs : noEndpointRetryMs,
      isPassing: refusals.every(({ refusal }) => passingCodes.has(refusal.code))
    }
  }

  /** Asks one owner; undefined where it does not answer and the engine cannot be used without it. */
  async #try (
    query: TargetQuery, endpoint: EndpointEntry, name: string, version: number, mayDecline: boolean, search: PlaceSearch
  ): Promise<FoundTarget | Refusal | undefined> {
    const address = this.#findOwnerAddress(endpoint)
    if (address === undefined) return this.#findResident(name, endpoint, version, query)
    const outcome = await this.#ask(query, endpoint, address, version, mayDecline)
    const nowMs = this.#options.clock.readMonotonic()
    if (outcome.kind !== 'silent') this.#silentOwners.delete(this.#options.board.owners.get(endpoint.id)?.row.session ?? '')
    search.answers.push(`${endpoint.id} ${outcome.kind === 'refused' ? `${outcome.code} ${Math.round(outcome.expectedMs)}` : outcome.kind}`)
    if (outcome.kind === 'granted') {
      search.waitedMs = Math.round(outcome.waitedMs)
      search.load = outcome.load
      this.#residents.set(`${name} ${endpoint.id}`, nowMs)
      return { kind: 'found', target: this.#createTarget(endpoint, outcome.version, query, (result, firstPartMs) => outcome.place.end(result, firstPartMs)) }
    }
    if (outcome.kind === 'refused') {
      if (outcome.code === 'no_orders' || outcome.code === 'not_owner') {
        const resident = this.#findResident(name, endpoint, version, query)
        if (resident) return resident
      }
      if (outcome.expectedMs < 0 && outcome.code !== 'out_of_reach' && outcome.code !== 'overdue') this.#closedEngines.set(endpoint.id, nowMs)
      return outcome
    }
    if (!query.isOver()) this.#recordSilent(address, endpoint, query)
    return this.#findResident(name, endpoint, version, query)
  }

  #describe (entry: EndpointEntry): EngineCandidate {
    const { health, clock } = this.#options
    const nowMs = clock.readMonotonic()
    const isClosed = nowMs - (this.#closedEngines.get(entry.id) ?? -Infinity) < avoidEngineMs
    return { id: entry.id, isFailing: isClosed || (health.isFailing(entry.id) && !health.takeProbe(entry.id, nowMs)) }
  }

  #findOwnerAddress (endpoint: EndpointEntry): string | undefined {
    const row = this.#options.board.owners.get(endpoint.id)?.row
    if (!row || isVacant(row)) return undefined
    const silence = this.#silentOwners.get(row.session)
    return silence && this.#options.clock.readMonotonic() - silence.atMs < silence.avoidMs ? undefined : row.address
  }

  async #ask (query: TargetQuery, endpoint: EndpointEntry, address: string, version: number, mayDecline: boolean): Promise<AskOutcome> {
    return await this.#options.places.ask(address, this.#describeAsk(query, endpoint, version, mayDecline)).outcome
  }

  #describeAsk (query: TargetQuery, endpoint: EndpointEntry, version: number, mayDecline: boolean): AskDetails {
    const { request, route, dueAtMs, uselessAtMs, endsAtMs } = query
    const nowMs = this.#options.clock.readMonotonic()
    return {
      endpointId: endpoint.id,
      requestId: request.requestId ?? '',
      model: request.model,
      adapter: request.adapter,
      version,
      route: route.name,
      rank: route.rank,
      dueInMs: dueAtMs - nowMs,
      uselessInMs: Math.min(endsAtMs, uselessAtMs) - nowMs,
      leavesInMs: endsAtMs - nowMs,
      promptTokens: request.promptTokens,
      maxTokens: request.maxTokens,
      parts: request.promptParts.map(({ id, tokens }) => [id, tokens]),
      mayDecline
    }
  }

  #recordSilent (address: string, endpoint: EndpointEntry, query: TargetQuery): void {
    const row = this.#options.board.owners.get(endpoint.id)?.row
    const nowMs = this.#options.clock.readMonotonic()
    const before = row && this.#silentOwners.get(row.session)
    // Requests that were asked for together count as one silence.
    if (row && !(before && nowMs - before.atMs < before.avoidMs)) {
      this.#silentOwners.set(row.session, { atMs: nowMs, avoidMs: Math.min(maxAvoidOwnerMs, (before?.avoidMs ?? avoidOwnerMs / 2) * 2) })
    }
    this.#options.log.record('owner.silent', 'The owner of an endpoint does not answer; it is not asked for a while.', {
      requestId: query.request.requestId, endpointId: endpoint.id, address, owner: row?.host
    })
  }

  /** An engine whose owner does not answer goes on serving what it holds, up to this host's share of its batch. */
  #findResident (name: string, endpoint: EndpointEntry, version: number, query: TargetQuery): FoundTarget | undefined {
    const { clock, board, health, places } = this.#options
    const { model, adapter } = query.request
    const grantedAtMs = this.#residents.get(`${name} ${endpoint.id}`) ?? -Infinity
    const isResident = adapter === '' || clock.readMonotonic() - grantedAtMs < residentTermMs || holdsAdapter(endpoint, model, adapter, version)
    const share = Math.max(minShare, endpoint.places / Math.max(1, board.hosts.size))
    if (!isResident || health.readInFlight(endpoint.id) >= share) return undefined
    // An owner that does not answer may yet come back, or be followed by another.
    const place = places.hold(board.owners.get(endpoint.id)?.row.address ?? '', this.#describeAsk(query, endpoint, version, false))
    return { kind: 'found', target: this.#createTarget(endpoint, version, query, (outcome, firstPartMs) => place.end(outcome, firstPartMs)) }
  }

  #createTarget (endpoint: EndpointEntry, version: number, { route }: TargetQuery, end: Target['end']): Target {
    return { endpoint, link: this.#options.findLink(endpoint), version, priority: basePriority + route.rank, end }
  }
}

/** Whether an engine's own entry lists an adapter; nobody changes what it holds while it has no owner. */
function holdsAdapter (endpoint: EndpointEntry, model: string, adapter: string, version: number): boolean {
  const held = endpoint.models.find(({ name }) => name === model)?.adapters.find(({ name }) => name === adapter)
  return held !== undefined && held.version >= version
}

/** Moves an engine that was not asked yet to a position; false where it cannot be asked. */
function bringForward (order: string[], id: string, position: number): boolean {
  const index = order.indexOf(id)
  if (index < position) return false
  order.splice(position, 0, ...order.splice(index, 1))
  return true
}
