/** The system of a soak: host processes, the stand-in platform, and proxies on the links between them. */
import { startFleet } from '../src/standin/fleet/startFleet.js'
import type { Fleet } from '../src/standin/fleet/startFleet.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'
import type { RoutingConfiguration } from '../src/schemas/routing.js'
import { HostProcess } from './hostProcess.js'
import { LoopbackProxy } from './loopbackProxy.js'
import type { ProcessEnd } from './soakRecord.js'

export interface SoakSystemOptions {
  hosts: number
  engines: number
  services: number
  random: () => number
  without: string | undefined
  logs: string | undefined
  receiveEnd: (end: ProcessEnd) => void
}

/** Ports are the same on all hosts; another run on this machine takes others. */
const basePort = 44_000 + (process.pid % 2000) * 8
const adapterSlots = 4
/** Low beside what callers send, so that a host that repeats without a bound shows. */
const retryExtra = 20
/** Between events of streams, so that faults meet streams in the middle. */
const eventMs = 50

export class SoakSystem {
  readonly fleet: Fleet
  readonly hosts: HostProcess[] = []
  readonly storeLinks: LoopbackProxy[]
  /** By the endpoint's id. */
  readonly endpointLinks: Map<string, LoopbackProxy>
  #probeRoutes = 0

  private constructor (fleet: Fleet, storeLinks: LoopbackProxy[], endpointLinks: Map<string, LoopbackProxy>) {
    this.fleet = fleet
    this.storeLinks = storeLinks
    this.endpointLinks = endpointLinks
  }

  /** Starts everything; hosts may not serve yet. */
  static async start ({ hosts, engines, services, random, without, logs, receiveEnd }: SoakSystemOptions): Promise<SoakSystem> {
    const endpointLinks = new Map<string, LoopbackProxy>()
    const fleet = await startFleet({
      engines,
      services,
      adapterSlots,
      random,
      openRoute: async (id, address) => {
        const link = await LoopbackProxy.start(address)
        endpointLinks.set(id, link)
        return link.address
      }
    })
    const storeLinks = await Promise.all(Array.from({ length: hosts }, async () => await LoopbackProxy.start(fleet.store.address)))
    const system = new SoakSystem(fleet, storeLinks, endpointLinks)
    storeLinks.forEach((link, index) => {
      system.hosts.push(new HostProcess({ settings: createSettings(index + 1, link.address), metricsPort: basePort + 4, without, logs, receiveEnd }))
    })
    for (const { server } of fleet.endpoints) server.setFaults({ eventMs })
    await Promise.all(system.hosts.map(async host => await host.start()))
    return system
  }

  /** Writes a configuration with one more route than the last; returns the number of that route. */
  writeConfiguration (): number {
    const routes: RoutingConfiguration['routes'] = this.fleet.defaultRoutes
    const plain = routes.find(route => route.kind === 'idempotent')!
    this.#probeRoutes++
    const probed = Array.from({ length: this.#probeRoutes }, (_, index) => ({ ...plain, name: `probe-${index + 1}`, prefix: formatProbePath(index + 1) }))
    this.fleet.writeConfiguration({ routes: [...routes, ...probed] })
    return this.#probeRoutes
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async host => {
      host.resume()
      await host.end('stop')
    }))
    await this.fleet.stop()
    await Promise.all([...this.storeLinks, ...this.endpointLinks.values()].map(async link => await link.stop()))
  }
}

/** Path of the route that came with a change of the configuration. */
export function formatProbePath (change: number): string {
  return `/probe-${change}/`
}

function createSettings (index: number, storeAddress: string): HostSettings {
  const address = `127.${210 + process.pid % 40}.0.${index}`
  return {
    hostName: `host-${index}`,
    address,
    zone: index % 2 === 1 ? 'a' : 'b',
    callersAddress: `${address}:${basePort}`,
    readinessAddress: `${address}:${basePort + 1}`,
    peersAddress: `${address}:${basePort + 2}`,
    datagramPort: basePort + 3,
    seedAddresses: [],
    storeAddress,
    memoryMb: 250,
    maxDescriptors: 2000,
    heartbeatMs: 300,
    drainMs: 1000,
    shutdownMs: 8000,
    configurationMs: 3000,
    retryShare: 0.2,
    retryExtra,
    retryWindowMs: 10_000,
    leaseMs: 3000,
    versionMs: 5000
  }
}
