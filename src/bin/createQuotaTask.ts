/** Creates the task that keeps the quotas of client accounts. */
import type { ClusterView } from '../core/clusterView.js'
import type { Clock } from '../ports/clock.js'
import type { EventLog } from '../ports/eventLog.js'
import { hostsTable } from '../schemas/hostRows.js'
import type { HostSettings } from '../schemas/hostSettings.js'
import { QuotaTask } from '../tasks/quota/quotaTask.js'
import type { QuotaTaskOptions } from '../tasks/quota/quotaTask.js'

export interface QuotaComponentsOptions extends Pick<QuotaTaskOptions, 'own' | 'getOutageShare' | 'send' | 'meter'> {
  clock: Clock
  log: EventLog
  clusterView: ClusterView
  bounds: HostSettings['quotaBounds']
  /** Milliseconds since this host's copy of a table last matched the store. */
  getTableAgeMs: (table: string) => number
}

/**
 * Returns undefined if the settings set no bounds for quotas.
 *
 * @example
 * const quotas = createQuotaTask({ clock, log, clusterView, own, bounds: settings.quotaBounds, getTableAgeMs, getOutageShare, send, meter })
 */
export function createQuotaTask ({ clusterView, bounds, getTableAgeMs, ...options }: QuotaComponentsOptions): QuotaTask | undefined {
  return bounds && new QuotaTask({
    ...options,
    bounds,
    listAccounts: () => clusterView.routes?.configuration.accounts ?? [],
    findOwnSession: () => clusterView.hosts.get(options.own.host)?.row.session,
    listHosts: () => [...clusterView.hosts.values()].map(({ row }) => row),
    getViewAgeMs: () => getTableAgeMs(hostsTable),
    random: Math.random
  })
}
