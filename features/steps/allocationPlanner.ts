/** Steps for the allocation of an engine's slots, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { AllocationPlanner } from '../../src/core/allocation/allocationPlanner.js'
import type { AllocationPlan, AllocationRequest, AllocationDecision } from '../../src/core/allocation/allocationRequest.js'

/** An allocator's planner and its decisions so far. */
export class PlannerHarness {
  readonly planner: AllocationPlanner
  readonly granted = new Set<string>()
  readonly refused = new Map<string, number>()
  readonly declined = new Set<string>()
  readonly loads: { adapter: string, version: number }[] = []
  readonly unloads: string[] = []
  nowMs = 1000
  /** Prefill backlog that is refilled before each plan, in milliseconds. */
  backlogMs = 0
  /** Requests a second that the engine takes; undefined for no limit. */
  rate: number | undefined

  constructor (adapterSlots: number, batchLimit: number, loadMs: number) {
    this.planner = new AllocationPlanner({ adapterSlots, batchLimit, cacheTokens: 100_000, maxLoads: 4, estimateLoadMs: () => loadMs, estimateColdLoadMs: () => loadMs, findRate: () => this.rate })
  }

  submit (key: string, adapter: string, details: Partial<AllocationRequest> = {}, mayOrder = true): AllocationDecision {
    const decision = this.planner.add({
      key, adapter: `base/${adapter}`, isBase: adapter === '', version: 1, dueAtMs: this.nowMs + 600, abandonAtMs: this.nowMs + 3200, promptTokens: 650, promptSegments: [], mayDecline: false, isServedElsewhere: false, isResumed: false, ...details
    }, this.nowMs)
    if (decision.kind === 'refused') this.refused.set(key, decision.retryAfterMs)
    if (decision.kind === 'declined') this.declined.add(key)
    this.plan(mayOrder)
    return decision
  }

  plan (mayOrder = true): AllocationPlan {
    this.planner.prefillBacklog.recordGranted(Math.max(0, this.backlogMs - this.planner.prefillBacklog.getBacklogMs(this.nowMs)), this.nowMs)
    const plan = this.planner.plan(this.nowMs, mayOrder)
    for (const key of plan.granted) this.granted.add(key)
    for (const { key, retryAfterMs } of plan.refused) this.refused.set(key, retryAfterMs)
    this.loads.push(...plan.loads)
    this.unloads.push(...plan.unloads)
    return plan
  }

  recordLoaded (adapter: string): void {
    this.planner.recordLoaded(`base/${adapter}`, 1, this.nowMs)
  }

  planFor (durationMs: number): void {
    const untilMs = this.nowMs + durationMs
    while (this.nowMs < untilMs) {
      this.nowMs = Math.min(untilMs, this.nowMs + 10)
      this.plan()
    }
  }
}

export interface AllocationWorld {
  allocator: PlannerHarness
}

function listKeys (first: string, last: string): string[] {
  return Array.from({ length: Number(last) - Number(first) + 1 }, (_, index) => String(Number(first) + index))
}

function splitNames (names: string): string[] {
  return names.split(',').map(name => name.trim())
}

Given('the allocator of an engine with {int} adapter slots, batches of {int} and loads of {int} ms', function (this: AllocationWorld, slots: number, batch: number, loadMs: number) {
  this.allocator = new PlannerHarness(slots, batch, loadMs)
})

Given(/^the engine has loaded "([^"]+)"$/, function (this: AllocationWorld, names: string) {
  for (const name of splitNames(names)) this.allocator.recordLoaded(name)
})

Given(/^requests (\d+) to \d+ run on "([^"]+)"$/, function (this: AllocationWorld, first: string, names: string) {
  splitNames(names).forEach((name, index) => this.allocator.submit(String(Number(first) + index), name))
})

Given(/^the engine reported "([^"]+)" to a new owner$/, function (this: AllocationWorld, names: string) {
  for (const name of splitNames(names)) this.allocator.recordLoaded(name)
  this.allocator.planner.adapters.estimateUsage(splitNames(names).map(name => `base/${name}`), this.allocator.nowMs)
})

Given('{string} was requested {int} times', function (this: AllocationWorld, adapter: string, times: number) {
  for (let count = 0; count < times; count++) this.allocator.planner.adapters.recordRequest(`base/${adapter}`, this.allocator.nowMs)
})

Given('the engine has a prefill backlog of {int} ms', function (this: AllocationWorld, ms: number) {
  this.allocator.planner.prefillBacklog.recordGranted(ms, this.allocator.nowMs)
})

Given('the engine runs untracked requests for {int} ms', function (this: AllocationWorld, ms: number) {
  this.allocator.planner.adapters.protectAll(this.allocator.nowMs + ms)
})

When('request {int} has been running on {string} since before the takeover', function (this: AllocationWorld, key: number, adapter: string) {
  this.allocator.planner.adopt(String(key), `base/${adapter}`, false, this.allocator.nowMs)
})

When('the engine runs no untracked requests any more', function (this: AllocationWorld) {
  this.allocator.planner.adapters.endProtection()
  this.allocator.plan()
})

When('request {int} needs {string}', function (this: AllocationWorld, key: number, adapter: string) {
  this.allocator.submit(String(key), adapter)
})

When('request {int} needs {string} and its caller leaves after {int} ms', function (this: AllocationWorld, key: number, adapter: string, ms: number) {
  this.allocator.submit(String(key), adapter, { abandonAtMs: this.allocator.nowMs + ms })
})

When(/^requests (\d+) to \d+ of account "([^"]+)" run on "([^"]+)"$/, function (this: AllocationWorld, first: string, account: string, names: string) {
  splitNames(names).forEach((name, index) => this.allocator.submit(String(Number(first) + index), name, { account }))
})

When('request {int} of account {string} needs {string}', function (this: AllocationWorld, key: number, account: string, adapter: string) {
  this.allocator.submit(String(key), adapter, { account })
})

When('request {int} of account {string} needs {string} and became late {int} ms ago', function (this: AllocationWorld, key: number, account: string, adapter: string, ms: number) {
  this.allocator.submit(String(key), adapter, { account, dueAtMs: this.allocator.nowMs - ms })
})

When('{int} ms pass without planning', function (this: AllocationWorld, ms: number) {
  this.allocator.nowMs += ms
})

When('request {int} needs {string} with a target of {int} ms', function (this: AllocationWorld, key: number, adapter: string, targetMs: number) {
  this.allocator.submit(String(key), adapter, { dueAtMs: this.allocator.nowMs + targetMs })
})

When('request {int} needs {string} and became late {int} ms ago', function (this: AllocationWorld, key: number, adapter: string, ms: number) {
  this.allocator.submit(String(key), adapter, { dueAtMs: this.allocator.nowMs - ms })
})

When('request {int} needs {string} and became late {int} ms ago, with a constant prefill backlog of {int} ms',
  function (this: AllocationWorld, key: number, adapter: string, ms: number, backlogMs: number) {
    this.allocator.backlogMs = backlogMs
    this.allocator.submit(String(key), adapter, { dueAtMs: this.allocator.nowMs - ms })
  })

When('request {int} needs {string}, which another engine serves, and may be declined', function (this: AllocationWorld, key: number, adapter: string) {
  this.allocator.submit(String(key), adapter, { mayDecline: true, isServedElsewhere: true })
})

Given('the engine takes {int} requests a second', function (this: AllocationWorld, rate: number) {
  this.allocator.rate = rate
  // The tokens of the limit accumulate from the first plan on.
  this.allocator.plan()
})

When('request {int} needs {string}, which another engine may serve', function (this: AllocationWorld, key: number, adapter: string) {
  this.allocator.submit(String(key), adapter, { mayDecline: true })
})

When('request {int} needs {string}, which another engine serves', function (this: AllocationWorld, key: number, adapter: string) {
  this.allocator.submit(String(key), adapter, { isServedElsewhere: true })
})

When('request {int} needs {string} while no orders may be sent', function (this: AllocationWorld, key: number, adapter: string) {
  this.allocator.submit(String(key), adapter, {}, false)
})

When('request {int} needs version {int} of {string}', function (this: AllocationWorld, key: number, version: number, adapter: string) {
  this.allocator.submit(String(key), adapter, { version })
})

When(/^requests (\d+) to (\d+) need "([^"]+)"$/, function (this: AllocationWorld, first: string, last: string, adapter: string) {
  for (const key of listKeys(first, last)) this.allocator.submit(key, adapter)
})

When(/^requests (\d+) to (\d+) each need a different adapter$/, function (this: AllocationWorld, first: string, last: string) {
  for (const key of listKeys(first, last)) this.allocator.submit(key, `own${key}`)
})

When('the load of {string} is done after {int} ms', function (this: AllocationWorld, adapter: string, ms: number) {
  this.allocator.nowMs += ms
  this.allocator.recordLoaded(adapter)
  this.allocator.plan()
})

When('the load of {string} is refused', function (this: AllocationWorld, adapter: string) {
  this.allocator.planner.recordLoadFailed(`base/${adapter}`, this.allocator.nowMs)
  this.allocator.plan()
})

When('the unload of {string} is done', function (this: AllocationWorld, adapter: string) {
  this.allocator.planner.recordUnloaded(`base/${adapter}`)
  this.allocator.plan()
})

When('request {int} ends', function (this: AllocationWorld, key: number) {
  this.allocator.planner.remove(String(key))
  this.allocator.plan()
})

When('the engine has restarted', function (this: AllocationWorld) {
  this.allocator.planner.recordRestarted()
})

When('the allocator plans for {int} ms', function (this: AllocationWorld, ms: number) {
  this.allocator.planFor(ms)
})

Then('request {int} is granted', function (this: AllocationWorld, key: number) {
  assert.ok(this.allocator.granted.has(String(key)))
})

Then('request {int} is neither granted nor refused', function (this: AllocationWorld, key: number) {
  assert.ok(!this.allocator.granted.has(String(key)) && !this.allocator.refused.has(String(key)))
})

Then('request {int} is declined', function (this: AllocationWorld, key: number) {
  assert.ok(this.allocator.declined.has(String(key)))
})

Then('request {int} is refused', function (this: AllocationWorld, key: number) {
  assert.ok(this.allocator.refused.has(String(key)))
})

Then(/^requests (\d+) to (\d+) are (granted|refused)$/, function (this: AllocationWorld, first: string, last: string, outcome: 'granted' | 'refused') {
  for (const key of listKeys(first, last)) assert.ok(this.allocator[outcome].has(key), `request ${key} is not ${outcome}`)
})

Then(/^(\d+|no) loads? (?:is|are) ordered$/, function (this: AllocationWorld, count: string) {
  assert.equal(this.allocator.loads.length, count === 'no' ? 0 : Number(count))
})

Then('no unload is ordered', function (this: AllocationWorld) {
  assert.deepEqual(this.allocator.unloads, [])
})

Then('the unload of {string} is ordered', function (this: AllocationWorld, adapter: string) {
  assert.deepEqual(this.allocator.unloads, [`base/${adapter}`])
})

Then('the unloads of {string} are ordered', function (this: AllocationWorld, names: string) {
  assert.deepEqual(this.allocator.unloads, splitNames(names).map(name => `base/${name}`))
})

Then('the load of version {int} of {string} is ordered', function (this: AllocationWorld, version: number, adapter: string) {
  assert.deepEqual(this.allocator.loads, [{ adapter: `base/${adapter}`, version }])
})

Then('the retry delay of request {int} is at least {int} ms', function (this: AllocationWorld, key: number, ms: number) {
  const retryAfterMs = this.allocator.refused.get(String(key))
  assert.ok(retryAfterMs !== undefined && retryAfterMs >= ms, `the retry delay is ${retryAfterMs} ms`)
})

Then(/^the retry delays of requests (\d+) to (\d+) increase by at least (\d+) ms each$/, function (this: AllocationWorld, first: string, last: string, ms: string) {
  const delays = listKeys(first, last).map(key => this.allocator.refused.get(key)!)
  for (let index = 1; index < delays.length; index++) assert.ok(delays[index]! - delays[index - 1]! >= Number(ms), delays.join(', '))
})
