/** Starts gateways and schedulers of the fuzzed system, each on a host of its own. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import type { MemoryObjectStore } from '../src/adapters/memoryPlatform/memoryObjectStore.js'
import { chooseByCost } from '../src/core/costChoice.js'
import { IdempotencyClaimTask } from '../src/tasks/idempotency/idempotencyClaimTask.js'
import { ConfigurationTask } from '../src/tasks/configuration/configurationTask.js'
import { DecisionStore } from '../src/tasks/decisions/decisionStore.js'
import { GatewayTask } from '../src/tasks/gateway/gatewayTask.js'
import { JobRunner } from '../src/tasks/jobs/jobRunner.js'
import { JobStore } from '../src/tasks/jobs/jobStore.js'
import { RunnerLeases } from '../src/tasks/jobs/runnerLeases.js'
import { LeaseOwnership } from '../src/tasks/ownership/leaseOwnership.js'
import { SchedulerTask } from '../src/tasks/scheduler/schedulerTask.js'
import { BatchWriter } from '../src/tasks/table/batchWriter.js'
import { TableWriter } from '../src/tasks/table/tableWriter.js'
import { createHostService } from './fakeServices.js'
import type { FakeService } from './fakeServices.js'
import { createHostEngine } from './fakeEngines.js'
import type { FakeEngine } from './fakeEngines.js'
import type { FakeHost } from './fakeHost.js'
import type { FakeNetwork } from './fakeNetwork.js'
import type { FakePlatform } from './fakePlatform.js'
import type { FuzzMechanisms } from './mechanisms.js'
import { fuzzLoadBudget } from './weightStore.js'

const peerKey = 'fuzz-peer-key-00000'

/** What all hosts share. */
export interface FuzzSurroundings {
  clock: VirtualClock
  platform: FakePlatform
  objects: MemoryObjectStore
  network: FakeNetwork
  engines: Map<string, FakeEngine>
  services: Map<string, FakeService>
  mechanisms: FuzzMechanisms
}

export interface FuzzScheduler {
  host: FakeHost
  task: SchedulerTask
  configuration: ConfigurationTask
  /** Whether the host has read the configuration and serves. */
  isServing: boolean
  /** Whether it is stopping gracefully. */
  isStopping: boolean
}

export interface FuzzGateway {
  host: FakeHost
  task: GatewayTask
  configuration: ConfigurationTask
  claims: IdempotencyClaimTask
  jobs: JobStore
  /** Whether the host has read the configuration and serves. */
  isServing: boolean
}

export function createConfiguration (host: FakeHost, { platform, mechanisms }: FuzzSurroundings): ConfigurationTask {
  return new ConfigurationTask({ hostId: host.id, clock: host.clock, table: platform.createTable(host), ...mechanisms.configurationRules })
}

/** Starts a scheduler; it serves, and is listed, once it has read the configuration. */
export function startFuzzScheduler (surroundings: FuzzSurroundings, host: FakeHost): FuzzScheduler {
  const { clock, platform, network, engines, mechanisms } = surroundings
  const configuration = createConfiguration(host, surroundings)
  const hostList = platform.createHostList(host, mechanisms.readEntry)
  const task = new SchedulerTask({
    hostId: host.id,
    zone: host.zone,
    clock: host.clock,
    engine: createHostEngine(host, engines, clock),
    createPlanner: mechanisms.createPlanner,
    suspectOptions: mechanisms.suspectOptions,
    hostList,
    createOwnership: (send, listOutageReports) => new LeaseOwnership({
      clock: host.clock,
      table: platform.createTable(host),
      hostList,
      policy: mechanisms.ownershipPolicy,
      holder: { hostId: host.id, session: host.session },
      zone: host.zone,
      hashText: hashNumber,
      listOutageReports: () => mechanisms.filterOutageReports(listOutageReports()),
      send
    }),
    configuration,
    loadBudget: mechanisms.readBudget(fuzzLoadBudget),
    peerTransport: network.createTransport(host),
    peers: { address: '127.0.0.1', port: 0, key: peerKey },
    decisions: new DecisionStore({ hostId: host.id, clock: host.clock }),
    receiveRefusal: () => {},
    describeProcess: () => ({})
  })
  const scheduler: FuzzScheduler = { host, task, configuration, isServing: false, isStopping: false }
  configuration.start().then(async () => await task.start()).then(() => {
    scheduler.isServing = true
    platform.setEntry(host.id, { kind: 'scheduler', id: host.id, zone: host.zone, address: `127.0.0.1:${task.port}`, presence: 'live' })
  }, () => {})
  return scheduler
}

/** Starts a gateway without a callers' port; it serves once it has read the configuration. */
export function startFuzzGateway (surroundings: FuzzSurroundings, host: FakeHost): FuzzGateway {
  const { clock, platform, objects, network, services, mechanisms } = surroundings
  const configuration = createConfiguration(host, surroundings)
  const table = platform.createTable(host)
  const writer = new TableWriter({ table, clock: host.clock })
  const batches = new BatchWriter({ clock: host.clock, writer })
  const claims = new IdempotencyClaimTask({ hostId: host.id, clock: host.clock, table, objects, writer, batches })
  const jobs = new JobStore({ table, objects, batches, writer })
  const task = new GatewayTask({
    hostId: host.id,
    zone: host.zone,
    clock: host.clock,
    hostList: platform.createHostList(host),
    peerTransport: network.createTransport(host),
    service: createHostService(host, services, clock, mechanisms.readServiceOutcome),
    configuration,
    claims,
    jobs,
    chooseEndpoint: chooseByCost,
    requestRules: mechanisms.requestRules,
    suspectOptions: mechanisms.suspectOptions,
    random: () => 0.5,
    hashText: text => text,
    recordDecision: () => {},
    countBadInput: () => {},
    receiveOperatorMessage: () => {},
    peerKey
  })
  const leases = new RunnerLeases({ runner: host.id, hostId: host.id, clock: host.clock, table, batches })
  const runner = new JobRunner({ runner: host.id, clock: host.clock, random: () => 0.5, store: jobs, leases, router: task.router })
  const gateway: FuzzGateway = { host, task, configuration, claims, jobs, isServing: false }
  configuration.start().then(async () => await task.start()).then(() => {
    gateway.isServing = true
    runner.start()
  }, () => {})
  return gateway
}

/** A small hash that spreads names. */
function hashNumber (text: string): number {
  let hash = 2166136261
  for (const character of text) hash = Math.imul(hash ^ character.codePointAt(0)!, 16777619)
  return hash >>> 0
}
