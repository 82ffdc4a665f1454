/** Steps that start hosts on a stand-in of the users' platform and send requests to them. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { fleetPaths } from '../../src/standin/fleet/startFleet.js'
import type { StoreFault } from '../../src/standin/fleet/storeServer.js'
import { HostFleet } from '../support/hostFleet.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { call, sendStreams, startHosts } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

After(async function (this: HostsWorld) {
  await this.hostFleet?.stop()
})

Given(/^(\d+) hosts? before a platform with (\d+) engines?$/, async function (this: HostsWorld, hosts: string, engines: string) {
  await startHosts(this, Number(hosts), Number(engines))
})

Given(/^(\d+) hosts? before a platform with (\d+) engines? of (\d+) adapter slots$/, async function (this: HostsWorld, hosts: string, engines: string, slots: string) {
  await startHosts(this, Number(hosts), Number(engines), Number(slots))
})

Given('a platform with {int} engines whose store is {word}', async function (this: HostsWorld, engines: number, fault: StoreFault) {
  this.hostFleet = await HostFleet.prepare(2, { engines })
  this.answers = []
  this.hostFleet.fleet.store.setFault(fault)
})

When('each kind of request is sent through each host for adapter {string}', async function (this: HostsWorld, adapter: string) {
  const kinds = Object.keys(fleetPaths) as CallKind[]
  await Promise.all(this.hostFleet.hosts.flatMap((_, index) => kinds.map(async kind => await call(this, { kind, host: index + 1, adapter }))))
})

When('{int} streams for {int} adapters are sent within {int} ms', async function (this: HostsWorld, count: number, adapters: number, withinMs: number) {
  await sendStreams(this, count, adapters, withinMs)
})

When('{int} streams of kind {string} are sent for adapter {string}', async function (this: HostsWorld, count: number, kind: CallKind, adapter: string) {
  await Promise.all(Array.from({ length: count }, async (_, index) => await call(this, { kind, host: index % this.hostFleet.hosts.length + 1, adapter })))
})

When('{int} requests of kind {string} are sent', async function (this: HostsWorld, count: number, kind: CallKind) {
  this.answers = []
  for (let index = 0; index < count; index++) await call(this, { kind, host: index % this.hostFleet.hosts.length + 1 })
})

When('{int} requests of kind {string} with {int} ms left are sent', async function (this: HostsWorld, count: number, kind: CallKind, timeLeftMs: number) {
  await Promise.all(Array.from({ length: count }, async () => await call(this, { kind, host: 1, timeLeftMs })))
})

When('a caller sends a request with headers that only hosts may set', async function (this: HostsWorld) {
  await call(this, { kind: 'once', host: 1, headers: { 'Expect-Instance': 'i-none', 'Expect-Version': '99', 'Server-Signature': 'forged' } })
})

When('{int} ms pass', async function (this: HostsWorld, ms: number) {
  await sleep(ms)
})

When('version {int} of adapter {string} is declared', function (this: HostsWorld, version: number, adapter: string) {
  this.hostFleet.fleet.declareVersion(adapter, version)
})

When('a caller sends a stream request and disconnects after {int} ms', async function (this: HostsWorld, ms: number) {
  const controller = new AbortController()
  const sending = call(this, { kind: 'resumable', host: 1, signal: controller.signal, requestId: '00000000000000ff' })
  await waitUntil(() => this.hostFleet.fleet.journal.runs.length > 0)
  await sleep(ms)
  controller.abort()
  await sending
})

Then('within {int} ms no host sends the others more than {int} bytes a second', async function (this: HostsWorld, ms: number, maxBytesPerS: number) {
  const previousBytes = new Map([...this.hostFleet.sent].map(([host, { bytes }]) => [host, bytes]))
  await sleep(ms)
  for (const [host, { bytes }] of this.hostFleet.sent) {
    const bytesPerS = (bytes - (previousBytes.get(host) ?? 0)) * 1000 / ms
    assert.ok(bytesPerS <= maxBytesPerS, `${host} sent ${Math.round(bytesPerS)} bytes a second`)
  }
})
