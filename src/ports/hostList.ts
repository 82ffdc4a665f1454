/** The platform's lagging list of live and leaving hosts. */
import type { HostListEntry } from '../schemas/hostList.js'

export interface HostList {
  /** Rejects with a `PlatformUnavailable` error. */
  listEntries: () => Promise<HostListEntry[]>
  /**
   * Tells the platform that this host is there; to be repeated as a heartbeat.
   * The adapter of a platform that finds its hosts by itself does nothing here.
   */
  announceEntry: (entry: HostListEntry) => Promise<void>
  /** Takes this host off the list. */
  withdrawEntry: (id: string) => Promise<void>
}
