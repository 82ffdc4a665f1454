/** Steps of answers that never end. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import { createEngineOrders } from '../../src/platform/engineOrders.js'
import { createStoreClient } from '../../src/platform/storeClient.js'
import type { OrderOutcome } from '../../src/ports/orders.js'
import { waitUntil } from '../support/waitUntil.js'

interface EndlessWorld {
  endless: Server
  address: string
  openSockets: Set<Socket>
  verdict: string
  order: OrderOutcome
  othersFailed: boolean[]
  tookMs: number
  startBytes: number
  peakBytes: number
  meter: NodeJS.Timeout
}

const filler = Buffer.alloc(64 * 1024, 'a')
const headers = 'Server-Signature: s\r\nContent-Type: application/json\r\n'
const chunkedHead = `HTTP/1.1 200 OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`
const chunk = Buffer.concat([Buffer.from(`${filler.length.toString(16)}\r\n`), filler, Buffer.from('\r\n')])
/** What comes before the part without end, and what is then sent again and again. */
const parts: Record<string, { start: string, more: Buffer }> = {
  head: { start: `HTTP/1.1 200 OK\r\n${headers}`, more: Buffer.from('X-More: 1\r\n'.repeat(4000)) },
  header: { start: `HTTP/1.1 200 OK\r\n${headers}X-Long: `, more: filler },
  'chunk extension': { start: `${chunkedHead}5;x=`, more: filler },
  trailers: { start: `${chunkedHead}2\r\n{}\r\n0\r\nX-Long: `, more: filler },
  body: { start: `HTTP/1.1 200 OK\r\n${headers}Connection: close\r\n\r\n`, more: filler },
  'chunked body': { start: chunkedHead, more: chunk }
}

Given(/^an endpoint whose (.+) never ends$/, async function (this: EndlessWorld, part: string) {
  const { start, more } = parts[part]!
  this.openSockets = new Set()
  this.endless = createServer(socket => {
    this.openSockets.add(socket)
    const send = (): void => {
      while (!socket.destroyed && socket.write(more)) { /* Until the receiver holds back. */ }
    }
    socket.once('data', () => {
      socket.write(start)
      socket.on('drain', send)
      send()
    })
    socket.on('error', () => {})
    socket.on('close', () => this.openSockets.delete(socket))
  })
  await new Promise<void>(resolve => this.endless.listen(0, '127.0.0.1', resolve))
  this.address = `127.0.0.1:${(this.endless.address() as AddressInfo).port}`
  const read = (): number => process.memoryUsage.rss()
  this.startBytes = read()
  this.peakBytes = this.startBytes
  this.meter = setInterval(() => { this.peakBytes = Math.max(this.peakBytes, read()) }, 20)
})

After(async function (this: EndlessWorld) {
  if (!this.endless) return
  clearInterval(this.meter)
  for (const socket of this.openSockets) socket.destroy()
  await new Promise<void>(resolve => this.endless.close(() => resolve()))
})

When('a request is sent to it and cancelled after {int} ms', async function (this: EndlessWorld, ms: number) {
  const link = openHttpEndpointLink({ address: this.address, findMaxConnections: () => 4 })
  this.verdict = 'not whole'
  const sending = link.send({ method: 'POST', path: '/x', headers: [], body: Buffer.from('a question') }, {
    receiveSent: () => {},
    receiveHead: () => {},
    receiveData: () => true,
    receiveEnd: () => { this.verdict = 'whole' },
    receiveFailure: ({ kind }) => { this.verdict = kind }
  })
  await sleep(ms)
  sending.cancel()
  link.close()
})

Then(/^the request without a whole answer counts as (lost|not whole)$/, function (this: EndlessWorld, verdict: string) {
  assert.equal(this.verdict, verdict)
})

Then('the connection to it is closed', async function (this: EndlessWorld) {
  await waitUntil(() => this.openSockets.size === 0)
})

Then('it took less than {int} MB of memory', function (this: EndlessWorld, megabytes: number) {
  const taken = (this.peakBytes - this.startBytes) / 1024 / 1024
  assert.ok(taken < megabytes, `${Math.round(taken)} MB`)
})

When('an order, a question and a read of the store are sent to it', async function (this: EndlessWorld) {
  const startedAtMs = performance.now()
  const orders = createEngineOrders('i-1', this.address)
  const store = createStoreClient(this.address)
  const fails = async (work: Promise<unknown>): Promise<boolean> => await work.then(() => false, () => true)
  const [order, ...others] = await Promise.all([
    orders.send({ kind: 'load', model: 'base', adapter: 'a1', version: 1, expectedCount: 0 }, { host: 'h1', fencing: 1 }, 800),
    fails(createEngineOrders('i-1', this.address).readState()),
    fails(store.readTable('op'))
  ])
  this.order = order
  this.othersFailed = others
  this.tookMs = performance.now() - startedAtMs
  orders.close()
  await store.close()
})

Then('the order may have been carried out, and the others have failed within {int} ms', function (this: EndlessWorld, ms: number) {
  assert.equal(this.order.verdict, 'unknown')
  assert.deepEqual(this.othersFailed, [true, true])
  assert.ok(this.tookMs < ms, `${Math.round(this.tookMs)} ms`)
})
