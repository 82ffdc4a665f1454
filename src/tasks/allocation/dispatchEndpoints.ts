/** The endpoints of plain services whose requests this host grants, alone or as the deputy of the host that does. */
import type { ClusterView } from '../../core/clusterView.js'
import { DispatchGranters } from '../../core/dispatch/dispatchGranters.js'
import type { DispatchShares } from '../../core/dispatch/dispatchQueue.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { ReservationRelease, ReservationRequest } from '../../schemas/datagram.js'
import type { EndpointEntry } from '../../schemas/routing.js'
import { DispatchEndpoint } from './dispatchEndpoint.js'
import type { RecordDispatch } from './dispatchEndpoint.js'
import type { SendReservationReply } from './reservationEntry.js'

export interface DispatchEndpointsOptions {
  clock: Clock
  log: EventLog
  host: string
  clusterView: Pick<ClusterView, 'endpoints' | 'hosts' | 'hostsVersion'>
  /** Creates the shares of accounts at one endpoint; absent if accounts are not compared. */
  createShares?: (() => DispatchShares) | undefined
  /** Absent where decisions are not counted. */
  recordDispatch?: RecordDispatch | undefined
}

/** Part of the places that the deputy grants, as the granter may still hold all of them. */
const deputyRatio = 0.25
/** Endpoints that are kept; more than one host grants for. */
const maxEndpoints = 256

export class DispatchEndpoints {
  #options: DispatchEndpointsOptions
  #granters: DispatchGranters
  #endpoints = new Map<string, DispatchEndpoint>()

  constructor (options: DispatchEndpointsOptions) {
    this.#options = options
    this.#granters = new DispatchGranters(options.clusterView)
  }

  receiveRequest (key: string, request: ReservationRequest, sendReply: SendReservationReply): void {
    const { endpointId, id } = request
    if (this.#findPlaces(endpointId) === 0) {
      sendReply({ type: 'refusal', id, code: 'not_granter', message: `this host does not grant requests to endpoint "${endpointId}"`, retryAfterMs: 0, expectedMs: -1 })
      return
    }
    this.#findOrAdd(endpointId).receiveRequest(key, request, sendReply)
  }

  receiveRelease (endpointId: string, key: string, release: ReservationRelease): void {
    this.#endpoints.get(endpointId)?.receiveRelease(key, release)
  }

  /** Handles an endpoint's entry that was changed, or removed if undefined. */
  receiveEntry (endpointId: string, entry: EndpointEntry | undefined): void {
    const endpoint = this.#endpoints.get(endpointId)
    if (!endpoint || (entry && !entry.isLeaving)) return
    endpoint.close()
    if (!entry) this.#remove(endpointId, endpoint)
  }

  #findOrAdd (endpointId: string): DispatchEndpoint {
    const known = this.#endpoints.get(endpointId)
    if (known) return known
    const { clock, log, createShares, recordDispatch } = this.#options
    const endpoint = new DispatchEndpoint({ clock, log, endpointId, findPlaces: () => this.#findPlaces(endpointId), shares: createShares?.(), recordDecision: recordDispatch ?? (() => {}) })
    this.#endpoints.set(endpointId, endpoint)
    log.record('dispatch.began', 'This host begins to grant requests to an endpoint of a plain service.', { endpointId, places: this.#findPlaces(endpointId), isDeputy: this.#granters.list(endpointId)[0]?.host !== this.#options.host })
    if (this.#endpoints.size > maxEndpoints) {
      const [oldestId, oldest] = this.#endpoints.entries().next().value!
      this.#remove(oldestId, oldest)
    }
    return endpoint
  }

  #remove (endpointId: string, endpoint: DispatchEndpoint): void {
    endpoint.close()
    endpoint.stop()
    this.#endpoints.delete(endpointId)
  }

  /** Requests that this host may have at the endpoint at once; 0 where other hosts grant them, or it takes none. */
  #findPlaces (endpointId: string): number {
    const { clock, host, clusterView } = this.#options
    const entry = clusterView.endpoints.find(endpointId, clock.readMonotonic())
    if (!entry || entry.isLeaving) return 0
    const rank = this.#granters.list(endpointId).findIndex(row => row.host === host)
    if (rank < 0) return 0
    return rank === 0 ? entry.places : Math.max(1, Math.floor(entry.places * deputyRatio))
  }
}
