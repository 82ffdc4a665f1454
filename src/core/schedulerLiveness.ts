/** Determines from renewal counters which schedulers are alive. */
import type { Holder, SchedulerRow } from '../schemas/ownershipRows.js'
import { leaseDurationMs, minUnchangedReads } from './ownershipTimeouts.js'

interface TrackedHost {
  row: SchedulerRow
  changedAtMs: number
  /** Number of consecutive reads that showed the same counter. */
  unchangedReads: number
}

/**
 * Tracks renewal rows by the reader's own monotonic clock; clocks of different hosts are never compared.
 *
 * @example
 * liveness.recordRead(rows, nowMs)
 * liveness.isExpired({ hostId: 'scheduler-1', session: 'a' }, nowMs)
 */
export class SchedulerLiveness {
  #hosts = new Map<string, TrackedHost>()

  /** Records the renewal rows of one read; `nowMs` is the time after the read. */
  recordRead (rows: SchedulerRow[], nowMs: number): void {
    const before = this.#hosts
    this.#hosts = new Map(rows.map(row => [row.hostId, updateHost(row, before.get(row.hostId), nowMs)]))
  }

  /** Restarts the lease duration of every host: while the table cannot be read, no host can be expected to renew. */
  recordFailedRead (nowMs: number): void {
    for (const host of this.#hosts.values()) {
      host.changedAtMs = nowMs
      host.unchangedReads = 0
    }
  }

  findRow (hostId: string): SchedulerRow | undefined {
    return this.#hosts.get(hostId)?.row
  }

  /** Whether a holder has lost its leases: its counter is unchanged, its row is gone, or its process was replaced. */
  isExpired (holder: Holder, nowMs: number): boolean {
    const host = this.#hosts.get(holder.hostId)
    if (host?.row.session !== holder.session) return true
    return isStalled(host, nowMs)
  }

  /** Whether the host's counter has changed within the last lease duration. */
  isRenewing (hostId: string, nowMs: number): boolean {
    const host = this.#hosts.get(hostId)
    return host !== undefined && nowMs - host.changedAtMs < leaseDurationMs
  }

  /** Lists the rows of schedulers that have not expired. */
  listLive (nowMs: number): SchedulerRow[] {
    return [...this.#hosts.values()].filter(host => !isStalled(host, nowMs)).map(host => host.row)
  }

  /** Lists the rows of expired schedulers whose counter has been unchanged for at least `stalledMs`. */
  listStalled (nowMs: number, stalledMs: number): SchedulerRow[] {
    return [...this.#hosts.values()].filter(host => isStalled(host, nowMs) && nowMs - host.changedAtMs >= stalledMs).map(host => host.row)
  }
}

function updateHost (row: SchedulerRow, before: TrackedHost | undefined, nowMs: number): TrackedHost {
  const isUnchanged = before?.row.session === row.session && before.row.counter === row.counter
  return isUnchanged
    ? { row, changedAtMs: before.changedAtMs, unchangedReads: before.unchangedReads + 1 }
    : { row, changedAtMs: nowMs, unchangedReads: 0 }
}

function isStalled (host: TrackedHost, nowMs: number): boolean {
  return nowMs - host.changedAtMs >= leaseDurationMs && host.unchangedReads >= minUnchangedReads
}
