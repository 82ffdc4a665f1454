/** Serves operators on one gateway process. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { ConfigurationView } from '../../schemas/configuration.js'
import type { PeerMessage } from '../../schemas/peerMessage.js'
import type { ConfigurationOperations } from '../configuration/configurationChange.js'
import type { DecisionStore } from '../decisions/decisionStore.js'
import type { BadInputCounter } from '../metrics/badInputCounter.js'
import { GatewayQueries } from './gatewayQueries.js'
import { LiveFeed } from './liveFeed.js'
import type { OperatorsContext } from './operatorsContext.js'
import { startOperatorsServer } from './operatorsServer.js'
import type { OperatorsServer } from './operatorsServer.js'
import { PeerQueries } from './peerQueries.js'
import type { QueryLinks } from './peerQueries.js'

const log = createLog('operators')

export interface OperatorsTaskOptions {
  hostId: string
  zone: string
  clock: Clock
  hostList: HostList
  configuration: ConfigurationView
  operations: ConfigurationOperations
  jobs: OperatorsContext['jobs']
  decisions: DecisionStore
  links: QueryLinks
  operators: { address: string, port: number, keyHash?: string }
  /** State of the whole process, without secrets. */
  describeProcess: () => unknown
  badInput: BadInputCounter
}

export class OperatorsTask {
  #options: OperatorsTaskOptions
  #peers: PeerQueries
  #gateways: GatewayQueries
  #feed: LiveFeed
  #server: OperatorsServer | undefined

  constructor (options: OperatorsTaskOptions) {
    this.#options = options
    const { clock, decisions, hostId, hostList, links } = options
    this.#peers = new PeerQueries(clock, links)
    this.#gateways = new GatewayQueries({ hostId, hostList })
    this.#feed = new LiveFeed({ hostId, clock, decisions, peers: this.#peers, gateways: this.#gateways })
  }

  /** Port on which operators connect, once started. */
  get port (): number {
    return this.#server?.port ?? 0
  }

  async start (): Promise<void> {
    const { operators, badInput, ...rest } = this.#options
    this.#server = await startOperatorsServer({
      ...rest,
      settingsKeyHash: operators.keyHash,
      peers: this.#peers,
      gateways: this.#gateways,
      feed: this.#feed,
      countBadInput: code => badInput.count(code)
    }, operators)
    log('Gateway "%s" takes operators on port %d.', this.#options.hostId, this.port)
  }

  /** Takes what schedulers send for operators. */
  receiveMessage (message: PeerMessage): void {
    if (message.type === 'queryAnswer') this.#peers.receiveAnswer(message)
    else if (message.type === 'decisions') this.#feed.receiveDecisions(message)
  }

  /** Describes the state of this task. */
  describeState (): { port: number, watchers: number } {
    return { port: this.port, watchers: this.#feed.watchers }
  }

  async stop (): Promise<void> {
    this.#feed.stop()
    await this.#server?.stop()
    await this.#gateways.close()
  }
}
