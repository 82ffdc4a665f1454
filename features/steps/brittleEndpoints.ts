/** Steps of endpoints that fall over when they have to reject many requests. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Then, When } from '@cucumber/cucumber'
import { decodeAnswerHead } from '../../src/platform/requestWire.js'
import { wireHeaders } from '../../src/platform/wireNames.js'
import type { ResponseHead } from '../../src/schemas/callerRequest.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { call, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface BrittleWorld extends HostsWorld {
  head: ResponseHead
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
