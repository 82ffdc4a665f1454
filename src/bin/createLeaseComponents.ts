/** Creates the components that keep a host's leases: store access, detection of outages and isolation, and renewals. */
import type { ClusterView } from '../core/clusterView.js'
import type { RowMirror } from '../core/rowMirror.js'
import type { StoreEra } from '../core/storeEra.js'
import type { Clock } from '../ports/clock.js'
import type { EventLog } from '../ports/eventLog.js'
import type { Relay } from '../ports/relay.js'
import type { Store } from '../ports/store.js'
import { hostsTable, renewalsTable } from '../schemas/hostRows.js'
import type { HostRow } from '../schemas/hostRows.js'
import type { UpdateSourceList } from '../core/updateSources.js'
import { listStreamServices } from '../core/serviceVersions.js'
import { PairHasher } from '../core/rendezvousHash.js'
import { LeaseTask } from '../tasks/leases/leaseTask.js'
import type { LeaseTaskOptions } from '../tasks/leases/leaseTask.js'
import { RenewalClient } from '../tasks/leases/renewalClient.js'
import { RenewalCollector } from '../tasks/leases/renewalCollector.js'
import { WitnessRecord } from '../core/leaseWitnesses.js'
import type { HeldLease } from '../core/leaseWitnesses.js'
import { LeaseExpiry } from '../tasks/leases/leaseExpiry.js'
import { OutageWitnesses } from '../tasks/leases/outageWitnesses.js'
import { StoreOutageDetector } from '../tasks/leases/storeOutageDetector.js'
import { StoreAccess } from '../tasks/leases/storeAccess.js'
import type { ClusterViewTask } from '../tasks/clusterView/clusterViewTask.js'
import { IsolationMonitor } from '../tasks/peers/isolationMonitor.js'
import type { PeerTask } from '../tasks/peers/peerTask.js'

export interface LeaseComponentsOptions {
  clock: Clock
  log: EventLog
  own: LeaseTaskOptions['own']
  leaseMs: number
  clusterView: ClusterView
  mirror: RowMirror
  clusterViewTask: ClusterViewTask
  updateSources: UpdateSourceList
  peers: PeerTask
  store: Store
  eras: StoreEra
  relay: Relay
  /** Addresses of relays to use before any host is known. */
  seeds: readonly string[]
  /** Returns the relay address of the host with an IP address. */
  formatRelayAddress: (address: string) => string
  isStranded: LeaseTaskOptions['isStranded']
  /** Whether this host may grant tokens of quotas. */
  isGrantingQuotas: () => boolean
  receiveOwnership: LeaseTaskOptions['receiveOwnership']
}

export interface LeaseComponents {
  storeAccess: StoreAccess
  isolationMonitor: IsolationMonitor
  leaseTask: LeaseTask
  storeOutageDetector: StoreOutageDetector
  renewalCollector: RenewalCollector
  renewalClient: RenewalClient
  outageWitnesses: OutageWitnesses
  /** What this host answers as a witness of another host's lease; `storeAgeMs` is the time since it last knew the state of the store. */
  witness: {
    confirmOutage: (lease: HeldLease, storeAgeMs: number) => boolean
    confirmExpiry: (lease: HeldLease, storeAgeMs: number) => boolean
  }
}

/** Hosts of larger deployments do not poll all others in an outage to go on with streams: all hosts would, and N hosts send N² messages. */
const maxPolledPeers = 100

export function createLeaseComponents (options: LeaseComponentsOptions): LeaseComponents {
  const { clock, log, own, leaseMs, clusterView, mirror, clusterViewTask, updateSources, peers, store, eras, relay, seeds, formatRelayAddress } = options
  const hashes = new PairHasher()
  const ownRelayAddress = formatRelayAddress(own.address)
  const listPeers = (): HostRow[] => [...clusterView.hosts.values()].map(host => host.row).filter(row => row.host !== own.host)
  const storeAccess = new StoreAccess({
    clock,
    log,
    eras,
    transact: async transaction => await store.transact(transaction),
    transactViaPeer: async (address, transaction) => await relay.transact(address, transaction),
    listPeers: () => {
      const peerAddresses = listPeers().map(row => formatRelayAddress(row.address))
      return shuffle(peerAddresses.length > 0 ? peerAddresses : seeds.filter(address => address !== ownRelayAddress))
    },
    recordStoreResponse: () => clusterViewTask.recordStoreResponse()
  })
  const renewalCollector = new RenewalCollector({
    clock, eras, transact: async transaction => await store.transact(transaction), isStoreReachable: () => clusterViewTask.isStoreReachable
  })
  const renewalClient = new RenewalClient({
    clock,
    eras,
    findRenewalCollector: () => updateSources.getSources().renewalCollectorAddress,
    send: (address, request) => peers.sendRenewal(address, request)
  })
  // Renewals go through another host, and most hosts also get their cluster updates from another host. Both show that the store
  // is available as reliably as a direct response does.
  const getStoreAgeMs = (): number => Math.min(clusterViewTask.directStoreAgeMs, clusterViewTask.storeAgeMs, leaseTask.confirmedRenewalAgeMs)
  const storeOutageDetector: StoreOutageDetector = new StoreOutageDetector({
    clock,
    getStoreAgeMs,
    listPeers,
    requestStoreAge: async address => (await peers.pingHost(address))?.storeAgeMs,
    isNeeded: peerCount => options.isGrantingQuotas() || (peerCount <= maxPolledPeers && listStreamServices(clusterView).length > 0)
  })
  const { outageWitnesses, leaseExpiry, witness } = createWitnessComponents(options, { listPeers, getStoreAgeMs, getLeaseTask: () => leaseTask })
  const isolationMonitor: IsolationMonitor = new IsolationMonitor({
    clock,
    log,
    // Cluster updates arrive over separate connections, so no ping is needed while they arrive regularly.
    getLastPeerMessageAtMs: () => Math.max(peers.lastMessageAtMs, clusterViewTask.lastRelayResponseAtMs),
    getLastPeerRenewalAtMs: () => clusterViewTask.isReadingStore ? leaseTask.lastPeerRenewalAtMs : -Infinity,
    listPeers,
    ping: address => { peers.pingHost(address) },
    random: Math.random
  })
  const leaseTask = new LeaseTask({
    clock,
    log,
    clusterView,
    own,
    leaseMs,
    isReadingStore: () => clusterViewTask.isReadingStore,
    isUpToDate: () => !clusterViewTask.isStale,
    areOwnersKnown: () => mirror.findTableVersion(hostsTable) !== undefined,
    hashPair: (endpointId, host) => hashes.compute(endpointId, host),
    isIsolated: () => isolationMonitor.isIsolated,
    isStranded: options.isStranded,
    isRunning: async row => (await peers.pingHost(row.address))?.session === row.session,
    transact: async transaction => await storeAccess.transact(transaction),
    renewViaCollector: async (renewal, version) => await renewalClient.renew(renewal, version),
    readRenewals: () => {
      store.readTable(renewalsTable)
        .then(({ rows, version }) => mirror.replaceTable(renewalsTable, rows, version))
        .catch((error: Error) => log.record('news.storeFailed', 'The renewals could not be read; the next renewal will show whether the last one was written.', { error: error.message }))
    },
    findRenewalRow: host => mirror.findRow(renewalsTable, host),
    applyRow: row => mirror.applyLocalWrite(row),
    isOutage: () => outageWitnesses.isOutage(),
    selectWitnesses: () => outageWitnesses.select(),
    updateWitnessSessions: witnesses => outageWitnesses.updateSessions(witnesses),
    isWitnessListOutdated: (listed, ageMs) => outageWitnesses.isOutdated(listed, ageMs),
    hasLeaseExpired: async (row, renewalRow, stalledMs) => await leaseExpiry.hasExpired(row, renewalRow, stalledMs),
    receiveOwnership: options.receiveOwnership
  })
  return { storeAccess, leaseTask, storeOutageDetector, isolationMonitor, renewalCollector, renewalClient, outageWitnesses, witness }
}

interface WitnessDependencies {
  listPeers: () => HostRow[]
  getStoreAgeMs: () => number
  getLeaseTask: () => LeaseTask
}

interface WitnessComponents {
  outageWitnesses: OutageWitnesses
  leaseExpiry: LeaseExpiry
  witness: LeaseComponents['witness']
}

/** Creates what this host needs as an owner with witnesses, as a host that takes endpoints over, and as a witness of others. */
function createWitnessComponents ({ clock, log, own, clusterView, clusterViewTask, peers }: LeaseComponentsOptions, { listPeers, getStoreAgeMs, getLeaseTask }: WitnessDependencies): WitnessComponents {
  const record = new WitnessRecord(clock.readMonotonic())
  const witness: LeaseComponents['witness'] = {
    confirmOutage: (lease, storeAgeMs) => record.confirmOutage(lease, storeAgeMs, clock.readMonotonic()),
    confirmExpiry: (lease, storeAgeMs) => record.confirmExpiry(lease, storeAgeMs, clock.readMonotonic())
  }
  const outageWitnesses = new OutageWitnesses({
    clock,
    log,
    own,
    listHosts: listPeers,
    getHostsVersion: () => clusterView.hostsVersion,
    listPossibleWitnesses: () => getLeaseTask().listPossibleWitnesses(),
    getConfirmedRenewal: () => getLeaseTask().confirmedRenewal,
    getStoreAgeMs,
    askHost: async (address, renewal) => await peers.pingHost(address, renewal === undefined ? {} : { outage: { renewal } }),
    isNeeded: () => getLeaseTask().ownedEndpointCount > 0
  })
  const leaseExpiry = new LeaseExpiry({
    log,
    own,
    clusterView,
    requestConfirmation: async (address, expiry) => (await peers.pingHost(address, { expiry }))?.confirmsExpiry ?? false,
    confirmExpiry: lease => witness.confirmExpiry(lease, Math.min(clusterViewTask.directStoreAgeMs, clusterViewTask.storeAgeMs))
  })
  return { outageWitnesses, leaseExpiry, witness }
}

/** Returns the values in a random order, so that requests are spread over the peers. */
function shuffle<T> (values: T[]): T[] {
  return values.map(value => ({ value, rank: Math.random() })).sort((left, right) => left.rank - right.rank).map(({ value }) => value)
}
