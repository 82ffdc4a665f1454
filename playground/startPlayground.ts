/** The real gateways and schedulers on stand-ins in one process, for tests and trials. */
import { resolveSettings } from '../src/settings/resolveSettings.js'
import { gatewaySettingsSchema, schedulerSettingsSchema, standinSettingsSchema } from '../src/settings/settingsSchemas.js'
import { exampleOperatorKey, exampleRecords } from '../src/bin/exampleRecords.js'
import { registerRecords } from '../src/bin/registerRecords.js'
import type { RunningProcess } from '../src/bin/runBinary.js'
import { startGateway, startScheduler } from '../src/bin/startHosts.js'
import type { RunningGateway } from '../src/bin/startHosts.js'
import { startStandins } from '../src/bin/startStandins.js'
import type { RunningStandins } from '../src/bin/startStandins.js'
import { hashKey } from '../src/tasks/gateway/callerAccess.js'

export interface PlaygroundOptions {
  engines?: number
  services?: number
  schedulers?: number
  gateways?: number
  /** Further lines of the stand-ins' INI file, such as `[store]\nloadMs = 50`. */
  standinSettings?: string
  /** `ip:port` to which gateways and schedulers send metrics. */
  statsd?: string
}

export interface Playground {
  standins: RunningStandins
  gateways: RunningGateway[]
  schedulers: RunningProcess[]
  /** Starts one more scheduler under a name of its own. */
  addScheduler: () => Promise<void>
  /** Starts one more gateway under a name of its own. */
  addGateway: () => Promise<void>
  stop: () => Promise<void>
}

const peerKey = 'playground-peer-key'

/**
 * Starts a small system on free ports.
 *
 * @example
 * const playground = await startPlayground({ engines: 2, schedulers: 2 })
 */
export async function startPlayground (options: PlaygroundOptions = {}): Promise<Playground> {
  const { engines = 2, services = 1, schedulers = 1, gateways = 1, standinSettings = '' } = options
  const metrics = options.statsd === undefined ? '' : `[metrics]\nstatsd = ${options.statsd}`
  const standins = await startStandins(resolveSettings('playground', `
[platform]
listLagMs = 20
[engines]
count = ${engines}
firstPort = 0
stepBaseMs = 2
[services]
count = ${services}
firstPort = 0
[store]
loadMs = 20
${standinSettings}`, standinSettingsSchema))
  await registerRecords(standins.platform.table, exampleRecords)
  let startedSchedulers = 0
  let startedGateways = 0
  const playground: Playground = {
    standins,
    gateways: [],
    schedulers: [],
    addScheduler: async () => { playground.schedulers.push(await startNamedScheduler(standins, ++startedSchedulers, metrics)) },
    addGateway: async () => { playground.gateways.push(await startNamedGateway(standins, ++startedGateways, metrics)) },
    stop: async () => {
      await Promise.all(playground.gateways.map(async gateway => await gateway.stop()))
      await Promise.all(playground.schedulers.map(async scheduler => await scheduler.stop()))
      await standins.stop()
    }
  }
  for (let index = 1; index <= schedulers; index++) await playground.addScheduler()
  for (let index = 1; index <= gateways; index++) await playground.addGateway()
  return playground
}

async function startNamedScheduler (standins: RunningStandins, index: number, metrics: string): Promise<RunningProcess> {
  return await startScheduler(resolveSettings('playground', `
[host]
id = scheduler-${index}
zone = az-${index}
[platform]
address = 127.0.0.1:0
[peers]
port = 0
key = ${peerKey}
${metrics}`, schedulerSettingsSchema), standins.platform)
}

async function startNamedGateway (standins: RunningStandins, index: number, metrics: string): Promise<RunningGateway> {
  return await startGateway(resolveSettings('playground', `
[host]
id = gateway-${index}
zone = az-${index}
[platform]
address = 127.0.0.1:0
[peers]
key = ${peerKey}
[callers]
port = 0
[operators]
port = 0
keyHash = ${hashKey(exampleOperatorKey)}
${metrics}`, gatewaySettingsSchema), standins.platform)
}
