/** `npm run soak -- --seed N`: runs the soak and says which promises were broken. */
import { parseArgs } from 'node:util'
import { mechanisms } from './mechanisms.js'
import { runSoak } from './runSoak.js'
import type { SoakReport } from './runSoak.js'
import { changeKinds, endlessFaultKinds, faultKinds, lateFaultKinds, restartFaultKinds, restoreFaultKinds, slowFaultKinds } from './soakPlan.js'
import type { PlannedEvent } from './soakPlan.js'

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    /** Seeds that follow on from the first, one after the other. */
    seeds: { type: 'string', default: '1' },
    /** Time in which faults strike. */
    seconds: { type: 'string', default: '20' },
    hosts: { type: 'string', default: '4' },
    engines: { type: 'string', default: '3' },
    services: { type: 'string', default: '2' },
    /** Kinds of events to draw from, with commas between them. */
    kinds: { type: 'string' },
    /** A mechanism to switch off; the checks should notice. */
    without: { type: 'string' },
    /** Directory for the hosts' lines. */
    logs: { type: 'string' }
  }
})

const maxShownBroken = 8
const knownKinds: readonly string[] = [...faultKinds, ...changeKinds, ...lateFaultKinds, ...restoreFaultKinds, ...endlessFaultKinds, ...restartFaultKinds, ...slowFaultKinds]

function parseCount (name: 'seed' | 'seeds' | 'seconds' | 'hosts' | 'engines' | 'services'): number {
  const count = Number(values[name])
  if (!Number.isInteger(count) || count < 1) throw new Error(`--${name} is a whole number from 1, not "${values[name]}"`)
  return count
}

function parseKinds (): PlannedEvent['kind'][] | undefined {
  if (values.kinds === undefined) return values.without === undefined ? undefined : [...mechanisms[values.without]!.kinds]
  const kinds = values.kinds.split(',')
  const unknown = kinds.find(kind => !knownKinds.includes(kind))
  if (unknown !== undefined) throw new Error(`--kinds knows no "${unknown}"; there are ${knownKinds.join(', ')}`)
  return kinds as PlannedEvent['kind'][]
}

function printReport (seed: number, { record, plan, broken, calls, whole, refused, runs }: SoakReport): void {
  console.log(`seed ${seed}: ${plan.length} events; ${calls} calls: ${whole} whole, ${refused} refused; ${runs} runs; ` +
    `${record.ends.length} ends of hosts; at most ${Math.round(record.peakMemoryMb)} MB and ${record.peakDescriptors} descriptors`)
  for (const { kind, atMs, forMs } of broken.length > 0 ? plan : []) console.log(`  ${kind} at ${atMs} ms for ${forMs} ms`)
  for (const { promise, detail } of broken.slice(0, maxShownBroken)) console.log(`  broken: ${promise}: ${detail}`)
  if (broken.length > maxShownBroken) console.log(`  and ${broken.length - maxShownBroken} more`)
}

if (values.without !== undefined && !mechanisms[values.without]) throw new Error(`--without knows no "${values.without}"; there are ${Object.keys(mechanisms).join(', ')}`)
const kinds = parseKinds()
const first = parseCount('seed')
for (let seed = first; seed < first + parseCount('seeds'); seed++) {
  const report = await runSoak({
    seed,
    faultsMs: parseCount('seconds') * 1000,
    hosts: parseCount('hosts'),
    engines: parseCount('engines'),
    services: parseCount('services'),
    ...(kinds && { kinds }),
    ...(values.without !== undefined && { without: values.without }),
    ...(values.logs !== undefined && { logs: values.logs })
  })
  printReport(seed, report)
  if (report.broken.length > 0) process.exitCode = 1
}
