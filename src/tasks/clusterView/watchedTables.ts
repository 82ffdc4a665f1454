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
/** How a host keeps its copy of the store's tables current. */
export interface UpdateSchedule {
  readonly tables: readonly WatchedTable[]
  /** How long a relay may delay its response while nothing has changed. */
  readonly relayWaitMs: number
}

/**
 * Parts of the time within which a change has to be in force on every host. A copy that is older than `maxAge` is read from the
 * store itself; the rest of the time is for the check that notices it and for one call to the store. While nothing is wrong, a
 * copy gets as old as a read of the store, by whichever host, and a read of a relay take together.
 */
const operatorsShares = Object.freeze({ wait: 0.2, response: 0.3, maxAge: 0.5 })
/** Endpoints change all the time, so that reads are spaced by an interval, to get several changes at once. */
const endpointsShares = Object.freeze({ interval: 0.25, wait: 0.1, response: 0.3, maxAge: 0.6 })
const relayWaitShare = 0.2
const storeResponseMs = 1000
const renewalsIntervalMs = 1000

/**
 * Computes how each table is watched, so that a configuration is in force within `configurationMs` on every host, and requests to
 * a leaving endpoint end within `drainMs`, whichever store reader or relay fails.
 *
 * @example
 * computeUpdateSchedule(tables, { configurationMs: 2000, drainMs: 2000 }).relayWaitMs // 400
 */
export function computeUpdateSchedule ({ operatorsTable, endpointsTable }: PlatformTables, { configurationMs, drainMs }: Pick<HostSettings, 'configurationMs' | 'drainMs'>): UpdateSchedule {
  return {
    tables: [
      {
        table: operatorsTable,
        minIntervalMs: 0,
        waitMs: configurationMs * operatorsShares.wait,
        responseMs: configurationMs * operatorsShares.response,
        maxAgeMs: configurationMs * operatorsShares.maxAge,
        initialDelayMs
      },
      {
        table: endpointsTable,
        minIntervalMs: drainMs * endpointsShares.interval,
        waitMs: drainMs * endpointsShares.wait,
        responseMs: drainMs * endpointsShares.response,
        maxAgeMs: drainMs * endpointsShares.maxAge,
        initialDelayMs
      },
      { table: hostsTable, minIntervalMs: 100, waitMs: 2000, responseMs: storeResponseMs, initialDelayMs: hostsInitialDelayMs },
      { table: renewalsTable, minIntervalMs: renewalsIntervalMs, waitMs: 1000, responseMs: storeResponseMs, initialDelayMs, isForStoreReaders: true }
    ],
    relayWaitMs: Math.min(configurationMs, drainMs) * relayWaitShare
  }
}
