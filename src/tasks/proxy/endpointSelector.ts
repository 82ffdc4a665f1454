/** Selects the endpoint that a request is sent to; at an engine, this includes a reservation. */
import type { EndpointNotices } from '../../core/endpointNotices.js'
import type { ClusterView } from '../../core/clusterView.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { CallerRequest } from '../../schemas/callerRequest.js'
import type { EngineLoad, ReleaseOutcome, ReservationFigures } from '../../schemas/datagram.js'
import type { EndpointEntry, Route } from '../../schemas/routing.js'
import type { EngineSelector } from './engineSelector.js'
import type { ServiceSelector } from './serviceSelector.js'

export interface SelectedEndpoint {
  readonly endpoint: EndpointEntry
  readonly link: EndpointLink
  /** Adapter version that the endpoint must have; 0 if no version was declared. */
  readonly version: number
  readonly priority: number | undefined
  /** Whether another host, or this one as its owner, has granted the request at this endpoint. */
  readonly isGranted: boolean
  /** Releases the reservation, if there is one, and reports its outcome to the endpoint's owner. */
  readonly release: (outcome: ReleaseOutcome, firstChunkMs: number, figures?: ReservationFigures) => void
}

export interface EndpointQuery {
  request: CallerRequest
  route: Route
  service: string
  /** Name of the client account that the request is of; undefined if it is of none. */
  account: string | undefined
  /** Software version of the endpoints that may serve the request; undefined if all may. */
  softwareVersion: string | undefined
  /** Whether the request goes on with a stream. */
  isResumed: boolean
  /** Ids of the endpoints that the request has already been sent to. */
  attemptedEndpointIds: readonly string[]
  /** When the response is due, counted from the caller's first attempt or, in a resumed stream, from its last chunk. */
  dueAtMs: number
  /** When the caller gives up unless it has received another chunk; starting the request later is useless. */
  abandonAtMs: number
  deadlineAtMs: number
  /** Whether the request has ended, so that the selection should stop. */
  hasEnded: () => boolean
}

/** How a reservation was obtained; written to the log. */
export interface ReservationSearch {
  /**
   * Reply of each owner that was asked, in order: the engine's id, then `granted`, `silent`, or the refusal code and the
   * milliseconds until the engine would start the request.
   */
  answers: string[]
  /** How long the request waited at the owner that granted the reservation, in milliseconds. */
  waitedMs: number
  /** Load of the engine as its owner knew it when it granted the reservation. */
  load?: EngineLoad
  /** Whether the granters of a plain service's endpoints were asked. */
  isDispatched?: boolean
}

export type EndpointSelection =
  | { kind: 'found', target: SelectedEndpoint, search?: ReservationSearch }
  /** `isTransient`: no owner evaluated the request, as owners are changing or starting, which takes a few hundred ms. */
  | { kind: 'none', message: string, retryAfterMs: number, isTransient: boolean, search?: ReservationSearch }

export type GetEndpointLink = (endpoint: EndpointEntry) => EndpointLink

export interface EndpointSelectorOptions {
  clock: Clock
  clusterView: ClusterView
  notices: EndpointNotices
  engineSelector: EngineSelector
  serviceSelector: ServiceSelector
  /** Whether this host can open no connection to an endpoint. */
  isUnreachable: (endpointId: string) => boolean
  /** Whether the store tells that the service has endpoints of this software version. */
  isRecordedVersion: (endpoint: EndpointEntry) => boolean
  random: () => number
  getLink: GetEndpointLink
}

const noEndpointRetryMs = 300
/** Spreads the retries of callers refused during one pause; about one latency target of the published deployments. */
const retryJitterMs = 500

export class EndpointSelector {
  #options: EndpointSelectorOptions

  constructor (options: EndpointSelectorOptions) {
    this.#options = options
  }

  async selectEndpoint (query: EndpointQuery): Promise<EndpointSelection> {
    const { clusterView, clock, engineSelector, serviceSelector, notices } = this.#options
    const service = clusterView.routes?.configuration.services.get(query.service)
    const nowMs = clock.readMonotonic()
    const usableEntries = clusterView.endpoints.listUsable(query.service, nowMs).filter(entry => !notices.isLeaving(entry))
    const known = this.#filterBySoftwareVersion(usableEntries, query.softwareVersion)
    if (known.length === 0 && query.softwareVersion !== undefined) {
      return { kind: 'none', message: `no endpoint of service "${query.service}" has software version "${query.softwareVersion}", which began the stream`, retryAfterMs: noEndpointRetryMs, isTransient: false }
    }
    const accepting = known.filter(entry => notices.isAcceptingRequests(entry, nowMs))
    if (accepting.length === 0 && known.length > 0) return this.#refuseForPauses(query.service, known, nowMs)
    const reachable = accepting.filter(({ id }) => !this.#options.isUnreachable(id))
    const candidates = reachable.length > 0 ? reachable : accepting
    const unattempted = candidates.filter(entry => !query.attemptedEndpointIds.includes(entry.id))
    const usable = (unattempted.length > 0 ? unattempted : candidates).filter(entry => this.#options.getLink(entry).hasRoom)
    if (usable.length === 0) {
      const message = accepting.length === 0 ? `no endpoint of service "${query.service}" is ready` : `all connections to service "${query.service}" are in use`
      return { kind: 'none', message, retryAfterMs: noEndpointRetryMs, isTransient: accepting.length === 0 }
    }
    return service?.engine ? await engineSelector.selectEngine(query, usable) : await serviceSelector.selectEndpoint(query, usable)
  }

  /** Keeps endpoints of one version or, for a stream that begins, those of recorded versions if there are any. */
  #filterBySoftwareVersion (entries: EndpointEntry[], softwareVersion: string | undefined): EndpointEntry[] {
    if (softwareVersion !== undefined) return entries.filter(entry => entry.softwareVersion === softwareVersion)
    const recorded = entries.filter(entry => this.#options.isRecordedVersion(entry))
    return recorded.length > 0 ? recorded : entries
  }

  /** Refuses a request while all endpoints are paused; callers retry with jitter once the first pause has ended. */
  #refuseForPauses (service: string, paused: readonly EndpointEntry[], nowMs: number): EndpointSelection {
    const { notices, random } = this.#options
    const shortestPauseMs = Math.min(...paused.map(entry => notices.getRemainingPauseMs(entry, nowMs)))
    return { kind: 'none', message: `all endpoints of service "${service}" have paused requests`, retryAfterMs: shortestPauseMs + random() * retryJitterMs, isTransient: false }
  }
}
