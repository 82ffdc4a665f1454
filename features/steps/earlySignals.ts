/** Steps for signals that a process gets while it starts. */
import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { once } from 'node:events'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then } from '@cucumber/cucumber'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import { createBuildFolder } from '../support/buildFolder.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { formatGateway, formatScheduler, formatStandin, startProcesses } from '../support/processes.js'
import { startBinary, startProgram, writeSettings } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'

interface EarlySignalsWorld extends HostsWorld {
  startedProgram: BinaryProcess
  startedHosts: BinaryProcess[]
  portHolder: Socket
  buildFolder: string
  stopProcesses: () => Promise<void>
}

const buildTimeoutMs = 120_000
/** Time in which a signal that a thread has sent to its process takes effect. */
const deliveryMs = 50

/** Option of Node.js for a module that sends the process signals as it begins to listen. */
function formatSignalModule (signals: readonly string[]): string {
  const source = `import { Server } from 'node:net'
const { listen } = Server.prototype
Server.prototype.listen = function (...args) {
  Server.prototype.listen = listen
  for (const signal of ${JSON.stringify(signals)}) process.kill(process.pid, signal)
  return listen.apply(this, args)
}`
  return formatImport(source)
}

/** Option of Node.js for a module that sends the process signals as the loader of the deployed host reads the bundle. */
function formatBundleSignalModule (signals: readonly string[]): string {
  const source = `import fs from 'node:fs'
const { readFileSync } = fs
fs.readFileSync = function (path, ...args) {
  if (String(path).endsWith('bundle.js')) for (const signal of ${JSON.stringify(signals)}) process.kill(process.pid, signal)
  return readFileSync.call(this, path, ...args)
}`
  return formatImport(source)
}

/** Option of Node.js for a module that sends the process signals as it looks for the module that handles signals. */
function formatLoadSignalModule (signals: readonly string[]): string {
  const hooks = `let isSent = false
export async function resolve (specifier, context, next) {
  if (!isSent && specifier.endsWith('/processExit.js')) {
    isSent = true
    for (const signal of ${JSON.stringify(signals)}) process.kill(process.pid, signal)
    await new Promise(resolve => setTimeout(resolve, ${deliveryMs}))
  }
  return await next(specifier, context)
}`
  return formatImport(`import { register } from 'node:module'
register(${JSON.stringify(`data:text/javascript,${encodeURIComponent(hooks)}`)})`)
}

function formatImport (source: string): string {
  return `--import data:text/javascript,${encodeURIComponent(source)}`
}

/** Writes the settings of a host before a stand-in platform, and returns the path of the file. */
async function writeHostSettings (world: HostsWorld): Promise<string> {
  return (await writeSettingsOfHosts(world, 1))[0]!
}

async function writeSettingsOfHosts (world: HostsWorld, count: number): Promise<string[]> {
  world.hostFleet = await HostFleet.prepare(count, { engines: 2 })
  return world.hostFleet.hosts.map(({ settings }) => {
    const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'host.json')
    writeFileSync(file, encodeHostSettings(settings))
    return file
  })
}

After(async function (this: Partial<EarlySignalsWorld>) {
  this.startedProgram?.process.kill('SIGKILL')
  for (const { process: child } of this.startedHosts ?? []) child.kill('SIGKILL')
  this.portHolder?.close()
  await this.stopProcesses?.()
  if (this.buildFolder !== undefined) rmSync(this.buildFolder, { recursive: true })
})

Given(/^the (host|quickstart) gets (.+) when it opens its first port$/, async function (this: EarlySignalsWorld, program: string, signals: string) {
  const settings: Record<string, string> = program === 'host' ? { [settingsFileVariable]: await writeHostSettings(this) } : { SEDGEVALVE_CALLERS_PORT: '0', SEDGEVALVE_OPERATORS_PORT: '0' }
  this.startedProgram = startBinary(program, { ...settings, NODE_OPTIONS: formatSignalModule(signals.split(', ')) })
})

Given(/^the deployed host gets (.+) when it loads its modules$/, { timeout: buildTimeoutMs }, async function (this: EarlySignalsWorld, signals: string) {
  this.buildFolder = createBuildFolder()
  const { status, stderr } = spawnSync(process.execPath, ['deploy/buildHost.mjs', this.buildFolder], { encoding: 'utf8' })
  assert.equal(status, 0, stderr)
  this.startedProgram = startProgram(join(this.buildFolder, 'sedgevalve-host.cjs'), { [settingsFileVariable]: await writeHostSettings(this), NODE_OPTIONS: formatBundleSignalModule(signals.split(', ')) })
})

Given(/^the (host|gateway|scheduler|standin|quickstart) gets (.+) when it loads its modules$/, async function (this: EarlySignalsWorld, program: string, signals: string) {
  const options = { NODE_OPTIONS: formatLoadSignalModule(signals.split(', ')) }
  if (program === 'host') {
    this.startedProgram = startBinary(program, { ...options, [settingsFileVariable]: await writeHostSettings(this) })
  } else if (program === 'quickstart') {
    this.startedProgram = startBinary(program, { ...options, SEDGEVALVE_CALLERS_PORT: '0', SEDGEVALVE_OPERATORS_PORT: '0' })
  } else {
    const { platform, stop } = await startProcesses({ engines: 1, schedulers: 0, gateways: 0 })
    this.stopProcesses = stop
    const settings = { gateway: formatGateway(1, platform), scheduler: formatScheduler(1, platform), standin: formatStandin({ engines: 1, schedulers: 0, gateways: 0 }) }[program]!
    this.startedProgram = startBinary(program, options, [writeSettings(settings)])
  }
})

Given('{int} hosts that start at once and get SIGHUP, each {int} ms later after its spawn than the one before', async function (this: EarlySignalsWorld, count: number, stepMs: number) {
  const files = await writeSettingsOfHosts(this, count)
  this.startedHosts = files.map(file => startBinary('host', { [settingsFileVariable]: file }))
  await Promise.all(this.startedHosts.map(async ({ process: child }, index) => {
    await sleep(index * stepMs)
    child.kill('SIGHUP')
  }))
})

Then('all of them report that their settings files have changed', async function (this: EarlySignalsWorld) {
  await waitUntil(() => this.startedHosts.every(({ process: child, output }) => output.includes('settings.reloaded') || child.signalCode !== null))
  assert.deepEqual(this.startedHosts.map(({ process: child }) => child.signalCode), this.startedHosts.map(() => null))
})

Given('a host whose port of messages is in use, and which gets SIGHUP after 600 and 900 ms and SIGTERM after 1200 ms', async function (this: EarlySignalsWorld) {
  const file = await writeHostSettings(this)
  const { address, datagramPort } = this.hostFleet.hosts[0]!.settings
  this.portHolder = createSocket('udp4')
  await new Promise<void>(resolve => this.portHolder.bind(datagramPort, address, resolve))
  this.startedProgram = startBinary('host', { [settingsFileVariable]: file })
  for (const [waitMs, signal] of [[600, 'SIGHUP'], [300, 'SIGHUP'], [300, 'SIGTERM']] as const) {
    await sleep(waitMs)
    this.startedProgram.process.kill(signal)
  }
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
