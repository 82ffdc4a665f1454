/** Steps for requests that crash the endpoints that run them. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import type { IncomingMessage } from 'node:http'
import { Given, Then, When } from '@cucumber/cucumber'
import { CrashDetector } from '../../src/core/crashDetector.js'
import type { CrashNotice } from '../../src/core/crashDetector.js'
import { computeRequestFingerprint } from '../../src/core/requestFingerprint.js'
import { decodeRequest } from '../../src/platform/requestWire.js'
import type { CallerRequest } from '../../src/schemas/callerRequest.js'
import type { HostMessage } from '../../src/schemas/datagram.js'
import { createRequestId } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind, FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import type { StoreFault } from '../../src/standin/fleet/storeServer.js'
import { HostFleet } from '../support/hostFleet.js'
import { call, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'
import { startWaitingRequest } from '../support/waitingRequest.js'
import type { WaitingRequest } from '../support/waitingRequest.js'

interface HarmlessWorld extends HostsWorld {
  harmless: FleetAnswer[]
}

interface WaitingWorld {
  waiting: WaitingRequest
}

interface FingerprintWorld {
  one: CallerRequest
  other: CallerRequest
}

interface CrashDetectorWorld {
  crashDetector: CrashDetector
  nowMs: number
  notices: (CrashNotice | undefined)[]
}

const crashBody = 'a question that crashes endpoints'
/** Longer than a crashed endpoint takes to restart, plus two of its heartbeats. */
const requestGapMs = 1000
const crashMessages: ReadonlySet<HostMessage['type']> = new Set(['suspect'])

Given('{int} hosts before a platform with {int} engines whose entries report no start time', async function (this: HostsWorld, hosts: number, engines: number) {
  this.hostFleet = await HostFleet.start(hosts, { engines, tellsStart: false })
  this.answers = []
})

Given('crashed endpoints restart after {int} ms', function (this: HostsWorld, downMs: number) {
  setFaults(this, () => true, { downMs })
})

Given('messages between hosts about crashes are lost', function (this: HostsWorld) {
  this.hostFleet.isLost = ({ type }) => crashMessages.has(type)
})

Given('the store is {string}', function (this: HostsWorld, fault: StoreFault) {
  this.hostFleet.fleet.store.setFault(fault)
})

async function sendCrashing (world: HostsWorld, kind: CallKind, times: number, afterEach: (index: number) => Promise<void>): Promise<void> {
  const { hosts, fleet } = world.hostFleet
  setFaults(world, () => true, { crashBody })
  for (let index = 0; index < times; index++) {
    await call(world, { kind, host: index % hosts.length + 1, adapter: 'a1', body: crashBody })
    world.crashingRuns = fleet.journal.runs.length
    await sleep(requestGapMs)
    await afterEach(index)
  }
}

When('a {string} request that crashes endpoints is sent {int} times, to each host in turn', async function (this: HostsWorld, kind: CallKind, times: number) {
  await sendCrashing(this, kind, times, async () => {})
})

When('a {string} request that crashes endpoints is sent {int} times, and all hosts restart after every {int}nd time', { timeout: 60_000 }, async function (this: HostsWorld, kind: CallKind, times: number, every: number) {
  const { hosts } = this.hostFleet
  await sendCrashing(this, kind, times, async index => {
    if ((index + 1) % every !== 0 || index + 1 === times) return
    await Promise.all(hosts.map(async host => await this.hostFleet.stopHost(host)))
    await Promise.all(hosts.map(async host => await this.hostFleet.startHost(host)))
    await sleep(requestGapMs)
  })
})

/** Sends harmless requests to the hosts in turn until the work is done. */
async function sendHarmlessDuring (world: HarmlessWorld, ratePerS: number, work: Promise<void>, createCall: (requestId: string) => Parameters<typeof call>[1]): Promise<void> {
  const { hosts } = world.hostFleet
  const calls: Promise<FleetAnswer>[] = []
  const progress = { isDone: false }
  const done = work.finally(() => { progress.isDone = true })
  while (!progress.isDone) {
    const requestId = createRequestId()
    calls.push(world.hostFleet.call({ ...createCall(requestId), requestId, host: calls.length % hosts.length + 1 }))
    await sleep(1000 / ratePerS)
  }
  await done
  world.harmless = await Promise.all(calls)
}

When('a {string} request that crashes endpoints is sent {int} times, to each host in turn, beside {int} harmless ones a second for its adapter', { timeout: 60_000 }, async function (this: HarmlessWorld, kind: CallKind, times: number, ratePerS: number) {
  const { hosts, fleet } = this.hostFleet
  setFaults(this, () => true, { crashBody })
  const crashingIds = new Set<string>()
  const sendAll = async (): Promise<void> => {
    for (let index = 0; index < times; index++) {
      const requestId = createRequestId()
      crashingIds.add(requestId)
      await call(this, { kind, host: index % hosts.length + 1, adapter: 'a1', body: crashBody, requestId })
      await sleep(requestGapMs)
    }
  }
  await sendHarmlessDuring(this, ratePerS, sendAll(), requestId => ({ kind, host: 1, adapter: 'a1', body: `question ${requestId}` }))
  this.crashingRuns = fleet.journal.runs.filter(run => crashingIds.has(run.requestId)).length
})

When('services crash {int} times while the same {string} request is sent {int} times a second', { timeout: 60_000 }, async function (this: HarmlessWorld, times: number, kind: CallKind, ratePerS: number) {
  const crashAll = async (): Promise<void> => {
    for (let index = 0; index < times; index++) {
      await sleep(requestGapMs)
      for (const { engine, server } of this.hostFleet.fleet.endpoints) if (!engine) server.crash()
    }
    await sleep(requestGapMs)
  }
  await sendHarmlessDuring(this, ratePerS, crashAll(), () => ({ kind, host: 1 }))
})

Then('no harmless request is refused permanently', function (this: HarmlessWorld) {
  assert.ok(this.harmless.length > 0)
  const refused = this.harmless.filter(({ status }) => status === 422)
  const counts = this.hostFleet.listLines('suspect.counted').map(({ host, time, fields }) => ({ host, time, ...fields }))
  assert.equal(refused.length, 0, `${refused.length} of ${this.harmless.length}; counted: ${JSON.stringify(counts)}`)
})

Then('it reached endpoints at most {int} times', function (this: HostsWorld, times: number) {
  assert.ok(this.crashingRuns <= times, `${this.crashingRuns} times: ${JSON.stringify(this.answers.map(({ status }) => status))}`)
})

Given('a request that waits for a reservation', async function (this: WaitingWorld) {
  this.waiting = await startWaitingRequest()
})

Given('a request that was sent to an endpoint and has no answer yet', async function (this: WaitingWorld) {
  this.waiting = await startWaitingRequest()
  await this.waiting.send()
})

When('its fingerprint is found to crash endpoints', async function (this: WaitingWorld) {
  await this.waiting.refuseContent()
})

Then('the request is refused permanently and not sent', function (this: WaitingWorld) {
  assert.deepEqual(this.waiting.read(), { status: 422, sends: 0, cancels: 0 })
})

Then('the request is refused permanently and withdrawn from the endpoint', function (this: WaitingWorld) {
  assert.deepEqual(this.waiting.read(), { status: 422, sends: 1, cancels: 1 })
})

Given('a crash detector', function (this: CrashDetectorWorld) {
  this.crashDetector = new CrashDetector()
  this.nowMs = 0
  this.notices = []
})

/** Events that are reported to the crash detector, each with its pattern and the call it makes. */
const crashEvents: [RegExp, (world: CrashDetectorWorld, ...parts: string[]) => void][] = [
  [/^"(.+)"( that was sent earlier)? is interrupted at "(.+)" of start (\d+)$/, (world, content, wasSentEarlier, endpointId, start) => {
    const sentAtMs = wasSentEarlier ? -1 : world.nowMs
    world.nowMs++
    world.notices.push(world.crashDetector.recordInterruption({ content: content!, endpointId: endpointId!, startedAtMs: Number(start), parts: [], hasBegun: false, sentAtMs }, world.nowMs))
  }],
  [/^"(.+)" refuses connections$/, (world, endpointId) => world.notices.push(world.crashDetector.recordConnectionRefused(endpointId!, world.nowMs))],
  [/^"(.+)" reports start (\d+)$/, (world, endpointId, start) => world.notices.push(world.crashDetector.recordProcessStart(endpointId!, Number(start), world.nowMs))],
  [/^(\d+) ms pass$/, (world, ms) => { world.nowMs += Number(ms) }]
]

When(/^("a" is interrupted at .*)$/, function (this: CrashDetectorWorld, events: string) {
  for (const event of events.split(', ')) {
    const [pattern, record] = crashEvents.find(([candidate]) => candidate.test(event))!
    record(this, ...pattern.exec(event)!.slice(1))
  }
})

Then('the detected crashes are {}', function (this: CrashDetectorWorld, expected: string) {
  const crashes = this.notices.flatMap(notice => notice ? [`${notice.crash}: ${notice.requests.map(({ content }) => content).join(' ')}`] : [])
  assert.equal(crashes.join(', ') || 'none', expected.trim())
})

interface RequestVariation {
  url?: string
  headers?: Record<string, string>
  lastByte?: string
}

function createRequest ({ url = '/a/x', headers = {}, lastByte = 'a' }: RequestVariation): CallerRequest {
  const sent: Record<string, string> = { 'attempt-id': 'r1', 'deadline-ms': '4000', authorization: 'Bearer one', ...headers }
  const message = { method: 'POST', url, headers: sent, rawHeaders: Object.entries(sent).flat() } as unknown as IncomingMessage
  return decodeRequest(message, Buffer.from(`${'a'.repeat(19_999)}${lastByte}`), 0)
}

const variations: Record<string, RequestVariation> = {
  'its id and its time left': { headers: { 'attempt-id': 'r2', 'deadline-ms': '3000' } },
  'its last event id': { headers: { 'last-event-id': '4' } },
  'its path': { url: '/a/y' },
  'its caller': { headers: { authorization: 'Bearer two' } },
  'the last byte of its body': { lastByte: 'b' }
}

Given('a request with a body of 20000 bytes', function (this: FingerprintWorld) {
  this.one = createRequest({})
})

When('another one differs in {}', function (this: FingerprintWorld, part: string) {
  this.other = createRequest(variations[part.trim()]!)
})

Then(/^their fingerprints are (equal|different)$/, function (this: FingerprintWorld, result: string) {
  assert.equal(computeRequestFingerprint(this.one) === computeRequestFingerprint(this.other), result === 'equal')
})
