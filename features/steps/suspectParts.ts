/** Steps for the prompt parts that are refused, and for hosts that find them. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { ServedFingerprints } from '../../src/core/servedFingerprints.js'
import { SuspectParts } from '../../src/core/suspectParts.js'
import { SuspectPartHosts } from '../support/suspectPartHosts.js'

interface RegistryWorld {
  served: ServedFingerprints
  registry: SuspectParts
  nowMs: number
}

interface PartHostsWorld {
  partHosts: SuspectPartHosts
  crashes: number
}

const maxSuspects = 4096
/** Requests of the events are sent this long before their engine crashes. */
const sentAgoMs = 50
const crashGapMs = 100
const soundPartCount = 10

Given('a registry of suspect parts', function (this: RegistryWorld) {
  this.served = new ServedFingerprints()
  this.registry = new SuspectParts({ countServed: part => this.served.getCount(part), maxSuspects })
  this.nowMs = 0
})

function addCrash (world: RegistryWorld, crash: string, parts: readonly string[], request: string): void {
  for (const part of parts) world.registry.addCrash({ part, crash, request, sentAgoMs }, world.nowMs)
}

function recordAnswers (world: RegistryWorld, part: string, times: number): void {
  for (let index = 0; index < times; index++) world.served.record(part)
  world.registry.clear(part)
}

/** Events of the registry, each with its pattern and what it does. */
const registryEvents: [RegExp, (world: RegistryWorld, ...parts: string[]) => void][] = [
  [/^(c\d+) beneath "(.+)" of (r\d+)$/, (world, crash, parts, request) => {
    world.nowMs += crashGapMs
    addCrash(world, crash!, parts!.split(' '), request!)
  }],
  [/^"(.+)" is answered (\d+) times$/, (world, part, times) => recordAnswers(world, part!, Number(times))],
  [/^(\d+) crashes at once beneath "(.+)"$/, (world, count, part) => {
    for (let index = 0; index < Number(count); index++) addCrash(world, `m${index}`, [part!], `r${index}`)
  }],
  [/^(\d+) crashes one after the other beneath "(.+)"$/, (world, count, part) => {
    for (let index = 0; index < Number(count); index++) {
      world.nowMs += crashGapMs
      addCrash(world, `m${index}`, [part!], `r${index}`)
    }
  }],
  [/^one crash beneath (\d+) parts$/, (world, count) => addCrash(world, 'm', Array.from({ length: Number(count) }, (_, index) => `p${index}`), 'r')],
  [/^(\d+) parts are answered$/, (world, count) => {
    for (let index = 0; index < Number(count); index++) recordAnswers(world, `p${index}`, 1)
  }],
  [/^(\d+) ms pass$/, (world, ms) => { world.nowMs += Number(ms) }]
]

When(/^((?:"b" is answered|\w+ beneath|one crash beneath) .*)$/, function (this: RegistryWorld, events: string) {
  for (const event of events.split(', ')) {
    const [pattern, act] = registryEvents.find(([candidate]) => candidate.test(event))!
    act(this, ...pattern.exec(event)!.slice(1))
  }
})

Then('the refused parts are {}', function (this: RegistryWorld, expected: string) {
  assert.equal(this.registry.listVerdicts().map(({ parts }) => parts.join('+')).join(', ') || 'none', expected.trim())
  assert.ok(this.registry.size <= maxSuspects)
})

Given(/^(\d+) hosts that find suspect parts, of whose messages (\d+)% are lost, and the store is (reachable|absent)$/, function (this: PartHostsWorld, hosts: number, lost: number, store: string) {
  this.partHosts = new SuspectPartHosts({ hosts: Number(hosts), lostShare: Number(lost) / 100, isStoreAbsent: store === 'absent' })
  this.crashes = 0
  for (const [index, { tasks }] of this.partHosts.hosts.entries()) {
    for (let times = 0; times < 20; times++) tasks.checks.recordBegun(['first'])
    // Each of the other sound parts was answered by two hosts.
    tasks.checks.recordBegun([`s${index % soundPartCount}`])
    tasks.checks.recordBegun([`s${(index + 3) % soundPartCount}`])
  }
})

When('requests with the part {string} crash engines up to {int} times, {int} ms apart, each beneath sound requests of {int} hosts', async function (this: PartHostsWorld, part: string, times: number, gapMs: number, soundHosts: number) {
  const { hosts } = this.partHosts
  for (let index = 0; index < times; index++) {
    await this.partHosts.run(gapMs)
    // Requests come at any host.
    const host = index * 3 % hosts.length
    const parts = ['first', `s${index % 2}`, part]
    if (this.partHosts.isRefused(host, parts) !== undefined) continue
    const sound = Array.from({ length: soundHosts }, (_, offset) => ({ host: (host + offset) % hosts.length, parts: ['first', `s${(index + offset) % soundPartCount}`] }))
    this.partHosts.crash([{ host, parts }, ...sound])
    this.crashes++
  }
})

When('requests with the parts {string} and {string} crash engines {int} times, {int} ms apart', async function (this: PartHostsWorld, sound: string, part: string, count: number, gapMs: number) {
  for (let index = 0; index < count; index++) {
    await this.partHosts.run(gapMs)
    this.partHosts.crash([{ host: index, parts: ['first', sound, part] }])
  }
})

When('requests with the part {string} are beneath {int} crashes that they did not cause', async function (this: PartHostsWorld, part: string, count: number) {
  for (let index = 0; index < count; index++) {
    await this.partHosts.run(crashGapMs)
    this.partHosts.crash([{ host: index, parts: ['first', part] }])
  }
  await this.partHosts.run(1000)
})

Then('{int} ms after the last crash every host refuses requests with {string}', async function (this: PartHostsWorld, windowMs: number, part: string) {
  await this.partHosts.run(windowMs)
  const accepting = this.partHosts.hosts.filter((_, index) => this.partHosts.isRefused(index, ['first', 's1', part]) === undefined)
  assert.equal(accepting.length, 0, `${accepting.length} hosts accept them after ${this.crashes} crashes`)
})

Then('every host refuses requests with {string} for the time being', function (this: PartHostsWorld, part: string) {
  for (const index of this.partHosts.hosts.keys()) assert.equal(this.partHosts.isRefused(index, ['first', part]), 503)
})

Then('no host refuses requests with sound parts alone', function (this: PartHostsWorld) {
  for (const index of this.partHosts.hosts.keys()) {
    for (let part = 0; part < soundPartCount; part++) assert.equal(this.partHosts.isRefused(index, ['first', `s${part}`]), undefined)
  }
})

Then('no host has sent more than {int} messages for each crash to each other host', function (this: PartHostsWorld, count: number) {
  const { hosts } = this.partHosts
  const bound = count * this.crashes * (hosts.length - 1)
  for (const { name, sent } of hosts) assert.ok(sent <= bound, `${name} sent ${sent} of ${bound}`)
})

/** Sends a request with the parts to each host in turn, as callers do; returns the hosts that run it. */
async function sendRequests (partHosts: SuspectPartHosts, parts: readonly string[], forMs: number, runTrial: (host: number) => boolean): Promise<{ host: number, atMs: number }[]> {
  const trials: { host: number, atMs: number }[] = []
  const endAtMs = partHosts.clock.readMonotonic() + forMs
  for (let index = 0; partHosts.clock.readMonotonic() < endAtMs; index++) {
    const host = index % partHosts.hosts.length
    if (partHosts.hosts[host]!.tasks.checks.tryBeginTrial('a content', parts)) {
      trials.push({ host, atMs: partHosts.clock.readMonotonic() })
      if (!runTrial(host)) return trials
    }
    await partHosts.run(100)
  }
  return trials
}

Then('one host lets one request with {string} run within {int} to {int} ms', async function (this: PartHostsWorld & { trialHost: number, trialParts: string[] }, part: string, fromMs: number, toMs: number) {
  const startedAtMs = this.partHosts.clock.readMonotonic()
  this.trialParts = ['first', part]
  const trials = await sendRequests(this.partHosts, this.trialParts, toMs, () => false)
  assert.equal(trials.length, 1)
  // The crashes came up to one second before.
  assert.ok(trials[0]!.atMs - startedAtMs >= fromMs - 1100, `${trials[0]!.atMs - startedAtMs}`)
  this.trialHost = trials[0]!.host
})

When('its answer begins', async function (this: PartHostsWorld & { trialHost: number, trialParts: string[] }) {
  this.partHosts.hosts[this.trialHost]!.tasks.checks.recordBegun(this.trialParts)
  await this.partHosts.run(1000)
})

Then('no host refuses requests with {string}', function (this: PartHostsWorld, part: string) {
  for (const index of this.partHosts.hosts.keys()) assert.equal(this.partHosts.isRefused(index, ['first', part]), undefined)
})

When('each trial crashes its engine, for {int} ms', { timeout: 30_000 }, async function (this: PartHostsWorld & { trials: { atMs: number }[] }, forMs: number) {
  const startedAtMs = this.partHosts.clock.readMonotonic()
  const parts = ['first', 's1', 'bad']
  const trials = await sendRequests(this.partHosts, parts, forMs, host => {
    this.partHosts.crash([{ host, parts }])
    return true
  })
  this.trials = trials.map(({ atMs }) => ({ atMs: atMs - startedAtMs }))
})

Then('{string} was tried at most {int} times, and at most once in the first {int} ms', function (this: PartHostsWorld & { trials: { atMs: number }[] }, _part: string, count: number, firstMs: number) {
  assert.ok(this.trials.length >= 1 && this.trials.length <= count, JSON.stringify(this.trials))
  assert.ok(this.trials.filter(({ atMs }) => atMs < firstMs).length <= 1, JSON.stringify(this.trials))
})

When('a host starts', function (this: PartHostsWorld) {
  this.partHosts.addHost()
})
