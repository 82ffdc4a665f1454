/** The real gateways and schedulers on stand-ins in one process, for tests and trials. */
import type { Platform } from '../src/adapters/httpPlatform/httpPlatform.js'
import type { ConfigurationRecord } from '../src/schemas/configuration.js'
import { parseSettings } from '../src/settings/readSettings.js'
import { gatewaySettingsSchema, schedulerSettingsSchema, standinSettingsSchema } from '../src/settings/settingsSchemas.js'
import { exampleOperatorKey, exampleRecords } from '../src/bin/exampleRecords.js'
import { registerRecords } from '../src/bin/registerRecords.js'
import type { RunningProcess } from '../src/bin/processExit.js'
import { startGateway, startScheduler } from '../src/bin/startGatewayAndScheduler.js'
import type { RunningGateway } from '../src/bin/startGatewayAndScheduler.js'
import { startStandins } from '../src/bin/startStandins.js'
import type { RunningStandins } from '../src/bin/startStandins.js'
import { hashKey } from '../src/tasks/gateway/callerAccess.js'
import type { GatewayTaskOptions } from '../src/tasks/gateway/gatewayTask.js'
import type { SchedulerTaskOptions } from '../src/tasks/scheduler/schedulerTask.js'

export interface PlaygroundOptions {
  engines?: number
  services?: number
  schedulers?: number
  gateways?: number
  /** Further lines of the stand-ins' INI file, such as `[store]\nloadMs = 50`. */
  standinSettings?: string
  /** `ip:port` to which gateways and schedulers send metrics. */
  statsd?: string
  /** Registered beside those of the quick start. */
  records?: ConfigurationRecord[]
  /** Parts of each scheduler and gateway to replace, to show what fails without them. */
  scheduler?: Partial<SchedulerTaskOptions>
  gateway?: Partial<GatewayTaskOptions>
  /** Changes what schedulers and gateways see of the platform. */
  changePlatform?: (platform: Platform) => Platform
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

const replacedStopMs = 10_000
const peerKey = 'playground-peer-key'
const listPollMs = 5

/**
 * Starts a small system on free ports.
 *
 * @example
 * const playground = await startPlayground({ engines: 2, schedulers: 2 })
 */
export async function startPlayground (options: PlaygroundOptions = {}): Promise<Playground> {
  const { engines = 2, services = 1, schedulers = 1, gateways = 1, standinSettings = '' } = options
  const metrics = options.statsd === undefined ? '' : `[metrics]\nstatsd = ${options.statsd}`
  const standins = await startStandins(parseSettings('playground', `
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
loadsPerSecond = 200
loadsAtFullSpeed = 20
${standinSettings}`, standinSettingsSchema))
  await registerRecords(standins.platform.table, [...exampleRecords, ...options.records ?? []])
  await waitForList(standins, engines + services)
  let startedSchedulers = 0
  let startedGateways = 0
  const playground: Playground = {
    standins,
    gateways: [],
    schedulers: [],
    addScheduler: async () => { playground.schedulers.push(await startNamedScheduler(standins, ++startedSchedulers, options, metrics)) },
    addGateway: async () => { playground.gateways.push(await startNamedGateway(standins, ++startedGateways, options, metrics)) },
    stop: async () => {
      // With a part replaced an engine may never end a request; its connections are then cut, so that the stop ends.
      const isPartReplaced = options.scheduler !== undefined || options.gateway !== undefined
      let stopped: Promise<void> | undefined
      const stopStandins = async (): Promise<void> => await (stopped ??= standins.stop())
      const cut = isPartReplaced ? setTimeout(stopStandins, replacedStopMs) : undefined
      await Promise.all(playground.gateways.map(async gateway => await gateway.stop()))
      await Promise.all(playground.schedulers.map(async scheduler => await scheduler.stop()))
      clearTimeout(cut)
      await stopStandins()
    }
  }
  for (let index = 1; index <= schedulers; index++) await playground.addScheduler()
  for (let index = 1; index <= gateways; index++) await playground.addGateway()
  return playground
}

/** Waits until the lagging list shows all engines and services, so that every host starts with them. */
async function waitForList (standins: RunningStandins, count: number): Promise<void> {
  while ((await standins.platform.hostList.listEntries()).length < count) {
    await new Promise(resolve => setTimeout(resolve, listPollMs))
  }
}

async function startNamedScheduler (
  standins: RunningStandins, index: number, options: PlaygroundOptions, metrics: string
): Promise<RunningProcess> {
  const platform = options.changePlatform?.(standins.platform) ?? standins.platform
  return await startScheduler(parseSettings('playground', `
[host]
id = scheduler-${index}
zone = az-${index}
[platform]
address = 127.0.0.1:0
[peers]
port = 0
key = ${peerKey}
[store]
loadsPerSecond = 200
loadsAtFullSpeed = 20
${metrics}`, schedulerSettingsSchema), platform, options.scheduler)
}

async function startNamedGateway (
  standins: RunningStandins, index: number, options: PlaygroundOptions, metrics: string
): Promise<RunningGateway> {
  const platform = options.changePlatform?.(standins.platform) ?? standins.platform
  return await startGateway(parseSettings('playground', `
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
${metrics}`, gatewaySettingsSchema), platform, options.gateway)
}
