/** Steps of the verdict on a request that had several attempts. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { requestRules } from '../../src/core/requestRules.js'
import { createMayHaveRun, createNotRun } from '../../src/schemas/verdict.js'
import type { RequestFailure } from '../../src/schemas/verdict.js'
import { createRouterFixture } from '../support/routerFixture.js'
import type { RouterFixture } from '../support/routerFixture.js'

interface VerdictWorld {
  fixture: RouterFixture
}

const lost = createMayHaveRun('endpoint_lost', 'the connection was reset', 502)
const refused = createNotRun('endpoint_not_ready', 'the endpoint is not ready', 503)
const refusedForGood = createNotRun('invalid_body', 'the body is not valid', 400)

function failLast ({ router, findLastDispatch }: RouterFixture, failure: RequestFailure): void {
  const { hostId, requestId, attempt } = findLastDispatch()
  router.receiveMessage(hostId, { type: 'answerFailed', requestId, attempt, failure })
}

/** The owner tells of the crash before it tells that the attempt failed. */
function crashLast (fixture: RouterFixture): void {
  const { hostId, endpointId, fingerprint } = fixture.findLastDispatch()
  fixture.router.receiveMessage(hostId, { type: 'suspects', suspects: [{ fingerprint, crashes: [`${endpointId}/1`] }] })
  failLast(fixture, lost)
}

Given(/^a request whose first attempt was lost while it ran(, with verdicts left unmerged)?$/,
  function (this: VerdictWorld, isOff: string | null) {
    this.fixture = createRouterFixture(isOff ? { rules: { ...requestRules, joinAttempts: last => last } } : {})
    this.fixture.start()
    failLast(this.fixture, lost)
  })

Given('a request whose first attempt was refused as not run', function (this: VerdictWorld) {
  this.fixture = createRouterFixture()
  this.fixture.start()
  failLast(this.fixture, refused)
})

Given('a request that may run once, whose first attempt was lost while it ran', function (this: VerdictWorld) {
  this.fixture = createRouterFixture()
  this.fixture.start({ isRepeatable: false })
  failLast(this.fixture, lost)
})

Given('a request whose first attempt crashed its endpoint', function (this: VerdictWorld) {
  this.fixture = createRouterFixture()
  this.fixture.start()
  crashLast(this.fixture)
})

When('its next attempt is refused as not run, for good', function (this: VerdictWorld) {
  failLast(this.fixture, refusedForGood)
})

When('its next attempt crashes its endpoint too', function (this: VerdictWorld) {
  assert.equal(this.fixture.findLastDispatch().isSuspect, true)
  crashLast(this.fixture)
})

Then('the caller is told verdict {string}', function (this: VerdictWorld, verdict: string) {
  assert.deepEqual(this.fixture.events.map(event => event.type === 'failed' && event.failure.verdict), [verdict])
})

Then('one attempt was sent', function (this: VerdictWorld) {
  assert.equal(this.fixture.sent.length, 1)
})

Then('the same request sent again is told verdict {string} with no attempt', function (this: VerdictWorld, verdict: string) {
  const sentBefore = this.fixture.sent.length
  this.fixture.start({ requestId: 'req-2' })
  const last = this.fixture.events.at(-1)
  assert.equal(last?.type === 'failed' && last.failure.verdict, verdict)
  assert.equal(this.fixture.sent.length, sentBefore)
})
