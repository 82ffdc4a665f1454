/** Creates the components that accept callers' requests and relay them to endpoints. */
import { openHttpEndpointLink } from '../adapters/endpointHttp/httpEndpointLink.js'
import { CallerWaits } from '../core/callerWaits.js'
import { EndpointHealth } from '../core/endpointHealth.js'
import type { EndpointSigns } from '../core/endpointSigns.js'
import type { NewsBoard } from '../core/newsBoard.js'
import { OpenContents } from '../core/openContents.js'
import { SendBudget } from '../core/sendBudget.js'
import { decodeAnswerHead, decodeRequest, encodeRefusalHeaders, encodeRequestHeaders } from '../platform/requestWire.js'
import type { Clock } from '../ports/clock.js'
import type { EndpointLink } from '../ports/endpointLink.js'
import type { EventLog } from '../ports/eventLog.js'
import type { HostSettings } from '../schemas/hostSettings.js'
import type { EndpointEntry } from '../schemas/routing.js'
import { CrashTask } from '../tasks/front/crashTask.js'
import type { CrashTaskOptions } from '../tasks/front/crashTask.js'
import { CallersPort } from '../tasks/front/callersPort.js'
import { EngineFinder } from '../tasks/front/engineFinder.js'
import type { FrontContext } from '../tasks/front/frontContext.js'
import { FrontRequest } from '../tasks/front/frontRequest.js'
import type { PlaceClient } from '../tasks/front/placeClient.js'
import { SignTask } from '../tasks/front/signTask.js'
import { TargetFinder } from '../tasks/front/targetFinder.js'

export interface RequestProxyOptions {
  settings: HostSettings
  clock: Clock
  log: EventLog
  clusterView: NewsBoard
  reservations: PlaceClient
  suspectContent: FrontContext['suspects']
  notices: EndpointSigns
  reportCrash: CrashTaskOptions['reportCrash']
}

export interface RequestProxy {
  callerListener: CallersPort
  /** Applies a new configuration. */
  applyConfiguration: () => void
  /** Refuses unsent requests with this fingerprint, because their content was found to crash endpoints. */
  refuseContent: (fingerprint: string) => void
  /** Handles an endpoint's entry that was changed, or removed if undefined. */
  receiveEntry: (endpointId: string, entry: EndpointEntry | undefined) => void
  /** Handles the crash of an endpoint that another host detected. */
  receiveCrash: (crash: string) => void
}

/** Fraction of the memory limit that buffered request bodies may use. */
const bufferedBodiesMemoryFraction = 0.15
/** Fraction of an endpoint's connection limit that all hosts together use; its operators and health checks need the rest. */
const usableConnectionsFraction = 0.9

export function createRequestProxy ({ settings, clock, log, clusterView, reservations, suspectContent, notices, reportCrash }: RequestProxyOptions): RequestProxy {
  const random = Math.random
  const health = new EndpointHealth()
  const retryBudget = new SendBudget({
    share: settings.retryShare, extra: settings.retryExtra, windowMs: settings.retryWindowMs, countHosts: () => clusterView.hosts.size
  })
  const getLink = createLinks(clusterView)
  const noticeTask = new SignTask({
    clock,
    log,
    signs: notices,
    tellOwner: leaving => {
      const address = clusterView.owners.get(leaving.endpointId)?.row.address
      if (address) reservations.tellLeaving(address, leaving)
    },
    withdrawFrom: (endpointId, reason) => reservations.withdrawFrom(endpointId, reason)
  })
  const engineSelector = new EngineFinder({ clock, log, board: clusterView, health, places: reservations, random, findLink: getLink })
  const endpointSelector = new TargetFinder({ clock, board: clusterView, health, signs: notices, engines: engineSelector, zone: settings.zone, random, findLink: getLink })
  const callerTimeouts = new CallerWaits()
  const inFlightRequests = new OpenContents()
  const crashDetection = new CrashTask({
    clock, log, reportCrash, isLeaving: endpointId => clusterView.endpoints.find(endpointId, clock.readMonotonic())?.isLeaving ?? false
  })
  const context: FrontContext = {
    clock,
    log,
    board: clusterView,
    health,
    budget: retryBudget,
    targets: endpointSelector,
    waits: callerTimeouts,
    suspects: suspectContent,
    openContents: inFlightRequests,
    crashes: crashDetection,
    signs: notices,
    signTask: noticeTask,
    random,
    encodeRequestHeaders,
    decodeAnswerHead,
    encodeRefusalHeaders
  }
  const callerListener = new CallersPort({
    address: settings.callersAddress,
    clock,
    log,
    decodeRequest,
    findLimits: () => clusterView.routes?.configuration.limits,
    maxHeldBytes: settings.memoryMb * 1024 * 1024 * bufferedBodiesMemoryFraction,
    serve: (request, response) => {
      const proxiedRequest = new FrontRequest(context, request, response)
      proxiedRequest.serve()
      return proxiedRequest
    }
  })
  return {
    callerListener,
    refuseContent: fingerprint => inFlightRequests.refuse(fingerprint),
    receiveCrash: crash => crashDetection.receiveCrash(crash),
    receiveEntry: (endpointId, entry) => crashDetection.receiveEntry(endpointId, entry),
    applyConfiguration: () => {
      callerListener.applyLimits()
      callerTimeouts.keepRoutes(new Set(clusterView.routes?.configuration.routes.map(route => route.name)))
    }
  }
}

/** Keeps one link to each endpoint. The endpoint's usable connections are divided evenly among the hosts. */
function createLinks (clusterView: NewsBoard): (endpoint: EndpointEntry) => EndpointLink {
  const links = new Map<string, EndpointLink>()
  return endpoint => {
    const existing = links.get(endpoint.id)
    if (existing) return existing
    const link = openHttpEndpointLink({
      address: endpoint.address,
      findMaxConnections: () => {
        const maxConnections = clusterView.routes?.configuration.services.get(endpoint.service)?.maxConnections ?? 1
        return Math.max(1, Math.floor(usableConnectionsFraction * maxConnections / Math.max(1, clusterView.hosts.size)))
      }
    })
    links.set(endpoint.id, link)
    return link
  }
}
