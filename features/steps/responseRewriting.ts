/** Steps for rewriting and decoding relayed response data. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { pack } from 'msgpackr'
import { createHandleReplacer } from '../../src/adapters/openaiEngine/handleReplacer.js'
import { decodeBatch, encodeBatch } from '../../src/adapters/peerLink/linkMethod.js'

interface ResponseDataWorld {
  sent: string
  handle: string
  batch: Buffer
}

When(/^an engine sends (.*) under handle "(.*)"$/, function (this: ResponseDataWorld, sent: string, handle: string) {
  this.sent = sent
  this.handle = handle
})

Then(/^callers of "(.*?)" see (.*)$/, function (this: ResponseDataWorld, model: string, shown: string) {
  assert.equal(createHandleReplacer({ handle: this.handle, model })(this.sent), shown)
})

When(/^a peer sends the batch (.*)$/, function (this: ResponseDataWorld, batch: string) {
  this.batch = pack(JSON.parse(batch))
})

Then('the batch is decoded as nothing', function (this: ResponseDataWorld) {
  assert.throws(() => decodeBatch(this.batch), /does not match its schema/)
})

Then('the batch is decoded as chunk {int} of {string}, {string}', function (this: ResponseDataWorld, sequence: number, requestId: string, data: string) {
  const messages = decodeBatch(this.batch)
  assert.deepEqual(messages, [{ type: 'answerData', requestId, attempt: 1, sequence, data }])
  assert.deepEqual(decodeBatch(encodeBatch(messages)), messages)
})
