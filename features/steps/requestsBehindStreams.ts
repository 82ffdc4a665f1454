/** Steps of callers that send requests while they still receive a stream from a host or gateway that stops. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createRequestId, isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer } from '../../src/standin/fleet/rawCaller.js'
import { fleetPaths } from '../../src/standin/fleet/startFleet.js'
import { createSystemClock } from '../../src/adapters/clock/systemClock.js'
import { CallerConnections } from '../../src/tasks/gateway/callerConnections.js'
import { createCallerBudget } from '../../src/tasks/gateway/createCallerBudget.js'
import { HostFleet } from '../support/hostFleet.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import type { ProcessSystem } from '../support/processes.js'
import { createTestHandle, startTestListener } from '../support/testListener.js'
import type { TestListener } from '../support/testListener.js'
import { formatCompletion, readAnswers } from './gatewayStops.js'

interface BehindWorld extends HostsWorld {
  streamListener: TestListener
  /** Answers of each connection, in the order of its requests. */
  connectionAnswers: RawAnswer[][]
  rawAnswers: RawAnswer[]
  /** From the last answer to the end of the drain. */
  drainedAfterMs: number
  processes: ProcessSystem
  received: string
  gatewayServer: { connections: CallerConnections, server: Server }
}

/** From the start of the drain to the end of listening, and its longest time. */
const [quietMs, deadlineMs] = [300, 6000]
/** The listener has read the streams when it begins to drain. */
const readMs = 60
/** A request behind a stream is sent within this time, and most streams take longer. */
const maxBehindMs = 400
const longTokens = 250
const stopAfterMs = 300

After(async function (this: Partial<BehindWorld>) {
  this.streamListener?.listener.close()
  this.gatewayServer?.server.closeAllConnections()
})

Given('a listener whose streams begin after {int} ms and have {int} events, {int} ms apart', async function (this: BehindWorld, beginMs: number, events: number, gapMs: number) {
  this.streamListener = await startTestListener({
    createHandle: ({ path }, response) => createTestHandle(async () => {
      if (!path.startsWith(fleetPaths.stream)) {
        response.writeHead(200, ['Content-Length', '2'])
        response.end(Buffer.from('ok'))
        return
      }
      await sleep(beginMs)
      response.writeHead(200, ['Content-Type', 'text/event-stream'])
      for (let event = 0; event < events; event++) {
        response.write(Buffer.from(`data: ${event}\n\n`), () => {})
        await sleep(gapMs)
      }
      response.end()
    }, { receiveStop: () => response.refuse(503) })
  })
})

/** Lets callers send `stream` and then what `sendBehind` sends, while the listener drains. */
async function sendBehindStreams (world: BehindWorld, callers: number, sendBehind: (caller: RawCaller, stream: Promise<RawAnswer[]>) => Promise<RawAnswer[]>): Promise<void> {
  const { listener, address } = world.streamListener
  const connections = await Promise.all(Array.from({ length: callers }, async () => await RawCaller.open(address)))
  const sent = connections.map(async caller => {
    const stream = caller.send([{ kind: 'stream' }])
    const answers = await sendBehind(caller, stream)
    return [...await stream, ...answers]
  })
  await sleep(readMs)
  listener.disableKeepAlive()
  const drained = listener.drain(quietMs, deadlineMs).then(() => performance.now())
  world.connectionAnswers = await Promise.all(sent)
  const lastAnswerAtMs = Math.max(...world.connectionAnswers.flat().map(({ endedAtMs }) => endedAtMs))
  world.drainedAfterMs = await drained - lastAnswerAtMs
  for (const caller of connections) caller.close()
}

When('{int} callers send a stream to the listener, which begins to drain, and {int} requests, each {int} ms after the one before it', async function (this: BehindWorld, callers: number, count: number, gapMs: number) {
  await sendBehindStreams(this, callers, async caller => {
    const answers: Array<Promise<RawAnswer[]>> = []
    for (let index = 0; index < count; index++) {
      await sleep(gapMs)
      answers.push(caller.send([{ kind: 'once' }]))
    }
    return (await Promise.all(answers)).flat()
  })
})

When('{int} callers send a stream to the listener, which begins to drain, and a request {int} ms after its end where that does not announce the close', async function (this: BehindWorld, callers: number, gapMs: number) {
  await sendBehindStreams(this, callers, async (caller, stream) => {
    const [answer] = await stream
    if (answer!.isLast) return []
    if (gapMs > 0) await sleep(gapMs)
    return await caller.send([{ kind: 'once' }])
  })
})

When('{int} callers send a stream to the listener, which begins to drain, and nothing after it', async function (this: BehindWorld, callers: number) {
  await sendBehindStreams(this, callers, async () => [])
})

Then('each request on these connections has a whole answer', function (this: BehindWorld) {
  const lost = this.connectionAnswers.flat().filter(({ error }) => error !== undefined)
  assert.deepEqual(lost.map(({ kind, error, tookMs }) => `${kind}: ${error}, after ${Math.round(tookMs)} ms`), [])
})

Then('the last answer on each of these connections announces the close', function (this: BehindWorld) {
  assert.deepEqual(this.connectionAnswers.map(answers => answers.at(-1)!.isLast), this.connectionAnswers.map(() => true))
})

Then('the listener has drained within {int} ms of the last answer', function (this: BehindWorld, maxMs: number) {
  assert.ok(this.drainedAfterMs <= maxMs, `${this.drainedAfterMs} ms`)
})

Given('{int} hosts with {int} ms to stop before {int} engines and {int} services', async function (this: BehindWorld, hosts: number, shutdownMs: number, engines: number, services: number) {
  this.hostFleet = await HostFleet.prepare(hosts, { engines, services })
  this.rawAnswers = []
  for (const host of this.hostFleet.hosts) host.settings = { ...host.settings, shutdownMs }
  await Promise.all(this.hostFleet.hosts.map(async host => await this.hostFleet.startHost(host)))
  await this.hostFleet.waitForOwners()
  const caller = await RawCaller.open(this.hostFleet.hosts[0]!.settings.callersAddress)
  await caller.send([{ kind: 'stream', adapter: 'a1' }])
  caller.close()
})

When('{int} callers go on sending a stream and a request behind it to host 1, each pair on a new connection, and it stops after {int} ms', { timeout: 30_000 }, async function (this: BehindWorld, callers: number, ms: number) {
  const host = this.hostFleet.hosts[0]!
  const sending = Array.from({ length: callers }, async () => {
    for (;;) {
      const caller = await RawCaller.open(host.settings.callersAddress).catch(() => undefined)
      if (!caller) return
      const stream = caller.send([{ kind: 'stream', adapter: 'a1', requestId: createRequestId() }])
      await sleep(Math.random() * maxBehindMs)
      this.rawAnswers.push(...await caller.send([{ kind: 'once' }]), ...await stream)
      caller.close()
    }
  })
  await sleep(ms)
  await this.hostFleet.stopHost(host)
  await Promise.all(sending)
  assert.ok(this.rawAnswers.some(isWhole))
})

When('a caller sends 1 long stream to the gateway, which stops, and {int} completions behind it, {int} ms apart', { timeout: 30_000 }, async function (this: BehindWorld, count: number, gapMs: number) {
  const socket = connect({ host: '127.0.0.1', port: Number(new URL(this.processes.urls[0]!).port), allowHalfOpen: true })
  this.received = ''
  socket.setEncoding('latin1').on('error', () => {}).on('data', chunk => { this.received += String(chunk) })
  const ended = new Promise<void>(resolve => socket.on('end', () => socket.destroy()).on('close', () => resolve()))
  socket.write(formatCompletion(true, longTokens))
  await sleep(stopAfterMs)
  const stopped = this.processes.gateways[0]!.stop()
  for (let index = 0; index < count; index++) {
    await sleep(gapMs)
    socket.write(formatCompletion(false))
  }
  await Promise.all([ended, stopped])
})

Then('the caller has a whole answer to each of its {int} requests', function (this: BehindWorld, count: number) {
  const answers = readAnswers(this.received)
  assert.deepEqual(answers.map(({ isWhole: isComplete }) => isComplete), Array.from({ length: count }, () => true), JSON.stringify(answers))
})

Given('a gateway\'s server whose responses begin after {int} ms and have {int} bytes', async function (this: BehindWorld, beginMs: number, bytes: number) {
  const connections = new CallerConnections({ clock: createSystemClock(), maxArrivalMs: deadlineMs, budget: createCallerBudget(1_000_000), receiveFailure: () => {} })
  const server = connections.createServer({}, async (request, response) => {
    request.resume()
    await sleep(beginMs)
    response.writeHead(200, { 'content-length': bytes }).end(Buffer.alloc(bytes, 'x'))
  })
  this.gatewayServer = { connections, server }
  await once(server.listen(0, '127.0.0.1'), 'listening')
})

When('{int} callers that read nothing for {int} ms send a request to the server, which begins to stop, and another one after {int} ms', { timeout: 30_000 }, async function (this: BehindWorld, callers: number, unreadMs: number, behindMs: number) {
  const { connections, server } = this.gatewayServer
  const { port } = server.address() as AddressInfo
  const sending = Array.from({ length: callers }, async () => {
    const caller = await RawCaller.open(`127.0.0.1:${port}`)
    caller.setReading(false)
    const first = caller.send([{ kind: 'once' }])
    await sleep(behindMs)
    const second = caller.send([{ kind: 'once' }])
    await sleep(unreadMs - behindMs)
    caller.setReading(true)
    const answers = [...await first, ...await second]
    caller.close()
    return answers
  })
  await sleep(readMs)
  const stopped = connections.drain(async () => await new Promise<void>(resolve => server.close(() => resolve())))
  this.connectionAnswers = await Promise.all(sending)
  await stopped
})

Then('each of these callers has two whole responses', function (this: BehindWorld) {
  assert.deepEqual(this.connectionAnswers.map(answers => answers.map(({ error }) => error)), this.connectionAnswers.map(() => [undefined, undefined]))
})
