/** Steps for a host's settings and command line. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { encodeHostSettings, readHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import type { HostSettings } from '../../src/schemas/hostSettings.js'
import { createBuildFolder } from '../support/buildFolder.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { startBinary } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'

interface SettingsWorld extends HostsWorld {
  startedHost: BinaryProcess
  settingsFolder: string
  settingsFields: Record<string, unknown>
  programExitCode: number | null
  programOutput: string
}

/** What a shell does so that a host cannot write to stderr. */
const stderrPreludes: Readonly<Record<string, string>> = Object.freeze({ 'is on a full disk': 'exec 2> /dev/full', 'has no reader': 'exec 2> >(exec true); wait $!' })
/** A process that an error ends has ended after this time. */
const settleMs = 500
/** The build takes about 8 s, and longer on a busy machine. */
const buildTimeoutMs = 60_000

/** The fields that a host reads, with the values in the platform's documentation. */
const publishedFields = {
  nodeName: 'frontend-sala-unu-1',
  role: 'host',
  ipAddress: '10.1.0.38',
  zone: 'sala-unu',
  listenAddresses: { frontend: '10.1.0.38:8149', ready: '10.1.0.38:8141', controlPlane: '10.1.0.38:8144' },
  internalPortRange: [7380, 7395],
  seedNodes: ['10.1.0.38:8144', '10.2.0.40:8144'],
  limits: { cpuShare: 0.675, memoryMb: 350, fileDescriptors: 4100 },
  heartbeatIntervalMs: 1200,
  bounds: {
    drainMs: 2000, gracePeriodS: 8, configApplyMs: 2000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 58, leaseMs: 3000, passMs: 120, version_ms: 5000
  },
  platform: { address: '10.200.1.7:8142' }
}

function writeSettings (world: SettingsWorld, text: string): void {
  world.settingsFolder ??= mkdtempSync(join(tmpdir(), 'sedgevalve-settings-'))
  writeFileSync(getSettingsPath(world), text)
}

/** Option of Node.js for a module that runs a statement after the process has first read, or failed to read, the file. */
function formatFirstReadModule (file: string, statement: string): string {
  const source = `import fs from 'node:fs'
import { syncBuiltinESMExports } from 'node:module'
const { readFileSync, writeFileSync } = fs
fs.readFileSync = function (path, ...args) {
  if (path !== ${JSON.stringify(file)}) return readFileSync.call(this, path, ...args)
  fs.readFileSync = readFileSync
  syncBuiltinESMExports()
  try {
    return readFileSync.call(this, path, ...args)
  } finally {
    ${statement}
  }
}
syncBuiltinESMExports()`
  return `--import data:text/javascript,${encodeURIComponent(source)}`
}

/** Starts a host with a file that is not whole yet, or does not exist if there is no text; the statement runs after the first read. */
function startWithFile (world: SettingsWorld, text: string | undefined, createStatement: (file: string) => string, prelude = ''): void {
  world.settingsFolder = mkdtempSync(join(tmpdir(), 'sedgevalve-settings-'))
  const file = getSettingsPath(world)
  if (text !== undefined) writeFileSync(file, text)
  world.startedHost = startBinary('host', { [settingsFileVariable]: file, NODE_OPTIONS: formatFirstReadModule(file, createStatement(file)) }, [], prelude)
}

async function checkEnd ({ startedHost }: SettingsWorld, code = 0): Promise<void> {
  const { process: child } = startedHost
  if (child.exitCode === null && child.signalCode === null) await once(child, 'exit')
  assert.deepEqual({ code: child.exitCode, signal: child.signalCode }, { code, signal: null }, startedHost.errors)
}

function getSettingsPath (world: SettingsWorld): string {
  return join(world.settingsFolder, 'settings.json')
}

function readSettings (world: SettingsWorld): HostSettings {
  return readHostSettings(getSettingsPath(world))
}

After(function (this: SettingsWorld) {
  this.startedHost?.process.kill('SIGKILL')
  if (this.settingsFolder !== undefined) rmSync(this.settingsFolder, { recursive: true })
})

Given('the settings file of a published site', function (this: SettingsWorld) {
  this.settingsFields = { ...publishedFields }
  writeSettings(this, JSON.stringify(this.settingsFields))
})

Given('the field {string} is {string}', function (this: SettingsWorld, field: string, value: string) {
  // An empty value means that the field is missing.
  this.settingsFields[field] = value === '' ? undefined : value
  writeSettings(this, JSON.stringify(this.settingsFields))
})

Given('a settings file that is truncated in the middle', function (this: SettingsWorld) {
  const text = JSON.stringify(publishedFields)
  writeSettings(this, text.slice(0, text.length / 2))
})

Then('the host is {string} in {string} with callers at {string}', function (this: SettingsWorld, host: string, zone: string, address: string) {
  const settings = readSettings(this)
  assert.deepEqual([settings.hostName, settings.zone, settings.callersAddress], [host, zone, address])
})

Then('its retry budget is {float} of the requests plus {int} in {int} ms', function (this: SettingsWorld, ratio: number, extra: number, windowMs: number) {
  const { retryShare, retryExtra, retryWindowMs } = readSettings(this)
  assert.deepEqual([retryShare, retryExtra, retryWindowMs], [ratio, extra, windowMs])
})

Then('the settings are rejected with {string}', function (this: SettingsWorld, reason: string) {
  assert.throws(() => readSettings(this), (error: Error) => error.message.includes(reason))
})

When('the host\'s program is run with {string}', function (this: SettingsWorld, args: string) {
  const { status, stdout, stderr } = spawnSync(process.execPath, ['dist/src/bin/host.js', ...args.split(' ')], { encoding: 'utf8' })
  this.programExitCode = status
  this.programOutput = stdout + stderr
})

When('the host\'s program is run with that file', function (this: SettingsWorld) {
  const { status, stdout, stderr } = spawnSync(process.execPath, ['dist/src/bin/host.js'], { encoding: 'utf8', env: { ...process.env, [settingsFileVariable]: getSettingsPath(this) } })
  this.programExitCode = status
  this.programOutput = stdout + stderr
})

Given('a settings file that does not exist', function (this: SettingsWorld) {
  this.settingsFolder = mkdtempSync(join(tmpdir(), 'sedgevalve-settings-'))
})

Then('the program exits with code {int} and prints {string}', function (this: SettingsWorld, code: number, text: string) {
  assert.equal(this.programExitCode, code, this.programOutput)
  assert.ok(this.programOutput.includes(text), this.programOutput)
})

When('the host\'s program is built', { timeout: buildTimeoutMs }, function (this: SettingsWorld) {
  const folder = createBuildFolder()
  const { status, stdout, stderr } = spawnSync(process.execPath, ['deploy/buildHost.mjs', folder], { encoding: 'utf8' })
  rmSync(folder, { recursive: true })
  this.programExitCode = status
  this.programOutput = stdout + stderr
})

When(/^the host's program is built, and run with "([^"]*)" and a stderr that (is on a full disk|has no reader), without its compiled code$/, { timeout: buildTimeoutMs }, function (this: SettingsWorld, argument: string, stderr: string) {
  const folder = createBuildFolder()
  spawnSync(process.execPath, ['deploy/buildHost.mjs', folder])
  rmSync(join(folder, 'host', 'bundle.cache'))
  const { status, stdout } = spawnSync('bash', ['-c', `${stderrPreludes[stderr]}; exec "$0" "$@"`, process.execPath, join(folder, 'sedgevalve-host.cjs'), argument], { encoding: 'utf8' })
  rmSync(folder, { recursive: true })
  this.programExitCode = status
  this.programOutput = stdout
})

Then('the build reports no failed warm-up', function (this: SettingsWorld) {
  assert.equal(this.programExitCode, 0, this.programOutput)
  assert.ok(!this.programOutput.includes('failed'), this.programOutput)
})

Then('the program contains more compiled code than startup needs', function (this: SettingsWorld) {
  const [, startupBytes, totalBytes] = /(\d+) bytes for a start, (\d+) with/.exec(this.programOutput)!.map(Number)
  assert.ok(totalBytes! > startupBytes!, this.programOutput)
})

Given(/^a host whose settings file (does not exist|is empty|is truncated in the middle) when it is first read, and is whole from then on$/, async function (this: SettingsWorld, state: string) {
  this.hostFleet = await HostFleet.prepare(1, { engines: 2 })
  const whole = encodeHostSettings(this.hostFleet.hosts[0]!.settings)
  const text = { 'does not exist': undefined, 'is empty': '', 'is truncated in the middle': whole.slice(0, whole.length / 2) }[state]
  startWithFile(this, text, file => `writeFileSync(${JSON.stringify(file)}, ${JSON.stringify(whole)})`)
})

Given(/^a host whose stderr (is on a full disk|has no reader), and whose settings file (exists|does not exist) when it is first read$/, async function (this: SettingsWorld, stderr: string, state: string) {
  this.hostFleet = await HostFleet.prepare(1, { engines: 2 })
  const whole = encodeHostSettings(this.hostFleet.hosts[0]!.settings)
  startWithFile(this, state === 'exists' ? whole : undefined, file => `writeFileSync(${JSON.stringify(file)}, ${JSON.stringify(whole)})`, stderrPreludes[stderr]!)
})

Given(/^a host whose stderr (is on a full disk|has no reader), and whose settings file is wrong$/, function (this: SettingsWorld, stderr: string) {
  startWithFile(this, '{}', () => '', stderrPreludes[stderr]!)
})

When('the host has started, and gets SIGUSR2', async function (this: SettingsWorld) {
  await waitUntil(() => this.startedHost.output.includes('host.started'))
  this.startedHost.process.kill('SIGUSR2')
  await sleep(settleMs)
})

Then('the host\'s program ends with code {int}', async function (this: SettingsWorld, code: number) {
  await checkEnd(this, code)
})

Given('a host whose settings file does not exist, and which gets SIGTERM when it has read it', function (this: SettingsWorld) {
  startWithFile(this, undefined, () => 'process.kill(process.pid, \'SIGTERM\')')
})

Then('the host starts, and ends with code 0 at SIGTERM', async function (this: SettingsWorld) {
  const { process: child } = this.startedHost
  await waitUntil(() => this.startedHost.output.includes('host.started') || child.exitCode !== null)
  child.kill('SIGTERM')
  await checkEnd(this)
})
