/** Steps of what hosts learn of their callers' times. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { CallerWaits } from '../../src/core/callerWaits.js'

interface WaitsWorld {
  callerWaits: CallerWaits
  spentMs: number
}

Given('{int} first tries on route {string} with {int} ms left', function (this: WaitsWorld, count: number, route: string, ms: number) {
  this.callerWaits ??= new CallerWaits()
  for (let index = 0; index < count; index++) this.callerWaits.recordTimeLeft(route, ms)
})

Given('{int} tries on route {string} with times of their own', function (this: WaitsWorld, count: number, route: string) {
  for (let index = 0; index < count; index++) this.callerWaits.recordTimeLeft(route, 1000 + 17 * index)
})

When('a caller of {string} has {int} ms left', function (this: WaitsWorld, route: string, ms: number) {
  this.spentMs = this.callerWaits.computeSpentMs(route, ms)
})

Then('it has been waiting for {int} ms', function (this: WaitsWorld, ms: number) {
  assert.equal(this.spentMs, ms)
})
