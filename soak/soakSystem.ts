/** The system of a soak: host processes, the stand-in platform, and proxies on the links between them. */
import { startFleet } from '../src/standin/fleet/startFleet.js'
import type { Fleet } from '../src/standin/fleet/startFleet.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'
import type { RoutingConfiguration } from '../src/schemas/routing.js'
import { claimPorts } from '../src/standin/fleet/claimPorts.js'
import { createHostSettings, findMetricsPort } from '../src/standin/fleet/hostSettings.js'
import { HostProcess } from './hostProcess.js'
import { soakAccounts } from './soakAccounts.js'
import { LoopbackProxy } from './loopbackProxy.js'
import type { ProcessEnd } from './soakRecord.js'

export interface SoakSystemOptions {
  hosts: number
  engines: number
  services: number
  /** Whether the configuration has client accounts. */
  hasAccounts: boolean
  random: () => number
  without: string | undefined
  logs: string
  receiveEnd: (end: ProcessEnd) => void
}

/** Ports are the same on all hosts; another process on this machine has others. */
const basePort = await claimPorts()
const adapterSlots = 4
const network = `127.${210 + process.pid % 40}.0`
/**
 * Memory of the smallest machines of the deployments, and their times for a stop and for a configuration. Few repeats are let
 * pass beside what callers send, so that a host that repeats without a bound shows.
 */
const soakBounds: Partial<HostSettings> = { memoryMb: 250, maxDescriptors: 2000, shutdownMs: 8000, configurationMs: 3000, retryExtra: 20 }
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
  static async start ({ hosts, engines, services, hasAccounts, random, without, logs, receiveEnd }: SoakSystemOptions): Promise<SoakSystem> {
    const endpointLinks = new Map<string, LoopbackProxy>()
    const fleet = await startFleet({
      engines,
      services,
      adapterSlots,
      accounts: hasAccounts ? soakAccounts : undefined,
      random,
      createDraws: () => random,
      openRoute: async (id, address) => {
        const link = await LoopbackProxy.start(address)
        endpointLinks.set(id, link)
        return link.address
      }
    })
    const storeLinks = await Promise.all(Array.from({ length: hosts }, async () => await LoopbackProxy.start(fleet.store.address)))
    const system = new SoakSystem(fleet, storeLinks, endpointLinks)
    storeLinks.forEach((link, index) => {
      system.hosts.push(new HostProcess({ settings: createHostSettings({ index: index + 1, network, basePort, storeAddress: link.address }, soakBounds), metricsPort: findMetricsPort(basePort), without, logs, receiveEnd }))
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
    const probed = Array.from({ length: this.#probeRoutes }, (_, index) => ({ ...plain, name: `probe-${index + 1}`, prefix: formatProbePath(index + 1), isPublic: true }))
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
