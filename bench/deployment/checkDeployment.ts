/**
 * Runs both example deployments as real processes, puts a bounded load and a few faults on each, and holds the engines' and
 * services' journals against what callers were told. Ends with code 1 where a promise was broken.
 */
import { parseArgs } from 'node:util'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createHttpPlatform } from '../../src/adapters/httpPlatform/httpPlatform.js'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { registerRecords } from '../../src/bin/registerRecords.js'
import type { ConfigurationRecord } from '../../src/schemas/configuration.js'
import type { FaultChange } from '../../src/standin/engineFaults.js'
import type { JournalEntry } from '../../src/standin/engineModel.js'
import type { ServiceFaults, ServiceJournalEntry } from '../../src/standin/serviceServer.js'
import { runLoad, sendCall } from '../../playground/callerLoad.js'
import type { CallResult } from '../../playground/callerLoad.js'
import { formatFindings, judgeCalls } from '../../playground/judgeCalls.js'
import { readUses, startExample } from './exampleProcesses.js'
import type { ExampleDeployment, Use } from './exampleProcesses.js'

const adapterCount = 120
const parallelCalls = 24
/** Time for the runtime to compile what runs at rest. */
const settleMs = 15_000
const idleMs = 10_000
const readyLimitMs = 30_000

/** Switched when the request with this number, counted round 100, is sent; on the engines in turn. */
const faults: Record<number, FaultChange> = {
  10: { cutStreams: { count: 3, afterTokens: 2 } },
  25: { failLoads: { count: 2 } },
  40: { lateFrames: 2, duplicateFrames: 2 },
  70: { restart: true }
}
const serviceFaults: ServiceFaults = { cutBeforeRunning: 2, cutAfterRunning: 2 }

interface ServiceCall {
  body: string
  status: number
  verdict: string
}

function createRecords (service: string): ConfigurationRecord[] {
  return [
    { kind: 'class', name: 'check', target: { kind: 'firstTokenWithin', ms: 20_000 } },
    { kind: 'service', name: service, routes: [{ method: 'POST', path: '/', idempotent: false }] },
    ...Array.from({ length: adapterCount }, (_, index): ConfigurationRecord => ({
      kind: 'adapter', name: `adapter-${index}`, baseModel: 'base-1', versions: ['1', '2'], currentVersion: '2', defaultClass: 'check'
    }))
  ]
}

async function post (url: string, body: unknown): Promise<void> {
  await fetch(url, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
}

async function waitUntilReady ({ gatewayUrls }: ExampleDeployment): Promise<void> {
  const endMs = performance.now() + readyLimitMs
  for (const url of gatewayUrls) {
    const call = { url, model: 'adapter-0', maxTokens: 1, isStream: false, prompt: 'ready?' }
    while (!(await sendCall(call)).isWhole) {
      if (performance.now() > endMs) throw new Error(`the gateway at ${url} serves nothing after ${readyLimitMs} ms`)
      await new Promise(resolve => setTimeout(resolve, 200))
    }
  }
}

/** Skewed: half of the requests go to an eighth of the adapters. */
async function runCalls ({ gatewayUrls, engines }: ExampleDeployment, count: number, seed: number): Promise<CallResult[]> {
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformFloat64(generator)
  return await runLoad({
    parallel: parallelCalls,
    count,
    createCall: index => {
      const fault = faults[index % 100]
      if (fault) post(`http://${engines[Math.floor(index / 100) % engines.length]}/faults`, fault)
      return {
        url: gatewayUrls[index % gatewayUrls.length]!,
        model: `adapter-${Math.floor(adapterCount * random() ** 3)}${index % 3 === 0 ? '@1' : ''}`,
        maxTokens: 4 + Math.floor(random() * 12),
        isStream: index % 4 !== 0,
        prompt: `question ${index}`
      }
    }
  })
}

async function runServiceCalls ({ gatewayUrls, standin, services }: ExampleDeployment, count: number): Promise<ServiceCall[]> {
  const calls: ServiceCall[] = []
  for (let index = 0; index < count; index++) {
    if (index % 40 === 20) await post(`http://${services[index % services.length]}/faults`, serviceFaults)
    const response = await fetch(`${gatewayUrls[index % gatewayUrls.length]}/services/${standin.services.name}/check-ins`, {
      method: 'POST', headers: { authorization: `Bearer ${exampleCallerKey}`, 'content-type': 'text/plain' }, body: `check-in ${index}`
    })
    await response.text()
    calls.push({ body: `check-in ${index}`, status: response.status, verdict: response.headers.get('sedgevalve-verdict') ?? '' })
  }
  return calls
}

async function readJournal<T> (address: string): Promise<T[]> {
  const entries: T[] = []
  for (;;) {
    const response = await fetch(`http://${address}/journal?after=${entries.length}`)
    const page = await response.json() as { entries: T[], dropped: number }
    if (page.dropped > 0) throw new Error(`the journal at ${address} is not complete`)
    if (page.entries.length === 0) return entries
    entries.push(...page.entries)
  }
}

async function readJournals<T> (addresses: string[]): Promise<T[]> {
  return (await Promise.all(addresses.map(async address => await readJournal<T>(address)))).flat()
}

/** Names the calls that ran twice, were answered without having run, or ran although they were called not run. */
function judgeServiceCalls (calls: ServiceCall[], journal: ServiceJournalEntry[]): string[] {
  return calls.flatMap(({ body, status, verdict }) => {
    const runs = journal.filter(entry => entry.body === body).length
    const isBroken = runs > 1 || (status === 200 && runs !== 1) || (verdict === 'not-run' && runs > 0)
    return isBroken ? [`${body}: status ${status}, verdict "${verdict}", ran ${runs} times`] : []
  })
}

function printUses ({ processes }: ExampleDeployment, [start, idle, end]: [Use[], Use[], Use[]], loadSeconds: number): void {
  console.log('  process        bytes/s out  bytes/s in  cores idle  cores loaded  MB')
  processes.forEach(({ name }, index) => {
    const [first, second, last] = [start[index]!, idle[index]!, end[index]!]
    const written = (second.writtenBytes - first.writtenBytes) / (idleMs / 1000)
    const read = (second.readBytes - first.readBytes) / (idleMs / 1000)
    const idleCores = (second.processorSeconds - first.processorSeconds) / (idleMs / 1000)
    const loadedCores = (last.processorSeconds - second.processorSeconds) / loadSeconds
    console.log(`  ${name.padEnd(13)}  ${written.toFixed(0).padStart(11)}  ${read.toFixed(0).padStart(10)}  ${idleCores.toFixed(3).padStart(10)}  ` +
      `${loadedCores.toFixed(3).padStart(12)}  ${last.residentMegabytes.toFixed(0).padStart(3)}`)
  })
}

function countBy (calls: Array<{ verdict: string }>): string {
  const counts = new Map<string, number>()
  for (const { verdict } of calls) counts.set(verdict || 'answered', (counts.get(verdict || 'answered') ?? 0) + 1)
  return [...counts].map(([name, count]) => `${name} ${count}`).join(', ')
}

/** Runs the load and judges it; resolves to whether every promise held. */
async function checkExample (deployment: ExampleDeployment, count: number, seed: number): Promise<boolean> {
  const { standin, processes } = deployment
  const platform = createHttpPlatform(`${standin.platform.address}:${standin.platform.port}`)
  await registerRecords(platform.table, createRecords(standin.services.name))
  await platform.close()
  await waitUntilReady(deployment)
  await new Promise(resolve => setTimeout(resolve, settleMs))
  const start = readUses(processes)
  await new Promise(resolve => setTimeout(resolve, idleMs))
  const idle = readUses(processes)
  const startedMs = performance.now()
  const [results, serviceCalls] = await Promise.all([runCalls(deployment, count, seed), runServiceCalls(deployment, count / 4)])
  const loadSeconds = (performance.now() - startedMs) / 1000
  const end = readUses(processes)
  const journal = await readJournals<JournalEntry>(deployment.engines)
  const findings = judgeCalls(results, journal)
  const serviceFindings = judgeServiceCalls(serviceCalls, await readJournals<ServiceJournalEntry>(deployment.services))
  const broken = [...Object.values(findings as unknown as Record<string, string[]>).flat(), ...serviceFindings]
  console.log(`${deployment.name}: ${processes.length} processes, seed ${seed}, ${loadSeconds.toFixed(1)} s of load`)
  console.log(`  requests: ${countBy(results)}; engine restarts ${journal.filter(({ kind }) => kind === 'restarted').length}`)
  console.log(`  service calls: ${countBy(serviceCalls)}`)
  console.log(`  findings: ${formatFindings(findings)}, service calls ${serviceFindings.length}`)
  for (const line of broken.slice(0, 10)) console.log(`    ${line}`)
  printUses(deployment, [start, idle, end], loadSeconds)
  return broken.length === 0
}

async function main (): Promise<void> {
  const { values } = parseArgs({
    options: { requests: { type: 'string', default: '300' }, seed: { type: 'string', default: '1' }, only: { type: 'string' } }
  })
  const names = values.only === undefined ? ['scutire', 'blue-mahoe'] : [values.only]
  for (const name of names) {
    const deployment = await startExample(name)
    try {
      if (!await checkExample(deployment, Number(values.requests), Number(values.seed))) process.exitCode = 1
    } finally {
      await deployment.stop()
    }
  }
}

await main()
