/** Random histories of lease hosts that are cut off, killed and restarted while the store comes and goes. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { LeaseCluster } from './leaseCluster.js'

const settlingMs = 4000
const historyMs = 60_000
const maxPauseMs = 3000
const [minHosts, maxHosts] = [2, 9]
const engines = 6

/** Runs one history; returns its steps, up to the first violation, and what was violated. */
export async function runLeaseHistory (seed: number): Promise<{ steps: string[], violations: string[] }> {
  const generator = xoroshiro128plus(seed)
  const draw = (min: number, max: number): number => uniformInt(generator, min, max)
  const cluster = new LeaseCluster(draw(minHosts, maxHosts), engines)
  const steps = [`${cluster.hosts.length} hosts`]
  await cluster.run(settlingMs)
  while (cluster.violations.length === 0 && cluster.clock.readMonotonic() < historyMs) {
    steps.push(`${cluster.clock.readMonotonic()} ms: ${runStep(cluster, draw)}`)
    await cluster.run(draw(100, maxPauseMs))
  }
  return { steps, violations: cluster.violations }
}

type Draw = (min: number, max: number) => number

function runStep (cluster: LeaseCluster, draw: Draw): string {
  const running = cluster.hosts.filter(({ isRunning }) => isRunning)
  const drawn = running.filter(() => draw(0, 1) === 0)
  const names = drawn.map(({ name }) => name).join(' ')
  const steps: Array<() => string> = [
    () => {
      const group = draw(1, 3)
      for (const host of drawn) cluster.cutOff(host, group)
      return `cut off as group ${group}: ${names}`
    },
    () => {
      for (const host of running) host.isCutFromStore = true
      return 'all lose the store'
    },
    () => {
      for (const host of drawn) host.isCutFromStore = false
      return `reach the store: ${names}`
    },
    () => {
      for (const host of drawn) host.group = 0
      return `reach each other: ${names}`
    },
    () => {
      cluster.heal()
      return 'all cuts end'
    },
    () => {
      for (const host of drawn.slice(0, draw(1, 3))) cluster.kill(host)
      return `some are killed of: ${names}`
    },
    () => {
      cluster.restartEnded()
      return 'killed hosts restart'
    },
    () => {
      if (running.length < maxHosts) cluster.addHost()
      return 'a host joins'
    }
  ]
  return steps[draw(0, steps.length - 1)]!()
}
