/** Steps of connections that callers end, or that errors on them end. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import { decodeRequest } from '../../src/platform/requestWire.js'
import type { CallerResponse } from '../../src/tasks/proxy/callerResponse.js'
import { CallerListener } from '../../src/tasks/proxy/callerListener.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { startBinary } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'

interface EndsWorld extends HostsWorld {
  hostProcess: BinaryProcess
  endsAddress: string
  endsListener: CallerListener
  endsCaller: Socket
  /** What the caller has received. */
  received: string
  stopMs: number
  begun: string[]
  cancelled: string[]
}

const pieceBytes = 65_536
const tunnelRequest = 'CONNECT x:80 HTTP/1.1\r\nhost: x\r\n\r\n'
/** A process that an error ends has ended after this time. */
const settleMs = 1000
/** What a caller sends behind its whole requests before it leaves. */
const partialBytes: Readonly<Record<string, string>> = Object.freeze({
  nothing: '',
  'half a head': 'GET /half HT',
  'half a body': 'POST /half HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nabc',
  'bytes that are no request': 'no request at all\r\n\r\n',
  'a request for a tunnel': tunnelRequest
})
const endingRequests: Readonly<Record<string, string>> = Object.freeze({
  'a request without a host': 'GET /first HTTP/1.1\r\n\r\n',
  'a kept request of HTTP/1.0': 'GET /first HTTP/1.0\r\nhost: x\r\nconnection: keep-alive\r\n\r\n'
})

After(async function (this: Partial<EndsWorld>) {
  this.hostProcess?.process.kill('SIGKILL')
  this.endsCaller?.destroy()
  this.endsListener?.close()
})

function formatGet (path: string, headerLine = ''): string {
  return `GET ${path} HTTP/1.1\r\nhost: x\r\n${headerLine}\r\n`
}

async function openCaller (world: EndsWorld): Promise<Socket> {
  const [host, port] = world.endsAddress.split(':')
  const socket = connect({ host, port: Number(port), allowHalfOpen: true })
  socket.setEncoding('latin1').on('error', () => {}).on('data', chunk => { world.received += String(chunk) })
  world.received = ''
  await once(socket, 'connect')
  world.endsCaller = socket
  return socket
}

/** Starts a listener whose requests are answered by `respond` unless they are cancelled. */
async function startListener (world: EndsWorld, respond: (response: CallerResponse) => void, afterMs: number): Promise<void> {
  world.begun = []
  world.cancelled = []
  const fleet = await HostFleet.prepare(1, { engines: 1 })
  world.hostFleet = fleet
  world.endsAddress = fleet.hosts[0]!.settings.callersAddress
  world.endsListener = new CallerListener({
    address: world.endsAddress,
    clock: createSystemClock(),
    log: { record: () => {} },
    decodeRequest,
    getLimits: () => undefined,
    maxHeldBytes: 100_000_000,
    createHandle: ({ path }, response) => {
      let timer: NodeJS.Timeout | undefined
      return {
        serve: async () => {
          world.begun.push(path)
          timer = setTimeout(() => respond(response), afterMs)
        },
        receiveError: () => {},
        receiveCallerDisconnect: () => {
          clearTimeout(timer)
          world.cancelled.push(path)
        },
        receiveUnknownCaller: () => {},
        receiveStop: () => {}
      }
    }
  })
  await world.endsListener.start()
}

Given('a running host process', async function (this: EndsWorld) {
  this.hostFleet = await HostFleet.prepare(1, { engines: 1 })
  const { settings } = this.hostFleet.hosts[0]!
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'host.json')
  writeFileSync(file, encodeHostSettings(settings))
  this.endsAddress = settings.callersAddress
  this.hostProcess = startBinary('host', { [settingsFileVariable]: file })
  await waitUntil(() => this.hostProcess.output.includes('host.started'))
})

When(/^a caller asks for a tunnel (at once|behind a whole request), and resets its connection$/, async function (this: EndsWorld, where: string) {
  const caller = await openCaller(this)
  caller.write((where === 'at once' ? '' : formatGet('/first')) + tunnelRequest)
  await sleep(50)
  caller.resetAndDestroy()
  await sleep(settleMs)
})

Then('the host process runs on', function (this: EndsWorld) {
  assert.deepEqual({ code: this.hostProcess.process.exitCode, errors: this.hostProcess.errors }, { code: null, errors: '' })
})

Given('a listener whose requests take {int} ms', async function (this: EndsWorld, ms: number) {
  await startListener(this, response => {
    response.writeHead(200, [])
    response.write(Buffer.from('o'), () => {})
    response.end(Buffer.from('k'))
  }, ms)
})

When(/^a caller sends (\d+) requests and (.+), and closes its connection after (\d+) ms$/, async function (this: EndsWorld, count: string, what: string, ms: string) {
  const caller = await openCaller(this)
  caller.write(Array.from({ length: Number(count) }, (_, index) => formatGet(`/${index + 1}`)).join('') + partialBytes[what]!)
  await sleep(Number(ms))
  caller.destroy()
})

When('its requests have had {int} ms', async function (ms: number) { await sleep(ms) })

Then('the first request was cancelled, and no other one has begun', function (this: EndsWorld) {
  assert.deepEqual({ begun: this.begun, cancelled: this.cancelled }, { begun: ['/1'], cancelled: ['/1'] })
})

When(/^a caller sends (.+) with a request behind it, and its connection ends$/, async function (this: EndsWorld, what: string) {
  const caller = await openCaller(this)
  caller.write(endingRequests[what]! + formatGet('/behind'))
  await once(caller, 'end')
  await sleep(settleMs)
})

Then('the request behind it has not begun', function (this: EndsWorld) {
  assert.ok(!this.begun.includes('/behind'), JSON.stringify({ begun: this.begun, received: this.received }))
})

Given('a listener whose answers have {int} bytes in pieces', async function (this: EndsWorld, bytes: number) {
  await startListener(this, response => {
    let leftBytes = bytes
    response.writeHead(200, ['Content-Length', String(bytes)])
    writePieces()
    function writePieces (): void {
      while (leftBytes > 0) {
        const piece = Buffer.alloc(Math.min(leftBytes, pieceBytes), 'x')
        leftBytes -= piece.length
        if (!response.write(piece, writePieces)) return
      }
      response.end()
    }
  }, 0)
})

When('a caller sends a request and one for a tunnel, and reads from {int} ms on', async function (this: EndsWorld, ms: number) {
  const caller = await openCaller(this)
  caller.pause()
  caller.write(formatGet('/first') + tunnelRequest)
  await sleep(ms)
  caller.resume()
  await Promise.race([once(caller, 'end'), sleep(3000)])
})

Then('it receives all of the answer', function (this: EndsWorld) {
  assert.ok(this.received.length > 20_000_000, `${this.received.length} characters`)
})

When('a caller sends a request and one that expects what no host offers, and the listener stops', async function (this: EndsWorld) {
  const caller = await openCaller(this)
  caller.write(formatGet('/first') + formatGet('/second', 'expect: something\r\n'))
  await sleep(100)
  this.endsListener.disableKeepAlive()
  await once(caller, 'end')
})

When(/^a caller has an answer and sends (an empty line|half a head), and the listener has (\d+) ms to stop$/, { timeout: 20_000 }, async function (this: EndsWorld, what: string, ms: string) {
  const caller = await openCaller(this)
  caller.write(formatGet('/first'))
  await waitUntil(() => this.received.endsWith('0\r\n\r\n'))
  caller.write(what === 'half a head' ? 'GET /half HT' : '\r\n')
  await sleep(50)
  const startedAtMs = performance.now()
  await this.endsListener.drain(0, Number(ms))
  this.stopMs = performance.now() - startedAtMs
})

Then('it has stopped within {int} ms', function (this: EndsWorld, ms: number) {
  assert.ok(this.stopMs < ms, `${this.stopMs} ms`)
})

Then('both get an answer', function (this: EndsWorld) {
  assert.deepEqual([...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]), ['200', '417'])
})

When('a caller writes {int} requests without an answer for {int} ms', async function (this: EndsWorld, count: number, ms: number) {
  const caller = await openCaller(this)
  caller.write(formatGet('/many', `x-filler: ${'x'.repeat(1000)}\r\n`).repeat(count))
  await sleep(ms)
})

Then('at most {int} requests wait at the listener', function (this: EndsWorld, count: number) {
  const { activeRequestCount } = this.endsListener
  assert.ok(activeRequestCount > 0 && activeRequestCount <= count, String(activeRequestCount))
})
