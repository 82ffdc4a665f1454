/** Takeovers after a scheduler was killed, on a virtual clock, with sizes and moments drawn from a seed. */
import fc from 'fast-check'
import { OwnershipCluster } from './ownershipCluster.js'

const settleMs = 6000
const stepMs = 50
const giveUpMs = 60_000

const trialArbitrary = fc.record({
  schedulers: fc.integer({ min: 2, max: 9 }),
  engines: fc.integer({ min: 1, max: 12 }),
  /** Delay of each answer of the table. */
  tableMs: fc.integer({ min: 1, max: 200 }),
  /** When the kill comes within the cycles of the leases. */
  killAfterMs: fc.integer({ min: 0, max: 3000 })
})
type Trial = typeof trialArbitrary extends fc.Arbitrary<infer T> ? T : never

/** Resolves to the longest time from a kill until every endpoint ran a request again, in virtual milliseconds. */
export async function measureSlowestTakeover (seed: number, kills: number): Promise<number> {
  let slowestMs = 0
  for (const trial of fc.sample(trialArbitrary, { seed, numRuns: kills })) slowestMs = Math.max(slowestMs, await measureTakeover(trial))
  return slowestMs
}

async function measureTakeover ({ schedulers, engines, tableMs, killAfterMs }: Trial): Promise<number> {
  const cluster = new OwnershipCluster({ engines })
  for (let index = 1; index <= schedulers; index++) cluster.addHost(index).faults.delayMs = tableMs
  await cluster.run(settleMs + killAfterMs)
  cluster.listOwners('engine-1')[0]!.clock.kill()
  const killedAtMs = cluster.clock.readMonotonic()
  const silent = new Set(cluster.engines.keys())
  while (silent.size > 0 && cluster.clock.readMonotonic() - killedAtMs < giveUpMs) {
    await cluster.run(stepMs)
    for (const endpointId of silent) if (runRequest(cluster, endpointId)) silent.delete(endpointId)
  }
  return cluster.clock.readMonotonic() - killedAtMs
}

/** Loads an adapter and gives it a request, as the endpoint's owner. */
function runRequest (cluster: OwnershipCluster, endpointId: string): boolean {
  const [owner] = cluster.listOwners(endpointId)
  return owner !== undefined && owner.load(endpointId, 'adapter-1') && owner.startRequest(endpointId, 0)
}
