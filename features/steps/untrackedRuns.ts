/** Steps for the protection of adapters that untracked requests may use. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { EngineAdapters } from '../../src/core/allocation/engineAdapters.js'
import type { EngineState } from '../../src/ports/engineOrders.js'
import { UntrackedRuns } from '../../src/tasks/allocation/untrackedRuns.js'

interface UntrackedRunsWorld {
  engineClock: VirtualClock
  engineAdapters: EngineAdapters
  untrackedRuns: UntrackedRuns
  engineState: EngineState
  answersReads: boolean
  releaseCount: number
}

const slots = 4
const stepMs = 10

Given('an engine that runs {int} requests of which its owner tracks {int}', function (this: UntrackedRunsWorld, running: number, tracked: number) {
  this.engineClock = new VirtualClock()
  this.engineAdapters = new EngineAdapters(slots)
  this.engineAdapters.add('base/a1', 1, 'loaded', 0, 0)
  this.engineState = { startedAtMs: 1, models: [], loading: [], isBusy: false, orderCount: 0, running, waiting: 0 }
  this.answersReads = true
  this.releaseCount = 0
  this.untrackedRuns = new UntrackedRuns({
    clock: this.engineClock,
    log: { record: () => {} },
    endpointId: 'i-1',
    orders: {
      readState: async () => {
        if (!this.answersReads) throw new Error('no answer')
        return this.engineState
      }
    },
    adapters: this.engineAdapters,
    countTracked: () => tracked,
    receiveAdaptersReleased: () => { this.releaseCount++ }
  })
})

When('its owner takes it over', function (this: UntrackedRunsWorld) {
  this.untrackedRuns.receiveState(this.engineState)
})

When('it runs {int} requests after {int} ms', function (this: UntrackedRunsWorld, running: number, ms: number) {
  this.engineClock.setTimer(() => { this.engineState = { ...this.engineState, running } }, ms)
})

When('it becomes unresponsive', function (this: UntrackedRunsWorld) {
  this.answersReads = false
})

Then('its adapters are protected for {int} ms', async function (this: UntrackedRunsWorld, ms: number) {
  const canEvict = (): boolean => this.engineAdapters.findEvictionCandidate(this.engineClock.readMonotonic(), () => false) !== undefined
  const startedAtMs = this.engineClock.readMonotonic()
  while (!canEvict() && this.engineClock.readMonotonic() < 10 * 1000) await this.engineClock.runUntilSettled(this.engineClock.readMonotonic() + stepMs)
  assert.equal(this.engineClock.readMonotonic() - startedAtMs, ms)
})

Then('its owner was notified that the protection ended', function (this: UntrackedRunsWorld) {
  assert.equal(this.releaseCount, 1)
})
