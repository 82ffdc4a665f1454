/** Steps of the path of a request. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { SystemWorld } from '../support/world.js'

interface Chunk {
  model: string
  choices: Array<{ delta?: { content: string }, message?: { content: string } }>
}

/** Reads text and model of a chat answer, whole or streamed. */
function readChatText (text: string): { model: string, content: string } {
  const isStream = text.startsWith('data:')
  const chunks = isStream
    ? text.split('\n\n').filter(event => event.startsWith('data: {')).map(event => JSON.parse(event.slice(6)) as Chunk)
    : [JSON.parse(text) as Chunk]
  if (isStream) assert.ok(text.endsWith('data: [DONE]\n\n'), 'the stream has its last event')
  const content = chunks.map(({ choices }) => choices[0]?.delta?.content ?? choices[0]?.message?.content ?? '').join('')
  return { model: chunks[0]?.model ?? '', content }
}

Given('a system with {int} engine(s), {int} scheduler(s) and {int} gateway(s)',
  async function (this: SystemWorld, engines: number, schedulers: number, gateways: number) {
    await this.start({ engines, schedulers, gateways })
  })

When('a caller streams {int} tokens from {string}', async function (this: SystemWorld, tokens: number, model: string) {
  await this.call('/v1/chat/completions', { model, stream: true, max_tokens: tokens, messages: [{ role: 'user', content: 'Hello' }] })
})

When('a caller asks for {int} tokens from {string}', async function (this: SystemWorld, tokens: number, model: string) {
  await this.call('/v1/chat/completions', { model, max_tokens: tokens, messages: [{ role: 'user', content: 'Hello' }] })
})

When('a caller posts {string} to service path {string}', async function (this: SystemWorld, body: string, path: string) {
  await this.call(path, body)
})

Then('the answer has status {int}', function (this: SystemWorld, status: number) {
  assert.equal(this.answer?.status, status, this.answer?.text)
})

Then('the answer is whole, with {int} tokens from {string}', function (this: SystemWorld, tokens: number, model: string) {
  const { model: answered, content } = readChatText(this.answer!.text)
  const requestId = this.answer!.headers.get('sedgevalve-request-id')
  assert.equal(answered, model)
  assert.match(content, new RegExp(`^\\[${model}#[0-9.]+ ${requestId}\\]`))
  assert.equal(content.split(' t').length, tokens)
  assert.equal(`${this.answer!.headers.get('sedgevalve-adapter')}@${this.answer!.headers.get('sedgevalve-version')}`, model)
})

Then('the answer says verdict {string} and code {string}', function (this: SystemWorld, verdict: string, code: string) {
  assert.equal(this.answer!.headers.get('sedgevalve-verdict'), verdict)
  assert.equal((JSON.parse(this.answer!.text) as { error: { code: string } }).error.code, code)
})

Then('the service has run {int} call(s)', function (this: SystemWorld, calls: number) {
  assert.equal(this.playground!.standins.services[0]!.journal.length, calls)
})
