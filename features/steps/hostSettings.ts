/** Steps of a host's settings and command line. */
import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { readHostSettings } from '../../src/platform/hostSettings.js'
import type { HostSettings } from '../../src/schemas/hostSettings.js'
import type { SystemWorld } from '../support/world.js'

interface SettingsWorld extends SystemWorld {
  settingsFolder: string
  settingsFields: Record<string, unknown>
  programCode: number | null
  programText: string
}

/** The build takes some 8 s, and longer on a busy machine. */
const buildTimeoutMs = 60_000

/** The fields that a host reads, as the platform's pages show them. */
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
  writeFileSync(findFile(world), text)
}

function findFile (world: SettingsWorld): string {
  return join(world.settingsFolder, 'settings.json')
}

function readSettings (world: SettingsWorld): HostSettings {
  return readHostSettings(findFile(world))
}

After(function (this: SettingsWorld) {
  if (this.settingsFolder !== undefined) rmSync(this.settingsFolder, { recursive: true })
})

Given('the settings file of a published site', function (this: SettingsWorld) {
  this.settingsFields = { ...publishedFields }
  writeSettings(this, JSON.stringify(this.settingsFields))
})

Given('the field {string} is {string}', function (this: SettingsWorld, field: string, value: string) {
  // An empty value stands for a field that is missing.
  this.settingsFields[field] = value === '' ? undefined : value
  writeSettings(this, JSON.stringify(this.settingsFields))
})

Given('a settings file that is cut off in the middle', function (this: SettingsWorld) {
  const text = JSON.stringify(publishedFields)
  writeSettings(this, text.slice(0, text.length / 2))
})

Then('the host is {string} in {string} with callers at {string}', function (this: SettingsWorld, host: string, zone: string, address: string) {
  const settings = readSettings(this)
  assert.deepEqual([settings.hostName, settings.zone, settings.callersAddress], [host, zone, address])
})

Then('its retry budget is {float} of the requests and {int} more in {int} ms', function (this: SettingsWorld, share: number, extra: number, windowMs: number) {
  const { retryShare, retryExtra, retryWindowMs } = readSettings(this)
  assert.deepEqual([retryShare, retryExtra, retryWindowMs], [share, extra, windowMs])
})

Then('the settings are refused with {string}', function (this: SettingsWorld, note: string) {
  assert.throws(() => readSettings(this), (error: Error) => error.message.includes(note))
})

When('the host\'s program is started with {string}', function (this: SettingsWorld, words: string) {
  const { status, stdout, stderr } = spawnSync(process.execPath, ['dist/src/bin/host.js', ...words.split(' ')], { encoding: 'utf8' })
  this.programCode = status
  this.programText = stdout + stderr
})

Then('the program ends with code {int} and prints {string}', function (this: SettingsWorld, code: number, text: string) {
  assert.equal(this.programCode, code, this.programText)
  assert.ok(this.programText.includes(text), this.programText)
})

When('the host\'s program is built', { timeout: buildTimeoutMs }, function (this: SettingsWorld) {
  const { status, stdout, stderr } = spawnSync(process.execPath, ['deploy/buildHost.mjs'], { encoding: 'utf8' })
  this.programCode = status
  this.programText = stdout + stderr
})

Then('the build says nothing of a warm-up that failed', function (this: SettingsWorld) {
  assert.equal(this.programCode, 0, this.programText)
  assert.ok(!this.programText.includes('failed'), this.programText)
})

Then('the program holds more compiled code than a start needs', function (this: SettingsWorld) {
  const [, startBytes, wholeBytes] = /(\d+) bytes for a start, (\d+) with/.exec(this.programText)!.map(Number)
  assert.ok(wholeBytes! > startBytes!, this.programText)
})
