/** Starts the stand-ins for the platform, engines and services in this process. */
import { randomUUID } from 'node:crypto'
import xxhash from 'xxhash-wasm'
import { createSystemClock } from '../adapters/clock/systemClock.js'
import { createFaultyPlatform } from '../adapters/memoryPlatform/faultyPlatform.js'
import type { Platform } from '../adapters/httpPlatform/httpPlatform.js'
import { MemoryHostList } from '../adapters/memoryPlatform/memoryHostList.js'
import { MemoryObjectStore } from '../adapters/memoryPlatform/memoryObjectStore.js'
import { MemoryTable } from '../adapters/memoryPlatform/memoryTable.js'
import { createPlatformFaults } from '../adapters/memoryPlatform/platformFaults.js'
import type { PlatformFaults } from '../adapters/memoryPlatform/platformFaults.js'
import type { Clock } from '../ports/clock.js'
import type { HostListEntry } from '../schemas/hostList.js'
import type { StandinSettings } from '../settings/settingsSchemas.js'
import { startStandinEngine } from '../standin/engineServer.js'
import type { StandinEngine } from '../standin/engineServer.js'
import { PrefixCache } from '../standin/prefixCache.js'
import { startStandinService } from '../standin/serviceServer.js'
import type { StandinService } from '../standin/serviceServer.js'
import { WeightStore } from '../standin/weightStore.js'

type Presence = HostListEntry['presence']

export interface RunningStandins {
  platform: Platform
  /** Faults that the platform simulates; each can be switched on or off at any time. */
  platformFaults: PlatformFaults
  engines: StandinEngine[]
  services: StandinService[]
  store: WeightStore
  stop: () => Promise<void>
}

/** Starts the platform, engines and services and adds the engines and services to the host list. */
export async function startStandins (settings: StandinSettings): Promise<RunningStandins> {
  const clock = createSystemClock()
  const hostList = new MemoryHostList(clock, settings.platform.listLagMs)
  const store = new WeightStore({ clock, ...settings.store })
  const engines: StandinEngine[] = []
  for (let index = 0; index < settings.engines.count; index++) engines.push(await startEngine(settings, index, store, hostList))
  const services: StandinService[] = []
  for (let index = 0; index < settings.services.count; index++) services.push(await startService(settings, index, hostList))
  const { writesPerSecond, readsPerSecond } = settings.platform
  const platformFaults = createPlatformFaults({ writesPerSecond, readsPerSecond })
  const platform = {
    ...createFaultyPlatform({ clock, faults: platformFaults, table: new MemoryTable(), objects: new MemoryObjectStore(), hostList }),
    close: async () => {}
  }
  const stop = async (): Promise<void> => {
    await Promise.all([...engines, ...services].map(async server => await server.stop()))
  }
  return { platform, platformFaults, engines, services, store, stop }
}

async function startEngine (
  settings: StandinSettings, index: number, store: WeightStore, hostList: MemoryHostList
): Promise<StandinEngine> {
  const { baseModel, firstPort, zones, fencing, reportLagMs, preemptionGap, ...engineOptions } = settings.engines
  const clock = createSystemClock()
  const { h64ToString } = await xxhash()
  const createEntry = (address: string, presence: Presence): HostListEntry => ({
    kind: 'engine',
    id: `engine-${index + 1}`,
    zone: `az-${index % zones + 1}`,
    address,
    presence,
    baseModel,
    slots: engineOptions.slots,
    batchLimit: engineOptions.batchLimit
  })
  const engine: StandinEngine = await startStandinEngine({
    ...engineOptions,
    clock,
    store,
    incarnation: randomUUID(),
    prefixCache: createPrefixCache(settings, clock),
    hashText: h64ToString,
    ...(preemptionGap > 0 && { preemptionGap }),
    address: settings.platform.address,
    port: firstPort === 0 ? 0 : firstPort + index,
    setLeaving: isLeaving => hostList.addEntry(createEntry(engine.address, isLeaving ? 'leaving' : 'live'))
  })
  engine.setFaults({ fencing, reportLagMs })
  hostList.addEntry(createEntry(engine.address, 'live'))
  return engine
}

function createPrefixCache (settings: StandinSettings, clock: Clock): PrefixCache {
  const { cacheBlocks, cacheEventLagMs, loseEveryNthCacheEvent } = settings.engines
  return new PrefixCache({
    clock, maxBlocks: cacheBlocks, eventLagMs: cacheEventLagMs, loseEveryNthEvent: loseEveryNthCacheEvent
  })
}

async function startService (settings: StandinSettings, index: number, hostList: MemoryHostList): Promise<StandinService> {
  const { name, firstPort } = settings.services
  const createEntry = (address: string, presence: Presence): HostListEntry => ({
    kind: 'service',
    id: `${name}-${index + 1}`,
    zone: `az-${index % settings.engines.zones + 1}`,
    address,
    presence,
    service: name
  })
  const service: StandinService = await startStandinService({
    clock: createSystemClock(),
    address: settings.platform.address,
    port: firstPort === 0 ? 0 : firstPort + index,
    service: name,
    setLeaving: isLeaving => hostList.addEntry(createEntry(service.address, isLeaving ? 'leaving' : 'live'))
  })
  hostList.addEntry(createEntry(service.address, 'live'))
  return service
}
