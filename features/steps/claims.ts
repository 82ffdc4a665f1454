/** Steps of work that runs at most once. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { startState } from '../../src/bin/startState.js'
import { createMayHaveRun, createNotRun } from '../../src/schemas/verdict.js'
import { hashParts } from '../../src/tasks/claims/claimRow.js'
import { ClaimTask } from '../../src/tasks/claims/claimTask.js'
import type { Claim, ClaimResult } from '../../src/tasks/claims/claimTask.js'
import { BatchWriter } from '../../src/tasks/table/batchWriter.js'
import { TableWriter } from '../../src/tasks/table/tableWriter.js'
import { goDownWith, readBackOnce } from '../support/tableFaults.js'
import { settle } from '../support/settle.js'
import { createVirtualPlatform } from '../support/virtualPlatform.js'
import type { VirtualPlatform } from '../support/virtualPlatform.js'

interface ClaimsWorld {
  platform: VirtualPlatform
  hosts: Map<string, ClaimTask>
  results: Array<{ host: string, result: ClaimResult }>
  held: Map<string, Claim>
  runs: number
}

/** What the hosts do without, to show what rests on it. */
interface Omissions { checks?: boolean, fence?: boolean }

function openHosts (world: ClaimsWorld, without: Omissions = {}): void {
  world.platform = createVirtualPlatform()
  world.hosts = new Map()
  world.results = []
  world.held = new Map()
  world.runs = 0
  for (const hostId of ['gateway-1', 'gateway-2']) world.hosts.set(hostId, openHost(world.platform, hostId, without))
}

function openHost ({ clock, table, objects }: VirtualPlatform, hostId: string, without: Omissions): ClaimTask {
  const writer = new TableWriter({ table, clock, ...(without.fence && { findFate: readBackOnce }) })
  const batches = new BatchWriter({ clock, writer })
  const unchecked: Pick<BatchWriter, 'write'> = { write: async ({ writes }) => await batches.write({ checks: [], writes }) }
  return new ClaimTask({ hostId, clock, table, objects, writer, batches: without.checks ? unchecked : batches })
}

async function ask (world: ClaimsWorld, host: string, body: string, key: string, callerName = 'front-desk'): Promise<ClaimResult> {
  const work = { callerName, idempotencyKey: key, bodyHash: hashParts([body]), requestId: `req-${world.results.length + 1}` }
  const result = await settle(world.platform.clock, world.hosts.get(host)!.takeClaim(work))
  record(world, host, result)
  return result
}

function record (world: ClaimsWorld, host: string, result: ClaimResult): void {
  world.results.push({ host, result })
  if (result.type !== 'claimed') return
  world.runs++
  world.held.set(host, result.claim)
}

async function answer (world: ClaimsWorld, host: string, text: string): Promise<void> {
  const stored = world.hosts.get(host)!.storeAnswer(world.held.get(host)!, { status: 200, headers: {}, body: Buffer.from(text) })
  await settle(world.platform.clock, stored)
}

async function passMs ({ platform: { clock } }: ClaimsWorld, ms: number): Promise<void> {
  await clock.runUntilSettled(clock.readMonotonic() + ms)
}

function readLast (world: ClaimsWorld, host: string): ClaimResult {
  const last = world.results.at(-1)!
  assert.equal(last.host, host)
  return last.result
}

function checkRefused (result: ClaimResult, status: number, verdict?: string): void {
  assert.ok(result.type === 'refused', result.type)
  assert.equal(result.failure.status, status)
  if (verdict !== undefined) assert.equal(result.failure.verdict, verdict)
}

function checkAnswered (result: ClaimResult, text: string): void {
  assert.ok(result.type === 'answered', JSON.stringify(result))
  assert.equal(Buffer.from(result.answer.body).toString(), text)
}

Given('the claiming hosts {string} and {string}', function (this: ClaimsWorld, _first: string, _second: string) { openHosts(this) })

Given('hosts that write claims without a check', function (this: ClaimsWorld) { openHosts(this, { checks: true }) })

Given('hosts that do not fence lost writes', function (this: ClaimsWorld) { openHosts(this, { fence: true }) })

Given('the claims\' table is down', function (this: ClaimsWorld) { this.platform.faults.isTableDown = true })

Given('the claims\' platform has {string} set to {int}', function (this: ClaimsWorld, fault: 'lostAnswers', value: number) {
  this.platform.faults[fault] = value
})

Given('the claims\' table goes down as soon as an answer is lost', function (this: ClaimsWorld) {
  goDownWith('lostAnswers', this.platform.faults)
})

Given('the sweep of old rows runs', function (this: ClaimsWorld) {
  const { clock, table, objects, hostList } = this.platform
  startState('gateway-3', clock, { table, objects, hostList, close: async () => {} })
})

When('{string} is asked {string} under key {string} and answers {string}',
  async function (this: ClaimsWorld, host: string, body: string, key: string, text: string) {
    await ask(this, host, body, key)
    await answer(this, host, text)
  })

When('{string} is asked {string} under key {string} and answers with {int} characters',
  async function (this: ClaimsWorld, host: string, body: string, key: string, length: number) {
    await ask(this, host, body, key)
    await answer(this, host, 'x'.repeat(length))
  })

When('{string} is asked {string} under key {string} and fails as {string}',
  async function (this: ClaimsWorld, host: string, body: string, key: string, verdict: string) {
    await ask(this, host, body, key)
    const failure = verdict === 'notRun' ? createNotRun('test', 'not run', 503) : createMayHaveRun('test', 'lost', 502)
    await settle(this.platform.clock, this.hosts.get(host)!.settleFailure(this.held.get(host)!, failure))
  })

When('{string} is asked {string} under key {string}', async function (this: ClaimsWorld, host: string, body: string, key: string) {
  await ask(this, host, body, key)
})

When('{string} is asked {string} under key {string} by another caller',
  async function (this: ClaimsWorld, host: string, body: string, key: string) {
    await ask(this, host, body, key, 'tutor')
  })

When('both hosts are asked {string} under key {string} at the same moment', async function (this: ClaimsWorld, body: string, key: string) {
  await askAtOnce(this, ['gateway-1', 'gateway-2'], body, key)
})

When('{string} is asked {string} under key {string} twice at the same moment',
  async function (this: ClaimsWorld, host: string, body: string, key: string) {
    await askAtOnce(this, [host, host], body, key)
  })

When('{string} is asked {int} times at once, each under a key of its own, and answers all',
  async function (this: ClaimsWorld, host: string, count: number) {
    const claims = this.hosts.get(host)!
    const asked = Array.from({ length: count }, async (_, index) => {
      const work = { callerName: 'front-desk', idempotencyKey: `k${index}`, bodyHash: hashParts(['x']), requestId: `req-${index}` }
      const result = await claims.takeClaim(work)
      record(this, host, result)
      assert.ok(result.type === 'claimed')
      await claims.storeAnswer(result.claim, { status: 200, headers: {}, body: Buffer.from('done') })
    })
    await settle(this.platform.clock, Promise.all(asked))
  })

Then('the table has taken at most {int} transactions', async function (this: ClaimsWorld, count: number) {
  const outcome = await this.platform.rows.transact({ token: 'count', checks: [], writes: [] })
  assert.ok(outcome.verdict === 'applied' && outcome.version - 1 <= count, JSON.stringify(outcome))
})

When('{int} seconds pass', async function (this: ClaimsWorld, seconds: number) { await passMs(this, seconds * 1000) })

When('the claims\' table is back', function (this: ClaimsWorld) { this.platform.faults.isTableDown = false })

When('{string} dies', function (this: ClaimsWorld, host: string) {
  this.hosts.delete(host)
})

When('{string} answers {string} in the meantime', function (this: ClaimsWorld, host: string, text: string) {
  const stored = this.hosts.get(host)!.storeAnswer(this.held.get(host)!, { status: 200, headers: {}, body: Buffer.from(text) })
  stored.catch(() => {})
})

Then('{string} answers {string} without running it', function (this: ClaimsWorld, host: string, text: string) {
  checkAnswered(readLast(this, host), text)
})

Then('{string} answers with {int} characters without running it', function (this: ClaimsWorld, host: string, length: number) {
  checkAnswered(readLast(this, host), 'x'.repeat(length))
})

Then('one is told to run it, and the other that it is running or may have run', function (this: ClaimsWorld) {
  const refused = this.results.filter(({ result }) => result.type === 'refused')
  assert.equal(refused.length, 1)
  checkRefused(refused[0]!.result, 409, 'mayHaveRun')
})

Then('the work has run {int} time(s)', function (this: ClaimsWorld, runs: number) {
  assert.equal(this.runs, runs)
})

Then('{string} refuses with status {int} and verdict {string}', function (this: ClaimsWorld, host: string, status: number, verdict: string) {
  checkRefused(readLast(this, host), status, verdict)
})

Then('{string} runs it', function (this: ClaimsWorld, host: string) {
  assert.equal(readLast(this, host).type, 'claimed')
})

Then('after {int} more hours the table holds no claim, and the object store no answer', async function (this: ClaimsWorld, hours: number) {
  const [row] = await this.platform.rows.listRows({ prefix: 'claims/', after: '', limit: 1 })
  const { objectKey } = (row!.value as { answer: { objectKey: string } }).answer
  assert.ok(await this.platform.objects.readObject(objectKey))
  await passMs(this, hours * 3600 * 1000)
  assert.deepEqual(await this.platform.rows.listRows({ prefix: 'claims/', after: '', limit: 1 }), [])
  assert.equal(await this.platform.objects.readObject(objectKey), undefined)
})

async function askAtOnce (world: ClaimsWorld, hosts: string[], body: string, key: string): Promise<void> {
  const work = { callerName: 'front-desk', idempotencyKey: key, bodyHash: hashParts([body]), requestId: 'req-1' }
  const results = hosts.map(async host => ({ host, result: await world.hosts.get(host)!.takeClaim(work) }))
  for (const { host, result } of await settle(world.platform.clock, Promise.all(results))) record(world, host, result)
}
