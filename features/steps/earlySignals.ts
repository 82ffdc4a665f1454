/** Steps for signals that a process gets while it starts. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then } from '@cucumber/cucumber'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { startBinary } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'

interface EarlySignalsWorld extends HostsWorld {
  startedProgram: BinaryProcess
}

/** Option of Node.js for a module that sends the process signals as it begins to listen. */
function formatSignalModule (signals: readonly string[]): string {
  const source = `import { Server } from 'node:net'
const { listen } = Server.prototype
Server.prototype.listen = function (...args) {
  Server.prototype.listen = listen
  for (const signal of ${JSON.stringify(signals)}) process.kill(process.pid, signal)
  return listen.apply(this, args)
}`
  return `--import data:text/javascript,${encodeURIComponent(source)}`
}

/** Writes the settings of a host before a stand-in platform, and returns the path of the file. */
async function writeHostSettings (world: HostsWorld): Promise<string> {
  world.hostFleet = await HostFleet.prepare(1, { engines: 2 })
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'host.json')
  writeFileSync(file, encodeHostSettings(world.hostFleet.hosts[0]!.settings))
  return file
}

After(function (this: EarlySignalsWorld) {
  this.startedProgram?.process.kill('SIGKILL')
})

Given(/^the (host|quickstart) gets (.+) when it opens its first port$/, async function (this: EarlySignalsWorld, program: string, signals: string) {
  const settings: Record<string, string> = program === 'host' ? { [settingsFileVariable]: await writeHostSettings(this) } : { SEDGEVALVE_CALLERS_PORT: '0', SEDGEVALVE_OPERATORS_PORT: '0' }
  this.startedProgram = startBinary(program, { ...settings, NODE_OPTIONS: formatSignalModule(signals.split(', ')) })
})

Then('it ends with code {int}', async function (this: EarlySignalsWorld, code: number) {
  const { process: child, errors } = this.startedProgram
  if (child.exitCode === null && child.signalCode === null) await once(child, 'exit')
  assert.deepEqual({ code: child.exitCode, signal: child.signalCode }, { code, signal: null }, errors)
})

Then('it goes on, and reports that its settings file has changed', async function (this: EarlySignalsWorld) {
  const { process: child } = this.startedProgram
  await waitUntil(() => this.startedProgram.output.includes('settings.reloaded') || child.signalCode !== null)
  assert.equal(child.signalCode, null)
})
