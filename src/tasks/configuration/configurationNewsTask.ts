/** Tells peers which configuration version is in force here, and keeps what they tell. */
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { ConfigurationChange } from '../../schemas/configuration.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { ConfigurationNews } from '../../schemas/peerMessage.js'

export const defaultNewsIntervalMs = 1000
/** News older than this says nothing about a peer any longer. */
const maxNewsAgeMs = 4000
/** Changes kept for peers; older ones are read from the table. */
const maxKeptChanges = 200
/** Largest changes that travel in one message; a peer reads larger ones from the table. */
const maxNewsBytes = 8 * 1024 * 1024

export interface ConfigurationPeers {
  /** Hosts to which a link is open. */
  listHosts: () => string[]
  send: (hostId: string, news: ConfigurationNews) => void
}

export interface ConfigurationNewsTaskOptions {
  clock: Clock
  readVersion: () => number
  /** Time between two announcements of a version that has not changed. */
  newsIntervalMs?: number
}

interface KeptChange {
  change: ConfigurationChange
  bytes: number
}

interface ToldVersion {
  version: number
  atMs: number
}

interface Confirmation {
  version: number
  resolve: () => void
}

export class ConfigurationNewsTask {
  #options: ConfigurationNewsTaskOptions
  #peers: ConfigurationPeers | undefined
  #kept: KeptChange[] = []
  #told = new Map<string, ToldVersion>()
  /** Schedulers on the list; undefined until it was read. */
  #schedulers: Set<string> | undefined
  #confirmations = new Set<Confirmation>()
  #repetition: Repetition | undefined

  constructor (options: ConfigurationNewsTaskOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, newsIntervalMs = defaultNewsIntervalMs } = this.#options
    this.#repetition = repeatTask(clock, newsIntervalMs, async () => this.announceVersion(), () => {})
  }

  stop (): void {
    this.#repetition?.stop()
  }

  /** Sets the links over which news travel. */
  setPeers (peers: ConfigurationPeers): void {
    this.#peers = peers
  }

  /** Takes the list of hosts, which says of how many schedulers most have to be reached. */
  receiveList (entries: HostListEntry[]): void {
    this.#schedulers = new Set(entries.filter(entry => entry.kind === 'scheduler').map(entry => entry.id))
    this.#checkConfirmations()
  }

  /** Records what a peer tells of itself; its changes are for the caller to apply. */
  receiveNews (hostId: string, news: ConfigurationNews): void {
    this.#told.set(hostId, { version: news.version, atMs: this.#options.clock.readMonotonic() })
    if (news.version < this.#options.readVersion()) this.#sendNews(hostId)
    this.#checkConfirmations()
  }

  /** Keeps a change that came into force here for peers that lack it. */
  recordChange (change: ConfigurationChange): void {
    if (this.#kept.at(-1)?.change.version !== change.version - 1) this.#kept = []
    this.#kept.push({ change, bytes: Buffer.byteLength(JSON.stringify(change)) })
    if (this.#kept.length > maxKeptChanges) this.#kept.shift()
  }

  /** Tells every peer. */
  announceVersion (): void {
    for (const hostId of this.#peers?.listHosts() ?? []) this.#sendNews(hostId)
  }

  /** Whether more than half of the schedulers told a version of at least the given one lately. */
  isHeardByMost (version: number): boolean {
    const { schedulers, heard } = this.countHeard(version)
    return heard * 2 > schedulers
  }

  /** Counts the schedulers on the list, and those that told a version of at least the given one lately. */
  countHeard (version: number): { schedulers: number, heard: number } {
    const sinceMs = this.#options.clock.readMonotonic() - maxNewsAgeMs
    const schedulers = [...this.#schedulers ?? []]
    const heard = schedulers.filter(hostId => {
      const told = this.#told.get(hostId)
      return told !== undefined && told.atMs >= sinceMs && told.version >= version
    })
    return { schedulers: schedulers.length, heard: heard.length }
  }

  /** Whether most schedulers were heard lately, and none of the peers told of a version that is missing here. */
  isUpToDateWithMost (): boolean {
    const version = this.#options.readVersion()
    return this.isHeardByMost(0) && [...this.#told.values()].every(told => told.version <= version)
  }

  /** The link to a peer has closed. */
  receiveClosed (hostId: string): void {
    this.#told.delete(hostId)
  }

  /** Waits until more than half of the schedulers have a version in force; false where the time ran out. */
  async waitForMost (version: number, timeoutMs: number): Promise<boolean> {
    if (this.#isAlone() || this.isHeardByMost(version)) return true
    return await new Promise<boolean>(resolve => {
      const finish = (isConfirmed: boolean): void => {
        timer.cancel()
        this.#confirmations.delete(confirmation)
        resolve(isConfirmed)
      }
      const timer = this.#options.clock.setTimer(() => finish(false), timeoutMs)
      const confirmation: Confirmation = { version, resolve: () => finish(true) }
      this.#confirmations.add(confirmation)
    })
  }

  #checkConfirmations (): void {
    for (const confirmation of [...this.#confirmations]) {
      if (this.#isAlone() || this.isHeardByMost(confirmation.version)) confirmation.resolve()
    }
  }

  /** Without links, or schedulers on the list, the table is the only way to any host. */
  #isAlone (): boolean {
    return !this.#peers || this.#schedulers?.size === 0
  }

  #sendNews (hostId: string): void {
    const version = this.#options.readVersion()
    this.#peers?.send(hostId, { type: 'configurationNews', version, changes: this.#listMissing(hostId) })
  }

  /** Changes that the peer lacks; none where it has told nothing yet or lacks too much. */
  #listMissing (hostId: string): ConfigurationChange[] {
    const told = this.#told.get(hostId)
    if (!told) return []
    const missing = this.#kept.filter(({ change }) => change.version > told.version)
    const bytes = missing.reduce((sum, { bytes }) => sum + bytes, 0)
    const isComplete = missing[0]?.change.version === told.version + 1
    return isComplete && bytes <= maxNewsBytes ? missing.map(({ change }) => change) : []
  }
}
