/** Hosts of the platform's program in this process, on a stand-in of the platform, with callers that use them. */
import { pack } from 'msgpackr'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { createHttpRelay } from '../../src/adapters/relay/httpRelay.js'
import { openUdpDatagrams } from '../../src/adapters/datagrams/udpDatagrams.js'
import type { RunningProcess } from '../../src/bin/processExit.js'
import type { DecodedUpdate } from '../../src/core/clusterView.js'
import { decodePlatformRow } from '../../src/platform/decodePlatformRow.js'
import { createStoreClient } from '../../src/platform/storeClient.js'
import { startHost } from '../../src/bin/startHost.js'
import type { Datagrams } from '../../src/ports/datagrams.js'
import type { EventFields } from '../../src/ports/eventLog.js'
import type { HostMessage } from '../../src/schemas/datagram.js'
import type { HostSettings } from '../../src/schemas/hostSettings.js'
import { FleetCaller } from '../../src/standin/fleet/fleetCaller.js'
import type { FleetAnswer, FleetCall } from '../../src/standin/fleet/fleetCaller.js'
import { createHostSettings, findMetricsPort } from '../../src/standin/fleet/hostSettings.js'
import { startFleet } from '../../src/standin/fleet/startFleet.js'
import type { Fleet, FleetOptions } from '../../src/standin/fleet/startFleet.js'
import { cutDatagrams, cutRelay, cutStore } from './cutLinks.js'
import { hostsBasePort } from './testPorts.js'
import { waitUntil } from './waitUntil.js'

export interface LogLine {
  /** Unix milliseconds. */
  time: number
  host: string
  kind: string
  message: string
  fields: EventFields
}

export interface FleetHost {
  settings: HostSettings
  process: RunningProcess | undefined
}

/** What hosts have sent each other. */
export interface SentBytes {
  messages: number
  bytes: number
}

export interface CallOptions extends Omit<FleetCall, 'address'> {
  host: number
}

let nextNetwork = 1

export class HostFleet {
  readonly fleet: Fleet
  readonly hosts: FleetHost[] = []
  readonly lines: LogLine[] = []
  /** By host. */
  readonly sent = new Map<string, SentBytes>()
  /** Whether the network loses a message that a host sends to another one. */
  isLost: (message: HostMessage, sender: string) => boolean = () => false
  /** Whether a host is cut off from the store and the other hosts; callers and endpoints reach it. */
  isCutOff: (host: string) => boolean = () => false
  /** Address at which a host reaches an endpoint. */
  findRoute: (host: string, endpointId: string, address: string) => string = (_host, _endpointId, address) => address
  #caller = new FleetCaller()
  #network = `127.${nextNetwork++ % 200 + 1}.0`

  private constructor (fleet: Fleet) {
    this.fleet = fleet
  }

  /** Starts the platform alone; the hosts are given its address. */
  static async prepare (hosts: number, options: Partial<FleetOptions> = {}): Promise<HostFleet> {
    const world = new HostFleet(await startFleet(options))
    for (let index = 1; index <= hosts; index++) world.hosts.push({ settings: createHostSettings({ index, network: world.#network, basePort: hostsBasePort, storeAddress: world.fleet.store.address }), process: undefined })
    return world
  }

  /** Starts the platform and hosts, and waits until every engine has an owner that knows its state. */
  static async start (hosts: number, options: Partial<FleetOptions> = {}): Promise<HostFleet> {
    const world = await HostFleet.prepare(hosts, options)
    await Promise.all(world.hosts.map(async host => await world.startHost(host)))
    await world.waitForOwners()
    return world
  }

  async startHost (host: FleetHost): Promise<void> {
    const { hostName } = host.settings
    host.process = await startHost(host.settings, createSystemClock(), {
      metricsPort: findMetricsPort(hostsBasePort),
      ports: {
        decodeRow: (table, key, value) => this.#decodeRow(hostName, table, key, value),
        createStore: (...options) => cutStore(createStoreClient(...options), () => this.isCutOff(hostName)),
        createRelay: () => cutRelay(createHttpRelay(), () => this.isCutOff(hostName)),
        openDatagrams: async options => countSent(cutDatagrams(await openUdpDatagrams(options), () => this.isCutOff(hostName)), this.#findSent(hostName), message => this.isLost(message, hostName))
      },
      openLog: () => ({
        record: (kind, message, fields = {}) => { this.lines.push({ time: Date.now(), host: hostName, kind, message, fields }) },
        flush: async () => {}
      })
    })
  }

  async stopHost (host: FleetHost): Promise<void> {
    const running = host.process
    host.process = undefined
    await running?.stop()
  }

  async waitForOwners (): Promise<void> {
    await waitUntil(() => {
      const known = new Set(this.listLines('engine.state').map(line => line.fields.endpointId))
      return this.fleet.engines.every(({ id }) => known.has(id))
    })
  }

  async call ({ host, ...call }: CallOptions): Promise<FleetAnswer> {
    return await this.#caller.call({ ...call, address: this.#findCallersAddress(host) })
  }

  /** Status of a plain request to any path of the fleet's host. */
  async readStatus (host: number, path: string): Promise<number> {
    return await this.#caller.readStatus(this.#findCallersAddress(host), path)
  }

  listLines (kind: string): LogLine[] {
    return this.lines.filter(line => line.kind === kind)
  }

  /** All lines as hosts write them. */
  formatLines (): string {
    return this.lines.map(({ fields, ...line }) => JSON.stringify({ ...line, ...fields })).join('\n')
  }

  async stop (): Promise<void> {
    await this.#caller.close()
    await Promise.all(this.hosts.map(async host => await this.stopHost(host)))
    await this.fleet.stop()
  }

  #decodeRow (hostName: string, table: string, key: string, value: Uint8Array | undefined): DecodedUpdate | undefined {
    const update = decodePlatformRow(table, key, value)
    if (update?.kind !== 'endpoint' || !update.entry) return update
    return { ...update, entry: { ...update.entry, address: this.findRoute(hostName, key, update.entry.address) } }
  }

  #findSent (hostName: string): SentBytes {
    const sent = this.sent.get(hostName) ?? { messages: 0, bytes: 0 }
    this.sent.set(hostName, sent)
    return sent
  }

  #findCallersAddress (host: number): string {
    return this.hosts[host - 1]!.settings.callersAddress
  }
}

/** Names of a datagram's host and session, and the heads of its packet. */
const datagramOverheadBytes = 70

/** Counts each message as a datagram of its own, which is the most that it may cost. */
function countSent (datagrams: Datagrams, sent: SentBytes, isLost: (message: HostMessage) => boolean): Datagrams {
  return {
    send: (address, message) => {
      if (isLost(message)) return
      sent.messages++
      sent.bytes += datagramOverheadBytes + pack(message).length
      datagrams.send(address, message)
    },
    receive: receiveMessage => datagrams.receive(receiveMessage),
    close: () => datagrams.close()
  }
}
