/** Steps of responses that are paused when their connection ends. */
import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import type { EndpointLink, RequestInFlight, ResponseReceiver } from '../../src/ports/endpointLink.js'
import { formatChunk } from '../../src/standin/fleet/endlessAnswer.js'
import type { EndlessEnd, EndlessFormName } from '../../src/standin/fleet/endlessAnswer.js'
import { FleetCaller, isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { formatRawRequest } from '../../src/standin/fleet/rawCaller.js'
import type { Fleet } from '../../src/standin/fleet/startFleet.js'
import { waitUntil } from '../support/waitUntil.js'

interface PausedWorld {
  pausedServer: Server
  endpointSocket: Socket | undefined
  pausedLink: EndpointLink
  inFlight: RequestInFlight
  receiver: PausingReceiver
  thrown: Error[]
  recordThrown: (error: Error) => void
  sentBytes: number
  sendRest: (socket: Socket) => void
  /** Of the steps of a host of its own. */
  crowdFleet: Fleet
  targets: Record<string, { host: string, port: number }>
  slowCallers: Socket[] | undefined
}

interface Framing {
  readonly head: string
  readonly isChunked: boolean
}

const bodyBytes = 1000
const firstBytes = 100
/** Lets what was written before arrive as a read of its own. */
const gapMs = 50
const callerTimeLeftMs = 20_000

const framings: Readonly<Record<string, Framing>> = Object.freeze({
  'its connection': { head: '', isChunked: false },
  'its connection, which it closes': { head: 'connection: close\r\n', isChunked: false },
  'a length, before a close': { head: `connection: close\r\ncontent-length: ${bodyBytes}\r\n`, isChunked: false },
  'chunks, before a close': { head: 'connection: close\r\ntransfer-encoding: chunked\r\n', isChunked: true },
  'a length': { head: `content-length: ${bodyBytes}\r\n`, isChunked: false },
  chunks: { head: 'transfer-encoding: chunked\r\n', isChunked: true }
})

/** Pauses at the first bytes. */
class PausingReceiver implements ResponseReceiver {
  received = 0
  #sentBytes: number
  results: string[] = []

  constructor (sentBytes: number) {
    this.#sentBytes = sentBytes
  }

  confirmSend (): boolean {
    return true
  }

  receiveHead (): void {}

  receiveData (chunk: Buffer): boolean {
    const isFirst = this.received === 0
    this.received += chunk.length
    return !isFirst
  }

  receiveEnd (): void {
    this.results.push(this.received === this.#sentBytes ? 'the whole body' : `${this.received} bytes as the whole body`)
  }

  receiveFailure (): void {
    this.results.push('a failure')
  }
}

After(async function (this: Partial<PausedWorld>) {
  this.pausedLink?.close()
  this.endpointSocket?.destroy()
  this.pausedServer?.close()
  for (const socket of this.slowCallers ?? []) socket.destroy()
  if (!this.recordThrown) return
  await sleep(gapMs)
  process.off('uncaughtException', this.recordThrown)
})

Given(/^a link to an endpoint that sends (\d+) bytes of a response framed by (.+)$/, async function (this: PausedWorld, sent: string, name: string) {
  const { head, isChunked } = framings[name]!
  const format = (bytes: number): string => isChunked ? formatChunk('x'.repeat(bytes)) : 'x'.repeat(bytes)
  this.thrown = []
  this.recordThrown = error => { this.thrown.push(error) }
  process.on('uncaughtException', this.recordThrown)
  this.sentBytes = Number(sent)
  const lastChunk = isChunked && this.sentBytes === bodyBytes ? '0\r\n\r\n' : ''
  this.sendRest = socket => { if (this.sentBytes > firstBytes) socket.write(format(this.sentBytes - firstBytes) + lastChunk) }
  this.pausedServer = createServer(socket => {
    this.endpointSocket = socket.on('error', () => {})
    socket.once('data', () => socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${format(firstBytes)}`))
  })
  await new Promise<void>(resolve => this.pausedServer.listen(0, '127.0.0.1', resolve))
  this.pausedLink = openHttpEndpointLink({ address: `127.0.0.1:${(this.pausedServer.address() as AddressInfo).port}`, getMaxConnections: () => 8, readNow: () => performance.now() })
})

async function pauseResponse (world: PausedWorld): Promise<Socket> {
  world.receiver = new PausingReceiver(world.sentBytes)
  world.inFlight = world.pausedLink.send({ id: 'r1', method: 'GET', path: '/', headers: ['host', 'x'], body: undefined }, world.receiver)
  await waitUntil(() => world.receiver.received > 0)
  world.sendRest(world.endpointSocket!)
  await sleep(gapMs)
  return world.endpointSocket!
}

When(/^its receiver pauses at the first bytes, and the endpoint (ends its side|resets|ends its side, then resets)$/, async function (this: PausedWorld, ends: string) {
  const socket = await pauseResponse(this)
  if (ends.startsWith('ends')) socket.end()
  if (ends.includes('then')) await sleep(gapMs)
  if (ends.endsWith('resets')) socket.resetAndDestroy()
})

When('its receiver pauses at the first bytes, and the request is cancelled', async function (this: PausedWorld) {
  await pauseResponse(this)
  this.inFlight.cancel()
})

When('the receiver goes on after {int} ms', async function (this: PausedWorld, ms: number) {
  await sleep(ms)
  this.inFlight.resume()
  await sleep(ms)
})

Then(/^the receiver gets (the whole body|a failure|nothing), and nothing is thrown outside of a call$/, function (this: PausedWorld, result: string) {
  assert.deepEqual(this.thrown, [])
  assert.deepEqual(this.receiver.results, result === 'nothing' ? [] : [result])
})

Then('the endpoint\'s connection is closed', async function (this: PausedWorld) {
  await waitUntil(() => this.endpointSocket!.destroyed)
})

Given(/^its engine streams events (.+)$/, async function (this: PausedWorld, framing: string) {
  const { host, port } = this.targets['callers\' port']!
  const caller = new FleetCaller()
  await waitUntil(async () => isWhole(await caller.call({ kind: 'stream', address: `${host}:${port}`, adapter: 'a1' })))
  await caller.close()
  for (const { server } of this.crowdFleet.engines) server.setFaults({ endless: `events ${framing}` as EndlessFormName })
})

const engineEnds: Readonly<Record<string, EndlessEnd>> = Object.freeze({ 'the engine ends its side before they leave': 'ends', 'the engine resets before they leave': 'resets' })

When(/^(\d+) callers ask for a stream and read nothing, and (.+)$/, async function (this: PausedWorld, count: string, ends: string) {
  const { host, port } = this.targets['callers\' port']!
  for (const { server } of this.crowdFleet.engines) server.setFaults({ endlessEnd: engineEnds[ends] ?? '' })
  const runsBefore = this.crowdFleet.journal.runs.length
  this.slowCallers = Array.from({ length: Number(count) }, () => {
    const socket = connect({ host, port }).on('error', () => {}).pause()
    socket.write(formatRawRequest({ kind: 'stream', adapter: 'a1', timeLeftMs: callerTimeLeftMs }))
    return socket
  })
  await waitUntil(() => this.crowdFleet.journal.runs.length >= runsBefore + Number(count))
  await sleep(1500)
  if (ends === 'the callers reset') for (const socket of this.slowCallers) socket.resetAndDestroy()
  else for (const socket of this.slowCallers) socket.destroy()
  await sleep(1000)
})
