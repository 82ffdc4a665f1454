/** Steps of the fuzzer. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { parseSequence } from '../../fuzz/commands.js'
import { mechanismsWithout } from '../../fuzz/mechanisms.js'
import type { FuzzMechanisms } from '../../fuzz/mechanisms.js'
import { findViolations } from '../../fuzz/oracle.js'
import type { PromiseName } from '../../fuzz/promises.js'
import { runFuzz, runSequence } from '../../fuzz/runFuzz.js'

const maxCommands = 40
const maxSeconds = 600

interface FuzzWorld {
  broken: string[]
  /** Promises that were broken. */
  promises: PromiseName[]
}

function getMechanisms (name: string): { mechanisms: FuzzMechanisms } {
  const found = mechanismsWithout[name]
  assert.ok(found, `mechanism "${name}"`)
  return { mechanisms: found.mechanisms }
}

When('{int} sequences are fuzzed with seed {int}', async function (this: FuzzWorld, runs: number, seed: number) {
  const { failure } = await runFuzz({ seed, runs, maxCommands, maxSeconds })
  this.broken = failure ? [failure.message, failure.sequence] : []
})

When(/^this sequence runs: '(.*)'$/, async function (this: FuzzWorld, sequence: string) {
  const system = await runSequence(parseSequence(sequence))
  this.broken = findViolations(system).map(({ promise, detail }) => `${promise}: ${detail}`)
})

Then('no promise is broken', function (this: FuzzWorld) {
  assert.deepEqual(this.broken, [])
})

When(/^the mechanism behind (\w+) is switched off and (\d+) sequences are fuzzed with seed (\d+)$/,
  async function (this: FuzzWorld, name: string, runs: string, seed: string) {
    const { failure } = await runFuzz({
      seed: Number(seed), runs: Number(runs), maxCommands, maxSeconds, isShortened: false, ...getMechanisms(name)
    })
    this.promises = failure?.promises ?? []
  })

When(/^the mechanism behind (\w+) is switched off and this sequence runs: '(.*)'$/,
  async function (this: FuzzWorld, name: string, sequence: string) {
    const system = await runSequence(parseSequence(sequence), getMechanisms(name).mechanisms)
    this.promises = findViolations(system).map(violation => violation.promise)
  })

Then(/^(\w+) is broken$/, function (this: FuzzWorld, promise: PromiseName) {
  assert.ok(this.promises.includes(promise), `broken: ${this.promises.join(', ') || 'nothing'}`)
})
