/** Starts one host on the users' platform: cluster view, leases, engine allocation and the request proxy. */
import { randomBytes } from 'node:crypto'
import { openUdpDatagrams } from '../adapters/datagrams/udpDatagrams.js'
import { openEventLog } from '../adapters/eventLog/pinoEventLog.js'
import type { OpenEventLog } from '../adapters/eventLog/pinoEventLog.js'
import { openPort } from '../adapters/tcp/openPort.js'
import { createHttpRelay } from '../adapters/relay/httpRelay.js'
import { ClusterView } from '../core/clusterView.js'
import type { ClusterViewChange, DecodeUpdate } from '../core/clusterView.js'
import { UpdateSourceList } from '../core/updateSources.js'
import { RowMirror } from '../core/rowMirror.js'
import { StoreEra } from '../core/storeEra.js'
import type { IsEquivalentValue } from '../core/rowMirror.js'
import { decodePlatformRow, endpointsTable, isEquivalentEndpointValue, operatorsTable } from '../platform/decodePlatformRow.js'
import { createEngineOrders } from '../platform/engineOrders.js'
import { createStoreClient } from '../platform/storeClient.js'
import type { Clock } from '../ports/clock.js'
import type { Datagrams } from '../ports/datagrams.js'
import type { EventLog } from '../ports/eventLog.js'
import type { Relay } from '../ports/relay.js'
import type { Store, StoreOutcome, StoreTransaction } from '../ports/store.js'
import type { HttpServerLimits } from '../adapters/httpServer/httpServer.js'
import type { HostSettings } from '../schemas/hostSettings.js'
import { renewalsTable } from '../schemas/hostRows.js'
import { createPausableOrders } from '../tasks/allocation/pausableOrders.js'
import { AllocationTask } from '../tasks/allocation/allocationTask.js'
import type { RecordDispatch } from '../tasks/allocation/dispatchEndpoint.js'
import { createCountingLog, HostMetrics } from '../tasks/hostMetrics/hostMetrics.js'
import { startMetricsServer } from '../tasks/hostMetrics/metricsServer.js'
import { ReservationClient } from '../tasks/proxy/reservationClient.js'
import type { QuotaMeter } from '../tasks/quota/quotaClient.js'
import type { QuotaTask } from '../tasks/quota/quotaTask.js'
import type { LeaseTask } from '../tasks/leases/leaseTask.js'
import { logClusterViewChange } from '../tasks/clusterView/logClusterViewChange.js'
import { ClusterViewTask } from '../tasks/clusterView/clusterViewTask.js'
import { createEraCheckedRelay, createEraCheckedStore } from '../tasks/clusterView/eraChecks.js'
import { computeUpdateSchedule } from '../tasks/clusterView/watchedTables.js'
import { endRelay, startRelayServer } from '../tasks/clusterView/relayServer.js'
import { PeerTask } from '../tasks/peers/peerTask.js'
import { createSuspectTasks } from './createSuspectTasks.js'
import type { SuspectTasks } from './createSuspectTasks.js'
import { createNoticeComponents } from './createNoticeComponents.js'
import type { NoticeComponents } from './createNoticeComponents.js'
import { createRequestProxy } from './createRequestProxy.js'
import { createQuotaTask } from './createQuotaTask.js'
import { createStreamTasks } from './createStreamTasks.js'
import type { StreamTasks } from './createStreamTasks.js'
import type { RequestProxy } from './createRequestProxy.js'
import { createLeaseComponents } from './createLeaseComponents.js'
import type { LeaseComponents, LeaseComponentsOptions } from './createLeaseComponents.js'
import type { RunningProcess } from './processExit.js'
import { startReadinessServer } from './startReadinessServer.js'
import type { ReadinessServer } from './startReadinessServer.js'

/** Time until the platform routes no new connections to this host: two readiness checks a second apart, and their responses. */
const readinessPropagationMs = 2700
/** Time reserved between the end of draining and SIGKILL, in which the process exits. */
const exitMarginMs = 700

/** A process that ends, or a connection for which the system drew one of the ports, has freed it after this time. */
const maxPortWaitMs = 60_000

/** The adapters through which a host reaches the store, the engines and its peers. */
export interface HostPorts {
  createStore: typeof createStoreClient
  createRelay: typeof createHttpRelay
  openOrders: typeof createEngineOrders
  openDatagrams: typeof openUdpDatagrams
  decodeRow: DecodeUpdate
}

const platformPorts: HostPorts = Object.freeze({ createStore: createStoreClient, createRelay: createHttpRelay, openOrders: createEngineOrders, openDatagrams: openUdpDatagrams, decodeRow: decodePlatformRow })

export interface HostOptions {
  openLog?: OpenEventLog
  /** Ports that replace those of the platform, so that tests can show what fails without a mechanism. */
  ports?: Partial<HostPorts>
  /** Port of the host's address on which metrics are served; without it, none are served. */
  metricsPort?: number
  /** Ends a start that still waits for a port. */
  stopSignal?: AbortSignal
}

interface HostComponents {
  clusterView: ClusterView
  mirror: RowMirror
  clusterViewTask: ClusterViewTask
  reservations: ReservationClient
  allocationTask: AllocationTask
  requestProxy: RequestProxy
  leaseComponents: LeaseComponents
  suspectTasks: SuspectTasks
  streamTasks: StreamTasks
  /** Undefined if the settings set no bounds for quotas. */
  quotas: QuotaTask | undefined
}

interface HostComponentsOptions {
  settings: HostSettings
  clock: Clock
  log: EventLog
  own: LeaseComponentsOptions['own']
  store: Store
  eras: StoreEra
  relay: Relay
  datagrams: Datagrams
  ports: Pick<HostPorts, 'openOrders' | 'decodeRow'>
  meter: QuotaMeter
  recordDispatch: RecordDispatch
}

/** Creates the components of a host and connects them to each other; nothing is started yet. */
function createHostComponents ({ settings, clock, log, own, store, eras, relay, datagrams, ports, meter, recordDispatch }: HostComponentsOptions): HostComponents {
  const formatRelayAddress = createRelayAddressFormatter(settings.peersAddress)
  const clusterView = new ClusterView(ports.decodeRow, settings.heartbeatMs, eras)
  const receiveViewChange = (change: ClusterViewChange): void => {
    logClusterViewChange(log, change, () => ({ source: clusterViewTask.updateSource, tableAgesMs: clusterViewTask.listTableAges() }))
    dispatchChange(change, { requestProxy, reservations, suspectTasks, leaseComponents, allocationTask, streamTasks, quotas })
  }
  const mirror = createMirror({ clock, log, own, clusterView, receiveViewChange })
  const updateSources = createUpdateSources(own, clusterView)
  const clusterViewTask: ClusterViewTask = new ClusterViewTask({
    clock, log, store, eras, relay, mirror, clusterView, receiveViewChange, ...computeUpdateSchedule({ operatorsTable, endpointsTable }, settings), own, sources: updateSources, seeds: settings.seedAddresses, formatRelayAddress
  })
  const context = { clock, log, own, clusterView, store }
  const transact = async (transaction: StoreTransaction): Promise<StoreOutcome> => await leaseComponents.storeAccess.transact(transaction)
  const isStoreUnavailable = (): boolean => clusterViewTask.isStale
  const peers: PeerTask = createPeerTask({ clock, datagrams, own }, () => receivers)
  const suspectTasks = createSuspectTasks({
    ...context,
    listHosts: () => [...clusterView.hosts.values()].map(host => host.row),
    send: (address, message) => datagrams.send(address, message),
    transact,
    isStoreUnavailable,
    random: Math.random,
    receiveCrash: crash => requestProxy.receiveCrash(crash),
    receiveRefused: fingerprint => requestProxy.refuse(fingerprint)
  })
  const noticeComponents = createNoticeComponents({
    ...context, datagrams, getReservations: () => reservations, receiveLimitChange: endpointId => allocationTask.receiveLimitChange(endpointId)
  })
  const reservations = new ReservationClient({ clock, datagrams, ownAddress: settings.address, findLimitStatement: noticeComponents.findLimitStatement, deliverLocally: message => peers.deliverLocally(message) })
  const leaseComponents: LeaseComponents = createLeaseComponents({
    ...context,
    mirror,
    clusterViewTask,
    updateSources,
    peers,
    eras,
    relay,
    seeds: settings.seedAddresses,
    leaseMs: settings.leaseMs,
    formatRelayAddress,
    isStranded: () => requestProxy.reachability.isHostStranded,
    isGrantingQuotas: () => quotas?.isGranting ?? false,
    receiveOwnership: (endpointId, fencing, wasOwn) => allocationTask.receiveOwnership(endpointId, fencing, wasOwn)
  })
  const allocationTask = new AllocationTask({
    ...context,
    host: settings.hostName,
    recordDispatch,
    openOrders: endpoint => createPausableOrders(ports.openOrders(endpoint.id, endpoint.address), clock, () => noticeComponents.getRemainingPauseMs(endpoint)),
    findRate: noticeComponents.findRate,
    findFencingToken: endpointId => leaseComponents.leaseTask.findFencingToken(endpointId)
  })
  const streamTasks = createStreamTasks({
    ...context,
    transact,
    isStoreUnavailable,
    applyRow: row => mirror.applyLocalWrite(row),
    send: (address, message) => datagrams.send(address, message),
    getViewAgeMs: () => clusterViewTask.storeAgeMs,
    hadNothingSince: (host, sinceMs, withinMs) => leaseComponents.storeOutageDetector.hadNothingSince(host, sinceMs, withinMs),
    pingHost: async (address, question) => await peers.pingHost(address, question),
    heartbeatMs: settings.heartbeatMs
  })
  const quotas: QuotaTask | undefined = createQuotaTask({
    ...context, bounds: settings.quotaBounds, getTableAgeMs: table => clusterViewTask.listTableAges()[table] ?? Infinity, getOutageShare: () => leaseComponents.storeOutageDetector.findOutageShare(), send: (address, message) => datagrams.send(address, message), meter
  })
  const requestProxy: RequestProxy = createRequestProxy({ quotas, own, isHostRunning: async address => await peers.pingHost(address) !== undefined, settings, clock, log, clusterView, reservations, suspects: suspectTasks.checks, noticeComponents, streamOrigins: streamTasks.origins, reportCrash: suspectTasks.reportCrash })
  const receivers: MessageReceivers = { clusterViewTask, reservations, allocationTask, leaseComponents, suspectTasks, streamTasks, quotas, noticeComponents }
  return { clusterView, mirror, clusterViewTask, reservations, allocationTask, requestProxy, leaseComponents, suspectTasks, streamTasks, quotas }
}

type MessageReceivers = Pick<HostComponents, 'clusterViewTask' | 'reservations' | 'allocationTask' | 'leaseComponents' | 'suspectTasks' | 'streamTasks' | 'quotas'> & { noticeComponents: NoticeComponents }

/** Creates the task that passes messages of other hosts to the components, which are created after it. */
function createPeerTask ({ clock, datagrams, own }: Pick<HostComponentsOptions, 'clock' | 'datagrams' | 'own'>, getReceivers: () => MessageReceivers): PeerTask {
  return new PeerTask({
    clock,
    datagrams,
    own,
    confirmOutage: (lease, storeAgeMs) => getReceivers().leaseComponents.witness.confirmOutage(lease, storeAgeMs),
    confirmExpiry: (lease, storeAgeMs) => getReceivers().leaseComponents.witness.confirmExpiry(lease, storeAgeMs),
    listServiceVersions: service => getReceivers().streamTasks.origins.listKnownVersions(service),
    getStoreAgeMs: () => Math.min(getReceivers().clusterViewTask.directStoreAgeMs, getReceivers().clusterViewTask.storeAgeMs),
    getViewAgeMs: () => getReceivers().clusterViewTask.storeAgeMs,
    receiveAllocationMessage: (message, sender, reply) => getReceivers().allocationTask.receiveMessage(message, sender, reply),
    receiveReservationReply: reply => getReceivers().reservations.receiveReply(reply),
    receiveReleaseConfirmation: ids => getReceivers().reservations.receiveConfirmation(ids),
    receiveRenewal: (request, sender, reply) => getReceivers().leaseComponents.renewalCollector.handleRequest(request, sender, reply),
    receiveRenewalReply: reply => getReceivers().leaseComponents.renewalClient.receiveReply(reply),
    receiveSuspectMessage: message => getReceivers().suspectTasks.receiveMessage(message),
    receiveStreamRecords: (records, reply) => getReceivers().streamTasks.receiveRecords(records, reply),
    receiveStreamsSaved: saved => getReceivers().streamTasks.receiveSaved(saved),
    receiveQuotaMessage: (message, sender) => getReceivers().quotas?.receiveMessage(message, sender),
    receiveLimitStatement: (endpointId, statement) => getReceivers().noticeComponents.noticeTask.receiveLimitStatement(endpointId, statement)
  })
}

function createUpdateSources (own: HostComponentsOptions['own'], clusterView: ClusterView): UpdateSourceList {
  return new UpdateSourceList({
    own,
    listHosts: () => [...clusterView.hosts.values()].map(({ row }) => row).filter(row => !row.isLeaving),
    getHostsVersion: () => clusterView.hostsVersion
  })
}

interface MirrorOptions extends Pick<HostComponentsOptions, 'clock' | 'log' | 'own'> {
  clusterView: ClusterView
  receiveViewChange: (change: ClusterViewChange) => void
}

function createMirror ({ clock, log, own, clusterView, receiveViewChange }: MirrorOptions): RowMirror {
  return new RowMirror(own.session, isEquivalentValue, (row, _previous, mayBeRestored) => {
    const change = clusterView.applyRow(row, clock.readMonotonic(), mayBeRestored)
    if (change) receiveViewChange(change)
  }, ({ table, key }, error) => log.record('news.rowFailed', 'A row could not be applied; the rows beside it are.', { table, key, error: error.message }))
}

/** Has the components take what they know by versions of the store for outdated. */
function beginEra ({ leaseComponents, clusterView, mirror, streamTasks }: Pick<HostComponents, 'leaseComponents' | 'clusterView' | 'mirror' | 'streamTasks'>, nowMs: number): void {
  leaseComponents.leaseTask.beginEra()
  clusterView.beginEra(nowMs)
  mirror.beginEra()
  streamTasks.beginEra()
}

/** Passes a change of the cluster view to the components that it concerns. */
function dispatchChange (
  change: ClusterViewChange,
  { requestProxy, reservations, suspectTasks, leaseComponents, allocationTask, streamTasks, quotas }: Pick<HostComponents, 'requestProxy' | 'reservations' | 'suspectTasks' | 'leaseComponents' | 'allocationTask' | 'streamTasks' | 'quotas'>
): void {
  if (change.kind === 'configuration') requestProxy.applyConfiguration()
  if (change.kind === 'configuration') quotas?.applyAccounts()
  if (change.kind === 'host') quotas?.applyHosts()
  if (change.kind === 'owner') reservations.receiveOwnerChange(change.endpointId, change.owner?.row.address ?? '')
  if (change.kind === 'suspect') suspectTasks.applyChange(change)
  if (change.kind === 'endpoint') requestProxy.receiveEntry(change.id, change.entry)
  leaseComponents.leaseTask.receiveChange(change)
  allocationTask.receiveChange(change)
  streamTasks.applyChange(change)
}

/** Fraction of the memory limit that requests of other hosts to the relay, and responses to them, may use. */
const relayMemoryFraction = 0.1
/** Fraction of the descriptors for connections of other hosts to the relay. */
const relayDescriptorFraction = 0.2

/**
 * Starts a host. It reports that it is ready once it has a configuration and at least one endpoint, unless it is isolated.
 *
 * @example
 * const host = await startHost(readHostSettings(), createSystemClock())
 */
export async function startHost (settings: HostSettings, clock: Clock, options: HostOptions = {}): Promise<RunningProcess> {
  const session = randomBytes(6).toString('hex')
  const own = { host: settings.hostName, address: settings.address, zone: settings.zone, session, ...(settings.processorShare !== undefined && { processorShare: settings.processorShare }) }
  const eventLog = (options.openLog ?? openEventLog)({ clock, host: settings.hostName, session })
  const metrics: HostMetrics = new HostMetrics({
    getStoreAgeMs: () => clusterViewTask.storeAgeMs,
    listTableAges: () => clusterViewTask.listTableAges(),
    getActiveRequestCount: () => requestProxy.callerListener.activeRequestCount + requestProxy.forwardingListener.activeRequestCount,
    getHeldBodyBytes: () => requestProxy.callerListener.heldBytes,
    getWaitingRequestBytes: () => requestProxy.budget.heldBytes,
    getCallerConnectionCount: () => requestProxy.budget.connectionCount,
    getOwnedEndpointCount: () => leaseTask.ownedEndpointCount,
    getKnownEndpointCount: () => countEndpoints(),
    listQuotaReplyAges: () => quotas?.listReplyAges() ?? {}
  })
  const log = createCountingLog(eventLog, (kind, fields) => metrics.recordEvent(kind, fields))
  const ports = { ...platformPorts, ...options.ports }
  const eras = new StoreEra()
  const store = createEraCheckedStore(ports.createStore(settings.storeAddress, (call, verdict) => metrics.recordStoreCall(call, verdict)), eras)
  const relay = createEraCheckedRelay(ports.createRelay(), eras)
  const { stopSignal = new AbortController().signal } = options
  const startedAtMs = clock.readMonotonic()
  const open = async <Opened>(name: string, address: string, openOnce: () => Promise<Opened>): Promise<Opened> =>
    await openPort(openOnce, { name, address, clock, log, signal: stopSignal, maxWaitMs: maxPortWaitMs - (clock.readMonotonic() - startedAtMs) })
  const messagesAddress = `${settings.address}:${settings.datagramPort}`
  const datagrams = await open('messages between hosts', messagesAddress, async () => await ports.openDatagrams({ address: settings.address, port: settings.datagramPort, host: settings.hostName, session, log }))
  const { clusterView, mirror, clusterViewTask, reservations, allocationTask, requestProxy, leaseComponents, suspectTasks, streamTasks, quotas } = createHostComponents({ settings, clock, log, own, store, eras, relay, datagrams, ports, meter: metrics, recordDispatch: (decision, waitedMs) => metrics.recordDispatch(decision, waitedMs) })
  const { leaseTask, storeOutageDetector, outageWitnesses, isolationMonitor, renewalCollector, renewalClient } = leaseComponents
  eras.onNewEra((era, previous) => {
    log.record('store.restored', 'The store was restored from a copy, which lacks its last writes; all tables are read again.', { era, previous })
    beginEra({ leaseComponents, clusterView, mirror, streamTasks }, clock.readMonotonic())
  })
  const countEndpoints = (): number => clusterView.endpoints.list(clock.readMonotonic()).length

  const relayServer = await open('peers', settings.peersAddress, async () => await startRelayServer({
    address: settings.peersAddress, clock, mirror, store, eras, getStoreAgeMs: () => clusterViewTask.storeAgeMs, listTableAges: () => clusterViewTask.listTableAges(), isStoreReachable: () => clusterViewTask.isStoreReachable, limits: createRelayLimits(settings, log)
  }))
  await open('callers', settings.callersAddress, async () => await requestProxy.callerListener.start())
  await open('requests of other hosts', messagesAddress, async () => await requestProxy.forwardingListener.start())
  const readinessServer = await open('readiness', settings.readinessAddress, async () => await startReadinessServer(settings.readinessAddress, () => clusterView.routes !== undefined && !isolationMonitor.isIsolated && countEndpoints() > 0))
  const metricsAddress = `${settings.address}:${options.metricsPort}`
  const metricsServer = options.metricsPort === undefined ? undefined : await open('metrics', metricsAddress, async () => await startMetricsServer(metricsAddress, metrics))
  for (const task of [requestProxy.standstill, clusterViewTask, leaseTask, storeOutageDetector, outageWitnesses, isolationMonitor, requestProxy.reachability, requestProxy.forwarder, suspectTasks, streamTasks]) task.start()
  log.record('host.started', 'The host has started.', { zone: settings.zone, address: settings.address })

  return {
    describeState: () => ({ host: own, desks: allocationTask.describeState(), configuration: clusterView.routes?.configuration.version, storeAgeMs: clusterViewTask.storeAgeMs }),
    maxStopMs: settings.shutdownMs,
    reportUncaught: ({ message, stack, origin }) => {
      log.record('process.failed', 'An error that nothing caught; the process stops because of it.', { error: message, stack, origin })
      eventLog.flush().catch(() => {})
    },
    reload: () => log.record('settings.reloaded', 'The settings file has changed; its store settings and bounds take effect at the next start.', {}),
    stop: async () => {
      await drainHost({ settings, clock, log, readinessServer, requestProxy, leaseTask })
      for (const task of [requestProxy.standstill, storeOutageDetector, outageWitnesses, isolationMonitor, requestProxy.reachability, renewalCollector, renewalClient, clusterViewTask, reservations, suspectTasks, streamTasks, metrics]) task.stop()
      quotas?.stop()
      datagrams.close()
      await endRelay(relayServer)
      await Promise.all([store.close(), relay.close()])
      metricsServer?.close()
      await eventLog.flush()
    }
  }
}

interface DrainHostOptions {
  settings: HostSettings
  clock: Clock
  log: EventLog
  readinessServer: ReadinessServer
  requestProxy: RequestProxy
  leaseTask: LeaseTask
}

/** Reports that the host is not ready, releases its endpoints and waits for running requests, within the shutdown time. */
async function drainHost ({ settings, clock, log, readinessServer, requestProxy, leaseTask }: DrainHostOptions): Promise<void> {
  const startedAtMs = clock.readMonotonic()
  log.record('host.stopping', 'The host is shutting down: it reports that it is not ready and completes its running requests.', { active: requestProxy.callerListener.activeRequestCount })
  readinessServer.setNotReady()
  requestProxy.callerListener.disableKeepAlive()
  requestProxy.forwardingListener.disableKeepAlive()
  const drainMs = settings.shutdownMs - exitMarginMs - (clock.readMonotonic() - startedAtMs)
  requestProxy.shutdown.begin(clock.readMonotonic() + drainMs)
  // A call to a store that does not respond would last beyond the time that is left.
  const released = Promise.race([leaseTask.releaseForShutdown(drainMs), new Promise<void>(resolve => { clock.setTimer(resolve, drainMs) })])
  await Promise.all([released, requestProxy.callerListener.drain(readinessPropagationMs, drainMs), requestProxy.forwardingListener.drain(readinessPropagationMs, drainMs)])
  log.record('host.stopped', 'The host has stopped serving requests.', { active: requestProxy.callerListener.activeRequestCount })
  leaseTask.stop()
  await Promise.all([requestProxy.callerListener.stop(), requestProxy.forwardingListener.stop()])
  requestProxy.callerListener.close()
  requestProxy.forwardingListener.close()
  requestProxy.forwarder.stop()
  readinessServer.close()
}

/** Limits on what other hosts' connections to the relay hold, from the limits of the process. */
function createRelayLimits ({ memoryMb, maxDescriptors }: HostSettings, log: EventLog): HttpServerLimits {
  return {
    maxHeldBytes: memoryMb * 1024 * 1024 * relayMemoryFraction,
    maxConnections: Math.floor(maxDescriptors * relayDescriptorFraction),
    receiveClosed: reason => log.record('relay.limited', 'Closed a connection to the relay, as all of them together have reached a limit, or as too many requests were sent ahead on it.', { reason })
  }
}

/** Treats renewals as unchanged, because only hosts that read them from the store themselves need them. */
const isEquivalentValue: IsEquivalentValue = (table, key, previous, current) => table === renewalsTable || isEquivalentEndpointValue(table, key, previous, current)

/** Returns a function that formats relay addresses; every host serves its relay on the same port. */
function createRelayAddressFormatter (ownAddress: string): (address: string) => string {
  const port = ownAddress.split(':')[1]!
  return address => `${address}:${port}`
}
