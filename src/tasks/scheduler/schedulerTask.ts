/** The scheduler: owns endpoints, answers gateways and tells them what its endpoints hold. */
import { productVersion } from '../../constants.js'
import { createLog } from '../../createLog.js'
import { shutdownRules } from '../../core/shutdownRules.js'
import type { ShutdownRules } from '../../core/shutdownRules.js'
import { SuspectRegister } from '../../core/suspects.js'
import type { SuspectOptions, SuspectRecord } from '../../core/suspects.js'
import type { CreatePlanner } from '../../core/planner.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine } from '../../ports/engine.js'
import type { HostList } from '../../ports/hostList.js'
import type { PeerLink, PeerRefusal, PeerServer, PeerTransport } from '../../ports/peers.js'
import type { EngineEntry } from '../../schemas/hostList.js'
import type { EndpointState, SchedulerStatus } from '../../schemas/operatorMessage.js'
import type { Dispatch, PeerMessage, PeerMessageOf } from '../../schemas/peerMessage.js'
import type { ConfigurationTask } from '../configuration/configurationTask.js'
import { createNotRun } from '../../schemas/verdict.js'
import { DecisionFeed } from '../decisions/decisionFeed.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import { PeerExchange } from '../membership/peerExchange.js'
import type { PeerExchangeState } from '../membership/peerExchange.js'
import { SummaryFeed } from '../membership/summaryFeed.js'
import type { EndpointOwner, OwnedEndpoint, Ownership, OwnershipEvent, SendOwnershipEvent } from '../ownership/ownership.js'
import { EndpointTask } from './endpointTask.js'
import type { Reply } from './endpointTask.js'
import { SchedulerQueries } from './schedulerQueries.js'
import type { EndpointCrash } from './suspectGate.js'

const log = createLog('scheduler')

export interface SchedulerTaskOptions {
  hostId: string
  zone: string
  clock: Clock
  engine: Engine
  createPlanner: CreatePlanner
  suspectOptions?: SuspectOptions
  /** Left out, the rules that a graceful shutdown rests on. */
  shutdownRules?: ShutdownRules
  /** The second function lists hosts that lately told that the table gives them no answer. */
  createOwnership: (send: SendOwnershipEvent, listOutageReports: () => string[]) => Ownership
  hostList: HostList
  decisions: DecisionStore
  /** Called for each stranger and each message that was refused on the peers' port. */
  receiveRefusal: (code: PeerRefusal) => void
  /** State of the whole process, without secrets. */
  describeProcess: () => unknown
  /** What the weight store allows all hosts together. */
  loadBudget: SchedulerStatus['loadBudget']
  /** Started and stopped by its owner. */
  configuration: ConfigurationTask
  peerTransport: PeerTransport
  peers: { address: string, port: number, key: string }
}

interface OpenLink {
  link: PeerLink
  reply: Reply
  role: PeerMessageOf<'hello'>['role']
}

/** What a dump tells of a scheduler. */
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
  #ownership: Ownership
  #endpoints = new Map<string, EndpointTask>()
  /** Endpoints that are being handed over, until what runs on them has ended. */
  #handOvers = new Map<EndpointTask, Promise<void>>()
  #links = new Map<PeerLink, OpenLink>()
  /** Links whose peer has said hello, those that have closed since among them. */
  #greeted = new WeakSet<PeerLink>()
  #server: PeerServer | undefined
  #summaries: SummaryFeed
  #isLeaving = false
  #suspects: SuspectRegister
  #decisions: DecisionStore
  #feed: DecisionFeed
  #queries: SchedulerQueries
  #exchange: PeerExchange

  constructor (options: SchedulerTaskOptions) {
    this.#options = options
    this.#suspects = new SuspectRegister(options.suspectOptions)
    const { hostId, zone, clock } = options
    this.#decisions = options.decisions
    this.#feed = new DecisionFeed(clock)
    this.#decisions.addWatcher(decision => this.#feed.receiveDecision(decision))
    this.#queries = new SchedulerQueries({
      hostId,
      zone,
      clock,
      decisions: this.#decisions,
      feed: this.#feed,
      loadBudget: options.loadBudget,
      isLeaving: () => this.#isLeaving,
      describeEndpoints: () => this.describeEndpoints(),
      describeState: options.describeProcess
    })
    this.#ownership = options.createOwnership(event => this.#receiveOwnership(event), () => this.#exchange.listOutageReports())
    this.#exchange = new PeerExchange({
      ...options,
      peerKey: options.peers.key,
      budget: options.loadBudget,
      ownership: this.#ownership,
      suspects: this.#suspects,
      sendGateways: message => this.#sendGateways(message),
      receiveOther: (from, message) => {
        if (message.type === 'configurationNews') options.configuration.receiveNews(from, message)
      }
    })
    this.#summaries = new SummaryFeed({
      clock,
      hostId,
      readSummaries: () => [...this.#endpoints.values()].map(endpoint => endpoint.readSummary()),
      isLeaving: () => this.#isLeaving,
      sendGateways: message => this.#sendGateways(message)
    })
    options.configuration.setPeers({
      listHosts: () => [...this.#links.keys()].map(link => link.hostId),
      send: (hostId, news) => this.#findLink(hostId)?.send(news)
    })
  }

  /** Port on which peers connect, once started. */
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
      remoteWatchers: this.#feed.watchers
    }
  }

  async start (): Promise<void> {
    this.#server = await this.#options.peerTransport.serve({
      ...this.#options.peers,
      events: {
        receive: (link, message) => this.#receive(link, message),
        closed: link => this.#receiveClosed(link)
      },
      receiveRefusal: this.#options.receiveRefusal
    })
    const { hostId, zone, peers } = this.#options
    this.#exchange.start({ hostId, zone, address: `${peers.address}:${this.port}` })
    this.#ownership.start()
    this.#summaries.start()
    log('Scheduler "%s" takes links of peers on port %d.', this.#options.hostId, this.port)
  }

  /** Ends gracefully: what runs ends first, then the endpoints are handed over. */
  async stop (): Promise<void> {
    this.#isLeaving = true
    log('Scheduler "%s" is leaving and hands its endpoints over.', this.#options.hostId)
    this.#summaries.sendChanges()
    this.#ownership.leave()
    await Promise.all(this.#listTasks().map(async endpoint => await this.#handOver(endpoint)))
    await this.#ownership.stop()
    this.#exchange.stop()
    this.#summaries.stop()
    this.#feed.stop()
    await this.#server?.stop()
    log('Scheduler "%s" has stopped.', this.#options.hostId)
  }

  #receive (link: PeerLink, message: PeerMessage): void {
    // A link begins with a hello, and has one alone.
    if (this.#greeted.has(link) === (message.type === 'hello')) {
      this.#options.receiveRefusal('peer_message_unexpected')
      log('A link was closed: it sent a message of type "%s" out of turn.', message.type)
      link.close()
    } else if (message.type === 'hello') {
      this.#greeted.add(link)
      const reply: Reply = answer => link.send(answer)
      this.#links.set(link, { link, reply, role: message.role })
      log('The link of %s "%s" is open.', message.role, message.hostId)
      if (message.role === 'gateway') this.#summaries.sendAll(reply)
      this.#exchange.receiveHello(message, reply)
    } else if (message.type === 'dispatch') {
      this.#receiveDispatch(link, message)
    } else if (message.type === 'query') {
      this.#receiveQuery(link, message)
    } else if (message.type === 'configurationNews') {
      this.#options.configuration.receiveNews(link.hostId, message)
    } else if (message.type === 'cancel') {
      for (const endpoint of this.#listTasks()) endpoint.receiveCancel(message.requestId, message.attempt)
    } else if (this.#links.get(link)?.role === 'scheduler') {
      this.#exchange.receiveMessage(link.hostId, message)
    }
  }

  #receiveQuery (link: PeerLink, query: PeerMessageOf<'query'>): void {
    const open = this.#links.get(link)
    if (open) this.#queries.receive(query, open.reply)
  }

  #receiveClosed (link: PeerLink): void {
    const open = this.#links.get(link)
    if (!open) return
    this.#links.delete(link)
    log('The link of %s "%s" is closed.', open.role, link.hostId)
    this.#feed.removeSubscription(open.reply)
    this.#options.configuration.receiveClosed(link.hostId)
    for (const endpoint of this.#listTasks()) endpoint.receiveClosedLink(open.reply)
  }

  #findLink (hostId: string): PeerLink | undefined {
    return [...this.#links.keys()].find(link => link.hostId === hostId)
  }

  #receiveDispatch (link: PeerLink, dispatch: Dispatch): void {
    const open = this.#links.get(link)
    if (!open) return
    const endpoint = this.#endpoints.get(dispatch.endpointId)
    if (endpoint) {
      this.#summaries.recordDispatch()
      endpoint.receiveDispatch(dispatch, open.reply)
      return
    }
    const failure = createNotRun('not_owner', `host "${this.#options.hostId}" does not own endpoint "${dispatch.endpointId}"`, 503)
    open.reply({ type: 'answerFailed', requestId: dispatch.requestId, attempt: dispatch.attempt, failure })
  }

  #receiveOwnership (event: OwnershipEvent): void {
    if (event.type === 'gained') {
      log('Endpoint "%s" is owned now, with fencing number %d.', event.entry.id, event.fencing)
      this.#recordOwnership(event.entry.id, 'gained', `the host owns it now, with fencing number ${event.fencing}`)
      this.#startEndpoint(event.entry, event.fencing, event.adoptableHandles)
    } else if (event.type === 'changed') {
      this.#endpoints.get(event.entry.id)?.receiveEntry(event.entry)
    } else {
      const endpoint = this.#endpoints.get(event.endpointId)
      this.#recordOwnership(event.endpointId, 'lost', event.reason)
      log('Endpoint "%s" is handed over: %s.', event.endpointId, event.reason)
      if (endpoint) this.#handOver(endpoint)
    }
    this.#summaries.receiveChange()
  }

  #recordOwnership (endpointId: string, chosen: string, reason: string): void {
    this.#decisions.record({ kind: 'ownership', endpointId, considered: [], chosen, reason, waits: [] })
  }

  /** Lets what runs end, and only then gives the endpoint to its next owner. */
  async #handOver (endpoint: EndpointTask): Promise<void> {
    const handOver = this.#handOvers.get(endpoint) ?? this.#drainAndRelease(endpoint)
    this.#handOvers.set(endpoint, handOver)
    await handOver
  }

  async #drainAndRelease (endpoint: EndpointTask): Promise<void> {
    await endpoint.drain()
    endpoint.stop()
    if (this.#endpoints.get(endpoint.endpointId) === endpoint) this.#endpoints.delete(endpoint.endpointId)
    await this.#ownership.release(endpoint.endpointId, endpoint.fencing)
    this.#handOvers.delete(endpoint)
    this.#summaries.receiveChange()
  }

  #listTasks (): EndpointTask[] {
    return [...new Set([...this.#endpoints.values(), ...this.#handOvers.keys()])]
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
      receiveChange: () => this.#summaries.receiveChange()
    })
    this.#endpoints.set(entry.id, endpoint)
    endpoint.start()
  }

  /** Describes the endpoints that this host owns. */
  describeEndpoints (): EndpointState[] {
    return [...this.#endpoints.values()].map(endpoint => ({ ...endpoint.describeState(), host: this.#options.hostId }))
  }

  #receiveCrash (crash: EndpointCrash): void {
    log('Engine "%s" went away with %d requests on it.', crash.endpointId, crash.fingerprints.length)
    const reason = `the engine went away with ${crash.fingerprints.length} requests on it, which are suspects now`
    this.#decisions.record({ kind: 'suspect', endpointId: crash.endpointId, considered: [], chosen: 'suspects', reason, waits: [] })
    const crashes = [`${crash.endpointId}/${crash.incarnation}`]
    const suspects = crash.fingerprints.map(fingerprint => ({ fingerprint, crashes }))
    this.#exchange.addSuspects({ type: 'suspects', suspects })
  }

  #sendGateways (message: PeerMessage): void {
    for (const { link, role } of this.#links.values()) if (role === 'gateway') link.send(message)
  }
}
