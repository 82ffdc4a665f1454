/** Steps of the stand-in engine behind its adapter, over loopback. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { OpenaiEngine } from '../../src/adapters/openaiEngine/openaiEngine.js'
import { parseHandle } from '../../src/core/handleFormat.js'
import type { GenerateEvent, GenerationRequest, AdapterOrderOutcome } from '../../src/ports/engine.js'
import { startStandinEngine } from '../../src/standin/engineServer.js'
import type { StandinEngine } from '../../src/standin/engineServer.js'
import type { FaultChange } from '../../src/standin/engineFaults.js'
import { WeightStore } from '../../src/standin/weightStore.js'
import { getDefaultResumeDelayMs, startResumableGeneration } from '../../src/tasks/scheduler/resumableGeneration.js'
import type { GetResumeDelayMs } from '../../src/tasks/scheduler/resumableGeneration.js'
import { waitUntil } from '../support/waitUntil.js'

interface StandinWorld {
  standin: StandinEngine | undefined
  engine: OpenaiEngine
  getResumeDelayMs: GetResumeDelayMs
  incarnation: string
  events: GenerateEvent[]
}

const handle = 'cluj-tax@2#1.1'
const clock = createSystemClock()

async function openStandin (world: StandinWorld, idleTimeoutMs: number): Promise<void> {
  world.standin = await startStandinEngine({
    clock,
    store: new WeightStore({ clock, loadMs: 1, loadsAtFullSpeed: 3 }),
    incarnation: 'first',
    slots: 4,
    batchLimit: 4,
    stepBaseMs: 1,
    stepPerRequestMs: 0,
    prefillPerTokenMs: 0,
    address: '127.0.0.1',
    port: 0
  })
  world.engine = new OpenaiEngine({ idleTimeoutMs })
  world.getResumeDelayMs = getDefaultResumeDelayMs
  await sendOrder(world, handle, 1)
}

async function sendOrder (world: StandinWorld, loaded: string, fencing: number): Promise<AdapterOrderOutcome> {
  const { adapter, version } = parseHandle(loaded)!
  return await world.engine.loadAdapter(world.standin!.address, { handle: loaded, adapter, version, fencing })
}

function createOrder (tokens: number, prompt: string): GenerationRequest {
  return {
    requestId: 'req-1',
    attempt: 1,
    handle,
    model: 'cluj-tax@2',
    priority: 0,
    path: '/v1/completions',
    body: JSON.stringify({ prompt, max_tokens: tokens, stream: true }),
    isStream: true
  }
}

async function generate (world: StandinWorld, tokens: number, prompt: string, mayStart = (): boolean => true): Promise<void> {
  world.events = []
  await new Promise<void>(resolve => startResumableGeneration({
    clock,
    engine: world.engine,
    address: world.standin!.address,
    order: createOrder(tokens, prompt),
    getResumeDelayMs: world.getResumeDelayMs,
    mayStart,
    send: event => {
      world.events.push(event)
      if (event.type !== 'data') resolve()
    }
  }))
}

After(async function (this: StandinWorld) {
  await this.engine?.close()
  await this.standin?.stop()
})

Given('a stand-in engine with a loaded adapter', async function (this: StandinWorld) { await openStandin(this, 30_000) })

Given('a stand-in engine with a loaded adapter, whose answers may be idle for {int} ms',
  async function (this: StandinWorld, idleTimeoutMs: number) { await openStandin(this, idleTimeoutMs) })

Given('answers are not resumed', function (this: StandinWorld) { this.getResumeDelayMs = () => undefined })

Given(/^the fault (\{.*\})$/, function (this: StandinWorld, change: string) {
  this.standin!.setFaults(JSON.parse(change) as FaultChange)
})

When(/^the fault (\{.*\}) is posted to the engine$/, async function (this: StandinWorld, change: string) {
  const response = await fetch(`http://${this.standin!.address}/faults`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: change
  })
  assert.equal(response.status, 200)
})

When('a stream of {int} tokens is generated', async function (this: StandinWorld, tokens: number) {
  await generate(this, tokens, 'Hello')
})

When('a stream of {int} tokens is generated from the prompt {string}', async function (this: StandinWorld, tokens: number, prompt: string) {
  await generate(this, tokens, prompt)
})

When('a stream of {int} tokens is withdrawn while its connection is opened', async function (this: StandinWorld, tokens: number) {
  let isOwned = true
  const ended = generate(this, tokens, 'Hello', () => isOwned)
  isOwned = false
  await ended
})

When('a stream of {int} tokens is cancelled after its first token', async function (this: StandinWorld, tokens: number) {
  let hasToken = false
  const generation = this.engine.generate(this.standin!.address, createOrder(tokens, 'Hello'), () => { hasToken = true }, () => true)
  await waitUntil(() => hasToken)
  generation.cancel()
})

When('the engine has seen an order with fencing number {int}', async function (this: StandinWorld, fencing: number) {
  assert.equal((await sendOrder(this, `cluj-tax@1#${fencing}.1`, fencing)).verdict, 'done')
})

Then('the answer is whole, with each of {int} tokens once', function (this: StandinWorld, tokens: number) {
  const text = this.events.map(event => event.type === 'data' ? event.data : '').join('')
  const expected = ['[cluj-tax@2#1.1 req-1]', ...Array.from({ length: tokens - 1 }, (_, index) => ` t${index + 1}`)]
  assert.deepEqual([...text.matchAll(/"text":"([^"]*)"/g)].map(match => match[1]), expected)
  assert.ok(text.endsWith('data: [DONE]\n\n'))
  assert.equal(this.events.at(-1)?.type, 'end')
})

Then('the answer fails with verdict {string} and code {string}', function (this: StandinWorld, verdict: string, code: string) {
  const last = this.events.at(-1)
  assert.ok(last?.type === 'failed', 'the answer ends as a failure')
  assert.deepEqual([last.failure.verdict, last.failure.code], [verdict, code])
})

Then('the engine has a new incarnation and no adapter', async function (this: StandinWorld) {
  const report = await this.engine.readReport(this.standin!.address)
  assert.notEqual(report.incarnation, 'first')
  assert.deepEqual(report.adapters, [])
})

Then('the engine\'s journal shows the request as {string}', async function (this: StandinWorld, kind: string) {
  await waitUntil(() => this.standin!.model.journal.some(entry => entry.kind === kind && entry.requestId === 'req-1'))
})

Then('the engine\'s journal does not show the request', function (this: StandinWorld) {
  assert.deepEqual(this.standin!.model.journal.filter(entry => entry.requestId === 'req-1'), [])
})

Then('an order with fencing number {int} to load {string} is refused with code {string}',
  async function (this: StandinWorld, fencing: number, loaded: string, code: string) {
    const outcome = await sendOrder(this, loaded, fencing)
    assert.ok(outcome.verdict === 'refused', `the order was ${outcome.verdict}`)
    assert.equal(outcome.code, code)
  })

Then('an order with fencing number {int} to load {string} is done', async function (this: StandinWorld, fencing: number, loaded: string) {
  assert.equal((await sendOrder(this, loaded, fencing)).verdict, 'done')
})
