/** Steps of requests that crash the endpoints they run on. */
import assert from 'node:assert/strict'
import { setTimeout as sleep } from 'node:timers/promises'
import type { IncomingMessage } from 'node:http'
import { Given, Then, When } from '@cucumber/cucumber'
import { CrashWatch } from '../../src/core/crashWatch.js'
import type { CrashNotice } from '../../src/core/crashWatch.js'
import { hashContent } from '../../src/core/requestContent.js'
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

interface SoundWorld extends HostsWorld {
  sound: FleetAnswer[]
}

interface WaitingWorld {
  waiting: WaitingRequest
}

interface ContentWorld {
  one: CallerRequest
  other: CallerRequest
}

interface CrashWatchWorld {
  crashWatch: CrashWatch
  nowMs: number
  notices: (CrashNotice | undefined)[]
}

const crashBody = 'a question that crashes endpoints'
/** Longer than an endpoint is away, with two of its heartbeats beyond. */
const gapMs = 1000
const crashMessages: ReadonlySet<HostMessage['type']> = new Set(['suspect'])

Given('{int} hosts before a platform with {int} engines whose entries tell no start', async function (this: HostsWorld, hosts: number, engines: number) {
  this.hostFleet = await HostFleet.start(hosts, { engines, tellsStart: false })
  this.answers = []
})

Given('crashed endpoints are back after {int} ms', function (this: HostsWorld, downMs: number) {
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
    await sleep(gapMs)
    await afterEach(index)
  }
}

When('a {string} request that crashes endpoints comes {int} times, each time at the next host', async function (this: HostsWorld, kind: CallKind, times: number) {
  await sendCrashing(this, kind, times, async () => {})
})

When('a {string} request that crashes endpoints comes {int} times, and all hosts start again after every {int}nd time', { timeout: 60_000 }, async function (this: HostsWorld, kind: CallKind, times: number, every: number) {
  const { hosts } = this.hostFleet
  await sendCrashing(this, kind, times, async index => {
    if ((index + 1) % every !== 0 || index + 1 === times) return
    await Promise.all(hosts.map(async host => await this.hostFleet.stopHost(host)))
    await Promise.all(hosts.map(async host => await this.hostFleet.startHost(host)))
    await sleep(gapMs)
  })
})

/** Sends sound requests to the hosts in turn until the work is done. */
async function sendSoundDuring (world: SoundWorld, ratePerS: number, work: Promise<void>, createCall: (requestId: string) => Parameters<typeof call>[1]): Promise<void> {
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
  world.sound = await Promise.all(calls)
}

When('a {string} request that crashes endpoints comes {int} times, each time at the next host, beside {int} sound ones a second on its adapter', { timeout: 60_000 }, async function (this: SoundWorld, kind: CallKind, times: number, ratePerS: number) {
  const { hosts, fleet } = this.hostFleet
  setFaults(this, () => true, { crashBody })
  const crashingIds = new Set<string>()
  const sendAll = async (): Promise<void> => {
    for (let index = 0; index < times; index++) {
      const requestId = createRequestId()
      crashingIds.add(requestId)
      await call(this, { kind, host: index % hosts.length + 1, adapter: 'a1', body: crashBody, requestId })
      await sleep(gapMs)
    }
  }
  await sendSoundDuring(this, ratePerS, sendAll(), requestId => ({ kind, host: 1, adapter: 'a1', body: `question ${requestId}` }))
  this.crashingRuns = fleet.journal.runs.filter(run => crashingIds.has(run.requestId)).length
})

When('services crash {int} times while the same {string} request comes {int} times a second', { timeout: 60_000 }, async function (this: SoundWorld, times: number, kind: CallKind, ratePerS: number) {
  const crashAll = async (): Promise<void> => {
    for (let index = 0; index < times; index++) {
      await sleep(gapMs)
      for (const { engine, server } of this.hostFleet.fleet.endpoints) if (!engine) server.crash()
    }
    await sleep(gapMs)
  }
  await sendSoundDuring(this, ratePerS, crashAll(), () => ({ kind, host: 1 }))
})

Then('no sound request is refused for good', function (this: SoundWorld) {
  assert.ok(this.sound.length > 0)
  const refused = this.sound.filter(({ status }) => status === 422)
  const counts = this.hostFleet.listLines('suspect.counted').map(({ host, time, fields }) => ({ host, time, ...fields }))
  assert.equal(refused.length, 0, `${refused.length} of ${this.sound.length}; counted: ${JSON.stringify(counts)}`)
})

Then('it reached endpoints at most {int} times', function (this: HostsWorld, times: number) {
  assert.ok(this.crashingRuns <= times, `${this.crashingRuns} times: ${JSON.stringify(this.answers.map(({ status }) => status))}`)
})

Given('a request that waits for a place', async function (this: WaitingWorld) {
  this.waiting = await startWaitingRequest()
})

When('its content is found to crash endpoints', async function (this: WaitingWorld) {
  await this.waiting.refuseContent()
})

Then('the request is refused for good and not sent', function (this: WaitingWorld) {
  assert.deepEqual(this.waiting.read(), { status: 422, sends: 0 })
})

Given('a watch for crashes', function (this: CrashWatchWorld) {
  this.crashWatch = new CrashWatch()
  this.nowMs = 0
  this.notices = []
})

/** What can be told of endpoints, each as its pattern and what follows from it. */
const crashSigns: [RegExp, (world: CrashWatchWorld, ...parts: string[]) => void][] = [
  [/^"(.+)"( that was sent before)? is cut at "(.+)" of start (\d+)$/, (world, content, wasBefore, endpointId, start) => {
    const sentAtMs = wasBefore ? -1 : world.nowMs
    world.nowMs++
    world.notices.push(world.crashWatch.recordCut({ content: content!, endpointId: endpointId!, startedAtMs: Number(start), sentAtMs }, world.nowMs))
  }],
  [/^"(.+)" refuses$/, (world, endpointId) => world.notices.push(world.crashWatch.recordRefused(endpointId!, world.nowMs))],
  [/^"(.+)" starts at (\d+)$/, (world, endpointId, start) => world.notices.push(world.crashWatch.recordStart(endpointId!, Number(start), world.nowMs))],
  [/^(\d+) ms pass$/, (world, ms) => { world.nowMs += Number(ms) }]
]

When(/^("a" is cut at .*)$/, function (this: CrashWatchWorld, events: string) {
  for (const event of events.split(', ')) {
    const [pattern, record] = crashSigns.find(([candidate]) => candidate.test(event))!
    record(this, ...pattern.exec(event)!.slice(1))
  }
})

Then('the crashes are {}', function (this: CrashWatchWorld, expected: string) {
  const crashes = this.notices.flatMap(notice => notice ? [`${notice.crash}: ${notice.contents.join(' ')}`] : [])
  assert.equal(crashes.join(', ') || 'none', expected.trim())
})

interface SentContent {
  url?: string
  headers?: Record<string, string>
  lastByte?: string
}

function decodeContent ({ url = '/a/x', headers = {}, lastByte = 'a' }: SentContent): CallerRequest {
  const sent: Record<string, string> = { 'attempt-id': 'r1', 'deadline-ms': '4000', authorization: 'Bearer one', ...headers }
  const message = { method: 'POST', url, headers: sent, rawHeaders: Object.entries(sent).flat() } as unknown as IncomingMessage
  return decodeRequest(message, Buffer.from(`${'a'.repeat(19_999)}${lastByte}`), 0)
}

const contentChanges: Record<string, SentContent> = {
  'its id and its time': { headers: { 'attempt-id': 'r2', 'deadline-ms': '3000' } },
  'the events it has': { headers: { 'last-event-id': '4' } },
  'its path': { url: '/a/y' },
  'its caller': { headers: { authorization: 'Bearer two' } },
  'the last byte of its body': { lastByte: 'b' }
}

Given('a request with a body of 20000 bytes', function (this: ContentWorld) {
  this.one = decodeContent({})
})

When('another one differs in {}', function (this: ContentWorld, part: string) {
  this.other = decodeContent(contentChanges[part.trim()]!)
})

Then(/^they ask (the same|different things)$/, function (this: ContentWorld, same: string) {
  assert.equal(hashContent(this.one) === hashContent(this.other), same === 'the same')
})
