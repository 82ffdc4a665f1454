/** Measures what gateway and scheduler keep in memory, step by step under a steady load. */
import type { Pool } from 'undici'
import { fitLine } from '../capacity/fitLine.js'
import type { Arrangement } from './arrangement.js'
import { readProcessUse } from './childProcesses.js'
import type { BenchProcess } from './childProcesses.js'
import { runLoad } from './pathLoad.js'

const stepSeconds = 20
/** Few streams, so that steps are bound by the engine and not by the machine. */
const streams = 20
const tokens = 20
const secondsPerMinute = 60
/** The first part of a run fills what has a bound: records of decisions, pools and histograms. */
const fillingPart = 0.5

interface Sample {
  atSeconds: number
  heapMegabytes: number
  externalMegabytes: number
  residentMegabytes: number
}

/** Prints each step and the slope of the second half of the run. */
export async function watchMemory ({ gateway, scheduler }: Arrangement, pool: Pool, seconds: number): Promise<void> {
  const processes = [gateway, scheduler].map(process => ({ process, samples: new Array<Sample>() }))
  console.log(`memory after collection under ${streams} streams of ${tokens} tokens: heap, buffers and resident in MB`)
  let requests = 0
  const startedMs = performance.now()
  for (let atSeconds = 0; atSeconds < seconds;) {
    const load = await runLoad(pool, streams, tokens, Math.min(stepSeconds, seconds - atSeconds))
    requests += load.requests
    atSeconds = (performance.now() - startedMs) / 1000
    for (const { process, samples } of processes) samples.push(await takeSample(process, atSeconds))
    console.log(`  ${atSeconds.toFixed(0).padStart(5)} s, ${requests} requests, ${load.failed} not whole` +
      processes.map(({ process, samples }) => `; ${process.name} ${formatSample(samples.at(-1)!)}`).join(''))
  }
  for (const { process, samples } of processes) printSlopes(process.name, samples.filter(({ atSeconds }) => atSeconds >= seconds * fillingPart))
}

async function takeSample (process: BenchProcess, atSeconds: number): Promise<Sample> {
  const kept = await process.askProbe({ ask: 'memory' })
  return { atSeconds, ...kept, residentMegabytes: readProcessUse(process.pid).residentMegabytes }
}

function formatSample ({ heapMegabytes, externalMegabytes, residentMegabytes }: Sample): string {
  return [heapMegabytes, externalMegabytes, residentMegabytes].map(megabytes => megabytes.toFixed(1)).join(' ')
}

function printSlopes (name: string, samples: Sample[]): void {
  const measureSlope = (read: (sample: Sample) => number): string => {
    const { slope } = fitLine(samples.map(sample => ({ size: sample.atSeconds / secondsPerMinute, value: read(sample) })))
    return slope.toFixed(2)
  }
  console.log(`${name}, slope of the second half in MB a minute: heap ${measureSlope(sample => sample.heapMegabytes)}, ` +
    `buffers ${measureSlope(sample => sample.externalMegabytes)}, resident ${measureSlope(sample => sample.residentMegabytes)}`)
}
