/** Random histories of ownership: commands and faults on schedulers, the table and the engines, in any order. */
import fc from 'fast-check'
import { defaultOwnershipPolicy } from '../../src/core/ownershipPolicy.js'
import type { OwnershipPolicy } from '../../src/core/ownershipPolicy.js'
import { OwnershipCluster } from './ownershipCluster.js'
import type { ClusterHost } from './ownershipCluster.js'

const engineId = 'engine-1'
const engineSlots = 3
const initialHosts = 3
const maxHosts = 8

/** Acts on one host or on the whole cluster; `pick` selects a handle or the size of a fault. */
type RunCommand = (cluster: OwnershipCluster, host: ClusterHost, pick: number) => void

const steps: Record<string, RunCommand> = {
  request: (_cluster, host, pick) => { host.startRequest(engineId, pick) },
  end: (_cluster, host) => host.endRequest(engineId),
  load: (_cluster, host, pick) => { host.load(engineId, `adapter-${pick}`) },
  unload: (_cluster, host, pick) => { if (host.clock.isRunning) host.unloadOne(engineId, pick) },
  /** Other hosts that consider themselves the owner send requests while an unload is in progress. */
  requestDuringUnload: (cluster, host, pick) => {
    if (host.clock.isRunning) host.unloadOne(engineId, pick)
    const others = cluster.listOwners(engineId).filter(other => other !== host)
    cluster.clock.setTimer(() => {
      for (const other of others) for (let index = 0; index < engineSlots; index++) other.startRequest(engineId, index)
    }, pick)
  },
  pause: (_cluster, host) => host.clock.pause(),
  /** The process is paused between its check and its order. */
  pauseDuringUnload: (_cluster, host, pick) => {
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
  isolate: (_cluster, host) => {
    host.isIsolated = true
    host.faults.isTableDown = true
  },
  reconnect: (_cluster, host) => {
    host.isIsolated = false
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
    { weight: 3, arbitrary: fc.constantFrom('request', 'load', 'unload', 'requestDuringUnload', 'pauseDuringUnload', 'isolate', 'reconnect') },
    { weight: 2, arbitrary: fc.constantFrom(...Object.keys(steps)) }),
  isForOwner: fc.oneof({ weight: 4, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) }),
  hostIndex: fc.nat(maxHosts - 1),
  pick: fc.nat(3),
  waitMs: fc.constantFrom(0, 1, 300, 1500, 5000, 6000, 30_000)
})

/** Most steps act on a host that considers itself the owner of the engine; there can be two such hosts. */
function chooseHost (cluster: OwnershipCluster, isForOwner: boolean, index: number): ClusterHost {
  const owners = isForOwner ? cluster.listOwners(engineId) : []
  const hosts = owners.length > 0 ? owners : [...cluster.hosts.values()]
  return hosts[index % hosts.length]!
}

/** Checks the invariants: no two owners have the same fencing token, and the engine has recorded no violation. */
function listInvariantViolations (cluster: OwnershipCluster): string[] {
  const fencingTokens = cluster.listOwners(engineId).map(host =>
    host.ownership.listOwned().find(owned => owned.endpointId === engineId)?.fencing)
  const hasDuplicate = new Set(fencingTokens).size < fencingTokens.length
  return hasDuplicate ? [...cluster.listViolations(), 'two owners have the same fencing token'] : cluster.listViolations()
}

export interface HistoryOptions {
  seed: number
  runs: number
  steps: number
  policy?: OwnershipPolicy
}

/** Runs random histories; resolves to the first one that violates an invariant, shrunk, or to undefined. */
export async function findViolatingHistory (options: HistoryOptions): Promise<string | undefined> {
  const policy = options.policy ?? defaultOwnershipPolicy
  const property = fc.asyncProperty(fc.array(stepArbitrary, { minLength: options.steps, maxLength: options.steps }), async history => {
    const cluster = new OwnershipCluster({ engines: 1, slots: engineSlots, changeOptions: given => ({ ...given, policy }) })
    for (let index = 1; index <= initialHosts; index++) cluster.addHost(index)
    await cluster.run(1500)
    for (const { name, isForOwner, hostIndex, pick, waitMs } of history) {
      steps[name]!(cluster, chooseHost(cluster, isForOwner, hostIndex), pick)
      await cluster.run(waitMs)
      const violations = listInvariantViolations(cluster)
      if (violations.length > 0) throw new Error(violations.join('; '))
    }
  })
  const result = await fc.check(property, { seed: options.seed, numRuns: options.runs, endOnFailure: true })
  return result.failed ? `${String(result.errorInstance)} ${fc.stringify(result.counterexample)}` : undefined
}
