/** The one row that a scheduler renews, and how long it may serve since. */
import { Value } from '@sinclair/typebox/value'
import { createLog } from '../../createLog.js'
import { servingLimitMs, outageLimitMs, outageReportMs, outageThresholdMs } from '../../core/ownershipTimes.js'
import type { OwnershipPolicy } from '../../core/ownershipPolicy.js'
import type { Clock } from '../../ports/clock.js'
import type { TableRow } from '../../ports/table.js'
import { formatHostKey, hostRowSchema } from '../../schemas/ownershipRows.js'
import type { HeldLease, Holder, HostRow, Predecessor } from '../../schemas/ownershipRows.js'
import type { TableWrite, TableWriter, WriteResult } from '../table/tableWriter.js'
import { LeasedRow } from './leasedRow.js'

export interface HostLeaseOptions {
  clock: Clock
  writer: TableWriter
  holder: Holder
  zone: string
  /** Hosts that lately told that the table gives them no answer. */
  listOutageReports: () => string[]
  policy: OwnershipPolicy
}

export interface HostLeaseContent {
  isLeaving: boolean
  /** The schedulers that are alive. */
  witnesses: string[]
  held: HeldLease[]
}

const log = createLog('ownership')
/** Earlier processes that the row remembers. */
const maxPredecessors = 4

/** Writes the renewal row; at most one write is under way or of unknown fate at a time. */
export class HostLease {
  #options: HostLeaseOptions
  #row: LeasedRow<HostRow>
  #servesUntilMs = -Infinity
  #provenAtMs = -Infinity
  #renewedAtMs: number
  #predecessors: Predecessor[] = []

  constructor (options: HostLeaseOptions) {
    this.#options = options
    this.#row = new LeasedRow<HostRow>(options.writer, undefined, 0)
    this.#renewedAtMs = options.clock.readMonotonic()
  }

  get key (): string {
    return formatHostKey(this.#options.holder.hostId)
  }

  /** Whether the host may serve the endpoints that it owns, by time since the last proven renewal alone. */
  isServing (): boolean {
    return this.#options.policy.mayServe(this.#options.clock.readMonotonic(), this.#servesUntilMs)
  }

  /** Whether this host should tell its peers that the table gives no answer. */
  hasOutage (): boolean {
    return this.#options.clock.readMonotonic() - this.#renewedAtMs >= outageThresholdMs
  }

  /** Renews; false where the renewal is not known to have been applied. */
  async renew (content: HostLeaseContent): Promise<boolean> {
    const sentMs = this.#options.clock.readMonotonic()
    const result = await this.write(content, { checks: [], writes: [] })
    if (result.verdict !== 'applied') return false
    this.#renewedAtMs = sentMs
    return true
  }

  /** Renews together with other rows, all or nothing. */
  async write (content: HostLeaseContent, others: TableWrite): Promise<WriteResult> {
    if (!await this.#row.settle()) return { verdict: 'unknown', pending: this.#row.pendingWrite! }
    const row = this.#createRow(content)
    const result = await this.#options.writer.write({
      checks: [{ key: this.key, version: this.#row.version }, ...others.checks],
      writes: [{ key: this.key, value: row }, ...others.writes]
    })
    this.#row.recordResult(row, result)
    if (result.verdict === 'notApplied' && result.cause === 'conflict') this.#receiveConflict(result.conflicts, others.checks.length > 0)
    return result
  }

  /** After the last renewal, sent at `sentMs`, the rows were read and still showed this host as owner. */
  recordProof (): void {
    this.#provenAtMs = this.#renewedAtMs
    this.#servesUntilMs = Math.max(this.#servesUntilMs, this.#renewedAtMs + servingLimitMs)
  }

  /**
   * Lets the host serve on while the table is down for its peers too. A host that has lapsed once, such as
   * through a pause, stays lapsed until it has renewed.
   */
  extendThroughOutage (): void {
    const nowMs = this.#options.clock.readMonotonic()
    if (nowMs >= this.#servesUntilMs || nowMs - this.#provenAtMs >= outageLimitMs) return
    const reports = new Set([...this.#options.listOutageReports(), this.#options.holder.hostId])
    const isConfirmed = this.#listWitnessSets().every(witnesses => hasMajority(witnesses, reports))
    if (this.hasOutage() && isConfirmed) this.#servesUntilMs = Math.max(this.#servesUntilMs, nowMs + outageReportMs)
  }

  /** Removes the row; to be called when nothing is held any more. A row that tells of earlier processes stays. */
  async remove (): Promise<void> {
    if (!await this.#row.settle() || !this.#row.row || this.#predecessors.length > 0) return
    await this.#options.writer.write({
      checks: [{ key: this.key, version: this.#row.version }], writes: [{ key: this.key, value: null }]
    })
  }

  /** A renewal of unknown fate may have changed the witnesses; then both sets must confirm. */
  #listWitnessSets (): string[][] {
    return [this.#row.row, this.#row.pendingRow].flatMap(row => row ? [row.witnesses] : [])
  }

  #createRow (content: HostLeaseContent): HostRow {
    const { holder, zone } = this.#options
    const predecessors = this.#predecessors.length === 0 ? {} : { predecessors: this.#predecessors }
    return { ...holder, zone, counter: (this.#row.row?.counter ?? 0) + 1, ...content, ...predecessors }
  }

  #receiveConflict (conflicts: TableRow[], hasOtherChecks: boolean): void {
    const found = conflicts.find(row => row.key === this.key)
    if (found) {
      this.#row.setVersion(found.version)
      this.#recordPredecessor(found.value)
      if (this.#row.row) log('Another scheduler runs as "%s"; give each host an [host] id of its own.', this.#options.holder.hostId)
    } else if (!hasOtherChecks) {
      this.#row.setVersion(0)
    }
  }

  /** Keeps what the row that is about to be overwritten tells of its process, and of those before it. */
  #recordPredecessor (value: unknown): void {
    if (!Value.Check(hostRowSchema, value)) return
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
