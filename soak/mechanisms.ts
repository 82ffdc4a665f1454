/** Mechanisms of a host that the soak can switch off, to show that its checks notice. */
import { createEngineOrders } from '../src/platform/engineOrders.js'
import { createStoreClient } from '../src/platform/storeClient.js'
import { decodePlatformRow } from '../src/platform/decodePlatformRow.js'
import { openUdpDatagrams } from '../src/adapters/datagrams/udpDatagrams.js'
import type { HostPorts } from '../src/bin/startHost.js'
import type { DecodeUpdate } from '../src/core/clusterView.js'
import type { Clock } from '../src/ports/clock.js'
import { parseHostsKey } from '../src/schemas/hostRows.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'
import type { EndpointEntry, Route } from '../src/schemas/routing.js'
import type { ChangeKind, FaultKind } from './soakPlan.js'
import type { PromiseName } from './checkSoak.js'

export interface SwitchedOff {
  /** What the checks say without it. */
  promise: PromiseName
  /** Events under which it matters. */
  kinds: readonly (FaultKind | ChangeKind)[]
  ports?: Partial<HostPorts>
  changeSettings?: (settings: HostSettings) => HostSettings
  changeClock?: (clock: Clock) => Clock
  /** Whether SIGTERM ends the process at once. */
  endsAtOnce?: boolean
}

export const mechanisms: Readonly<Record<string, SwitchedOff>> = Object.freeze({
  /** Rows are written only where they are as they were read. */
  storeConditions: {
    promise: 'oneHolder',
    kinds: ['hostPause', 'hostKill', 'hostStop', 'storeLinkSilent'],
    ports: {
      createStore: (address, receiveCall) => {
        const store = createStoreClient(address, receiveCall)
        return { ...store, transact: async transaction => await store.transact({ ...transaction, checks: [] }) }
      }
    }
  },
  /** Orders name how many the engine must have accepted before. */
  orderCounts: {
    promise: 'slotsKept',
    kinds: ['lateOrders', 'endpointLinkDelayed', 'endpointLinkCutDown', 'endpointLinkSilent', 'burst'],
    ports: {
      openOrders: (id, address) => {
        const orders = createEngineOrders(id, address)
        return { ...orders, send: async (order, holder, timeoutMs) => await orders.send({ ...order, expectedCount: undefined }, holder, timeoutMs) }
      }
    }
  },
  /** A host that stood still gives no orders before it has renewed its lease. */
  pauseNotice: { promise: 'oneHolder', kinds: ['hostPause', 'burst'], changeClock: createPauselessClock },
  /** All hosts together repeat a part of the requests. */
  repeatBudget: {
    promise: 'repeatsBounded',
    kinds: ['allEndpointsFail', 'burst'],
    changeSettings: settings => ({ ...settings, retryShare: 10, retryExtra: 1_000_000 })
  },
  /** Requests that may run once are not repeated. */
  runOnce: {
    promise: 'atMostOnce',
    kinds: ['endpointErrors', 'endpointCuts', 'endpointLinkReset'],
    ports: { decodeRow: changeRoutes(route => ({ ...route, kind: route.kind === 'stream' ? 'stream' : 'idempotent', isResumable: true, maxAttempts: 3 })) }
  },
  /** The time of a route ends the wait. */
  routeTimeout: {
    promise: 'answeredInTime',
    kinds: ['endpointDark', 'endpointLinkSilent', 'endpointLinkCutDown'],
    ports: { decodeRow: changeRoutes(route => ({ ...route, timeoutMs: 60_000, patienceMs: 60_000, maxGapMs: 60_000 })) }
  },
  /** Endpoints that leave get no new work. */
  drainNotice: { promise: 'drained', kinds: ['endpointLeaves'], ports: { decodeRow: changeEntries(entry => ({ ...entry, isLeaving: false })) } },
  /** New versions of adapters are loaded. */
  versionNews: { promise: 'versionInUse', kinds: ['newVersion'], ports: { decodeRow: dropNews('version', () => true) } },
  /** New configurations are taken over. */
  configurationNews: { promise: 'configurationInForce', kinds: ['newConfiguration'], ports: { decodeRow: dropNews('configuration', seen => seen > 2) } },
  /** A stop ends what runs and hands the engines over. */
  gracefulStop: { promise: 'stopCutsNothing', kinds: ['hostStop'], endsAtOnce: true },
  /** Hosts tell each other of requests that crash endpoints, directly and through the store. */
  crashReports: {
    promise: 'crashesBounded',
    kinds: ['crashingRequest'],
    ports: {
      createStore: (address, receiveCall) => {
        const store = createStoreClient(address, receiveCall)
        return { ...store, transact: async transaction => await store.transact({ ...transaction, writes: transaction.writes.filter(({ key }) => parseHostsKey(key)?.kind !== 'suspect') }) }
      },
      openDatagrams: async options => {
        const datagrams = await openUdpDatagrams(options)
        return {
          send: (address, message) => { if (message.type !== 'suspect') datagrams.send(address, message) },
          receive: receiveMessage => datagrams.receive(receiveMessage),
          close: () => datagrams.close()
        }
      }
    }
  }
})

/** Steps of the clock beyond this count as a pause. */
const pauseMs = 150

/** A clock on which a pause of the process does not show. */
function createPauselessClock (clock: Clock): Clock {
  let hiddenMs = 0
  let lastMs = clock.readMonotonic()
  const readMonotonic = (): number => {
    const nowMs = clock.readMonotonic()
    if (nowMs - lastMs > pauseMs) hiddenMs += nowMs - lastMs
    lastMs = nowMs
    return nowMs - hiddenMs
  }
  // Read often enough that only a pause makes a large step.
  setInterval(readMonotonic, pauseMs / 5).unref()
  return { readMonotonic, readWall: () => clock.readWall() - hiddenMs, setTimer: clock.setTimer }
}

function changeRoutes (changeRoute: (route: Route) => Route): DecodeUpdate {
  return (...row) => {
    const news = decodePlatformRow(...row)
    return news?.kind === 'configuration' ? { ...news, configuration: { ...news.configuration, routes: news.configuration.routes.map(changeRoute) } } : news
  }
}

function changeEntries (changeEntry: (entry: EndpointEntry) => EndpointEntry): DecodeUpdate {
  return (...row) => {
    const news = decodePlatformRow(...row)
    return news?.kind === 'endpoint' && news.entry ? { ...news, entry: changeEntry(news.entry) } : news
  }
}

/** `isDropped` is told how many rows of the kind came so far. */
function dropNews (kind: 'version' | 'configuration', isDropped: (seen: number) => boolean): DecodeUpdate {
  let seen = 0
  return (...row) => {
    const news = decodePlatformRow(...row)
    return news?.kind === kind && isDropped(++seen) ? undefined : news
  }
}
