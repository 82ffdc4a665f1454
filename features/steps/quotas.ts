/** Steps for quotas on a virtual clock. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { computeRequestCost } from '../../src/core/quota/quotaTerms.js'
import type { ClientAccount } from '../../src/schemas/routing.js'
import { QuotaDirectory } from '../../src/tasks/quota/quotaDirectory.js'
import type { FleetAnswer } from '../../src/standin/fleet/fleetCaller.js'
import { HostFleet } from '../support/hostFleet.js'
import { QuotaCluster, quotaBounds } from '../support/quotaCluster.js'
import type { QuotaNode } from '../support/quotaCluster.js'

interface QuotasWorld {
  cluster: QuotaCluster
  accounts: ClientAccount[]
  hosts: number
  durationMs: number
  cost: number
  fleet: HostFleet | undefined
  answers: { atMs: number, answer: FleetAnswer }[]
}

/** The hosts are steady and their balances filled from then on. */
const startedMs = 6000

function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let value = Math.imul(state ^ (state >>> 15), 1 | state)
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32
  }
}

function createAccount (perSecond: number, part = 1): ClientAccount {
  return { name: `account-${perSecond}`, keys: [], rank: undefined, quota: { unit: 'tokens', perSecond: perSecond * part, burst: perSecond * part, plainTokens: 100 } }
}

function computeLimit ({ quota }: ClientAccount): number {
  return (quota!.perSecond * quotaBounds.windowMs / 1000 + quota!.burst) * (1 + quotaBounds.overrunRatio) + quotaBounds.tolerance
}

/** Mostly short prompts, and long ones as the published kinds have. */
function drawCost (random: () => number): number {
  return Math.round(random() < 0.08 ? 3000 + random() * 9000 : 300 + random() * 800)
}

function sendAll (world: QuotasWorld, readPart: (account: ClientAccount) => number, untilMs: number): void {
  for (const account of world.accounts) {
    world.cluster.sendRequests(account, () => account.quota!.perSecond * readPart(account), () => drawCost(world.cluster.random), untilMs)
  }
}

/** The granter and deputy of the account with the highest rate, whose slack is the shortest. */
function listGranters ({ nodes }: QuotaCluster, accounts: readonly ClientAccount[]): QuotaNode[] {
  const directory = new QuotaDirectory(quotaBounds, () => nodes.map(node => ({ ...node, isLeaving: false })))
  directory.applyAccounts(accounts)
  directory.applyHosts(0)
  return directory.listGranters(directory.find(accounts.at(-1)!.name)!.group).map(({ host }) => nodes.find(node => node.host === host)!)
}

function checkWithinLimits ({ cluster, accounts }: QuotasWorld, describe: string): void {
  for (const account of accounts) {
    const spent = cluster.computeMaxSpent(account.name)
    assert.ok(spent <= computeLimit(account), `${account.name} spent ${spent} in a window, its limit is ${computeLimit(account)} (${describe})`)
  }
}

type Failure = (cluster: QuotaCluster, nodes: QuotaNode[]) => { begin: () => void, end: () => void }

function cut (nodes: readonly QuotaNode[]): ReturnType<Failure> {
  return { begin: () => { for (const node of nodes) node.island = 1 }, end: () => { for (const node of nodes) node.island = 0 } }
}

function stopThenStart (cluster: QuotaCluster, nodes: readonly QuotaNode[]): ReturnType<Failure> {
  return { begin: () => { for (const node of nodes) cluster.kill(node) }, end: () => { for (const node of nodes) cluster.start(node) } }
}

function freeze (cluster: QuotaCluster, node: QuotaNode): ReturnType<Failure> {
  return { begin: () => { node.isFrozen = true }, end: () => cluster.resume(node) }
}

function restartAll (cluster: QuotaCluster): ReturnType<Failure> {
  const restart = (): void => {
    for (const node of cluster.nodes) cluster.kill(node)
    for (const node of cluster.nodes) cluster.start(node)
  }
  return { begin: restart, end: restart }
}

/** The first of the nodes is the granter, the second its deputy. */
const failures: Record<string, Failure> = {
  'the granter dies': (cluster, nodes) => stopThenStart(cluster, nodes.slice(0, 1)),
  'the granter and its deputy die together': (cluster, nodes) => stopThenStart(cluster, nodes.slice(0, 2)),
  'the granter is cut off': (_, nodes) => cut(nodes.slice(0, 1)),
  'the granter and a third of the hosts are cut off': (_, nodes) => cut(nodes.slice(0, Math.ceil(nodes.length / 3))),
  'the granter and two thirds of the hosts are cut off': (_, nodes) => cut(nodes.slice(0, Math.ceil(nodes.length * 2 / 3))),
  'the granter is frozen': (cluster, nodes) => freeze(cluster, nodes[0]!),
  'the deputy is frozen': (cluster, nodes) => freeze(cluster, nodes[1]!),
  'all hosts restart at once': restartAll,
  'the store is unavailable': cluster => ({ begin: () => { cluster.isStoreAvailable = false }, end: () => { cluster.isStoreAvailable = true } }),
  '30% of the messages are lost': cluster => ({ begin: () => { cluster.lossRate = 0.3 }, end: () => { cluster.lossRate = 0 } })
}

function sortNodes ({ cluster, accounts }: QuotasWorld): QuotaNode[] {
  const granters = listGranters(cluster, accounts)
  return [...granters, ...cluster.nodes.filter(node => !granters.includes(node))]
}

function createWorld (world: QuotasWorld, seed: number): void {
  world.cluster = new QuotaCluster(world.hosts, world.accounts, createRandom(seed))
}

After(async function (this: QuotasWorld) {
  await this.fleet?.stop()
})

Given('{int} hosts with accounts of {int}, {int} and {int} tokens per second', function (this: QuotasWorld, hosts: number, first: number, second: number, third: number) {
  this.hosts = hosts
  this.accounts = [first, second, third].map(rate => createAccount(rate))
  createWorld(this, 7)
})

When('the accounts use {int}% of their rates for {int} s', function (this: QuotasWorld, percent: number, seconds: number) {
  this.durationMs = seconds * 1000
  // The first report after a minute without any finds half of the bucket, until the deputy has acknowledged a heartbeat.
  this.cluster.clock.runUntil(startedMs - 2000)
  sendAll(this, () => this.cluster.clock.readMonotonic() < startedMs ? 0.1 : percent / 100, startedMs + this.durationMs)
  this.cluster.clock.runUntil(startedMs + this.durationMs)
})

When('the account of {int} asks for {int}% of its rate for {int} s, and the others use {int}%', function (this: QuotasWorld, rate: number, percent: number, seconds: number, usualPercent: number) {
  this.durationMs = seconds * 1000
  this.cluster.clock.runUntil(startedMs)
  sendAll(this, account => (account.name === `account-${rate}` ? percent : usualPercent) / 100, startedMs + this.durationMs)
  this.cluster.clock.runUntil(startedMs + this.durationMs)
})

When(/^the accounts ask for (\d+)% of their rates for (\d+) s while (.*)$/, function (this: QuotasWorld, percent: string, seconds: string, name: string) {
  this.durationMs = Number(seconds) * 1000
  const { begin, end } = failures[name]!(this.cluster, sortNodes(this))
  sendAll(this, () => Number(percent) / 100, this.durationMs)
  this.cluster.clock.runUntil(15_000)
  begin()
  this.cluster.clock.runUntil(35_000)
  end()
  this.cluster.clock.runUntil(this.durationMs)
})

When('the accounts ask for {int}% of their rates for {int} s, and all rates are lowered to a quarter at {int} s', function (this: QuotasWorld, percent: number, seconds: number, atS: number) {
  sendAll(this, () => percent / 100, seconds * 1000)
  this.cluster.clock.runUntil(atS * 1000)
  this.cluster.setAccounts(this.accounts.map(({ quota }) => createAccount(quota!.perSecond, 0.25)))
  this.cluster.clock.runUntil(seconds * 1000)
})

Then('no account spends more than a quarter of its limit in any window from {int} s on', function (this: QuotasWorld, fromS: number) {
  for (const { name, quota } of this.accounts) {
    const limit = computeLimit(createAccount(quota!.perSecond, 0.25))
    const spent = this.cluster.computeMaxSpent(name, fromS * 1000 - quotaBounds.windowMs)
    assert.ok(spent <= limit, `${name} spent ${spent}, its limit is ${limit}`)
  }
})

Then('no account is refused more than {float}% of its tokens', function (this: QuotasWorld, percent: number) {
  for (const { name } of this.accounts) {
    const [spent, refused] = [true, false].map(isSpent => this.cluster.sum(name, isSpent, startedMs, Infinity)) as [number, number]
    assert.ok(refused <= (spent + refused) * percent / 100, `${name}: ${refused} tokens refused, ${spent} spent`)
  }
})

Then('no host sends more than {int} messages per second on average', function (this: QuotasWorld, limit: number) {
  const perSecond = this.cluster.messages / this.hosts * 1000 / this.durationMs
  assert.ok(perSecond <= limit, `${perSecond} messages per second`)
})

Then('the account of {int} spends at least {int}% of its rate', function (this: QuotasWorld, rate: number, percent: number) {
  const spent = this.cluster.sum(`account-${rate}`, true, startedMs, startedMs + this.durationMs)
  assert.ok(spent >= rate * this.durationMs / 1000 * percent / 100, `${spent / this.durationMs * 1000} per second`)
})

Then('no account spends more than its limit in any window', function (this: QuotasWorld) {
  checkWithinLimits(this, 'seed 7')
})

Then('no account spends more than its limit in any window of {int} random histories of failures', function (this: QuotasWorld, runs: number) {
  for (let seed = 100; seed < 100 + runs; seed++) {
    createWorld(this, seed)
    const { cluster } = this
    const random = createRandom(seed + 1)
    const untilMs = 80_000
    sendAll(this, () => 4, untilMs)
    const history: string[] = []
    for (let atMs = startedMs; atMs < untilMs - 10_000;) {
      cluster.clock.runUntil(atMs)
      const names = Object.keys(failures)
      const name = names[Math.floor(random() * names.length)]!
      const { begin, end } = failures[name]!(cluster, random() < 0.7 ? sortNodes(this) : [...cluster.nodes].sort(() => random() - 0.5))
      const lengthMs = 200 + random() ** 2 * 16_000
      history.push(`${name} at ${Math.round(atMs)} for ${Math.round(lengthMs)}`)
      begin()
      cluster.clock.runUntil(atMs + lengthMs)
      end()
      atMs += lengthMs + random() * 4000
    }
    cluster.clock.runUntil(untilMs)
    checkWithinLimits(this, `seed ${seed}: ${history.join('; ')}`)
  }
})

When(/^each host gets (\d+) requests of (\S+) tokens of the account of (\d+), and then the accounts use (\d+)% of their rates for (\d+) s$/, function (this: QuotasWorld, countText: string, tokensText: string, rate: string, percentText: string, secondsText: string) {
  const [count, promptTokens, percent, seconds] = [countText, tokensText, percentText, secondsText].map(Number) as [number, number, number, number]
  const { cluster, accounts } = this
  this.durationMs = seconds * 1000
  cluster.clock.runUntil(startedMs - 2000)
  for (const { task } of cluster.nodes) {
    for (let index = 0; index < count; index++) task!.charge(accounts.find(({ name }) => name === `account-${rate}`)!, { promptTokens, maxTokens: 0, hasTokenCounts: true })
  }
  sendAll(this, () => cluster.clock.readMonotonic() < startedMs ? 0.1 : percent / 100, startedMs + this.durationMs)
  cluster.clock.runUntil(startedMs + this.durationMs)
})

Then('hosts can read all messages of each other', function (this: QuotasWorld) {
  assert.equal(this.cluster.unreadableMessages, 0)
})

When('a request of an account with 100 tokens for plain requests states {string}', function (this: QuotasWorld, counts: string) {
  const [promptTokens = 0, maxTokens = 0] = counts.split(',').map(Number)
  this.cost = computeRequestCost(createAccount(1000).quota!, { promptTokens, maxTokens, hasTokenCounts: counts !== 'none' })
})

Then('it costs {int}', function (this: QuotasWorld, cost: number) {
  assert.equal(this.cost, cost)
})

Given('{int} hosts before a platform whose account {string} may spend {int} tokens per second', { timeout: 20_000 }, async function (this: QuotasWorld, hosts: number, name: string, perSecond: number) {
  const fleet = await HostFleet.prepare(hosts)
  this.fleet = fleet
  fleet.fleet.writeConfiguration({ accounts: [{ name, keys: [`key-of-${name}`], rank: undefined, quota: { unit: 'tokens', perSecond, burst: perSecond, plainTokens: 100 } }] })
  for (const host of fleet.hosts) host.settings = { ...host.settings, quotaBounds: { windowMs: 8000, overrunRatio: 0.1, tolerance: 0 } }
  await Promise.all(fleet.hosts.map(async host => await fleet.startHost(host)))
  await fleet.waitForOwners()
  // Granters settle.
  await new Promise<void>(resolve => { setTimeout(resolve, 5500) })
})

When('callers with the key of {string} send {int} requests of {int} tokens per second through all hosts for {int} ms', { timeout: 30_000 }, async function (this: QuotasWorld, name: string, perSecond: number, _tokens: number, durationMs: number) {
  this.answers = []
  const calls: Promise<void>[] = []
  const startedAtMs = performance.now()
  for (let sent = 0; sent < perSecond * durationMs / 1000; sent++) {
    await new Promise<void>(resolve => { setTimeout(resolve, Math.max(0, startedAtMs + sent * 1000 / perSecond - performance.now())) })
    const atMs = performance.now()
    calls.push(this.fleet!.call({ kind: 'once', host: 1 + sent % this.fleet!.hosts.length, headers: { authorization: `Bearer key-of-${name}`, 'token-usage': '60,40' } }).then(answer => { this.answers.push({ atMs, answer }) }))
  }
  await Promise.all(calls)
})

Then('at most {int} of them ran in any window of 8 s, and at least {int} in the last one', function (this: QuotasWorld, limit: number, least: number) {
  const ran = this.answers.filter(({ answer }) => answer.status === 200).map(({ atMs }) => atMs).sort((left, right) => left - right)
  const counts = ran.map(untilMs => ran.filter(atMs => atMs <= untilMs && atMs > untilMs - 8000).length)
  assert.ok(Math.max(...counts) <= limit, `${Math.max(...counts)} ran in a window`)
  assert.ok(counts.at(-1)! >= least, `${counts.at(-1)} ran in the last window`)
})

Then('each of the others got 429 with a time to come back and did not run, and the lines tell why', function (this: QuotasWorld) {
  const ran = new Set(this.fleet!.fleet.journal.runs.map(({ requestId }) => requestId))
  const others = this.answers.filter(({ answer }) => answer.status !== 200)
  const lines = new Map(this.fleet!.listLines('request.refused').map(({ fields }) => [fields.requestId, fields]))
  assert.ok(others.length > 0)
  for (const { answer } of others) {
    assert.equal(answer.status, 429, answer.body)
    assert.ok(answer.retryAfterS !== undefined && answer.retryAfterS > 0 && answer.retryAfterS <= 10)
    assert.ok(!ran.has(answer.requestId))
    const line = lines.get(answer.requestId)
    assert.equal(line?.code, 'quota_exceeded')
    assert.equal(line?.quotaAccount, 'acme')
    assert.equal(line?.quotaCause, 'the account is at its limit')
    assert.equal(typeof line?.quotaReplyAgeMs, 'number')
  }
})
