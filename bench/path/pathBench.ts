/**
 * The cost of the path: added time to the first token against going straight to the engine, and requests and relayed
 * tokens a second for a core, with gateway, scheduler and stand-ins as processes of their own.
 */
import { parseArgs } from 'node:util'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { addEngine, callerHeaders, model, startArrangement, stopArrangement } from './arrangement.js'
import type { Arrangement } from './arrangement.js'
import { watchMemory } from './memoryWatch.js'
import { measureLoad, runLoad } from './pathLoad.js'
import { streamAnswer } from './streamClient.js'

const microsecondsPerMs = 1000

/** Targets: added time at the 95th percentile; ten times a host's share of the peak. */
const maxAddedMs = 3
const minRequestsPerSecond = 280
const minTokensPerSecond = 80_000

const largeLoad = { streams: 400, tokens: 250 }
/** Covers the lag of the list of hosts, the lease and the load of the adapter on the second engine. */
const warmUpSeconds = 4

async function findHandle (pool: Pool): Promise<string> {
  const response = await pool.request({ method: 'GET', path: '/report' })
  const report = await response.body.json() as { adapters: Array<{ handle: string }> }
  return report.adapters[0]!.handle
}

function readPercentiles (histogram: Histogram): number[] {
  return [50, 95, 99].map(percentile => histogram.getValueAtPercentile(percentile) / microsecondsPerMs)
}

/** Alternates between both ways, so that the machine's noise falls on both. */
async function measureAddedTime (engine: Pool, gateway: Pool, requests: number): Promise<void> {
  const handle = await findHandle(engine)
  const [direct, through] = [build(), build()]
  for (let index = 0; index < requests; index++) {
    direct.recordValue(Math.round((await streamAnswer(engine, {}, handle, 2)).firstTokenMs * microsecondsPerMs))
    through.recordValue(Math.round((await streamAnswer(gateway, callerHeaders, model, 2)).firstTokenMs * microsecondsPerMs))
  }
  const directMs = readPercentiles(direct)
  const throughMs = readPercentiles(through)
  console.log(`first token at low load, ${requests} requests each way (p50, p95, p99 in ms)`)
  console.log(`  straight to the engine  ${directMs.map(ms => ms.toFixed(2)).join('  ')}`)
  console.log(`  through the system      ${throughMs.map(ms => ms.toFixed(2)).join('  ')}`)
  const addedMs = throughMs.map((ms, index) => ms - directMs[index]!)
  console.log(`  added                   ${addedMs.map(ms => ms.toFixed(2)).join('  ')}   target: p95 at most ${maxAddedMs} ms: ${addedMs[1]! <= maxAddedMs ? 'met' : 'MISSED'}`)
}

async function measurePath (arrangement: Arrangement, gateway: Pool, options: { seconds: number, requests: number, profile?: string }): Promise<void> {
  const { seconds, requests, profile } = options
  const engine = new Pool(`http://127.0.0.1:${arrangement.enginePort}`)
  await measureAddedTime(engine, gateway, requests)
  const secondStandin = await addEngine(arrangement)
  await runLoad(gateway, largeLoad.streams, largeLoad.tokens, warmUpSeconds)
  const processes = [arrangement.gateway, arrangement.scheduler, arrangement.standin, secondStandin]
  const short = await measureLoad(processes, gateway, 60, 1, seconds, profile)
  console.log(`  target: ${minRequestsPerSecond} requests/s for a host: ${short.requests / short.seconds >= minRequestsPerSecond ? 'met' : 'MISSED'}`)
  const long = await measureLoad(processes, gateway, largeLoad.streams, largeLoad.tokens, seconds, profile)
  console.log(`  target: ${minTokensPerSecond} tokens/s for a host: ${long.tokens / long.seconds >= minTokensPerSecond ? 'met' : 'MISSED'}`)
  await secondStandin.stop()
  await engine.destroy()
}

/**
 * `--profile FOLDER` writes processor profiles of gateway and scheduler; `--memory SECONDS` measures instead what they
 * keep in memory under a long load. `--port` sets the callers' port; the others lie above it.
 */
async function main (): Promise<void> {
  const { values } = parseArgs({
    options: {
      seconds: { type: 'string', default: '8' },
      requests: { type: 'string', default: '1500' },
      port: { type: 'string', default: '17480' },
      profile: { type: 'string' },
      memory: { type: 'string' }
    }
  })
  const { profile, memory } = values
  const arrangement = await startArrangement({ callersPort: Number(values.port), isProbed: profile !== undefined || memory !== undefined })
  const gateway = new Pool(`http://127.0.0.1:${arrangement.callersPort}`, { connections: 2000 })
  await streamAnswer(gateway, callerHeaders, model, 1)
  await runLoad(gateway, 20, 5, 1)
  if (memory !== undefined) await watchMemory(arrangement, gateway, Number(memory))
  else await measurePath(arrangement, gateway, { seconds: Number(values.seconds), requests: Number(values.requests), ...(profile !== undefined && { profile }) })
  await gateway.destroy()
  await stopArrangement(arrangement)
}

await main()
