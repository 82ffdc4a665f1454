/** Steps for changes that have to reach every host within the site's bounds. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { endpointsTable, operatorsTable, UpdateCluster } from '../support/updateCluster.js'
import type { UpdateBounds } from '../support/updateCluster.js'

type Strike = (cluster: UpdateCluster, host: UpdateCluster['hosts'][number]) => void

interface ChangesWorld {
  createCluster: () => UpdateCluster
  bounds: UpdateBounds
  /** Strikes the cluster and waits until the last fault has begun. */
  strike: (cluster: UpdateCluster) => Promise<void>
  storeCalls: number
  readerCount: number
}

const maxDelayMs = 1500
const delayStepMs = 75
/** Large clusters are played with fewer moments of the change. */
const largeClusterHosts = 50
const largeDelayStepMs = 500
const slowStoreLatencyMs = 200

const strikes: Readonly<Record<string, Strike>> = Object.freeze({
  freezes: (_cluster, host) => { host.isFrozen = true },
  'loses the store': (_cluster, host) => { host.isStoreSilent = true },
  'is refused by the store': (_cluster, host) => { host.isStoreRefusing = true },
  'is killed': (_cluster, host) => { host.isKilled = true }
})

function disturbHost (cluster: UpdateCluster, host: UpdateCluster['hosts'][number], fault: string): void {
  host.isDisturbed = true
  strikes[fault]!(cluster, host)
}

Given('{int} hosts in {int} zones with bounds of {int} and {int} ms', function (this: ChangesWorld, hosts: number, zones: number, configurationMs: number, drainMs: number) {
  this.bounds = { configurationMs, drainMs }
  this.createCluster = () => new UpdateCluster(hosts, zones, this.bounds)
})

When(/^the first store reader (freezes|loses the store|is refused by the store|is killed), and a change is written 0 to 1500 ms later$/, function (this: ChangesWorld, fault: string) {
  this.strike = async cluster => disturbHost(cluster, cluster.readers[0]!, fault)
})

When(/^the first store reader (freezes|loses the store|is killed), the others (freezes|loses the store) (\d+) ms later, and a change is written 0 to 1500 ms later$/, function (this: ChangesWorld, first: string, second: string, apartMs: string) {
  this.strike = async cluster => {
    const [firstReader, ...others] = cluster.readers
    disturbHost(cluster, firstReader!, first)
    await cluster.run(Number(apartMs))
    for (const reader of others) disturbHost(cluster, reader, second)
  }
})

When(/^the open calls for (\w+) of all store readers hang, and a change is written 0 to 1500 ms later$/, function (this: ChangesWorld, table: string) {
  this.strike = async cluster => { for (const reader of cluster.readers) cluster.holdOpenCalls(reader, table) }
})

When('all hosts renew their rows, and the store readers are killed after one more renewal', function (this: ChangesWorld) {
  this.strike = async cluster => {
    for (const renewal of [1, 2]) {
      cluster.renew(renewal)
      await cluster.run(3000)
    }
    for (const reader of cluster.readers) disturbHost(cluster, reader, 'is killed')
  }
})

Then('every host that runs knows the last renewals {int} ms later', async function (this: ChangesWorld, ms: number) {
  const cluster = this.createCluster()
  await cluster.start()
  await this.strike(cluster)
  await cluster.run(ms)
  cluster.stop()
  const outdated = cluster.hosts.filter(({ isKilled }) => !isKilled).map(host => ({ host: host.own.host, renewals: cluster.listOutdatedRenewals(host) }))
  assert.deepEqual(outdated.filter(({ renewals }) => renewals.length > 0), [])
})

When('the store comes back from a copy that was made {int} ms before, after {int} ms, and a change is written 0 to 1500 ms later', function (this: ChangesWorld, lostMs: number, awayMs: number) {
  this.strike = async cluster => {
    const copy = cluster.takeCopy()
    await cluster.run(lostMs / 2)
    cluster.change()
    await cluster.run(lostMs / 2)
    await cluster.restore(copy, awayMs)
  }
})

When('a store reader of an earlier build has missed that the store was restored {int} ms ago, and a change is written 0 to 1500 ms later', function (this: ChangesWorld, agoMs: number) {
  this.strike = async cluster => {
    const copy = cluster.takeCopy()
    await cluster.run(5000)
    const reader = cluster.readers[0]!
    disturbHost(cluster, reader, 'loses the store')
    reader.isEarlierBuild = true
    await cluster.restore(copy, 500)
    await cluster.run(agoMs)
  }
})

Then(/^every host(?: that no fault touched)? has the change within the bounds, also from a store that takes 200 ms to answer$/, { timeout: 120_000 }, async function (this: ChangesWorld) {
  const problems: string[] = []
  const stepMs = this.createCluster().hosts.length > largeClusterHosts ? largeDelayStepMs : delayStepMs
  for (const storeLatencyMs of [undefined, slowStoreLatencyMs]) {
    for (let delayMs = 0; delayMs <= maxDelayMs; delayMs += stepMs) problems.push(...await findLateHosts(this, delayMs, storeLatencyMs))
  }
  assert.deepEqual(problems.slice(0, 5), [], `${problems.length} times`)
})

/** Plays one cluster: a strike, a change `delayMs` later, and who had it too late. */
async function findLateHosts ({ createCluster, strike, bounds }: ChangesWorld, delayMs: number, storeLatencyMs: number | undefined): Promise<string[]> {
  const cluster = createCluster()
  await cluster.start()
  if (storeLatencyMs !== undefined) cluster.storeLatencyMs = storeLatencyMs
  // Another phase of the calls that are under way for each moment of the change.
  await cluster.run(1000 + delayMs / 3)
  await strike(cluster)
  await cluster.run(delayMs)
  const versions = cluster.change()
  const writtenAtMs = cluster.clock.readMonotonic()
  await cluster.run(2 * Math.max(bounds.configurationMs, bounds.drainMs))
  cluster.stop()
  const limits = [[operatorsTable, bounds.configurationMs], [endpointsTable, bounds.drainMs]] as const
  return cluster.hosts.filter(host => !host.isDisturbed).flatMap(({ own }) => limits.flatMap(([table, limitMs]) => {
    const tookMs = (cluster.receivedAtMs.get(`${own.host} ${table} ${versions[table]}`) ?? Infinity) - writtenAtMs
    return tookMs <= limitMs ? [] : [`${own.host}: the change of ${table} ${delayMs} ms after the fault took ${Math.round(tookMs)} ms`]
  }))
}

When('{int} ms pass without a fault', { timeout: 60_000 }, async function (this: ChangesWorld, ms: number) {
  const cluster = this.createCluster()
  await cluster.start()
  const callsBefore = cluster.storeCalls
  await cluster.run(ms)
  cluster.stop()
  this.storeCalls = (cluster.storeCalls - callsBefore) / (ms / 1000)
  this.readerCount = cluster.readers.length
})

Then('the store was called at most {int} times a second for each store reader', function (this: ChangesWorld, maxCalls: number) {
  assert.ok(this.storeCalls <= maxCalls * this.readerCount, `${this.storeCalls} calls a second by ${this.readerCount} readers`)
})
