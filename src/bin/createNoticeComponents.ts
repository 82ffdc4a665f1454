/** Creates the components that keep what endpoints say about themselves in their responses. */
import type { ClusterView } from '../core/clusterView.js'
import { EndpointNotices } from '../core/endpointNotices.js'
import type { Clock } from '../ports/clock.js'
import type { DatagramSender, Datagrams } from '../ports/datagrams.js'
import type { EventLog } from '../ports/eventLog.js'
import type { EndpointLimitStatement } from '../schemas/datagram.js'
import type { EndpointEntry } from '../schemas/routing.js'
import { EndpointNoticeTask } from '../tasks/proxy/endpointNoticeTask.js'
import type { ReservationClient } from '../tasks/proxy/reservationClient.js'

export interface NoticeComponentsOptions {
  clock: Clock
  log: EventLog
  own: Pick<DatagramSender, 'address'>
  clusterView: ClusterView
  datagrams: Datagrams
  getReservations: () => Pick<ReservationClient, 'notifyLeaving' | 'withdrawPending'>
  /** Called when the limit of an endpoint has changed, from a response or from another host. */
  receiveLimitChange: (endpointId: string) => void
}

export interface NoticeComponents {
  notices: EndpointNotices
  noticeTask: EndpointNoticeTask
  /** Milliseconds until an endpoint accepts requests again. */
  getRemainingPauseMs: (endpoint: EndpointEntry) => number
  /** Requests a second that all hosts together may send to an endpoint; undefined if it is not limited. */
  findRate: (endpointId: string) => number | undefined
  /** What this host knows of an endpoint's limit; undefined if the endpoint has named none. */
  findLimitStatement: (endpointId: string) => EndpointLimitStatement | undefined
}

/**
 * Creates the components of one host.
 *
 * @example
 * const { noticeTask, findRate } = createNoticeComponents({ clock, log, own, clusterView, datagrams, getReservations, receiveLimitChange })
 * findRate('i-7f3a') // 4.9
 */
export function createNoticeComponents ({ clock, log, own, clusterView, datagrams, getReservations, receiveLimitChange }: NoticeComponentsOptions): NoticeComponents {
  const notices = new EndpointNotices()
  const findEndpoint = (endpointId: string): EndpointEntry | undefined => clusterView.endpoints.find(endpointId, clock.readMonotonic())
  const noticeTask = new EndpointNoticeTask({
    clock,
    log,
    notices,
    notifyOwner: leaving => {
      const address = clusterView.owners.get(leaving.endpointId)?.row.address
      if (address) getReservations().notifyLeaving(address, leaving)
    },
    notifyHosts: change => {
      for (const { row } of clusterView.hosts.values()) if (row.address !== own.address) datagrams.send(row.address, change)
    },
    receiveLimitChange,
    countHosts: () => clusterView.hosts.size,
    random: Math.random,
    withdrawPending: (endpointId, reason) => getReservations().withdrawPending(endpointId, reason)
  })
  return {
    notices,
    noticeTask,
    getRemainingPauseMs: endpoint => notices.getRemainingPauseMs(findEndpoint(endpoint.id) ?? endpoint, clock.readMonotonic()),
    findRate: endpointId => {
      const entry = findEndpoint(endpointId)
      return entry && notices.getRate(entry, clock.readMonotonic())
    },
    findLimitStatement: endpointId => {
      const entry = findEndpoint(endpointId)
      return entry && noticeTask.findLimitStatement(entry)
    }
  }
}
