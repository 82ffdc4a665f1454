/** The limited endpoints whose requests this host grants in place of an owner. */
import type { ClusterView } from '../../core/clusterView.js'
import { rankLimitGranters } from '../../core/limitGranters.js'
import { isUnowned } from '../../core/ownershipLease.js'
import type { Clock } from '../../ports/clock.js'
import type { ReservationRequest } from '../../schemas/datagram.js'
import { LimitedEndpoint } from './limitedEndpoint.js'
import type { SendReservationReply } from './reservationEntry.js'

export interface LimitedEndpointsOptions {
  clock: Clock
  host: string
  clusterView: ClusterView
  /** Returns the requests a second that all hosts together may send to an endpoint; undefined if it is not limited. */
  findRate: (endpointId: string) => number | undefined
}

/**
 * Part of the limit that a host grants while another one, the owner or the granter, may do so too. Both together stay within what
 * an endpoint tolerates beyond its limit.
 */
const deputyShare = 0.25
/** Endpoints that are kept; more than are limited at a time. */
const maxEndpoints = 256

export class LimitedEndpoints {
  #options: LimitedEndpointsOptions
  #endpoints = new Map<string, LimitedEndpoint>()

  constructor (options: LimitedEndpointsOptions) {
    this.#options = options
  }

  receiveRequest (key: string, request: ReservationRequest, sendReply: SendReservationReply): void {
    const { endpointId, id } = request
    if (this.#findShare(endpointId) === 0) {
      sendReply({ type: 'refusal', id, code: 'not_granter', message: `this host does not grant requests to endpoint "${endpointId}"`, retryAfterMs: 0, expectedMs: -1 })
      return
    }
    this.#findOrAdd(endpointId).receiveRequest(key, request, sendReply)
  }

  receiveRelease (endpointId: string, key: string): void {
    this.#endpoints.get(endpointId)?.receiveRelease(key)
  }

  /** Called when the limit of an endpoint has changed. */
  receiveLimitChange (endpointId: string): void {
    this.#endpoints.get(endpointId)?.plan()
  }

  #findOrAdd (endpointId: string): LimitedEndpoint {
    const known = this.#endpoints.get(endpointId)
    if (known) return known
    const { clock, findRate } = this.#options
    const endpoint = new LimitedEndpoint({
      clock,
      findRate: () => {
        const rate = findRate(endpointId)
        const share = this.#findShare(endpointId)
        return rate === undefined || share === 0 ? rate : rate * share
      }
    })
    this.#endpoints.set(endpointId, endpoint)
    if (this.#endpoints.size > maxEndpoints) {
      const [oldestId, oldest] = this.#endpoints.entries().next().value!
      oldest.stop()
      this.#endpoints.delete(oldestId)
    }
    return endpoint
  }

  /** Part of the endpoint's limit that this host may grant; 0 where other hosts do. */
  #findShare (endpointId: string): number {
    const { clock, host, clusterView } = this.#options
    const entry = clusterView.endpoints.find(endpointId, clock.readMonotonic())
    if (!entry) return 0
    const isEngine = clusterView.routes?.configuration.services.get(entry.service)?.engine !== undefined
    const owner = clusterView.owners.get(endpointId)?.row
    const ownerHost = owner && !isUnowned(owner) ? owner.host : undefined
    const rank = rankLimitGranters(endpointId, [...clusterView.hosts.values()].map(({ row }) => row), ownerHost).findIndex(row => row.host === host)
    if (isEngine) return rank === 0 ? deputyShare : 0
    if (rank < 0) return 0
    return rank === 0 ? 1 : deputyShare
  }
}
