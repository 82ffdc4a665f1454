/** Steps of the path of a request. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { readChatText } from '../support/chatText.js'
import type { SystemWorld } from '../support/world.js'

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
