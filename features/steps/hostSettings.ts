/** Steps for a host's settings and command line. */
import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { readHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import type { HostSettings } from '../../src/schemas/hostSettings.js'
import { createBuildFolder } from '../support/buildFolder.js'
import type { SystemWorld } from '../support/world.js'

interface SettingsWorld extends SystemWorld {
  settingsFolder: string
  settingsFields: Record<string, unknown>
  programExitCode: number | null
  programOutput: string
}

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

function getSettingsPath (world: SettingsWorld): string {
  return join(world.settingsFolder, 'settings.json')
}

function readSettings (world: SettingsWorld): HostSettings {
  return readHostSettings(getSettingsPath(world))
}

After(function (this: SettingsWorld) {
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

Then('the build reports no failed warm-up', function (this: SettingsWorld) {
  assert.equal(this.programExitCode, 0, this.programOutput)
  assert.ok(!this.programOutput.includes('failed'), this.programOutput)
})

Then('the program contains more compiled code than startup needs', function (this: SettingsWorld) {
  const [, startupBytes, totalBytes] = /(\d+) bytes for a start, (\d+) with/.exec(this.programOutput)!.map(Number)
  assert.ok(totalBytes! > startupBytes!, this.programOutput)
})
