/** Steps for the verdict on a request with several attempts. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { requestRules } from '../../src/core/requestRules.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../src/schemas/verdict.js'
import type { RequestFailure } from '../../src/schemas/verdict.js'
import { createRouterFixture } from '../support/routerFixture.js'
import type { RouterFixture } from '../support/routerFixture.js'

interface VerdictWorld {
  fixture: RouterFixture
}

const lostFailure = createMayHaveRunFailure('endpoint_lost', 'the connection was reset', 502)
const refusedFailure = createNotRunFailure('endpoint_not_ready', 'the endpoint is not ready', 503)
const permanentlyRefusedFailure = createNotRunFailure('invalid_body', 'the body is not valid', 400)

function failLastAttempt ({ router, findLastDispatch }: RouterFixture, failure: RequestFailure): void {
  const { hostId, requestId, attempt } = findLastDispatch()
  router.receiveMessage(hostId, { type: 'answerFailed', requestId, attempt, failure })
}

/** The owner reports the crash before it reports the failed attempt. */
function crashLastAttempt (fixture: RouterFixture): void {
  const { hostId, endpointId, fingerprint } = fixture.findLastDispatch()
  fixture.router.receiveMessage(hostId, { type: 'suspects', suspects: [{ fingerprint, crashes: [`${endpointId}/1`] }] })
  failLastAttempt(fixture, lostFailure)
}

Given(/^a request whose first attempt was lost while it ran(, with merging of verdicts disabled)?$/,
  function (this: VerdictWorld, isMergingDisabled: string | null) {
    this.fixture = createRouterFixture(isMergingDisabled ? { rules: { ...requestRules, mergeAttempts: last => last } } : {})
    this.fixture.start()
    failLastAttempt(this.fixture, lostFailure)
  })

Given('a request whose first attempt was refused as not run', function (this: VerdictWorld) {
  this.fixture = createRouterFixture()
  this.fixture.start()
  failLastAttempt(this.fixture, refusedFailure)
})

Given('a request that may run at most once, whose first attempt was lost while it ran', function (this: VerdictWorld) {
  this.fixture = createRouterFixture()
  this.fixture.start({ isRetryable: false })
  failLastAttempt(this.fixture, lostFailure)
})

Given('a request whose first attempt crashed its endpoint', function (this: VerdictWorld) {
  this.fixture = createRouterFixture()
  this.fixture.start()
  crashLastAttempt(this.fixture)
})

When('its next attempt is permanently refused as not run', function (this: VerdictWorld) {
  failLastAttempt(this.fixture, permanentlyRefusedFailure)
})

When('its next attempt also crashes its endpoint', function (this: VerdictWorld) {
  assert.equal(this.fixture.findLastDispatch().isSuspect, true)
  crashLastAttempt(this.fixture)
})

Then('the caller receives verdict {string}', function (this: VerdictWorld, verdict: string) {
  assert.deepEqual(this.fixture.events.map(event => event.type === 'failed' && event.failure.verdict), [verdict])
})

Then('one attempt was sent', function (this: VerdictWorld) {
  assert.equal(this.fixture.sent.length, 1)
})

Then('the same request, sent again, receives verdict {string} without an attempt', function (this: VerdictWorld, verdict: string) {
  const sentCountBefore = this.fixture.sent.length
  this.fixture.start({ requestId: 'req-2' })
  const last = this.fixture.events.at(-1)
  assert.equal(last?.type === 'failed' && last.failure.verdict, verdict)
  assert.equal(this.fixture.sent.length, sentCountBefore)
})
