/** Finds an endpoint with a place for a request. */
import type { EndpointSigns } from '../../core/endpointSigns.js'
import type { EndpointHealth } from '../../core/endpointHealth.js'
import { pickLeastBusy } from '../../core/frontChoice.js'
import type { FrontCandidate } from '../../core/frontChoice.js'
import type { NewsBoard } from '../../core/newsBoard.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { DeskLoad, PlaceOutcome } from '../../schemas/datagram.js'
import type { EndpointEntry, Route } from '../../schemas/routing.js'
import type { EngineFinder } from './engineFinder.js'

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
  /** When its answer becomes late, counted from its caller's first try or from the last part of a stream. */
  dueAtMs: number
  /** From when on a start is of no use, as its caller will have left. */
  uselessAtMs: number
  endsAtMs: number
  isOver: () => boolean
}

/** How a place was sought, for the log. */
export interface PlaceSearch {
  /** What each owner that was asked said, in order: the engine, then `granted`, `silent` or a refusal's code with the milliseconds in which the engine would start. */
  answers: string[]
  /** How long the request waited at the owner that granted it, in milliseconds. */
  waitedMs: number
  /** How busy its owner knew the engine to be at the grant. */
  load?: DeskLoad
}

export type FoundTarget =
  | { kind: 'found', target: Target, search?: PlaceSearch }
  /** `isPassing`: no owner has judged the request, as owners are changing or starting, which takes a few hundred milliseconds. */
  | { kind: 'none', message: string, retryAfterMs: number, isPassing: boolean, search?: PlaceSearch }

export type FindLink = (endpoint: EndpointEntry) => EndpointLink

export interface TargetFinderOptions {
  clock: Clock
  board: NewsBoard
  health: EndpointHealth
  signs: EndpointSigns
  engines: EngineFinder
  zone: string
  random: () => number
  findLink: FindLink
}

const noEndpointRetryMs = 300
/** Callers that were refused by one pause come back spread over this time, about a target of the published deployments. */
const returnSpreadMs = 500

export class TargetFinder {
  #options: TargetFinderOptions

  constructor (options: TargetFinderOptions) {
    this.#options = options
  }

  async findTarget (query: TargetQuery): Promise<FoundTarget> {
    const { board, clock, engines, signs } = this.#options
    const service = board.routes?.configuration.services.get(query.service)
    const nowMs = clock.readMonotonic()
    const known = board.endpoints.listUsable(query.service, nowMs).filter(entry => !signs.isLeaving(entry))
    const entries = known.filter(entry => signs.mayTake(entry, nowMs))
    if (entries.length === 0 && known.length > 0) return this.#refuseForPauses(query.service, known, nowMs)
    const fresh = entries.filter(entry => !query.tried.includes(entry.id))
    const usable = (fresh.length > 0 ? fresh : entries).filter(entry => this.#options.findLink(entry).hasRoom)
    if (usable.length === 0) {
      const message = entries.length === 0 ? `no endpoint of service "${query.service}" is ready` : `all connections to service "${query.service}" are in use`
      return { kind: 'none', message, retryAfterMs: noEndpointRetryMs, isPassing: entries.length === 0 }
    }
    return service?.engine ? await engines.findEngine(query, usable) : this.#findPlain(usable)
  }

  /** All endpoints want nothing for a while: callers come back when the first one does, but not together. */
  #refuseForPauses (service: string, paused: readonly EndpointEntry[], nowMs: number): FoundTarget {
    const { signs, random } = this.#options
    const soonestMs = Math.min(...paused.map(entry => signs.readPausedMs(entry, nowMs)))
    return { kind: 'none', message: `no endpoint of service "${service}" wants requests now`, retryAfterMs: soonestMs + random() * returnSpreadMs, isPassing: false }
  }

  #findPlain (usable: EndpointEntry[]): FoundTarget {
    const { zone, random, findLink } = this.#options
    const best = pickLeastBusy(usable.map(entry => this.#describe(entry)), zone, random)!
    const endpoint = usable.find(entry => entry.id === best.id)!
    return { kind: 'found', target: { endpoint, link: findLink(endpoint), version: 0, priority: undefined, end: () => {} } }
  }

  #describe (entry: EndpointEntry): FrontCandidate {
    const { health, clock } = this.#options
    const nowMs = clock.readMonotonic()
    const isFailing = health.isFailing(entry.id) && !health.takeProbe(entry.id, nowMs)
    return { id: entry.id, zone: entry.zone, busyPart: health.readBusyPart(entry.id, entry.places, nowMs), latencyMs: health.readLatencyMs(entry.id), isFailing }
  }
}
