/** Steps of ports that something else has when a host starts. */
import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { listenOn, openPort } from '../../src/adapters/tcp/openPort.js'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import type { HostSettings } from '../../src/schemas/hostSettings.js'
import { isSettingsError } from '../../src/settings/settingsError.js'
import { computeProcessAddress } from '../../src/standin/fleet/processAddress.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { startBinary } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'

interface TakenPortsWorld extends HostsWorld {
  hostSettings: HostSettings
  waitingHost: BinaryProcess
  portName: string
  freePort: () => Promise<unknown>
  portGuard: Server
  failure: { error: unknown, tookMs: number }
}

const metricsOffset = 4
const maxDraws = 200

After(async function (this: Partial<TakenPortsWorld>) {
  this.waitingHost?.process.kill('SIGKILL')
  await this.freePort?.()
  this.portGuard?.close()
})

function listAddresses ({ address, callersAddress, readinessAddress, peersAddress, datagramPort }: HostSettings): Record<string, string> {
  return {
    callers: callersAddress, readiness: readinessAddress, peers: peersAddress, 'messages between hosts': `${address}:${datagramPort}`, 'requests of other hosts': `${address}:${datagramPort}`, metrics: `${address}:${findMetricsPort(callersAddress)}`
  }
}

function findMetricsPort (callersAddress: string): number {
  return Number(callersAddress.split(':')[1]) + metricsOffset
}

async function takePort (address: string, isDatagrams: boolean): Promise<() => Promise<unknown>> {
  const [host, port] = address.split(':')
  if (isDatagrams) {
    const socket = createSocket('udp4')
    await new Promise<void>(resolve => { socket.bind(Number(port), host, resolve) })
    return async () => { await new Promise<void>(resolve => { socket.close(resolve) }) }
  }
  const server = createServer()
  await listenOn(server, address)
  return async () => { await new Promise(resolve => server.close(resolve)) }
}

interface DrawnConnection {
  /** `ip:port` of the end for which the system drew the port. */
  address: string
  guard: Server
  free: () => Promise<unknown>
}

/**
 * Opens a connection whose port, which the system draws, no other one has or gets. The system draws a port for connections to several
 * servers, and keeps one that was closed in order for a minute, so that a host would wait for strangers after this one is gone.
 */
async function drawConnection (): Promise<DrawnConnection> {
  const server = createServer(socket => { socket.on('error', () => {}) })
  await listenOn(server, '127.0.0.1:0')
  for (let draw = 0; draw < maxDraws; draw++) {
    const socket = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port })
    await once(socket, 'connect')
    const port = socket.localPort!
    const address = `${socket.localAddress}:${port}`
    const guard = await guardPort(port)
    const free = async (): Promise<void> => {
      socket.resetAndDestroy()
      await new Promise(resolve => server.close(resolve))
    }
    if (guard && countConnections(port) === 1) return { address, guard, free }
    socket.resetAndDestroy()
    guard?.close()
  }
  throw new Error(`each of ${maxDraws} ports was another connection's too`)
}

/** Keeps the system from drawing a port for further connections, which it does not for a port with a listener on any address. */
async function guardPort (port: number): Promise<Server | undefined> {
  const guard = createServer()
  return await listenOn(guard, `${computeProcessAddress()}:${port}`).then(() => guard, () => undefined)
}

/** Connections from this port of 127.0.0.1, those closed in the last minute included. */
function countConnections (port: number): number {
  const address = `0100007F:${port.toString(16).toUpperCase().padStart(4, '0')}`
  return readFileSync('/proc/net/tcp', 'utf8').split('\n').filter(line => line.trim().split(/\s+/)[1] === address).length
}

Given('the settings of a host', async function (this: TakenPortsWorld) {
  this.hostFleet = await HostFleet.prepare(1, { engines: 1 })
  this.hostSettings = this.hostFleet.hosts[0]!.settings
})

When(/^the host starts while a (process|connection) has its port of (.+)$/, async function (this: TakenPortsWorld, user: string, port: string) {
  this.portName = port
  let free: () => Promise<unknown>
  if (user === 'connection') {
    const drawn = await drawConnection()
    this.hostSettings = { ...this.hostSettings, [port === 'callers' ? 'callersAddress' : 'readinessAddress']: drawn.address }
    free = drawn.free
    this.portGuard = drawn.guard
  } else {
    free = await takePort(listAddresses(this.hostSettings)[port]!, port === 'messages between hosts')
  }
  let hasFreed = false
  this.freePort = async () => {
    if (!hasFreed) await free()
    hasFreed = true
  }
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'host.json')
  writeFileSync(file, encodeHostSettings(this.hostSettings))
  this.waitingHost = startBinary('host', { [settingsFileVariable]: file }, ['--metrics', String(findMetricsPort(this.hostSettings.callersAddress))])
})

Then('it waits, and says which port is in use', async function (this: TakenPortsWorld) {
  const { process: child } = this.waitingHost
  await waitUntil(() => this.waitingHost.output.includes('start.portInUse') || child.exitCode !== null)
  assert.equal(child.exitCode, null, this.waitingHost.errors)
  assert.ok(this.waitingHost.output.includes(`"port":"${this.portName}"`), this.waitingHost.output)
})

When('the port is free again', async function (this: TakenPortsWorld) {
  await this.freePort()
})

Then('the host becomes ready, and ends with code 0 when it is stopped', async function (this: TakenPortsWorld) {
  const { process: child } = this.waitingHost
  await waitUntil(async () => await fetch(`http://${this.hostSettings.readinessAddress}/`).then(({ status }) => status === 200, () => false))
    .catch((error: Error) => assert.fail(`${error.message}\n${this.waitingHost.output}${this.waitingHost.errors}`))
  // Lines are gathered for some milliseconds, so that this one may come after the host has become ready.
  await waitUntil(() => this.waitingHost.output.includes('start.portFreed')).catch((error: Error) => assert.fail(`${error.message}\n${this.waitingHost.output}`))
  await this.waitingHost.stop()
  assert.deepEqual({ code: child.exitCode, signal: child.signalCode }, { code: 0, signal: null }, this.waitingHost.errors)
})

Then('it ends with code 0 within {int} ms when it is stopped', async function (this: TakenPortsWorld, ms: number) {
  const { process: child } = this.waitingHost
  const stoppedAtMs = performance.now()
  await this.waitingHost.stop()
  assert.deepEqual({ code: child.exitCode, signal: child.signalCode }, { code: 0, signal: null }, this.waitingHost.errors)
  assert.ok(performance.now() - stoppedAtMs < ms)
})

When(/^a port is opened whose address (stays in use|is not one of the machine), with at most (\d+) ms to wait$/, async function (this: TakenPortsWorld, fault: string, maxWaitMs: string) {
  const holder = createServer()
  await listenOn(holder, '127.0.0.1:0')
  const { port } = holder.address() as AddressInfo
  const address = fault === 'stays in use' ? `127.0.0.1:${port}` : `192.0.2.1:${port}`
  const server = createServer()
  const startedAtMs = performance.now()
  const error: unknown = await openPort(async () => await listenOn(server, address), { name: 'readiness', address, clock: createSystemClock(), log: { record: () => {} }, signal: new AbortController().signal, maxWaitMs: Number(maxWaitMs) }).then(() => undefined, (failure: unknown) => failure)
  this.failure = { error, tookMs: performance.now() - startedAtMs }
  await new Promise(resolve => holder.close(resolve))
})

Then('that fails after {int} to {int} ms as a wrong setting that names the port, and {string}', function (this: TakenPortsWorld, least: number, most: number, cause: string) {
  const { error, tookMs } = this.failure
  assert.ok(isSettingsError(error))
  assert.match((error as Error).message, new RegExp(`readiness is [0-9.:]+, .*${cause}`))
  assert.ok(tookMs >= least && tookMs < most, `${tookMs} ms`)
})
