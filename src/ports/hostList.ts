/** The platform's list of live and leaving hosts, which lags behind their real state. */
import type { HostListEntry } from '../schemas/hostList.js'

export interface HostList {
  /** Rejects with a `PlatformUnavailable` error. */
  listEntries: () => Promise<HostListEntry[]>
  /**
   * Announces this host to the platform; called repeatedly as a heartbeat.
   * Does nothing on a platform that discovers its hosts by itself.
   */
  announceEntry: (entry: HostListEntry) => Promise<void>
  /** Removes this host from the list. */
  withdrawEntry: (id: string) => Promise<void>
}
