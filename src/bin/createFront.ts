/** Wires the callers' side of a host. */
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

export interface FrontOptions {
  settings: HostSettings
  clock: Clock
  log: EventLog
  board: NewsBoard
  places: PlaceClient
  suspects: FrontContext['suspects']
  signs: EndpointSigns
  reportCrash: CrashTaskOptions['reportCrash']
}

export interface Front {
  callers: CallersPort
  /** Takes over a new configuration. */
  applyConfiguration: () => void
  /** Ends what waits for a place under a content that was found to crash endpoints. */
  refuseContent: (fingerprint: string) => void
  /** An endpoint's entry has changed, or is gone. */
  receiveEntry: (endpointId: string, entry: EndpointEntry | undefined) => void
  /** Another host noticed the crash of an endpoint. */
  receiveCrash: (crash: string) => void
}

/** Part of the memory that bodies of requests may take while they are held. */
const heldBodiesPart = 0.15
/** Part of an endpoint's connections that all hosts together use, as its operators and health checks need some. */
const connectionsPart = 0.9

export function createFront ({ settings, clock, log, board, places, suspects, signs, reportCrash }: FrontOptions): Front {
  const random = Math.random
  const health = new EndpointHealth()
  const budget = new SendBudget({
    share: settings.retryShare, extra: settings.retryExtra, windowMs: settings.retryWindowMs, countHosts: () => board.hosts.size
  })
  const findLink = createLinks(board)
  const signTask = new SignTask({
    clock,
    log,
    signs,
    tellOwner: leaving => {
      const address = board.owners.get(leaving.endpointId)?.row.address
      if (address) places.tellLeaving(address, leaving)
    },
    withdrawFrom: (endpointId, reason) => places.withdrawFrom(endpointId, reason)
  })
  const engines = new EngineFinder({ clock, log, board, health, places, random, findLink })
  const targets = new TargetFinder({ clock, board, health, signs, engines, zone: settings.zone, random, findLink })
  const waits = new CallerWaits()
  const openContents = new OpenContents()
  const crashes = new CrashTask({
    clock, log, reportCrash, isLeaving: endpointId => board.endpoints.find(endpointId, clock.readMonotonic())?.isLeaving ?? false
  })
  const context: FrontContext = {
    clock, log, board, health, budget, targets, waits, suspects, openContents, crashes, signs, signTask, random, encodeRequestHeaders, decodeAnswerHead, encodeRefusalHeaders
  }
  const callers = new CallersPort({
    address: settings.callersAddress,
    clock,
    log,
    decodeRequest,
    findLimits: () => board.routes?.configuration.limits,
    maxHeldBytes: settings.memoryMb * 1024 * 1024 * heldBodiesPart,
    serve: (request, answer) => {
      const front = new FrontRequest(context, request, answer)
      front.serve()
      return front
    }
  })
  return {
    callers,
    refuseContent: fingerprint => openContents.refuse(fingerprint),
    receiveCrash: crash => crashes.receiveCrash(crash),
    receiveEntry: (endpointId, entry) => crashes.receiveEntry(endpointId, entry),
    applyConfiguration: () => {
      callers.applyLimits()
      waits.keepRoutes(new Set(board.routes?.configuration.routes.map(route => route.name)))
    }
  }
}

/** Keeps one link to each endpoint; the hosts share its connections evenly. */
function createLinks (board: NewsBoard): (endpoint: EndpointEntry) => EndpointLink {
  const links = new Map<string, EndpointLink>()
  return endpoint => {
    const known = links.get(endpoint.id)
    if (known) return known
    const link = openHttpEndpointLink({
      address: endpoint.address,
      findMaxConnections: () => {
        const cap = board.routes?.configuration.services.get(endpoint.service)?.maxConnections ?? 1
        return Math.max(1, Math.floor(connectionsPart * cap / Math.max(1, board.hosts.size)))
      }
    })
    links.set(endpoint.id, link)
    return link
  }
}
