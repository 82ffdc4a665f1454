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
import { waitUntil } from '../support/waitUntil.js'

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
  /** End of the traffic but for its extension; later crashes do not move what is judged. */
  plannedEndAtMs: number
}

/** Sound requests come alone for this long at least, so that it is known how often they begin without crashes. */
const calmMs = 2000
/** Those sent just before the first crash may meet it. */
const beforeCrashMs = 500
/** Sound requests that are needed to tell how often they begin. */
const minJudged = 20
/** Time at the end of the traffic in which they are sent. */
const judgedMs = 2000
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

/** Counts the sound requests that were sent at such times. */
function countSound ({ sound }: PartsWorld, isCounted: (atMs: number) => boolean): number {
  return sound.filter(({ sentAtMs }) => isCounted(sentAtMs)).length
}

async function repeatWhile (ratePerS: number, isDue: () => boolean, act: () => void): Promise<void> {
  while (isDue()) {
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
  /** The traffic lasts at least this long after the fifth crash, and until enough sound requests were sent at its end. */
  afterCrashesMs?: number
  soundPerS: number
  restartAfterMs?: number
}

async function sendBoth (world: PartsWorld, { kind, spellings, ratePerS, forMs, afterCrashesMs = 0, soundPerS, restartAfterMs }: CrashingTraffic): Promise<void> {
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
  world.plannedEndAtMs = Infinity
  const isDue = (): boolean => {
    const extendedEndAtMs = findFifthCrash(world) + afterCrashesMs
    const isJudgeable = afterCrashesMs === 0 || countSound(world, atMs => atMs > extendedEndAtMs - judgedMs) >= minJudged
    return performance.now() < Math.max(world.plannedEndAtMs, extendedEndAtMs) || !isJudgeable
  }
  const sendCrashingAfterCalm = async (): Promise<void> => {
    await sleep(calmMs)
    await waitUntil(() => countSound(world, atMs => atMs < performance.now() - beforeCrashMs) >= minJudged)
    world.plannedEndAtMs = performance.now() + forMs
    await repeatWhile(ratePerS, isDue, sendCrashing)
  }
  await Promise.all([
    repeatWhile(soundPerS, isDue, sendSound),
    sendCrashingAfterCalm(),
    restartAll()
  ])
  await Promise.all([...world.crashing, ...world.sound].map(async ({ answer }) => await answer))
  world.harmless = await Promise.all(world.sound.map(async ({ answer }) => await answer))
}

When('{string} requests with the part(s) come {int} times a second for {int} ms beside {int} sound ones a second', { timeout: 60_000 }, async function (this: PartsWorld, kind: CallKind, ratePerS: number, forMs: number, soundPerS: number) {
  await sendBoth(this, { kind, spellings: this.crashParts.map(part => `${part}:50`), ratePerS, forMs, soundPerS })
})

When('{string} requests with the part(s) come {int} times a second for {int} ms, and until {int} ms after the fifth crash, beside {int} sound ones a second', { timeout: 90_000 }, async function (this: PartsWorld, kind: CallKind, ratePerS: number, forMs: number, afterCrashesMs: number, soundPerS: number) {
  await sendBoth(this, { kind, spellings: this.crashParts.map(part => `${part}:50`), ratePerS, forMs, afterCrashesMs, soundPerS })
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

/** When the fifth engine crashed, or the last one where fewer have; -Infinity if none has. */
function findFifthCrash (world: PartsWorld): number {
  const crashTimes = listCrashTimes(world).filter(atMs => atMs <= world.plannedEndAtMs)
  return crashTimes[4] ?? crashTimes.at(-1) ?? -Infinity
}

Then(/^at most (\d+) requests with the parts? reached engines( on that adapter)? later than (\d+) ms after the fifth crash$/, function (this: PartsWorld, atMost: number, onAdapter: string | null, windowMs: number) {
  const crashTimes = listCrashTimes(this)
  const ids = new Set(this.crashing.filter(({ adapter }) => onAdapter === null || adapter === 'a1').map(({ requestId }) => requestId))
  assert.ok(crashTimes.length > 0)
  const boundMs = findFifthCrash(this) + Number(windowMs)
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
  const measureShare = async (requests: SentRequest[], when: string): Promise<number> => {
    const answers = await Promise.all(requests.map(async ({ answer }) => await answer))
    assert.ok(answers.length >= minJudged, `${answers.length} requests ${when}`)
    return answers.filter(({ status }) => status === 200).length / answers.length
  }
  const before = await measureShare(this.sound.filter(({ sentAtMs }) => sentAtMs < crashTimes[0]! - beforeCrashMs), 'before the first crash')
  const after = await measureShare(this.sound.filter(({ sentAtMs }) => sentAtMs > findFifthCrash(this) + settleMs), 'after the fifth crash')
  assert.ok(after >= before / 2, `${after} after ${before}`)
})

function readSharedParts (header: string): string[] {
  const headers: Record<string, string> = { 'attempt-id': 'r1', 'prompt-prefix': header }
  const message = { method: 'POST', url: '/a/x', headers, rawHeaders: Object.entries(headers).flat() } as unknown as IncomingMessage
  return listSharedParts(decodeRequest(message, undefined, 0))
}

Given(/^a request with the prompt parts "(.*)"$/, function (this: PartsWorld, header: string) {
  this.sharedParts = readSharedParts(header)
})

Given('a request whose prompt parts have counts of {int} and {int} digits', function (this: PartsWorld, first: number, second: number) {
  this.sharedParts = readSharedParts(`ab:${'9'.repeat(first)},cd:${'9'.repeat(second)},ef:1`)
})

Then(/^its shared parts are "(.*)"$/, function (this: PartsWorld, parts: string) {
  assert.equal(this.sharedParts.join(' '), parts)
})
