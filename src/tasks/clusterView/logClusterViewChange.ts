/** Logs changes of a host's cluster view. */
import type { ClusterViewChange } from '../../core/clusterView.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { AccountDefect } from '../../schemas/routing.js'

/** How a change reached this host. */
export interface ClusterViewChangeOrigin {
  /** `store` or the address of a relay; undefined for rows that this host wrote itself. */
  readonly source: string | undefined
  /** Milliseconds since this host's copy of each table last matched the store before the change, by table. */
  readonly tableAgesMs: Readonly<Record<string, number>>
}

export function logClusterViewChange (log: EventLog, change: ClusterViewChange, getOrigin: () => ClusterViewChangeOrigin): void {
  if (change.kind === 'configuration') {
    log.record('configuration.applied', 'Configuration applied.', { version: change.version, before: change.previousVersion, ...getOrigin() })
    if (change.accountDefects.length > 0) logAccountDefects(log, change.version, change.accountDefects)
  } else if (change.kind === 'version') {
    log.record('version.declared', 'New adapter version declared.', { ...change.version })
  } else if (change.kind === 'unreadable') {
    log.record('news.unreadable', 'Row could not be decoded and is ignored.', { table: change.table, key: change.key, sample: change.sample })
  } else if (change.kind === 'endpoint') {
    const { id, entry } = change
    log.record('endpoint.changed', entry ? 'Endpoint entry changed.' : 'Endpoint entry removed.', {
      endpointId: id, address: entry?.address, service: entry?.service, isLeaving: entry?.isLeaving, goneInMs: entry?.goneInMs, startedAtMs: entry?.startedAtMs, softwareVersion: entry?.softwareVersion, ...(!entry || entry.isLeaving ? getOrigin() : {})
    })
  } else if (change.kind === 'owner') {
    log.record('owner.changed', 'Endpoint owner changed.', { endpointId: change.endpointId, owner: change.owner?.row.host, version: change.owner?.version, era: change.owner?.row.era })
  }
}

/** A configuration may hold thousands of invalid accounts. */
const maxListedDefects = 20

function logAccountDefects (log: EventLog, version: number, defects: readonly AccountDefect[]): void {
  log.record('configuration.accountInvalid', 'Parts of client accounts are invalid and were left out.', {
    version, count: defects.length, defects: defects.slice(0, maxListedDefects).map(({ account, reason }) => `${account}: ${reason}`)
  })
}
