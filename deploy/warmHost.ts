/**
 * Lets a host serve for a moment before the stand-in platform, so that the code it runs while it serves is compiled when the
 * program is built and not anew by each process. Arguments: the loader, then the flags of Node.js.
 */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { encodeHostSettings, settingsFileVariable } from '../src/platform/hostSettings.js'
import { FleetCaller } from '../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../src/standin/fleet/fleetCaller.js'
import { createHostSettings, findMetricsPort } from '../src/standin/fleet/hostSettings.js'
import { startFleet } from '../src/standin/fleet/startFleet.js'
import type { HostSettings } from '../src/schemas/hostSettings.js'

const [loader = '', ...flags] = process.argv.slice(2)
const folder = join(dirname(loader), 'warm')
/** Enough for every path of a calm day to run more than once. */
const calls = 240
const callGapMs = 8
/** Hosts serve half a second after their start, and later where the building machine is busy. */
const startTimeoutMs = 20_000
const kinds: readonly CallKind[] = ['resumable', 'stream', 'idempotent', 'once']
const adapterCount = 12
/** As on a loopback of which nobody else uses this part. */
const network = '127.231.17'
const basePort = 21_700 + process.pid % 500 * 8

function startHost (settings: HostSettings, environment: NodeJS.ProcessEnv): ChildProcess {
  const file = join(folder, `${settings.hostName}.json`)
  writeFileSync(file, encodeHostSettings(settings))
  return fork(loader, ['--metrics', String(findMetricsPort(basePort))], {
    execArgv: flags, stdio: ['ignore', 'ignore', 'inherit', 'ipc'], env: { ...process.env, ...environment, [settingsFileVariable]: file }
  })
}

async function endHost (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null) return
  const ended = new Promise(resolve => child.once('exit', resolve))
  child.kill('SIGTERM')
  await ended
}

async function waitUntilReady (caller: FleetCaller, address: string): Promise<void> {
  const endsAtMs = performance.now() + startTimeoutMs
  for (;;) {
    const status = await caller.readStatus(address, '/').catch(() => 0)
    if (status === 200) return
    if (performance.now() > endsAtMs) throw new Error(`the host at ${address} does not serve ${startTimeoutMs} ms after its start`)
    await sleep(50)
  }
}

mkdirSync(folder, { recursive: true })
const fleet = await startFleet({ engines: 3, services: 2 })
const caller = new FleetCaller()
const settings = [1, 2].map(index => createHostSettings(
  { index, network, basePort, storeAddress: fleet.store.address }, { seedAddresses: [`${network}.1:${basePort + 2}`] }
))
const children = [startHost(settings[0]!, { SEDGEVALVE_CREATE_CODE_CACHE: '1' }), startHost(settings[1]!, {})]
try {
  for (const { readinessAddress } of settings) await waitUntilReady(caller, readinessAddress)
  const open: Promise<unknown>[] = []
  for (let index = 0; index < calls; index++) {
    const { callersAddress } = settings[index % 2]!
    open.push(caller.call({ kind: kinds[index % kinds.length]!, address: callersAddress, adapter: `a${index % adapterCount}`, body: `question ${index}` }))
    await sleep(callGapMs)
  }
  await Promise.all(open)
} finally {
  await Promise.all(children.map(async child => await endHost(child)))
  await caller.close()
  await fleet.stop()
  rmSync(folder, { recursive: true, force: true })
}
