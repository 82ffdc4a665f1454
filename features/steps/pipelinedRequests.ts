/** Steps of callers that write several requests to a connection before they have the answers. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { decodeRequest } from '../../src/platform/requestWire.js'
import { isWhole } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind } from '../../src/standin/fleet/fleetCaller.js'
import { formatRawRequest, RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer, RawRequest } from '../../src/standin/fleet/rawCaller.js'
import type { FleetEndpoint } from '../../src/standin/fleet/startFleet.js'
import { CallerListener } from '../../src/tasks/proxy/callerListener.js'
import { findFreePort } from '../support/findFreePort.js'
import { HostFleet } from '../support/hostFleet.js'
import { setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { waitUntil } from '../support/waitUntil.js'

interface PipelinedWorld extends HostsWorld {
  rawAnswers: RawAnswer[]
  finalAnswer: RawAnswer
  mostActive: number
  largeAnswers: { listener: CallerListener, address: string, answer: RawAnswer }
}

const plainKinds: readonly CallKind[] = ['once', 'idempotent']
const allKinds: readonly CallKind[] = ['once', 'idempotent', 'resumable', 'stream']
/** What the sheets leave a host for a request that crosses its close. */
const lossSlackMs = 200
/** More chunks of one byte than a body may have bytes. */
const smallChunks = 1_050_000

After(async function (this: Partial<PipelinedWorld>) {
  this.largeAnswers?.listener.close()
})

function listKinds (requests: string): readonly CallKind[] {
  return requests === 'plain requests' ? plainKinds : allKinds
}

function createRequests (kinds: readonly CallKind[], count: number): RawRequest[] {
  return Array.from({ length: count }, (_, index) => ({ kind: kinds[index % kinds.length]!, adapter: 'a1' }))
}

async function openCaller (world: HostsWorld): Promise<RawCaller> {
  return await RawCaller.open(world.hostFleet.hosts[0]!.settings.callersAddress)
}

/** Requests that were passed on, or waited beyond the slack, and whose connection ended before their answer did. */
function listLost (world: PipelinedWorld): string[] {
  const { journal } = world.hostFleet.fleet
  return world.rawAnswers.flatMap(({ kind, requestId, error, sentAtMs, endedAtMs }) => {
    const runs = journal.listRuns(requestId).length
    return error !== undefined && (runs > 0 || endedAtMs - sentAtMs > lossSlackMs) ? [`${kind} ${requestId}: ${runs} runs, ${Math.round(endedAtMs - sentAtMs)} ms`] : []
  })
}

/** Lets callers send until their connections are closed, and stops their host meanwhile. */
async function stopBeneath (world: PipelinedWorld, callers: number, sendUntilClosed: (caller: RawCaller) => Promise<void>, afterMs: number): Promise<void> {
  const sending = Array.from({ length: callers }, async () => await sendUntilClosed(await openCaller(world)))
  await sleep(afterMs)
  await world.hostFleet.stopHost(world.hostFleet.hosts[0]!)
  await Promise.all(sending)
}

Given(/^(\d+) hosts? before (\d+) engines? and (\d+) services$/, async function (this: PipelinedWorld, hosts: string, engines: string, services: string) {
  this.hostFleet = await HostFleet.start(Number(hosts), { engines: Number(engines), services: Number(services) })
  this.answers = []
  this.rawAnswers = []
  const caller = await openCaller(this)
  await caller.send(createRequests(allKinds, allKinds.length))
  caller.close()
})

When('{int} callers go on sending {int} {} at once to host 1, and it stops after {int} ms', { timeout: 30_000 }, async function (this: PipelinedWorld, callers: number, count: number, requests: string, ms: number) {
  await stopBeneath(this, callers, async caller => {
    while (!caller.isClosed) this.rawAnswers.push(...await caller.send(createRequests(listKinds(requests), count)))
  }, ms)
})

When('{int} callers keep {int} {} unanswered at host 1, and it stops after {int} ms', { timeout: 30_000 }, async function (this: PipelinedWorld, callers: number, count: number, requests: string, ms: number) {
  const kinds = listKinds(requests)
  await stopBeneath(this, callers, async caller => {
    await Promise.all(Array.from({ length: count }, async (_, index) => {
      for (let number = index; !caller.isClosed; number++) this.rawAnswers.push(...await caller.send([{ kind: kinds[number % kinds.length]!, adapter: 'a1' }]))
    }))
  }, ms)
})

Then('no request is lost', function (this: PipelinedWorld) {
  assert.ok(this.rawAnswers.some(isWhole))
  assert.deepEqual(listLost(this), [])
})

When('a caller sends a stream that its endpoint breaks off, and two plain requests behind it', async function (this: PipelinedWorld) {
  const isEngine = (endpoint: FleetEndpoint): boolean => endpoint.engine !== undefined
  setFaults(this, isEngine, { eventMs: 300 })
  const caller = await openCaller(this)
  const answers = caller.send([{ kind: 'stream', adapter: 'a1' }, { kind: 'once' }, { kind: 'idempotent' }])
  // A stream that breaks off before the caller has a part of it is refused with a status.
  await waitUntil(() => caller.isReadingAnswer)
  setFaults(this, isEngine, { breaksStreams: true })
  this.rawAnswers = await answers
})

Then('no request that was passed on to a sound endpoint is without an answer', function (this: PipelinedWorld) {
  const [stream, ...behind] = this.rawAnswers
  assert.ok(stream!.error !== undefined, JSON.stringify(stream))
  assert.equal(stream!.status, 200)
  const { journal } = this.hostFleet.fleet
  assert.deepEqual(behind.filter(({ error, requestId }) => error !== undefined && journal.listRuns(requestId).length > 0), [])
})

When('a caller sends {int} requests that may run once at once', async function (this: PipelinedWorld, count: number) {
  this.rawAnswers = await (await openCaller(this)).send(createRequests(['once'], count))
})

Then('each of them began after the one before it had ended, and is answered in turn', function (this: PipelinedWorld) {
  assert.ok(this.rawAnswers.every(isWhole))
  const runs = this.rawAnswers.map(({ requestId }) => this.hostFleet.fleet.journal.listRuns(requestId)[0]!)
  const early = runs.filter((run, index) => index > 0 && run.startedAtMs < runs[index - 1]!.endedAtMs!)
  assert.deepEqual(early, [])
  const ends = this.rawAnswers.map(({ endedAtMs }) => endedAtMs)
  assert.deepEqual(ends, ends.toSorted((left, right) => left - right))
})

/** Bytes that follow whole requests on a connection; the last ones of some are a request of their own. */
const trailingBytes: Readonly<Record<string, () => string>> = Object.freeze({
  'bytes that are no request': () => 'no request at all\r\n\r\n',
  'a head that is too large': () => formatRawRequest({ kind: 'idempotent', headerLines: [`x-filler: ${'x'.repeat(100_000)}`] }),
  'a body that is too large': () => formatRawRequest({ kind: 'once', body: 'x'.repeat(2_000_000) }),
  'a body too large, in many small pieces': () => formatChunked('1\r\nx\r\n'.repeat(smallChunks)),
  'a chunk that is none': () => formatChunked('none\r\n'),
  'a request to open a tunnel': () => 'CONNECT fleet.example:80 HTTP/1.1\r\nhost: fleet.example\r\n\r\n'
})

function formatChunked (chunks: string): string {
  const request = formatRawRequest({ kind: 'once', body: '', headerLines: ['transfer-encoding: chunked'] })
  return request.replace('content-length: 0\r\n', '') + chunks
}

When('a caller sends 2 plain requests, and {} behind them', async function (this: PipelinedWorld, what: string) {
  const caller = await openCaller(this)
  const answers = caller.send(createRequests(plainKinds, 2))
  const final = caller.send([trailingBytes[what]!()])
  this.rawAnswers = await answers
  this.finalAnswer = (await final)[0]!
  await caller.closed
})

Then('both requests are answered as a whole', function (this: PipelinedWorld) {
  assert.deepEqual(this.rawAnswers.map(isWhole), [true, true], JSON.stringify(this.rawAnswers))
})

Then('the connection ends with status {int}', function (this: PipelinedWorld, status: number) {
  assert.equal(this.finalAnswer.status, status, JSON.stringify(this.finalAnswer))
})

When('a caller sends a plain request, one with "Connection: close", and another one', async function (this: PipelinedWorld) {
  this.rawAnswers = await (await openCaller(this)).send([{ kind: 'once' }, { kind: 'once', headerLines: ['Connection: close'] }, { kind: 'once' }])
})

Then('the first two are answered as a whole, and the third never runs', async function (this: PipelinedWorld) {
  assert.deepEqual(this.rawAnswers.map(isWhole), [true, true, false], JSON.stringify(this.rawAnswers))
  await sleep(lossSlackMs)
  assert.deepEqual(this.hostFleet.fleet.journal.listRuns(this.rawAnswers[2]!.requestId), [])
})

When('a caller writes a body of {int} bytes and reads only when it is written', async function (this: PipelinedWorld, bytes: number) {
  const caller = await openCaller(this)
  caller.setReading(false)
  const answers = caller.send([{ kind: 'once', body: 'x'.repeat(bytes) }])
  await caller.flushed()
  caller.setReading(true)
  this.rawAnswers = await answers
})

Then('it gets status {int}', function (this: PipelinedWorld, status: number) {
  assert.equal(this.rawAnswers[0]!.status, status, JSON.stringify(this.rawAnswers))
})

async function startListener (world: PipelinedWorld, bytes: number, ms: number): Promise<void> {
  const address = `127.0.0.1:${await findFreePort()}`
  const listener = new CallerListener({
    address,
    clock: createSystemClock(),
    log: { record: () => {} },
    decodeRequest,
    getLimits: () => undefined,
    maxHeldBytes: 1_000_000,
    createHandle: (_request, response) => ({
      serve: async () => {
        if (ms > 0) await sleep(ms)
        response.writeHead(200, ['Content-Length', String(bytes)])
        response.end(Buffer.alloc(bytes, 'x'))
      },
      receiveError: () => {},
      receiveCallerDisconnect: () => {},
      receiveUnknownCaller: () => {},
      receiveStop: () => {}
    })
  })
  await listener.start()
  world.largeAnswers = { listener, address, answer: undefined as unknown as RawAnswer }
}

Given('a listener whose answers have {int} bytes', async function (this: PipelinedWorld, bytes: number) {
  await startListener(this, bytes, 0)
})

Given('a listener whose answers have {int} bytes and take {int} ms', async function (this: PipelinedWorld, bytes: number, ms: number) {
  await startListener(this, bytes, ms)
})

When('a caller sends {int} requests at once', { timeout: 60_000 }, async function (this: PipelinedWorld, count: number) {
  const { listener, address } = this.largeAnswers
  const caller = await RawCaller.open(address)
  let most = 0
  const timer = setInterval(() => { most = Math.max(most, listener.activeRequestCount) }, 1)
  this.rawAnswers = await caller.send(createRequests(['idempotent'], count))
  clearInterval(timer)
  caller.close()
  this.mostActive = most
})

Then('at most {int} of them wait at a time, and all are answered in turn', function (this: PipelinedWorld, most: number) {
  assert.ok(this.mostActive <= most, `${this.mostActive} requests`)
  assert.deepEqual(this.rawAnswers.filter(({ status }) => status !== 200), [])
})

When('a caller asks for an answer, and reads it only {int} ms after the listener began to drain', async function (this: PipelinedWorld, ms: number) {
  const { listener, address } = this.largeAnswers
  const caller = await RawCaller.open(address)
  caller.setReading(false)
  const answers = caller.send([{ kind: 'idempotent' }])
  await sleep(100)
  listener.disableKeepAlive()
  const drained = listener.drain(0, 5000)
  await sleep(ms)
  caller.setReading(true)
  this.largeAnswers.answer = (await answers)[0]!
  await drained
})

Then('the whole answer arrives', function (this: PipelinedWorld) {
  const { status, error, body } = this.largeAnswers.answer
  assert.deepEqual({ status, error, bytes: body.length }, { status: 200, error: undefined, bytes: 8_000_000 })
})
