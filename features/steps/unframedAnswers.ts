/** Steps for answers that have neither a length nor chunks. */
import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createEngineOrders } from '../../src/platform/engineOrders.js'
import { encodeEngineReport } from '../../src/platform/standinWire.js'
import type { EngineOrderOutcome, EngineState } from '../../src/ports/engineOrders.js'
import { isWhole, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import type { EndpointFaults } from '../../src/standin/fleet/endpointFaults.js'
import { call, pickRunning, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface UnframedWorld extends HostsWorld {
  unframedServer: Server | undefined
  order: EngineOrderOutcome
  state: EngineState | Error
}

Given(/^answers have neither a length nor chunks, in HTTP\/(1\.[01])$/, function (this: UnframedWorld, unframedVersion: EndpointFaults['unframedVersion']) {
  setFaults(this, () => true, { unframed: 1, unframedVersion })
})

Given('half of the streams end inside an event', function (this: UnframedWorld) {
  setFaults(this, ({ engine }) => engine !== undefined, { unframedCuts: 0.5 })
})

Given('all streams end before their first event', function (this: UnframedWorld) {
  setFaults(this, ({ engine }) => engine !== undefined, { emptyStreams: 1 })
})

When('{int} {string} requests are sent to each host in turn', async function (this: UnframedWorld, count: number, kind: CallKind) {
  for (let index = 0; index < count; index++) await call(this, { kind, host: pickRunning(this, index), adapter: `a${index % 3 + 1}` })
})

Then('all callers got whole answers', function (this: UnframedWorld) {
  assert.deepEqual(this.answers.filter(answer => !isWhole(answer)), [])
})

Then('every answer is whole or visibly broken off, and at least {int} are whole', function (this: UnframedWorld, count: number) {
  assert.deepEqual(this.answers.filter(answer => looksWhole(answer) && !isWhole(answer)), [])
  const whole = this.answers.filter(isWhole).length
  assert.ok(whole >= count, `${whole} whole`)
})

Then('no engine is counted as crashed', function (this: UnframedWorld) {
  assert.deepEqual([...this.hostFleet.listLines('endpoint.crashed'), ...this.hostFleet.listLines('suspect.partCounted')], [])
})

const report = encodeEngineReport({ startedAtMs: 1, models: [{ name: 'base', version: 1, adapters: [] }], loading: [], isBusy: false, orderCount: 2, running: 0, waiting: 0 })

Given(/^an engine that answers with neither a length nor chunks, in HTTP\/(1\.[01])(, and cuts its answers off)?$/, async function (this: UnframedWorld, version: string, isCut: string | null) {
  this.unframedServer = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', chunk => {
      const isOrder = chunk.toString('latin1').startsWith('POST')
      const body = isOrder ? '' : report
      const head = `HTTP/${version} ${isOrder ? '202 Accepted' : '200 OK'}\r\n${version === '1.1' ? 'Connection: close\r\n' : ''}\r\n`
      socket.end(head + (isCut ? body.slice(0, body.length / 2) : body))
    })
  })
  await new Promise<void>(resolve => this.unframedServer!.listen(0, '127.0.0.1', resolve))
})

When('it gets an order and a state read', async function (this: UnframedWorld) {
  const { port } = this.unframedServer!.address() as AddressInfo
  const orders = createEngineOrders('i-1', `127.0.0.1:${port}`)
  this.order = await orders.send({ kind: 'load', model: 'base', adapter: 'a1', version: 1, expectedCount: 2 }, { host: 'host-1', fencing: 3 }, 1000)
  this.state = await orders.readState().catch((error: Error) => error)
  orders.close()
})

Then('the order is accepted and the state is read', function (this: UnframedWorld) {
  assert.equal(this.order.verdict, 'accepted')
  assert.ok(!(this.state instanceof Error), String(this.state))
  assert.equal(this.state.orderCount, 2)
})

Then('the state read fails', function (this: UnframedWorld) {
  assert.ok(this.state instanceof Error)
})

After(async function (this: UnframedWorld) {
  const server = this.unframedServer
  this.unframedServer = undefined
  if (server) await new Promise<void>(resolve => server.close(() => resolve()))
})
