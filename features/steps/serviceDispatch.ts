/** Steps of requests to plain services that hosts grant to each other. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { isDispatched } from '../../src/core/dispatch/dispatchChoice.js'
import { rankDispatchGranters } from '../../src/core/dispatch/dispatchGranters.js'
import { DispatchQueue } from '../../src/core/dispatch/dispatchQueue.js'
import type { DispatchDecision } from '../../src/core/dispatch/dispatchQueue.js'
import { computeWaves, createCounts, DispatchTrial } from '../support/dispatchTrial.js'
import type { DispatchCounts, DispatchTrialOptions } from '../support/dispatchTrial.js'

interface DispatchWorld {
  trial: DispatchTrial
  ownChoice: DispatchTrial
  queue: DispatchQueue
}

const failureSeed = 7
const atUsualRate: Omit<DispatchTrialOptions, 'seed' | 'isDispatched'> = { requestsPerSecond: 210, computeLoad: () => 1 }

function computeOnTime ({ onTime, arrivals }: DispatchCounts): number {
  return onTime / arrivals
}

Given('80 hosts before 3 endpoints of a plain service with 6 places each', function (this: DispatchWorld) {
  this.trial = new DispatchTrial({ ...atUsualRate, seed: failureSeed, isDispatched: true })
})

When('callers send 210 requests a second in waves and bursts for {int} s, with seed {int}', { timeout: 60_000 }, async function (this: DispatchWorld, seconds: number, seed: number) {
  const options = { requestsPerSecond: 210, computeLoad: computeWaves, seed }
  this.trial = new DispatchTrial({ ...options, isDispatched: true })
  this.ownChoice = new DispatchTrial({ ...options, isDispatched: false })
  await this.trial.run(seconds * 1000)
  await this.ownChoice.run(seconds * 1000)
})

When('callers send 210 requests a second for {int} s', { timeout: 60_000 }, async function (this: DispatchWorld, seconds: number) {
  this.trial.counts = createCounts()
  await this.trial.run(seconds * 1000)
})

When('the host that grants at endpoint 1 dies', function (this: DispatchWorld) {
  this.trial.findGranter(0).isDead = true
})

When('the host that grants at endpoint 1 stops for {int} s', function (this: DispatchWorld, seconds: number) {
  this.trial.findGranter(0).frozenUntilMs = this.trial.clock.readMonotonic() + seconds * 1000
})

When('endpoint 1 leaves', function (this: DispatchWorld) {
  this.trial.removeEndpoint(0)
})

When('{int}% of the messages are lost', function (this: DispatchWorld, percent: number) {
  let sent = 0
  this.trial.isLost = () => ++sent * percent % 100 < percent
})

When('half of the hosts see no granter of endpoint 1', function (this: DispatchWorld) {
  this.trial.hideHost(this.trial.findGranter(0), index => index % 2 === 0)
})

Then('at least {int}% of the requests are answered on time, and {int}% more than where hosts choose by themselves', function (this: DispatchWorld, percent: number, more: number) {
  const [granted, chosen] = [computeOnTime(this.trial.counts), computeOnTime(this.ownChoice.counts)]
  assert.ok(granted >= percent / 100 && granted >= chosen + more / 100, `${granted} on time, ${chosen} where hosts choose by themselves`)
  assert.ok(this.ownChoice.counts.rejected > 0, 'the load fills no endpoint')
})

Then('at least {int}% of the latest requests are answered on time', function (this: DispatchWorld, percent: number) {
  assert.ok(computeOnTime(this.trial.counts) >= percent / 100, JSON.stringify(this.trial.counts))
})

Then('endpoints reject no request, and never have more than {int}', function (this: DispatchWorld, most: number) {
  assert.equal(this.trial.counts.rejected, 0)
  const counts = this.trial.endpoints.map(({ mostAtOnce }) => mostAtOnce)
  assert.ok(Math.max(...counts) <= most, `${counts}`)
})

Then('a request takes {int} messages to granters at most on average', function (this: DispatchWorld, most: number) {
  const { asks, arrivals } = this.trial.counts
  assert.ok(asks / arrivals <= most, `${asks / arrivals}`)
})

Then('callers that are refused learn of it within {int} ms, and come back at different times', function (this: DispatchWorld, ms: number) {
  const { longestRefusalMs, retryDelaysMs } = this.trial
  assert.ok(longestRefusalMs <= ms, `${longestRefusalMs} ms`)
  assert.ok(new Set(retryDelaysMs.map(Math.round)).size > Math.min(20, retryDelaysMs.length / 4), `${retryDelaysMs.length} delays`)
})

Then(/^requests to endpoints with (\d+) places that tell (slowness|nothing) are (granted|chosen as they are) by (\d+) hosts$/, function (places: string, tells: string, chosen: string, hosts: string) {
  assert.equal(isDispatched([{ places: Number(places), reportsSlowness: tells === 'slowness' }], Number(hosts)), chosen === 'granted')
})

Then('of {int} endpoints, hosts with 4 times the processor time grant for {float} to {float} times as many', function (endpoints: number, least: number, most: number) {
  const hosts = Array.from({ length: 10 }, (_, index) => ({ host: `front-${index}`, isLeaving: false, processorShare: index < 5 ? 1 : 0.25 }))
  const granters = Array.from({ length: endpoints }, (_, index) => rankDispatchGranters(`i-${index}`, hosts)[0]!)
  const large = granters.filter(({ processorShare }) => processorShare === 1).length
  const ratio = large / (endpoints - large)
  assert.ok(ratio >= least && ratio <= most, `${ratio}`)
})

function createRequest (key: string, dueInMs: number, account: string): Parameters<DispatchQueue['receiveRequest']>[0] {
  return { key, account, dueInMs, uselessInMs: 2000, leavesInMs: 2000, mayDecline: false, elsewhereMs: undefined }
}

Given('an endpoint with 1 place that has granted all it may', function (this: DispatchWorld) {
  this.queue = new DispatchQueue({ findPlaces: () => 1, shares: { record: () => {}, isOverShare: account => account === 'greedy' } })
  this.queue.receiveRequest(createRequest('first', 500, ''), 0)
  this.queue.receiveRelease('first', { tookMs: 5, slowness: 1, busy: undefined }, 5)
  this.queue.receiveRequest(createRequest('earlier', 500, ''), 5)
})

When('requests of an account over its share, of a late caller and of another account wait', function (this: DispatchWorld) {
  this.queue.receiveRequest(createRequest('greedy', 1000, 'greedy'), 6)
  this.queue.receiveRequest(createRequest('late', 2, 'other'), 7)
  this.queue.receiveRequest(createRequest('other', 1000, 'other'), 8)
})

Then('they are granted as {string}', function (this: DispatchWorld, order: string) {
  const granted: string[] = []
  let running = 'earlier'
  for (let nowMs = 10; granted.length < 3 && nowMs < 100; nowMs += 10) {
    const decisions: DispatchDecision[] = this.queue.receiveRelease(running, { tookMs: 5, slowness: 1, busy: undefined }, nowMs)
    const next = decisions.find(({ kind }) => kind === 'grant')
    if (next) granted.push(running = next.key)
  }
  assert.equal(granted.join(', '), order)
})
