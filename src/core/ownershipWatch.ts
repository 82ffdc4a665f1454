/** Decides from renewal counters which schedulers are alive. */
import type { Holder, HostRow } from '../schemas/ownershipRows.js'
import { leaseTermMs, minStillReads } from './ownershipTimes.js'

interface WatchedHost {
  row: HostRow
  changedAtMs: number
  /** Reads in a row that showed the same counter. */
  stillReads: number
}

/**
 * Watches renewal rows by the reader's own monotonic clock; no clocks are compared between hosts.
 *
 * @example
 * watch.recordRead(rows, nowMs)
 * watch.isExpired({ hostId: 'scheduler-1', session: 'a' }, nowMs)
 */
export class OwnershipWatch {
  #hosts = new Map<string, WatchedHost>()

  /** Takes the renewal rows of one read; `nowMs` is the time after the read. */
  recordRead (rows: HostRow[], nowMs: number): void {
    const before = this.#hosts
    this.#hosts = new Map(rows.map(row => [row.hostId, compareRow(row, before.get(row.hostId), nowMs)]))
  }

  /** Starts every term anew: while the table cannot be read, nobody can be expected to renew. */
  recordFailedRead (nowMs: number): void {
    for (const host of this.#hosts.values()) {
      host.changedAtMs = nowMs
      host.stillReads = 0
    }
  }

  findRow (hostId: string): HostRow | undefined {
    return this.#hosts.get(hostId)?.row
  }

  /** Whether a holder has lost its leases: its counter stood still, its row is gone, or its process was replaced. */
  isExpired (holder: Holder, nowMs: number): boolean {
    const host = this.#hosts.get(holder.hostId)
    if (host?.row.session !== holder.session) return true
    return isStill(host, nowMs)
  }

  /** Whether the host's counter has changed within the last term. */
  isAdvancing (hostId: string, nowMs: number): boolean {
    const host = this.#hosts.get(hostId)
    return host !== undefined && nowMs - host.changedAtMs < leaseTermMs
  }

  /** Rows of the schedulers that have not expired. */
  listLive (nowMs: number): HostRow[] {
    return [...this.#hosts.values()].filter(host => !isStill(host, nowMs)).map(host => host.row)
  }

  /** Rows of the schedulers whose counter has stood still for a time. */
  listStill (nowMs: number, stillMs: number): HostRow[] {
    return [...this.#hosts.values()].filter(host => isStill(host, nowMs) && nowMs - host.changedAtMs >= stillMs).map(host => host.row)
  }
}

function compareRow (row: HostRow, before: WatchedHost | undefined, nowMs: number): WatchedHost {
  const isSame = before?.row.session === row.session && before.row.counter === row.counter
  return isSame
    ? { row, changedAtMs: before.changedAtMs, stillReads: before.stillReads + 1 }
    : { row, changedAtMs: nowMs, stillReads: 0 }
}

function isStill (host: WatchedHost, nowMs: number): boolean {
  return nowMs - host.changedAtMs >= leaseTermMs && host.stillReads >= minStillReads
}
