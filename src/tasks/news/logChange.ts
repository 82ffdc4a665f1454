/** Logs what changes a host's belief. */
import type { BoardChange } from '../../core/newsBoard.js'
import type { EventLog } from '../../ports/eventLog.js'

export function logChange (log: EventLog, change: BoardChange): void {
  if (change.kind === 'configuration') {
    log.record('configuration.applied', 'A configuration is in force.', { version: change.version, before: change.before })
  } else if (change.kind === 'version') {
    log.record('version.declared', 'A new version of an adapter is known.', { ...change.version })
  } else if (change.kind === 'unreadable') {
    log.record('news.unreadable', 'A row cannot be read and is ignored.', { table: change.table, key: change.key, sample: change.sample })
  } else if (change.kind === 'endpoint') {
    const { id, entry } = change
    log.record('endpoint.changed', entry ? 'An endpoint\'s entry has changed.' : 'An endpoint\'s entry is gone.', {
      endpointId: id, address: entry?.address, service: entry?.service, isLeaving: entry?.isLeaving, goneInMs: entry?.goneInMs, startedAtMs: entry?.startedAtMs
    })
  } else if (change.kind === 'owner') {
    log.record('owner.changed', 'An endpoint\'s owner has changed.', { endpointId: change.endpointId, owner: change.owner?.row.host, fencing: change.owner?.fencing })
  }
}
