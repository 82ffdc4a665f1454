/** Starts gateways and schedulers on a platform, for the binaries and for the quick start. */
import { randomUUID } from 'node:crypto'
import xxhash from 'xxhash-wasm'
import type { Platform } from '../adapters/httpPlatform/httpPlatform.js'
import { createSystemClock } from '../adapters/clock/systemClock.js'
import { OpenaiEngine } from '../adapters/openaiEngine/openaiEngine.js'
import { grpcPeerTransport } from '../adapters/peerLink/grpcPeerLink.js'
import { HttpServiceClient } from '../adapters/httpService/httpServiceClient.js'
import { createCostChoice } from '../core/costChoice.js'
import { createSlackPlannerFactory } from '../core/slackPlanner.js'
import { repeatTask } from '../repeatTask.js'
import type { HostListEntry } from '../schemas/hostList.js'
import type { GatewaySettings, SchedulerSettings } from '../settings/settingsSchemas.js'
import { DecisionStore } from '../tasks/decisions/decisionStore.js'
import { ConfigurationTask } from '../tasks/configuration/configurationTask.js'
import { createSharedHostList } from '../tasks/membership/sharedHostList.js'
import { GatewayTask } from '../tasks/gateway/gatewayTask.js'
import type { GatewayTaskOptions } from '../tasks/gateway/gatewayTask.js'
import { LeaseOwnership } from '../tasks/ownership/leaseOwnership.js'
import { SchedulerTask } from '../tasks/scheduler/schedulerTask.js'
import type { SchedulerTaskOptions } from '../tasks/scheduler/schedulerTask.js'
import { startGatewayState } from './startGatewayState.js'
import { describeProcess } from './describeProcess.js'
import type { RunningProcess } from './processExit.js'
import { createMetricsTask } from './createMetricsTask.js'
import { createOperatorsTask } from './createOperatorsTask.js'

const announceIntervalMs = 2000
/** A gateway sends peers its configuration version at this interval, and a new version at once. */
const gatewayVersionIntervalMs = 4000

export interface RunningGateway extends RunningProcess {
  readonly callersPort: number
  readonly operatorsPort: number
  readonly configuration: ConfigurationTask
}

/** Starts a gateway on a platform. Resolves once it has read the configuration and serves callers. Tests pass `overrides`. */
export async function startGateway (
  settings: GatewaySettings, platform: Platform, overrides: Partial<GatewayTaskOptions> = {}
): Promise<RunningGateway> {
  const { h64ToString } = await xxhash()
  const { host, callers, peers } = settings
  const service = new HttpServiceClient()
  const clock = createSystemClock()
  const decisions = new DecisionStore({ hostId: host.id, clock })
  const configuration = new ConfigurationTask({
    hostId: host.id, clock, table: platform.table, announceIntervalMs: gatewayVersionIntervalMs, recordDecision: draft => decisions.record(draft)
  })
  const gatewayState = startGatewayState(host.id, clock, platform)
  const gateway = new GatewayTask({
    hostId: host.id,
    zone: host.zone,
    clock,
    hostList: platform.hostList,
    configuration,
    claims: gatewayState.claims,
    jobs: gatewayState.jobs,
    chooseEndpoint: createCostChoice({ batchFillTarget: settings.targets.batchFill }),
    random: Math.random,
    hashText: h64ToString,
    service,
    peerTransport: grpcPeerTransport,
    peerKey: peers.key,
    callers,
    recordDecision: draft => decisions.record(draft),
    countBadInput: code => metrics.badInput.count(code),
    receiveOperatorMessage: (_from, message) => operators.receiveMessage(message),
    ...overrides
  })
  const metrics = createMetricsTask({
    settings, role: 'gateway', clock, decisions, describeEndpoints: () => [], getRunningRequestCount: () => gateway.router.running
  })
  const jobRunner = gatewayState.createJobRunner(gateway.router, draft => decisions.record(draft))
  const describeState = (): unknown => describeProcess('gateway', {
    gateway: () => gateway.describeState(),
    configuration: () => configuration.describeState(),
    claims: () => gatewayState.claims.describeState(),
    jobs: () => ({ running: jobRunner.runningCount }),
    operators: () => operators.describeState(),
    decisions: () => decisions.describeState(),
    badInput: () => metrics.badInput.describeState()
  })
  const operators = createOperatorsTask({
    settings, platform, clock, configuration, jobs: gatewayState.jobs, decisions, gateway, badInput: metrics.badInput, describeProcess: describeState
  })
  await configuration.start()
  await gateway.start()
  jobRunner.start()
  await operators.start()
  metrics.start()
  const announcement = announceHost(platform, {
    kind: 'gateway', id: host.id, zone: host.zone, address: `${settings.operators.address}:${operators.port}`, presence: 'live'
  })
  return {
    callersPort: gateway.callersPort,
    operatorsPort: operators.port,
    configuration,
    describeState,
    stop: async () => {
      await announcement.stop()
      await jobRunner.stop()
      await gateway.stop()
      await metrics.stop()
      await operators.stop()
      await gatewayState.stop()
      configuration.stop()
      await service.close()
    }
  }
}

/** Starts a scheduler on a platform. Resolves once it has read the configuration and accepts peers. Tests pass `overrides`. */
export async function startScheduler (
  settings: SchedulerSettings, platform: Platform, overrides: Partial<SchedulerTaskOptions> = {}
): Promise<RunningProcess> {
  const { h32 } = await xxhash()
  const { host, peers } = settings
  const clock = createSystemClock()
  const engine = new OpenaiEngine()
  const hostList = createSharedHostList(platform.hostList, clock)
  const configuration = new ConfigurationTask({ hostId: host.id, clock, table: platform.table })
  const decisions = new DecisionStore({ hostId: host.id, clock })
  const scheduler = new SchedulerTask({
    hostId: host.id,
    zone: host.zone,
    clock,
    engine,
    createPlanner: createSlackPlannerFactory(),
    createOwnership: (send, listOutageReports) => new LeaseOwnership({
      clock,
      table: platform.table,
      hostList,
      holder: { hostId: host.id, session: randomUUID() },
      zone: host.zone,
      hashText: h32,
      listOutageReports,
      send
    }),
    decisions,
    receiveRefusal: code => metrics.badInput.count(code),
    describeProcess: () => describeState(),
    hostList,
    loadBudget: settings.store,
    configuration,
    peerTransport: grpcPeerTransport,
    peers,
    ...overrides
  })
  const metrics = createMetricsTask({
    settings,
    role: 'scheduler',
    clock,
    decisions,
    describeEndpoints: () => scheduler.describeEndpoints(),
    getRunningRequestCount: () => scheduler.describeEndpoints().reduce((sum, endpoint) => sum + endpoint.runningCount, 0)
  })
  const describeState = (): unknown => describeProcess('scheduler', {
    scheduler: () => scheduler.describeState(),
    configuration: () => configuration.describeState(),
    decisions: () => decisions.describeState(),
    badInput: () => metrics.badInput.describeState()
  })
  await configuration.start()
  await scheduler.start()
  metrics.start()
  const announcement = announceHost(platform, {
    kind: 'scheduler', id: host.id, zone: host.zone, address: `${peers.address}:${scheduler.port}`, presence: 'live'
  })
  return {
    describeState,
    stop: async () => {
      await announcement.stop()
      await scheduler.stop()
      await metrics.stop()
      configuration.stop()
      await engine.close()
    }
  }
}

/** Keeps a host's entry on the platform's host list until it is stopped. */
function announceHost (platform: Platform, entry: HostListEntry): RunningProcess {
  const repetition = repeatTask(createSystemClock(), announceIntervalMs, async () => await platform.hostList.announceEntry(entry), () => {})
  return {
    stop: async () => {
      repetition.stop()
      await platform.hostList.withdrawEntry(entry.id).catch(() => {})
    }
  }
}
