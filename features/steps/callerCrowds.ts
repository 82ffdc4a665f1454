/** Steps of crowds of callers before a host or a gateway that runs as a process of its own. */
import assert from 'node:assert/strict'
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { Agent, request } from 'undici'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import { decodeReceivedHeaders, encodeCallerRequestHeaders, encodeEndpointResponseHeaders } from '../../src/platform/standinWire.js'
import { createHostSettings } from '../../src/standin/fleet/hostSettings.js'
import { createRequestId } from '../../src/standin/fleet/fleetCaller.js'
import { fleetHost, startFleet } from '../../src/standin/fleet/startFleet.js'
import type { Fleet } from '../../src/standin/fleet/startFleet.js'
import { startCrowd } from '../support/callerCrowd.js'
import type { CrowdName, CrowdTarget } from '../support/callerCrowd.js'
import { formatGateway, startProcesses } from '../support/processes.js'
import type { ProcessSystem } from '../support/processes.js'
import { startBinary, writeSettings } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { hostsBasePort } from '../support/testPorts.js'
import { waitUntil } from '../support/waitUntil.js'

interface CrowdsWorld {
  crowded: BinaryProcess
  crowdFleet: Fleet | undefined
  crowdSystem: ProcessSystem | undefined
  longServer: Server | undefined
  crowd: { stop: () => void } | undefined
  targets: Record<string, CrowdTarget & { ordinary: OrdinaryRequest }>
  bounds: { memoryMb: number, descriptors: number }
  most: { memoryMb: number, descriptors: number }
  sampling: NodeJS.Timeout | undefined
}

interface OrdinaryRequest { path: string, method: 'GET' | 'POST', headers: Record<string, string>, body?: string }

/** Time of the caller of the ordinary request. */
const ordinaryMs = 40_000
const sampleIntervalMs = 50
const longBytes = 20_000_000
/** Memory of a process beside its heap, of code, buffers and stacks. */
const besideHeapMb = 120
const gatewayDescriptors = 1000
const callerKey = 'sv-example-caller-key'
let nextNetwork = 1

After(async function (this: Partial<CrowdsWorld>) {
  this.crowd?.stop()
  clearInterval(this.sampling)
  this.crowded?.process.kill('SIGKILL')
  this.longServer?.closeAllConnections()
  this.longServer?.close()
  await this.crowdFleet?.stop()
  await this.crowdSystem?.stop()
})

function listLines (headers: Record<string, string>): string[] {
  return Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
}

/** Serves the plain service: requests below `/safe/long` get a long response. */
async function startLongServer (): Promise<Server> {
  const server = createServer((message, response) => {
    const headers = encodeEndpointResponseHeaders(decodeReceivedHeaders(message.headers).requestId ?? '', 'signed')
    message.resume().on('end', () => response.writeHead(200, headers).end(Buffer.alloc(message.url!.endsWith('/long') ? longBytes : 10, 'x')))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return server
}

function readUse (pid: number): CrowdsWorld['most'] {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8')
    return { memoryMb: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024, descriptors: readdirSync(`/proc/${pid}/fd`).length }
  } catch {
    // The process has ended, which another step finds.
    return { memoryMb: 0, descriptors: 0 }
  }
}

function startSampling (world: CrowdsWorld): void {
  world.most = { memoryMb: 0, descriptors: 0 }
  world.sampling = setInterval(() => {
    const { memoryMb, descriptors } = readUse(world.crowded.process.pid!)
    world.most = { memoryMb: Math.max(world.most.memoryMb, memoryMb), descriptors: Math.max(world.most.descriptors, descriptors) }
  }, sampleIntervalMs)
}

async function sendOrdinary ({ host, port, ordinary: { path, ...options } }: CrowdsWorld['targets'][string], ms: number): Promise<number> {
  const dispatcher = new Agent({ connect: { timeout: ms }, headersTimeout: ms, bodyTimeout: ms })
  try {
    const { statusCode, body } = await request(`http://${host}:${port}${path}`, { dispatcher, ...options })
    await body.dump()
    return statusCode
  } finally {
    await dispatcher.destroy()
  }
}

Given('a host of its own with {int} MB of memory, a heap of {int} MB and {int} descriptors', async function (this: CrowdsWorld, memoryMb: number, heapMb: number, maxDescriptors: number) {
  this.longServer = await startLongServer()
  const { port: longPort } = this.longServer.address() as AddressInfo
  this.crowdFleet = await startFleet({ engines: 1, services: 2, openRoute: async (id, address) => id === 'i-1' ? address : `127.0.0.1:${longPort}` })
  const settings = createHostSettings({ index: 1, network: `127.${210 + nextNetwork++ % 20}.0`, basePort: hostsBasePort, storeAddress: this.crowdFleet.store.address }, { memoryMb, maxDescriptors })
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'settings.json')
  writeFileSync(file, encodeHostSettings(settings))
  this.crowded = startBinary('host', { [settingsFileVariable]: file, NODE_OPTIONS: `--max-old-space-size=${heapMb} --max-semi-space-size=4` })
  this.bounds = { memoryMb, descriptors: maxDescriptors }
  const headers = encodeCallerRequestHeaders({ requestId: createRequestId(), host: fleetHost, timeLeftMs: ordinaryMs })
  const proxied = {
    host: settings.address,
    plain: ['GET /safe/x HTTP/1.1', ...listLines(headers)],
    withBody: ['POST /once/x HTTP/1.1', ...listLines(headers)],
    long: ['GET /safe/long HTTP/1.1', ...listLines(headers)],
    ordinary: { path: '/safe/x', method: 'GET' as const, headers }
  }
  const news = '/news?logId=&position=0&waitMs=0'
  this.targets = {
    'callers\' port': { ...proxied, port: Number(settings.callersAddress.split(':')[1]) },
    'peers\' port': { ...proxied, port: settings.datagramPort },
    'relay port': {
      host: settings.address,
      port: Number(settings.peersAddress.split(':')[1]),
      plain: [`GET ${news} HTTP/1.1`, 'host: x'],
      withBody: ['POST /transact HTTP/1.1', 'host: x'],
      long: [`GET ${news} HTTP/1.1`, 'host: x'],
      ordinary: { path: news, method: 'GET', headers: {} }
    }
  }
  await waitUntil(async () => await sendOrdinary(this.targets['callers\' port']!, ordinaryMs).catch(() => 0) === 200)
})

Given('a gateway of its own with a heap of {int} MB', async function (this: CrowdsWorld, heapMb: number) {
  this.crowdSystem = await startProcesses({ engines: 1, schedulers: 1, gateways: 0 })
  this.crowded = startBinary('gateway', { NODE_OPTIONS: `--max-old-space-size=${heapMb} --max-semi-space-size=4` }, [writeSettings(formatGateway(1, this.crowdSystem.platform))])
  let ports: RegExpExecArray | null = null
  let operators: RegExpExecArray | null = null
  await waitUntil(() => {
    ports = /takes callers on port (\d+)\./.exec(this.crowded.errors)
    operators = /takes operators on port (\d+)/.exec(this.crowded.errors)
    return ports !== null && operators !== null
  })
  this.bounds = { memoryMb: heapMb + besideHeapMb, descriptors: gatewayDescriptors }
  const headers = { authorization: `Bearer ${callerKey}`, 'content-type': 'application/json' }
  const body = JSON.stringify({ model: 'cluj-tax', max_tokens: 4, messages: [{ role: 'user', content: 'x' }] })
  const createTarget = (port: string, ordinary: OrdinaryRequest, bodyPath: string): CrowdsWorld['targets'][string] => ({
    host: '127.0.0.1',
    port: Number(port),
    plain: [`GET ${ordinary.path === '/' ? '/' : '/v1/models'} HTTP/1.1`, 'host: x', ...listLines(headers)],
    withBody: [`POST ${bodyPath} HTTP/1.1`, 'host: x', ...listLines(headers)],
    long: [],
    ordinary
  })
  this.targets = {
    'gateway port': createTarget(ports![1]!, { path: '/v1/chat/completions', method: 'POST', headers, body }, '/v1/chat/completions'),
    'operators\' port': createTarget(operators![1]!, { path: '/', method: 'GET', headers: {} }, '/api/records')
  }
  await waitUntil(async () => await sendOrdinary(this.targets['gateway port']!, ordinaryMs).catch(() => 0) === 200)
})

When(/^a crowd of callers on its (.+ port) go on for (\d+) s that (.+)$/, async function (this: CrowdsWorld, port: string, seconds: string, crowd: CrowdName) {
  startSampling(this)
  this.crowd = startCrowd(crowd, this.targets[port]!)
  await sleep(Number(seconds) * 1000)
})

Then(/^its process lives and answers an ordinary request on its (.+ port)$/, async function (this: CrowdsWorld, port: string) {
  const status = await sendOrdinary(this.targets[port]!, ordinaryMs).catch((error: Error) => error.message)
  const { exitCode, signalCode } = this.crowded.process
  assert.deepEqual({ exitCode, signalCode, status }, { exitCode: null, signalCode: null, status: 200 }, `most: ${JSON.stringify(this.most)}`)
})

Then('it stayed within its memory and descriptors', function (this: CrowdsWorld) {
  const { memoryMb, descriptors } = this.most
  assert.ok(memoryMb <= this.bounds.memoryMb && descriptors <= this.bounds.descriptors, JSON.stringify(this.most))
})
