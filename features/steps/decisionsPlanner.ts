/** Steps for the scheduling decisions of an endpoint and the choice of an endpoint. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createCostChoice } from '../../src/core/costChoice.js'
import type { ChoiceRequest, EndpointView } from '../../src/core/endpointChoice.js'
import type { SlackPlannerOptions } from '../../src/core/plannerOptions.js'
import type { Target } from '../../src/schemas/configuration.js'
import { PlannerTrial } from '../support/plannerTrial.js'
import { createSampleSummary } from '../support/sampleSummary.js'
import type { TrialOptions, TrialRequest } from '../support/plannerTrial.js'

interface PlannerWorld {
  options: TrialOptions
  trial: PlannerTrial
  sent: Map<string, TrialRequest>
  arrivedAtMs: Map<string, number>
  views: EndpointView[]
  chosen: string | undefined
  agreedCount: number
}

/** Planner options by name of the mechanism that they disable. */
const mechanismOptions: Record<string, Partial<SlackPlannerOptions>> = {
  'with all mechanisms': {},
  'without critical window': { computeCriticalWindowMs: () => -Infinity },
  'without slack ordering': { isDeferrable: () => false, computeSortKeyMs: request => request.arrivedAtMs, computeFairDelayMs: () => 0 },
  'without batching delay': { computeBatchingDelayMs: () => 0 },
  'without admission control': { createAdmission: () => () => undefined },
  'without admission control or late queue': {
    createAdmission: () => () => undefined,
    computeFairDelayMs: () => 0,
    isLate: () => false
  },
  'without fair queueing': { computeFairDelayMs: () => 0 },
  'without back-off': { computeBackOffMs: () => 0 }
}

function parseTarget (kind: string, ms: number): Target {
  return kind === 'to finish' ? { kind: 'finishWithin', ms } : { kind: 'firstTokenWithin', ms }
}

function sendRequestAt (world: PlannerWorld, atMs: number, adapter: string, callerName: string, target: Target): void {
  const number = [...world.sent.values()].filter(request => request.adapter === adapter).length + 1
  const request = { requestId: `${adapter}-${number}`, adapter, callerName, target }
  world.sent.set(request.requestId, request)
  world.arrivedAtMs.set(request.requestId, atMs)
  world.trial.addAt(atMs, request)
}

Given(/^an endpoint with (\d+) adapter slots? and (\d+) batch slots?, runs of (\d+) ms and loads of (\d+) ms, (.+)$/,
  function (this: PlannerWorld, slots: string, batchLimit: string, runMs: string, loadMs: string, mechanism: string) {
    this.options = {
      capacity: { slots: Number(slots), batchLimit: Number(batchLimit) },
      runMs: Number(runMs),
      loadMs: Number(loadMs),
      permitMs: 0,
      failingAdapters: [],
      planner: mechanismOptions[mechanism]!
    }
    this.trial = new PlannerTrial(this.options)
    this.sent = new Map()
    this.arrivedAtMs = new Map()
  })

Given('loads wait {int} ms for their permits', function (this: PlannerWorld, permitMs: number) {
  this.options.permitMs = permitMs
})

Given('loads of adapter {string} fail', function (this: PlannerWorld, adapter: string) {
  this.options.failingAdapters.push(adapter)
})

When(/^adapter "(.+)" receives (\d+) requests? from caller "(.+)" at (\d+) ms, (to finish|with its first token) within (\d+) ms$/,
  function (this: PlannerWorld, adapter: string, count: string, caller: string, atMs: string, kind: string, ms: string) {
    for (let index = 0; index < Number(count); index++) sendRequestAt(this, Number(atMs), adapter, caller, parseTarget(kind, Number(ms)))
  })

When(/^adapter "(.+)" receives (\d+) requests from caller "(.+)" every (\d+) ms, each with its first token within (\d+) ms$/,
  function (this: PlannerWorld, adapter: string, count: string, caller: string, intervalMs: string, ms: string) {
    for (let index = 0; index < Number(count); index++) {
      sendRequestAt(this, index * Number(intervalMs), adapter, caller, { kind: 'firstTokenWithin', ms: Number(ms) })
    }
  })

When(/^adapters "(.+)" receive (\d+) requests each in rotation, one every (\d+) ms, to finish within (\d+) ms$/,
  function (this: PlannerWorld, names: string, count: string, intervalMs: string, ms: string) {
    const adapters = names.split(', ')
    for (let index = 0; index < Number(count) * adapters.length; index++) {
      sendRequestAt(this, index * Number(intervalMs), adapters[index % adapters.length]!, 'office', { kind: 'finishWithin', ms: Number(ms) })
    }
  })

When('refused requests are retried at the time given in the refusal', function (this: PlannerWorld) {
  for (let round = 0; round < 10; round++) {
    this.trial.clock.runUntil(this.trial.clock.readMonotonic() + 1)
    const nowMs = this.trial.clock.readMonotonic()
    for (const [requestId, failure] of this.trial.failures) {
      this.trial.failures.delete(requestId)
      this.arrivedAtMs.set(requestId, nowMs + failure.retryAfterMs!)
      this.trial.addAt(nowMs + failure.retryAfterMs!, this.sent.get(requestId)!)
    }
    this.trial.clock.runUntil(nowMs + 1000)
  }
})

Then('after {int} ms request {string} has started {word} {int} ms',
  function (this: PlannerWorld, atMs: number, requestId: string, comparison: string, limitMs: number) {
    this.trial.clock.runUntil(atMs)
    const startedAtMs = this.trial.startedAtMs.get(requestId) ?? Infinity
    assert.equal(startedAtMs < limitMs, comparison === 'before', `it started at ${startedAtMs} ms`)
  })

Then(/^after (\d+) ms every request has started, with (at most|more than) (\d+) loads$/,
  function (this: PlannerWorld, atMs: string, comparison: string, limit: string) {
    this.trial.clock.runUntil(Number(atMs))
    assert.equal(this.trial.startedAtMs.size, this.sent.size)
    assert.equal(this.trial.loads.length <= Number(limit), comparison === 'at most', `there were ${this.trial.loads.length} loads`)
  })

Then('at {int} ms {word} requests are refused as not run, each with a different retry time',
  function (this: PlannerWorld, atMs: number, outcome: string) {
    this.trial.clock.runUntil(atMs)
    const failures = [...this.trial.failures.values()]
    assert.equal(failures.length > 0, outcome === 'some')
    assert.ok(failures.every(failure => failure.verdict === 'notRun'))
    const times = failures.map(failure => failure.retryAfterMs)
    assert.ok(times.every(ms => ms !== undefined && ms > 0))
    assert.equal(new Set(times).size, times.length)
  })

Then('after {int} ms every request has started within {int} ms of its last arrival',
  function (this: PlannerWorld, atMs: number, limitMs: number) {
    this.trial.clock.runUntil(atMs)
    for (const [requestId, arrivedAtMs] of this.arrivedAtMs) {
      const waitMs = (this.trial.startedAtMs.get(requestId) ?? Infinity) - arrivedAtMs
      assert.ok(waitMs <= limitMs, `request "${requestId}" started ${waitMs} ms after it arrived`)
    }
  })

Then(/^after (\d+) ms adapter "(.+)" was loaded (at most|more than) (\d+) times$/,
  function (this: PlannerWorld, atMs: string, adapter: string, comparison: string, limit: string) {
    this.trial.clock.runUntil(Number(atMs))
    const count = this.trial.loads.filter(loaded => loaded === adapter).length
    assert.equal(count <= Number(limit), comparison === 'at most', `it was loaded ${count} times`)
  })

Then('after {int} ms request {string} waited {string}', function (this: PlannerWorld, atMs: number, requestId: string, text: string) {
  this.trial.clock.runUntil(atMs)
  assert.equal(this.trial.waits.get(requestId)!.map(({ cause, ms }) => `${cause} ${ms}`).join(', '), text)
})

// Endpoint choice

function createView (endpointId: string, loaded: string[], expectedWaitMs: number): EndpointView {
  return {
    hostId: 'host-1',
    sentSince: 0,
    loadsSentSince: [],
    summary: createSampleSummary(endpointId, { baseModel: 'base', expectedWaitMs, loaded })
  }
}

const choiceRequest: ChoiceRequest = {
  requestId: 'r1',
  attempt: 1,
  adapter: 'hot',
  version: '1',
  baseModel: 'base',
  className: 'counter',
  dueInMs: 2000,
  isDeferrable: false,
  promptTokens: 1,
  avoidEndpoints: [],
  zone: 'az-1'
}

Given('endpoint {string} has adapter {string} loaded and a wait of {int} ms',
  function (this: PlannerWorld, endpointId: string, adapter: string, waitMs: number) {
    this.views = [createView(endpointId, [`${adapter}@1`], waitMs)]
  })

Given('endpoint {string} has no adapter loaded', function (this: PlannerWorld, endpointId: string) {
  this.views.push(createView(endpointId, [], 0))
})

Given('{int} endpoints without loaded adapters', function (this: PlannerWorld, count: number) {
  this.views = Array.from({ length: count }, (_, index) => createView(`engine-${index}`, [], 0))
})

When('a gateway chooses an endpoint for adapter {string}, {word} replicas',
  function (this: PlannerWorld, adapter: string, mechanism: string) {
    const choice = createCostChoice({ mayReplicate: mechanism === 'with' })({ ...choiceRequest, adapter }, this.views, () => 0)
    this.chosen = choice.isChosen ? choice.endpointId : undefined
  })

Then('it chooses {string}', function (this: PlannerWorld, endpointId: string) {
  assert.equal(this.chosen, endpointId)
})

When('two gateways that list them in opposite order choose for {int} cold adapters, {word} a preferred endpoint',
  function (this: PlannerWorld, count: number, mechanism: string) {
    const choose = createCostChoice(mechanism === 'with' ? {} : { computePlacementCostMs: () => 0 })
    this.agreedCount = 0
    for (let index = 0; index < count; index++) {
      const request = { ...choiceRequest, adapter: `cold-${index}` }
      const choices = [choose(request, this.views, () => 0), choose(request, [...this.views].reverse(), () => 0)]
      if (choices[0]!.decision.chosen === choices[1]!.decision.chosen) this.agreedCount++
    }
  })

Then(/^they agree on (all|less than) (\d+)$/, function (this: PlannerWorld, outcome: string, count: string) {
  assert.equal(this.agreedCount === Number(count), outcome === 'all', `they agreed on ${this.agreedCount}`)
})
