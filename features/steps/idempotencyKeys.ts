/** Steps for idempotency keys on the callers' port. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import type { CallerAnswer, SystemWorld } from '../support/world.js'
import { waitUntil } from '../support/waitUntil.js'

interface ClaimsPathWorld extends SystemWorld {
  earlierAnswer: CallerAnswer | undefined
}

async function sendWithKey (world: ClaimsPathWorld, gateway: number, path: string, body: unknown, key: string): Promise<void> {
  world.earlierAnswer = world.answer
  world.gateway = gateway - 1
  await world.call(path, body, { 'idempotency-key': key })
}

function createChat (tokens: number, stream: boolean, model = 'cluj-tax'): Record<string, unknown> {
  return { model, stream, max_tokens: tokens, messages: [{ role: 'user', content: 'Hello' }] }
}

function isReplayed (answer: CallerAnswer): boolean {
  return answer.headers.get('sedgevalve-replayed') === 'true'
}

When('gateway {int} is asked to post {string} to {string} with key {string}',
  async function (this: ClaimsPathWorld, gateway: number, body: string, path: string, key: string) {
    await sendWithKey(this, gateway, path, body, key)
  })

When('gateway {int} is asked for {int} tokens with key {string}',
  async function (this: ClaimsPathWorld, gateway: number, tokens: number, key: string) {
    await sendWithKey(this, gateway, '/v1/chat/completions', createChat(tokens, false), key)
  })

When('gateway {int} is asked for {int} tokens of {string} with key {string}',
  async function (this: ClaimsPathWorld, gateway: number, tokens: number, model: string, key: string) {
    await sendWithKey(this, gateway, '/v1/chat/completions', createChat(tokens, false, model), key)
  })

When('gateway {int} is asked to stream {int} tokens with key {string}',
  async function (this: ClaimsPathWorld, gateway: number, tokens: number, key: string) {
    await sendWithKey(this, gateway, '/v1/chat/completions', createChat(tokens, true), key)
  })

When('a caller asks gateway {int} to stream {int} tokens with key {string}, and disconnects',
  async function (this: ClaimsPathWorld, gateway: number, tokens: number, key: string) {
    const abort = new AbortController()
    const response = await fetch(`http://127.0.0.1:${this.playground!.gateways[gateway - 1]!.callersPort}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${exampleCallerKey}`, 'content-type': 'application/json', 'idempotency-key': key },
      body: JSON.stringify(createChat(tokens, true)),
      signal: abort.signal
    })
    assert.equal(response.status, 200)
    abort.abort()
  })

When('gateway {int} is asked to stream {int} tokens with key {string} until it is not refused',
  async function (this: ClaimsPathWorld, gateway: number, tokens: number, key: string) {
    await waitUntil(async () => {
      await sendWithKey(this, gateway, '/v1/chat/completions', createChat(tokens, true), key)
      return this.answer!.status !== 409
    })
  })

Then('the answer is a replay of the earlier one', function (this: ClaimsPathWorld) {
  const { earlierAnswer, answer } = this
  assert.equal(answer!.status, 200, answer!.text)
  assert.equal(answer!.text, earlierAnswer!.text)
  assert.ok(isReplayed(answer!) && !isReplayed(earlierAnswer!))
  for (const name of ['content-type', 'sedgevalve-request-id', 'sedgevalve-endpoint']) {
    assert.equal(answer!.headers.get(name), earlierAnswer!.headers.get(name), name)
  }
})

Then('the answer is marked as replayed', function (this: ClaimsPathWorld) {
  assert.ok(isReplayed(this.answer!))
})

Then('the engines have run {int} request(s)', function (this: ClaimsPathWorld, count: number) {
  const started = this.playground!.standins.engines.flatMap(engine => engine.model.journal.filter(entry => entry.kind === 'started'))
  assert.equal(started.length, count)
})
