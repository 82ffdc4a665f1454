/** Steps of jobs that may wait. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { JobRow } from '../../src/schemas/jobRows.js'
import { createNotRunFailure } from '../../src/schemas/verdict.js'
import { startGatewayState } from '../../src/bin/startGatewayState.js'
import { JobStore, jobPrefix } from '../../src/tasks/jobs/jobStore.js'
import type { Job, SubmitResult } from '../../src/tasks/jobs/jobStore.js'
import type { JobRunnerOptions } from '../../src/tasks/jobs/jobRunner.js'
import type { WriteResult } from '../../src/tasks/table/tableWriter.js'
import { JobHosts } from '../support/jobHosts.js'
import type { JobHost } from '../support/jobHosts.js'
import { settle } from '../support/settle.js'
import { takeTableDownOnFault } from '../support/tableFaults.js'

const callerName = 'county-office'

interface JobsWorld {
  jobHosts: JobHosts
  hostIds: string[]
  results: SubmitResult[]
  answer: string | undefined
}

function openHosts (world: JobsWorld, hostIds: string[], rules: Partial<JobRunnerOptions> = {}): void {
  world.hostIds = hostIds
  world.results = []
  world.jobHosts = new JobHosts(hostIds, rules)
}

async function passMs ({ jobHosts: { platform: { clock } } }: JobsWorld, ms: number): Promise<void> {
  await clock.runUntilSettled(clock.readMonotonic() + ms)
}

async function submit (world: JobsWorld, name: string, idempotencyKey?: string, runsAtMostOnce = false, dueInMs = 3600_000): Promise<SubmitResult> {
  const { platform: { clock }, hosts } = world.jobHosts
  const nowMs = clock.readWall()
  return await hosts[world.results.length % hosts.length]!.store.submitJob({
    idempotencyKey,
    bodyHash: name,
    acceptedAtWallMs: nowMs,
    dueAtWallMs: nowMs + dueInMs,
    runsAtMostOnce,
    request: {
      callerName,
      adapter: 'cluj-tax',
      version: '1',
      baseModel: 'base-1',
      className: 'overnight',
      target: { kind: 'finishWithin', ms: 3600_000 },
      fingerprint: name,
      promptTokens: 10,
      maxTokens: 10,
      path: '/v1/completions',
      body: name
    }
  })
}

async function submitOne (world: JobsWorld, name: string, key?: string, runsAtMostOnce = false): Promise<void> {
  world.results.push(await settle(world.jobHosts.platform.clock, submit(world, name, key, runsAtMostOnce)))
}

/** Reads without the table's faults. */
async function readJob (world: JobsWorld, id: string): Promise<Job | undefined> {
  const { rows, objects } = world.jobHosts.platform
  const refuse = async (): Promise<WriteResult> => ({ verdict: 'notApplied', cause: 'unavailable' })
  const store = new JobStore({ table: rows, objects, batches: { write: refuse }, writer: { resolve: refuse } })
  const job = await store.readJob(callerName, id)
  const answer = job && await store.readAnswer(job.row)
  world.answer = answer && Buffer.from(answer.body).toString()
  return job
}

function getLast (world: JobsWorld): JobRow {
  const result = world.results.at(-1)!
  assert.ok(result.type === 'accepted', JSON.stringify(result))
  return result.job
}

async function waitForState (world: JobsWorld, id: string, state: string, seconds: number): Promise<Job> {
  const { clock } = world.jobHosts.platform
  const endMs = clock.readMonotonic() + seconds * 1000
  for (;;) {
    const job = (await readJob(world, id))!
    if (job.row.state === state) return job
    assert.ok(clock.readMonotonic() < endMs, `job "${id}" is ${job.row.state}, not ${state}`)
    await passMs(world, 500)
  }
}

async function findRunner (world: JobsWorld): Promise<JobHost> {
  const { clock } = world.jobHosts.platform
  while (!world.jobHosts.findRunningHost()) await clock.runUntilSettled(clock.readMonotonic() + 100)
  return world.jobHosts.findRunningHost()!
}

function countRuns (world: JobsWorld, name: string): number {
  return world.jobHosts.runs.filter(run => run === name).length
}

Given('job hosts {string}', function (this: JobsWorld, hostIds: string) { openHosts(this, hostIds.split(', ')) })

Given('job hosts that repeat every job', function (this: JobsWorld) {
  openHosts(this, this.hostIds, { isRerunForbidden: () => false })
})

Given('runs take {int} seconds', function (this: JobsWorld, seconds: number) { this.jobHosts.runMs = seconds * 1000 })

Given(/^the first (\d+) runs? fails? as "(notRun|refused)"$/, function (this: JobsWorld, count: string, kind: string) {
  const failure = createNotRunFailure('test', 'not run', kind === 'refused' ? 400 : 503)
  this.jobHosts.failures = Array.from({ length: Number(count) }, () => failure)
})

Given('every run fails as "notRun", to be tried again after {int} minutes', function (this: JobsWorld, minutes: number) {
  this.jobHosts.failures = Array.from({ length: 1000 }, () => createNotRunFailure('test', 'not run', 503, minutes * 60_000))
})

Given('the jobs\' switch {string} is on', function (this: JobsWorld, name: 'isTableDown') { this.jobHosts.platform.faults[name] = true })

Given('the jobs\' platform has {string} set to {int}', function (this: JobsWorld, name: 'lostAnswers', value: number) {
  this.jobHosts.platform.faults[name] = value
})

Given('runs are refused that are due within {int} seconds', function (this: JobsWorld, seconds: number) {
  this.jobHosts.minDueInMs = seconds * 1000
})

When('job {string} is submitted, due in {int} second(s)', async function (this: JobsWorld, name: string, seconds: number) {
  this.results.push(await settle(this.jobHosts.platform.clock, submit(this, name, undefined, false, seconds * 1000)))
})

When('job {string} is submitted', async function (this: JobsWorld, name: string) { await submitOne(this, name) })

Given('the table goes down for {int} seconds as soon as a write is lost', async function (this: JobsWorld, seconds: number) {
  const { clock, faults } = this.jobHosts.platform
  takeTableDownOnFault('lostWrites', faults)
  clock.setTimer(() => { faults.isTableDown = false }, seconds * 1000)
})

Given('from now on the hosts run no jobs, and one sweeps old rows', function (this: JobsWorld) {
  for (const { runner } of this.jobHosts.hosts) runner.stop()
  const { clock, table, objects, hostList } = this.jobHosts.platform
  startGatewayState('gateway-9', clock, { table, objects, hostList, close: async () => {} })
})

When(/^(\d+) hours? pass(?:es)?$/, async function (this: JobsWorld, hours: string) { await passMs(this, Number(hours) * 3600 * 1000) })

Then('{int} job(s) and {int} object(s) are stored', async function (this: JobsWorld, jobs: number, objects: number) {
  const { rows, objectStore } = this.jobHosts.platform
  const found = await rows.listRows({ prefix: jobPrefix, after: '', limit: 100 })
  assert.deepEqual([found.length, objectStore.keys.length], [jobs, objects])
})

When('a job of {int} characters is submitted', async function (this: JobsWorld, length: number) {
  await submitOne(this, 'x'.repeat(length))
})

When('job {string} is submitted to run at most once', async function (this: JobsWorld, name: string) {
  await submitOne(this, name, undefined, true)
})

When(/^job "(.*)" is submitted (?:again )?under key "(.*)"$/, async function (this: JobsWorld, name: string, key: string) {
  await submitOne(this, name, key)
})

When('{int} jobs are submitted', async function (this: JobsWorld, count: number) {
  for (let index = 0; index < count; index++) await submitOne(this, `job ${index}`)
})

When('{int} jobs are submitted at once', async function (this: JobsWorld, count: number) {
  const submitted = Array.from({ length: count }, async (_, index) => await submit(this, `job ${index}`))
  this.results.push(...await settle(this.jobHosts.platform.clock, Promise.all(submitted)))
})

When('the host that runs it dies after {int} seconds', async function (this: JobsWorld, seconds: number) {
  const host = await findRunner(this)
  await passMs(this, seconds * 1000)
  host.isDead = true
  host.faults.isTableDown = true
})

When('the host that runs it loses the table after {int} seconds, for {int} seconds', async function (this: JobsWorld, after: number, seconds: number) {
  const host = await findRunner(this)
  await passMs(this, after * 1000)
  host.faults.isTableDown = true
  await passMs(this, seconds * 1000)
  host.faults.isTableDown = false
})

When('the table is down for {int} seconds from second {int} on', async function (this: JobsWorld, seconds: number, after: number) {
  const { faults } = this.jobHosts.platform
  await passMs(this, after * 1000)
  faults.isTableDown = true
  await passMs(this, seconds * 1000)
  faults.isTableDown = false
})

When('the jobs\' platform loses {int} answer after {int} seconds', async function (this: JobsWorld, count: number, seconds: number) {
  await passMs(this, seconds * 1000)
  this.jobHosts.platform.faults.lostAnswers = count
})

When('job {string} is cancelled after {int} seconds', async function (this: JobsWorld, _name: string, seconds: number) {
  await passMs(this, seconds * 1000)
  const { hosts: [host], platform } = this.jobHosts
  const job = await settle(platform.clock, host!.store.readJob(callerName, getLast(this).id))
  const result = await settle(platform.clock, host!.store.cancelJob(job!))
  assert.equal(result.verdict, 'applied')
})

Then('it is accepted', function (this: JobsWorld) { getLast(this) })

Then('it is refused with status {int} and verdict {string}', function (this: JobsWorld, status: number, verdict: string) {
  const result = this.results.at(-1)!
  assert.ok(result.type === 'refused')
  assert.equal(result.failure.status, status)
  assert.equal(result.failure.verdict, verdict)
})

Then('both are the same job', function (this: JobsWorld) {
  const [first, second] = this.results
  assert.ok(first?.type === 'accepted' && second?.type === 'accepted')
  assert.equal(first.job.id, second.job.id)
})

Then('with the platform back, no job exists after {int} seconds', async function (this: JobsWorld, seconds: number) {
  const { faults, rows } = this.jobHosts.platform
  faults.isTableDown = false
  faults.isObjectsDown = false
  await passMs(this, seconds * 1000)
  assert.deepEqual(await rows.listRows({ prefix: 'job', after: '', limit: 10 }), [])
  assert.deepEqual(this.jobHosts.runs, [])
})

Then('within {int} seconds job {string} is {string} with one answer', async function (this: JobsWorld, seconds: number, name: string, state: string) {
  await waitForState(this, getLast(this).id, state, seconds)
  assert.equal((JSON.parse(this.answer!) as { ran: string }).ran, name)
})

Then('within {int} seconds job {string} is {string} with verdict {string}',
  async function (this: JobsWorld, seconds: number, _name: string, state: string, verdict: string) {
    const job = await waitForState(this, getLast(this).id, state, seconds)
    assert.equal(job.row.failure?.verdict, verdict)
  })

Then('within {int} seconds job {string} is {string} and its run is given up',
  async function (this: JobsWorld, seconds: number, _name: string, state: string) {
    await passMs(this, seconds * 1000)
    assert.equal((await readJob(this, getLast(this).id))!.row.state, state)
    assert.equal(this.jobHosts.findRunningHost(), undefined)
  })

Then('within {int} seconds all jobs are {string}', async function (this: JobsWorld, seconds: number, state: string) {
  for (const result of this.results) {
    assert.ok(result.type === 'accepted')
    await waitForState(this, result.job.id, state, seconds)
  }
})

Then('{int} seconds later job {string} has the same answer', async function (this: JobsWorld, seconds: number, _name: string) {
  const before = this.answer
  await passMs(this, seconds * 1000)
  await readJob(this, getLast(this).id)
  assert.ok(before !== undefined && countRuns(this, 'a') === 2)
  assert.equal(this.answer, before)
})

Then('{int} seconds later job {string} is still {string}', async function (this: JobsWorld, seconds: number, _name: string, state: string) {
  await passMs(this, seconds * 1000)
  assert.equal((await readJob(this, getLast(this).id))!.row.state, state)
})

Then('job {string} has run {int} time(s)', function (this: JobsWorld, name: string, count: number) {
  assert.equal(countRuns(this, name), count)
})

Then('job {string} has run {int} time(s) after {int} seconds', async function (this: JobsWorld, name: string, count: number, seconds: number) {
  await passMs(this, seconds * 1000)
  assert.equal(countRuns(this, name), count)
})

Then('each job has run {int} time(s)', function (this: JobsWorld, count: number) {
  this.results.forEach((_, index) => assert.equal(countRuns(this, `job ${index}`), count, `job ${index}`))
})

Then('a job has cost at most {int} write(s) and {int} reads', function (this: JobsWorld, writes: number, reads: number) {
  const { cost } = this.jobHosts
  const perJob = { writes: cost.writes / this.results.length, reads: cost.reads / this.results.length }
  if (process.env.SHOW_COST) process.stdout.write(`${JSON.stringify(perJob)}\n`)
  assert.ok(perJob.writes <= writes && perJob.reads <= reads, JSON.stringify(perJob))
})
