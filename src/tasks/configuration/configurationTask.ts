/** Keeps the configuration of one host in step with the table and with its peers, and makes operators' changes. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { Table } from '../../ports/table.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { ConfigurationChange, ConfigurationKind, ConfigurationView, RecordName, VersionedRecord } from '../../schemas/configuration.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { ConfigurationNews } from '../../schemas/peerMessage.js'
import { TableWriter } from '../table/tableWriter.js'
import { findConflicts, findProblems } from './checkChange.js'
import type { ChangeProgress, ChangeRequest, ChangeResult, ConfigurationOperations, RecordVersion } from './configurationChange.js'
import { ConfigurationNewsTask } from './configurationNewsTask.js'
import type { ConfigurationPeers } from './configurationNewsTask.js'
import { ConfigurationStore } from './configurationStore.js'
import type { ConfigurationHead } from './configurationStore.js'
import { MemoryConfiguration } from './memoryConfiguration.js'

const log = createLog('configuration')
const readIntervalMs = 1000
/** Without the table, and without most schedulers, for this time a host takes no new work of callers. */
export const maxUnconfirmedMs = 4000
const confirmTimeoutMs = 5000
const maxChangeTries = 10
const retryAfterUnavailableMs = 2000
/** A snapshot is written once this many changes came after the last one. */
const changesPerSnapshot = 200

export interface ConfigurationTaskOptions {
  hostId: string
  clock: Clock
  table: Table
  recordDecision?: RecordDecision
  /** Time between two announcements to peers of a version that has not changed. */
  newsIntervalMs?: number
  /** Whether a change may be applied upon a version; see `isNextVersion`. */
  isNext?: (version: number, next: number) => boolean
  /** Whether accepted changes are certainly in force, from the time since the table confirmed it and what peers tell. */
  isCurrent?: (confirmedAgeMs: number, isUpToDateWithMost: boolean) => boolean
}

/** A host is current while the table, or most schedulers, told it lately that it has every accepted change. */
export function isCurrentByTableOrPeers (confirmedAgeMs: number, isUpToDateWithMost: boolean): boolean {
  return confirmedAgeMs <= maxUnconfirmedMs || isUpToDateWithMost
}

/** What a dump tells of the configuration. */
export interface ConfigurationState {
  version: number
  /** Whether accepted changes are certainly in force here. */
  isCurrent: boolean
  /** Number of records of each kind. */
  records: Record<string, number>
}

export class ConfigurationTask implements ConfigurationOperations {
  #options: ConfigurationTaskOptions
  #store: ConfigurationStore
  #configuration: MemoryConfiguration
  #news: ConfigurationNewsTask
  #confirmedAtMs: number | undefined
  #repetition: Repetition | undefined
  #running: Promise<unknown> = Promise.resolve()
  #progress: Pick<ChangeProgress, 'step' | 'records' | 'writtenRecords'> & { version?: number } | undefined

  constructor (options: ConfigurationTaskOptions) {
    this.#options = options
    const { clock, table, newsIntervalMs } = options
    this.#store = new ConfigurationStore(table, new TableWriter({ table, clock }))
    this.#configuration = new MemoryConfiguration({ isCurrent: () => this.#isCurrent(), ...(options.isNext && { isNext: options.isNext }) })
    this.#news = new ConfigurationNewsTask({ clock, readVersion: () => this.#configuration.version, ...(newsIntervalMs && { newsIntervalMs }) })
  }

  /** What is in force on this host. */
  get view (): ConfigurationView {
    return this.#configuration
  }

  /** Reads the configuration; resolves once it is read, however long the table is down. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#repetition = repeatTask(this.#options.clock, readIntervalMs, async () => {
        await this.#readTable()
        resolve()
      }, error => log('The configuration was not read: %s.', error.message))
    })
    this.#news.start()
  }

  stop (): void {
    this.#repetition?.stop()
    this.#news.stop()
  }

  /** Describes what is in force, without the records themselves. */
  describeState (): ConfigurationState {
    const records: Record<string, number> = {}
    for (const { record: { kind } } of this.#configuration.listAll()) records[kind] = (records[kind] ?? 0) + 1
    return { version: this.#configuration.version, isCurrent: this.#isCurrent(), records }
  }

  setPeers (peers: ConfigurationPeers): void {
    this.#news.setPeers(peers)
  }

  receiveList (entries: HostListEntry[]): void {
    this.#news.receiveList(entries)
  }

  receiveClosed (hostId: string): void {
    this.#news.receiveClosed(hostId)
  }

  /** Applies what a peer tells; a gap is closed from the table. */
  receiveNews (hostId: string, news: ConfigurationNews): void {
    const before = this.#configuration.version
    for (const change of news.changes) this.#applyChange(change)
    this.#news.receiveNews(hostId, news)
    if (this.#configuration.version > before) this.#news.announceVersion()
    if (news.version > this.#configuration.version) {
      this.#readTable().catch((error: Error) => log('The configuration was not read: %s.', error.message))
    }
  }

  findRecord (name: RecordName): VersionedRecord | undefined {
    return this.#configuration.findRecord(name)
  }

  listVersioned (kind: ConfigurationKind, after: string, limit: number): VersionedRecord[] {
    return this.#configuration.listVersioned(kind, after, limit)
  }

  /** Changes records, all or none; changes of one host run one after another. */
  async changeRecords (request: ChangeRequest): Promise<ChangeResult> {
    // What the operator does not name is expected as it is on this host now, so that no racing change is lost silently.
    const named = new Set(request.ifVersions.map(formatName))
    const expected = [...request.ifVersions]
    for (const name of [...request.puts, ...request.removes]) {
      if (!named.has(formatName(name))) expected.push(this.#readVersion(name))
    }
    const result = this.#running.then(async () => await this.#tryChange(request, expected))
    this.#running = result.catch(() => {}).finally(() => { this.#progress = undefined })
    return await result
  }

  describeChange (): ChangeProgress | undefined {
    if (!this.#progress) return undefined
    const { version = Infinity, ...progress } = this.#progress
    const { schedulers, heard } = this.#news.countHeard(version)
    return { ...progress, schedulers, confirmedSchedulers: heard }
  }

  async #tryChange (request: ChangeRequest, expected: RecordVersion[]): Promise<ChangeResult> {
    const records = request.puts.length + request.removes.length
    for (let tries = 0; tries < maxChangeTries; tries++) {
      this.#progress = { step: 'reading', records, writtenRecords: 0 }
      const head = await this.#readTable().catch(() => undefined)
      if (!head) return createUnavailable()
      const conflicts = findConflicts(this.#configuration, expected)
      if (conflicts.length > 0) return { type: 'conflict', version: this.#configuration.version, conflicts }
      const problems = findProblems(this.#configuration, request)
      if (problems.length > 0) return { type: 'refused', problems }
      // A newer head than what is in force here means that the read was overtaken.
      if (head.version !== this.#configuration.version) continue
      const change = { version: head.version + 1, puts: request.puts, removes: request.removes }
      const result = await this.#store.writeChange(head, change, writtenRecords => {
        this.#progress = { step: 'writing', records, writtenRecords }
      })
      if (result.verdict === 'applied') return await this.#finishChange(head, change)
      if (result.verdict === 'unknown') return { type: 'unknown', message: 'the table\'s answer was lost; the change may have been made' }
      if (result.cause === 'unavailable') return createUnavailable()
    }
    return createUnavailable()
  }

  async #finishChange (head: ConfigurationHead, change: ConfigurationChange): Promise<ChangeResult> {
    this.#applyChange(structuredClone(change))
    this.#news.announceVersion()
    if (change.version - (head.snapshot?.version ?? 0) >= changesPerSnapshot) this.#startSnapshot()
    const { version } = change
    const records = change.puts.length + change.removes.length
    this.#progress = { step: 'confirming', records, writtenRecords: records, version }
    if (await this.#news.waitForMost(version, confirmTimeoutMs)) return { type: 'accepted', version }
    return { type: 'unconfirmed', version, message: `version ${version} is written, but too few schedulers have confirmed it` }
  }

  #startSnapshot (): void {
    const write = async (): Promise<void> => {
      const head = await this.#readTable()
      const isWritten = head.version === this.#configuration.version &&
        await this.#store.writeSnapshot(head, this.#configuration.listAll())
      if (isWritten) log('A snapshot of configuration version %d is written.', head.version)
    }
    write().catch((error: Error) => log('No snapshot of the configuration was written: %s.', error.message))
  }

  /** Brings this host to the table's version; returns the head as read. */
  async #readTable (): Promise<ConfigurationHead> {
    const startedMs = this.#options.clock.readMonotonic()
    const before = this.#configuration.version
    const head = await this.#store.readHead()
    if (head.version > this.#configuration.version) await this.#readChanges(head.version)
    if (this.#configuration.version >= head.version) this.#confirmedAtMs = startedMs
    if (this.#configuration.version > before) this.#news.announceVersion()
    return head
  }

  async #readChanges (wanted: number): Promise<void> {
    const changes = await this.#store.readChanges(this.#configuration.version)
    for (const change of changes) this.#applyChange(change)
    if (this.#configuration.version >= wanted) return
    const snapshot = await this.#store.readSnapshot()
    if (snapshot && this.#configuration.applySnapshot(snapshot.version, snapshot.records)) {
      this.#recordVersion(`${snapshot.records.length} records of a snapshot`)
      log('Configuration version %d is in force, from a snapshot of %d records.', snapshot.version, snapshot.records.length)
    }
    for (const change of await this.#store.readChanges(this.#configuration.version)) this.#applyChange(change)
  }

  #applyChange (change: ConfigurationChange): void {
    if (!this.#configuration.applyChange(change)) return
    this.#news.recordChange(change)
    this.#recordVersion(`${change.puts.length} records put, ${change.removes.length} removed`)
    log('Configuration version %d is in force: %d records put, %d removed.', change.version, change.puts.length, change.removes.length)
  }

  #recordVersion (reason: string): void {
    const chosen = `version ${this.#configuration.version}`
    this.#options.recordDecision?.({ kind: 'configuration', considered: [], chosen, reason, waits: [] })
  }

  #readVersion (name: RecordName): RecordVersion {
    return { kind: name.kind, name: name.name, version: this.#configuration.findRecord(name)?.version ?? 0 }
  }

  #isCurrent (): boolean {
    if (this.#confirmedAtMs === undefined) return false
    const { clock, isCurrent = isCurrentByTableOrPeers } = this.#options
    return isCurrent(clock.readMonotonic() - this.#confirmedAtMs, this.#news.isUpToDateWithMost())
  }
}

function formatName ({ kind, name }: RecordName): string {
  return `${kind}/${name}`
}

function createUnavailable (): ChangeResult {
  return { type: 'unavailable', message: 'the table gives no answer; nothing was changed', retryAfterMs: retryAfterUnavailableMs }
}
