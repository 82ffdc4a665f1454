/** Wires one host on the users' platform: news, leases, desks and the front. */
import { randomBytes } from 'node:crypto'
import { openUdpDatagrams } from '../adapters/datagrams/udpDatagrams.js'
import { openEventLog } from '../adapters/eventLog/pinoEventLog.js'
import type { OpenLog } from '../adapters/eventLog/pinoEventLog.js'
import { createHttpRelay } from '../adapters/relay/httpRelay.js'
import { EndpointSigns } from '../core/endpointSigns.js'
import { NewsBoard } from '../core/newsBoard.js'
import type { DecodeNews } from '../core/newsBoard.js'
import { SourceList } from '../core/newsSource.js'
import { RowMirror } from '../core/rowMirror.js'
import type { IsSameNews } from '../core/rowMirror.js'
import { decodePlatformRow, endpointsTable, isSameEndpointNews, operatorsTable } from '../platform/decodeNews.js'
import { createEngineOrders } from '../platform/engineOrders.js'
import { createStoreClient } from '../platform/storeClient.js'
import type { Clock } from '../ports/clock.js'
import type { Datagrams } from '../ports/datagrams.js'
import type { EventLog } from '../ports/eventLog.js'
import type { Relay } from '../ports/relay.js'
import type { Store } from '../ports/store.js'
import type { HostSettings } from '../schemas/hostSettings.js'
import { hostsTable, renewalsTable } from '../schemas/hostRows.js'
import { createPausedOrders } from '../tasks/desk/pausedOrders.js'
import { DeskTask } from '../tasks/desk/deskTask.js'
import { createCountedLog, HostMetrics } from '../tasks/hostMetrics/hostMetrics.js'
import { startMetricsServer } from '../tasks/hostMetrics/metricsServer.js'
import { PlaceClient } from '../tasks/front/placeClient.js'
import type { LeaseTask } from '../tasks/leases/leaseTask.js'
import { logChange } from '../tasks/news/logChange.js'
import { NewsTask } from '../tasks/news/newsTask.js'
import type { FollowedTable } from '../tasks/news/newsTask.js'
import { startRelayServer } from '../tasks/news/relayServer.js'
import { PeerTask } from '../tasks/peers/peerTask.js'
import { SuspectTask } from '../tasks/peers/suspectTask.js'
import { createFront } from './createFront.js'
import type { Front } from './createFront.js'
import { createLeases } from './createLeases.js'
import type { LeaseParts, LeasePartsOptions } from './createLeases.js'
import type { RunningProcess } from './processEnd.js'
import { startReadiness } from './startReadiness.js'
import type { Readiness } from './startReadiness.js'

/** Hosts that start together are registered within 0.3 s of each other and read then who else is there. */
const hostsSettleMs = 250
/** By then a host knows whether it is to follow the store. */
const settleMs = 400
/** Parts of the time in which an endpoint that leaves must get no more work: a read, its relay and a call that fails fit in it. */
const drainParts = 4

/**
 * How the tables are followed. A configuration has 3 s to be in force, so its table is waited for without a pause. Endpoints
 * and renewals change all the time and are read in steps, renewals once in each of their intervals. Calls wait for 1 to 2 s, as
 * a silent connection shows only when they are over.
 */
function listFollowedTables ({ drainMs }: HostSettings): FollowedTable[] {
  return [
    { table: operatorsTable, paceMs: 0, waitMs: 2000, settleMs },
    { table: endpointsTable, paceMs: drainMs / drainParts, waitMs: 1000, settleMs },
    { table: hostsTable, paceMs: 100, waitMs: 2000, settleMs: hostsSettleMs },
    { table: renewalsTable, paceMs: 1000, waitMs: 1000, settleMs, isForReaders: true }
  ]
}
/** Time for the entry to take this host out of rotation: two questions a second apart, and their answers. */
const quietMs = 2700
/** Left of the time between SIGTERM and SIGKILL for the process to end. */
const exitMarginMs = 700

/** How a host reaches what is outside of it. */
export interface HostPorts {
  createStore: typeof createStoreClient
  openOrders: typeof createEngineOrders
  openDatagrams: typeof openUdpDatagrams
  decodeRow: DecodeNews
}

const platformPorts: HostPorts = Object.freeze({ createStore: createStoreClient, openOrders: createEngineOrders, openDatagrams: openUdpDatagrams, decodeRow: decodePlatformRow })

export interface HostOptions {
  openLog?: OpenLog
  /** Ports that replace the platform's, to show what fails without a mechanism. */
  ports?: Partial<HostPorts>
  /** Where metrics are served on the host's address; left out, they are not. */
  metricsPort?: number
}

interface HostParts {
  board: NewsBoard
  mirror: RowMirror
  news: NewsTask
  places: PlaceClient
  desks: DeskTask
  front: Front
  leaseParts: LeaseParts
  suspects: SuspectTask
}

/** What a host is built from. */
interface HostBasis {
  settings: HostSettings
  clock: Clock
  log: EventLog
  own: LeasePartsOptions['own']
  store: Store
  relay: Relay
  datagrams: Datagrams
  ports: Pick<HostPorts, 'openOrders' | 'decodeRow'>
}

/** Creates the tasks of a host and ties them together; nothing runs yet. */
function createHostParts ({ settings, clock, log, own, store, relay, datagrams, ports }: HostBasis): HostParts {
  const formatRelayAddress = createRelayAddresses(settings.peersAddress)
  const board = new NewsBoard(ports.decodeRow, settings.heartbeatMs)
  const mirror = new RowMirror(own.session, isSameNews, row => {
    const change = board.applyRow(row, clock.readMonotonic())
    if (!change) return
    logChange(log, change)
    if (change.kind === 'configuration') front.applyConfiguration()
    if (change.kind === 'owner') places.receiveOwner(change.endpointId, change.owner?.row.address ?? '')
    if (change.kind === 'suspect') suspects.receiveRow(change.name, change.suspect, change.version)
    if (change.kind === 'endpoint') front.receiveEntry(change.id, change.entry)
    leaseParts.leases.receiveChange(change)
    desks.receiveChange(change)
  })
  const sources = new SourceList({
    own,
    listHosts: () => [...board.hosts.values()].map(({ row }) => row).filter(row => !row.isLeaving),
    readHostsVersion: () => board.hostsVersion
  })
  const news = new NewsTask({
    clock, log, store, relay, mirror, board, tables: listFollowedTables(settings), own, sources, seeds: settings.seedAddresses, formatRelayAddress
  })
  const peers: PeerTask = new PeerTask({
    clock,
    datagrams,
    own,
    readStoreAgeMs: () => Math.min(news.directStoreAgeMs, news.storeAgeMs),
    receiveAtDesk: (message, sender, answer) => desks.receiveMessage(message, sender, answer),
    receiveAnswer: answer => places.receiveAnswer(answer),
    receiveConfirmation: ids => places.receiveConfirmation(ids),
    receiveRenewal: (ask, sender, answer) => leaseParts.renewalPool.receive(ask, sender, answer),
    receiveRenewalReply: reply => leaseParts.renewalClient.receiveReply(reply),
    receiveSuspect: record => suspects.receiveSuspect(record)
  })
  const suspects = new SuspectTask({
    clock,
    log,
    own,
    listHosts: () => [...board.hosts.values()].map(host => host.row),
    send: (address, message) => datagrams.send(address, message),
    transact: async transaction => await leaseParts.access.transact(transaction),
    isStoreLost: () => news.isStoreLost,
    receiveCrash: crash => front.receiveCrash(crash),
    receiveRefused: fingerprint => front.refuseContent(fingerprint)
  })
  const places = new PlaceClient({ clock, datagrams, ownAddress: settings.address, deliverLocally: message => peers.deliverLocally(message) })
  const leaseParts: LeaseParts = createLeases({
    clock,
    log,
    own,
    board,
    mirror,
    news,
    sources,
    peers,
    store,
    relay,
    seeds: settings.seedAddresses,
    leaseMs: settings.leaseMs,
    formatRelayAddress,
    receiveOwnership: (endpointId, fencing, wasOwn) => desks.receiveOwnership(endpointId, fencing, wasOwn)
  })
  const signs = new EndpointSigns()
  const desks = new DeskTask({
    clock,
    log,
    host: settings.hostName,
    board,
    openOrders: endpoint => createPausedOrders(ports.openOrders(endpoint.id, endpoint.address), clock, () => signs.readPausedMs(board.endpoints.find(endpoint.id, clock.readMonotonic()) ?? endpoint, clock.readMonotonic())),
    findFencing: endpointId => leaseParts.leases.findFencing(endpointId)
  })
  const front: Front = createFront({
    settings, clock, log, board, places, suspects, signs, reportCrash: (crash, contents) => suspects.reportCrash(crash, contents)
  })
  return { board, mirror, news, places, desks, front, leaseParts, suspects }
}

/**
 * Starts a host; it says that it is ready once it knows a configuration and endpoints.
 *
 * @example
 * const host = await startHost(readHostSettings(), createSystemClock())
 */
export async function startHost (settings: HostSettings, clock: Clock, options: HostOptions = {}): Promise<RunningProcess> {
  const session = randomBytes(6).toString('hex')
  const own = { host: settings.hostName, address: settings.address, zone: settings.zone, session }
  const lines = (options.openLog ?? openEventLog)({ clock, host: settings.hostName, session })
  const metrics: HostMetrics = new HostMetrics({
    readStoreAgeMs: () => news.storeAgeMs,
    readActiveRequests: () => front.callers.active,
    readOwnedEndpoints: () => leases.ownedCount,
    readEndpoints: () => countEndpoints()
  })
  const log = createCountedLog(lines, (kind, fields) => metrics.recordEvent(kind, fields))
  const ports = { ...platformPorts, ...options.ports }
  const store = ports.createStore(settings.storeAddress, (call, verdict) => metrics.recordStoreCall(call, verdict))
  const relay = createHttpRelay()
  const datagrams = await ports.openDatagrams({ address: settings.address, port: settings.datagramPort, host: settings.hostName, session, log })
  const { board, mirror, news, places, desks, front, leaseParts, suspects } = createHostParts({ settings, clock, log, own, store, relay, datagrams, ports })
  const { leases, outage, isolation, renewalPool, renewalClient } = leaseParts
  const countEndpoints = (): number => board.endpoints.list(clock.readMonotonic()).length

  const relayServer = await startRelayServer({
    address: settings.peersAddress, clock, mirror, store, readStoreAgeMs: () => news.storeAgeMs, reachesStore: () => news.reachesStore
  })
  await front.callers.start()
  const readiness = await startReadiness(settings.readinessAddress, () => board.routes !== undefined && !isolation.isIsolated && countEndpoints() > 0)
  const metricsServer = options.metricsPort === undefined ? undefined : await startMetricsServer(`${settings.address}:${options.metricsPort}`, metrics)
  for (const task of [news, leases, outage, isolation, suspects]) task.start()
  log.record('host.started', 'The host has started.', { zone: settings.zone, address: settings.address })

  return {
    describeState: () => ({ host: own, desks: desks.describeState(), configuration: board.routes?.configuration.version, storeAgeMs: news.storeAgeMs }),
    reload: () => log.record('settings.reloaded', 'The settings file has changed; what it tells of the store and the bounds is read at the next start.', {}),
    stop: async () => {
      await drainHost({ settings, clock, log, readiness, front, leases })
      for (const task of [outage, isolation, renewalPool, renewalClient, news, places, suspects, metrics]) task.stop()
      datagrams.close()
      relayServer.close()
      await Promise.all([store.close(), relay.close()])
      metricsServer?.close()
      lines.flush()
    }
  }
}

interface DrainedParts {
  settings: HostSettings
  clock: Clock
  log: EventLog
  readiness: Readiness
  front: Front
  leases: LeaseTask
}

/** Takes no new connections, gives the endpoints up and ends what callers wait for. */
async function drainHost ({ settings, clock, log, readiness, front, leases }: DrainedParts): Promise<void> {
  const startedAtMs = clock.readMonotonic()
  log.record('host.stopping', 'The host shuts down: it takes no new connections and ends what it serves.', { active: front.callers.active })
  readiness.refuse()
  front.callers.startClosing()
  const drainMs = settings.shutdownMs - exitMarginMs - (clock.readMonotonic() - startedAtMs)
  await Promise.all([leases.leave(drainMs), front.callers.drain(quietMs, drainMs)])
  log.record('host.stopped', 'The host has ended what it served.', { active: front.callers.active })
  leases.stop()
  front.callers.close()
  readiness.close()
}

/** Renewals concern only hosts that read them from the store themselves. */
const isSameNews: IsSameNews = (table, key, before, after) => table === renewalsTable || isSameEndpointNews(table, key, before, after)

/** Every host has its relay on the same port. */
function createRelayAddresses (ownAddress: string): (address: string) => string {
  const port = ownAddress.split(':')[1]!
  return address => `${address}:${port}`
}
