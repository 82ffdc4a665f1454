/** Steps of endpoints that fall over when they have to reject many requests. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { computeBrittleShares } from '../../src/core/brittleEndpoints.js'
import { decodeAnswerHead } from '../../src/platform/requestWire.js'
import { wireHeaders } from '../../src/platform/wireNames.js'
import type { ResponseHead } from '../../src/schemas/callerRequest.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { call, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface BrittleWorld extends HostsWorld {
  head: ResponseHead
}

interface SharesWorld {
  endpoints: Array<{ id: string, places: number }>
  hostNames: string[]
  /** Shares of each host, by endpoint. */
  shares: Map<string, number>[]
}

const restartMs = 400

When('services bear {int} rejections a second', function (this: HostsWorld, count: number) {
  setFaults(this, endpoint => endpoint.engine === undefined, { brittle: String(count), downMs: restartMs })
})

When('{int} requests come to the hosts in turn within {int} ms', { timeout: 20_000 }, async function (this: HostsWorld, count: number, withinMs: number) {
  const hosts = this.hostFleet.hosts.length
  await Promise.all(Array.from({ length: count }, async (_, index) => {
    await sleep(index * withinMs / count)
    await call(this, { kind: 'idempotent', host: index % hosts + 1, timeLeftMs: 2000 })
  }))
})

Then('services have fallen over at most {int} times', function (this: HostsWorld, most: number) {
  const falls = this.hostFleet.fleet.endpoints.reduce((sum, { server }) => sum + server.crashTimesMs.length, 0)
  assert.ok(falls <= most, `${falls} times`)
})

Then('at least {int} of the last {int} answers are whole', function (this: HostsWorld, least: number, count: number) {
  const whole = this.answers.slice(-count).filter(isWhole).length
  assert.ok(whole >= least, `${whole} whole`)
})

When('an endpoint says that it bears {string} rejections a second', function (this: BrittleWorld, value: string) {
  this.head = decodeAnswerHead(200, [wireHeaders.brittle, value])
})

Then(/^the host parses the rejections as (\d+|unreadable)$/, function (this: BrittleWorld, parsed: string) {
  if (parsed === 'unreadable') assert.notEqual(this.head.invalidMaxRejections, undefined)
  else assert.equal(this.head.maxRejectionsPerSecond, Number(parsed))
})

Given(/^endpoints of ([\d, ]+) places, and (\d+) hosts$/, function (this: SharesWorld, places: string, hosts: string) {
  this.endpoints = places.split(', ').map((count, index) => ({ id: `i-${index}`, places: Number(count) }))
  this.hostNames = Array.from({ length: Number(hosts) }, (_, index) => `host-${index}`)
})

When('each host computes its shares of them', function (this: SharesWorld) {
  this.shares = this.hostNames.map(host => computeBrittleShares(this.endpoints, this.hostNames, host))
})

Then(/^the shares of each endpoint sum up to ([\d, ]+), and each host has from (\d+) to (\d+)$/, function (this: SharesWorld, sums: string, least: string, most: string) {
  assert.equal(this.endpoints.map(({ id }) => this.shares.reduce((sum, shares) => sum + shares.get(id)!, 0)).join(', '), sums)
  const ofHosts = this.shares.map(shares => [...shares.values()].reduce((sum, share) => sum + share, 0))
  assert.deepEqual([Math.min(...ofHosts), Math.max(...ofHosts)], [Number(least), Number(most)])
})
