/** The gateway: accepts callers' requests and sends them to schedulers, which run them on their endpoints. */
import { productVersion } from '../../constants.js'
import { createLog } from '../../createLog.js'
import type { ChooseEndpoint, EndpointView } from '../../core/endpointChoice.js'
import { RetryBudget, defaultRetryBudget } from '../../core/retryBudget.js'
import type { RequestRules } from '../../core/requestRules.js'
import { SuspectRegistry } from '../../core/suspectRegistry.js'
import type { SuspectOptions } from '../../core/suspectRegistry.js'
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { PeerTransport } from '../../ports/peerTransport.js'
import type { ServiceClient } from '../../ports/serviceClient.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { PeerMessage } from '../../schemas/peerMessage.js'
import type { IdempotencyClaimTask } from '../idempotency/idempotencyClaimTask.js'
import type { JobStore } from '../jobs/jobStore.js'
import type { ConfigurationTask } from '../configuration/configurationTask.js'
import { startCallersServer } from './callersServer.js'
import type { Refusal } from './callersContext.js'
import type { CallersServer, CallersServerOptions } from './callersServer.js'
import { RequestRouter } from './requestRouter.js'
import type { RouterState } from './requestRouter.js'
import type { HashText } from './resolveRequest.js'
import { SchedulerLinks } from './schedulerLinks.js'
import { ServiceRouter } from './serviceRouter.js'

const log = createLog('gateway')
const maxReasonLength = 300

export interface GatewayTaskOptions {
  hostId: string
  zone: string
  clock: Clock
  hostList: HostList
  service: ServiceClient
  /** Started and stopped by its owner. */
  configuration: ConfigurationTask
  claims: IdempotencyClaimTask
  jobs: JobStore
  chooseEndpoint: ChooseEndpoint
  /** Defaults to the rules that the product's guarantees depend on. */
  requestRules?: RequestRules
  suspectOptions?: SuspectOptions
  random: () => number
  hashText: HashText
  peerTransport: PeerTransport
  peerKey: string
  /** Address and limits of the callers' port. If omitted, the gateway runs only requests of its own process. */
  callers?: Pick<CallersServerOptions, 'address' | 'port' | 'maxArrivalMs' | 'openLimits'>
  /** Resolves when the links may be closed. By default, that is once every response in progress has been sent. */
  stopCallers?: (callers: CallersServer) => Promise<void>
  recordDecision: RecordDecision
  countBadInput: (code: string) => void
  /** Receives the messages that schedulers send for operators: query results and decisions. */
  receiveOperatorMessage: (hostId: string, message: PeerMessage) => void
}

/** State of a gateway as shown in a dump. */
export interface GatewayState {
  host: string
  zone: string
  version: string
  callersPort: number
  requests: RouterState
  configurationVersion: number
  schedulers: string[]
  endpoints: EndpointView[]
}

export class GatewayTask {
  #options: GatewayTaskOptions
  #links: SchedulerLinks
  #router: RequestRouter
  #services: ServiceRouter
  #callers: CallersServer | undefined

  constructor (options: GatewayTaskOptions) {
    this.#options = options
    const { clock, hostList, hostId, zone, peerTransport, peerKey } = options
    this.#links = new SchedulerLinks({
      clock,
      hostList,
      hostId,
      zone,
      peerTransport,
      peerKey,
      receiveMessage: (from, message) => this.#receiveMessage(from, message),
      receiveLinkClosed: from => {
        this.#router.receiveLinkClosed(from)
        this.#recordMembership(from, 'lost', 'the link to it was closed')
        options.configuration.receiveLinkClosed(from)
      },
      receiveLinkOpened: to => this.#recordMembership(to, 'joined', 'it has published its endpoints over a new link'),
      receiveEndpointChange: () => this.#router.receiveEndpointChange(),
      receiveList: entries => {
        this.#services.receiveList(entries)
        options.configuration.receiveList(entries)
      }
    })
    options.configuration.setPeers({ listHosts: () => this.#links.listHostIds(), send: (to, update) => this.#links.send(to, update) })
    this.#services = new ServiceRouter({ clock, zone, service: options.service, recordDecision: options.recordDecision })
    this.#router = new RequestRouter({
      clock,
      zone,
      links: this.#links,
      chooseEndpoint: options.chooseEndpoint,
      retryBudget: new RetryBudget(defaultRetryBudget, clock.readMonotonic()),
      suspects: new SuspectRegistry(options.suspectOptions),
      ...(options.requestRules && { rules: options.requestRules }),
      random: options.random,
      recordDecision: options.recordDecision
    })
  }

  /** Port on which callers connect; 0 before the start. */
  get callersPort (): number {
    return this.#callers?.port ?? 0
  }

  get links (): SchedulerLinks {
    return this.#links
  }

  /** Also used for requests that this process creates itself, such as those of jobs. */
  get router (): RequestRouter {
    return this.#router
  }

  /** Also used for calls of plain services that this process makes itself. */
  get services (): ServiceRouter {
    return this.#services
  }

  /** Describes the state of the gateway, without secrets. */
  describeState (): GatewayState {
    const { hostId, zone, configuration } = this.#options
    return {
      host: hostId,
      zone,
      version: productVersion,
      callersPort: this.callersPort,
      requests: this.#router.describeState(),
      configurationVersion: configuration.view.version,
      schedulers: this.#links.listHostIds(),
      endpoints: this.#links.listViews()
    }
  }

  async start (): Promise<void> {
    this.#links.start()
    const { clock, configuration, claims, jobs, hashText, callers } = this.#options
    if (!callers) return
    this.#callers = await startCallersServer({
      ...callers,
      clock,
      configuration: configuration.view,
      router: this.#router,
      services: this.#services,
      claims,
      jobs,
      hashText,
      receiveRefusal: refusal => this.#receiveRefusal(refusal),
      recordDecision: this.#options.recordDecision
    })
    log('Gateway "%s" takes callers on port %d.', this.#options.hostId, this.callersPort)
  }

  /** Accepts no new connections; resolves once every response in progress has been sent. */
  async stop (): Promise<void> {
    const { claims, stopCallers = async callers => await callers.stop() } = this.#options
    if (this.#callers) await stopCallers(this.#callers)
    await claims.drain()
    this.#links.stop()
    log('Gateway "%s" has stopped.', this.#options.hostId)
  }

  /**
   * A refusal of a request without a known key is only counted: if it were recorded as a decision, such requests could
   * displace the decisions that are kept about callers' requests.
   */
  #receiveRefusal ({ requestId, callerName, failure }: Refusal): void {
    if (failure.status < 500) this.#options.countBadInput(failure.code)
    if (callerName === undefined) return
    // A message may quote what the caller sent, of any length.
    const reason = `${failure.message.slice(0, maxReasonLength)} (caller "${callerName}")`
    this.#options.recordDecision({
      kind: 'refuse', requestId, verdict: failure.verdict, considered: [], chosen: failure.code, reason, waits: []
    })
  }

  #recordMembership (hostId: string, chosen: string, reason: string): void {
    const description = `scheduler "${hostId}" ${chosen}: ${reason}`
    this.#options.recordDecision({ kind: 'membership', considered: [], chosen: `${hostId} ${chosen}`, reason: description, waits: [] })
  }

  #receiveMessage (hostId: string, message: PeerMessage): void {
    if (message.type === 'queryAnswer' || message.type === 'decisions') this.#options.receiveOperatorMessage(hostId, message)
    else if (message.type === 'configurationNews') this.#options.configuration.receiveUpdate(hostId, message)
    else this.#router.receiveMessage(hostId, message)
  }
}
