/** Creates the components that accept callers' requests and relay them to endpoints. */
import { openHttpEndpointLink } from '../adapters/endpointHttp/httpEndpointLink.js'
import { collectYoungGarbage, measureExternalBytes } from '../adapters/v8/youngGarbage.js'
import { ConnectionBudget } from '../core/connectionBudget.js'
import { HeldTotal } from '../core/heldTotal.js'
import { CallerTimeouts } from '../core/callerTimeouts.js'
import { EndpointHealth } from '../core/endpointHealth.js'
import type { ClusterView } from '../core/clusterView.js'
import { InFlightRequests } from '../core/inFlightRequests.js'
import { HostRetryBudget } from '../core/hostRetryBudget.js'
import { ReadBufferLimit } from '../core/readBufferLimit.js'
import { decodeAnswerHead, decodeRequest, encodeRefusalHeaders, encodeRequestHeaders, removeAccountHeaders } from '../platform/requestWire.js'
import type { Clock } from '../ports/clock.js'
import type { EndpointLink } from '../ports/endpointLink.js'
import type { EventLog } from '../ports/eventLog.js'
import type { HostSettings } from '../schemas/hostSettings.js'
import type { EndpointEntry } from '../schemas/routing.js'
import { CrashDetectionTask } from '../tasks/proxy/crashDetectionTask.js'
import type { CrashDetectionTaskOptions } from '../tasks/proxy/crashDetectionTask.js'
import { CallerListener } from '../tasks/proxy/callerListener.js'
import type { CallerListenerOptions } from '../tasks/proxy/callerListener.js'
import { EngineSelector } from '../tasks/proxy/engineSelector.js'
import type { ProxyContext } from '../tasks/proxy/proxyContext.js'
import { ProxiedRequest } from '../tasks/proxy/proxiedRequest.js'
import { DispatchClient } from '../tasks/proxy/dispatchClient.js'
import { DispatchSelector } from '../tasks/proxy/dispatchSelector.js'
import { LimitGrantClient } from '../tasks/proxy/limitGrantClient.js'
import type { ReservationClient } from '../tasks/proxy/reservationClient.js'
import { ServiceSelector } from '../tasks/proxy/serviceSelector.js'
import { createForwardedDecoder } from '../tasks/forwarding/forwardingHeaders.js'
import { RequestForwarder } from '../tasks/forwarding/requestForwarder.js'
import { EndpointLinks } from '../tasks/proxy/endpointLinks.js'
import { EndpointSelector } from '../tasks/proxy/endpointSelector.js'
import { ShutdownAdmission } from '../tasks/proxy/shutdownAdmission.js'
import { ReachabilityTask } from '../tasks/proxy/reachabilityTask.js'
import { StandstillMonitor } from '../tasks/eventLoop/standstillMonitor.js'
import type { StreamOrigins } from '../tasks/streams/streamOrigins.js'
import type { NoticeComponents } from './createNoticeComponents.js'

export interface RequestProxyOptions {
  quotas: ProxyContext['quotas']
  own: { host: string, address: string, zone: string }
  /** Whether the host at an IP address runs and responds. */
  isHostRunning: (address: string) => Promise<boolean>
  settings: HostSettings
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  reservations: ReservationClient
  suspects: ProxyContext['suspects']
  noticeComponents: Pick<NoticeComponents, 'notices' | 'noticeTask'>
  streamOrigins: StreamOrigins
  reportCrash: CrashDetectionTaskOptions['reportCrash']
}

export interface RequestProxy {
  callerListener: CallerListener
  /** Takes requests that other hosts send through this one. */
  forwardingListener: CallerListener
  forwarder: RequestForwarder
  reachability: ReachabilityTask
  standstill: StandstillMonitor
  /** What the connections of both listeners hold. */
  budget: ConnectionBudget
  shutdown: ShutdownAdmission
  /** Applies a new configuration. */
  applyConfiguration: () => void
  /** Refuses requests with this fingerprint, of a content or a prompt part, that was found to crash endpoints. */
  refuse: (fingerprint: string) => void
  /** Handles an endpoint's entry that was changed, or removed if undefined. */
  receiveEntry: (endpointId: string, entry: EndpointEntry | undefined) => void
  /** Handles the crash of an endpoint that another host detected. */
  receiveCrash: (crash: string) => void
}

/** Fraction of the memory limit that buffered request bodies may use. */
const bufferedBodiesMemoryFraction = 0.15
/** Fraction of the memory limit that requests read ahead may use, over all connections. */
const waitingRequestsMemoryFraction = 0.1
/** Fraction of the memory limit that buffers may use before those that are garbage are collected. */
const buffersMemoryFraction = 0.1
/** Fraction of the descriptors that callers' connections may use; the rest is for endpoints, other hosts and the store. */
const callersDescriptorFraction = 0.6
/** Connections to one other host for forwarded requests; a host serves fewer at a time. */
const maxForwardingConnections = 512

export function createRequestProxy ({ quotas, own, isHostRunning, settings, clock, log, clusterView, reservations, suspects, noticeComponents: { notices, noticeTask }, streamOrigins, reportCrash }: RequestProxyOptions): RequestProxy {
  const random = Math.random
  const health = new EndpointHealth()
  const retryBudget = new HostRetryBudget({ retryRatio: settings.retryShare, extraRetries: settings.retryExtra, windowMs: settings.retryWindowMs, countHosts: () => clusterView.hosts.size })
  const limits = createListenerLimits(settings)
  const links = new EndpointLinks({ clock, clusterView, receiveRead: limits.receiveRead })
  const getLink = (endpoint: EndpointEntry): EndpointLink => links.get(endpoint)
  const reachability = new ReachabilityTask({ clock, log, clusterView, links })
  // Messages between hosts use the port over UDP, forwarded requests over TCP.
  const formatForwardingAddress = (address: string): string => `${address}:${settings.datagramPort}`
  const forwarder = new RequestForwarder({
    clock,
    clusterView,
    own,
    isStranded: service => reachability.isStranded(service),
    isRunning: isHostRunning,
    openLink: address => openHttpEndpointLink({ address: formatForwardingAddress(address), getMaxConnections: () => maxForwardingConnections, readNow: clock.readMonotonic, receiveRead: limits.receiveRead }),
    random
  })
  const limitGrants = new LimitGrantClient({ clock, log, clusterView, reservations })
  const engineSelector = new EngineSelector({ clock, log, clusterView, health, reservations, notices, limitGrants, random, getLink })
  const places = new DispatchClient({ clock, log, clusterView, reservations })
  const dispatch = new DispatchSelector({ clock, clusterView, health, notices, places, own, random, getLink })
  const serviceSelector = new ServiceSelector({ clock, clusterView, health, notices, limitGrants, dispatch, own, random, getLink })
  const endpointSelector = new EndpointSelector({
    clock, clusterView, notices, engineSelector, serviceSelector, isUnreachable: endpointId => reachability.isUnreachable(endpointId), isRecordedVersion: endpoint => streamOrigins.isRecordedVersion(endpoint), random, getLink
  })
  const shutdown = new ShutdownAdmission(clock)
  const standstill = new StandstillMonitor({ clock, log })
  const callerTimeouts = new CallerTimeouts()
  const inFlightRequests = new InFlightRequests()
  const crashDetection = new CrashDetectionTask({
    clock, log, reportCrash, hasOtherContact: async endpointId => await reachability.hasOtherContact(endpointId), isLeaving: endpointId => clusterView.endpoints.find(endpointId, clock.readMonotonic())?.isLeaving ?? false
  })
  const context: ProxyContext = {
    clock,
    log,
    clusterView,
    health,
    retryBudget,
    endpointSelector,
    callerTimeouts,
    suspects,
    inFlightRequests,
    crashDetection,
    notices,
    noticeTask,
    forwarder,
    shutdown,
    standstill,
    streamOrigins,
    quotas,
    random,
    encodeRequestHeaders,
    decodeAnswerHead,
    encodeRefusalHeaders,
    removeAccountHeaders
  }
  const callerListener = createListener(context, { address: settings.callersAddress, decodeRequest, ...limits })
  const forwardingListener = createListener(context, { address: formatForwardingAddress(own.address), decodeRequest: createForwardedDecoder(decodeRequest), ...limits })
  return {
    callerListener,
    forwardingListener,
    forwarder,
    reachability,
    shutdown,
    standstill,
    budget: limits.budget,
    refuse: fingerprint => inFlightRequests.refuse(fingerprint),
    receiveCrash: crash => crashDetection.receiveCrash(crash),
    receiveEntry: (endpointId, entry) => crashDetection.receiveEntry(endpointId, entry),
    applyConfiguration: () => {
      callerListener.applyLimits()
      forwardingListener.applyLimits()
      const routes = new Set(clusterView.routes?.configuration.routes.map(route => route.name))
      callerTimeouts.retainRoutes(routes)
      shutdown.retainRoutes(routes)
      inFlightRequests.notifyConfiguration()
    }
  }
}

type ListenerLimits = Pick<Required<CallerListenerOptions>, 'maxHeldBytes' | 'heldBytes' | 'budget' | 'receiveRead'>

/** Limits that both listeners share, from the limits of the process. */
function createListenerLimits ({ memoryMb, maxDescriptors }: HostSettings): ListenerLimits {
  const memoryBytes = memoryMb * 1024 * 1024
  const readBuffers = new ReadBufferLimit({ maxBytes: memoryBytes * buffersMemoryFraction, measureBytes: measureExternalBytes, collect: collectYoungGarbage })
  return {
    receiveRead: bytes => readBuffers.add(bytes),
    maxHeldBytes: memoryBytes * bufferedBodiesMemoryFraction,
    heldBytes: new HeldTotal(),
    budget: new ConnectionBudget({ maxBytes: memoryBytes * waitingRequestsMemoryFraction, maxConnections: Math.floor(maxDescriptors * callersDescriptorFraction) })
  }
}

function createListener (context: ProxyContext, options: Pick<CallerListenerOptions, 'address' | 'decodeRequest'> & ListenerLimits): CallerListener {
  const { clock, log, clusterView, standstill } = context
  return new CallerListener({
    ...options,
    clock,
    log,
    getLimits: () => clusterView.routes?.configuration.limits,
    isCatchingUp: () => standstill.isCatchingUp(),
    createHandle: (request, response) => new ProxiedRequest(context, request, response)
  })
}
