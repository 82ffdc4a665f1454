/** Announces to peers which configuration version is in force on this host, and records the versions that they announce. */
import type { Clock } from '../../ports/clock.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { ConfigurationChange } from '../../schemas/configuration.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { ConfigurationUpdate } from '../../schemas/peerMessage.js'

export const defaultAnnounceIntervalMs = 1000
/** Announcements older than this no longer count as confirmation by a peer. */
const maxAnnouncementAgeMs = 4000
/** Number of recent changes kept for peers; a peer reads older ones from the table. */
const maxRecentChanges = 200
/** Maximum total size of the changes in one message; a peer reads larger ones from the table. */
const maxUpdateBytes = 8 * 1024 * 1024

export interface ConfigurationPeers {
  /** Lists the hosts with an open link. */
  listHosts: () => string[]
  send: (hostId: string, update: ConfigurationUpdate) => void
}

export interface ConfigurationUpdateTaskOptions {
  clock: Clock
  getVersion: () => number
  /** Time between two announcements of a version that has not changed. */
  announceIntervalMs?: number
}

interface RecentChange {
  change: ConfigurationChange
  bytes: number
}

interface AnnouncedVersion {
  version: number
  atMs: number
}

interface PendingConfirmation {
  version: number
  resolve: () => void
}

export class ConfigurationUpdateTask {
  #options: ConfigurationUpdateTaskOptions
  #peers: ConfigurationPeers | undefined
  #recentChanges: RecentChange[] = []
  #announcedVersions = new Map<string, AnnouncedVersion>()
  /** Schedulers in the host list; undefined until the list has been read. */
  #schedulers: Set<string> | undefined
  #pendingConfirmations = new Set<PendingConfirmation>()
  #repetition: Repetition | undefined

  constructor (options: ConfigurationUpdateTaskOptions) {
    this.#options = options
  }

  start (): void {
    const { clock, announceIntervalMs = defaultAnnounceIntervalMs } = this.#options
    this.#repetition = repeatTask(clock, announceIntervalMs, async () => this.announceVersion(), () => {})
  }

  stop (): void {
    this.#repetition?.stop()
  }

  /** Sets the links over which updates are sent. */
  setPeers (peers: ConfigurationPeers): void {
    this.#peers = peers
  }

  /** Receives the host list. Its schedulers are the set of which a majority must confirm a version. */
  receiveList (entries: HostListEntry[]): void {
    this.#schedulers = new Set(entries.filter(entry => entry.kind === 'scheduler').map(entry => entry.id))
    this.#resolveConfirmations()
  }

  /** Records the version that a peer announces. The calling code applies the changes of the update. */
  receiveUpdate (hostId: string, update: ConfigurationUpdate): void {
    this.#announcedVersions.set(hostId, { version: update.version, atMs: this.#options.clock.readMonotonic() })
    if (update.version < this.#options.getVersion()) this.#sendUpdate(hostId)
    this.#resolveConfirmations()
  }

  /** Keeps a change that is in force on this host, to send it to peers that do not have it. */
  recordChange (change: ConfigurationChange): void {
    if (this.#recentChanges.at(-1)?.change.version !== change.version - 1) this.#recentChanges = []
    this.#recentChanges.push({ change, bytes: Buffer.byteLength(JSON.stringify(change)) })
    if (this.#recentChanges.length > maxRecentChanges) this.#recentChanges.shift()
  }

  /** Sends the version in force to every peer, with the changes that the peer is missing. */
  announceVersion (): void {
    for (const hostId of this.#peers?.listHosts() ?? []) this.#sendUpdate(hostId)
  }

  /** Whether more than half of the schedulers recently announced the given version or a newer one. */
  isConfirmedByMajority (version: number): boolean {
    const { schedulers, confirming } = this.countConfirmingSchedulers(version)
    return confirming * 2 > schedulers
  }

  /** Counts the schedulers in the host list, and those that recently announced the given version or a newer one. */
  countConfirmingSchedulers (version: number): { schedulers: number, confirming: number } {
    const sinceMs = this.#options.clock.readMonotonic() - maxAnnouncementAgeMs
    const schedulers = [...this.#schedulers ?? []]
    const confirming = schedulers.filter(hostId => {
      const announced = this.#announcedVersions.get(hostId)
      return announced !== undefined && announced.atMs >= sinceMs && announced.version >= version
    })
    return { schedulers: schedulers.length, confirming: confirming.length }
  }

  /** Whether most schedulers recently announced a version, and no peer announced a newer one than this host has. */
  isUpToDateWithMajority (): boolean {
    const version = this.#options.getVersion()
    return this.isConfirmedByMajority(0) &&
      [...this.#announcedVersions.values()].every(announced => announced.version <= version)
  }

  /** Removes the version that a peer announced, as the link to it has closed. */
  receiveLinkClosed (hostId: string): void {
    this.#announcedVersions.delete(hostId)
  }

  /** Waits until more than half of the schedulers have a version in force; resolves to false after the timeout. */
  async waitForMajority (version: number, timeoutMs: number): Promise<boolean> {
    if (this.#hasNoPeers() || this.isConfirmedByMajority(version)) return true
    return await new Promise<boolean>(resolve => {
      const finish = (isConfirmed: boolean): void => {
        timer.cancel()
        this.#pendingConfirmations.delete(confirmation)
        resolve(isConfirmed)
      }
      const timer = this.#options.clock.setTimer(() => finish(false), timeoutMs)
      const confirmation: PendingConfirmation = { version, resolve: () => finish(true) }
      this.#pendingConfirmations.add(confirmation)
    })
  }

  #resolveConfirmations (): void {
    for (const confirmation of [...this.#pendingConfirmations]) {
      if (this.#hasNoPeers() || this.isConfirmedByMajority(confirmation.version)) confirmation.resolve()
    }
  }

  /** Without links, or without schedulers in the host list, other hosts can be reached only through the table. */
  #hasNoPeers (): boolean {
    return !this.#peers || this.#schedulers?.size === 0
  }

  #sendUpdate (hostId: string): void {
    const version = this.#options.getVersion()
    this.#peers?.send(hostId, { type: 'configurationNews', version, changes: this.#listMissingChanges(hostId) })
  }

  /**
   * Lists the changes that the peer is missing. Returns none if the peer has not announced a version yet, if older changes
   * than the recent ones are missing, or if they are too large for one message.
   */
  #listMissingChanges (hostId: string): ConfigurationChange[] {
    const announced = this.#announcedVersions.get(hostId)
    if (!announced) return []
    const missing = this.#recentChanges.filter(({ change }) => change.version > announced.version)
    const bytes = missing.reduce((sum, { bytes }) => sum + bytes, 0)
    const isComplete = missing[0]?.change.version === announced.version + 1
    return isComplete && bytes <= maxUpdateBytes ? missing.map(({ change }) => change) : []
  }
}
