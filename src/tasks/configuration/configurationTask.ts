/** Keeps the configuration of one host synchronized with the table and with its peers, and applies operators' changes. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { Table } from '../../ports/table.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'
import type { ConfigurationChange, ConfigurationKind, ConfigurationView, RecordName, VersionedRecord } from '../../schemas/configuration.js'
import type { RecordDecision } from '../../schemas/decision.js'
import type { HostListEntry } from '../../schemas/hostList.js'
import type { ConfigurationUpdate } from '../../schemas/peerMessage.js'
import { TableWriter } from '../table/tableWriter.js'
import { findConflicts, findProblems } from './checkChange.js'
import type { ChangeProgress, ChangeRequest, ChangeResult, ConfigurationOperations, RecordVersion } from './configurationChange.js'
import { ConfigurationUpdateTask } from './configurationUpdateTask.js'
import type { ConfigurationPeers } from './configurationUpdateTask.js'
import { ConfigurationStore } from './configurationStore.js'
import type { ConfigurationHead } from './configurationStore.js'
import { MemoryConfiguration } from './memoryConfiguration.js'

const log = createLog('configuration')
const readIntervalMs = 1000
/** A host that has reached neither the table nor most schedulers for this long accepts no new requests of callers. */
export const maxUnconfirmedMs = 4000
const confirmTimeoutMs = 5000
const maxChangeAttempts = 10
const unavailableRetryAfterMs = 2000
/** A snapshot is written once there are this many changes after the last one. */
const changesPerSnapshot = 200

export interface ConfigurationTaskOptions {
  hostId: string
  clock: Clock
  table: Table
  recordDecision?: RecordDecision
  /** Time between two announcements to peers of a version that has not changed. */
  announceIntervalMs?: number
  /** Whether a change that leads to version `next` may be applied to `version`; see `isNextVersion`. */
  isNext?: (version: number, next: number) => boolean
  /** Whether every accepted change is certainly in force, by the time since the table confirmed it and by the peers. */
  isCurrent?: (confirmedAgeMs: number, isUpToDateWithMajority: boolean) => boolean
}

/** Whether the table, or a majority of schedulers, has recently confirmed that this host has every accepted change. */
export function isCurrentByTableOrPeers (confirmedAgeMs: number, isUpToDateWithMajority: boolean): boolean {
  return confirmedAgeMs <= maxUnconfirmedMs || isUpToDateWithMajority
}

/** State of the configuration in a dump. */
export interface ConfigurationState {
  version: number
  /** Whether every accepted change is certainly in force on this host. */
  isCurrent: boolean
  /** Number of records of each kind. */
  records: Record<string, number>
}

export class ConfigurationTask implements ConfigurationOperations {
  #options: ConfigurationTaskOptions
  #store: ConfigurationStore
  #configuration: MemoryConfiguration
  #updates: ConfigurationUpdateTask
  #confirmedAtMs: number | undefined
  #repetition: Repetition | undefined
  #lastChange: Promise<unknown> = Promise.resolve()
  #progress: Pick<ChangeProgress, 'step' | 'records' | 'writtenRecords'> & { version?: number } | undefined

  constructor (options: ConfigurationTaskOptions) {
    this.#options = options
    const { clock, table, announceIntervalMs: intervalMs } = options
    this.#store = new ConfigurationStore(table, new TableWriter({ table, clock }))
    this.#configuration = new MemoryConfiguration({ isCurrent: () => this.#isCurrent(), ...(options.isNext && { isNext: options.isNext }) })
    this.#updates = new ConfigurationUpdateTask({
      clock, getVersion: () => this.#configuration.version, ...(intervalMs && { announceIntervalMs: intervalMs })
    })
  }

  /** The configuration in force on this host. */
  get view (): ConfigurationView {
    return this.#configuration
  }

  /** Starts reading the configuration regularly; resolves after the first successful read, however long that takes. */
  async start (): Promise<void> {
    await new Promise<void>(resolve => {
      this.#repetition = repeatTask(this.#options.clock, readIntervalMs, async () => {
        await this.#readTable()
        resolve()
      }, error => log('Could not read the configuration: %s.', error.message))
    })
    this.#updates.start()
  }

  stop (): void {
    this.#repetition?.stop()
    this.#updates.stop()
  }

  /** Describes the configuration in force, without the records themselves. */
  describeState (): ConfigurationState {
    const records: Record<string, number> = {}
    for (const { record: { kind } } of this.#configuration.listAll()) records[kind] = (records[kind] ?? 0) + 1
    return { version: this.#configuration.version, isCurrent: this.#isCurrent(), records }
  }

  setPeers (peers: ConfigurationPeers): void {
    this.#updates.setPeers(peers)
  }

  receiveList (entries: HostListEntry[]): void {
    this.#updates.receiveList(entries)
  }

  receiveLinkClosed (hostId: string): void {
    this.#updates.receiveLinkClosed(hostId)
  }

  /** Applies the changes that a peer sends; changes that are still missing are read from the table. */
  receiveUpdate (hostId: string, update: ConfigurationUpdate): void {
    const previousVersion = this.#configuration.version
    for (const change of update.changes) this.#applyChange(change)
    this.#updates.receiveUpdate(hostId, update)
    if (this.#configuration.version > previousVersion) this.#updates.announceVersion()
    if (update.version > this.#configuration.version) {
      this.#readTable().catch((error: Error) => log('Could not read the configuration: %s.', error.message))
    }
  }

  findRecord (name: RecordName): VersionedRecord | undefined {
    return this.#configuration.findRecord(name)
  }

  listVersioned (kind: ConfigurationKind, after: string, limit: number): VersionedRecord[] {
    return this.#configuration.listVersioned(kind, after, limit)
  }

  /** Changes all of the records or none. Changes made on one host run one after another. */
  async changeRecords (request: ChangeRequest): Promise<ChangeResult> {
    // A record without a version from the operator is expected at its present version on this host, so that a concurrent
    // change is not silently overwritten.
    const namedRecords = new Set(request.ifVersions.map(formatRecordName))
    const expected = [...request.ifVersions]
    for (const name of [...request.puts, ...request.removes]) {
      if (!namedRecords.has(formatRecordName(name))) expected.push(this.#getRecordVersion(name))
    }
    const result = this.#lastChange.then(async () => await this.#tryChange(request, expected))
    this.#lastChange = result.catch(() => {}).finally(() => { this.#progress = undefined })
    return await result
  }

  describeChange (): ChangeProgress | undefined {
    if (!this.#progress) return undefined
    const { version = Infinity, ...progress } = this.#progress
    const { schedulers, confirming } = this.#updates.countConfirmingSchedulers(version)
    return { ...progress, schedulers, confirmedSchedulers: confirming }
  }

  async #tryChange (request: ChangeRequest, expected: RecordVersion[]): Promise<ChangeResult> {
    const records = request.puts.length + request.removes.length
    for (let attempt = 0; attempt < maxChangeAttempts; attempt++) {
      this.#progress = { step: 'reading', records, writtenRecords: 0 }
      const head = await this.#readTable().catch(() => undefined)
      if (!head) return createUnavailableResult()
      const conflicts = findConflicts(this.#configuration, expected)
      if (conflicts.length > 0) return { type: 'conflict', version: this.#configuration.version, conflicts }
      const problems = findProblems(this.#configuration, request)
      if (problems.length > 0) return { type: 'refused', problems }
      // The head and the version in force differ if another change was written or applied during the read; try again.
      if (head.version !== this.#configuration.version) continue
      const change = { version: head.version + 1, puts: request.puts, removes: request.removes }
      const result = await this.#store.writeChange(head, change, writtenRecords => {
        this.#progress = { step: 'writing', records, writtenRecords }
      })
      if (result.verdict === 'applied') return await this.#finishChange(head, change)
      if (result.verdict === 'unknown') return { type: 'unknown', message: 'the table\'s response was lost; the change may have been made' }
      if (result.cause === 'unavailable') return createUnavailableResult()
    }
    return createUnavailableResult()
  }

  async #finishChange (head: ConfigurationHead, change: ConfigurationChange): Promise<ChangeResult> {
    this.#applyChange(structuredClone(change))
    this.#updates.announceVersion()
    if (change.version - (head.snapshot?.version ?? 0) >= changesPerSnapshot) this.#startSnapshot()
    const { version } = change
    const records = change.puts.length + change.removes.length
    this.#progress = { step: 'confirming', records, writtenRecords: records, version }
    if (await this.#updates.waitForMajority(version, confirmTimeoutMs)) return { type: 'accepted', version }
    return { type: 'unconfirmed', version, message: `version ${version} is written, but too few schedulers have confirmed it` }
  }

  #startSnapshot (): void {
    const write = async (): Promise<void> => {
      const head = await this.#readTable()
      const isWritten = head.version === this.#configuration.version &&
        await this.#store.writeSnapshot(head, this.#configuration.listAll())
      if (isWritten) log('Wrote a snapshot of configuration version %d.', head.version)
    }
    write().catch((error: Error) => log('Could not write a snapshot of the configuration: %s.', error.message))
  }

  /** Updates this host to the table's version; returns the head row that was read. */
  async #readTable (): Promise<ConfigurationHead> {
    const startedMs = this.#options.clock.readMonotonic()
    const previousVersion = this.#configuration.version
    const head = await this.#store.readHead()
    if (head.version > this.#configuration.version) await this.#readChanges(head.version)
    if (this.#configuration.version >= head.version) this.#confirmedAtMs = startedMs
    if (this.#configuration.version > previousVersion) this.#updates.announceVersion()
    return head
  }

  async #readChanges (targetVersion: number): Promise<void> {
    const changes = await this.#store.readChanges(this.#configuration.version)
    for (const change of changes) this.#applyChange(change)
    if (this.#configuration.version >= targetVersion) return
    const snapshot = await this.#store.readSnapshot()
    if (snapshot && this.#configuration.applySnapshot(snapshot.version, snapshot.records)) {
      this.#recordVersionDecision(`${snapshot.records.length} records of a snapshot`)
      log('Configuration version %d is in force, from a snapshot of %d records.', snapshot.version, snapshot.records.length)
    }
    for (const change of await this.#store.readChanges(this.#configuration.version)) this.#applyChange(change)
  }

  #applyChange (change: ConfigurationChange): void {
    if (!this.#configuration.applyChange(change)) return
    this.#updates.recordChange(change)
    this.#recordVersionDecision(`${change.puts.length} records put, ${change.removes.length} removed`)
    log('Configuration version %d is in force: %d records put, %d removed.', change.version, change.puts.length, change.removes.length)
  }

  #recordVersionDecision (reason: string): void {
    const chosen = `version ${this.#configuration.version}`
    this.#options.recordDecision?.({ kind: 'configuration', considered: [], chosen, reason, waits: [] })
  }

  #getRecordVersion (name: RecordName): RecordVersion {
    return { kind: name.kind, name: name.name, version: this.#configuration.findRecord(name)?.version ?? 0 }
  }

  #isCurrent (): boolean {
    if (this.#confirmedAtMs === undefined) return false
    const { clock, isCurrent = isCurrentByTableOrPeers } = this.#options
    return isCurrent(clock.readMonotonic() - this.#confirmedAtMs, this.#updates.isUpToDateWithMajority())
  }
}

function formatRecordName ({ kind, name }: RecordName): string {
  return `${kind}/${name}`
}

function createUnavailableResult (): ChangeResult {
  return { type: 'unavailable', message: 'the table did not respond; nothing was changed', retryAfterMs: unavailableRetryAfterMs }
}
