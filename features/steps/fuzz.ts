/** Steps of the fuzzer. */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { parseSequence } from '../../fuzz/commands.js'
import { findViolations } from '../../fuzz/oracle.js'
import { runFuzz, runSequence } from '../../fuzz/runFuzz.js'

const maxCommands = 60

interface FuzzWorld {
  broken: string[]
}

When('{int} sequences are fuzzed with seed {int}', async function (this: FuzzWorld, runs: number, seed: number) {
  const { failure } = await runFuzz({ seed, runs, maxCommands })
  this.broken = failure ? [failure.message, failure.sequence] : []
})

When(/^this sequence runs: '(.*)'$/, async function (this: FuzzWorld, sequence: string) {
  const system = await runSequence(parseSequence(sequence))
  this.broken = findViolations(system).map(({ promise, detail }) => `${promise}: ${detail}`)
})

Then('no promise is broken', function (this: FuzzWorld) {
  assert.deepEqual(this.broken, [])
})
