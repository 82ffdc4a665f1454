/** Steps for the state that schedulers exchange and for the load budget that they share. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { applyEndpointChanges, computeEndpointChanges } from '../../src/core/endpointChanges.js'
import type { EndpointSummary } from '../../src/schemas/peerMessage.js'
import { measureTraffic } from '../support/controlTraffic.js'
import type { Traffic } from '../support/controlTraffic.js'
import { PeerCluster } from '../support/peerCluster.js'
import type { PeerHost } from '../support/peerCluster.js'

interface PeerClusterWorld {
  peers: PeerCluster
  requestedLoads: Map<string, number>
  traffic: Traffic
}

const loadMs = 400

function getPeer (world: PeerClusterWorld, index: number | string): PeerHost {
  return world.peers.hosts.get(`scheduler-${index}`)!
}

function listPeers (world: PeerClusterWorld): PeerHost[] {
  return [...world.peers.hosts.values()]
}

async function openPeers (world: PeerClusterWorld, indexes: string, options: ConstructorParameters<typeof PeerCluster>[0]): Promise<void> {
  world.peers = new PeerCluster(options)
  world.requestedLoads = new Map()
  for (const index of indexes.split(',')) await world.peers.addHost(Number(index))
}

function requestLoad (world: PeerClusterWorld, hostId: string, name: string, slackMs: number, durationMs: number): void {
  world.requestedLoads.set(hostId, (world.requestedLoads.get(hostId) ?? 0) + 1)
  world.peers.runLoad(hostId, name, slackMs, durationMs)
}

Given(/^peers ([\d, ]+) on a list that lags (\d+) milliseconds$/, async function (this: PeerClusterWorld, indexes: string, lagMs: string) {
  await openPeers(this, indexes, { listLagMs: Number(lagMs) })
})

Given(/^peers ([\d, ]+) that own engines [\d, ]+ with (\d+) loads a second, (\d+) at full speed$/,
  async function (this: PeerClusterWorld, indexes: string, loadsPerSecond: string, loadsAtFullSpeed: string) {
    const budget = { loadsPerSecond: Number(loadsPerSecond), loadsAtFullSpeed: Number(loadsAtFullSpeed) }
    await openPeers(this, indexes, { listLagMs: 0, budget })
    this.peers.owners = listPeers(this).map(({ hostId }, index) => ({ endpointId: `engine-${index + 1}`, hostId, fencing: 1 }))
    await this.peers.run(2000)
  })

When('the peers run for {int} milliseconds', async function (this: PeerClusterWorld, ms: number) {
  await this.peers.run(ms)
})

When('the list lags a minute behind and peer {int} joins and knows peer {int}', async function (this: PeerClusterWorld, index: number, known: number) {
  this.peers.setListLag(60_000)
  const { exchange } = await this.peers.addHost(index)
  const { hostId, address } = getPeer(this, known)
  exchange.receiveMessage(hostId, { type: 'members', members: [{ hostId, zone: 'az-1', address }] })
})

When('peer {int} goes away', function (this: PeerClusterWorld, index: number) {
  this.peers.kill(`scheduler-${index}`)
})

When('peer {int} goes away and peer {int} owns its engine {int} milliseconds later',
  async function (this: PeerClusterWorld, index: number, successor: number, ms: number) {
    this.peers.kill(`scheduler-${index}`)
    await this.peers.run(ms)
    this.peers.owners = this.peers.owners.map(owner => owner.hostId === `scheduler-${index}`
      ? { ...owner, hostId: `scheduler-${successor}`, fencing: 2 }
      : owner)
  })

When('peer {int} reports that request {string} caused crash {string}', function (this: PeerClusterWorld, index: number, fingerprint: string, crash: string) {
  getPeer(this, index).exchange.addSuspectRecords({ type: 'suspects', suspects: [{ fingerprint, crashes: [crash] }] })
})

When(/^the table stops responding to peers ([\d, ]+)$/, function (this: PeerClusterWorld, indexes: string) {
  for (const index of indexes.split(',')) getPeer(this, index.trim()).hasOutage = true
})

When('the table responds to peer {int} again', function (this: PeerClusterWorld, index: number) {
  getPeer(this, index).hasOutage = false
})

When('every peer asks for {int} loads of {int} milliseconds', function (this: PeerClusterWorld, count: number, ms: number) {
  for (const { hostId } of listPeers(this)) {
    for (let index = 0; index < count; index++) requestLoad(this, hostId, `${hostId}/${index}`, 1000, ms)
  }
})

When('peer {int} asks for load {string} with {int} milliseconds of slack', function (this: PeerClusterWorld, index: number, name: string, slackMs: number) {
  requestLoad(this, `scheduler-${index}`, name, slackMs, loadMs)
})

When('peer {int} asks for load {string} with {int} milliseconds of slack, which takes {int} milliseconds',
  function (this: PeerClusterWorld, index: number, name: string, slackMs: number, durationMs: number) {
    requestLoad(this, `scheduler-${index}`, name, slackMs, durationMs)
  })

When('peer {int} owns engine {int} and peer {int} asks for load {string} at the same time',
  function (this: PeerClusterWorld, owner: number, engine: number, requester: number, name: string) {
    this.peers.owners = [{ endpointId: `engine-${engine}`, hostId: `scheduler-${owner}`, fencing: 1 }]
    requestLoad(this, `scheduler-${requester}`, name, 0, loadMs)
  })

When('peer {int} asks for a load that never ends', function (this: PeerClusterWorld, index: number) {
  requestLoad(this, `scheduler-${index}`, 'endless', 0, 3600_000)
})

Then('every peer is connected to every other', function (this: PeerClusterWorld) {
  for (const { hostId, exchange } of listPeers(this)) {
    const others = listPeers(this).map(peer => peer.hostId).filter(other => other !== hostId)
    assert.deepEqual(exchange.listMembers().map(member => member.hostId).sort(), others.sort(), `peers of ${hostId}`)
  }
})

Then('gateways were notified of peer {int}', function (this: PeerClusterWorld, index: number) {
  for (const { hostId, gatewayMessages } of listPeers(this)) {
    if (hostId === `scheduler-${index}`) continue
    const isNotified = gatewayMessages.some(message => message.type === 'members' && message.members.some(member => member.hostId === `scheduler-${index}`))
    assert.ok(isNotified, `gateways of ${hostId}`)
  }
})

Then('every peer refuses request {string}', function (this: PeerClusterWorld, fingerprint: string) {
  for (const { suspects } of listPeers(this)) assert.equal(suspects.findState(fingerprint, this.peers.clock.readMonotonic()), 'refused')
})

Then('a peer {int} that joins now refuses request {string} after {int} milliseconds',
  async function (this: PeerClusterWorld, index: number, fingerprint: string, ms: number) {
    const { suspects } = await this.peers.addHost(index)
    await this.peers.run(ms)
    assert.equal(suspects.findState(fingerprint, this.peers.clock.readMonotonic()), 'refused')
  })

Then('peer {int} has outage reports of {string}', function (this: PeerClusterWorld, index: number, hosts: string) {
  assert.equal(getPeer(this, index).exchange.listOutageReports().sort().join(', '), hosts)
})

Then('{int} loads have run', function (this: PeerClusterWorld, count: number) {
  assert.equal(this.peers.loads.order.length, count)
})

Then('no more than {int} loads ran at once', function (this: PeerClusterWorld, count: number) {
  assert.ok(this.peers.loads.maxRunning <= count, `${this.peers.loads.maxRunning} loads`)
})

Then('more than {int} loads ran at once', function (this: PeerClusterWorld, count: number) {
  assert.ok(this.peers.loads.maxRunning > count, `${this.peers.loads.maxRunning} loads`)
})

Then('no second had more than {int} loads', function (this: PeerClusterWorld, count: number) {
  const { startedAtMs } = this.peers.loads
  for (const startMs of startedAtMs) {
    assert.ok(startedAtMs.filter(atMs => atMs >= startMs && atMs < startMs + 1000).length <= count)
  }
})

Then('all loads of the peers that are left have run', function (this: PeerClusterWorld) {
  for (const { hostId } of listPeers(this)) {
    assert.equal(this.peers.loads.order.filter(name => name.startsWith(`${hostId}/`)).length, this.requestedLoads.get(hostId), hostId)
  }
})

Then('the loads ran in the order {string}', function (this: PeerClusterWorld, order: string) {
  assert.equal(this.peers.loads.order.join(', '), order)
})

When('{int} hosts with {int} endpoints serve {int} requests and {int} loads a second for {int} seconds',
  async function (this: PeerClusterWorld, hosts: number, endpoints: number, requestsPerSecond: number, loadsPerSecond: number, seconds: number) {
    this.traffic = await measureTraffic({ hosts, endpoints, requestsPerSecond, loadsPerSecond, seconds })
  })

Then('a host sends at most {int} bytes of control messages a second', function (this: PeerClusterWorld, limit: number) {
  const bytesPerSecond = [...this.traffic.values()].reduce((left, right) => left + right, 0)
  assert.ok(bytesPerSecond <= limit, JSON.stringify([...this.traffic]))
})

/** Summaries whose times are equal or differ enough for every change to be published. */
const summaryArbitrary = fc.record({
  endpointId: fc.constantFrom('engine-1', 'engine-2', 'engine-3'),
  zone: fc.constant('az-1'),
  baseModel: fc.constant('base-1'),
  fencing: fc.nat(2),
  isReady: fc.boolean(),
  slots: fc.constant(8),
  batchLimit: fc.constant(16),
  running: fc.nat(2),
  queued: fc.nat(2),
  expectedWaitMs: fc.constantFrom(0, 100, 1000),
  expectedLoadMs: fc.constantFrom(0, 100, 1000),
  serviceIntervalMs: fc.constantFrom(0, 100, 1000),
  evictionCostMs: fc.constantFrom(0, 100, 1000),
  loaded: fc.subarray(['a@1', 'b@1', 'c@1']),
  loading: fc.subarray(['d@1', 'e@1'])
}, { noNullPrototype: true })

function sortSummaries (summaries: EndpointSummary[]): EndpointSummary[] {
  return [...summaries].sort((left, right) => left.endpointId < right.endpointId ? -1 : 1)
}

Then('for {int} random pairs of summaries, applying the computed changes to the first gives the second', function (this: PeerClusterWorld, runs: number) {
  const listArbitrary = fc.uniqueArray(summaryArbitrary, { selector: summary => summary.endpointId })
  fc.assert(fc.property(listArbitrary, listArbitrary, (known, current) => {
    assert.deepEqual(sortSummaries(applyEndpointChanges(known, computeEndpointChanges(known, current))), sortSummaries(current))
  }), { seed: 3, numRuns: runs })
})
