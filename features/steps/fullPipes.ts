/** Steps of hosts whose output nobody reads. */
import assert from 'node:assert/strict'
import { execFileSync, spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, constants, mkdtempSync, openSync, readFileSync, readSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import type { HostSettings } from '../../src/schemas/hostSettings.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

interface FullPipesWorld extends HostsWorld {
  hostSettings: HostSettings
  unreadHost: ChildProcess
  /** Descriptor of the reading end of a pipe. */
  pipeEnd: number | undefined
  /** Whether the output is read from the stop on. */
  isReadAtStop: boolean
  output: string
  outputFolder: string
  ended: { code: number | null, signal: string | null, tookMs: number }
}

const program = fileURLToPath(new URL('../../src/bin/host.js', import.meta.url))
/** More than a pipe or a socket holds. */
const fillingBytes = 2_000_000
const fillingMs = 500
/** A host that stands still does not answer at all. */
const readinessMs = 1000
/** Where the output goes of a host with a file. */
const outputFile = 'lines'

After(function (this: Partial<FullPipesWorld>) {
  if (this.unreadHost?.pid !== undefined && this.unreadHost.exitCode === null) this.unreadHost.kill('SIGKILL')
  this.unreadHost?.stdout?.destroy()
  if (this.pipeEnd !== undefined) closeSync(this.pipeEnd)
})

/** Opens a pipe; its reading end does not block. */
function openPipe (folder: string): { readEnd: number, writeEnd: number } {
  const path = join(folder, 'output')
  execFileSync('mkfifo', [path])
  const readEnd = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK)
  return { readEnd, writeEnd: openSync(path, constants.O_WRONLY) }
}

Given(/^a host whose output is a (pipe|socket) that nobody reads(, and that is full)?$/, async function (this: FullPipesWorld, kind: string, isFull: string | null) {
  this.hostFleet = await HostFleet.prepare(1, { engines: 1 })
  this.hostSettings = { ...this.hostFleet.hosts[0]!.settings, shutdownMs: 6000 }
  const folder = mkdtempSync(join(tmpdir(), 'sedgevalve-test-'))
  const file = join(folder, 'host.json')
  writeFileSync(file, encodeHostSettings(this.hostSettings))
  const pipe = kind === 'pipe' ? openPipe(folder) : undefined
  this.pipeEnd = pipe?.readEnd
  this.isReadAtStop = isFull === null
  // A process that writes to the same output until nothing more fits.
  const fill = isFull === null ? '' : `head -c ${fillingBytes} /dev/zero 2> /dev/null & sleep ${fillingMs / 1000};`
  this.unreadHost = spawn('bash', ['-c', `${fill} exec "$0" "$1"`, process.execPath, program], { env: { ...process.env, [settingsFileVariable]: file }, stdio: ['ignore', pipe?.writeEnd ?? 'pipe', 'inherit'] })
  if (pipe) closeSync(pipe.writeEnd)
})

Given(/^a host whose output is (on a full disk|a file)$/, async function (this: FullPipesWorld, kind: string) {
  this.hostFleet = await HostFleet.prepare(1, { engines: 1 })
  this.hostSettings = { ...this.hostFleet.hosts[0]!.settings, shutdownMs: 6000 }
  this.outputFolder = mkdtempSync(join(tmpdir(), 'sedgevalve-test-'))
  const file = join(this.outputFolder, 'host.json')
  writeFileSync(file, encodeHostSettings(this.hostSettings))
  const output = openSync(kind === 'a file' ? join(this.outputFolder, outputFile) : '/dev/full', 'w')
  this.unreadHost = spawn(process.execPath, [program], { env: { ...process.env, [settingsFileVariable]: file }, stdio: ['ignore', output, 'inherit'] })
  closeSync(output)
})

When('the host is ready, and is stopped', async function (this: FullPipesWorld) {
  await waitUntil(async () => await fetch(`http://${this.hostSettings.readinessAddress}/`, { signal: AbortSignal.timeout(readinessMs) }).then(({ status }) => status === 200, () => false))
  const stoppedAtMs = performance.now()
  this.output = ''
  if (this.isReadAtStop) this.unreadHost.stdout?.on('data', chunk => { this.output += String(chunk) })
  this.unreadHost.kill('SIGTERM')
  const timer = setTimeout(() => this.unreadHost.kill('SIGKILL'), this.hostSettings.shutdownMs)
  const [code, signal] = await once(this.unreadHost, 'exit') as [number | null, string | null]
  clearTimeout(timer)
  this.ended = { code, signal, tookMs: performance.now() - stoppedAtMs }
})

Then('it ends with code 0 within its time for a stop', function (this: FullPipesWorld) {
  assert.deepEqual({ code: this.ended.code, signal: this.ended.signal }, { code: 0, signal: null })
  assert.ok(this.ended.tookMs < this.hostSettings.shutdownMs)
})

Then('its lines say that it has stopped', function (this: FullPipesWorld) {
  const lines = this.pipeEnd === undefined ? this.output : readPipe(this.pipeEnd)
  assert.match(lines, /"kind":"host.stopped"/)
})

Then('its file says that it has started and stopped', function (this: FullPipesWorld) {
  const lines = readFileSync(join(this.outputFolder, outputFile), 'utf8')
  assert.match(lines, /"kind":"host.started"[^]*"kind":"host.stopped"[^]*\n$/)
})

/** Reads what a pipe holds whose writers have ended. */
function readPipe (descriptor: number): string {
  const chunk = Buffer.alloc(65_536)
  let text = ''
  for (let length = readSync(descriptor, chunk); length > 0; length = readSync(descriptor, chunk)) text += chunk.toString('utf8', 0, length)
  return text
}
