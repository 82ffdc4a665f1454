/** Steps for idempotency claims, on a virtual platform. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { startGatewayState } from '../../src/bin/startGatewayState.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../src/schemas/verdict.js'
import { hashParts } from '../../src/tasks/idempotency/claimRow.js'
import { IdempotencyClaimTask } from '../../src/tasks/idempotency/idempotencyClaimTask.js'
import type { IdempotencyClaim, ClaimResult } from '../../src/tasks/idempotency/idempotencyClaimTask.js'
import { BatchWriter } from '../../src/tasks/table/batchWriter.js'
import { TableWriter } from '../../src/tasks/table/tableWriter.js'
import { takeTableDownOnFault, findWriteOutcomeWithoutFencing } from '../support/tableFaults.js'
import { settle } from '../support/settle.js'
import { createVirtualPlatform } from '../support/virtualPlatform.js'
import type { VirtualPlatform } from '../support/virtualPlatform.js'

interface ClaimsWorld {
  platform: VirtualPlatform
  hosts: Map<string, IdempotencyClaimTask>
  results: Array<{ host: string, result: ClaimResult }>
  openClaims: Map<string, IdempotencyClaim>
  runs: number
}

/** Mechanisms that the hosts omit, to show what each one prevents. */
interface Omissions { checks?: boolean, fence?: boolean }

function createHosts (world: ClaimsWorld, omissions: Omissions = {}): void {
  world.platform = createVirtualPlatform()
  world.hosts = new Map()
  world.results = []
  world.openClaims = new Map()
  world.runs = 0
  for (const hostId of ['gateway-1', 'gateway-2']) world.hosts.set(hostId, createHost(world.platform, hostId, omissions))
}

function createHost ({ clock, table, objects }: VirtualPlatform, hostId: string, omissions: Omissions): IdempotencyClaimTask {
  const writer = new TableWriter({ table, clock, ...(omissions.fence && { findWriteOutcome: findWriteOutcomeWithoutFencing }) })
  const batches = new BatchWriter({ clock, writer })
  const uncheckedBatches: Pick<BatchWriter, 'write'> = { write: async ({ writes }) => await batches.write({ checks: [], writes }) }
  return new IdempotencyClaimTask({ hostId, clock, table, objects, writer, batches: omissions.checks ? uncheckedBatches : batches })
}

async function sendRequest (world: ClaimsWorld, host: string, body: string, key: string, callerName = 'front-desk'): Promise<ClaimResult> {
  const request = { callerName, idempotencyKey: key, bodyHash: hashParts([body]), requestId: `req-${world.results.length + 1}` }
  const result = await settle(world.platform.clock, world.hosts.get(host)!.acquireClaim(request))
  recordResult(world, host, result)
  return result
}

function recordResult (world: ClaimsWorld, host: string, result: ClaimResult): void {
  world.results.push({ host, result })
  if (result.type !== 'claimed') return
  world.runs++
  world.openClaims.set(host, result.claim)
}

async function storeAnswer (world: ClaimsWorld, host: string, text: string): Promise<void> {
  const stored = world.hosts.get(host)!.storeAnswer(world.openClaims.get(host)!, { status: 200, headers: {}, body: Buffer.from(text) })
  await settle(world.platform.clock, stored)
}

async function advanceClock ({ platform: { clock } }: ClaimsWorld, ms: number): Promise<void> {
  await clock.runUntilSettled(clock.readMonotonic() + ms)
}

function getLastResult (world: ClaimsWorld, host: string): ClaimResult {
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

Given('the hosts {string} and {string} with idempotency claims', function (this: ClaimsWorld, _first: string, _second: string) { createHosts(this) })

Given('hosts that write claims without a version check', function (this: ClaimsWorld) { createHosts(this, { checks: true }) })

Given('hosts that do not fence lost writes', function (this: ClaimsWorld) { createHosts(this, { fence: true }) })

Given('the claims table is down', function (this: ClaimsWorld) { this.platform.faults.isTableDown = true })

Given('the claims platform has {string} set to {int}', function (this: ClaimsWorld, fault: 'lostAnswers', value: number) {
  this.platform.faults[fault] = value
})

Given('the claims table goes down as soon as a response is lost', function (this: ClaimsWorld) {
  takeTableDownOnFault('lostAnswers', this.platform.faults)
})

Given('expired rows are removed', function (this: ClaimsWorld) {
  const { clock, table, objects, hostList } = this.platform
  startGatewayState('gateway-3', clock, { table, objects, hostList, close: async () => {} })
})

When('{string} receives {string} with key {string} and answers {string}',
  async function (this: ClaimsWorld, host: string, body: string, key: string, text: string) {
    await sendRequest(this, host, body, key)
    await storeAnswer(this, host, text)
  })

When('{string} receives {string} with key {string} and answers with {int} characters',
  async function (this: ClaimsWorld, host: string, body: string, key: string, length: number) {
    await sendRequest(this, host, body, key)
    await storeAnswer(this, host, 'x'.repeat(length))
  })

When('{string} receives {string} with key {string} and fails as {string}',
  async function (this: ClaimsWorld, host: string, body: string, key: string, verdict: string) {
    await sendRequest(this, host, body, key)
    const failure = verdict === 'notRun' ? createNotRunFailure('test', 'not run', 503) : createMayHaveRunFailure('test', 'lost', 502)
    await settle(this.platform.clock, this.hosts.get(host)!.recordFailure(this.openClaims.get(host)!, failure))
  })

When('{string} receives {string} with key {string}', async function (this: ClaimsWorld, host: string, body: string, key: string) {
  await sendRequest(this, host, body, key)
})

When('{string} receives {string} with key {string} from another caller',
  async function (this: ClaimsWorld, host: string, body: string, key: string) {
    await sendRequest(this, host, body, key, 'tutor')
  })

When('both hosts receive {string} with key {string} at the same time', async function (this: ClaimsWorld, body: string, key: string) {
  await sendAtOnce(this, ['gateway-1', 'gateway-2'], body, key)
})

When('{string} receives {string} with key {string} twice at the same time',
  async function (this: ClaimsWorld, host: string, body: string, key: string) {
    await sendAtOnce(this, [host, host], body, key)
  })

When('{string} receives {int} requests at once, each with its own key, and answers all',
  async function (this: ClaimsWorld, host: string, count: number) {
    const claims = this.hosts.get(host)!
    const requests = Array.from({ length: count }, async (_, index) => {
      const request = { callerName: 'front-desk', idempotencyKey: `k${index}`, bodyHash: hashParts(['x']), requestId: `req-${index}` }
      const result = await claims.acquireClaim(request)
      recordResult(this, host, result)
      assert.ok(result.type === 'claimed')
      await claims.storeAnswer(result.claim, { status: 200, headers: {}, body: Buffer.from('done') })
    })
    await settle(this.platform.clock, Promise.all(requests))
  })

Then('the table has executed at most {int} transactions', async function (this: ClaimsWorld, count: number) {
  const outcome = await this.platform.rows.transact({ token: 'count', checks: [], writes: [] })
  assert.ok(outcome.verdict === 'applied' && outcome.version - 1 <= count, JSON.stringify(outcome))
})

When('{int} seconds pass', async function (this: ClaimsWorld, seconds: number) { await advanceClock(this, seconds * 1000) })

When('the claims table is up again', function (this: ClaimsWorld) { this.platform.faults.isTableDown = false })

When('{string} crashes', function (this: ClaimsWorld, host: string) {
  this.hosts.delete(host)
})

When('{string} answers {string} in the background', function (this: ClaimsWorld, host: string, text: string) {
  const stored = this.hosts.get(host)!.storeAnswer(this.openClaims.get(host)!, { status: 200, headers: {}, body: Buffer.from(text) })
  stored.catch(() => {})
})

Then('{string} answers {string} without running it', function (this: ClaimsWorld, host: string, text: string) {
  checkAnswered(getLastResult(this, host), text)
})

Then('{string} answers with {int} characters without running it', function (this: ClaimsWorld, host: string, length: number) {
  checkAnswered(getLastResult(this, host), 'x'.repeat(length))
})

Then('one request runs, and the other is refused because it is running or may have run', function (this: ClaimsWorld) {
  const refused = this.results.filter(({ result }) => result.type === 'refused')
  assert.equal(refused.length, 1)
  checkRefused(refused[0]!.result, 409, 'mayHaveRun')
})

Then('the request has run {int} time(s)', function (this: ClaimsWorld, runs: number) {
  assert.equal(this.runs, runs)
})

Then('{string} refuses with status {int} and verdict {string}', function (this: ClaimsWorld, host: string, status: number, verdict: string) {
  checkRefused(getLastResult(this, host), status, verdict)
})

Then('{string} runs it', function (this: ClaimsWorld, host: string) {
  assert.equal(getLastResult(this, host).type, 'claimed')
})

Then('after {int} more hours the table has no claim, and the object store has no answer', async function (this: ClaimsWorld, hours: number) {
  const [row] = await this.platform.rows.listRows({ prefix: 'claims/', after: '', limit: 1 })
  const { objectKey } = (row!.value as { answer: { objectKey: string } }).answer
  assert.ok(await this.platform.objects.readObject(objectKey))
  await advanceClock(this, hours * 3600 * 1000)
  assert.deepEqual(await this.platform.rows.listRows({ prefix: 'claims/', after: '', limit: 1 }), [])
  assert.equal(await this.platform.objects.readObject(objectKey), undefined)
})

async function sendAtOnce (world: ClaimsWorld, hosts: string[], body: string, key: string): Promise<void> {
  const request = { callerName: 'front-desk', idempotencyKey: key, bodyHash: hashParts([body]), requestId: 'req-1' }
  const results = hosts.map(async host => ({ host, result: await world.hosts.get(host)!.acquireClaim(request) }))
  for (const { host, result } of await settle(world.platform.clock, Promise.all(results))) recordResult(world, host, result)
}
