/** Steps for streams that are slow, paused or stalled. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { call, pickRunning, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

Given('streams send one event every {int} ms', function (this: HostsWorld, eventMs: number) {
  setFaults(this, endpoint => endpoint.engine !== undefined, { eventMs })
})

Given('streams pause for {int} ms after their second event', function (this: HostsWorld, silenceMs: number) {
  setFaults(this, endpoint => endpoint.engine !== undefined, { silenceMs })
})

Given('streams send a byte every {int} ms and never end', function (this: HostsWorld, trickleMs: number) {
  setFaults(this, endpoint => endpoint.engine !== undefined, { trickleMs })
})

When('{int} streams of kind {string} with {int} ms left are sent for adapter {string}', async function (this: HostsWorld, count: number, kind: CallKind, timeLeftMs: number, adapter: string) {
  await Promise.all(Array.from({ length: count }, async (_, index) => await call(this, { kind, host: pickRunning(this, index), adapter, timeLeftMs })))
})

Then('each of them ran once', function (this: HostsWorld) {
  for (const { requestId } of this.answers) {
    const runs = this.hostFleet.fleet.journal.runs.filter(run => run.requestId === requestId)
    assert.equal(runs.length, 1, `request ${requestId} ran ${runs.length} times`)
  }
})

Then('each response ended within {int} ms', function (this: HostsWorld, maxMs: number) {
  for (const { requestId, tookMs } of this.answers) assert.ok(tookMs <= maxMs, `request ${requestId} took ${Math.round(tookMs)} ms`)
})

Then('no engine runs a request {int} ms later', async function (this: HostsWorld, ms: number) {
  await sleep(ms)
  const unfinished = this.hostFleet.fleet.journal.runs.filter(run => run.endedAtMs === undefined)
  assert.deepEqual(unfinished.map(run => run.requestId), [])
})
