/** Steps of processes whose stop fails. */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { Given, Then } from '@cucumber/cucumber'

interface FailingStopsWorld {
  failedStop: { code: unknown, errors: string }
}

const processExit = new URL('../../src/bin/processExit.js', import.meta.url)
const limitMs = 10_000

function formatProgram (isEarly: boolean): string {
  const signal = 'process.kill(process.pid, "SIGTERM")'
  return `import { exitWithError, runUntilStopped } from ${JSON.stringify(processExit.href)}
const keepAlive = setInterval(() => {}, 1000)
const start = async () => {
  ${isEarly ? signal : `setTimeout(() => ${signal}, 100)`}
  await new Promise(resolve => setTimeout(resolve, ${isEarly ? 100 : 0}))
  return { stop: async () => { throw new Error('the store is gone') } }
}
runUntilStopped(start).catch(error => exitWithError('trial', error))`
}

Given(/^a program whose stop fails, and that gets SIGTERM (while it starts|after it started)$/, async function (this: FailingStopsWorld, when: string) {
  this.failedStop = await new Promise(resolve => {
    execFile(process.execPath, ['--input-type=module', '-e', formatProgram(when === 'while it starts')], { timeout: limitMs }, (error, _output, errors) => resolve({ code: error?.code ?? 0, errors }))
  })
})

Then('it ends with code {int}, and its only line is {string}', function (this: FailingStopsWorld, code: number, line: string) {
  assert.deepEqual(this.failedStop, { code, errors: `${line}\n` })
})
