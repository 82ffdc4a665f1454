/** Tells whether an endpoint that was selected for a request still accepts it. */
import type { EndpointEntry } from '../../schemas/routing.js'
import type { ProxyContext } from './proxyContext.js'

/** Whether an endpoint accepts requests, at the software version at which it was selected. */
export function isEndpointAvailable ({ clock, clusterView, notices }: Pick<ProxyContext, 'clock' | 'clusterView' | 'notices'>, endpoint: EndpointEntry): boolean {
  const nowMs = clock.readMonotonic()
  const current = clusterView.endpoints.find(endpoint.id, nowMs)
  if (!current || current.isLeaving || current.softwareVersion !== endpoint.softwareVersion) return false
  return notices.isAcceptingRequests(endpoint, nowMs)
}
