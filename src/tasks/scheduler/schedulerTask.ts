/** The scheduler: owns endpoints, serves gateways' requests on them and sends gateways summaries of the endpoints. */
import { productVersion } from '../../constants.js'
import { createLog } from '../../createLog.js'
import { shutdownRules } from '../../core/shutdownRules.js'
import type { ShutdownRules } from '../../core/shutdownRules.js'
import { SuspectRegistry } from '../../core/suspectRegistry.js'
import type { SuspectOptions, SuspectRecord } from '../../core/suspectRegistry.js'
import type { CreatePlanner } from '../../core/planner.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine } from '../../ports/engine.js'
import type { HostList } from '../../ports/hostList.js'
import type { PeerLink, PeerRefusalCode, PeerServer, PeerTransport } from '../../ports/peerTransport.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { EndpointState, SchedulerStatus } from '../../schemas/operatorMessage.js'
import type { Dispatch, PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import type { ConfigurationTask } from '../configuration/configurationTask.js'
import { createNotRunFailure } from '../../schemas/verdict.js'
import { DecisionFeed } from '../decisions/decisionFeed.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import { PeerExchange } from '../membership/peerExchange.js'
import type { PeerExchangeState } from '../membership/peerExchange.js'
import { EndpointSummaryPublisher } from '../membership/endpointSummaryPublisher.js'
import type { EndpointOwner, OwnedEndpoint, EndpointOwnership, OwnershipEvent, SendOwnershipEvent } from '../ownership/endpointOwnership.js'
import { EndpointTask } from './endpointTask.js'
import type { Reply } from './endpointTask.js'
import { SchedulerQueries } from './schedulerQueries.js'
import type { EndpointCrash } from './suspectRequestQueue.js'

const log = createLog('scheduler')

export interface SchedulerTaskOptions {
  hostId: string
  zone: string
  clock: Clock
  engine: Engine
  createPlanner: CreatePlanner
  suspectOptions?: SuspectOptions
  /** Rules of a graceful shutdown; the default is `shutdownRules`. */
  shutdownRules?: ShutdownRules
  /** `listOutageReports` lists the hosts that recently reported that the table does not answer them. */
  createOwnership: (send: SendOwnershipEvent, listOutageReports: () => string[]) => EndpointOwnership
  hostList: HostList
  decisions: DecisionStore
  /** Called for each unauthenticated peer and each message that is refused on the peer port. */
  receiveRefusal: (code: PeerRefusalCode) => void
  /** Describes the state of the whole process, without secrets. */
  describeProcess: () => unknown
  /** Load budget of the weight store, shared by all hosts. */
  loadBudget: SchedulerStatus['loadBudget']
  /** Started and stopped by the caller, not by this task. */
  configuration: ConfigurationTask
  peerTransport: PeerTransport
  peers: { address: string, port: number, key: string }
}

interface GreetedLink {
  link: PeerLink
  reply: Reply
  role: PeerMessageOf<'hello'>['role']
}

/** State of a scheduler, as it appears in a dump. */
export interface SchedulerState extends PeerExchangeState {
  host: string
  zone: string
  version: string
  isLeaving: boolean
  links: string[]
  /** Every endpoint with its owner as last read. */
  owners: EndpointOwner[]
  hasTableOutage: boolean
  owned: OwnedEndpoint[]
  endpoints: EndpointState[]
  suspects: SuspectRecord[]
  remoteWatchers: number
}

export class SchedulerTask {
  #options: SchedulerTaskOptions
  #ownership: EndpointOwnership
  #endpoints = new Map<string, EndpointTask>()
  /** Endpoints that are being drained and released, until their running requests have ended. */
  #pendingReleases = new Map<EndpointTask, Promise<void>>()
  #links = new Map<PeerLink, GreetedLink>()
  /** Links whose peer has sent a hello, including links that have closed since. */
  #linksWithHello = new WeakSet<PeerLink>()
  #server: PeerServer | undefined
  #summaryPublisher: EndpointSummaryPublisher
  #isLeaving = false
  #suspects: SuspectRegistry
  #decisions: DecisionStore
  #decisionFeed: DecisionFeed
  #queries: SchedulerQueries
  #exchange: PeerExchange

  constructor (options: SchedulerTaskOptions) {
    this.#options = options
    this.#suspects = new SuspectRegistry(options.suspectOptions)
    const { hostId, zone, clock } = options
    this.#decisions = options.decisions
    this.#decisionFeed = new DecisionFeed(clock)
    this.#decisions.addWatcher(decision => this.#decisionFeed.receiveDecision(decision))
    this.#queries = new SchedulerQueries({
      hostId,
      zone,
      clock,
      decisions: this.#decisions,
      decisionFeed: this.#decisionFeed,
      loadBudget: options.loadBudget,
      isLeaving: () => this.#isLeaving,
      describeEndpoints: () => this.describeEndpoints(),
      describeState: options.describeProcess
    })
    this.#ownership = options.createOwnership(event => this.#receiveOwnershipEvent(event), () => this.#exchange.listOutageReports())
    this.#exchange = new PeerExchange({
      ...options,
      peerKey: options.peers.key,
      budget: options.loadBudget,
      ownership: this.#ownership,
      suspects: this.#suspects,
      sendToGateways: message => this.#sendToGateways(message),
      receiveOtherMessage: (from, message) => {
        if (message.type === 'configurationNews') options.configuration.receiveUpdate(from, message)
      }
    })
    this.#summaryPublisher = new EndpointSummaryPublisher({
      clock,
      hostId,
      getSummaries: () => [...this.#endpoints.values()].map(endpoint => endpoint.getSummary()),
      isLeaving: () => this.#isLeaving,
      sendToGateways: message => this.#sendToGateways(message)
    })
    options.configuration.setPeers({
      listHosts: () => [...this.#links.keys()].map(link => link.hostId),
      send: (hostId, update) => this.#findLink(hostId)?.send(update)
    })
  }

  /** Port on which peers connect; 0 until started. */
  get port (): number {
    return this.#server?.port ?? 0
  }

  /** Describes the state of this process, without secrets. */
  describeState (): SchedulerState {
    const { hostId, zone } = this.#options
    return {
      host: hostId,
      zone,
      version: productVersion,
      isLeaving: this.#isLeaving,
      links: [...this.#links.keys()].map(link => link.hostId),
      owners: this.#ownership.listOwners(),
      hasTableOutage: this.#ownership.hasOutage(),
      ...this.#exchange.describeState(),
      owned: this.#ownership.listOwned(),
      endpoints: this.describeEndpoints(),
      suspects: this.#suspects.listRecords(),
      remoteWatchers: this.#decisionFeed.watcherCount
    }
  }

  async start (): Promise<void> {
    this.#server = await this.#options.peerTransport.serve({
      ...this.#options.peers,
      events: {
        receive: (link, message) => this.#receiveMessage(link, message),
        closed: link => this.#receiveClosedLink(link)
      },
      receiveRefusal: this.#options.receiveRefusal
    })
    const { hostId, zone, peers } = this.#options
    this.#exchange.start({ hostId, zone, address: `${peers.address}:${this.port}` })
    this.#ownership.start()
    this.#summaryPublisher.start()
    log('Scheduler "%s" takes links of peers on port %d.', this.#options.hostId, this.port)
  }

  /** Stops gracefully: waits until the running requests have ended, then releases the endpoints. */
  async stop (): Promise<void> {
    this.#isLeaving = true
    log('Scheduler "%s" is shutting down and releases its endpoints.', this.#options.hostId)
    this.#summaryPublisher.sendChanges()
    this.#ownership.stopClaiming()
    await Promise.all(this.#listEndpointTasks().map(async endpoint => await this.#releaseEndpoint(endpoint)))
    await this.#ownership.stop()
    this.#exchange.stop()
    this.#summaryPublisher.stop()
    this.#decisionFeed.stop()
    await this.#server?.stop()
    log('Scheduler "%s" has stopped.', this.#options.hostId)
  }

  #receiveMessage (link: PeerLink, message: PeerMessage): void {
    // The first message of a link must be a hello, and no later one may be.
    if (this.#linksWithHello.has(link) === (message.type === 'hello')) {
      this.#options.receiveRefusal('peer_message_unexpected')
      log('Closed a link on which a message of type "%s" was not expected.', message.type)
      link.close()
    } else if (message.type === 'hello') {
      this.#linksWithHello.add(link)
      const reply: Reply = answer => link.send(answer)
      this.#links.set(link, { link, reply, role: message.role })
      log('Link from %s "%s" opened.', message.role, message.hostId)
      if (message.role === 'gateway') this.#summaryPublisher.sendSnapshot(reply)
      this.#exchange.receiveHello(message, reply)
    } else if (message.type === 'dispatch') {
      this.#receiveDispatch(link, message)
    } else if (message.type === 'query') {
      this.#receiveQuery(link, message)
    } else if (message.type === 'configurationNews') {
      this.#options.configuration.receiveUpdate(link.hostId, message)
    } else if (message.type === 'cancel') {
      for (const endpoint of this.#listEndpointTasks()) endpoint.receiveCancel(message.requestId, message.attempt)
    } else if (this.#links.get(link)?.role === 'scheduler') {
      this.#exchange.receiveMessage(link.hostId, message)
    }
  }

  #receiveQuery (link: PeerLink, query: PeerMessageOf<'query'>): void {
    const open = this.#links.get(link)
    if (open) this.#queries.answerQuery(query, open.reply)
  }

  #receiveClosedLink (link: PeerLink): void {
    const open = this.#links.get(link)
    if (!open) return
    this.#links.delete(link)
    log('Link from %s "%s" closed.', open.role, link.hostId)
    this.#decisionFeed.removeSubscription(open.reply)
    this.#options.configuration.receiveLinkClosed(link.hostId)
    for (const endpoint of this.#listEndpointTasks()) endpoint.handleClosedLink(open.reply)
  }

  #findLink (hostId: string): PeerLink | undefined {
    return [...this.#links.keys()].find(link => link.hostId === hostId)
  }

  #receiveDispatch (link: PeerLink, dispatch: Dispatch): void {
    const open = this.#links.get(link)
    if (!open) return
    const endpoint = this.#endpoints.get(dispatch.endpointId)
    if (endpoint) {
      this.#summaryPublisher.recordDispatch()
      endpoint.receiveDispatch(dispatch, open.reply)
      return
    }
    const failure = createNotRunFailure('not_owner', `host "${this.#options.hostId}" does not own endpoint "${dispatch.endpointId}"`, 503)
    open.reply({ type: 'answerFailed', requestId: dispatch.requestId, attempt: dispatch.attempt, failure })
  }

  #receiveOwnershipEvent (event: OwnershipEvent): void {
    if (event.type === 'gained') {
      log('Now owns endpoint "%s", with fencing number %d.', event.entry.id, event.fencing)
      this.#recordOwnership(event.entry.id, 'gained', `the host owns it now, with fencing number ${event.fencing}`)
      this.#startEndpoint(event.entry, event.fencing, event.adoptableHandles)
    } else if (event.type === 'changed') {
      this.#endpoints.get(event.entry.id)?.updateEntry(event.entry)
    } else {
      const endpoint = this.#endpoints.get(event.endpointId)
      this.#recordOwnership(event.endpointId, 'lost', event.reason)
      log('Draining and releasing endpoint "%s": %s.', event.endpointId, event.reason)
      if (endpoint) this.#releaseEndpoint(endpoint)
    }
    this.#summaryPublisher.scheduleChanges()
  }

  #recordOwnership (endpointId: string, chosen: string, reason: string): void {
    this.#decisions.record({ kind: 'ownership', endpointId, considered: [], chosen, reason, waits: [] })
  }

  /**
   * Waits until the running requests have ended, and only then releases the endpoint to its next owner. Concurrent calls for
   * an endpoint share one release.
   */
  async #releaseEndpoint (endpoint: EndpointTask): Promise<void> {
    const release = this.#pendingReleases.get(endpoint) ?? this.#drainAndRelease(endpoint)
    this.#pendingReleases.set(endpoint, release)
    await release
  }

  async #drainAndRelease (endpoint: EndpointTask): Promise<void> {
    await endpoint.drain()
    endpoint.stop()
    if (this.#endpoints.get(endpoint.endpointId) === endpoint) this.#endpoints.delete(endpoint.endpointId)
    await this.#ownership.release(endpoint.endpointId, endpoint.fencing)
    this.#pendingReleases.delete(endpoint)
    this.#summaryPublisher.scheduleChanges()
  }

  #listEndpointTasks (): EndpointTask[] {
    return [...new Set([...this.#endpoints.values(), ...this.#pendingReleases.keys()])]
  }

  #startEndpoint (entry: EngineEntry, fencing: number, adoptableHandles: string[]): void {
    const { clock, engine, createPlanner } = this.#options
    const endpoint = new EndpointTask({
      clock,
      engine,
      entry,
      fencing,
      adoptableHandles,
      planner: createPlanner({ endpointId: entry.id, slots: entry.slots, batchLimit: entry.batchLimit }),
      ownership: this.#ownership,
      requestPermit: async (endpointId, slackMs) => await this.#exchange.requestPermit(endpointId, slackMs),
      recordDecision: draft => this.#decisions.record(draft),
      findSuspectState: fingerprint => this.#suspects.findState(fingerprint, clock.readMonotonic()),
      shutdownRules: this.#options.shutdownRules ?? shutdownRules,
      receiveCrash: crash => this.#receiveCrash(crash),
      receiveChange: () => this.#summaryPublisher.scheduleChanges()
    })
    this.#endpoints.set(entry.id, endpoint)
    endpoint.start()
  }

  /** Describes the endpoints that this host owns. */
  describeEndpoints (): EndpointState[] {
    return [...this.#endpoints.values()].map(endpoint => ({ ...endpoint.describeState(), host: this.#options.hostId }))
  }

  #receiveCrash (crash: EndpointCrash): void {
    log('Engine "%s" crashed with %d requests running on it.', crash.endpointId, crash.fingerprints.length)
    const reason = `the engine went away with ${crash.fingerprints.length} requests on it, which are suspects now`
    this.#decisions.record({ kind: 'suspect', endpointId: crash.endpointId, considered: [], chosen: 'suspects', reason, waits: [] })
    const crashes = [`${crash.endpointId}/${crash.incarnation}`]
    const suspects = crash.fingerprints.map(fingerprint => ({ fingerprint, crashes }))
    this.#exchange.addSuspectRecords({ type: 'suspects', suspects })
  }

  #sendToGateways (message: PeerMessage): void {
    for (const { link, role } of this.#links.values()) if (role === 'gateway') link.send(message)
  }
}
