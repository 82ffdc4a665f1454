/**
 * The cost of the path: added time to the first token against going straight to the engine, and requests and relayed
 * tokens a second for a core, with gateway, scheduler and stand-ins as processes of their own.
 */
import { parseArgs } from 'node:util'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { readProcessUse, startBinary } from './childProcesses.js'
import type { BenchProcess } from './childProcesses.js'
import { streamAnswer } from './streamClient.js'

const platformPort = 17490
const enginePort = 17600
const callersPort = 17480
const key = 'bench-peer-key-0000'
const model = 'cluj-tax'
const callerHeaders = { authorization: `Bearer ${exampleCallerKey}` }
const microsecondsPerMs = 1000

/** Targets: added time at the 95th percentile; ten times a host's share of the peak. */
const maxAddedMs = 3
const minRequestsPerSecond = 280
const minTokensPerSecond = 80_000

interface Arrangement {
  standin: BenchProcess
  scheduler: BenchProcess
  gateway: BenchProcess
}

async function startArrangement (): Promise<Arrangement> {
  const platform = `[platform]\naddress = 127.0.0.1:${platformPort}\n`
  const standin = await startBinary('standin', `
[platform]
port = ${platformPort}
[engines]
count = 1
firstPort = ${enginePort}
batchLimit = 4000
stepBaseMs = 1
stepPerRequestMs = 0
prefillPerTokenMs = 0
[store]
loadMs = 10`, /Stand-ins run/)
  const scheduler = await startBinary('scheduler', `[host]\nid = scheduler-1\nzone = az-1\n${platform}[peers]\nport = 0\nkey = ${key}\n`, /takes links/)
  const gateway = await startBinary('gateway',
    `[host]\nid = gateway-1\nzone = az-1\n${platform}[peers]\nkey = ${key}\n[callers]\nport = ${callersPort}\n[operators]\nport = 0\n`, /takes callers/)
  return { standin, scheduler, gateway }
}

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

interface LoadResult {
  seconds: number
  requests: number
  tokens: number
  failed: number
}

/** Runs a closed loop of streams for a time. */
async function runLoad (gateway: Pool, streams: number, tokens: number, seconds: number): Promise<LoadResult> {
  const startedMs = performance.now()
  const endMs = startedMs + seconds * 1000
  const result: LoadResult = { seconds, requests: 0, tokens: 0, failed: 0 }
  const runStream = async (): Promise<void> => {
    while (performance.now() < endMs) {
      const answer = await streamAnswer(gateway, callerHeaders, model, tokens)
      result.requests++
      result.tokens += answer.tokens
      if (!answer.isWhole || answer.tokens !== tokens) result.failed++
    }
  }
  await Promise.all(Array.from({ length: streams }, runStream))
  result.seconds = (performance.now() - startedMs) / 1000
  return result
}

async function measureLoad (arrangement: Arrangement, gateway: Pool, streams: number, tokens: number, seconds: number): Promise<LoadResult> {
  const processes = [arrangement.gateway, arrangement.scheduler, arrangement.standin]
  const before = processes.map(({ pid }) => readProcessUse(pid))
  const result = await runLoad(gateway, streams, tokens, seconds)
  const after = processes.map(({ pid }) => readProcessUse(pid))
  const requestRate = result.requests / result.seconds
  const tokenRate = result.tokens / result.seconds
  console.log(`${streams} streams of ${tokens} tokens for ${result.seconds.toFixed(1)} s: ` +
    `${requestRate.toFixed(0)} requests/s, ${tokenRate.toFixed(0)} tokens/s, ${result.failed} not whole`)
  processes.forEach(({ name }, index) => {
    const cores = (after[index]!.processorSeconds - before[index]!.processorSeconds) / result.seconds
    console.log(`  ${name.padEnd(10)} ${cores.toFixed(2)} cores, ${(requestRate / cores).toFixed(0)} requests/s and ` +
      `${(tokenRate / cores).toFixed(0)} tokens/s for a core, ${after[index]!.residentMegabytes.toFixed(0)} MB`)
  })
  return result
}

async function main (): Promise<void> {
  const { values } = parseArgs({ options: { seconds: { type: 'string', default: '8' }, requests: { type: 'string', default: '1500' } } })
  const seconds = Number(values.seconds)
  const arrangement = await startArrangement()
  const engine = new Pool(`http://127.0.0.1:${enginePort}`)
  const gateway = new Pool(`http://127.0.0.1:${callersPort}`, { connections: 2000 })
  await streamAnswer(gateway, callerHeaders, model, 1)
  await runLoad(gateway, 20, 5, 1)
  await measureAddedTime(engine, gateway, Number(values.requests))
  const short = await measureLoad(arrangement, gateway, 60, 1, seconds)
  console.log(`  target: ${minRequestsPerSecond} requests/s for a host: ${short.requests / short.seconds >= minRequestsPerSecond ? 'met' : 'MISSED'}`)
  const long = await measureLoad(arrangement, gateway, 400, 250, seconds)
  console.log(`  target: ${minTokensPerSecond} tokens/s for a host: ${long.tokens / long.seconds >= minTokensPerSecond ? 'met' : 'MISSED'}`)
  await Promise.all([engine.destroy(), gateway.destroy()])
  await arrangement.gateway.stop()
  await arrangement.scheduler.stop()
  await arrangement.standin.stop()
}

await main()
