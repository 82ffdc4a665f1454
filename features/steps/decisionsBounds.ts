/** Steps for the lower bounds on stall times. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { computeStallBounds } from '../../bench/decisions/bounds.js'
import { scutire } from '../../bench/decisions/workload.js'
import type { Trace, TraceRequest } from '../../bench/decisions/workload.js'

interface BoundsWorld {
  trace: Trace
}

const [urgentClass, deferrableClass] = scutire.classes

Given('adapters without earlier requests, and loads of {int} ms', function (this: BoundsWorld, loadMs: number) {
  const deployment = { ...scutire, loadMs }
  this.trace = { name: 'small', deployment, seed: 0, requests: [], events: [], warmUpMs: 0, endMs: 10_000, maxReturns: 0 }
})

When(/^(urgent|deferrable) requests for "(.+)" arrive at (.+)$/, function (this: BoundsWorld, kind: string, adapter: string, arrivalTimes: string) {
  const workClass = (kind === 'urgent' ? urgentClass : deferrableClass)!
  const requests = arrivalTimes.split(', ').map((time): TraceRequest =>
    ({ id: time, atMs: parseInt(time), adapter, workClass, callerName: 'town', promptTokens: 1, maxTokens: 1 }))
  this.trace.requests = [...this.trace.requests, ...requests].sort((left, right) => left.atMs - right.atMs)
})

Then('urgent requests stall at least {int} ms, and all requests at least {int} ms',
  function (this: BoundsWorld, urgentStallMs: number, stallMs: number) {
    assert.deepEqual(computeStallBounds(this.trace), { urgentStallMs, stallMs })
  })
