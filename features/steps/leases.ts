/** Steps for engine leases on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { RowStoreCopy } from '../../src/standin/fleet/rowStore.js'
import { decodeHostsRow, hostsTable, renewalsTable } from '../../src/schemas/hostRows.js'
import { LeaseCluster } from '../support/leaseCluster.js'
import type { StoreState } from '../support/leaseCluster.js'
import { runLeaseHistory } from '../support/leaseHistories.js'

interface LeasesWorld {
  cluster: LeaseCluster
  copy?: RowStoreCopy
}

/** Interval at which a host hands over an excess engine. */
const handoverIntervalMs = 10_000
const sampleIntervalMs = 100

Given(/^(\d+) lease hosts? and (\d+) engines$/, function (this: LeasesWorld, hosts: string, engines: string) {
  this.cluster = new LeaseCluster(Number(hosts), Number(engines))
})

When('the lease hosts run for {int} ms', async function (this: LeasesWorld, ms: number) {
  await this.cluster.run(ms)
})

When('the lease hosts run for {int} s with at most {int} store calls per second', async function (this: LeasesWorld, seconds: number, calls: number) {
  const before = this.cluster.storeCallCount
  await this.cluster.run(seconds * 1000)
  assert.ok(this.cluster.storeCallCount - before <= calls * seconds, `the store was called ${this.cluster.storeCallCount - before} times`)
})

When('the lease hosts run for {int} ms without ranking hosts for engines', async function (this: LeasesWorld, ms: number) {
  const before = this.cluster.rankedPairCount
  await this.cluster.run(ms)
  assert.equal(this.cluster.rankedPairCount - before, 0)
})

When('the lease hosts run for {int} ms with at most {int} steps on a host that owns nothing', async function (this: LeasesWorld, ms: number, maxSteps: number) {
  const idleHost = this.cluster.hosts.findLast(({ owned }) => owned.size === 0)!
  const before = this.cluster.countSteps(idleHost)
  await this.cluster.run(ms)
  assert.equal(idleHost.owned.size, 0, 'the host became the owner of an engine')
  const steps = this.cluster.countSteps(idleHost) - before
  assert.ok(steps <= maxSteps, `the host ran ${steps} steps`)
})

When('a lease host joins, and lease host {int} leaves', async function (this: LeasesWorld, number: number) {
  this.cluster.addHost()
  await this.cluster.run(500)
  const leavePromise = this.cluster.leave(this.cluster.hosts[number - 1]!)
  await this.cluster.run(3000)
  await leavePromise
})

When('a lease host joins, and lease host {int} is killed', async function (this: LeasesWorld, number: number) {
  this.cluster.addHost()
  await this.cluster.run(500)
  this.cluster.kill(this.cluster.hosts[number - 1]!)
})

When('a lease host joins, and the store is {string} while engines are due to be handed over to it', async function (this: LeasesWorld, state: StoreState) {
  this.cluster.addHost()
  await this.cluster.run(handoverIntervalMs - 2500)
  this.cluster.storeState = state
  await this.cluster.run(4000)
  const losses = this.cluster.hosts.flatMap(({ logRecords }) => logRecords.filter(({ kind, fields }) => kind === 'lease.lost' && String(fields.reason).includes('fewer')))
  assert.ok(losses.length > 0, 'nothing was handed over')
})

When('a lease host joins, receives an engine and leaves {int} ms later', async function (this: LeasesWorld, ms: number) {
  this.cluster.addHost()
  const host = this.cluster.hosts.at(-1)!
  for (let elapsedMs = 0; host.owned.size === 0 && elapsedMs < 2 * handoverIntervalMs; elapsedMs += 10) await this.cluster.run(10)
  assert.ok(host.owned.size > 0, 'nothing was handed over')
  await this.cluster.run(ms)
  const leavePromise = this.cluster.leave(host)
  await this.cluster.run(500)
  await leavePromise
})

When('the store is {string} and lease host {int} leaves', function (this: LeasesWorld, state: StoreState, number: number) {
  this.cluster.storeState = state
  this.cluster.leave(this.cluster.hosts[number - 1]!)
})

When('lease host {int} leaves and restarts {int} ms later', async function (this: LeasesWorld, number: number, ms: number) {
  const host = this.cluster.hosts[number - 1]!
  const leavePromise = this.cluster.leave(host)
  await this.cluster.run(ms)
  await leavePromise
  this.cluster.restart(host)
})

When('all lease hosts except {int} leave and restart {int} ms later', async function (this: LeasesWorld, number: number, ms: number) {
  const leaving = this.cluster.hosts.filter((_, index) => index !== number - 1)
  const leavePromises = leaving.map(async host => await this.cluster.leave(host))
  await this.cluster.run(ms)
  await Promise.all(leavePromises)
  for (const host of leaving) this.cluster.restart(host)
})

Then('lease host {int} owns nothing', function (this: LeasesWorld, number: number) {
  const { owned, isRunning } = this.cluster.hosts[number - 1]!
  assert.deepEqual([...owned.keys()], [])
  assert.ok(!isRunning, 'the host is still running')
})

When('the store is away for {int} ms and comes back from a copy that was made {int} ms before', async function (this: LeasesWorld, awayMs: number, lostMs: number) {
  const copy = this.cluster.rows.takeCopy()
  await this.cluster.run(lostMs)
  await this.cluster.restore(copy, awayMs)
})

When('a copy of the store is made', function (this: LeasesWorld) {
  this.copy = this.cluster.rows.takeCopy()
})

When('the store is away for {int} ms and comes back from the copy', async function (this: LeasesWorld, awayMs: number) {
  await this.cluster.restore(this.copy!, awayMs)
})

When('lease host {int} is cut off from the store', function (this: LeasesWorld, number: number) {
  this.cluster.hosts[number - 1]!.isCutFromStore = true
})

When('lease host {int} reaches the store again', function (this: LeasesWorld, number: number) {
  this.cluster.hosts[number - 1]!.isCutFromStore = false
})

When('lease hosts {int} to {int} are cut off together', function (this: LeasesWorld, first: number, last: number) {
  for (const host of this.cluster.hosts.slice(first - 1, last)) this.cluster.cutOff(host, 1)
})

When('lease hosts {int} to {int} are cut off together, {int} ms apart', async function (this: LeasesWorld, first: number, last: number, apartMs: number) {
  for (const host of this.cluster.hosts.slice(first - 1, last)) {
    this.cluster.cutOff(host, 1)
    await this.cluster.run(apartMs)
  }
})

When('lease hosts {int} to {int} leave', async function (this: LeasesWorld, first: number, last: number) {
  const leaving = Promise.all(this.cluster.hosts.slice(first - 1, last).map(async host => await this.cluster.leave(host)))
  await this.cluster.run(3000)
  await leaving
})

When('lease hosts {int} to {int} are killed', function (this: LeasesWorld, first: number, last: number) {
  for (const host of this.cluster.hosts.slice(first - 1, last)) this.cluster.kill(host)
})

When('all lease hosts lose the store', function (this: LeasesWorld) {
  for (const host of this.cluster.hosts) host.isCutFromStore = true
})

When('a lease host starts that reaches the store and none of the others', function (this: LeasesWorld) {
  this.cluster.addHost()
  this.cluster.hosts.at(-1)!.group = 2
})

When('lease host {int} reaches the store and none of the others', function (this: LeasesWorld, number: number) {
  const host = this.cluster.hosts[number - 1]!
  host.isCutFromStore = false
  host.group = 2
})

When('lease hosts {int} to {int} restart, {int} ms apart', async function (this: LeasesWorld, first: number, last: number, apartMs: number) {
  this.cluster.hostRowWrites.clear()
  for (const host of this.cluster.hosts.slice(first - 1, last)) {
    this.cluster.kill(host)
    this.cluster.restart(host)
    await this.cluster.run(apartMs)
  }
})

When('lease hosts {int} to {int} are killed, {int} ms apart', async function (this: LeasesWorld, first: number, last: number, apartMs: number) {
  this.cluster.hostRowWrites.clear()
  for (const host of this.cluster.hosts.slice(first - 1, last)) {
    this.cluster.kill(host)
    await this.cluster.run(apartMs)
  }
})

Then('the lists of witnesses add at most {int} bytes for each of {int} witnesses to the rows of hosts', function (this: LeasesWorld, most: number, count: number) {
  const lists = this.cluster.rows.listRows(hostsTable)
    .flatMap(({ key, value }) => {
      const decoded = value && decodeHostsRow(key, value)
      return decoded?.kind === 'host' ? [decoded.row.witnesses ?? []] : []
    })
    .filter(({ length }) => length > 0)
  assert.ok(lists.some(({ length }) => length === count), 'no list is full')
  for (const list of lists) assert.ok(list.length <= count && JSON.stringify(list).length <= most * count, JSON.stringify(list))
})

Then('no owner among lease hosts {int} to {int} has written its row more than {int} times meanwhile', function (this: LeasesWorld, first: number, last: number, most: number) {
  const writes = this.cluster.hosts.slice(first - 1, last).filter(({ leases }) => leases.ownedEndpointCount > 0).map(host => this.cluster.hostRowWrites.get(host) ?? 0)
  assert.ok(writes.length > 0 && writes.every(count => count <= most), writes.join())
})

When('all cuts end', function (this: LeasesWorld) {
  this.cluster.heal()
})

Then('no engine could receive orders from two hosts', function (this: LeasesWorld) {
  assert.deepEqual(this.cluster.violations, [])
})

Then('no engine could receive orders from two hosts in {int} random histories from seed {int} on', async function (count: number, firstSeed: number) {
  for (let seed = firstSeed; seed < firstSeed + count; seed++) {
    const { steps, violations } = await runLeaseHistory(seed)
    assert.deepEqual(violations, [], `seed ${seed}: ${steps.join('; ')}`)
  }
})

When('all lease hosts are killed', function (this: LeasesWorld) {
  for (const host of this.cluster.hosts) this.cluster.kill(host)
})

When('all killed lease hosts restart', function (this: LeasesWorld) {
  this.cluster.restartEnded()
})

When('all killed lease hosts restart {int} ms apart', async function (this: LeasesWorld, apartMs: number) {
  for (const host of this.cluster.listEnded()) {
    this.cluster.restart(host)
    await this.cluster.run(apartMs)
  }
})

When('a lease host that owns nothing leaves and restarts', async function (this: LeasesWorld) {
  const host = this.cluster.hosts.findLast(({ owned }) => owned.size === 0)!
  const leaving = this.cluster.leave(host)
  await this.cluster.run(200)
  this.cluster.kill(host)
  this.cluster.restart(host)
  await this.cluster.run(1500)
  this.cluster.storeState = 'healthy'
  await this.cluster.run(7000)
  await leaving
})

Then('each lease host that runs is registered', function (this: LeasesWorld) {
  const names = this.cluster.hosts.filter(({ isRunning }) => isRunning).map(({ name }) => name).sort()
  for (const table of [hostsTable, renewalsTable]) {
    const keys = this.cluster.rows.listRows(table).map(({ key }) => key.replace('host/', '')).filter(key => key.startsWith('host-'))
    assert.deepEqual(keys.sort(), names)
  }
})

Then('no lease host conflicts with its own row within {int} ms', async function (this: LeasesWorld, ms: number) {
  const countConflicts = (): number => this.cluster.hosts.flatMap(({ logRecords }) => logRecords).filter(({ kind }) => kind === 'lease.conflict').length
  const before = countConflicts()
  await this.cluster.run(ms)
  assert.equal(countConflicts() - before, 0)
})

Then('lease host {int} may order nothing', function (this: LeasesWorld, number: number) {
  const { leases, owned } = this.cluster.hosts[number - 1]!
  assert.deepEqual([...owned.keys()].filter(id => leases.findFencingToken(id) !== undefined), [])
})

When('an engine joins', function (this: LeasesWorld) {
  this.cluster.addEngine()
})

When('the store is healthy again', function (this: LeasesWorld) {
  this.cluster.storeState = 'healthy'
})

When('the store turns {string}', function (this: LeasesWorld, state: StoreState) {
  this.cluster.storeState = state
})

When('the store is slow', function (this: LeasesWorld) {
  this.cluster.storeState = 'slow'
})

When('lease host {int} is killed', function (this: LeasesWorld, number: number) {
  this.cluster.kill(this.cluster.hosts[number - 1]!)
})

When('datagrams to and from lease host {int} are lost', function (this: LeasesWorld, number: number) {
  this.cluster.hosts[number - 1]!.isReachable = false
})

When('the lease hosts run for {int} ms while engines can receive orders at least {int}% of the time', async function (this: LeasesWorld, ms: number, percent: number) {
  const engines = this.cluster.rows.listRows('servers').length
  let leasedCount = 0
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += sampleIntervalMs) {
    await this.cluster.run(sampleIntervalMs)
    leasedCount += engines - this.cluster.listUnleasedEngines().length
  }
  const fraction = leasedCount / (engines * ms / sampleIntervalMs)
  assert.ok(fraction * 100 >= percent, `${Math.round(fraction * 100)}% of the time`)
})

Then('each engine can receive orders from exactly one host', function (this: LeasesWorld) {
  assert.deepEqual(this.cluster.listUnleasedEngines(), [])
  assert.deepEqual(this.cluster.violations, [])
})
