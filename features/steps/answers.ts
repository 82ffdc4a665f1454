/** Steps of the histories that the router of requests is driven through. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { createNotRunFailure } from '../../src/schemas/verdict.js'
import { RouterHistory, findBrokenPromise } from '../support/routerHistory.js'
import type { History, PassMessage } from '../support/routerHistory.js'

interface AnswersWorld {
  passMessage: PassMessage | undefined
  /** Broken promises of all histories that broke one. */
  broken: string[]
}

const passUnchanged: PassMessage = delivery => delivery

/** Makes every message look as if it came from the newest attempt. */
const hideAttempts: PassMessage = ({ message }, { attempts }) => {
  const { attempt, hostId } = attempts.at(-1)!
  return { hostId, message: 'attempt' in message ? { ...message, attempt } : message }
}

/** Gives every message the sequence number that is expected next. */
const hideSequences: PassMessage = ({ hostId, message }, { parts }) =>
  ({ hostId, message: 'sequence' in message ? { ...message, sequence: parts.length } : message })

/** Calls every failed attempt not run. */
const hideRuns: PassMessage = ({ hostId, message }) => {
  if (message.type !== 'answerFailed') return { hostId, message }
  return { hostId, message: { ...message, failure: createNotRunFailure('lost', 'the attempt was lost', 503) } }
}

const mechanisms: Record<string, PassMessage> = {
  'the numbers of attempts': hideAttempts,
  'the numbers of parts': hideSequences,
  'that an attempt may have run': hideRuns,
  'that work may not run twice': hideRuns
}

const fateArbitrary = fc.oneof(
  fc.constant({ type: 'notRun' as const }),
  fc.constant({ type: 'whole' as const }),
  fc.record({ type: fc.constant('broken' as const), parts: fc.nat(3) })
)
const stepArbitrary = fc.record({
  back: fc.oneof({ weight: 3, arbitrary: fc.constant(0) }, fc.nat(3)),
  message: fc.oneof({ weight: 3, arbitrary: fc.constant(undefined) }, fc.nat(5)),
  isClosed: fc.nat(15).map(number => number === 0)
})
const historyArbitrary: fc.Arbitrary<History> = fc.record({
  isRepeatable: fc.boolean(),
  fates: fc.array(fateArbitrary, { minLength: 1, maxLength: 4 }),
  steps: fc.array(stepArbitrary, { maxLength: 12 })
})

Given(/^the router does not see (.*)$/, function (this: AnswersWorld, mechanism: string) {
  this.passMessage = mechanisms[mechanism]
  assert.ok(this.passMessage, `"${mechanism}" can be switched off`)
})

When('{int} histories with seed {int} are run through the router', function (this: AnswersWorld, count: number, seed: number) {
  this.broken = fc.sample(historyArbitrary, { numRuns: count, seed }).flatMap(history => {
    const run = new RouterHistory(history, this.passMessage ?? passUnchanged)
    run.run(history)
    const broken = findBrokenPromise(history, run)
    return broken === undefined ? [] : [`${broken}: ${JSON.stringify(history)}`]
  })
})

Then('every promise held', function (this: AnswersWorld) {
  assert.deepEqual(this.broken.slice(0, 3), [])
})

Then('a promise was broken: {string}', function (this: AnswersWorld, fault: string) {
  assert.ok(this.broken.some(broken => broken.includes(fault)), `${this.broken.length} histories broke a promise`)
})
