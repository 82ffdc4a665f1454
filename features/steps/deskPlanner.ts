/** Steps of the decisions about an engine's places, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { DeskPlanner } from '../../src/core/desk/deskPlanner.js'
import type { DeskPlan, DeskRequest, DeskVerdict } from '../../src/core/desk/deskRequest.js'

/** One desk and what it has decided so far. */
export class DeskTrial {
  readonly planner: DeskPlanner
  readonly granted = new Set<string>()
  readonly refused = new Map<string, number>()
  readonly declined = new Set<string>()
  readonly loads: { adapter: string, version: number }[] = []
  readonly unloads: string[] = []
  nowMs = 1000
  /** Prompts that are kept before the engine, in milliseconds. */
  backlogMs = 0

  constructor (adapterSlots: number, batchLimit: number, loadMs: number) {
    this.planner = new DeskPlanner({ adapterSlots, batchLimit, cacheTokens: 100_000, maxLoads: 4, expectLoadMs: () => loadMs, expectColdMs: () => loadMs })
  }

  ask (key: string, adapter: string, details: Partial<DeskRequest> = {}, mayOrder = true): DeskVerdict {
    const verdict = this.planner.add({
      key, adapter: `base/${adapter}`, isBase: adapter === '', version: 1, dueAtMs: this.nowMs + 600, uselessAtMs: this.nowMs + 3200, promptTokens: 650, parts: [], mayDecline: false, isElsewhere: false, ...details
    }, this.nowMs)
    if (verdict.kind === 'refused') this.refused.set(key, verdict.retryAfterMs)
    if (verdict.kind === 'declined') this.declined.add(key)
    this.plan(mayOrder)
    return verdict
  }

  plan (mayOrder = true): DeskPlan {
    this.planner.work.recordGranted(Math.max(0, this.backlogMs - this.planner.work.getBacklogMs(this.nowMs)), this.nowMs)
    const plan = this.planner.plan(this.nowMs, mayOrder)
    for (const key of plan.granted) this.granted.add(key)
    for (const { key, retryAfterMs } of plan.refused) this.refused.set(key, retryAfterMs)
    this.loads.push(...plan.loads)
    this.unloads.push(...plan.unloads)
    return plan
  }

  load (adapter: string): void {
    this.planner.recordLoaded(`base/${adapter}`, 1, this.nowMs)
  }

  run (forMs: number): void {
    const untilMs = this.nowMs + forMs
    while (this.nowMs < untilMs) {
      this.nowMs = Math.min(untilMs, this.nowMs + 10)
      this.plan()
    }
  }
}

export interface DeskWorld {
  desk: DeskTrial
}

function listKeys (first: string, last: string): string[] {
  return Array.from({ length: Number(last) - Number(first) + 1 }, (_, index) => String(Number(first) + index))
}

function splitNames (names: string): string[] {
  return names.split(',').map(name => name.trim())
}

Given('the desk of an engine with {int} adapter slots, batches of {int} and loads of {int} ms', function (this: DeskWorld, slots: number, batch: number, loadMs: number) {
  this.desk = new DeskTrial(slots, batch, loadMs)
})

Given(/^adapters? "([^"]+)" (?:is|are) loaded at the desk$/, function (this: DeskWorld, names: string) {
  for (const name of splitNames(names)) this.desk.load(name)
})

Given(/^requests (\d+) to \d+ run on "([^"]+)"$/, function (this: DeskWorld, first: string, names: string) {
  splitNames(names).forEach((name, index) => this.desk.ask(String(Number(first) + index), name))
})

Given(/^adapters "([^"]+)" are loaded at the desk, as the engine told a new owner$/, function (this: DeskWorld, names: string) {
  for (const name of splitNames(names)) this.desk.load(name)
  this.desk.planner.places.estimateUses(splitNames(names).map(name => `base/${name}`), this.desk.nowMs)
})

Given('{string} was asked for {int} times', function (this: DeskWorld, adapter: string, times: number) {
  for (let count = 0; count < times; count++) this.desk.planner.places.recordRequest(`base/${adapter}`, this.desk.nowMs)
})

Given('an engine that has {int} ms of prompts before it', function (this: DeskWorld, ms: number) {
  this.desk.planner.work.recordGranted(ms, this.desk.nowMs)
})

Given('the engine runs requests that this desk does not know for {int} ms', function (this: DeskWorld, ms: number) {
  this.desk.planner.places.keepAll(this.desk.nowMs + ms)
})

When('request {int} runs on {string} since before this desk', function (this: DeskWorld, key: number, adapter: string) {
  this.desk.planner.adopt(String(key), `base/${adapter}`, false, this.desk.nowMs)
})

When('the engine runs nothing that the desk does not know', function (this: DeskWorld) {
  this.desk.planner.places.releaseAll()
  this.desk.plan()
})

When('request {int} asks for {string}', function (this: DeskWorld, key: number, adapter: string) {
  this.desk.ask(String(key), adapter)
})

When('request {int} asks for {string} and leaves after {int} ms', function (this: DeskWorld, key: number, adapter: string, ms: number) {
  this.desk.ask(String(key), adapter, { uselessAtMs: this.desk.nowMs + ms })
})

When('{int} ms pass at the desk', function (this: DeskWorld, ms: number) {
  this.desk.nowMs += ms
})

When('request {int} asks for {string} with a target of {int} ms', function (this: DeskWorld, key: number, adapter: string, targetMs: number) {
  this.desk.ask(String(key), adapter, { dueAtMs: this.desk.nowMs + targetMs })
})

When('request {int} asks for {string} that became late {int} ms ago', function (this: DeskWorld, key: number, adapter: string, ms: number) {
  this.desk.ask(String(key), adapter, { dueAtMs: this.desk.nowMs - ms })
})

When('request {int} asks for {string} that became late {int} ms ago while the engine always has {int} ms of prompts before it',
  function (this: DeskWorld, key: number, adapter: string, ms: number, backlogMs: number) {
    this.desk.backlogMs = backlogMs
    this.desk.ask(String(key), adapter, { dueAtMs: this.desk.nowMs - ms })
  })

When('request {int} asks politely for {string} that another engine has taken', function (this: DeskWorld, key: number, adapter: string) {
  this.desk.ask(String(key), adapter, { mayDecline: true, isElsewhere: true })
})

When('request {int} asks for {string} that another engine has taken', function (this: DeskWorld, key: number, adapter: string) {
  this.desk.ask(String(key), adapter, { isElsewhere: true })
})

When('request {int} asks for {string} while no orders may be given', function (this: DeskWorld, key: number, adapter: string) {
  this.desk.ask(String(key), adapter, {}, false)
})

When('request {int} asks for version {int} of {string}', function (this: DeskWorld, key: number, version: number, adapter: string) {
  this.desk.ask(String(key), adapter, { version })
})

When(/^requests (\d+) to (\d+) ask for "([^"]+)"$/, function (this: DeskWorld, first: string, last: string, adapter: string) {
  for (const key of listKeys(first, last)) this.desk.ask(key, adapter)
})

When(/^requests (\d+) to (\d+) each ask for an adapter of their own$/, function (this: DeskWorld, first: string, last: string) {
  for (const key of listKeys(first, last)) this.desk.ask(key, `own${key}`)
})

When('the load of {string} is done after {int} ms', function (this: DeskWorld, adapter: string, ms: number) {
  this.desk.nowMs += ms
  this.desk.load(adapter)
  this.desk.plan()
})

When('the load of {string} is refused', function (this: DeskWorld, adapter: string) {
  this.desk.planner.recordLoadFailed(`base/${adapter}`, this.desk.nowMs)
  this.desk.plan()
})

When('the unload of {string} is done', function (this: DeskWorld, adapter: string) {
  this.desk.planner.recordUnloaded(`base/${adapter}`)
  this.desk.plan()
})

When('request {int} ends', function (this: DeskWorld, key: number) {
  this.desk.planner.remove(String(key))
  this.desk.plan()
})

When('the engine has started again', function (this: DeskWorld) {
  this.desk.planner.recordRestarted()
})

When('the desk plans for {int} ms', function (this: DeskWorld, ms: number) {
  this.desk.run(ms)
})

Then('request {int} is granted', function (this: DeskWorld, key: number) {
  assert.ok(this.desk.granted.has(String(key)))
})

Then('request {int} is neither granted nor refused', function (this: DeskWorld, key: number) {
  assert.ok(!this.desk.granted.has(String(key)) && !this.desk.refused.has(String(key)))
})

Then('request {int} is declined', function (this: DeskWorld, key: number) {
  assert.ok(this.desk.declined.has(String(key)))
})

Then('request {int} is refused', function (this: DeskWorld, key: number) {
  assert.ok(this.desk.refused.has(String(key)))
})

Then(/^requests (\d+) to (\d+) are (granted|refused)$/, function (this: DeskWorld, first: string, last: string, outcome: 'granted' | 'refused') {
  for (const key of listKeys(first, last)) assert.ok(this.desk[outcome].has(key), `request ${key} is not ${outcome}`)
})

Then(/^(\d+|no) loads? (?:is|are) ordered$/, function (this: DeskWorld, count: string) {
  assert.equal(this.desk.loads.length, count === 'no' ? 0 : Number(count))
})

Then('no unload is ordered', function (this: DeskWorld) {
  assert.deepEqual(this.desk.unloads, [])
})

Then('the unload of {string} is ordered', function (this: DeskWorld, adapter: string) {
  assert.deepEqual(this.desk.unloads, [`base/${adapter}`])
})

Then('the unloads of {string} are ordered', function (this: DeskWorld, names: string) {
  assert.deepEqual(this.desk.unloads, splitNames(names).map(name => `base/${name}`))
})

Then('the load of version {int} of {string} is ordered', function (this: DeskWorld, version: number, adapter: string) {
  assert.deepEqual(this.desk.loads, [{ adapter: `base/${adapter}`, version }])
})

Then('the time to come back for request {int} is at least {int} ms', function (this: DeskWorld, key: number, ms: number) {
  const retryAfterMs = this.desk.refused.get(String(key))
  assert.ok(retryAfterMs !== undefined && retryAfterMs >= ms, `it is ${retryAfterMs} ms`)
})

Then(/^the times to come back of requests (\d+) to (\d+) rise by at least (\d+) ms each$/, function (this: DeskWorld, first: string, last: string, ms: string) {
  const times = listKeys(first, last).map(key => this.desk.refused.get(key)!)
  for (let index = 1; index < times.length; index++) assert.ok(times[index]! - times[index - 1]! >= Number(ms), times.join(', '))
})
