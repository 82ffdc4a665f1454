/** Steps for the learned timeouts of callers. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { CallerTimeouts } from '../../src/core/callerTimeouts.js'

interface TimeoutsWorld {
  callerTimeouts: CallerTimeouts
  elapsedMs: number
}

Given('{int} first attempts on route {string} with {int} ms left', function (this: TimeoutsWorld, count: number, route: string, ms: number) {
  this.callerTimeouts ??= new CallerTimeouts()
  for (let index = 0; index < count; index++) this.callerTimeouts.recordTimeLeft(route, ms)
})

Given('{int} attempts on route {string} with different times left', function (this: TimeoutsWorld, count: number, route: string) {
  for (let index = 0; index < count; index++) this.callerTimeouts.recordTimeLeft(route, 1000 + 17 * index)
})

When('a caller of {string} has {int} ms left', function (this: TimeoutsWorld, route: string, ms: number) {
  this.elapsedMs = this.callerTimeouts.estimateElapsedMs(route, ms)
})

Then('its first attempt was {int} ms ago', function (this: TimeoutsWorld, ms: number) {
  assert.equal(this.elapsedMs, ms)
})
