/** Steps that check the responses that callers received and the requests that endpoints received. */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { isWhole, listEventIds, looksWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

Then('at most {int} retries were sent in total', function (this: HostsWorld, count: number) {
  const retries = this.hostFleet.listLines('request.retried')
  assert.ok(retries.length <= count, `${retries.length} retries`)
})

Then('at least {int} of the last {int} streams are whole', function (this: HostsWorld, least: number, count: number) {
  const complete = this.answers.slice(-count).filter(answer => isWhole(answer))
  assert.ok(complete.length >= least, `${complete.length} of ${count}`)
})

Then('every answer is whole and signed', function (this: HostsWorld) {
  for (const answer of this.answers) assert.ok(isWhole(answer), JSON.stringify(answer))
})

Then('every answer is whole or refused with a time to come back', function (this: HostsWorld) {
  for (const answer of this.answers) {
    const isRefused = answer.status === 503 && answer.retryAfterS !== undefined && this.hostFleet.fleet.journal.listRuns(answer.requestId).length === 0
    const hasNoResponse = answer.status === 0 && this.hostFleet.fleet.journal.listRuns(answer.requestId).length === 0
    assert.ok(isWhole(answer) || isRefused || hasNoResponse, JSON.stringify(answer))
  }
})

Then(/^at least (\d+) (?:streams|answers) are whole$/, function (this: HostsWorld, count: string) {
  const completeCount = this.answers.filter(answer => isWhole(answer)).length
  assert.ok(completeCount >= Number(count), `${completeCount} of ${this.answers.length}`)
})

Then('every complete response belongs to its request', function (this: HostsWorld) {
  for (const answer of this.answers) if (looksWhole(answer)) assert.equal(answer.body, `done ${answer.requestId}`)
})

Then('no incomplete response looks complete', function (this: HostsWorld) {
  for (const answer of this.answers) if (looksWhole(answer)) assert.ok(isWhole(answer), JSON.stringify(answer))
})

Then('no answer joins or repeats events', function (this: HostsWorld) {
  for (const answer of this.answers) listEventIds(answer).forEach((id, index) => assert.equal(id, index + 1, JSON.stringify(answer)))
  for (const answer of this.answers) if (looksWhole(answer)) assert.ok(isWhole(answer), JSON.stringify(answer))
})

Then('some streams were resumed', function (this: HostsWorld) {
  assert.ok(this.hostFleet.fleet.journal.runs.some(run => run.fromEvent > 0))
})

Then('no request ran more than once', function (this: HostsWorld) {
  for (const answer of this.answers) assert.ok(this.hostFleet.fleet.journal.listRuns(answer.requestId).length <= 1, answer.requestId)
})

Then('no endpoint saw what no host may do', function (this: HostsWorld) {
  assert.deepEqual(this.hostFleet.fleet.listViolations(), [])
})

Then('engine {int} ran some of the last {int}', function (this: HostsWorld, number: number, count: number) {
  const engine = this.hostFleet.fleet.engines[number - 1]!
  assert.ok(this.hostFleet.fleet.journal.runs.slice(-count).some(run => run.endpointId === engine.id))
})

Then('engine {int} ran none of the last {int}', function (this: HostsWorld, number: number, count: number) {
  const { fleet } = this.hostFleet
  const { id } = fleet.engines[number - 1]!
  for (const answer of this.answers.slice(-count)) for (const run of fleet.journal.listRuns(answer.requestId)) assert.notEqual(run.endpointId, id)
})

Then('the last {int} ran on version {int}', function (this: HostsWorld, count: number, version: number) {
  for (const answer of this.answers.slice(-count)) {
    const runs = this.hostFleet.fleet.journal.listRuns(answer.requestId)
    assert.deepEqual(runs.map(run => run.adapterVersion), [version], JSON.stringify(answer))
  }
})

Then('the engine stops the request within {int} ms', async function (this: HostsWorld, ms: number) {
  const { runs } = this.hostFleet.fleet.journal
  const startedAtMs = performance.now()
  await waitUntil(() => runs.every(run => run.outcome !== 'running'))
  assert.ok(performance.now() - startedAtMs < ms)
  assert.equal(runs.at(-1)?.outcome, 'left')
})

Then('every response has status {int} and arrived within {int} ms', function (this: HostsWorld, status: number, ms: number) {
  for (const answer of this.answers) {
    assert.equal(answer.status, status)
    assert.ok(answer.tookMs < ms, `${answer.tookMs} ms`)
  }
})
