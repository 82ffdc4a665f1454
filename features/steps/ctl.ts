/** Steps of the operators' client. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { Given, Then, When } from '@cucumber/cucumber'
import { allCommands } from '../../src/ctl/allCommands.js'
import { formatUsage } from '../../src/ctl/renderHelp.js'
import { formatTarget } from '../../src/core/formatTarget.js'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { hashKey } from '../../src/tasks/gateway/callerAccess.js'
import type { OperatorJob } from '../../src/tasks/operators/jobRoutes.js'
import { ClientRun } from '../support/clientRun.js'
import { waitUntil } from '../support/waitUntil.js'
import type { SystemWorld } from '../support/world.js'

interface ClientState {
  files: Map<string, string>
  last: ClientRun
  race: ClientRun[]
}
const states = new WeakMap<SystemWorld, ClientState>()

function getState (world: SystemWorld): ClientState {
  const files = new Map<string, string>()
  const state = states.get(world) ?? { files, last: new ClientRun(files), race: [] }
  states.set(world, state)
  return state
}

async function runWords (world: SystemWorld, words: string[], key?: string, gateway?: number): Promise<ClientRun> {
  const state = getState(world)
  state.last = new ClientRun(state.files)
  await state.last.run(world, words, key, gateway)
  return state.last
}

When('an operator runs {string}', async function (this: SystemWorld, line: string) {
  await runWords(this, line.split(' '))
})

Given('an operator has run {string}', async function (this: SystemWorld, line: string) {
  const run = await runWords(this, line.split(' '))
  assert.equal(run.code, 0, run.noteText)
})

When('an operator runs {string} with the request', async function (this: SystemWorld, line: string) {
  const requestId = this.answer!.headers.get('sedgevalve-request-id')!
  await runWords(this, [...line.split(' '), requestId])
})

When('somebody with a caller\'s key runs {string}', async function (this: SystemWorld, line: string) {
  await runWords(this, line.split(' '), exampleCallerKey)
})

Then('the client ends with code {int}', function (this: SystemWorld, code: number) {
  const { last } = getState(this)
  assert.equal(last.code, code, last.noteText)
})

Then(/^the client prints "(.*)"$/, function (this: SystemWorld, text: string) {
  const { output } = getState(this).last
  assert.ok(output.includes(text), output)
})

Then(/^the client notes "(.*)"$/, function (this: SystemWorld, text: string) {
  const { noteText } = getState(this).last
  assert.ok(noteText.includes(text), noteText)
})

Then('the client prints JSON with role {string}', function (this: SystemWorld, role: string) {
  assert.equal((JSON.parse(getState(this).last.output) as { role: string }).role, role)
})

When('two operators set class {string} to 1h and 2h on two gateways at the same moment', async function (this: SystemWorld, name: string) {
  const state = getState(this)
  state.race = [new ClientRun(state.files), new ClientRun(state.files)]
  await Promise.all(state.race.map(async (run, index) =>
    await run.run(this, ['class', 'set', name, '--finish-within', `${index + 1}h`, '--if-version', '0'], undefined, index + 1)))
})

Then('one client ends with code 0 and the other with code 3', function (this: SystemWorld) {
  const codes = getState(this).race.map(run => run.code).sort()
  assert.deepEqual(codes, [0, 3], getState(this).race.map(run => run.noteText).join('; '))
})

Then('class {string} has the winner\'s target, which the loser was shown', async function (this: SystemWorld, name: string) {
  const { race } = getState(this)
  const shown = `finish within ${race.findIndex(run => run.code === 0) + 1}h`
  const found = this.playground!.gateways[0]!.configuration.findRecord({ kind: 'class', name })
  assert.ok(found?.record.kind === 'class')
  assert.equal(formatTarget(found.record.target), shown)
  assert.ok(race.find(run => run.code === 3)!.noteText.includes(shown))
})

Then('the new key opens {string} and stands in no list', async function (this: SystemWorld, line: string) {
  const { last } = getState(this)
  const key = /sv-\S+/.exec(last.noteText)![0]
  getState(this).files.set('key.txt', `${key}\n`)
  assert.equal((await runWords(this, line.split(' '), key)).code, 0)
  const list = await runWords(this, ['key', 'list'])
  assert.ok(!list.output.includes(key) && !list.output.includes(hashKey(key)))
})

Then('the hash of the new key, read from a file, is the registered one', async function (this: SystemWorld) {
  const { output } = await runWords(this, ['key', 'hash', 'key.txt'])
  const found = this.playground!.gateways[0]!.configuration.findRecord({ kind: 'key', name: 'desk' })
  assert.ok(found?.record.kind === 'key')
  assert.equal(output, found.record.hash)
})

function renderFile (count: number, last?: string): string {
  const lines = Array.from({ length: count }, (_value, index) => `adapter-${index + 1},base-1,1 2,2,counter`)
  return ['name,baseModel,versions,currentVersion,defaultClass', ...lines, ...(last === undefined ? [] : [last]), ''].join('\n')
}

Given('a file {string} with {int} adapters', function (this: SystemWorld, file: string, count: number) {
  getState(this).files.set(file, renderFile(count))
})

Given('a file {string} with {int} adapters, the last of them {string}', function (this: SystemWorld, file: string, count: number, line: string) {
  getState(this).files.set(file, renderFile(count, line))
})

Then('{int} adapters are registered', async function (this: SystemWorld, count: number) {
  const list = await runWords(this, ['adapter', 'list', '--json'])
  assert.equal((JSON.parse(list.output) as unknown[]).length, count)
})

When('an operator runs {string} until it shows a decision of a caller\'s next request', async function (this: SystemWorld, line: string) {
  const state = getState(this)
  const run = state.last = new ClientRun(state.files)
  const ended = run.run(this, line.split(' '))
  await waitUntil(async () => {
    await this.call('/v1/completions', { model: 'cluj-tax', max_tokens: 2, prompt: 'Hello' })
    return run.output.includes(this.answer!.headers.get('sedgevalve-request-id')!)
  })
  run.abort.abort()
  await ended
})

When('an operator lists jobs until the job is {string}', async function (this: SystemWorld & { jobId: string }, state: string) {
  await waitUntil(async () => {
    const { output } = await runWords(this, ['job', 'list', '--json', '--caller', 'example-caller'])
    return (JSON.parse(output) as OperatorJob[]).some(job => job.id === this.jobId && job.state === state)
  })
})

When('an operator runs {string} with the job', async function (this: SystemWorld & { jobId: string }, line: string) {
  await runWords(this, [...line.split(' '), this.jobId])
})

Then('every command has a page that names its actions, arguments and options', function () {
  for (const command of allCommands) {
    const page = readFileSync(`docs/operations/commands/${command.words[0]}.md`, 'utf8')
    for (const text of [formatUsage(command), ...Object.keys(command.options).map(name => `--${name}`)]) {
      assert.ok(page.includes(text), `the page of "${command.words.join(' ')}" lacks "${text}"`)
    }
  }
})
