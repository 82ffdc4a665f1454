/** Keeps one link to each endpoint. */
import { openHttpEndpointLink } from '../../adapters/endpointHttp/httpEndpointLink.js'
import type { ClusterView } from '../../core/clusterView.js'
import { computeHostConnections } from '../../core/hostConnections.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { EndpointEntry } from '../../schemas/routing.js'

export interface EndpointLinksOptions {
  clock: Clock
  clusterView: ClusterView
  /** Called with the size of each chunk of a response that was read. */
  receiveRead: (bytes: number) => void
}

/** The links of one host. An endpoint's usable connections are divided evenly among the hosts. */
export class EndpointLinks {
  #options: EndpointLinksOptions
  #links = new Map<string, EndpointLink>()

  constructor (options: EndpointLinksOptions) {
    this.#options = options
  }

  /** Returns the link to an endpoint, opened at its first use. */
  get (endpoint: EndpointEntry): EndpointLink {
    const existing = this.#links.get(endpoint.id)
    if (existing) return existing
    const { clock, clusterView, receiveRead } = this.#options
    const link = openHttpEndpointLink({
      address: endpoint.address,
      getMaxConnections: () => {
        const maxConnections = clusterView.routes?.configuration.services.get(endpoint.service)?.maxConnections ?? 1
        return computeHostConnections(maxConnections, clusterView.hosts.size)
      },
      readNow: clock.readMonotonic,
      receiveRead
    })
    this.#links.set(endpoint.id, link)
    return link
  }

  /** Returns the link to an endpoint; undefined if nothing was sent to it yet. */
  find (endpointId: string): EndpointLink | undefined {
    return this.#links.get(endpointId)
  }
}
