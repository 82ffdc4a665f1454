/** Steps of changes of the configuration. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { AdapterRecord, ClassRecord } from '../../src/schemas/configuration.js'
import type { ChangeProgress, ChangeRequest, ChangeResult } from '../../src/tasks/configuration/configurationChange.js'
import type { ConfigurationTaskOptions } from '../../src/tasks/configuration/configurationTask.js'
import { ConfigurationHosts } from '../support/configurationHosts.js'
import { settle } from '../support/settle.js'

interface HostsWorld {
  hosts: ConfigurationHosts
  names: string[]
  results: ChangeResult[]
  knownAtMs: number
  progress: ChangeProgress[]
}

async function startHosts (world: HostsWorld, names: string[], rules: Partial<ConfigurationTaskOptions> = {}): Promise<void> {
  world.names = names
  world.hosts = new ConfigurationHosts(rules)
  const started = names.map(name => world.hosts.startHost(name).started)
  await settle(world.hosts.platform.clock, Promise.all(started))
  await passSeconds(world, 3)
}

async function passSeconds ({ hosts: { platform: { clock } } }: HostsWorld, seconds: number): Promise<void> {
  await clock.runUntilSettled(clock.readMonotonic() + seconds * 1000)
}

async function changeAtOnce (world: HostsWorld, changes: Array<[string, Partial<ChangeRequest>]>): Promise<void> {
  const promises = changes.map(async ([name, change]) =>
    await world.hosts.hosts.get(name)!.task.changeRecords({ puts: [], removes: [], ifVersions: [], ...change }))
  world.results = await settle(world.hosts.platform.clock, Promise.all(promises))
}

function createClass (name: string, ms: number): ClassRecord {
  return { kind: 'class', name, target: { kind: 'firstTokenWithin', ms } }
}

function createAdapter (index: number): AdapterRecord {
  return { kind: 'adapter', name: `adapter-${index}`, baseModel: 'base-1', versions: ['1'], currentVersion: '1', defaultClass: 'counter' }
}

function createAdapters (count: number): AdapterRecord[] {
  return Array.from({ length: count }, (_, index) => createAdapter(index))
}

function checkEveryHost (world: HostsWorld, read: (name: string) => unknown, expected: unknown): void {
  for (const name of world.names) assert.deepEqual(read(name), expected, name)
}

function readClassMs (world: HostsWorld, host: string, name: string): number | undefined {
  const target = world.hosts.hosts.get(host)!.task.view.findClass(name)?.target
  return target?.kind === 'firstTokenWithin' ? target.ms : undefined
}

Given('the hosts {string}', async function (this: HostsWorld, names: string) {
  await startHosts(this, names.split(', '))
})

Given('hosts that always hold themselves current', async function (this: HostsWorld) {
  await startHosts(this, this.names, { isCurrent: () => true })
})

Given('hosts that apply changes in any order', async function (this: HostsWorld) {
  await startHosts(this, this.names, { isNext: () => true })
})

Given('the platform\'s switch {string} is on', function (this: HostsWorld, name: 'isTableDown') {
  this.hosts.platform.faults[name] = true
})

Given('the platform\'s switch {string} is set to {int}', function (this: HostsWorld, name: 'lostAnswers', value: number) {
  this.hosts.platform.faults[name] = value
})

Given('the table goes down after {int} more write(s)', function (this: HostsWorld, writes: number) {
  const { faults } = this.hosts.platform
  let left = writes
  let isDown = false
  Object.defineProperty(faults, 'isTableDown', { get: () => isDown, set: (value: boolean) => { isDown = value } })
  Object.defineProperty(faults, 'lostWrites', {
    get: () => {
      if (--left <= 0) isDown = true
      return 0
    }
  })
})

Given('{string} does not reach the table', function (this: HostsWorld, name: string) {
  this.hosts.hosts.get(name)!.faults.isTableDown = true
})

Given('{string} does not reach its peers', function (this: HostsWorld, name: string) {
  this.hosts.setCut(name, true)
})

Given('{string} and {string} reach neither table nor peers', async function (this: HostsWorld, first: string, second: string) {
  for (const name of [first, second]) {
    this.hosts.hosts.get(name)!.faults.isTableDown = true
    this.hosts.setCut(name, true)
  }
  await passSeconds(this, 5)
})

When(/^"(.*)" (?:sets|has set) class "(.*)" to (\d+) ms$/, async function (this: HostsWorld, host: string, name: string, ms: string) {
  await changeAtOnce(this, [[host, { puts: [createClass(name, Number(ms))] }]])
})

When('{string} sets class {string} to {int} ms, expecting version {int}',
  async function (this: HostsWorld, host: string, name: string, ms: number, version: number) {
    await changeAtOnce(this, [[host, { puts: [createClass(name, ms)], ifVersions: [{ kind: 'class', name, version }] }]])
  })

When('{string} and {string} set class {string} to {int} ms and {int} ms at the same moment',
  async function (this: HostsWorld, first: string, second: string, name: string, firstMs: number, secondMs: number) {
    await changeAtOnce(this, [[first, { puts: [createClass(name, firstMs)] }], [second, { puts: [createClass(name, secondMs)] }]])
  })

When('{string} and {string} set classes {string} and {string} at the same moment',
  async function (this: HostsWorld, first: string, second: string, firstName: string, secondName: string) {
    await changeAtOnce(this, [[first, { puts: [createClass(firstName, 500)] }], [second, { puts: [createClass(secondName, 500)] }]])
  })

When('{string} registers an adapter with default class {string}', async function (this: HostsWorld, host: string, defaultClass: string) {
  await changeAtOnce(this, [[host, { puts: [{ ...createAdapter(0), defaultClass }] }]])
})

When('{string} registers an adapter with current version {string}', async function (this: HostsWorld, host: string, currentVersion: string) {
  await changeAtOnce(this, [[host, { puts: [{ ...createAdapter(0), currentVersion }] }]])
})

When(/^"(.*)" (?:registers|has registered) (\d+) adapters?$/, async function (this: HostsWorld, host: string, count: string) {
  await changeAtOnce(this, [[host, { puts: createAdapters(Number(count)) }]])
})

When('{string} registers {int} adapters, of which one is wrong', async function (this: HostsWorld, host: string, count: number) {
  const puts = createAdapters(count)
  puts[count - 1] = { ...puts[count - 1]!, defaultClass: 'nobody' }
  await changeAtOnce(this, [[host, { puts }]])
})

When('{string} removes class {string}', async function (this: HostsWorld, host: string, name: string) {
  await changeAtOnce(this, [[host, { removes: [{ kind: 'class', name }] }]])
})

When('{string} makes {int} changes', async function (this: HostsWorld, host: string, count: number) {
  for (let index = 0; index < count; index++) await changeAtOnce(this, [[host, { puts: [createClass('lesson', index + 1)] }]])
})

When('{string} starts again', function (this: HostsWorld, name: string) {
  this.hosts.startHost(name)
})

When('every message between hosts comes again, the last one first', function (this: HostsWorld) {
  for (const { to, from, update } of [...this.hosts.sent].reverse()) this.hosts.deliverUpdate(to, from, structuredClone(update))
})

When('{string} reaches all again', function (this: HostsWorld, name: string) {
  this.hosts.hosts.get(name)!.faults.isTableDown = false
  this.hosts.setCut(name, false)
})

Given('{string} knows the list of hosts only after {int} seconds', function (this: HostsWorld, name: string, seconds: number) {
  const { clock } = this.hosts.platform
  this.knownAtMs = clock.readMonotonic() + seconds * 1000
  this.hosts.startHost(name, false)
  clock.setTimer(() => this.hosts.sendHostList(name), seconds * 1000)
})

Then('the change is {string} after at least {int} seconds', function (this: HostsWorld, type: string, _seconds: number) {
  assert.deepEqual(this.results.map(result => result.type), [type])
  assert.ok(this.hosts.platform.clock.readMonotonic() >= this.knownAtMs)
})

Then('the change is {string}', function (this: HostsWorld, type: string) {
  assert.deepEqual(this.results.map(result => result.type), [type])
})

Then('the change is refused with {string}', function (this: HostsWorld, code: string) {
  const [result] = this.results
  assert.ok(result?.type === 'refused', JSON.stringify(result))
  assert.deepEqual(result.problems.map(problem => problem.code), [code])
})

Then('both changes are accepted', function (this: HostsWorld) {
  assert.deepEqual(this.results.map(result => result.type), ['accepted', 'accepted'])
})

Then('one change is accepted, and the other is shown the winner\'s record and version', function (this: HostsWorld) {
  const winner = this.results.find(result => result.type === 'accepted')
  const loser = this.results.find(result => result.type === 'conflict')
  assert.ok(winner && loser, JSON.stringify(this.results))
  assert.equal(loser.conflicts[0]!.version, winner.version)
  const ms = this.results.indexOf(winner) === 0 ? 1000 : 3000
  assert.deepEqual(loser.conflicts[0]!.record, createClass('counter', ms))
})

Then('after {int} seconds every host has the winner\'s class {string}', async function (this: HostsWorld, seconds: number, name: string) {
  await passSeconds(this, seconds)
  const ms = this.results[0]!.type === 'accepted' ? 1000 : 3000
  checkEveryHost(this, host => readClassMs(this, host, name), ms)
})

Then('after {int} seconds every host has class {string} at {int} ms',
  async function (this: HostsWorld, seconds: number, name: string, ms: number) {
    await passSeconds(this, seconds)
    checkEveryHost(this, host => readClassMs(this, host, name), ms)
  })

Then('some host has class {string} at {int} ms', function (this: HostsWorld, name: string, ms: number) {
  assert.ok(this.names.some(host => readClassMs(this, host, name) === ms))
})

Then('after {int} seconds every host has version {int}', async function (this: HostsWorld, seconds: number, version: number) {
  await passSeconds(this, seconds)
  checkEveryHost(this, host => this.hosts.hosts.get(host)!.task.view.version, version)
})

Then('after {int} seconds every host has {int} adapters', async function (this: HostsWorld, seconds: number, count: number) {
  await passSeconds(this, seconds)
  checkEveryHost(this, host => this.hosts.hosts.get(host)!.task.listVersioned('adapter', '', 10_000).length, count)
})

Then('after {int} seconds every host is current', async function (this: HostsWorld, seconds: number) {
  await passSeconds(this, seconds)
  const gateways = this.names.filter(name => name.startsWith('gateway'))
  for (const name of gateways) assert.ok(this.hosts.hosts.get(name)!.task.view.isCurrent(), name)
})

Then('after {int} seconds {string} takes no new work', async function (this: HostsWorld, seconds: number, name: string) {
  await passSeconds(this, seconds)
  assert.equal(this.hosts.hosts.get(name)!.task.view.isCurrent(), false)
})

Then('after {int} seconds {string} takes new work without class {string}',
  async function (this: HostsWorld, seconds: number, host: string, name: string) {
    await passSeconds(this, seconds)
    const { view } = this.hosts.hosts.get(host)!.task
    assert.ok(view.isCurrent())
    assert.equal(view.findClass(name), undefined)
  })

Then('after {int} seconds {string} has not started', async function (this: HostsWorld, seconds: number, name: string) {
  await passSeconds(this, seconds)
  assert.equal(this.hosts.hosts.get(name)!.task.view.isCurrent(), false)
})

Then('once {string} reaches all again, after {int} seconds every host has class {string} at {int} ms',
  async function (this: HostsWorld, host: string, seconds: number, name: string, ms: number) {
    this.hosts.hosts.get(host)!.faults.isTableDown = false
    this.hosts.setCut(host, false)
    await passSeconds(this, seconds)
    checkEveryHost(this, other => readClassMs(this, other, name), ms)
  })

Then('once the table is back, after {int} seconds every host has class {string} at {int} ms',
  async function (this: HostsWorld, seconds: number, name: string, ms: number) {
    this.hosts.platform.faults.isTableDown = false
    await passSeconds(this, seconds)
    checkEveryHost(this, host => readClassMs(this, host, name), ms)
  })

Then('once the table is back, after {int} seconds every host has {int} adapters',
  async function (this: HostsWorld, seconds: number, count: number) {
    this.hosts.platform.faults.isTableDown = false
    await passSeconds(this, seconds)
    checkEveryHost(this, host => this.hosts.hosts.get(host)!.task.listVersioned('adapter', '', 10_000).length, count)
  })

Then('the table holds at most {int} changes', async function (this: HostsWorld, count: number) {
  const rows = await this.hosts.platform.rows.listRows({ prefix: 'configuration/changes/', after: '', limit: 1000 })
  assert.ok(rows.length <= count, `${rows.length} changes`)
})

Given('every call of the table takes {int} ms', function (this: HostsWorld, ms: number) {
  for (const { faults } of this.hosts.hosts.values()) faults.delayMs = ms
})

When('{string} registers {int} adapters and is asked for its progress all the while', async function (this: HostsWorld, name: string, count: number) {
  const { clock } = this.hosts.platform
  const { task } = this.hosts.hosts.get(name)!
  this.progress = []
  const ask = (): void => {
    const progress = task.describeChange()
    if (progress) this.progress.push(progress)
    clock.setTimer(ask, 1)
  }
  ask()
  const counter = createClass('counter', 2000)
  await changeAtOnce(this, [[name, { puts: [counter, ...createAdapters(count - 1)] }]])
})

Then('the reported steps were {string}, with ever more of {int} records written', function (this: HostsWorld, steps: string, records: number) {
  const reportedSteps = this.progress.map(({ step }) => step)
  assert.deepEqual(reportedSteps.filter((step, index) => step !== reportedSteps[index - 1]), steps.split(', '))
  const written = this.progress.map(({ writtenRecords }) => writtenRecords)
  assert.deepEqual(written, [...written].sort((left, right) => left - right))
  assert.ok(new Set(written).size > 3, [...new Set(written)].join(', '))
  assert.ok(this.progress.every(progress => progress.records === records))
  assert.equal(written.at(-1), records)
})

Then('at the end {int} schedulers were reported as those that have to confirm', function (this: HostsWorld, count: number) {
  const { schedulers, confirmedSchedulers } = this.progress.at(-1)!
  assert.equal(schedulers, count)
  assert.ok(confirmedSchedulers <= count)
})

Then('no change is reported as in progress any longer', function (this: HostsWorld) {
  for (const { task } of this.hosts.hosts.values()) assert.equal(task.describeChange(), undefined)
})
