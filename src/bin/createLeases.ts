/** Wires the leases of a host: its access to the store, its watch for outages and its claims. */
import type { NewsBoard } from '../core/newsBoard.js'
import type { RowMirror } from '../core/rowMirror.js'
import type { Clock } from '../ports/clock.js'
import type { EventLog } from '../ports/eventLog.js'
import type { Relay } from '../ports/relay.js'
import type { Store } from '../ports/store.js'
import { renewalsTable } from '../schemas/hostRows.js'
import type { HostRow } from '../schemas/hostRows.js'
import type { SourceList } from '../core/newsSource.js'
import { PairHashes } from '../core/rendezvousHash.js'
import { LeaseTask } from '../tasks/leases/leaseTask.js'
import type { LeaseTaskOptions } from '../tasks/leases/leaseTask.js'
import { RenewalClient } from '../tasks/leases/renewalClient.js'
import { RenewalPool } from '../tasks/leases/renewalPool.js'
import { OutageWatch } from '../tasks/leases/outageWatch.js'
import { StoreAccess } from '../tasks/leases/storeAccess.js'
import type { NewsTask } from '../tasks/news/newsTask.js'
import { IsolationWatch } from '../tasks/peers/isolationWatch.js'
import type { PeerTask } from '../tasks/peers/peerTask.js'

export interface LeasePartsOptions {
  clock: Clock
  log: EventLog
  own: LeaseTaskOptions['own']
  leaseMs: number
  board: NewsBoard
  mirror: RowMirror
  news: NewsTask
  sources: SourceList
  peers: PeerTask
  store: Store
  relay: Relay
  /** Relays' addresses that may answer before any host is known. */
  seeds: readonly string[]
  /** Makes the relay's address of a host from its IP number. */
  formatRelayAddress: (address: string) => string
  receiveOwnership: LeaseTaskOptions['receiveOwnership']
}

export interface LeaseParts {
  access: StoreAccess
  isolation: IsolationWatch
  leases: LeaseTask
  outage: OutageWatch
  renewalPool: RenewalPool
  renewalClient: RenewalClient
}

export function createLeases (options: LeasePartsOptions): LeaseParts {
  const { clock, log, own, leaseMs, board, mirror, news, sources, peers, store, relay, seeds, formatRelayAddress } = options
  const hashes = new PairHashes()
  const ownRelay = formatRelayAddress(own.address)
  const listPeers = (): HostRow[] => [...board.hosts.values()].map(host => host.row).filter(row => row.host !== own.host)
  const access = new StoreAccess({
    clock,
    log,
    transact: async transaction => await store.transact(transaction),
    transactByPeer: async (address, transaction) => await relay.transact(address, transaction),
    listPeers: () => {
      const known = listPeers().map(row => formatRelayAddress(row.address))
      return shuffle(known.length > 0 ? known : seeds.filter(address => address !== ownRelay))
    },
    receiveStoreAnswer: () => news.recordStoreAnswer()
  })
  const renewalPool = new RenewalPool({
    clock, transact: async transaction => await store.transact(transaction), reachesStore: () => news.reachesStore
  })
  const renewalClient = new RenewalClient({
    clock,
    findGatherer: () => sources.read().gathererAddress,
    send: (address, ask) => peers.sendRenewal(address, ask)
  })
  const outage: OutageWatch = new OutageWatch({
    clock,
    // Renewals go through another host, and so do the news of most hosts: both tell of the store as well as an answer of its own.
    readStoreAgeMs: () => Math.min(news.directStoreAgeMs, news.storeAgeMs, leases.provenAgeMs),
    listPeers,
    askStoreAge: async address => (await peers.askHost(address))?.storeAgeMs,
    isNeeded: () => leases.ownedCount > 0
  })
  const isolation: IsolationWatch = new IsolationWatch({
    clock,
    log,
    // News come over connections of their own, so that in calm times no question is needed.
    readHeardAtMs: () => Math.max(peers.heardAtMs, news.peerAnsweredAtMs),
    readOthersRenewedAtMs: () => news.readsStore ? leases.othersRenewedAtMs : -Infinity,
    listPeers,
    ask: address => { peers.askHost(address) },
    random: Math.random
  })
  const leases = new LeaseTask({
    clock,
    log,
    board,
    own,
    leaseMs,
    readsStore: () => news.readsStore,
    hashPair: (endpointId, host) => hashes.compute(endpointId, host),
    isIsolated: () => isolation.isIsolated,
    isRunning: async row => (await peers.askHost(row.address))?.session === row.session,
    transact: async transaction => await access.transact(transaction),
    renewTogether: async (renewal, version) => await renewalClient.renew(renewal, version),
    readRenewals: () => {
      store.readTable(renewalsTable)
        .then(({ rows, version }) => mirror.applyTable(renewalsTable, rows, version))
        .catch((error: Error) => log.record('news.storeFailed', 'The renewals could not be read; the next renewal tells.', { error: error.message }))
    },
    findRenewalVersion: host => mirror.findRow(renewalsTable, host)?.version,
    applyRow: row => mirror.applyOwnRow(row),
    isOutage: () => outage.isOutage(),
    receiveOwnership: options.receiveOwnership
  })
  return { access, leases, outage, isolation, renewalPool, renewalClient }
}

/** A new order each time, so that no peer gets all the questions. */
function shuffle<T> (values: T[]): T[] {
  return values.map(value => ({ value, rank: Math.random() })).sort((left, right) => left.rank - right.rank).map(({ value }) => value)
}
