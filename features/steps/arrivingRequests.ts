/** Steps of requests that arrive while a host closes its connections. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { RawCaller, formatRawRequest } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer } from '../../src/standin/fleet/rawCaller.js'
import { fleetPaths } from '../../src/standin/fleet/startFleet.js'
import type { ArrivingOrder } from '../support/arrivingCaller.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { createTestHandle, startTestListener } from '../support/testListener.js'
import type { TestListener } from '../support/testListener.js'

interface ArrivingWorld extends HostsWorld {
  listener: TestListener
  /** Sends the request that arrives during the standstill. */
  sendDuringStandstill: () => void
  arrivingAnswers: RawAnswer[]
  idleCallers: RawCaller[]
}

/** From the start of the drain to the close of idle connections, and how long the process stands still across it. */
const [quietMs, standstillMs] = [200, 400]
/** Node.js closes an idle connection a second later than the time-out says; from an answer to the standstill that spans this time. */
const [idleTimeoutMs, beforeIdleMs] = [1, 800]

After(function (this: Partial<ArrivingWorld>) {
  this.listener?.listener.close()
})

Given(/^a listener that answers requests (?:at once|after (\d+) ms)(, and closes connections that stay idle)?(?:, with an idle time-out of (\S+) ms)?$/, async function (this: ArrivingWorld, delayMs: string | null, idle: string | null, idleMs: string | null) {
  this.listener = await startTestListener({
    ...((idle ?? idleMs) !== null && { getLimits: () => ({ maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: idleMs === null ? idleTimeoutMs : Number(idleMs) }) }),
    createHandle: (_request, response) => createTestHandle(async () => {
      if (delayMs !== null) await sleep(Number(delayMs))
      response.writeHead(200, ['Content-Length', '0'])
      response.end()
    })
  })
})

When(/^requests arrive on (\d+) connections (with an earlier answer|without an earlier request), and its process stands still beyond the time of the close$/, async function (this: ArrivingWorld, count: string, earlier: string) {
  const { listener, address } = this.listener
  const callers = await Promise.all(Array.from({ length: Number(count) }, async () => await RawCaller.open(address)))
  if (earlier === 'with an earlier answer') await Promise.all(callers.map(async caller => await caller.send([{ kind: 'once' }])))
  await sleep(100)
  const drained = listener.drain(quietMs, 5000)
  // In this phase of the event loop, timers that are due run before anything is read; the bytes are with the system at once.
  await new Promise(resolve => setImmediate(resolve))
  const answers = callers.map(async caller => await caller.send([{ kind: 'once' }]))
  standStill()
  this.arrivingAnswers = (await Promise.all(answers)).flat()
  await drained
})

When('requests arrive on {int} connections with an earlier answer, and its process stands still beyond the idle time-out', async function (this: ArrivingWorld, count: number) {
  const callers = await openAnsweredCallers(this, count)
  await sleep(beforeIdleMs)
  // In this phase of the event loop, timers that are due run before anything is read; the bytes are with the system at once.
  await new Promise(resolve => setImmediate(resolve))
  const answers = callers.map(async caller => await caller.send([{ kind: 'once' }]))
  standStill()
  this.arrivingAnswers = (await Promise.all(answers)).flat()
  for (const caller of callers) caller.close()
})

When(/^requests arrive in (\d+) parts on (\d+) connections (with an earlier answer|without an earlier request), (\d+) ms between them$/, { timeout: 10_000 }, async function (this: ArrivingWorld, partCount: string, count: string, earlier: string, ms: string) {
  const callers = earlier === 'with an earlier answer' ? await openAnsweredCallers(this, Number(count)) : await openCallers(this, Number(count))
  const bytes = formatRawRequest({ kind: 'idempotent' })
  const length = Math.ceil(bytes.length / Number(partCount))
  const answers = callers.map(async caller => await caller.send([bytes.slice(0, length)]))
  for (let start = length; start < bytes.length; start += length) {
    await sleep(Number(ms))
    for (const caller of callers) caller.write(bytes.slice(start, start + length))
  }
  this.arrivingAnswers = (await Promise.all(answers)).flat()
  for (const caller of callers) caller.close()
})

When('the ends of {int} requests arrive on connections with an earlier answer, and its process stands still beyond the idle time-out', async function (this: ArrivingWorld, count: number) {
  const callers = await openAnsweredCallers(this, count)
  const [begin, end] = ['GET /safe/x HTTP/1.1\r\n', 'Host: x\r\n\r\n']
  const answers = callers.map(async caller => await caller.send([begin]))
  await sleep(beforeIdleMs)
  // In this phase of the event loop, timers that are due run before anything is read; the bytes are with the system at once.
  await new Promise(resolve => setImmediate(resolve))
  for (const caller of callers) caller.write(end)
  standStill()
  this.arrivingAnswers = (await Promise.all(answers)).flat()
  for (const caller of callers) caller.close()
})

When('{int} callers send two requests each, one after the other', { timeout: 10_000 }, async function (this: ArrivingWorld, count: number) {
  const callers = await openCallers(this, count)
  const first = await Promise.all(callers.map(async caller => await caller.send([{ kind: 'once' }])))
  const second = await Promise.all(callers.map(async caller => await caller.send([{ kind: 'idempotent' }])))
  this.arrivingAnswers = [...first, ...second].flat()
  for (const caller of callers) caller.close()
})

When('{int} connections get an answer, one of them begins another request, and its process stands still beyond the idle time-out', async function (this: ArrivingWorld, count: number) {
  this.idleCallers = await openAnsweredCallers(this, count)
  this.idleCallers[0]!.send(['GET /safe/x HTTP/1.1\r\n'])
  await sleep(beforeIdleMs)
  standStill()
})

Then('each of these connections is closed within {int} ms', async function (this: ArrivingWorld, ms: number) {
  await Promise.race([Promise.all(this.idleCallers.map(async ({ closed }) => await closed)), sleep(ms)])
  assert.deepEqual(this.idleCallers.map(({ isClosed }) => isClosed), this.idleCallers.map(() => true))
})

async function openCallers (world: ArrivingWorld, count: number): Promise<RawCaller[]> {
  return await Promise.all(Array.from({ length: count }, async () => await RawCaller.open(world.listener.address)))
}

async function openAnsweredCallers (world: ArrivingWorld, count: number): Promise<RawCaller[]> {
  const callers = await openCallers(world, count)
  await Promise.all(callers.map(async caller => await caller.send([{ kind: 'once' }])))
  return callers
}

When('{int} connections are opened and send a request, and its process stands still beyond the time of the close', async function (this: ArrivingWorld, count: number) {
  const { listener, address } = this.listener
  const caller = new Worker(new URL('../support/arrivingCaller.js', import.meta.url))
  await once(caller, 'message')
  const drained = listener.drain(quietMs, 5000)
  await new Promise(resolve => setImmediate(resolve))
  const order: ArrivingOrder = { address, count }
  caller.postMessage(order)
  standStill()
  const [answers] = await once(caller, 'message') as [RawAnswer[]]
  this.arrivingAnswers = answers
  await drained
  await caller.terminate()
})

function standStill (): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, standstillMs)
}

Given('a draining listener whose process stands still before its first response on a connection', async function (this: ArrivingWorld) {
  this.listener = await startTestListener({
    createHandle: ({ path }, response) => createTestHandle(async () => {
      if (path.startsWith(fleetPaths.idempotent)) {
        this.sendDuringStandstill()
        standStill()
      }
      response.writeHead(200, ['Content-Length', '0'])
      response.end()
    })
  })
  this.listener.listener.disableKeepAlive()
})

When('{int} callers send a request, and another one during the standstill', async function (this: ArrivingWorld, count: number) {
  const callers = await Promise.all(Array.from({ length: count }, async () => await RawCaller.open(this.listener.address)))
  const answers: Array<Promise<RawAnswer[]>> = []
  for (const caller of callers) {
    this.sendDuringStandstill = () => { answers.push(caller.send([{ kind: 'once' }])) }
    answers.push(caller.send([{ kind: 'idempotent' }]))
    await Promise.all(answers)
  }
  this.arrivingAnswers = (await Promise.all(answers)).flat()
  for (const caller of callers) caller.close()
})

When('{int} connections to the port of host 2 for other hosts get a request as it begins to stop, and an idle and a new one {int} ms later', { timeout: 20_000 }, async function (this: ArrivingWorld, count: number, ms: number) {
  const host = this.hostFleet.hosts[1]!
  const { address, datagramPort } = host.settings
  const open = async (): Promise<RawCaller> => await RawCaller.open(`${address}:${datagramPort}`)
  const callers = await Promise.all(Array.from({ length: count }, open))
  for (const caller of callers) await caller.send([{ kind: 'once' }])
  const idle = await open()
  await sleep(100)
  const crossing = callers.map(async caller => await caller.send([{ kind: 'once' }]))
  const stopped = this.hostFleet.stopHost(host)
  await sleep(ms)
  const late = [idle, await open()].map(async caller => await caller.send([{ kind: 'once' }]))
  this.arrivingAnswers = (await Promise.all([...crossing, ...late])).flat()
  await stopped
})

Then('each of these requests is answered', function (this: ArrivingWorld) {
  assert.deepEqual(this.arrivingAnswers.map(({ status, error }) => `${status} ${error ?? ''}`), this.arrivingAnswers.map(() => '200 '))
})
