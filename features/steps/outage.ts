/** Steps for an outage of the table, run against the whole system on a virtual clock. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { FuzzSystem, fuzzAdapters } from '../../fuzz/fuzzSystem.js'
import { allMechanisms } from '../../fuzz/mechanisms.js'
import { findViolations } from '../../fuzz/oracle.js'
import type { AskedRecord, CallerRecord } from '../../fuzz/records.js'

const minuteMs = 60_000
const settleDelayMs = 10_000
const jobAcceptDelayMs = 100
const requestIntervalMs = 3000

interface OutageWorld {
  system: FuzzSystem
}

function listUnansweredRequests (system: FuzzSystem): CallerRecord[] {
  return system.callers.filter(caller => caller.outcome !== 'whole' && caller.idempotencyKey === undefined)
}

function sendKeyedRequest ({ asked }: FuzzSystem): void {
  asked.sendRequest({ gateway: 1, model: 'alpha@1', tokens: 5, content: 'decide', className: 'urgent', key: 'key-1' })
}

function submitJob ({ submitted }: FuzzSystem): void {
  submitted.submitJob({ gateway: 0, model: 'beta', tokens: 3, runsAtMostOnce: true })
}

function changeVersion (system: FuzzSystem): void {
  system.changeVersion({ gateway: 0, adapter: 'gamma', currentVersion: '2' })
}

function listKeyedRequests ({ callers }: FuzzSystem): AskedRecord[] {
  return callers.filter(caller => caller.idempotencyKey !== undefined)
}

Given(/^the whole system on a virtual clock( without outage reports)?$/, async function (this: OutageWorld, withoutReports: string | null) {
  this.system = new FuzzSystem(withoutReports ? { ...allMechanisms, filterOutageReports: () => [] } : allMechanisms)
  await this.system.start()
  await this.system.advance(settleDelayMs)
})

When('the table is down for {int} minutes and callers ask for every adapter each minute', async function (this: OutageWorld, minutes: number) {
  const { system } = this
  system.platform.isDown = true
  for (let minute = 0; minute < minutes; minute++) {
    for (const [index, adapter] of fuzzAdapters.entries()) {
      const model = `${adapter}@${minute % 2 + 1}`
      system.sendRequest({ gateway: index, model, tokens: 3, content: `${minute}`, className: 'later' })
      await system.advance(requestIntervalMs)
    }
    await system.advance(minuteMs - fuzzAdapters.length * requestIntervalMs)
  }
})

Given('work under a key has been done, and a job has just been accepted', async function (this: OutageWorld) {
  sendKeyedRequest(this.system)
  await this.system.advance(settleDelayMs)
  submitJob(this.system)
  await this.system.advance(jobAcceptDelayMs)
  assert.ok(this.system.jobs[0]?.id)
})

When('the table is down for {int} minutes and callers ask for two adapters every {int} minutes',
  async function (this: OutageWorld, minutes: number, intervalMinutes: number) {
    const { system } = this
    system.platform.isDown = true
    for (let minute = 0, round = 0; minute < minutes; minute += intervalMinutes, round++) {
      for (const index of [round, round + fuzzAdapters.length / 2]) {
        const model = `${fuzzAdapters[index % fuzzAdapters.length]}@${Math.floor(round / fuzzAdapters.length) % 2 + 1}`
        system.sendRequest({ gateway: index, model, tokens: 3, content: `${round}`, className: 'later' })
      }
      system.asked.sendCall({ gateway: round, isIdempotent: false })
      await system.advance(intervalMinutes * minuteMs)
    }
    sendKeyedRequest(system)
    submitJob(system)
    changeVersion(system)
    await system.advance(settleDelayMs)
  })

Then('calls of the plain service were answered meanwhile', function (this: OutageWorld) {
  assert.deepEqual([...new Set(this.system.calls.map(call => call.outcome))], ['whole'])
})

Then('meanwhile the same key was told {string}, a new job {string}, and no change was accepted',
  function (this: OutageWorld, keyVerdict: string, jobVerdict: string) {
    assert.equal(listKeyedRequests(this.system).at(-1)?.failure?.verdict, keyVerdict)
    assert.equal(this.system.jobs.at(-1)?.failure?.verdict, jobVerdict)
    assert.deepEqual(this.system.accepted, [])
  })

When('the table answers the whole system again', async function (this: OutageWorld) {
  const { system } = this
  system.platform.isDown = false
  await system.advance(settleDelayMs)
  sendKeyedRequest(system)
  submitJob(system)
  changeVersion(system)
  await system.heal()
})

Then('the same key gets the one answer, the job has ended, a new one ends, and a change is in force', function (this: OutageWorld) {
  const { system } = this
  const keyedRequests = listKeyedRequests(system)
  assert.deepEqual([keyedRequests.at(-1)?.outcome, keyedRequests.at(-1)?.text], ['whole', keyedRequests[0]?.text])
  assert.deepEqual(system.submitted.listAccepted().map(job => job.state), ['finished', 'finished'])
  assert.equal(system.accepted.length, 1)
  for (const { configuration } of [...system.schedulers, ...system.gateways]) {
    assert.equal(configuration.view.version, system.accepted[0]!.version)
  }
})

Then('the oracle finds no promise broken', function (this: OutageWorld) {
  assert.deepEqual(findViolations(this.system), [])
})

Then('each of these callers got a whole answer', function (this: OutageWorld) {
  assert.ok(this.system.callers.length > 0)
  assert.deepEqual(listUnansweredRequests(this.system), [])
})

Then('some of these callers got no answer', function (this: OutageWorld) {
  assert.ok(listUnansweredRequests(this.system).length > 0)
})
