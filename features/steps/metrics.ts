/** Steps of metrics. */
import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { readFileSync } from 'node:fs'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import type { MetricTags } from '../../src/ports/metrics.js'
import { decisionKindSchema } from '../../src/schemas/decision.js'
import type { WaitCause } from '../../src/schemas/decision.js'
import type { EndpointState } from '../../src/schemas/operatorMessage.js'
import { DecisionStore } from '../../src/tasks/decisions/decisionStore.js'
import { MetricsTask } from '../../src/tasks/metrics/metricsTask.js'
import { exampleCallerKey, exampleOperatorKey } from '../../src/bin/exampleRecords.js'
import { hashKey } from '../../src/tasks/gateway/callerAccess.js'
import { createDecision } from '../support/decisions.js'
import { startBinary } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'
import type { SystemWorld } from '../support/world.js'

interface Line {
  name: string
  value: number
  tags: MetricTags
}

interface MetricsWorld extends SystemWorld {
  clock: VirtualClock
  store: DecisionStore
  task: MetricsTask
  endpoints: EndpointState[]
  lines: Line[]
  server: Socket
  serverText: string
  child: BinaryProcess | undefined
}

Given('a process that sends metrics', function (this: MetricsWorld) {
  this.clock = new VirtualClock()
  this.store = new DecisionStore({ hostId: 'host-1', clock: this.clock })
  this.endpoints = []
  this.lines = []
  const add = (name: string, value: number, tags: MetricTags): void => { this.lines.push({ name, value, tags }) }
  this.task = new MetricsTask({
    clock: this.clock,
    output: { sendCount: add, sendGauge: add, close: async () => {} },
    decisions: this.store,
    describeEndpoints: () => this.endpoints,
    getRunningRequestCount: () => 0
  })
  this.task.start()
})

function createEndpoint (className: string, running: number, batchLimit: number): EndpointState {
  const run = { requestId: 'req-1', attempt: 1, className, adapter: 'a', version: '1', handle: 'a@1#1.1', ageMs: 0 }
  return {
    endpointId: 'engine-1',
    host: 'host-1',
    zone: 'az-1',
    baseModel: 'base-1',
    presence: 'live',
    fencing: 1,
    isReady: true,
    slots: 8,
    batchLimit,
    loaded: [],
    loading: [],
    runningCount: running,
    running: [run],
    queues: [],
    expectedWaitMs: 0,
    expectedLoadMs: 0
  }
}

When('{int} requests of class {string} are dispatched after {int} ms for {string} and {int} ms for {string}',
  function (this: MetricsWorld, count: number, className: string, firstMs: number, first: WaitCause, secondMs: number, second: WaitCause) {
    const waits = [{ cause: first, ms: firstMs }, { cause: second, ms: secondMs }]
    for (let index = 0; index < count; index++) this.store.record(createDecision('dispatch', { requestId: `req-${index}`, className, waits }))
  })

When('its endpoint runs {int} of {int} requests of class {string} for {int} seconds and nothing for {int} seconds',
  async function (this: MetricsWorld, running: number, batchLimit: number, className: string, busySeconds: number, idleSeconds: number) {
    const endpoint = createEndpoint(className, running, batchLimit)
    this.endpoints = [endpoint]
    await this.clock.runUntilSettled(this.clock.readMonotonic() + busySeconds * 1000)
    this.endpoints = [{ ...endpoint, runningCount: 0, running: [] }]
    await this.clock.runUntilSettled(this.clock.readMonotonic() + idleSeconds * 1000 - 1)
  })

When('a decision of every kind is taken, input is refused and an endpoint has a queue', function (this: MetricsWorld) {
  const queue = { className: 'counter', target: 'finish within 1h', queued: 1, oldestMs: 5, dueInMs: 5 }
  this.endpoints = [{ ...createEndpoint('counter', 1, 16), queues: [queue] }]
  this.task.badInput.count('key_unknown')
  for (const { const: kind } of decisionKindSchema.anyOf) {
    this.store.record(createDecision(kind, { requestId: 'req-1', className: 'counter', waits: [{ cause: 'load', ms: 5 }] }))
  }
  this.store.record(createDecision('fail', { endpointId: 'engine-1' }))
})

When('a load fails', function (this: MetricsWorld) {
  this.store.record(createDecision('fail', { endpointId: 'engine-1', handle: 'a@1#1.1' }))
})

When('the metrics of {int} seconds are sent', async function (this: MetricsWorld, seconds: number) {
  await this.clock.runUntilSettled(this.clock.readMonotonic() + seconds * 1000)
})

function findLine (lines: Line[], name: string, tags: MetricTags): Line {
  const found = lines.find(line => line.name === name && Object.entries(tags).every(([tag, value]) => line.tags[tag] === value))
  assert.ok(found, `${name} is not among ${lines.map(line => line.name).join(', ')}`)
  return found
}

Then('metric {string} is {float}', function (this: MetricsWorld, name: string, value: number) {
  assert.equal(findLine(this.lines, name, {}).value, value)
})

Then('metric {string} of class {string} is {float}', function (this: MetricsWorld, name: string, className: string, value: number) {
  assert.equal(findLine(this.lines, name, { class: className }).value, value)
})

Then('metric {string} of class {string} and cause {string} is {int}',
  function (this: MetricsWorld, name: string, className: string, cause: string, value: number) {
    assert.equal(findLine(this.lines, name, { class: className, cause }).value, value)
  })

Then('metric {string} of class {string} and cause {string} is within {int} of {int}',
  function (this: MetricsWorld, name: string, className: string, cause: string, margin: number, value: number) {
    assert.ok(Math.abs(findLine(this.lines, name, { class: className, cause }).value - value) <= margin)
  })

Then('at most {int} lines were sent', function (this: MetricsWorld, count: number) {
  assert.ok(this.lines.length <= count, String(this.lines.length))
})

Then('the page on metrics names each of them', function (this: MetricsWorld) {
  const page = readFileSync('docs/operations/metrics.md', 'utf8')
  for (const { name } of this.lines) {
    const base = name.replace(/\.(count|sum_ms|p\d+_ms)$/, '')
    assert.ok(page.includes(`\`${base}\``), `the page lacks "${base}"`)
  }
})

Then('the names sent are those that the page on metrics lists', function (this: MetricsWorld) {
  const page = readFileSync('docs/operations/metrics.md', 'utf8')
  const firstCells = page.split('\n').flatMap(line => /^\| (`[^|]*) \|/.exec(line)?.[1] ?? [])
  const listed = firstCells.flatMap(cell => [...cell.matchAll(/`([^`]+)`/g)].map(match => match[1]!))
  const sent = this.lines.map(({ name }) => name.replace(/\.(count|sum_ms|p\d+_ms)$/, ''))
  assert.deepEqual([...new Set(sent)].sort(), listed.sort())
})

Given('a StatsD server and a system that sends to it', async function (this: MetricsWorld) {
  this.serverText = ''
  this.server = createSocket('udp4')
  this.server.on('message', message => { this.serverText += `${message}\n` })
  await new Promise<void>(resolve => this.server.bind(0, '127.0.0.1', resolve))
  await this.start({ engines: 1, statsd: `127.0.0.1:${this.server.address().port}` })
})

When('the system is stopped', async function (this: MetricsWorld) {
  await this.playground!.stop()
  this.playground = undefined
})

Then('the server has got {string} with the tags of a {word}', async function (this: MetricsWorld, text: string, role: string) {
  await waitUntil(() => this.serverText.split('\n').some(line =>
    line.startsWith(text) && line.includes(`host:${role}-1`) && line.includes('zone:az-1') && line.includes(`role:${role}`)))
})

Given('the quick start runs in a process of its own', async function (this: MetricsWorld) {
  this.child = startBinary('quickstart', { SEDGEVALVE_CALLERS_PORT: '0', SEDGEVALVE_OPERATORS_PORT: '0', DEBUG: 'none' })
  await waitUntil(() => this.child!.output.includes('Ctrl-C'))
})

When('the process gets SIGUSR2', function (this: MetricsWorld) {
  this.child!.errors = ''
  this.child!.process.kill('SIGUSR2')
})

Then('its standard error holds a line of JSON with every task and none of the keys', async function (this: MetricsWorld) {
  const child = this.child!
  await waitUntil(() => child.errors.endsWith('\n'))
  const { gateway, scheduler } = JSON.parse(child.errors) as Record<string, Record<string, unknown>>
  for (const name of ['role', 'memoryMebibytes', 'configuration', 'decisions', 'badInput']) {
    assert.ok(name in gateway! && name in scheduler!, `the dump lacks "${name}"`)
  }
  assert.ok('gateway' in gateway! && 'operators' in gateway && 'scheduler' in scheduler!)
  for (const secret of [exampleCallerKey, exampleOperatorKey, hashKey(exampleCallerKey), hashKey(exampleOperatorKey), 'quick-start-peer-key']) {
    assert.ok(!child.errors.includes(secret), `the dump holds "${secret}"`)
  }
})

After(async function (this: MetricsWorld) {
  await this.child?.stop()
  this.server?.close()
})
