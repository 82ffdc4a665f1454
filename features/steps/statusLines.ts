/** Steps of endpoints whose status lines are invalid, or whose responses are reset during the upload. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { openHttpEndpointLink } from '../../src/adapters/endpointHttp/httpEndpointLink.js'
import { HttpServiceClient } from '../../src/adapters/httpService/httpServiceClient.js'
import { OpenaiEngine } from '../../src/adapters/openaiEngine/openaiEngine.js'
import { createEngineOrders } from '../../src/platform/engineOrders.js'
import { encodeEngineReport } from '../../src/platform/standinWire.js'
import { createStoreClient } from '../../src/platform/storeClient.js'
import type { AdapterOrderOutcome, GenerateEvent } from '../../src/ports/engine.js'
import type { ServiceOutcome } from '../../src/ports/serviceClient.js'
import { isWhole, listEventIds, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind, FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import { HostFleet } from '../support/hostFleet.js'
import { call, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

interface StatusWorld extends HostsWorld {
  streams: Array<Promise<void>>
  statusServer: Server | undefined
  /** Results of calls by their names; an error where the call failed. */
  results: Record<string, unknown>
  tookMs: number
}

const kinds: readonly CallKind[] = ['resumable', 'once', 'idempotent', 'stream']
const mayRunTwice = ({ kind }: FleetAnswer): boolean => kind === 'idempotent' || kind === 'resumable'
const formatAnswer = ({ kind, status, error, tookMs, body }: FleetAnswer): string => `${kind} ${status} ${error ?? ''} ${Math.round(tookMs)} ms ${body.slice(0, 90)}`

When('all endpoints answer with status {word}', function (this: StatusWorld, status: string) {
  setFaults(this, () => true, { status: `${status} Odd` })
})

When('one endpoint of each service answers with status {word}', function (this: StatusWorld, status: string) {
  const { endpoints } = this.hostFleet.fleet
  setFaults(this, endpoint => endpoints.find(({ service }) => service === endpoint.service) === endpoint, { status: `${status} Odd` })
})

When('all endpoints break off their streams and answer with status {word}', function (this: StatusWorld, status: string) {
  setFaults(this, () => true, { status: `${status} Odd`, breaksStreams: true })
})

When('all endpoints reset uploads after a response without a length', function (this: StatusWorld) {
  setFaults(this, () => true, { cutsUploads: true })
})

Given(/^3 hosts, the first of which reaches (all|no) endpoints$/, async function (this: StatusWorld, reach: string) {
  this.hostFleet = await HostFleet.prepare(3, { engines: 2, services: 2 })
  this.hostFleet.fleet.writeConfiguration({ limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 5000 } })
  this.answers = []
  const [first] = this.hostFleet.hosts
  const closedAddress = '127.0.0.1:1'
  if (reach === 'no') this.hostFleet.findRoute = (host, _endpointId, address) => host === first!.settings.hostName ? closedAddress : address
  await Promise.all(this.hostFleet.hosts.map(async host => await this.hostFleet.startHost(host)))
  await this.hostFleet.waitForOwners()
  // The first requests show the host that it reaches no endpoint.
  await waitUntil(async () => {
    await Promise.all(kinds.map(async kind => await call(this, { kind, host: 1 })))
    return this.answers.slice(-kinds.length).every(isWhole)
  })
})

When('{int} requests with {int} bytes are sent to host {int}', { timeout: 30_000 }, async function (this: StatusWorld, count: number, bytes: number, host: number) {
  const uploads = kinds.filter(kind => kind !== 'idempotent')
  // At once, as a host that has broken off a stream is not asked again for a while.
  await Promise.all(Array.from({ length: count }, async (_, index) => await call(this, { kind: uploads[index % uploads.length]!, host, body: 'x'.repeat(bytes) })))
})

Then('the last {int} callers got 502 and nothing of an endpoint\'s body within {int} ms', function (this: StatusWorld, count: number, ms: number) {
  const wrong = this.answers.slice(-count).filter(({ status, body, signature, tookMs }) => status !== 502 || /^(done |id: )/.test(body) || signature !== undefined || tookMs >= ms)
  assert.deepEqual(wrong.map(formatAnswer), [])
})

Then('the last {int} callers got whole answers or 502, and whole ones if their request may run twice', function (this: StatusWorld, count: number) {
  const wrong = this.answers.slice(-count).filter(answer => !isWhole(answer) && (answer.status !== 502 || mayRunTwice(answer)))
  assert.deepEqual(wrong.map(formatAnswer), [])
})

Then('the streams are broken off without an event of the later responses', { timeout: 20_000 }, async function (this: StatusWorld) {
  await Promise.all(this.streams)
  // Each stream has 8 events, the last of which only a later response has.
  assert.deepEqual(this.answers.filter(answer => answer.error === undefined || listEventIds(answer).includes(8)).map(formatAnswer), [])
})

Then('none of the last {int} answers looks whole, and at least {int} are broken off or 502', function (this: StatusWorld, count: number, least: number) {
  const last = this.answers.slice(-count)
  assert.deepEqual(last.filter(looksWhole).map(formatAnswer), [])
  const broken = last.filter(({ status, error }) => status === 502 || (status === 200 && error !== undefined))
  assert.ok(broken.length >= least, last.map(formatAnswer).join('\n'))
})

const report = encodeEngineReport({ startedAtMs: 1, models: [{ name: 'base', version: 1, adapters: [] }], loading: [], isBusy: false, orderCount: 2, running: 0, waiting: 0 })
const gatewayReport = JSON.stringify({ incarnation: 'i-1', slots: 4, batchLimit: 8, running: 0, waiting: 0, adapters: [], lagMs: 0 })

Given(/^a server that answers everything with status (\d+) and (no body|a body|a report|a report of an engine)$/, async function (this: StatusWorld, status: string, content: string) {
  const body = { 'no body': '', 'a body': 'done', 'a report': report, 'a report of an engine': gatewayReport }[content]!
  this.results = {}
  this.statusServer = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => socket.write(`HTTP/1.1 ${status} Odd\r\ncontent-length: ${body.length}\r\n\r\n${body}`))
  })
  await new Promise<void>(resolve => this.statusServer!.listen(0, '127.0.0.1', resolve))
})

function findAddress ({ statusServer }: StatusWorld): string {
  return `127.0.0.1:${(statusServer!.address() as AddressInfo).port}`
}

When('a link sends it a request', async function (this: StatusWorld) {
  const link = openHttpEndpointLink({ address: findAddress(this), getMaxConnections: () => 1, readNow: () => performance.now() })
  const startedAtMs = performance.now()
  this.results.request = await new Promise(resolve => {
    const timer = setTimeout(() => resolve('nothing'), 1000)
    link.send({ id: 'first', method: 'GET', path: '/', headers: ['host', 'x'], body: undefined }, {
      confirmSend: () => true,
      receiveHead: status => resolve(status),
      receiveData: () => true,
      receiveEnd: () => resolve('end'),
      receiveFailure: ({ kind }) => {
        clearTimeout(timer)
        resolve(kind)
      }
    })
  })
  this.tookMs = performance.now() - startedAtMs
  link.close()
})

Then('the request is lost within {int} ms', function (this: StatusWorld, ms: number) {
  assert.equal(this.results.request, 'lost')
  assert.ok(this.tookMs < ms, `${Math.round(this.tookMs)} ms`)
})

When('it gets an order, a state read and calls of the store', async function (this: StatusWorld) {
  const orders = createEngineOrders('i-1', findAddress(this))
  const store = createStoreClient(findAddress(this))
  const catchError = async (result: Promise<unknown>): Promise<unknown> => await result.catch((error: Error) => error)
  const order = await orders.send({ kind: 'load', model: 'base', adapter: 'a1', version: 1, expectedCount: 2 }, { host: 'host-1', fencing: 3 }, 500)
  const [state, table, row, changes, transaction] = await Promise.all([
    catchError(orders.readState()), catchError(store.readTable('op')), catchError(store.readRow('op', 'a', 500)), catchError(store.watchTable('op', 0, 100, 500)), store.transact({ checks: [], writes: [], removals: [] })
  ])
  this.results = { order: order.verdict, transaction: transaction.verdict, state, table, row, changes }
  orders.close()
  await store.close()
})

Then('the order and the transaction are unknown, and all reads fail', function (this: StatusWorld) {
  const { order, transaction, ...reads } = this.results
  assert.deepEqual({ order, transaction }, { order: 'unknown', transaction: 'unknown' })
  assert.deepEqual(Object.entries(reads).filter(([, result]) => !(result instanceof Error)), [])
})

When('the gateway\'s clients send it a call, an order, a report read, a request and a request to go on', async function (this: StatusWorld) {
  const address = findAddress(this)
  const service = new HttpServiceClient()
  const engine = new OpenaiEngine({ idleTimeoutMs: 1000 })
  const startedAtMs = performance.now()
  const generate = async (resume: { resumeFrom?: number }): Promise<GenerateEvent> => await new Promise(resolve => {
    engine.generate(address, { requestId: 'r', attempt: 1, handle: 'h', model: 'a@1', priority: 1, path: '/v1/completions', body: '{}', isStream: true, ...resume }, resolve, () => true)
  })
  const [call, order, reading, request, resumed] = await Promise.all([
    service.call(address, { requestId: 'r', attempt: 1, method: 'GET', path: '/', headers: {}, body: new Uint8Array() }, AbortSignal.timeout(1500)),
    engine.unloadAdapter(address, { handle: 'h', adapter: 'a', version: '1', fencing: 1 }),
    engine.readReport(address).catch((error: Error) => error),
    generate({}),
    generate({ resumeFrom: 2 })
  ])
  this.results = { order, reading, call, request, resumed }
  this.tookMs = performance.now() - startedAtMs
  await service.close()
  await engine.close()
})

Then('the order is unknown, the report read fails, and the others may have run, within {int} ms', function (this: StatusWorld, ms: number) {
  const { order, reading, ...requests } = this.results as { order: AdapterOrderOutcome, reading: unknown, call: ServiceOutcome, request: GenerateEvent, resumed: GenerateEvent }
  const wrong = Object.entries(requests).filter(([, result]) => result.type !== 'failed' || result.failure.verdict !== 'mayHaveRun' || result.failure.status !== 502 || result.failure.message.includes('incarnation'))
  const problems = [...(order.verdict === 'unknown' ? [] : [['order', order]]), ...(reading instanceof Error ? [] : [['report', reading]]), ...wrong]
  assert.deepEqual(problems, [])
  assert.ok(this.tookMs < ms, `${Math.round(this.tookMs)} ms`)
})

After(async function (this: StatusWorld) {
  const server = this.statusServer
  this.statusServer = undefined
  server?.close()
})
