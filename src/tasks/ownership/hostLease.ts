/** The one row that a scheduler renews, and how long it may serve since. */
import { createLog } from '../../createLog.js'
import { servingLimitMs, outageLimitMs, outageReportMs, outageThresholdMs } from '../../core/ownershipTimes.js'
import type { OwnershipPolicy } from '../../core/ownershipPolicy.js'
import type { Clock } from '../../ports/clock.js'
import type { TableRow } from '../../ports/table.js'
import { formatHostKey } from '../../schemas/ownershipRows.js'
import type { HeldLease, Holder, HostRow } from '../../schemas/ownershipRows.js'
import type { PendingWrite, TableWrite, TableWriter, WriteResult } from '../table/tableWriter.js'

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

interface PendingRow {
  write: PendingWrite
  row: HostRow
}

const resolveTimeoutMs = 500

/** Writes the renewal row; at most one write is under way or of unknown fate at a time. */
export class HostLease {
  #options: HostLeaseOptions
  #row: HostRow | undefined
  #version = 0
  #pending: PendingRow | undefined
  #servesUntilMs = -Infinity
  #provenAtMs = -Infinity
  #renewedAtMs: number

  constructor (options: HostLeaseOptions) {
    this.#options = options
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
    const settled = await this.#settlePending()
    if (!settled) return { verdict: 'unknown', pending: this.#pending!.write }
    const row = this.#createRow(content)
    const result = await this.#options.writer.write({
      checks: [{ key: this.key, version: this.#version }, ...others.checks],
      writes: [{ key: this.key, value: row }, ...others.writes]
    })
    if (result.verdict === 'unknown') this.#pending = { write: result.pending, row }
    else if (result.verdict === 'applied') this.#apply(row, result.version)
    else if (result.cause === 'conflict') this.#receiveConflict(result.conflicts, others.checks.length > 0)
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

  /** Removes the row; to be called when nothing is held any more. */
  async remove (): Promise<void> {
    if (!await this.#settlePending() || !this.#row) return
    await this.#options.writer.write({
      checks: [{ key: this.key, version: this.#version }], writes: [{ key: this.key, value: null }]
    })
  }

  /** A renewal of unknown fate may have changed the witnesses; then both sets must confirm. */
  #listWitnessSets (): string[][] {
    return [this.#row, this.#pending?.row].flatMap(row => row ? [row.witnesses] : [])
  }

  #createRow (content: HostLeaseContent): HostRow {
    const { holder, zone } = this.#options
    return { ...holder, zone, counter: (this.#row?.counter ?? 0) + 1, ...content }
  }

  #apply (row: HostRow, version: number): void {
    this.#row = row
    this.#version = version
    this.#pending = undefined
  }

  async #settlePending (): Promise<boolean> {
    if (!this.#pending) return true
    const { write, row } = this.#pending
    const result = await this.#options.writer.resolve(write, resolveTimeoutMs)
    if (result.verdict === 'unknown') return false
    this.#pending = undefined
    if (result.verdict === 'applied') this.#apply(row, result.version)
    return true
  }

  #receiveConflict (conflicts: TableRow[], hasOtherChecks: boolean): void {
    const found = conflicts.find(row => row.key === this.key)
    if (found) {
      this.#version = found.version
      if (this.#row) log('Another scheduler runs as "%s"; give each host an [host] id of its own.', this.#options.holder.hostId)
    } else if (!hasOtherChecks) {
      this.#version = 0
    }
  }
}

function hasMajority (witnesses: string[], reports: Set<string>): boolean {
  return witnesses.filter(hostId => reports.has(hostId)).length * 2 > witnesses.length
}
