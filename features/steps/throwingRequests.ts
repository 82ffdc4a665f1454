/** Steps of requests whose handling throws. */
import assert from 'node:assert/strict'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { encodeHostSettings, settingsFileVariable } from '../../src/platform/hostSettings.js'
import { decodeRequest } from '../../src/platform/requestWire.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { formatRawRequest, RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer } from '../../src/standin/fleet/rawCaller.js'
import { CallerListener } from '../../src/tasks/proxy/callerListener.js'
import { findFreePort } from '../support/findFreePort.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { startBinary } from '../support/runBinary.js'
import type { BinaryProcess } from '../support/runBinary.js'
import { waitUntil } from '../support/waitUntil.js'

interface ThrowingWorld extends HostsWorld {
  throwingHost: BinaryProcess
  throwingListener: { listener: CallerListener, address: string, kinds: string[] }
  rawAnswers: RawAnswer[]
}

/** Modules that make a function throw which the host uses in one step of handling a request. */
const throwingModules: Readonly<Record<string, string>> = Object.freeze({
  'the reading of a request': `import { Server } from 'node:http'
const { emit } = Server.prototype
Server.prototype.emit = function (name, ...args) {
  if (name === 'request' && args[0].url.endsWith('throws')) Object.defineProperty(args[0], 'method', { get () { throw new Error('the method cannot be read') } })
  return emit.call(this, name, ...args)
}`,
  'the serving of a request': `import { createHash } from 'node:crypto'
const prototype = Object.getPrototypeOf(createHash('sha1'))
const { update } = prototype
prototype.update = function (text, ...args) {
  if (String(text).includes('throws')) throw new Error('the text cannot be hashed')
  return update.call(this, text, ...args)
}`,
  'the end of an answer': `import { ServerResponse } from 'node:http'
const { writeHead } = ServerResponse.prototype
const thrown = new WeakSet()
ServerResponse.prototype.writeHead = function (...args) {
  if (this.req.url.endsWith('throws') && !thrown.has(this)) {
    thrown.add(this)
    throw new Error('the head cannot be written')
  }
  return writeHead.call(this, ...args)
}`
})

After(function (this: Partial<ThrowingWorld>) {
  this.throwingHost?.process.kill('SIGKILL')
  this.throwingListener?.listener.close()
})

async function startThrowingHost (world: ThrowingWorld, throwingModule: string): Promise<void> {
  world.hostFleet = await HostFleet.prepare(1, { engines: 1, services: 1 })
  const { settings } = world.hostFleet.hosts[0]!
  const file = join(mkdtempSync(join(tmpdir(), 'sedgevalve-test-')), 'host.json')
  writeFileSync(file, encodeHostSettings(settings))
  world.throwingHost = startBinary('host', { [settingsFileVariable]: file, NODE_OPTIONS: `--import data:text/javascript,${encodeURIComponent(throwingModule)}` })
  await waitUntil(async () => await fetch(`http://${settings.readinessAddress}/`).then(({ status }) => status === 200, () => false))
}

Given(/^a host process in which (.+) throws for paths that end in "throws"$/, async function (this: ThrowingWorld, what: string) {
  await startThrowingHost(this, throwingModules[what]!)
})

When('a caller sends a plain request, one whose handling throws, and another plain one', async function (this: ThrowingWorld) {
  const caller = await RawCaller.open(this.hostFleet.hosts[0]!.settings.callersAddress)
  const throwing = formatRawRequest({ kind: 'idempotent' }).replace('/x HTTP', '/throws HTTP')
  this.rawAnswers = [...await caller.send([{ kind: 'once' }]), ...await caller.send([throwing, { kind: 'once' }])]
})

Then('the request whose handling throws is answered with status 500, and the others as a whole', function (this: ThrowingWorld) {
  const [first, second, third] = this.rawAnswers
  assert.deepEqual([isWhole(first!), second!.status, second!.error, isWhole(third!)], [true, 500, undefined, true], JSON.stringify(this.rawAnswers))
})

Then('the host logs the exception, and ends with code 0 when it is stopped', async function (this: ThrowingWorld) {
  await this.throwingHost.stop()
  assert.match(this.throwingHost.output, /"kind":"request.threw"/)
  assert.equal(this.throwingHost.process.exitCode, 0)
})

Given('a listener whose handling throws after it has written half of an answer', async function (this: ThrowingWorld) {
  const address = `127.0.0.1:${await findFreePort()}`
  const kinds: string[] = []
  const listener = new CallerListener({
    address,
    clock: createSystemClock(),
    log: { record: kind => { kinds.push(kind) } },
    decodeRequest,
    getLimits: () => undefined,
    maxHeldBytes: 1_000_000,
    createHandle: (_request, response) => ({
      serve: async () => {
        response.writeHead(200, ['Content-Length', '10'])
        response.write(Buffer.from('12345'), () => {})
        throw new Error('the rest cannot be written')
      },
      receiveError: () => { throw new Error('the error cannot be handled') },
      receiveCallerDisconnect: () => {},
      receiveUnknownCaller: () => {},
      receiveStop: () => {}
    })
  })
  await listener.start()
  this.throwingListener = { listener, address, kinds }
})

When('a caller asks for that answer', async function (this: ThrowingWorld) {
  const caller = await RawCaller.open(this.throwingListener.address)
  this.rawAnswers = await caller.send([{ kind: 'idempotent' }])
  await caller.closed
})

Then('the answer is not whole, its connection is closed, and the listener logs the exception', function (this: ThrowingWorld) {
  assert.notEqual(this.rawAnswers[0]!.error, undefined)
  assert.equal(this.throwingListener.kinds.filter(kind => kind === 'request.threw').length, 2)
})
