/** Starts the stand-ins of platform, engines and services in this process. */
import { randomUUID } from 'node:crypto'
import { createSystemClock } from '../adapters/clock/systemClock.js'
import type { Platform } from '../adapters/httpPlatform/httpPlatform.js'
import { MemoryHostList } from '../adapters/memoryPlatform/memoryHostList.js'
import { MemoryObjects } from '../adapters/memoryPlatform/memoryObjects.js'
import { MemoryTable } from '../adapters/memoryPlatform/memoryTable.js'
import type { StandinSettings } from '../settings/settingsSchemas.js'
import { startStandinEngine } from '../standin/engineServer.js'
import type { StandinEngine } from '../standin/engineServer.js'
import { startStandinService } from '../standin/serviceServer.js'
import type { StandinService } from '../standin/serviceServer.js'
import { WeightStore } from '../standin/weightStore.js'

export interface RunningStandins {
  platform: Platform & { hostList: MemoryHostList }
  engines: StandinEngine[]
  services: StandinService[]
  store: WeightStore
  stop: () => Promise<void>
}

/** Starts engines and services and puts them on the list of hosts. */
export async function startStandins (settings: StandinSettings): Promise<RunningStandins> {
  const clock = createSystemClock()
  const hostList = new MemoryHostList(clock, settings.platform.listLagMs)
  const store = new WeightStore({ clock, ...settings.store })
  const engines: StandinEngine[] = []
  for (let index = 0; index < settings.engines.count; index++) engines.push(await startEngine(settings, index, store, hostList))
  const services: StandinService[] = []
  for (let index = 0; index < settings.services.count; index++) services.push(await startService(settings, index, hostList))
  const platform = { table: new MemoryTable(), objects: new MemoryObjects(), hostList, close: async () => {} }
  const stop = async (): Promise<void> => {
    await Promise.all([...engines, ...services].map(async server => await server.stop()))
  }
  return { platform, engines, services, store, stop }
}

async function startEngine (
  settings: StandinSettings, index: number, store: WeightStore, hostList: MemoryHostList
): Promise<StandinEngine> {
  const { baseModel, slots, batchLimit, stepBaseMs, stepPerRequestMs, prefillPerTokenMs, firstPort, zones } = settings.engines
  const engine = await startStandinEngine({
    clock: createSystemClock(),
    store,
    incarnation: randomUUID(),
    slots,
    batchLimit,
    stepBaseMs,
    stepPerRequestMs,
    prefillPerTokenMs,
    address: settings.platform.address,
    port: firstPort === 0 ? 0 : firstPort + index
  })
  hostList.addEntry({
    kind: 'engine',
    id: `engine-${index + 1}`,
    zone: `az-${index % zones + 1}`,
    address: engine.address,
    presence: 'live',
    baseModel,
    slots,
    batchLimit
  })
  return engine
}

async function startService (settings: StandinSettings, index: number, hostList: MemoryHostList): Promise<StandinService> {
  const { name, firstPort } = settings.services
  const service = await startStandinService({
    address: settings.platform.address, port: firstPort === 0 ? 0 : firstPort + index, service: name
  })
  hostList.addEntry({
    kind: 'service',
    id: `${name}-${index + 1}`,
    zone: `az-${index % settings.engines.zones + 1}`,
    address: service.address,
    presence: 'live',
    service: name
  })
  return service
}
