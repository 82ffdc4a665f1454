/** Lets the parts of a process share one reading of the platform's list of hosts. */
import type { Clock } from '../../ports/clock.js'
import type { HostList } from '../../ports/hostList.js'
import type { HostListEntry } from '../../schemas/hostList.js'

/** A reading is shared for this time after it was begun. */
const sharedMs = 250

interface Reading {
  begunAtMs: number
  entries: Promise<HostListEntry[]>
}

/**
 * Wraps the list of hosts so that parts that ask at nearly the same time get the same answer.
 *
 * @example
 * const hostList = createSharedHostList(platform.hostList, clock)
 */
export function createSharedHostList (hostList: HostList, clock: Clock): HostList {
  let reading: Reading | undefined
  return {
    listEntries: async () => {
      const nowMs = clock.readMonotonic()
      if (!reading || nowMs - reading.begunAtMs >= sharedMs) reading = { begunAtMs: nowMs, entries: hostList.listEntries() }
      return [...await reading.entries]
    },
    announceEntry: async entry => await hostList.announceEntry(entry),
    withdrawEntry: async id => await hostList.withdrawEntry(id)
  }
}
