/** Steps of the soak, its plan, its checks and its proxy. */
import assert from 'node:assert/strict'
import { createHash } from 'node:crypto'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { checkSoak } from '../../soak/checkSoak.js'
import { LoopbackProxy } from '../../soak/loopbackProxy.js'
import type { LinkFault } from '../../soak/loopbackProxy.js'
import { mechanisms } from '../../soak/mechanisms.js'
import { runSoak } from '../../soak/runSoak.js'
import type { SoakReport } from '../../soak/runSoak.js'
import { createSoakPlan } from '../../soak/soakPlan.js'
import type { PlannedEvent } from '../../soak/soakPlan.js'
import type { SoakRecord } from '../../soak/soakRecord.js'
import { createSoakRecordOf } from '../support/soakRecords.js'
import type { SystemWorld } from '../support/world.js'
import { waitUntil } from '../support/waitUntil.js'

interface SoakWorld extends SystemWorld {
  plans: PlannedEvent[][]
  record: SoakRecord
  report: SoakReport
  echo: Server
  proxy: LoopbackProxy
  proxied: Socket
  seenByServer: string
  seenByCaller: string
  linkError: string
  /** Server of a process that is not the link's. */
  foreign: Server
  sentAtMs: number
}

const soakStepTimeoutMs = 60_000
/** Of the plans as they were before seeds from 40,000 on had kinds of their own. */
const earlierPlansHash = 'f2cb1181f58ae60294d83c3fefb386ae66a83e0e5ed46a9b7bc8a14e14dd79b9'
const fleetSize = { hosts: 4, engines: 3, services: 2 }

When('events are planned from seed {int} and from seed {int} again', function (this: SoakWorld, first: number, second: number) {
  this.plans = [first, second].map(seed => createSoakPlan({ seed, faultsMs: 200_000 }))
})

Then('both plans are the same and name faults of hosts, links, endpoints and the store', function (this: SoakWorld) {
  assert.deepEqual(this.plans[0], this.plans[1])
  const kinds = this.plans[0]!.map(event => event.kind).join(' ')
  for (const part of ['host', 'Link', 'endpoint', 'store']) assert.ok(kinds.includes(part), part)
})

Then('the plans of seeds 7, 1001, 20001, 30001 and 39999 are those that they have always been', function () {
  const hash = createHash('sha256')
  for (const seed of [7, 1001, 20_001, 30_001, 39_999]) hash.update(JSON.stringify(createSoakPlan({ seed, faultsMs: 200_000 })))
  assert.equal(hash.digest('hex'), earlierPlansHash)
})

Then('the plan of seed {int} also names {string} and {string}', function (seed: number, first: string, second: string) {
  const kinds = new Set<string>(createSoakPlan({ seed, faultsMs: 200_000 }).map(event => event.kind))
  assert.deepEqual([first, second].map(kind => kinds.has(kind)), [true, true])
})

When('seed {int} is soaked for {int} seconds', { timeout: soakStepTimeoutMs }, async function (this: SoakWorld, seed: number, seconds: number) {
  this.report = await runSoak({ seed, faultsMs: seconds * 1000, ...fleetSize })
  this.record = this.report.record
})

When('seed {int} is soaked for {int} seconds without {string}', { timeout: soakStepTimeoutMs }, async function (this: SoakWorld, seed: number, seconds: number, without: string) {
  this.report = await runSoak({ seed, faultsMs: seconds * 1000, ...fleetSize, without, kinds: mechanisms[without]!.kinds })
  this.record = this.report.record
})

Given(/^the record of a soak in which (.+)$/, function (this: SoakWorld, happening: string) {
  this.record = createSoakRecordOf(happening)
})

Then('the soak finds no broken promise', function (this: SoakWorld) {
  assert.deepEqual(checkSoak(this.record), [])
})

Then('the soak finds {string}', function (this: SoakWorld, promise: string) {
  assert.ok(checkSoak(this.record).some(broken => broken.promise === promise), JSON.stringify(checkSoak(this.record)))
})

Then('callers got at least {int} whole answers', function (this: SoakWorld, count: number) {
  assert.ok(this.report.whole >= count, `${this.report.whole} of ${this.report.calls}`)
})

Given('a link through the proxy to a server that answers', async function (this: SoakWorld) {
  this.seenByServer = this.seenByCaller = this.linkError = ''
  this.echo = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', bytes => {
      this.seenByServer += bytes.toString()
      socket.write(`answer to ${bytes.toString()}`)
    })
  })
  await new Promise<void>(resolve => this.echo.listen(0, '127.0.0.1', resolve))
  this.proxy = await LoopbackProxy.start(`127.0.0.1:${(this.echo.address() as AddressInfo).port}`)
  const [host, port] = this.proxy.address.split(':')
  this.proxied = connect({ host: host!, port: Number(port) })
  this.proxied.on('error', error => { this.linkError = (error as NodeJS.ErrnoException).code ?? '' })
  this.proxied.on('data', bytes => { this.seenByCaller += bytes.toString() })
  await new Promise<void>(resolve => this.proxied.once('connect', resolve))
})

When(/^the link is (none|delayed|silent|cutUp|cutDown|reset) and a message is sent$/, async function (this: SoakWorld, fault: LinkFault) {
  // The proxy's own connection to the server comes after the caller's.
  await sleep(50)
  this.proxy.setFault(fault)
  this.sentAtMs = performance.now()
  this.proxied.write('message')
})

Then('the answer comes at once', async function (this: SoakWorld) {
  await waitUntil(() => this.seenByCaller === 'answer to message')
})

Then('the answer comes after {int} ms', async function (this: SoakWorld, ms: number) {
  await waitUntil(() => this.seenByCaller === 'answer to message')
  assert.ok(performance.now() - this.sentAtMs >= ms)
})

Then('no answer comes within {int} ms and the server has seen nothing until it heals', async function (this: SoakWorld, ms: number) {
  await sleep(ms)
  assert.deepEqual([this.seenByCaller, this.seenByServer], ['', ''])
  this.proxy.setFault('none')
  await waitUntil(() => this.seenByCaller === 'answer to message')
})

Then('no answer comes within {int} ms and the server has seen the message', async function (this: SoakWorld, ms: number) {
  await sleep(ms)
  assert.deepEqual([this.seenByCaller, this.seenByServer], ['', 'message'])
})

Then('the connection is reset', async function (this: SoakWorld) {
  await waitUntil(() => this.linkError === 'ECONNRESET')
})

When('the link refuses new connections, and another process listens on its port if the system lets it', async function (this: SoakWorld) {
  await this.proxy.setRefusing(true)
  this.foreign = createServer(socket => { socket.destroy() })
  const port = Number(this.proxy.address.split(':')[1])
  // The address on which servers of other processes get ports drawn by the system.
  await new Promise<void>(resolve => this.foreign.once('error', () => resolve()).listen(port, '127.0.0.1', resolve))
})

When('the link takes new connections again', async function (this: SoakWorld) {
  await this.proxy.setRefusing(false)
})

Then(/^a new connection to the link is (refused|taken)$/, async function (this: SoakWorld, fate: string) {
  const [host, port] = this.proxy.address.split(':')
  const socket = connect({ host: host!, port: Number(port) })
  const outcome = await new Promise<string>(resolve => {
    socket.once('connect', () => resolve('taken'))
    socket.once('error', error => resolve((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : error.message))
  })
  socket.destroy()
  assert.equal(outcome, fate)
})

After(async function (this: SoakWorld) {
  this.proxied?.destroy()
  await this.proxy?.stop()
  this.echo?.close()
  this.foreign?.close()
})
