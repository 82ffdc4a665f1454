/** Steps of the engines of the stand-in platform. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { FleetEngine } from '../../src/standin/fleet/fleetEngine.js'
import { waitUntil } from '../support/waitUntil.js'

interface FleetEngineWorld {
  fleetEngine: FleetEngine
}

const modelLoadMs = 50
/** Milliseconds of the engine's clock for one of its timers. */
const clockRate = 0.9

Given('an engine of the stand-in whose clock is slower than its timers', function (this: FleetEngineWorld) {
  const options = { id: 'i-1', model: 'base', adapterSlots: 4, batchLimit: 16, coldLoadMs: 120, warmLoadMs: 12, reportLagMs: 100, eventMs: 15, modelLoadMs }
  this.fleetEngine = new FleetEngine(options, () => performance.now() * clockRate)
})

When('the load of its model is ordered and has ended', async function (this: FleetEngineWorld) {
  assert.equal(this.fleetEngine.receiveOrder({ kind: 'load', model: 'base', adapter: undefined, version: undefined, expectedCount: 0 }, { host: 'host-1', fencing: 1 }), 202)
  await waitUntil(() => this.fleetEngine.describeModels().length > 0)
})

Then('its report shows the model within {int} ms', async function (this: FleetEngineWorld, ms: number) {
  await sleep(ms)
  assert.deepEqual(this.fleetEngine.readReport().models.map(({ name }) => name), ['base'])
})
