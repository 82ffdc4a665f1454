/** The configuration tasks of several hosts on a virtual clock, with links that can be cut. */
import { createPlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { PlatformFaults } from '../../src/adapters/memoryPlatform/platformFaults.js'
import type { HostListEntry } from '../../src/schemas/hostList.js'
import type { ConfigurationUpdate } from '../../src/schemas/peerMessage.js'
import { ConfigurationTask } from '../../src/tasks/configuration/configurationTask.js'
import type { ConfigurationTaskOptions } from '../../src/tasks/configuration/configurationTask.js'
import { createVirtualPlatform } from './virtualPlatform.js'

const linkDelayMs = 2

export interface ConfigurationHost {
  hostId: string
  task: ConfigurationTask
  faults: PlatformFaults
  /** Resolves once the host has read the configuration. */
  started: Promise<void>
}

export class ConfigurationHosts {
  readonly platform = createVirtualPlatform()
  readonly hosts = new Map<string, ConfigurationHost>()
  readonly sent: Array<{ from: string, to: string, update: ConfigurationUpdate }> = []
  #cut = new Set<string>()
  #rules: Partial<ConfigurationTaskOptions>

  /** `rules` replace those of the product, to show what depends on them. */
  constructor (rules: Partial<ConfigurationTaskOptions> = {}) {
    this.#rules = rules
  }

  /** Starts a host, or starts it again with an empty memory. */
  startHost (hostId: string, knowsList = true): ConfigurationHost {
    this.hosts.get(hostId)?.task.stop()
    const { clock, connect } = this.platform
    const faults = createPlatformFaults()
    const task = new ConfigurationTask({ hostId, clock, table: connect(faults).table, ...this.#rules })
    task.setPeers({ listHosts: () => this.#listLinked(hostId), send: (to, update) => this.#send(hostId, to, update) })
    const host = { hostId, task, faults, started: task.start() }
    this.hosts.set(hostId, host)
    for (const other of this.hosts.keys()) {
      if (knowsList || other !== hostId) this.sendHostList(other)
    }
    return host
  }

  /** Sends a host the list of hosts. */
  sendHostList (hostId: string): void {
    this.hosts.get(hostId)?.task.receiveList(this.#listEntries())
  }

  /** Disconnects or restores every link of a host. */
  setCut (hostId: string, isCut: boolean): void {
    if (isCut) this.#cut.add(hostId)
    else this.#cut.delete(hostId)
  }

  /** Delivers a message again, after any delay. */
  deliverUpdate (to: string, from: string, update: ConfigurationUpdate): void {
    this.hosts.get(to)?.task.receiveUpdate(from, update)
  }

  #listEntries (): HostListEntry[] {
    return [...this.hosts.keys()].map(id => ({
      kind: id.startsWith('scheduler') ? 'scheduler' : 'gateway', id, zone: 'az-1', address: '10.0.0.1:1', presence: 'live'
    }))
  }

  /** Links exist between gateways and schedulers. */
  #listLinked (hostId: string): string[] {
    const role = hostId.split('-')[0]!
    return [...this.hosts.keys()].filter(other => !other.startsWith(role) && !this.#cut.has(other) && !this.#cut.has(hostId))
  }

  #send (from: string, to: string, update: ConfigurationUpdate): void {
    const copy = structuredClone(update)
    this.sent.push({ from, to, update: copy })
    this.platform.clock.setTimer(() => {
      if (this.#listLinked(from).includes(to)) this.deliverUpdate(to, from, copy)
    }, linkDelayMs)
  }
}
