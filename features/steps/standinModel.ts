/** Steps of the stand-ins' time model, on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { EngineModel } from '../../src/standin/engineModel.js'
import { PrefixCache } from '../../src/standin/prefixCache.js'
import { WeightStore } from '../../src/standin/weightStore.js'

interface ModelWorld {
  clock: VirtualClock
  model: EngineModel
  store: WeightStore
  cache: PrefixCache
  finished: string[]
  tokens: Map<string, number[]>
  arrivedAtMs: number[]
  shownAtMs: number[]
}

const stepMs = 10
const handle = 'cluj-tax@2#1.1'

async function openModel (world: ModelWorld, batchLimit: number, preemptionGap?: number): Promise<void> {
  world.clock = new VirtualClock()
  world.finished = []
  world.tokens = new Map()
  world.model = new EngineModel({
    clock: world.clock,
    store: new WeightStore({ clock: world.clock, loadMs: 0, loadsAtFullSpeed: 3 }),
    incarnation: 'first',
    slots: 1,
    batchLimit,
    stepBaseMs: stepMs,
    stepPerRequestMs: 0,
    prefillPerTokenMs: 0,
    coldStartMs: 500,
    ...(preemptionGap !== undefined && { preemptionGap })
  })
  const load = world.model.loadAdapter(handle)
  await world.clock.runUntilSettled(0)
  assert.deepEqual(await load, { isDone: true })
}

function addRun (world: ModelWorld, requestId: string, maxTokens: number, priority: number) {
  const tokens: number[] = []
  world.tokens.set(requestId, tokens)
  return world.model.addRun({
    requestId,
    attempt: 1,
    handle,
    priority,
    promptTokens: 10,
    maxTokens,
    sendToken: index => { tokens.push(index) },
    finish: () => { world.finished.push(requestId) }
  })
}

function checkRefusal (world: ModelWorld, code: string): void {
  const outcome = addRun(world, 'req-1', 1, 0)
  assert.ok(!outcome.isDone, 'the request is refused')
  assert.equal(outcome.code, code)
}

Given('an engine model with a batch of {int} and a pre-emption gap of {int}',
  async function (this: ModelWorld, batchLimit: number, gap: number) { await openModel(this, batchLimit, gap) })

Given('an engine model with a batch of {int} and no pre-emption',
  async function (this: ModelWorld, batchLimit: number) { await openModel(this, batchLimit) })

When('a request {string} of {int} tokens with priority {int} runs for {int} steps',
  function (this: ModelWorld, name: string, tokens: number, priority: number, steps: number) {
    addRun(this, name, tokens, priority)
    this.clock.runUntil(this.clock.readMonotonic() + steps * stepMs)
  })

When('a request {string} of {int} tokens with priority {int} arrives',
  function (this: ModelWorld, name: string, tokens: number, priority: number) {
    addRun(this, name, tokens, priority)
    this.clock.runUntil(10_000)
  })

Then('the requests finish in the order {string}', function (this: ModelWorld, names: string) {
  assert.equal(this.finished.join(', '), names)
})

Then('the request {string} was sent each of its {int} tokens once', function (this: ModelWorld, name: string, count: number) {
  assert.deepEqual(this.tokens.get(name), Array.from({ length: count }, (_, index) => index))
})

When('the engine restarts', function (this: ModelWorld) { this.model.restart() })

Then('a request is refused with code {string}', function (this: ModelWorld, code: string) { checkRefusal(this, code) })

Then('{int} ms later a request is refused with code {string}', function (this: ModelWorld, delayMs: number, code: string) {
  this.clock.runUntil(this.clock.readMonotonic() + delayMs)
  checkRefusal(this, code)
})

Given('its reports lag by {int} ms', function (this: ModelWorld, reportLagMs: number) {
  this.model.faults.apply({ reportLagMs })
})

When('reports are read each {int} ms while a request of {int} tokens arrives at {int} ms',
  function (this: ModelWorld, intervalMs: number, tokens: number, arrivalMs: number) {
    this.shownAtMs = []
    this.clock.setTimer(() => addRun(this, 'req-1', tokens, 0), arrivalMs)
    for (let atMs = 0; atMs <= 1000; atMs += intervalMs) {
      this.clock.runUntil(atMs)
      if (this.model.readReport().running > 0) this.shownAtMs.push(atMs)
    }
  })

Then('the request shows first in the report read at {int} ms', function (this: ModelWorld, atMs: number) {
  assert.equal(this.shownAtMs[0], atMs)
})

Given('a weight store of {int} loads a second, {int} at full speed, {int} ms each',
  function (this: ModelWorld, loadsPerSecond: number, loadsAtFullSpeed: number, loadMs: number) {
    this.clock = new VirtualClock()
    this.store = new WeightStore({ clock: this.clock, loadMs, loadsAtFullSpeed, loadsPerSecond })
  })

async function runLoads (world: ModelWorld, count: number): Promise<boolean[]> {
  const startedMs = world.clock.readMonotonic()
  world.arrivedAtMs = []
  const loads = Array.from({ length: count }, async () => {
    const hasArrived = await world.store.readWeights()
    world.arrivedAtMs.push(Math.round(world.clock.readMonotonic() - startedMs))
    return hasArrived
  })
  await world.clock.runUntilSettled(startedMs + 60_000)
  return await Promise.all(loads)
}

When('{int} loads begin at once', async function (this: ModelWorld, count: number) { await runLoads(this, count) })

Then(/^loads arrive after ([\d, ]+) ms$/, function (this: ModelWorld, times: string) {
  assert.equal(this.arrivedAtMs.join(', '), times)
})

When('the weight store is down', function (this: ModelWorld) { this.store.setDown(true) })

When('the weight store is up and {int} times as slow', function (this: ModelWorld, slowdown: number) {
  this.store.setDown(false)
  this.store.setSlowdown(slowdown)
})

Then('a load gets no weights', async function (this: ModelWorld) { assert.deepEqual(await runLoads(this, 1), [false]) })

Then('a load arrives after {int} ms', async function (this: ModelWorld, loadMs: number) {
  assert.deepEqual(await runLoads(this, 1), [true])
  assert.deepEqual(this.arrivedAtMs, [loadMs])
})

Given('a prefix cache of {int} blocks, with events {int} ms late and every {int}(nd) lost',
  function (this: ModelWorld, maxBlocks: number, eventLagMs: number, loseEveryNthEvent: number) {
    this.clock = new VirtualClock()
    this.cache = new PrefixCache({ clock: this.clock, maxBlocks, eventLagMs, loseEveryNthEvent })
  })

When('the blocks {string} are used', function (this: ModelWorld, blocks: string) { this.cache.useBlocks(blocks.split(' ')) })

Then('the blocks {string} have {int} cached at their start', function (this: ModelWorld, blocks: string, count: number) {
  assert.equal(this.cache.useBlocks(blocks.split(' ')), count)
})

Then('{int} ms later the cache shows the events {string}', function (this: ModelWorld, delayMs: number, events: string) {
  this.clock.runUntil(this.clock.readMonotonic() + delayMs)
  const shown = this.cache.listEvents(0).map(({ sequence, kind, block }) => `${sequence} ${kind} ${block}`)
  assert.equal(shown.join(', '), events)
})
