/** Steps of callers that ask for another protocol and send requests behind that. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Then, When } from '@cucumber/cucumber'
import { createRequestId, isWhole } from '../../src/standin/fleet/fleetCaller.js'
import { formatRawRequest, RawCaller } from '../../src/standin/fleet/rawCaller.js'
import type { RawAnswer, RawRequest } from '../../src/standin/fleet/rawCaller.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import type { ProcessSystem } from '../support/processes.js'
import { formatCompletion, readAnswers } from './gatewayStops.js'

interface UpgradesWorld extends HostsWorld {
  rawAnswers: RawAnswer[]
  unreadableAnswer: RawAnswer
  hiddenId: string
  processes: ProcessSystem
  received: string
}

const headerLines = ['Connection: Upgrade, HTTP2-Settings', 'Upgrade: h2c', 'HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA']
const askingRequest: RawRequest = Object.freeze({ kind: 'idempotent', headerLines })
/** Requests before those behind, by how their caller asks for another protocol. */
const askingRequests: Readonly<Record<string, readonly RawRequest[]>> = Object.freeze({
  'without a body': [askingRequest],
  'with a body': [{ kind: 'once', headerLines }],
  'each time': [askingRequest, askingRequest],
  'behind a request': [{ kind: 'once' }, askingRequest]
})
const noRequest = 'no request at all\r\n\r\n'
const pauseMs = 80
/** A part of any head. */
const headBytes = 30
/** An answer that has not come by then does not come. */
const maxAnswerMs = 3000

/** Lets a caller send, and closes its connection when it has its answers, or they take too long. */
async function callHost (world: UpgradesWorld, sendRequests: (caller: RawCaller) => Promise<RawAnswer[]>): Promise<RawAnswer[]> {
  const caller = await RawCaller.open(world.hostFleet.hosts[0]!.settings.callersAddress)
  const timer = setTimeout(() => caller.close(), maxAnswerMs)
  const answers = await sendRequests(caller)
  clearTimeout(timer)
  caller.close()
  return answers
}

/** Sends requests and another one behind them, whose bytes from `cut` on come later. */
async function sendCut (caller: RawCaller, requests: readonly RawRequest[], request: RawRequest & { requestId: string }, cut: number): Promise<RawAnswer[]> {
  const bytes = formatRawRequest(request)
  const sent = caller.send([...requests, bytes.slice(0, cut)])
  await sleep(pauseMs)
  caller.write(bytes.slice(cut))
  const answers = await sent
  return [...answers.slice(0, -1), { ...answers.at(-1)!, requestId: request.requestId }]
}

When(/^a caller asks for another protocol (.+), with (\d+) requests? (at once|cut in the middle) behind it$/, { timeout: 10_000 }, async function (this: UpgradesWorld, how: string, count: string, where: string) {
  const asking = askingRequests[how]!
  this.rawAnswers = await callHost(this, async caller => {
    if (where === 'at once') return await caller.send([...asking, ...Array.from({ length: Number(count) }, () => how === 'each time' ? askingRequest : { kind: 'once' as const })])
    return await sendCut(caller, asking, { kind: 'once', requestId: createRequestId() }, headBytes)
  })
})

When('a caller asks for another protocol, with a request behind it whose body is a request and comes later', { timeout: 10_000 }, async function (this: UpgradesWorld) {
  this.hiddenId = createRequestId()
  const body = formatRawRequest({ kind: 'once', requestId: this.hiddenId })
  const request: RawRequest & { requestId: string } = { kind: 'once', requestId: createRequestId(), body }
  this.rawAnswers = await callHost(this, async caller => await sendCut(caller, [askingRequest], request, formatRawRequest(request).length - body.length))
})

When(/^a caller asks for another protocol, and sends bytes that are no request (at once|200 ms) behind it$/, { timeout: 10_000 }, async function (this: UpgradesWorld, when: string) {
  const answers = await callHost(this, async caller => {
    if (when === 'at once') return await caller.send([askingRequest, noRequest])
    const first = caller.send([askingRequest])
    await sleep(Number.parseInt(when, 10))
    return [...await first, ...await caller.send([noRequest])]
  })
  this.rawAnswers = answers.slice(0, 1)
  this.unreadableAnswer = answers[1]!
})

When('a caller asks the gateway for another protocol with a completion, and sends {int} completions at once behind it', { timeout: 10_000 }, async function (this: UpgradesWorld, count: number) {
  const socket = connect({ host: '127.0.0.1', port: Number(new URL(this.processes.urls[0]!).port) })
  this.received = ''
  socket.setEncoding('latin1').on('error', () => {}).on('data', chunk => { this.received += String(chunk) })
  socket.write(formatCompletion(false).replace('\r\n', `\r\n${headerLines.join('\r\n')}\r\n`) + formatCompletion(false).repeat(count))
  for (let waitedMs = 0; waitedMs < maxAnswerMs && readAnswers(this.received).length <= count; waitedMs += pauseMs) await sleep(pauseMs)
  socket.destroy()
})

Then('each request of this connection is answered as a whole', function (this: UpgradesWorld) {
  assert.deepEqual(this.rawAnswers.filter(answer => !isWhole(answer)).map(({ kind, status, error, tookMs }) => `${kind}: ${status}, ${error}, after ${Math.round(tookMs)} ms`), [])
})

Then('what the body says has not run', function (this: UpgradesWorld) {
  assert.deepEqual(this.hostFleet.fleet.journal.listRuns(this.hiddenId), [])
})

Then('these bytes are answered with 400', function (this: UpgradesWorld) {
  assert.equal(this.unreadableAnswer.status, 400, JSON.stringify(this.unreadableAnswer))
})
