/** Steps for responses that never end. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import { createEngineOrders } from '../../src/platform/engineOrders.js'
import { createStoreClient } from '../../src/platform/storeClient.js'
import type { EngineOrderOutcome } from '../../src/ports/engineOrders.js'
import { waitUntil } from '../support/waitUntil.js'

interface EndlessWorld {
  endlessServer: Server
  address: string
  openSockets: Set<Socket>
  verdict: string
  order: EngineOrderOutcome
  haveReadsFailed: boolean[]
  tookMs: number
  initialBytes: number
  peakBytes: number
  memoryTimer: NodeJS.Timeout
}

const filler = Buffer.alloc(64 * 1024, 'a')
const headers = 'Server-Signature: s\r\nContent-Type: application/json\r\n'
const chunkedHead = `HTTP/1.1 200 OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`
const chunk = Buffer.concat([Buffer.from(`${filler.length.toString(16)}\r\n`), filler, Buffer.from('\r\n')])
/** For each part of a response: the bytes before it, and the bytes that are then sent repeatedly as its endless content. */
const parts: Record<string, { prefix: string, repeated: Buffer }> = {
  'interim response': { prefix: '', repeated: Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2000)) },
  head: { prefix: `HTTP/1.1 200 OK\r\n${headers}`, repeated: Buffer.from('X-More: 1\r\n'.repeat(4000)) },
  header: { prefix: `HTTP/1.1 200 OK\r\n${headers}X-Long: `, repeated: filler },
  'chunk extension': { prefix: `${chunkedHead}5;x=`, repeated: filler },
  'chunk extensions': { prefix: chunkedHead, repeated: Buffer.from(`1;x=${'a'.repeat(3000)}\r\nx\r\n`.repeat(20)) },
  trailers: { prefix: `${chunkedHead}2\r\n{}\r\n0\r\nX-Long: `, repeated: filler },
  body: { prefix: `HTTP/1.1 200 OK\r\n${headers}Connection: close\r\n\r\n`, repeated: filler },
  'chunked body': { prefix: chunkedHead, repeated: chunk }
}

Given(/^an endpoint whose (.+) never ends$/, async function (this: EndlessWorld, part: string) {
  const { prefix, repeated } = parts[part]!
  this.openSockets = new Set()
  this.endlessServer = createServer(socket => {
    this.openSockets.add(socket)
    const send = (): void => {
      while (!socket.destroyed && socket.write(repeated)) { /* Write until backpressure. */ }
    }
    socket.once('data', () => {
      socket.write(prefix)
      socket.on('drain', send)
      send()
    })
    socket.on('error', () => {})
    socket.on('close', () => this.openSockets.delete(socket))
  })
  await new Promise<void>(resolve => this.endlessServer.listen(0, '127.0.0.1', resolve))
  this.address = `127.0.0.1:${(this.endlessServer.address() as AddressInfo).port}`
  const readRssBytes = (): number => process.memoryUsage.rss()
  this.initialBytes = readRssBytes()
  this.peakBytes = this.initialBytes
  this.memoryTimer = setInterval(() => { this.peakBytes = Math.max(this.peakBytes, readRssBytes()) }, 20)
})

After(async function (this: EndlessWorld) {
  if (!this.endlessServer) return
  clearInterval(this.memoryTimer)
  for (const socket of this.openSockets) socket.destroy()
  await new Promise<void>(resolve => this.endlessServer.close(() => resolve()))
})

When('a request is sent to it and cancelled after {int} ms', async function (this: EndlessWorld, ms: number) {
  const link = openHttpEndpointLink({ address: this.address, getMaxConnections: () => 4, readNow: () => performance.now() })
  this.verdict = 'incomplete'
  const sending = link.send({ id: 'r1', method: 'POST', path: '/x', headers: [], body: Buffer.from('a question') }, {
    confirmSend: () => true,
    receiveHead: () => {},
    receiveData: () => true,
    receiveEnd: () => { this.verdict = 'complete' },
    receiveFailure: ({ kind }) => { this.verdict = kind }
  })
  await sleep(ms)
  sending.cancel()
  link.close()
})

Then(/^the request without a complete response counts as (lost|incomplete)$/, function (this: EndlessWorld, verdict: string) {
  assert.equal(this.verdict, verdict)
})

Then('the connection to it is closed', async function (this: EndlessWorld) {
  await waitUntil(() => this.openSockets.size === 0)
})

Then('memory use grew by less than {int} MB', function (this: EndlessWorld, megabytes: number) {
  const growthMb = (this.peakBytes - this.initialBytes) / 1024 / 1024
  assert.ok(growthMb < megabytes, `${Math.round(growthMb)} MB`)
})

When('an order, a state read and a store read are sent to it', async function (this: EndlessWorld) {
  const startedAtMs = performance.now()
  const orders = createEngineOrders('i-1', this.address)
  const store = createStoreClient(this.address)
  const isRejected = async (work: Promise<unknown>): Promise<boolean> => await work.then(() => false, () => true)
  const [order, ...others] = await Promise.all([
    orders.send({ kind: 'load', model: 'base', adapter: 'a1', version: 1, expectedCount: 0 }, { host: 'h1', fencing: 1 }, 800),
    isRejected(createEngineOrders('i-1', this.address).readState()),
    isRejected(store.readTable('op'))
  ])
  this.order = order
  this.haveReadsFailed = others
  this.tookMs = performance.now() - startedAtMs
  orders.close()
  await store.close()
})

Then('the outcome of the order is unknown, and the others have failed within {int} ms', function (this: EndlessWorld, ms: number) {
  assert.equal(this.order.verdict, 'unknown')
  assert.deepEqual(this.haveReadsFailed, [true, true])
  assert.ok(this.tookMs < ms, `${Math.round(this.tookMs)} ms`)
})
