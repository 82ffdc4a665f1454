/** Steps of request bodies that exceed limits, stop half-way or go on after the response. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { HeldTotal } from '../../src/core/heldTotal.js'
import { createTestHandle, startTestListener } from '../support/testListener.js'
import type { TestListener } from '../support/testListener.js'
import { waitUntil } from '../support/waitUntil.js'

interface BodiesWorld {
  bodies: TestListener
  bodySockets: Socket[]
  bodyReceived: string
}

/** Time for which a request is served. */
const serveMs = 20
const answerTimeoutMs = 3000
const okStatus = '200'

After(function (this: Partial<BodiesWorld>) {
  for (const socket of this.bodySockets ?? []) socket.destroy()
  this.bodies?.listener.close()
})

async function openSocket (world: BodiesWorld): Promise<Socket> {
  const [host, port] = world.bodies.address.split(':')
  const socket = connect({ host, port: Number(port) })
  world.bodySockets.push(socket.on('error', () => {}))
  await once(socket, 'connect')
  return socket
}

function formatHead (lengthLine: string): string {
  return `POST /x HTTP/1.1\r\nhost: x\r\n${lengthLine}\r\n\r\n`
}

function formatRequest (bytes: number, isChunked = false): Buffer {
  const body = Buffer.alloc(bytes, 'x')
  if (!isChunked) return Buffer.concat([Buffer.from(formatHead(`content-length: ${bytes}`)), body])
  return Buffer.concat([Buffer.from(`${formatHead('transfer-encoding: chunked')}${bytes.toString(16)}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')])
}

/** Writes bytes on a new connection and resolves with the first status, or with '' if the connection closes without one. */
async function sendAlone (world: BodiesWorld, bytes: Buffer): Promise<string> {
  const socket = await openSocket(world)
  let received = ''
  socket.setEncoding('latin1').on('data', chunk => { received += String(chunk) })
  const answered = new Promise<void>(resolve => socket.on('data', () => resolve()).on('close', () => resolve()))
  socket.write(bytes)
  await Promise.race([answered, sleep(answerTimeoutMs)])
  socket.destroy()
  return received.split(' ')[1] ?? ''
}

Given('a listener that holds at most {int} bytes of bodies, of at most {int} bytes each', async function (this: BodiesWorld, maxHeldBytes: number, maxBodyBytes: number) {
  this.bodySockets = []
  this.bodies = await startTestListener({
    maxHeldBytes,
    getLimits: () => ({ maxHeaderBytes: 16_384, maxBodyBytes, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }),
    createHandle: (_request, response) => createTestHandle(async () => {
      await sleep(serveMs)
      response.writeHead(200, ['Content-Length', '0'])
      response.end()
    })
  })
})

When(/^callers send (\d+) bodies of (\d+) bytes(.*)$/, async function (this: BodiesWorld, count: string, bytes: string, how: string) {
  const request = formatRequest(Number(bytes), how === ' in chunks')
  const sendBody = async (): Promise<void> => {
    if (how === ', half of each, and leave') {
      const socket = await openSocket(this)
      socket.write(request.subarray(0, request.length / 2))
      await sleep(serveMs)
      socket.destroy()
    } else {
      await sendAlone(this, how === ' behind another request' ? Buffer.concat([formatRequest(10), request]) : request)
    }
  }
  if (how === ' at once') await Promise.all(Array.from({ length: Number(count) }, sendBody))
  else for (let index = 0; index < Number(count); index++) await sendBody()
})

When('callers hold {int} connections with half a body of {int} bytes', async function (this: BodiesWorld, count: number, bytes: number) {
  const request = formatRequest(bytes)
  for (let index = 0; index < count; index++) (await openSocket(this)).write(request.subarray(0, request.length / 2))
  await sleep(serveMs)
})

Then('a request with a body of {int} bytes is served', async function (this: BodiesWorld, bytes: number) {
  assert.equal(await sendAlone(this, formatRequest(bytes)), okStatus)
})

Then('the listener holds no bytes within {int} ms', async function (this: BodiesWorld, ms: number) {
  const startedAtMs = performance.now()
  await waitUntil(() => this.bodies.listener.heldBytes === 0)
  assert.ok(performance.now() - startedAtMs <= ms)
})

When(/^a caller sends the head of a request with a body of (\d+) bytes, and (waits|expects to be told to send)$/, async function (this: BodiesWorld, bytes: string, how: string) {
  const socket = await openSocket(this)
  this.bodyReceived = ''
  socket.setEncoding('latin1').on('data', chunk => { this.bodyReceived += String(chunk) })
  socket.write(formatHead(`content-length: ${bytes}${how === 'waits' ? '' : '\r\nexpect: 100-continue'}`))
  await waitUntil(() => this.bodyReceived !== '')
})

Then('it receives status {int} and nothing before it', function (this: BodiesWorld, status: number) {
  assert.ok(this.bodyReceived.startsWith(`HTTP/1.1 ${status} `), this.bodyReceived)
})

interface DrawnRequest {
  bytes: number
  isChunked: boolean
  /** Part of the request that is written, in tenths. */
  tenths: number
  /** Pieces in which it is written. */
  pieces: number
  end: 'waits' | 'closes' | 'resets' | 'endsSide'
  /** Further small requests behind it on its connection. */
  behind: number
}

const drawnRequests: fc.Arbitrary<DrawnRequest[]> = fc.array(fc.record({
  bytes: fc.constantFrom(0, 1, 300_000, 500_000, 500_001, 900_000),
  isChunked: fc.boolean(),
  tenths: fc.integer({ min: 1, max: 10 }),
  pieces: fc.integer({ min: 1, max: 4 }),
  end: fc.constantFrom('waits', 'closes', 'resets', 'endsSide'),
  behind: fc.integer({ min: 0, max: 3 })
}), { minLength: 2, maxLength: 10 })

async function sendDrawn (world: BodiesWorld, { bytes, isChunked, tenths, pieces, end, behind }: DrawnRequest): Promise<void> {
  const socket = await openSocket(world)
  socket.resume()
  const request = formatRequest(bytes, isChunked)
  const isWhole = tenths === 10
  const part = isWhole ? Buffer.concat([request, ...Array.from({ length: behind }, () => formatRequest(10))]) : request.subarray(0, request.length * tenths / 10)
  const pieceBytes = Math.ceil(part.length / pieces)
  for (let index = 0; index < pieces && !socket.destroyed; index++) {
    socket.write(part.subarray(index * pieceBytes, (index + 1) * pieceBytes))
    if (index + 1 < pieces) await sleep(5)
  }
  if (end === 'waits') await sleep(serveMs * 2)
  if (end === 'resets') socket.resetAndDestroy()
  else if (end === 'endsSide') socket.end()
  else if (end === 'closes' || !isWhole) socket.destroy()
}

Then('after each of {int} drawn sequences of requests it holds no bytes and has no request in progress', { timeout: 60_000 }, async function (this: BodiesWorld, count: number) {
  const { listener } = this.bodies
  await fc.assert(fc.asyncProperty(drawnRequests, async requests => {
    await Promise.all(requests.map(async request => await sendDrawn(this, request)))
    await waitUntil(() => listener.heldBytes === 0 && listener.activeRequestCount === 0)
    for (const socket of this.bodySockets.splice(0)) socket.destroy()
  }), { numRuns: count })
})

Then('a total equals the sum of its open shares after each of any changes', function () {
  const changes = fc.array(fc.record({ share: fc.nat(4), amount: fc.option(fc.nat(1000)) }))
  fc.assert(fc.property(changes, drawn => {
    const total = new HeldTotal()
    const shares = Array.from({ length: 5 }, () => ({ share: total.openShare(), amount: 0, isReleased: false }))
    for (const { share: index, amount } of drawn) {
      const entry = shares[index]!
      if (amount === null) {
        entry.share.release()
        entry.isReleased = true
        entry.amount = 0
      } else {
        entry.share.add(amount)
        if (!entry.isReleased) entry.amount += amount
      }
      assert.equal(total.value, shares.reduce((sum, { amount: held }) => sum + held, 0))
    }
  }))
})
