/** Steps of errors that nothing catches. */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { findMetricsPort } from '../../src/standin/fleet/hostSettings.js'
import { RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer } from '../../src/standin/fleet/rawCaller.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { formatGateway, startProcesses } from '../support/processes.js'
import type { ProcessSystem } from '../support/processes.js'
import { startBinary, writeSettings } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { hostsBasePort } from '../support/testPorts.js'
import { waitUntil } from '../support/waitUntil.js'
import { formatCompletion, readAnswers } from './gatewayStops.js'

interface UncaughtWorld extends HostsWorld {
  failingProcess: BinaryProcess
  failure: string
  rawAnswers: RawAnswer[]
  metrics: string
  processes: ProcessSystem
  received: string
  program: { code: unknown, errors: string, tookMs: number }
}

/** What a process does as it gets the request: the host serves it for 20 ms. */
const failures: Readonly<Record<string, string>> = Object.freeze({
  'a timer throws': 'setTimeout(fail, 1)',
  'a promise is rejected': 'setTimeout(async () => fail(), 1)',
  'timers throw twice': 'setTimeout(fail, 1); setTimeout(fail, 2)',
  'a timer throws a long text': 'setTimeout(() => fail("x".repeat(10_000)), 1)',
  'timers go on throwing': 'setInterval(fail, 20)'
})
const graceMs = 8000
const processExit = new URL('../../src/bin/processExit.js', import.meta.url)

/** Option of Node.js for a module that fails when the process gets a request of this path. */
function formatFailure (path: string, failure: string): string {
  const source = `import { Server } from 'node:http'
const { emit } = Server.prototype
const fail = (more = '') => { throw new Error('a callback failed' + more) }
Server.prototype.emit = function (name, ...args) {
  if (name === 'request' && args[0].url.startsWith(${JSON.stringify(path)})) { ${failure} }
  return emit.call(this, name, ...args)
}`
  return `--import data:text/javascript,${encodeURIComponent(source)}`
}

After(async function (this: Partial<UncaughtWorld>) {
  this.failingProcess?.process.kill('SIGKILL')
  if (this.failingProcess) await this.processes?.stop()
})

async function waitForEnd (world: UncaughtWorld): Promise<void> {
  await waitUntil(() => world.failingProcess.process.exitCode !== null || world.failingProcess.process.signalCode !== null)
}

Given(/^a host process in which (.+) while it serves a plain request$/, { timeout: 30_000 }, async function (this: UncaughtWorld, what: string) {
  this.failure = what
  this.hostFleet = await HostFleet.prepare(1, { engines: 1, services: 1 })
  const { settings } = this.hostFleet.hosts[0]!
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'host.json')
  writeFileSync(file, encodeHostSettings({ ...settings, shutdownMs: graceMs }))
  const environment = { [settingsFileVariable]: file, NODE_OPTIONS: formatFailure('/once/', failures[what]!) }
  this.failingProcess = startBinary('host', environment, ['--metrics', String(findMetricsPort(hostsBasePort))])
  await waitUntil(async () => await fetch(`http://${settings.readinessAddress}/`).then(({ status }) => status === 200, () => false))
})

When('a caller reads a stream, and another one sends that plain request', { timeout: 30_000 }, async function (this: UncaughtWorld) {
  const { settings } = this.hostFleet.hosts[0]!
  const [reader, sender] = [await RawCaller.open(settings.callersAddress), await RawCaller.open(settings.callersAddress)]
  const streamed = reader.send([{ kind: 'stream' }])
  await waitUntil(() => reader.isReadingAnswer)
  const answered = sender.send([{ kind: 'once' }])
  await waitUntil(() => this.failingProcess.output.includes('"kind":"process.failed"'))
  this.metrics = await fetch(`http://${settings.address}:${findMetricsPort(hostsBasePort)}/metrics`).then(async response => await response.text(), error => String(error))
  this.rawAnswers = [...await streamed, ...await answered]
})

Then('both answers are whole, and the metrics of the host that stops count {int} uncaught errors', function (this: UncaughtWorld, count: number) {
  assert.deepEqual(this.rawAnswers.map(isWhole), [true, true], JSON.stringify(this.rawAnswers))
  assert.match(this.metrics, new RegExp(`^sedgevalve_events_total\\{kind="process.failed"\\} ${count}$`, 'm'))
})

Then('the host ends with code 1 within its grace, and its lines name {int} errors and their stacks before its stop', async function (this: UncaughtWorld, count: number) {
  await waitForEnd(this)
  assert.equal(this.failingProcess.process.exitCode, 1)
  const lines = this.failingProcess.output.trimEnd().split('\n').map(line => JSON.parse(line) as Record<string, string>)
  const failed = lines.filter(({ kind }) => kind === 'process.failed')
  assert.equal(failed.length, count)
  for (const { error, stack, origin } of failed) {
    assert.equal(error, this.failure.includes('long') ? `a callback failed${'x'.repeat(483)}` : 'a callback failed')
    assert.match(stack!, this.failure.includes('long') ? /^Error: a callback failedx+$/ : /^Error: a callback failed\n +at /)
    assert.equal(origin, this.failure.includes('promise') ? 'unhandledRejection' : 'uncaughtException')
  }
  assert.ok(Number(lines.find(({ kind }) => kind === 'host.stopped')?.upMs) - Number(failed[0]!.upMs) <= graceMs)
  const kinds = lines.map(({ kind }) => kind)
  const positions = ['process.failed', 'host.stopping', 'host.stopped'].map(kind => kinds.indexOf(kind))
  assert.ok(positions[0]! >= 0 && positions[0]! < positions[1]! && positions[1]! < positions[2]!, kinds.join(' '))
})

Then('no line that it wrote has more than {int} characters', function (this: UncaughtWorld, most: number) {
  const { output, errors } = this.failingProcess
  assert.ok(`${output}\n${errors}`.split('\n').every(({ length }) => length <= most))
})

Then('the host ends with code 1 before it has stopped, after {int} errors', async function (this: UncaughtWorld, count: number) {
  await waitForEnd(this)
  const { output, process: child } = this.failingProcess
  assert.deepEqual([child.exitCode, output.match(/"kind":"process.failed"/g)?.length, output.includes('host.stopped')], [1, count, false])
})

Given('a gateway process in which a timer throws while a completion runs', { timeout: 30_000 }, async function (this: UncaughtWorld) {
  this.processes = await startProcesses({ engines: 1, schedulers: 1, gateways: 0 })
  this.failingProcess = startBinary('gateway', { DEBUG: '', NODE_OPTIONS: formatFailure('/v1/', failures['a timer throws']!) }, [writeSettings(formatGateway(1, this.processes.platform))])
  await waitUntil(() => /takes callers on port \d+\./.test(this.failingProcess.errors))
})

When('a caller sends that completion', async function (this: UncaughtWorld) {
  const port = Number(/takes callers on port (\d+)\./.exec(this.failingProcess.errors)![1])
  const socket = connect({ host: '127.0.0.1', port })
  this.received = ''
  socket.setEncoding('latin1').on('error', () => {}).on('data', chunk => { this.received += String(chunk) })
  socket.write(formatCompletion(false))
  await new Promise<void>(resolve => socket.on('close', () => resolve()))
})

Then('the answer is whole, and the gateway ends with code 1 and one line of stderr that names the error', async function (this: UncaughtWorld) {
  await waitForEnd(this)
  assert.deepEqual(readAnswers(this.received).map(({ status, isWhole }) => [status, isWhole]), [[200, true]])
  const lines = this.failingProcess.errors.split('\n').filter(line => line.includes('a callback failed'))
  assert.deepEqual([this.failingProcess.process.exitCode, lines.length], [1, 1], this.failingProcess.errors)
  assert.match(lines[0]!, /^uncaught error: Error: a callback failed at .{1,4000}$/)
})

/** Programs by what they do; `start` sees `fail`, which throws. */
const programs: Readonly<Record<string, string>> = Object.freeze({
  'that throws before it has started': 'setTimeout(fail, 50); await sleep(60_000)',
  'that throws': 'setTimeout(fail, 50)',
  'that throws and gets SIGTERM': 'setTimeout(fail, 50); setTimeout(() => process.kill(process.pid, "SIGTERM"), 500)',
  'that throws and gets SIGINT': 'setTimeout(fail, 50); setTimeout(() => process.kill(process.pid, "SIGINT"), 200)',
  'that throws an unreadable error': 'setTimeout(() => { throw Object.defineProperty(new Error(), "message", { get: fail }) }, 50)'
})

Given(/^a program (that throws.*), with (\d+) ms for its stop, which has no end$/, { timeout: 30_000 }, async function (this: UncaughtWorld, what: string, stopMs: string) {
  const source = `import { exitWithError, runUntilStopped } from ${JSON.stringify(processExit.href)}
let failedAtMs
const fail = () => {
  failedAtMs ??= performance.now()
  throw new Error('a callback failed')
}
const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))
const start = async () => {
  ${programs[what]!}
  return { maxStopMs: ${stopMs}, stop: async () => await sleep(60_000) }
}
process.on('exit', () => process.stdout.write(String(performance.now() - failedAtMs)))
runUntilStopped(start).catch(error => exitWithError('trial', error))`
  this.program = await new Promise(resolve => {
    execFile(process.execPath, ['--input-type=module', '-e', source], { timeout: 25_000 }, (error, output, errors) => resolve({ code: error?.code ?? 0, errors, tookMs: Number(output) }))
  })
})

Then(/^the program ends with code 1 (at once|after 2000 ms), and its only line is of the error$/, function (this: UncaughtWorld, when: string) {
  const { tookMs, errors, code } = this.program
  assert.equal(code, 1, errors)
  assert.match(errors, /^uncaught error: (Error: a callback failed at|a value that cannot be described) [^\n]+\n$/)
  const [least, most] = when === 'at once' ? [0, 1500] : [1990, 5000]
  assert.ok(tookMs >= least && tookMs <= most, `${tookMs} ms`)
})
