/** Steps for prompt parts that crash the engines that begin to answer on them. */
import assert from 'node:assert/strict'
import type { IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Given, Then, When } from '@cucumber/cucumber'
import { listSharedParts } from '../../src/core/sharedParts.js'
import { decodeRequest } from '../../src/platform/requestWire.js'
import { createRequestId } from '../../src/standin/fleet/fleetCaller.js'
import type { CallKind, FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import type { CallOptions } from '../support/hostFleet.js'
import { call, pickRunning, setFaults } from '../support/hostsWorld.js'
import type { HostsWorld } from '../support/hostsWorld.js'

interface SentRequest {
  requestId: string
  adapter: string
  sentAtMs: number
  answer: Promise<FleetAnswer>
}

interface PartsWorld extends HostsWorld {
  crashParts: string[]
  crashing: SentRequest[]
  sound: SentRequest[]
  harmless: FleetAnswer[]
  sharedParts: string[]
}

/** Sound requests come alone for this long, so that it is known how often they begin without crashes. */
const calmMs = 2000
const firstPart = 'aa01'
/** Second parts of the sound requests, which a crashing part takes the place of. */
const secondPartCount = 20

Given(/^the prompt parts? "(.+)" crash(?:es)? engines$/, function (this: PartsWorld, parts: string) {
  this.crashParts = parts.split(',')
  setFaults(this, ({ engine }) => engine !== undefined, { crashParts: this.crashParts })
})

Given('the prompt part {string} crashes engines on adapter {string}', function (this: PartsWorld, part: string, crashAdapter: string) {
  this.crashParts = [part]
  setFaults(this, ({ engine }) => engine !== undefined, { crashParts: this.crashParts, crashAdapter })
})

Given('the prompt part {string} crashes engines after {int} ms', function (this: PartsWorld, part: string, afterMs: number) {
  this.crashParts = [part]
  setTimeout(() => setFaults(this, ({ engine }) => engine !== undefined, { crashParts: this.crashParts }), afterMs).unref()
})

function sendEach (world: PartsWorld, sent: SentRequest[], createCall: (index: number) => Omit<CallOptions, 'host'>): void {
  const requestId = createRequestId()
  const adapter = `a${sent.length % 3 + 1}`
  // Each adapter's requests come at all hosts.
  const host = pickRunning(world, Math.floor(sent.length / 3) + sent.length)
  const answer = world.hostFleet.call({ ...createCall(sent.length), requestId, body: `question ${requestId}`, adapter, host })
  sent.push({ requestId, adapter, sentAtMs: performance.now(), answer })
}

async function repeatDuring (ratePerS: number, forMs: number, act: () => void): Promise<void> {
  const endAtMs = performance.now() + forMs
  while (performance.now() < endAtMs) {
    act()
    await sleep(1000 / ratePerS)
  }
}

interface CrashingTraffic {
  kind: CallKind
  /** How the parts are written, each with its token count. */
  spellings: readonly string[]
  ratePerS: number
  forMs: number
  soundPerS: number
  restartAfterMs?: number
}

async function sendBoth (world: PartsWorld, { kind, spellings, ratePerS, forMs, soundPerS, restartAfterMs }: CrashingTraffic): Promise<void> {
  world.crashing = []
  world.sound = []
  const sendSound = (): void => sendEach(world, world.sound, index => ({ kind, promptParts: `${firstPart}:60,b${index % secondPartCount}:40,c${index}:30` }))
  const sendCrashing = (): void => sendEach(world, world.crashing, index => ({ kind, promptParts: `${firstPart}:60,${spellings[index % spellings.length]},d${index}:30` }))
  const restartAll = async (): Promise<void> => {
    if (restartAfterMs === undefined) return
    await sleep(calmMs + restartAfterMs)
    for (const host of world.hostFleet.hosts) {
      await world.hostFleet.stopHost(host)
      await world.hostFleet.startHost(host)
    }
  }
  await Promise.all([
    repeatDuring(soundPerS, calmMs + forMs, sendSound),
    sleep(calmMs).then(async () => await repeatDuring(ratePerS, forMs, sendCrashing)),
    restartAll()
  ])
  await Promise.all([...world.crashing, ...world.sound].map(async ({ answer }) => await answer))
  world.harmless = await Promise.all(world.sound.map(async ({ answer }) => await answer))
}

When('{string} requests with the part(s) come {int} times a second for {int} ms beside {int} sound ones a second', { timeout: 60_000 }, async function (this: PartsWorld, kind: CallKind, ratePerS: number, forMs: number, soundPerS: number) {
  await sendBoth(this, { kind, spellings: this.crashParts.map(part => `${part}:50`), ratePerS, forMs, soundPerS })
})

When('{string} requests with the part, as {string}, come {int} times a second for {int} ms beside {int} sound ones a second', { timeout: 60_000 }, async function (this: PartsWorld, kind: CallKind, spellings: string, ratePerS: number, forMs: number, soundPerS: number) {
  await sendBoth(this, { kind, spellings: spellings.split(','), ratePerS, forMs, soundPerS })
})

When('{string} requests with the part come {int} times a second for {int} ms beside {int} sound ones a second, and all hosts restart after {int} ms', { timeout: 90_000 }, async function (this: PartsWorld, kind: CallKind, ratePerS: number, forMs: number, soundPerS: number, restartAfterMs: number) {
  await sendBoth(this, { kind, spellings: this.crashParts.map(part => `${part}:50`), ratePerS, forMs, soundPerS, restartAfterMs })
})

When('a {string} request with the prompt parts {string} is sent', async function (this: PartsWorld, kind: CallKind, promptParts: string) {
  await call(this, { kind, promptParts, adapter: 'a1', host: 1 })
})

Then('{int} engine has crashed, and the caller got {int}', function (this: PartsWorld, count: number, status: number) {
  assert.equal(listCrashTimes(this).length, count)
  assert.equal(this.answers[0]!.status, status)
})

/** Times at which engines crashed, in order: a request with the part begins its answer once on each engine that it crashes. */
function listCrashTimes (world: PartsWorld): number[] {
  return world.hostFleet.fleet.engines.flatMap(({ server }) => server.crashTimesMs).sort((left, right) => left - right)
}

Then(/^at most (\d+) requests with the parts? reached engines( on that adapter)? later than (\d+) ms after the fifth crash$/, function (this: PartsWorld, atMost: number, onAdapter: string | null, windowMs: number) {
  const crashTimes = listCrashTimes(this)
  const ids = new Set(this.crashing.filter(({ adapter }) => onAdapter === null || adapter === 'a1').map(({ requestId }) => requestId))
  assert.ok(crashTimes.length > 0)
  const boundMs = (crashTimes[4] ?? crashTimes.at(-1)!) + Number(windowMs)
  const late = this.hostFleet.fleet.journal.runs.filter(run => ids.has(run.requestId) && run.startedAtMs > boundMs)
  assert.ok(late.length <= Number(atMost), `${late.length} of ${ids.size}; ${crashTimes.length} crashes`)
})

Then('half of those with the part on other adapters are served in the last {int} ms', async function (this: PartsWorld, lastMs: number) {
  const fromMs = this.crashing.at(-1)!.sentAtMs - lastMs
  const answers = await Promise.all(this.crashing.filter(({ adapter, sentAtMs }) => adapter !== 'a1' && sentAtMs > fromMs).map(async ({ answer }) => await answer))
  const served = answers.filter(({ status }) => status === 200)
  assert.ok(served.length >= answers.length / 2, `${served.length} of ${answers.length}`)
})

Then('sound requests sent later than {int} ms after the fifth crash begin at least half as often as those before the first crash', async function (this: PartsWorld, settleMs: number) {
  const crashTimes = listCrashTimes(this)
  const measureShare = async (requests: SentRequest[]): Promise<number> => {
    const answers = await Promise.all(requests.map(async ({ answer }) => await answer))
    assert.ok(answers.length >= 20, `${answers.length} requests`)
    return answers.filter(({ status }) => status === 200).length / answers.length
  }
  const before = await measureShare(this.sound.filter(({ sentAtMs }) => sentAtMs < crashTimes[0]! - 500))
  const after = await measureShare(this.sound.filter(({ sentAtMs }) => sentAtMs > (crashTimes[4] ?? crashTimes.at(-1)!) + settleMs))
  assert.ok(after >= before / 2, `${after} after ${before}`)
})

Given(/^a request with the prompt parts "(.*)"$/, function (this: PartsWorld, header: string) {
  const headers: Record<string, string> = { 'attempt-id': 'r1', 'prompt-prefix': header }
  const message = { method: 'POST', url: '/a/x', headers, rawHeaders: Object.entries(headers).flat() } as unknown as IncomingMessage
  this.sharedParts = listSharedParts(decodeRequest(message, undefined, 0))
})

Then(/^its shared parts are "(.*)"$/, function (this: PartsWorld, parts: string) {
  assert.equal(this.sharedParts.join(' '), parts)
})
