/** The row that a scheduler renews for all its leases, and how long it may serve after its last confirmed renewal. */
import { Value } from '@sinclair/typebox/value'
import { createLog } from '../../createLog.js'
import { maxServingMs, maxOutageServingMs, outageReportTtlMs, outageThresholdMs } from '../../core/ownershipTimeouts.js'
import type { OwnershipPolicy } from '../../core/ownershipPolicy.js'
import type { Clock } from '../../ports/clock.js'
import type { TableRow } from '../../ports/table.js'
import { formatSchedulerKey, schedulerRowSchema } from '../../schemas/ownershipRows.js'
import type { HeldLease, Holder, SchedulerRow, Predecessor } from '../../schemas/ownershipRows.js'
import type { TableWrite, TableWriter, WriteResult } from '../table/tableWriter.js'
import { SingleWriterRow } from './singleWriterRow.js'

export interface HostLeaseOptions {
  clock: Clock
  writer: TableWriter
  holder: Holder
  zone: string
  /** Hosts that recently reported that the table does not respond to them. */
  listOutageReports: () => string[]
  policy: OwnershipPolicy
}

export interface HostLeaseContent {
  isLeaving: boolean
  /** Ids of the live schedulers. */
  witnesses: string[]
  held: HeldLease[]
}

const log = createLog('ownership')
/** Most earlier processes of this host that the row keeps. */
const maxPredecessors = 4

/** Writes the renewal row; at most one write at a time is in progress or has an unknown outcome. */
export class HostLease {
  #options: HostLeaseOptions
  #renewalRow: SingleWriterRow<SchedulerRow>
  #servingUntilMs = -Infinity
  #confirmedRenewalAtMs = -Infinity
  #renewedAtMs: number
  #predecessors: Predecessor[] = []

  constructor (options: HostLeaseOptions) {
    this.#options = options
    this.#renewalRow = new SingleWriterRow<SchedulerRow>(options.writer, undefined, 0)
    this.#renewedAtMs = options.clock.readMonotonic()
  }

  get key (): string {
    return formatSchedulerKey(this.#options.holder.hostId)
  }

  /** Whether the host may serve the endpoints that it owns, judged only by the time since its last confirmed renewal. */
  isServing (): boolean {
    return this.#options.policy.mayServe(this.#options.clock.readMonotonic(), this.#servingUntilMs)
  }

  /** Whether the table has not responded for long enough that this host should report it to its peers. */
  hasTableOutage (): boolean {
    return this.#options.clock.readMonotonic() - this.#renewedAtMs >= outageThresholdMs
  }

  /** Renews all leases; false where the renewal is not known to have been applied. */
  async renew (content: HostLeaseContent): Promise<boolean> {
    const sentMs = this.#options.clock.readMonotonic()
    const result = await this.write(content, { checks: [], writes: [] })
    if (result.verdict !== 'applied') return false
    this.#renewedAtMs = sentMs
    return true
  }

  /** Renews and writes other rows in the same transaction. */
  async write (content: HostLeaseContent, others: TableWrite): Promise<WriteResult> {
    if (!await this.#renewalRow.resolvePendingWrite()) return { verdict: 'unknown', pending: this.#renewalRow.pendingWrite! }
    const row = this.#createRow(content)
    const result = await this.#options.writer.write({
      checks: [{ key: this.key, version: this.#renewalRow.version }, ...others.checks],
      writes: [{ key: this.key, value: row }, ...others.writes]
    })
    this.#renewalRow.recordResult(row, result)
    if (result.verdict === 'notApplied' && result.cause === 'conflict') this.#handleConflict(result.conflicts, others.checks.length > 0)
    return result
  }

  /**
   * Confirms the last renewal: the rows were read after it, and the leases that they no longer show were dropped. The serving
   * time counts from when this renewal was sent.
   */
  confirmRenewal (): void {
    this.#confirmedRenewalAtMs = this.#renewedAtMs
    this.#servingUntilMs = Math.max(this.#servingUntilMs, this.#renewedAtMs + maxServingMs)
  }

  /**
   * Lets the host continue to serve while its peers also report that the table is down. Once the serving time has expired,
   * such as during a pause of the process, it is not extended: the host must renew first.
   */
  extendServingThroughOutage (): void {
    const nowMs = this.#options.clock.readMonotonic()
    if (nowMs >= this.#servingUntilMs || nowMs - this.#confirmedRenewalAtMs >= maxOutageServingMs) return
    const reports = new Set([...this.#options.listOutageReports(), this.#options.holder.hostId])
    const isConfirmed = this.#listPossibleWitnessSets().every(witnesses => hasMajority(witnesses, reports))
    if (this.hasTableOutage() && isConfirmed) this.#servingUntilMs = Math.max(this.#servingUntilMs, nowMs + outageReportTtlMs)
  }

  /** Removes the row; called when no lease is held any more. A row that lists earlier processes stays. */
  async remove (): Promise<void> {
    if (!await this.#renewalRow.resolvePendingWrite() || !this.#renewalRow.row || this.#predecessors.length > 0) return
    await this.#options.writer.write({
      checks: [{ key: this.key, version: this.#renewalRow.version }], writes: [{ key: this.key, value: null }]
    })
  }

  /** A renewal with an unknown outcome may have changed the witnesses, so both sets must confirm an outage. */
  #listPossibleWitnessSets (): string[][] {
    return [this.#renewalRow.row, this.#renewalRow.pendingRow].flatMap(row => row ? [row.witnesses] : [])
  }

  #createRow (content: HostLeaseContent): SchedulerRow {
    const { holder, zone } = this.#options
    const predecessors = this.#predecessors.length === 0 ? {} : { predecessors: this.#predecessors }
    return { ...holder, zone, counter: (this.#renewalRow.row?.counter ?? 0) + 1, ...content, ...predecessors }
  }

  #handleConflict (conflicts: TableRow[], hasOtherChecks: boolean): void {
    const found = conflicts.find(row => row.key === this.key)
    if (found) {
      this.#renewalRow.setVersion(found.version)
      this.#recordPredecessor(found.value)
      if (this.#renewalRow.row) log('Another scheduler uses the id "%s"; each host must have a unique id in its [host] settings.', this.#options.holder.hostId)
    } else if (!hasOtherChecks) {
      this.#renewalRow.setVersion(0)
    }
  }

  /** Keeps the process, and its predecessors, that are named in the row that is about to be overwritten. */
  #recordPredecessor (value: unknown): void {
    if (!Value.Check(schedulerRowSchema, value)) return
    const { session, counter, witnesses, predecessors = [] } = value
    const known = [...this.#predecessors, ...predecessors, { session, counter, witnesses }]
    const latest = new Map(known.map(predecessor => [predecessor.session, predecessor]))
    latest.delete(this.#options.holder.session)
    this.#predecessors = [...latest.values()].slice(-maxPredecessors)
  }
}

function hasMajority (witnesses: string[], reports: Set<string>): boolean {
  return witnesses.filter(hostId => reports.has(hostId)).length * 2 > witnesses.length
}
