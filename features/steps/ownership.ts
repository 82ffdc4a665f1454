/** Steps for the ownership of endpoints. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { defaultOwnershipPolicy } from '../../src/core/ownershipPolicy.js'
import type { OwnershipPolicy } from '../../src/core/ownershipPolicy.js'
import { formatSchedulerKey } from '../../src/schemas/ownershipRows.js'
import { OwnershipCluster, reusedHandles } from '../support/ownershipCluster.js'
import type { ClusterHost } from '../support/ownershipCluster.js'
import { findViolatingHistory } from '../support/ownershipHistories.js'
import { settle } from '../support/settle.js'
import { measureSlowestTakeover } from '../support/takeoverTrial.js'

interface OwnershipWorld {
  cluster: OwnershipCluster
  /** The scheduler that was killed, paused, stopped or isolated. */
  affectedHost: ClusterHost
  ownersBefore: string[]
  violatingHistory: string | undefined
  slowestMs: number
}

const policiesWithoutMechanism: Record<string, Partial<OwnershipPolicy>> = {
  'the wait for the former owner': { hasFormerOwnerEnded: () => true },
  'the unload intent': { canUnloadWithoutWrite: () => true },
  'the serving limit': { mayServe: (_nowMs, servesUntilMs) => servesUntilMs > 0 }
}

function parseIndexes (text: string): number[] {
  return text.split(',').map(Number)
}

function startCluster (world: OwnershipWorld, indexes: string, engines: number, policy: OwnershipPolicy = defaultOwnershipPolicy): void {
  world.cluster = new OwnershipCluster({ engines, changeOptions: options => ({ ...options, policy }) })
  for (const index of parseIndexes(indexes)) world.cluster.addHost(index)
}

function findOwner (world: OwnershipWorld, endpointId: string): ClusterHost {
  const [owner] = world.cluster.listOwners(endpointId)
  assert.ok(owner, `no scheduler owns "${endpointId}"`)
  return owner
}

function listOwnerIds (world: OwnershipWorld): string[] {
  return [...world.cluster.engines.keys()].map(endpointId => world.cluster.listOwners(endpointId).map(host => host.hostId).join())
}

function countAdoptedHandles (host: ClusterHost, endpointId: string): number {
  const used = host.endpoints.get(endpointId)!
  return used.adoptable.size
}

Given(/^schedulers ([\d, ]+) on a table with (\d+) engines?$/, function (this: OwnershipWorld, indexes: string, engines: string) {
  startCluster(this, indexes, Number(engines))
})

Given(/^schedulers without (the serving limit), ([\d, ]+) on a table with (\d+) engine$/,
  function (this: OwnershipWorld, mechanism: string, indexes: string, engines: string) {
    startCluster(this, indexes, Number(engines), { ...defaultOwnershipPolicy, ...policiesWithoutMechanism[mechanism] })
  })

Given(/^schedulers 1, 2 on a table with 1 engine that ignores fencing tokens(?:, without (.+))?$/,
  function (this: OwnershipWorld, mechanism: string | null) {
    const policy = { ...defaultOwnershipPolicy, ...(mechanism ? policiesWithoutMechanism[mechanism] : {}) }
    this.cluster = new OwnershipCluster({
      engines: 1,
      changeOptions: options => ({ ...options, policy }),
      ...(mechanism === 'single-use handles' && { handles: reusedHandles })
    })
    for (const index of [1, 2]) this.cluster.addHost(index)
  })

When('the owner of {string} is paused for {int} seconds between an unload intent and its order',
  async function (this: OwnershipWorld, endpointId: string, seconds: number) {
    this.affectedHost = findOwner(this, endpointId)
    this.affectedHost.unloadOne(endpointId, 0)
    while (!this.cluster.findEngine(endpointId).hasUnloadIntent) await this.cluster.run(1)
    this.affectedHost.clock.pause()
    await this.cluster.run(seconds * 1000)
  })

When('the new owner of {string} runs a request on the same adapter', function (this: OwnershipWorld, endpointId: string) {
  const owner = findOwner(this, endpointId)
  assert.notEqual(owner, this.affectedHost)
  if (!owner.startRequest(endpointId, 0)) {
    assert.ok(owner.load(endpointId, 'adapter-1'))
    assert.ok(owner.startRequest(endpointId, 0))
  }
})

When('the paused scheduler resumes', async function (this: OwnershipWorld) {
  this.affectedHost.clock.wake()
  await this.cluster.run(1000)
})

Then(/^the adapter was (never|once) unloaded while it was in use$/, function (this: OwnershipWorld, count: string) {
  const unloaded = this.cluster.listViolations().filter(violation => violation.endsWith('while it was in use'))
  assert.equal(unloaded.length, count === 'never' ? 0 : 1)
  if (count === 'never') assert.deepEqual(this.cluster.listViolations(), [])
})

When('a scheduler is killed at each of {int} moments with seed {int}', async function (this: OwnershipWorld, kills: number, seed: number) {
  this.slowestMs = await measureSlowestTakeover(seed, kills)
})

Then('every endpoint ran a request again within {int} seconds on the virtual clock', function (this: OwnershipWorld, seconds: number) {
  assert.ok(this.slowestMs <= seconds * 1000, `the slowest takeover took ${this.slowestMs} ms`)
})

When(/^schedulers ([\d, ]+) start$/, function (this: OwnershipWorld, indexes: string) {
  for (const index of parseIndexes(indexes)) this.cluster.addHost(index)
})

When('the schedulers run for {int} seconds', async function (this: OwnershipWorld, seconds: number) {
  this.ownersBefore = listOwnerIds(this)
  await this.cluster.run(seconds * 1000)
})

When('scheduler {int} is killed', function (this: OwnershipWorld, index: number) {
  this.cluster.hosts.get(`scheduler-${index}`)!.clock.kill()
})

When('the owner of {string} is killed', function (this: OwnershipWorld, endpointId: string) {
  findOwner(this, endpointId).clock.kill()
})

When('the owner of {string} is killed and restarts under the same id', function (this: OwnershipWorld, endpointId: string) {
  this.affectedHost = findOwner(this, endpointId)
  this.affectedHost.clock.kill()
  this.cluster.addHost(Number(this.affectedHost.hostId.replace('scheduler-', '')))
})

When('the owner loads {int} adapters on {string}', function (this: OwnershipWorld, count: number, endpointId: string) {
  const owner = findOwner(this, endpointId)
  for (let index = 1; index <= count; index++) assert.ok(owner.load(endpointId, `adapter-${index}`))
})

When('the owner of {string} has a request and stops', function (this: OwnershipWorld, endpointId: string) {
  this.affectedHost = findOwner(this, endpointId)
  assert.ok(this.affectedHost.startRequest(endpointId, 0))
  this.affectedHost.leave()
})

When('its request ends', function (this: OwnershipWorld) {
  this.affectedHost.endRequest('engine-1')
})

When('the owner of {string} is paused for {int} seconds', async function (this: OwnershipWorld, endpointId: string, seconds: number) {
  this.affectedHost = findOwner(this, endpointId)
  this.affectedHost.clock.pause()
  await this.cluster.run(seconds * 1000)
})

When('the owner of {string} is isolated from the table and its peers', function (this: OwnershipWorld, endpointId: string) {
  this.affectedHost = findOwner(this, endpointId)
  this.affectedHost.isIsolated = true
  this.affectedHost.faults.isTableDown = true
})

When('the table is down for {int} seconds', async function (this: OwnershipWorld, seconds: number) {
  this.ownersBefore = listOwnerIds(this)
  this.cluster.setTableDown(true)
  await this.cluster.run(seconds * 1000)
})

When('the table is back', function (this: OwnershipWorld) {
  this.cluster.setTableDown(false)
})

When('the next {int} table responses to each scheduler are lost', function (this: OwnershipWorld, count: number) {
  for (const host of this.cluster.hosts.values()) host.faults.lostAnswers = count
})

When('the next {int} writes of scheduler {int} take effect {int} milliseconds late',
  function (this: OwnershipWorld, count: number, index: number, lateMs: number) {
    const { faults } = this.cluster.hosts.get(`scheduler-${index}`)!
    faults.lateWrites = count
    faults.lateMs = lateMs
  })

When(/^(\d+) random histories of (\d+) steps run with seed (\d+)(?: without (.+))?$/,
  async function (this: OwnershipWorld, runs: string, steps: string, seed: string, mechanism: string | null) {
    const policy = { ...defaultOwnershipPolicy, ...(mechanism ? policiesWithoutMechanism[mechanism] : {}) }
    this.violatingHistory = await findViolatingHistory({ seed: Number(seed), runs: Number(runs), steps: Number(steps), policy })
  })

Then('every endpoint has one owner', function (this: OwnershipWorld) {
  for (const endpointId of this.cluster.engines.keys()) {
    assert.equal(this.cluster.listOwners(endpointId).length, 1, `owners of ${endpointId}`)
  }
  assert.deepEqual(this.cluster.listViolations(), [])
})

Then('each scheduler owns {int} endpoint(s)', function (this: OwnershipWorld, count: number) {
  const running = [...this.cluster.hosts.values()].filter(host => host.clock.isRunning)
  assert.deepEqual(running.map(host => host.ownership.listOwned().length), running.map(() => count))
})

Then('the owner of {string} may use {int} handles', function (this: OwnershipWorld, endpointId: string, count: number) {
  assert.equal(countAdoptedHandles(findOwner(this, endpointId), endpointId), count)
})

Then('{string} holds {int} handles', function (this: OwnershipWorld, endpointId: string, count: number) {
  assert.equal(this.cluster.findEngine(endpointId).handles.length, count)
})

Then('the owner of {string} may unload each of these handles', async function (this: OwnershipWorld, endpointId: string) {
  const owner = findOwner(this, endpointId)
  while (this.cluster.findEngine(endpointId).handles.length > 0) {
    assert.ok(await settle(this.cluster.clock, owner.unloadOne(endpointId, 0)))
  }
  assert.deepEqual(this.cluster.listViolations(), [])
})

Then('the owner of {string} can swap an adapter', async function (this: OwnershipWorld, endpointId: string) {
  const owner = findOwner(this, endpointId)
  assert.ok(await settle(this.cluster.clock, owner.unloadOne(endpointId, 0)))
  assert.ok(owner.load(endpointId, 'cold'))
})

Then('the stopping scheduler still owns {string}', function (this: OwnershipWorld, endpointId: string) {
  assert.equal(findOwner(this, endpointId), this.affectedHost)
})

Then(/^the (?:paused scheduler|isolated scheduler) (owns|does not own) "(.+)"$/,
  function (this: OwnershipWorld, state: string, endpointId: string) {
    assert.equal(this.affectedHost.ownership.isOwner(endpointId), state === 'owns')
  })

Then('no endpoint has changed its owner', function (this: OwnershipWorld) {
  assert.deepEqual(listOwnerIds(this), this.ownersBefore)
})

Then('the table serves no more than {int} reads and {int} writes per second', function (this: OwnershipWorld, reads: number, writes: number) {
  const seconds = this.cluster.clock.readMonotonic() / 1000
  const { calls } = this.cluster
  assert.ok(calls.reads / seconds <= reads, `${calls.reads / seconds} reads per second`)
  assert.ok(calls.writes / seconds <= writes, `${calls.writes / seconds} writes per second`)
})

Then(/^the table has rows of schedulers ([\d, ]+)$/, async function (this: OwnershipWorld, indexes: string) {
  const rows = await this.cluster.table.listRows({ prefix: formatSchedulerKey(''), after: '', limit: 100 })
  assert.deepEqual(rows.map(row => row.key), parseIndexes(indexes).map(index => formatSchedulerKey(`scheduler-${index}`)))
})

Then('no history violates an invariant', function (this: OwnershipWorld) {
  assert.equal(this.violatingHistory, undefined)
})

Then('some history violates an invariant', function (this: OwnershipWorld) {
  assert.notEqual(this.violatingHistory, undefined)
})
