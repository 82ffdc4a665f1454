/** Steps of what the relay of answers changes and refuses. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { pack } from 'msgpackr'
import { createHandleReplacer } from '../../src/adapters/openaiEngine/handleReplacer.js'
import { decodeBatch, encodeBatch } from '../../src/adapters/peerLink/linkMethod.js'

interface RelayWorld {
  sent: string
  handle: string
  batch: Buffer
}

When(/^an engine sends (.*) under handle "(.*)"$/, function (this: RelayWorld, sent: string, handle: string) {
  this.sent = sent
  this.handle = handle
})

Then(/^callers of "(.*?)" see (.*)$/, function (this: RelayWorld, model: string, shown: string) {
  assert.equal(createHandleReplacer({ handle: this.handle, model })(this.sent), shown)
})

When(/^a peer sends the batch (.*)$/, function (this: RelayWorld, batch: string) {
  this.batch = pack(JSON.parse(batch))
})

Then('it is read as nothing', function (this: RelayWorld) {
  assert.throws(() => decodeBatch(this.batch), /does not match its schema/)
})

Then('it is read as part {int} of {string}, {string}', function (this: RelayWorld, sequence: number, requestId: string, data: string) {
  const messages = decodeBatch(this.batch)
  assert.deepEqual(messages, [{ type: 'answerData', requestId, attempt: 1, sequence, data }])
  assert.deepEqual(decodeBatch(encodeBatch(messages)), messages)
})
