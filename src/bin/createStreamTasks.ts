/** Creates the tasks that keep which software version began a stream, and connects them to each other. */
import type { ClusterView, ClusterViewChange } from '../core/clusterView.js'
import { versionNoticeMs } from '../core/serviceVersions.js'
import { countStreamRecorders } from '../core/streamRecorders.js'
import type { Clock } from '../ports/clock.js'
import type { EventLog } from '../ports/eventLog.js'
import type { Store, StoreOutcome, StoreRow, StoreTransaction } from '../ports/store.js'
import type { HostMessage } from '../schemas/datagram.js'
import type { HostRow } from '../schemas/hostRows.js'
import type { StreamRecords, StreamRecordsSaved } from '../schemas/streamRows.js'
import type { HostPingReply } from '../tasks/peers/peerTask.js'
import { PeerVersions } from '../tasks/streams/peerVersions.js'
import { ServiceVersionTask } from '../tasks/streams/serviceVersionTask.js'
import { StreamOrigins } from '../tasks/streams/streamOrigins.js'
import { StreamRecordClient } from '../tasks/streams/streamRecordClient.js'
import { StreamRecorder } from '../tasks/streams/streamRecorder.js'
import { StreamRowSweeper } from '../tasks/streams/streamRowSweeper.js'

export interface StreamTasksOptions {
  clock: Clock
  log: EventLog
  own: { host: string, address: string }
  clusterView: ClusterView
  store: Pick<Store, 'readRow' | 'readTable'>
  /** Runs a transaction at the store, directly or through a peer. */
  transact: (transaction: StoreTransaction) => Promise<StoreOutcome>
  isStoreUnavailable: () => boolean
  /** Applies a row to this host's own view. */
  applyRow: (row: StoreRow) => void
  send: (address: string, message: HostMessage) => void
  /** Asks the host at an address for the software versions of a service; undefined if it does not reply. */
  pingHost: (address: string, question: { service: string }) => Promise<Pick<HostPingReply, 'softwareVersions' | 'viewAgeMs'> | undefined>
  /** Milliseconds since this host's view last matched the store. */
  getViewAgeMs: () => number
  /** Whether a host was asked within the last `withinMs`, and had then learned nothing from the store since a time of this host's clock. */
  hadNothingSince: (host: string, sinceMs: number, withinMs: number) => boolean
  /** Interval at which endpoints rewrite their entries. */
  heartbeatMs: number
}

export interface StreamTasks {
  origins: StreamOrigins
  receiveRecords: (records: StreamRecords, reply: (saved: StreamRecordsSaved) => void) => void
  receiveSaved: (saved: StreamRecordsSaved) => void
  applyChange: (change: ClusterViewChange) => void
  /** Called when the store has been restored from a copy. */
  beginEra: () => void
  start: () => void
  stop: () => void
}

/** Heartbeats after which the entry of an endpoint that restarted under its id tells of the new process. */
const entryDelayHeartbeats = 3

/**
 * Creates the tasks of one host.
 *
 * @example
 * const tasks = createStreamTasks({ clock, log, own, clusterView, store, transact, isStoreUnavailable, applyRow, send, pingHost, getViewAgeMs, hadNothingSince, heartbeatMs })
 * await tasks.origins.resolve(request, route, 'llm-pool') // { kind: 'version', origin: { service: 'llm-pool', version: 'v1.1' } }
 */
export function createStreamTasks (options: StreamTasksOptions): StreamTasks {
  const { clock, log, own, clusterView, store, transact, isStoreUnavailable, applyRow, send, pingHost, getViewAgeMs, hadNothingSince, heartbeatMs } = options
  const listHosts = (): HostRow[] => [...clusterView.hosts.values()].map(({ row }) => row)
  const recorder = new StreamRecorder({ clock, log, transact, countRecorders: () => countStreamRecorders(listHosts()) })
  const client: StreamRecordClient = new StreamRecordClient({
    clock,
    listHosts,
    send: (address, message) => {
      if (address === own.address) recorder.receiveRecords(message.records, ({ keys }) => client.receiveSaved(keys))
      else send(address, message)
    }
  })
  const peerVersions = new PeerVersions({
    log,
    listPeers: () => listHosts().filter(({ host }) => host !== own.host),
    askPeer: async (address, service) => {
      const { softwareVersions, viewAgeMs } = await pingHost(address, { service }) ?? {}
      return softwareVersions && { versions: softwareVersions, viewAgeMs }
    },
    // A version that the host learned of in the notice time has no streams yet, and neither has one that it learned of since it was asked.
    isAccountedFor: host => hadNothingSince(host, clock.readMonotonic() - getViewAgeMs() + versionNoticeMs, versionNoticeMs),
    random: Math.random
  })
  const origins = new StreamOrigins({
    clock, log, clusterView, store: { readRow: async (...options) => (await store.readRow(...options)).row }, isStoreUnavailable, findPeerVersions: async service => await peerVersions.find(service), saveRecords: records => client.record(records), entryDelayMs: entryDelayHeartbeats * heartbeatMs
  })
  const versionTask = new ServiceVersionTask({ clock, log, own, clusterView, transact, applyRow })
  const sweeper = new StreamRowSweeper({ clock, log, own, listHosts, store, isMixed: () => origins.hasMixedService, remove: keys => recorder.remove(keys) })
  return {
    origins,
    receiveRecords: ({ records }, reply) => recorder.receiveRecords(records, reply),
    receiveSaved: ({ keys }) => client.receiveSaved(keys),
    applyChange: change => {
      if (change.kind === 'endpoint' && change.entry) origins.receiveEntry(change.entry)
      if (change.kind === 'serviceVersions') origins.receiveServiceChange(change.service)
      if (change.kind === 'endpoint' || change.kind === 'serviceVersions' || change.kind === 'configuration') versionTask.check()
    },
    beginEra: () => {
      origins.beginEra()
      sweeper.beginEra()
    },
    start: () => {
      versionTask.start()
      sweeper.start()
    },
    stop: () => {
      for (const task of [versionTask, sweeper, client, recorder]) task.stop()
    }
  }
}
