/** Ownership by rendezvous hashing over the list alone, without leases; for the quick start of a single scheduler. */
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { EngineEntry, HostListEntry } from '../../schemas/hostList.js'
import { formatHandle } from '../../core/formatAdapter.js'
import { createLog } from '../../createLog.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { OwnedEndpoint, Ownership, SendOwnershipEvent } from './ownership.js'

const log = createLog('ownership')
const listIntervalMs = 500

export interface RendezvousOwnershipOptions {
  clock: Clock
  hostList: HostList
  hostId: string
  hashText: (text: string) => number
  send: SendOwnershipEvent
}

interface Owned {
  entry: EngineEntry
  fencing: number
  sequence: number
}

export class RendezvousOwnership implements Ownership {
  #options: RendezvousOwnershipOptions
  #owned = new Map<string, Owned>()
  #repetition: Repetition | undefined

  constructor (options: RendezvousOwnershipOptions) {
    this.#options = options
  }

  start (): void {
    this.#repetition = repeatTask(this.#options.clock, listIntervalMs, async () => await this.#readList(),
      error => log('The list of hosts was not read: %s.', error.message))
  }

  async stop (): Promise<void> {
    this.#repetition?.stop()
    for (const endpointId of [...this.#owned.keys()]) this.#lose(endpointId, 'the host stops')
  }

  listOwned (): OwnedEndpoint[] {
    return [...this.#owned].map(([endpointId, owned]) => ({ endpointId, fencing: owned.fencing }))
  }

  isOwner (endpointId: string): boolean {
    return this.#owned.has(endpointId)
  }

  createHandle (endpointId: string, adapter: string, version: string): string | undefined {
    const owned = this.#owned.get(endpointId)
    if (!owned) return undefined
    owned.sequence++
    return formatHandle(adapter, version, owned.fencing, owned.sequence)
  }

  async writeUnloadIntent (endpointId: string): Promise<boolean> {
    return this.#owned.has(endpointId)
  }

  async #readList (): Promise<void> {
    const entries = await this.#options.hostList.listEntries()
    const schedulers = entries.filter(entry => entry.kind === 'scheduler' && entry.presence === 'live').map(entry => entry.id)
    const engines = entries.filter(entry => entry.kind === 'engine')
    const mine = engines.filter(engine => this.#chooseOwner(engine.id, schedulers) === this.#options.hostId)
    for (const entry of mine) this.#keep(entry)
    for (const endpointId of [...this.#owned.keys()]) {
      if (!mine.some(entry => entry.id === endpointId)) this.#lose(endpointId, 'another host is nearer')
    }
  }

  #chooseOwner (endpointId: string, schedulers: string[]): string | undefined {
    const rate = (hostId: string): number => this.#options.hashText(`${endpointId}/${hostId}`)
    return [...schedulers].sort((left, right) => rate(right) - rate(left))[0]
  }

  #keep (entry: HostListEntry & { kind: 'engine' }): void {
    const owned = this.#owned.get(entry.id)
    if (!owned) {
      const fencing = Math.floor(this.#options.clock.readWall())
      this.#owned.set(entry.id, { entry, fencing, sequence: 0 })
      this.#options.send({ type: 'gained', entry, fencing, unsafeHandles: [] })
    } else if (owned.entry.presence !== entry.presence || owned.entry.address !== entry.address) {
      owned.entry = entry
      this.#options.send({ type: 'changed', entry })
    }
  }

  #lose (endpointId: string, reason: string): void {
    this.#owned.delete(endpointId)
    this.#options.send({ type: 'lost', endpointId, reason })
  }
}
