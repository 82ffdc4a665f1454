/** Shares reads of the platform's list of hosts between the parts of a process. */
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { HostListEntry } from '../../schemas/hostList.js'

/** A read is shared for this time after its start. */
const readTtlMs = 250

interface SharedRead {
  startedAtMs: number
  entries: Promise<HostListEntry[]>
}

/**
 * Wraps the list of hosts so that calls at nearly the same time share one read and its result.
 *
 * @example
 * const hostList = createSharedHostList(platform.hostList, clock)
 */
export function createSharedHostList (hostList: HostList, clock: Clock): HostList {
  let lastRead: SharedRead | undefined
  return {
    listEntries: async () => {
      const nowMs = clock.readMonotonic()
      if (!lastRead || nowMs - lastRead.startedAtMs >= readTtlMs) lastRead = { startedAtMs: nowMs, entries: hostList.listEntries() }
      return [...await lastRead.entries]
    },
    announceEntry: async entry => await hostList.announceEntry(entry),
    withdrawEntry: async id => await hostList.withdrawEntry(id)
  }
}
