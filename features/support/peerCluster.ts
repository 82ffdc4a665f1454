/** The peer exchanges of several schedulers on a virtual clock. */
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { MemoryHostList } from '../../src/adapters/memoryPlatform/memoryHostList.js'
import { SuspectRegistry } from '../../src/core/suspectRegistry.js'
import type { PeerLink } from '../../src/ports/peerTransport.js'
import type { PeerMessage } from '../../src/schemas/peerMessage.js'
import { PeerExchange } from '../../src/tasks/membership/peerExchange.js'
import type { EndpointOwner } from '../../src/tasks/ownership/endpointOwnership.js'
import { MemoryTransport } from './memoryTransport.js'

export interface PeerHost {
  hostId: string
  address: string
  exchange: PeerExchange
  suspects: SuspectRegistry
  hasOutage: boolean
  /** Messages that this host sent to its gateways. */
  gatewayMessages: PeerMessage[]
}

export interface PeerClusterOptions {
  listLagMs: number
  budget?: { loadsPerSecond: number, loadsAtFullSpeed: number }
}

/** Loads that have run under a permit, with the figures that the budget limits. */
export interface PermittedLoads {
  startedAtMs: number[]
  running: number
  maxRunning: number
  order: string[]
}

export class PeerCluster {
  readonly clock = new VirtualClock()
  readonly transport = new MemoryTransport(this.clock)
  readonly hosts = new Map<string, PeerHost>()
  readonly loads: PermittedLoads = { startedAtMs: [], running: 0, maxRunning: 0, order: [] }
  /** Owners of the endpoints, as every host has read them. */
  owners: EndpointOwner[] = []
  #options: PeerClusterOptions
  #hostList: MemoryHostList
  #listLagMs: number

  constructor (options: PeerClusterOptions) {
    this.#options = options
    this.#listLagMs = options.listLagMs
    this.#hostList = new MemoryHostList(this.clock, 0)
  }

  /** Sets the delay with which hosts added from now on appear on the list. */
  setListLag (lagMs: number): void {
    this.#listLagMs = lagMs
  }

  async addHost (index: number): Promise<PeerHost> {
    const hostId = `scheduler-${index}`
    const address = `10.0.0.${index}:7500`
    const suspects = new SuspectRegistry()
    const gatewayMessages: PeerMessage[] = []
    const host: PeerHost = { hostId, address, suspects, gatewayMessages, hasOutage: false, exchange: undefined! }
    host.exchange = new PeerExchange({
      clock: this.clock,
      hostId,
      hostList: this.#hostList,
      peerTransport: this.transport,
      peerKey: 'k',
      budget: this.#options.budget ?? { loadsPerSecond: 4, loadsAtFullSpeed: 2 },
      ownership: { listOwners: () => this.owners, hasOutage: () => host.hasOutage },
      suspects,
      sendToGateways: message => { gatewayMessages.push(message) },
      receiveOtherMessage: () => {}
    })
    this.hosts.set(hostId, host)
    await this.#serve(host)
    host.exchange.start({ hostId, zone: 'az-1', address })
    this.clock.setTimer(() => {
      this.#hostList.addEntry({ kind: 'scheduler', id: hostId, zone: 'az-1', address, presence: 'live' })
    }, this.#listLagMs)
    return host
  }

  /** Stops a host abruptly; its links close. */
  kill (hostId: string): void {
    const host = this.hosts.get(hostId)!
    this.hosts.delete(hostId)
    this.#hostList.removeEntry(hostId)
    this.transport.cut(host.address)
    host.exchange.stop()
  }

  async run (ms: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
  }

  /** Runs one load under a permit. */
  async runLoad (hostId: string, name: string, slackMs: number, loadMs: number): Promise<void> {
    const release = await this.hosts.get(hostId)!.exchange.requestPermit('engine-1', slackMs)
    const { loads } = this
    loads.startedAtMs.push(this.clock.readMonotonic())
    loads.order.push(name)
    loads.running++
    loads.maxRunning = Math.max(loads.maxRunning, loads.running)
    this.clock.setTimer(() => {
      loads.running--
      release()
    }, loadMs)
  }

  async #serve (host: PeerHost): Promise<void> {
    const [address = '', port] = host.address.split(':')
    await this.transport.serve({
      address,
      port: Number(port),
      key: 'k',
      receiveRefusal: () => {},
      events: {
        receive: (link: PeerLink, message) => {
          if (message.type === 'hello') host.exchange.receiveHello(message, answer => link.send(answer))
          else host.exchange.receiveMessage(link.hostId, message)
        },
        closed: () => {}
      }
    })
  }
}
