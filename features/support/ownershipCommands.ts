/** Random histories of ownership: what can happen to schedulers, the table and the engines, in any order. */
import fc from 'fast-check'
import { defaultOwnershipPolicy } from '../../src/core/ownershipPolicy.js'
import type { OwnershipPolicy } from '../../src/core/ownershipPolicy.js'
import { OwnershipCluster } from './ownershipCluster.js'
import type { ClusterHost } from './ownershipCluster.js'

const engineId = 'engine-1'
const engineSlots = 3
const startHosts = 3
const maxHosts = 8

/** Acts on one host, or on the whole; `pick` chooses among handles. */
type RunStep = (cluster: OwnershipCluster, host: ClusterHost, pick: number) => void

const steps: Record<string, RunStep> = {
  request: (_cluster, host, pick) => { host.startRequest(engineId, pick) },
  end: (_cluster, host) => host.endRequest(engineId),
  load: (_cluster, host, pick) => { host.load(engineId, `adapter-${pick}`) },
  unload: (_cluster, host, pick) => { if (host.clock.isRunning) host.unloadOne(engineId, pick) },
  /** Another host that believes it owns the engine sends requests while an unload is under way. */
  requestInUnload: (cluster, host, pick) => {
    if (host.clock.isRunning) host.unloadOne(engineId, pick)
    const others = cluster.listOwners(engineId).filter(other => other !== host)
    cluster.clock.setTimer(() => {
      for (const other of others) for (let index = 0; index < engineSlots; index++) other.startRequest(engineId, index)
    }, pick)
  },
  pause: (_cluster, host) => host.clock.pause(),
  /** The process stops between its check and its order. */
  pauseInUnload: (_cluster, host, pick) => {
    if (host.clock.isRunning) host.unloadOne(engineId, pick)
    host.clock.pause()
  },
  wake: (_cluster, host) => host.clock.wake(),
  kill: (cluster, host) => {
    host.clock.kill()
    if (cluster.hosts.size < maxHosts) cluster.addHost(cluster.hosts.size + 1)
  },
  stop: (cluster, host) => {
    if (host.clock.isRunning) host.leave()
    if (cluster.hosts.size < maxHosts) cluster.addHost(cluster.hosts.size + 1)
  },
  cutOff: (_cluster, host) => {
    host.isCutOff = true
    host.faults.isTableDown = true
  },
  reconnect: (_cluster, host) => {
    host.isCutOff = false
    host.faults.isTableDown = false
  },
  loseAnswers: (_cluster, host, pick) => { host.faults.lostAnswers = pick + 1 },
  lateWrites: (_cluster, host, pick) => {
    host.faults.lateWrites = pick + 1
    host.faults.lateMs = 3000
  },
  slow: (_cluster, host, pick) => { host.faults.delayMs = 2 + pick * 300 },
  tableDown: cluster => cluster.setTableDown(true),
  tableUp: cluster => cluster.setTableDown(false)
}

const stepArbitrary = fc.record({
  name: fc.oneof(
    { weight: 3, arbitrary: fc.constantFrom('request', 'load', 'unload', 'requestInUnload', 'pauseInUnload', 'cutOff', 'reconnect') },
    { weight: 2, arbitrary: fc.constantFrom(...Object.keys(steps)) }),
  isForOwner: fc.oneof({ weight: 4, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) }),
  hostIndex: fc.nat(maxHosts - 1),
  pick: fc.nat(3),
  waitMs: fc.constantFrom(0, 1, 300, 1500, 5000, 6000, 30_000)
})

/** Most steps act on a host that believes it owns the engine; there can be two of them. */
function chooseHost (cluster: OwnershipCluster, isForOwner: boolean, index: number): ClusterHost {
  const owners = isForOwner ? cluster.listOwners(engineId) : []
  const hosts = owners.length > 0 ? owners : [...cluster.hosts.values()]
  return hosts[index % hosts.length]!
}

/** The oracle: no two hosts own under one fencing number, and the engine saw no promise broken. */
function listBroken (cluster: OwnershipCluster): string[] {
  const numbers = cluster.listOwners(engineId).map(host =>
    host.ownership.listOwned().find(owned => owned.endpointId === engineId)?.fencing)
  const isDoubled = new Set(numbers).size < numbers.length
  return isDoubled ? [...cluster.listViolations(), 'two owners have one fencing number'] : cluster.listViolations()
}

export interface HistoryOptions {
  seed: number
  runs: number
  steps: number
  policy?: OwnershipPolicy
}

/** Runs random histories; resolves to the first one that breaks a promise, shrunk, or to undefined. */
export async function findBrokenHistory (options: HistoryOptions): Promise<string | undefined> {
  const policy = options.policy ?? defaultOwnershipPolicy
  const property = fc.asyncProperty(fc.array(stepArbitrary, { minLength: options.steps, maxLength: options.steps }), async history => {
    const cluster = new OwnershipCluster({ engines: 1, slots: engineSlots, changeOptions: given => ({ ...given, policy }) })
    for (let index = 1; index <= startHosts; index++) cluster.addHost(index)
    await cluster.run(1500)
    for (const { name, isForOwner, hostIndex, pick, waitMs } of history) {
      steps[name]!(cluster, chooseHost(cluster, isForOwner, hostIndex), pick)
      await cluster.run(waitMs)
      const broken = listBroken(cluster)
      if (broken.length > 0) throw new Error(broken.join('; '))
    }
  })
  const result = await fc.check(property, { seed: options.seed, numRuns: options.runs, endOnFailure: true })
  return result.failed ? `${String(result.errorInstance)} ${fc.stringify(result.counterexample)}` : undefined
}
