import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { AdapterPlaces } from '../../src/core/desk/adapterPlaces.js'
import type { EngineState } from '../../src/ports/orders.js'
import { ForeignRuns } from '../../src/tasks/desk/foreignRuns.js'

interface ForeignRunsWorld {
  engineClock: VirtualClock
  adapterPlaces: AdapterPlaces
  foreignRuns: ForeignRuns
  engineState: EngineState
  answersReads: boolean
  releases: number
}

const slots = 4
const stepMs = 10

Given('an engine that runs {int} requests of which its owner knows {int}', function (this: ForeignRunsWorld, running: number, own: number) {
  this.engineClock = new VirtualClock()
  this.adapterPlaces = new AdapterPlaces(slots)
  this.adapterPlaces.add('base/a1', 1, 'loaded', 0, 0)
  this.engineState = { startedAtMs: 1, models: [], loading: [], isBusy: false, orderCount: 0, running, waiting: 0 }
  this.answersReads = true
  this.releases = 0
  this.foreignRuns = new ForeignRuns({
    clock: this.engineClock,
    log: { record: () => {} },
    endpointId: 'i-1',
    orders: {
      readState: async () => {
        if (!this.answersReads) throw new Error('no answer')
        return this.engineState
      }
    },
    places: this.adapterPlaces,
    countOwn: () => own,
    receiveReleased: () => { this.releases++ }
  })
})

When('its owner takes it over', function (this: ForeignRunsWorld) {
  this.foreignRuns.receiveState(this.engineState)
})

When('it runs {int} requests after {int} ms', function (this: ForeignRunsWorld, running: number, ms: number) {
  this.engineClock.setTimer(() => { this.engineState = { ...this.engineState, running } }, ms)
})

When('it does not answer any more', function (this: ForeignRunsWorld) {
  this.answersReads = false
})

Then('its adapters are kept for {int} ms', async function (this: ForeignRunsWorld, ms: number) {
  const canGo = (): boolean => this.adapterPlaces.findEvictionCandidate(this.engineClock.readMonotonic(), () => false) !== undefined
  const startedAtMs = this.engineClock.readMonotonic()
  while (!canGo() && this.engineClock.readMonotonic() < 10 * 1000) await this.engineClock.runUntilSettled(this.engineClock.readMonotonic() + stepMs)
  assert.equal(this.engineClock.readMonotonic() - startedAtMs, ms)
})

Then('its owner has been told of it', function (this: ForeignRunsWorld) {
  assert.equal(this.releases, 1)
})
