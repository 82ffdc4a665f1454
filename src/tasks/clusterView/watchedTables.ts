/** How a host watches the tables of the store. */
import type { HostSettings } from '../../schemas/hostSettings.js'
import { hostsTable, renewalsTable } from '../../schemas/hostRows.js'
import type { WatchedTable } from './clusterViewTask.js'

/** Names of the tables that operators and endpoints write. */
export interface PlatformTables {
  readonly operatorsTable: string
  readonly endpointsTable: string
}

/** Hosts that start together are registered within 0.3 s of each other; this delay lets each of them read the others' rows. */
const hostsInitialDelayMs = 250
/** After this delay a host knows whether it reads the store itself. */
const initialDelayMs = 400
/**
 * Within `drainMs` after an endpoint begins to leave, hosts must stop sending it requests. The interval between reads is
 * `drainMs` divided by this number, so that a read, its relaying and one failed call fit into that time.
 */
const endpointReadsPerDrain = 4

/**
 * Returns how each table is watched. A new configuration must be in force within 3 s, so calls for its table follow one another
 * without a pause. Endpoints and renewals change all the time, so they are read at intervals, renewals once in each renewal
 * interval. A call waits 1 to 2 s for a change, because a silent connection is noticed only when the call times out.
 */
export function listWatchedTables ({ operatorsTable, endpointsTable }: PlatformTables, { drainMs }: Pick<HostSettings, 'drainMs'>): WatchedTable[] {
  return [
    { table: operatorsTable, minIntervalMs: 0, waitMs: 2000, initialDelayMs },
    { table: endpointsTable, minIntervalMs: drainMs / endpointReadsPerDrain, waitMs: 1000, initialDelayMs },
    { table: hostsTable, minIntervalMs: 100, waitMs: 2000, initialDelayMs: hostsInitialDelayMs },
    { table: renewalsTable, minIntervalMs: 1000, waitMs: 1000, initialDelayMs, isForStoreReaders: true }
  ]
}
