/** Steps of callers that leave before their requests have been answered. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { LoopbackProxy } from '../../soak/loopbackProxy.js'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import { createEngineOrders } from '../../src/platform/engineOrders.js'
import { encodeCallerRequestHeaders } from '../../src/platform/standinWire.js'
import type { EndpointLink, RequestInFlight, ResponseReceiver } from '../../src/ports/endpointLink.js'
import { createRequestId } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { fleetHost, fleetModel, fleetPaths } from '../../src/standin/fleet/startFleet.js'
import { call, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

interface HangingWorld {
  endpoint: Server
  endpointPort: number
  path: LoopbackProxy
  relay: PausedRelay
  hangingLink: EndpointLink
  inFlight: RequestInFlight
  wholeRequests: number
}

interface DepartedWorld extends HostsWorld {
  links: Map<string, LoopbackProxy>
  /** When the caller of each request left, in monotonic milliseconds, by the request's id. */
  leftAtMs: Map<string, number>
}

/** A relay that reads nothing until it is revived, so that the sender's buffers fill up. */
class PausedRelay {
  #server = createTcpServer({ pauseOnConnect: true, allowHalfOpen: true }, socket => {
    socket.on('error', () => {})
    this.#sockets.push(socket)
  })

  #sockets: Socket[] = []

  async start (): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  revive (port: number): void {
    for (const socket of this.#sockets) {
      const forward = connect({ host: '127.0.0.1', port })
      forward.on('error', () => {})
      socket.on('error', () => forward.resetAndDestroy())
      socket.pipe(forward)
    }
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }
}

const kinds: readonly CallKind[] = ['resumable', 'once', 'idempotent', 'stream']

After(async function (this: Partial<HangingWorld>) {
  this.hangingLink?.close()
  this.relay?.close()
  await this.path?.stop()
  this.endpoint?.closeAllConnections()
  this.endpoint?.close()
})

async function startEndpoint (world: HangingWorld): Promise<void> {
  world.wholeRequests = 0
  world.endpoint = createServer(request => { request.on('data', () => {}).on('end', () => { world.wholeRequests++ }) })
  await new Promise<void>(resolve => world.endpoint.listen(0, '127.0.0.1', resolve))
  world.endpointPort = (world.endpoint.address() as AddressInfo).port
}

function openLink (address: string): EndpointLink {
  return openHttpEndpointLink({ address, getMaxConnections: () => 8, readNow: () => performance.now() })
}

async function writeRequest (world: HangingWorld, bytes: number): Promise<void> {
  const body = Buffer.alloc(bytes, 'x')
  let isWriting = false
  const receiver: ResponseReceiver = { confirmSend: () => { isWriting = true; return true }, receiveHead: () => {}, receiveData: () => true, receiveEnd: () => {}, receiveFailure: () => {} }
  world.inFlight = world.hangingLink.send({ id: 'r1', method: 'POST', path: '/', headers: ['host', 'x', 'content-length', String(body.length)], body }, receiver)
  await waitUntil(() => isWriting)
}

Given('an endpoint behind a path that hangs', async function (this: HangingWorld) {
  await startEndpoint(this)
  this.path = await LoopbackProxy.start(`127.0.0.1:${this.endpointPort}`)
  this.path.setFault('silent')
  this.hangingLink = openLink(this.path.address)
})

Given('an endpoint behind a relay that reads nothing', async function (this: HangingWorld) {
  await startEndpoint(this)
  this.relay = new PausedRelay()
  this.hangingLink = openLink(await this.relay.start())
})

When('a request of {int} bytes is written to it', async function (this: HangingWorld, bytes: number) {
  await writeRequest(this, bytes)
})

When(/^the request is (cancelled|given up) after (\d+) ms$/, async function (this: HangingWorld, ended: string, ms: string) {
  await sleep(Number(ms))
  if (ended === 'cancelled') this.inFlight.cancel()
  else this.hangingLink.giveUpSilent(performance.now(), 'the path is silent')
  await sleep(Number(ms))
})

When('an order is sent to it, which times out after {int} ms', async function (this: HangingWorld, ms: number) {
  const orders = createEngineOrders('i-1', this.path.address)
  const outcome = await orders.send({ kind: 'load', model: 'base', adapter: 'a1', version: 1, expectedCount: 0 }, { host: 'host-1', fencing: 1 }, ms)
  assert.equal(outcome.verdict, 'unknown')
  orders.close()
})

When('the path lives again', async function (this: HangingWorld) {
  this.path.setFault('none')
  await sleep(300)
})

When('the relay reads again', async function (this: HangingWorld) {
  this.relay.revive(this.endpointPort)
  await sleep(500)
})

Then('the endpoint gets no whole request', function (this: HangingWorld) { assert.equal(this.wholeRequests, 0) })

When('the links of host {int} to all endpoints fall silent for {int} ms', function (this: DepartedWorld, host: number, ms: number) {
  const { hostName } = this.hostFleet.hosts[host - 1]!.settings
  const links = [...this.links].filter(([name]) => name.startsWith(`${hostName} `)).map(([, link]) => link)
  for (const link of links) link.setFault('silent')
  setTimeout(() => { for (const link of links) link.setFault('none') }, ms)
})

When('{int} callers send requests of all kinds to host {int} and leave after {int} ms', async function (this: DepartedWorld, count: number, host: number, ms: number) {
  this.leftAtMs = new Map()
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    const requestId = createRequestId()
    await sleep(index * 10)
    const leaving = new AbortController()
    setTimeout(() => {
      this.leftAtMs.set(requestId, performance.now())
      leaving.abort()
    }, ms)
    await call(this, { kind: kinds[index % kinds.length]!, host, adapter: 'a1', requestId, signal: leaving.signal })
  }))
})

Then('none of their requests began to run after they had left', function (this: DepartedWorld) {
  const late = this.hostFleet.fleet.journal.runs.filter(run => run.startedAtMs > (this.leftAtMs.get(run.requestId) ?? Infinity))
  assert.deepEqual(late.map(({ requestId, endpointId, startedAtMs }) => `${endpointId} ${Math.round(startedAtMs - this.leftAtMs.get(requestId)!)} ms after its caller had left`), [])
})

/** Runs beside this process's event loop: sends each request on a connection of its own, and closes it later. */
const departingCallers = `
  const { connect } = require('node:net')
  const { workerData: { host, port, requests, leaveMs }, parentPort } = require('node:worker_threads')
  for (const request of requests) {
    const socket = connect({ host, port }, () => {
      socket.write(request)
      setTimeout(() => socket.destroy(), leaveMs)
    })
    socket.on('error', () => {})
  }
  setTimeout(() => parentPort.close(), 3000)
`

function formatRequest (kind: CallKind, requestId: string): string {
  const body = kind === 'idempotent' ? '' : 'a question'
  const headers = encodeCallerRequestHeaders({ requestId, host: fleetHost, timeLeftMs: 4000, ...(kind === 'resumable' && { model: `${fleetModel}/a1` }) })
  const lines = Object.entries({ ...headers, 'content-length': String(body.length) }).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  return `${kind === 'idempotent' ? 'GET' : 'POST'} ${fleetPaths[kind]}x HTTP/1.1\r\n${lines}\r\n${body}`
}

When('the process stands still for {int} ms, while {int} callers send a request, and leave {int} ms later', async function (this: DepartedWorld, ms: number, count: number, leaveMs: number) {
  const [host, port] = this.hostFleet.hosts[0]!.settings.callersAddress.split(':')
  const ids = Array.from({ length: count }, () => createRequestId())
  this.leftAtMs = new Map(ids.map(id => [id, performance.now()]))
  const callers = new Worker(departingCallers, { eval: true, workerData: { host, port: Number(port), leaveMs, requests: ids.map((id, index) => formatRequest(index % 2 === 0 ? 'once' : 'idempotent', id)) } })
  // The worker needs this process's event loop to start.
  await new Promise(resolve => callers.once('online', resolve))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
  await sleep(200)
})

Then('none of their requests reached an endpoint', function (this: DepartedWorld) {
  assert.deepEqual(this.hostFleet.fleet.journal.arrivals.filter(({ requestId }) => this.leftAtMs.has(requestId)).map(({ endpointId }) => endpointId), [])
  // The host has read the requests, or the test would show nothing.
  assert.equal(this.hostFleet.listLines('request.left').filter(({ fields }) => this.leftAtMs.has(String(fields.requestId))).length, this.leftAtMs.size)
})

When('a caller sends two streams in a row on one connection, and leaves while the first runs', async function (this: DepartedWorld) {
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs: 500 })
  const [host, port] = this.hostFleet.hosts[0]!.settings.callersAddress.split(':')
  const ids = [createRequestId(), createRequestId()]
  this.leftAtMs = new Map(ids.map(id => [id, Infinity]))
  const socket = connect({ host, port: Number(port) }, () => socket.write(ids.map(id => formatRequest('resumable', id)).join('')))
  await waitUntil(() => this.hostFleet.fleet.journal.listRuns(ids[0]!).length > 0)
  socket.destroy()
})

Then('the first run ends within {int} ms, and the second request never reaches an endpoint', async function (this: DepartedWorld, ms: number) {
  await sleep(ms)
  const { journal } = this.hostFleet.fleet
  const [first, second] = [...this.leftAtMs.keys()]
  assert.deepEqual(journal.listRuns(first!).map(({ outcome }) => outcome), ['left'])
  assert.deepEqual(journal.arrivals.filter(({ requestId }) => requestId === second), [])
})
