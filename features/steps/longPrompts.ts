/** Steps for long prompts beside short ones. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { LongPrompts } from '../../src/core/allocation/longPrompts.js'
import { PromptCounts } from '../../src/core/allocation/promptCounts.js'
import { computeOnTimeShare, computeQuantile, createRandom, drawArrivals, replayLoad } from '../support/engineReplay.js'
import type { ReplayOptions, ReplayRequest, ReplayResult } from '../support/engineReplay.js'

interface LongPromptsWorld {
  results: ReplayResult[]
  blindResults: ReplayResult[]
  longPrompts: LongPrompts
  counts: PromptCounts
  attach: (text: string, mediaType: string) => void
}

/** Long prompts have 2,900 to 39,600 tokens, 9,200 on average. */
function drawLongTokens (random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return Math.round(Math.min(39_600, Math.max(2900, 7200 * Math.exp(0.7 * normal))))
}

function list (results: readonly ReplayResult[], kind: string): ReplayResult[] {
  return results.filter(({ request }) => request.kind === kind)
}

function listLargest (results: readonly ReplayResult[]): ReplayResult[] {
  const sorted = list(results, 'long').sort((left, right) => right.request.promptTokens - left.request.promptTokens)
  return sorted.slice(0, Math.ceil(sorted.length / 10))
}

When('{int} engines with batches of {int} get {int} short and {int} long prompts per second for {int} s, due in {int} and {int} ms',
  function (this: LongPromptsWorld, engines: number, batchLimit: number, short: number, long: number, seconds: number, shortDueMs: number, longDueMs: number) {
    const random = createRandom(5)
    const requests: ReplayRequest[] = [
      ...drawArrivals(short, 0, seconds * 1000, random).map(atMs => ({ atMs, kind: 'short', targetMs: shortDueMs, patienceMs: 4000, promptTokens: 490 })),
      ...(long > 0 ? drawArrivals(long, 0, seconds * 1000, random) : []).map(atMs => ({ atMs, kind: 'long', targetMs: longDueMs, patienceMs: 6000, promptTokens: drawLongTokens(random) }))
    ]
    // 31 to 44 tokens per ms, where the usual are 38.7.
    const options: ReplayOptions = { seed: 3, batchLimit, speeds: Array.from({ length: engines }, (_, index) => (31 + (index * 7) % engines * 13 / engines) / 38.7) }
    this.results = replayLoad(requests, options)
    this.blindResults = replayLoad(requests, { ...options, isSizeBlind: true })
    for (const [name, results] of [['before', this.blindResults], ['after', this.results]] as const) {
      for (const [kind, part] of [['short', list(results, 'short')], ['long', list(results, 'long')], ['largest', listLargest(results)]] as const) {
        if (part.length > 0) this.attach(`${name} ${kind}: median ${computeQuantile(part, 0.5).toFixed(0)}, 99th ${computeQuantile(part, 0.99).toFixed(0)}, on time ${computeOnTimeShare(part).toFixed(4)}`, 'text/plain')
      }
    }
  })

Then('if sizes are ignored, the 99th of 100 short prompts gets its first event after {int} ms or later', function (this: LongPromptsWorld, ms: number) {
  assert.ok(computeQuantile(list(this.blindResults, 'short'), 0.99) >= ms)
})

Then('the 99th of 100 short prompts gets its first event within {int} ms', function (this: LongPromptsWorld, ms: number) {
  assert.ok(computeQuantile(list(this.results, 'short'), 0.99) <= ms)
})

Then('the median of the long prompts is no later than before, and at least as many are on time, also of the largest tenth', function (this: LongPromptsWorld) {
  assert.ok(computeQuantile(list(this.results, 'long'), 0.5) <= computeQuantile(list(this.blindResults, 'long'), 0.5))
  assert.ok(computeOnTimeShare(list(this.results, 'long')) >= computeOnTimeShare(list(this.blindResults, 'long')))
  assert.ok(computeOnTimeShare(listLargest(this.results)) >= computeOnTimeShare(listLargest(this.blindResults)))
})

Then('all long prompts are served', function (this: LongPromptsWorld) {
  assert.equal(list(this.results, 'long').filter(({ firstMs }) => firstMs === undefined).length, 0)
})

Then('all first events come at the same times as if sizes are ignored', function (this: LongPromptsWorld) {
  assert.deepEqual(this.results, this.blindResults)
})

Then('if sizes are ignored, at least {float} of the short prompts are late', function (this: LongPromptsWorld, share: number) {
  assert.ok(1 - computeOnTimeShare(list(this.blindResults, 'short')) >= share)
})

Then('at most {float} of the short prompts are late', function (this: LongPromptsWorld, share: number) {
  assert.ok(1 - computeOnTimeShare(list(this.results, 'short')) <= share)
})

Then('at most {float} fewer of the long prompts are on time than if sizes are ignored', function (this: LongPromptsWorld, share: number) {
  assert.ok(computeOnTimeShare(list(this.blindResults, 'long')) - computeOnTimeShare(list(this.results, 'long')) <= share)
})

Then('in {int} random states a long prompt is held back only while there is backlog, and for less than a tenth of its time or 250 ms', function (runs: number) {
  const facts = { prefillMs: fc.double({ min: 1, max: 2500, noNaN: true }), dueInMs: fc.double({ min: -1000, max: 3000, noNaN: true }), mayDecline: fc.boolean() }
  const history = fc.array(fc.record(facts), { maxLength: 80 })
  fc.assert(fc.property(history, fc.record(facts), fc.nat(1000), fc.nat(1000), (arrivals, request, waitedMs, backlogMs) => {
    const longPrompts = new LongPrompts()
    for (const arrival of arrivals) longPrompts.recordArrival(arrival, 1000)
    const holdMs = longPrompts.computeHoldMs(request, waitedMs, backlogMs, 1000)
    if (backlogMs <= 20) assert.equal(holdMs, 0)
    assert.ok(holdMs >= 0 && (holdMs === 0 || waitedMs + holdMs <= Math.max(250, (request.dueInMs + waitedMs) / 10)))
  }), { numRuns: runs })
})

When('an engine has received {int} prompts of {int} tokens', function (this: LongPromptsWorld, count: number, tokens: number) {
  this.longPrompts ??= new LongPrompts()
  for (let index = 0; index < count; index++) this.longPrompts.recordArrival({ prefillMs: tokens / 38.7, dueInMs: 500, mayDecline: true }, index)
})

Then(/^a prompt of (\d+) tokens (is|is not) long$/, function (this: LongPromptsWorld, tokens: string, verb: string) {
  assert.equal(this.longPrompts.isLong(Number(tokens) / 38.7), verb === 'is')
})

When('prompts of route {string} have {int} tokens, and those of route {string} {int}', function (this: LongPromptsWorld, first: string, firstTokens: number, second: string, secondTokens: number) {
  this.counts = new PromptCounts(200_000)
  for (let index = 0; index < 20; index++) {
    this.counts.estimate(first, firstTokens)
    this.counts.estimate(second, secondTokens)
  }
})

When("an engine's cache size is unknown", function (this: LongPromptsWorld) {
  this.counts = new PromptCounts(0)
})

Then('prompts of 480 tokens count as {int}, those of 0 tokens as {int} and those of 1e308 tokens as {int}', function (this: LongPromptsWorld, stated: number, missing: number, implausible: number) {
  const countsByRoute = [['other', 0], ['chat', 480], ['chat', 1e308]] as const
  assert.deepEqual(countsByRoute.map(([route, tokens]) => this.counts.estimate(route, tokens)), [missing, stated, implausible])
})

Then('counts of 0, -5, NaN, Infinity and 200001 tokens count as {int} on route {string} and as {int} on route {string}', function (this: LongPromptsWorld, firstTokens: number, first: string, secondTokens: number, second: string) {
  for (const tokens of [0, -5, NaN, Infinity, 200_001]) {
    assert.equal(this.counts.estimate(first, tokens), firstTokens)
    assert.equal(this.counts.estimate(second, tokens), secondTokens)
  }
})
