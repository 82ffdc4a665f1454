/** Steps of the leases of engines, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { LeaseCluster } from '../support/leaseCluster.js'
import type { StoreState } from '../support/leaseCluster.js'

interface LeasesWorld {
  cluster: LeaseCluster
}

/** Time after which hosts hand over what they have too much of. */
const handoverMs = 10_000
const stepMs = 100

Given(/^(\d+) lease hosts? and (\d+) engines$/, function (this: LeasesWorld, hosts: string, engines: string) {
  this.cluster = new LeaseCluster(Number(hosts), Number(engines))
})

When('{int} ms pass for the leases', async function (this: LeasesWorld, ms: number) {
  await this.cluster.run(ms)
})

When('{int} s pass for the leases with at most {int} calls a second to the store', async function (this: LeasesWorld, seconds: number, calls: number) {
  const before = this.cluster.calls
  await this.cluster.run(seconds * 1000)
  assert.ok(this.cluster.calls - before <= calls * seconds, `the store was called ${this.cluster.calls - before} times`)
})

When('{int} ms pass for the leases without a host being rated for an engine', async function (this: LeasesWorld, ms: number) {
  const before = this.cluster.rankedPairs
  await this.cluster.run(ms)
  assert.equal(this.cluster.rankedPairs - before, 0)
})

When('{int} ms pass for the leases with at most {int} steps of a host that owns nothing', async function (this: LeasesWorld, ms: number, most: number) {
  const idle = this.cluster.hosts.findLast(({ owned }) => owned.size === 0)!
  const before = this.cluster.countSteps(idle)
  await this.cluster.run(ms)
  assert.equal(idle.owned.size, 0, 'the host has come to own an engine')
  const steps = this.cluster.countSteps(idle) - before
  assert.ok(steps <= most, `${steps} steps`)
})

When('a host joins, and host {int} leaves', async function (this: LeasesWorld, number: number) {
  this.cluster.join()
  await this.cluster.run(500)
  const left = this.cluster.leave(this.cluster.hosts[number - 1]!)
  await this.cluster.run(3000)
  await left
})

When('a host joins, and lease host {int} is killed', async function (this: LeasesWorld, number: number) {
  this.cluster.join()
  await this.cluster.run(500)
  this.cluster.kill(this.cluster.hosts[number - 1]!)
})

When('a host joins and the store is {string} while engines should be handed over to it', async function (this: LeasesWorld, state: StoreState) {
  this.cluster.join()
  await this.cluster.run(handoverMs - 2500)
  this.cluster.state = state
  await this.cluster.run(4000)
  const lost = this.cluster.hosts.flatMap(({ lines }) => lines.filter(({ kind, fields }) => kind === 'lease.lost' && String(fields.reason).includes('fewer')))
  assert.ok(lost.length > 0, 'nothing was handed over')
})

When('a host joins, is given an engine and leaves {int} ms later', async function (this: LeasesWorld, ms: number) {
  this.cluster.join()
  const host = this.cluster.hosts.at(-1)!
  for (let passedMs = 0; host.owned.size === 0 && passedMs < 2 * handoverMs; passedMs += 10) await this.cluster.run(10)
  assert.ok(host.owned.size > 0, 'nothing was handed over')
  await this.cluster.run(ms)
  const left = this.cluster.leave(host)
  await this.cluster.run(500)
  await left
})

When('the store is {string} and lease host {int} leaves', function (this: LeasesWorld, state: StoreState, number: number) {
  this.cluster.state = state
  this.cluster.leave(this.cluster.hosts[number - 1]!)
})

When('lease host {int} leaves and starts again {int} ms later', async function (this: LeasesWorld, number: number, ms: number) {
  const host = this.cluster.hosts[number - 1]!
  const left = this.cluster.leave(host)
  await this.cluster.run(ms)
  await left
  this.cluster.startAgain(host)
})

When('all lease hosts but {int} leave and start again {int} ms later', async function (this: LeasesWorld, number: number, ms: number) {
  const leaving = this.cluster.hosts.filter((_, index) => index !== number - 1)
  const left = leaving.map(async host => await this.cluster.leave(host))
  await this.cluster.run(ms)
  await Promise.all(left)
  for (const host of leaving) this.cluster.startAgain(host)
})

Then('lease host {int} owns nothing', function (this: LeasesWorld, number: number) {
  const { owned, isRunning } = this.cluster.hosts[number - 1]!
  assert.deepEqual([...owned.keys()], [])
  assert.ok(!isRunning, 'the host has not left')
})

When('the store is well again', function (this: LeasesWorld) {
  this.cluster.state = 'well'
})

When('the store is slow', function (this: LeasesWorld) {
  this.cluster.state = 'slow'
})

When('lease host {int} is killed', function (this: LeasesWorld, number: number) {
  this.cluster.kill(this.cluster.hosts[number - 1]!)
})

When('lease host {int} is not heard by the others', function (this: LeasesWorld, number: number) {
  this.cluster.hosts[number - 1]!.isHeard = false
})

When('{int} ms pass for the leases while every engine may be given orders at least {int}% of the time', async function (this: LeasesWorld, ms: number, percent: number) {
  const engines = this.cluster.rows.listRows('servers').length
  let served = 0
  for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
    await this.cluster.run(stepMs)
    served += engines - this.cluster.listUnserved().length
  }
  const part = served / (engines * ms / stepMs)
  assert.ok(part * 100 >= percent, `${Math.round(part * 100)}% of the time`)
})

Then('every engine may be given orders by one host', function (this: LeasesWorld) {
  assert.deepEqual(this.cluster.listUnserved(), [])
  assert.deepEqual(this.cluster.violations, [])
})
