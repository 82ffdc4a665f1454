/** Steps of what must always hold on the path of a request. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { exampleCallerKey } from '../../src/bin/exampleRecords.js'
import { registerRecords } from '../../src/bin/registerRecords.js'
import type { ServiceFaults } from '../../src/standin/serviceServer.js'
import type { Playground } from '../../playground/startPlayground.js'
import { runLoad, sendCall } from '../../playground/callerLoad.js'
import type { CallOptions, CallResult } from '../../playground/callerLoad.js'
import { formatFindings, judgeCalls } from '../../playground/judgeCalls.js'
import type { Findings } from '../../playground/judgeCalls.js'
import { brokenParts } from '../support/brokenParts.js'
import { adapterCount, busyRecords, createAdapterRecord, createBusyCall, switchFault } from '../support/busySystem.js'
import { waitUntil } from '../support/waitUntil.js'
import type { SystemWorld } from '../support/world.js'

const longStreamTokens = 1500

interface Decided {
  body: string
  status: number
  verdict: string
}

interface PromisesWorld extends SystemWorld {
  results: CallResult[]
  decided: Decided[]
  /** Requests sent from this index on were sent after the last change of versions. */
  changedAt: number
  /** Length of each engine's or service's journal when the leaving one had left. */
  journalLengths: number[]
}

async function startBusy (world: PromisesWorld, engines: number, slots: number, without: string): Promise<void> {
  const broken = without === '' ? {} : brokenParts[without]!()
  await world.start({
    engines, services: 2, schedulers: 2, records: busyRecords, standinSettings: `[engines]\nslots = ${slots}`, ...broken
  })
}

Given('a busy system of {int} engines with {int} slots', async function (this: PromisesWorld, engines: number, slots: number) {
  await startBusy(this, engines, slots, '')
})

Given(/^a busy system of (\d) engines with (\d) slots, without (.*)$/,
  async function (this: PromisesWorld, engines: string, slots: string, without: string) {
    assert.ok(brokenParts[without], `"${without}" can be taken out`)
    await startBusy(this, Number(engines), Number(slots), without)
  })

Given(/^the services' fault (\{.*\})$/, function (this: PromisesWorld, change: string) {
  for (const service of this.playground!.standins.services) service.setFaults(JSON.parse(change) as ServiceFaults)
})

Given('{int} service has stopped', async function (this: PromisesWorld, count: number) {
  await Promise.all(this.playground!.standins.services.slice(0, count).map(async service => await service.stop()))
})

async function runBusy (world: PromisesWorld, count: number, parallel: number, beforeCall: (index: number) => void): Promise<void> {
  world.results = await runLoad({
    count,
    parallel,
    createCall: index => {
      beforeCall(index)
      return createBusyCall(world.callersUrl, index)
    }
  })
}

When('{int} requests are sent, {int} at once', async function (this: PromisesWorld, count: number, parallel: number) {
  await runBusy(this, count, parallel, () => {})
})

When('{int} requests are sent, {int} at once, while engines fail', async function (this: PromisesWorld, count: number, parallel: number) {
  await runBusy(this, count, parallel, index => switchFault(this.playground!.standins, index))
})

When('{int} requests are sent, {int} at once, while current versions change',
  async function (this: PromisesWorld, count: number, parallel: number) {
    this.changedAt = Infinity
    let changes: Promise<void> | undefined
    const changeVersions = async (): Promise<void> => {
      for (let index = 0; index < adapterCount; index++) {
        await registerRecords(this.playground!.standins.platform.table, [createAdapterRecord(index, '2')])
      }
    }
    await runBusy(this, count, parallel, index => { if (index === 40) changes = changeVersions() })
    await changes
    const { configuration } = this.playground!.gateways[0]!
    await waitUntil(() => configuration.view.findAdapter(`adapter-${adapterCount - 1}`)?.currentVersion === '2')
    this.changedAt = this.results.length
    this.results.push(...await runLoad({ count: 20, parallel, createCall: index => createBusyCall(this.callersUrl, index) }))
  })

function judge (world: PromisesWorld): Findings {
  return judgeCalls(world.results, world.playground!.standins.engines.flatMap(engine => engine.model.journal))
}

Then('no promise was broken', function (this: PromisesWorld) {
  const findings = judge(this)
  assert.ok(Object.values(findings as unknown as Record<string, string[]>).every(list => list.length === 0),
    `${formatFindings(findings)}: ${JSON.stringify(findings)}`)
})

Then('the judgement finds {string}', function (this: PromisesWorld, name: keyof Findings) {
  const findings = judge(this)
  assert.ok(findings[name].length > 0, JSON.stringify(findings))
})

Then('every request was answered whole', function (this: PromisesWorld) {
  const failed = this.results.filter(result => !result.isWhole)
  assert.deepEqual(failed.map(result => `${result.status} ${result.code} ${result.verdict}`), [])
})

Then('requests for a bare name sent after the last change ran on version {string}', function (this: PromisesWorld, version: string) {
  const bare = this.results.slice(this.changedAt).filter(result => !result.asked.model.includes('@'))
  assert.ok(bare.length > 0, 'there are requests for a bare name')
  for (const result of bare) assert.equal(result.model, `${result.asked.model}@${version}`)
})

async function postDecision (world: PromisesWorld, body: string): Promise<Decided> {
  const response = await fetch(`${world.callersUrl}/services/claims/decisions`, {
    method: 'POST', headers: { authorization: `Bearer ${exampleCallerKey}`, 'content-type': 'text/plain' }, body
  })
  await response.text()
  return { body, status: response.status, verdict: response.headers.get('sedgevalve-verdict') ?? '' }
}

When('{int} decisions are posted, {int} at once', async function (this: PromisesWorld, count: number, parallel: number) {
  this.decided = []
  let next = 0
  const postNext = async (): Promise<void> => {
    while (next < count) this.decided.push(await postDecision(this, `claim ${next++}`))
  }
  await Promise.all(Array.from({ length: parallel }, postNext))
})

function countRuns (world: PromisesWorld, body: string): number {
  return world.playground!.standins.services.flatMap(service => service.journal).filter(entry => entry.body === body).length
}

Then('no decision has run twice', function (this: PromisesWorld) {
  for (const { body } of this.decided) assert.ok(countRuns(this, body) <= 1, `${body} has run ${countRuns(this, body)} times`)
})

Then('a decision has run twice', function (this: PromisesWorld) {
  assert.ok(this.decided.some(({ body }) => countRuns(this, body) > 1), JSON.stringify(this.decided))
})

Then('every decision has run once', function (this: PromisesWorld) {
  assert.deepEqual(this.decided.filter(({ status, body }) => status !== 200 || countRuns(this, body) !== 1), [])
})

Then('no decision that was called not run has run', function (this: PromisesWorld) {
  for (const { body, verdict } of this.decided) if (verdict === 'not-run') assert.equal(countRuns(this, body), 0, body)
})

Then('a decision was answered {string}', function (this: PromisesWorld, verdict: string) {
  assert.ok(this.decided.some(decided => decided.verdict === verdict), JSON.stringify(this.decided))
})

async function waitForLeaving (world: PromisesWorld, id: string): Promise<void> {
  const { hostList } = world.playground!.standins.platform
  await waitUntil(async () => (await hostList.listEntries()).some(entry => entry.id === id && entry.presence === 'leaving'))
}

When('engine {int} has shown as leaving for {int} ms, with requests under way',
  async function (this: PromisesWorld, number: number, shownMs: number) {
    const { engines } = this.playground!.standins
    const load = runLoad({ count: 12, parallel: 6, createCall: index => createBusyCall(this.callersUrl, index) })
    engines[number - 1]!.setFaults({ leaving: true })
    await waitForLeaving(this, `engine-${number}`)
    await new Promise(resolve => setTimeout(resolve, shownMs))
    await load
    this.journalLengths = engines.map(engine => engine.model.journal.length)
  })

When('service {int} has shown as leaving for {int} ms', async function (this: PromisesWorld, number: number, shownMs: number) {
  const { services } = this.playground!.standins
  services[number - 1]!.setFaults({ leaving: true })
  await waitForLeaving(this, `claims-${number}`)
  await new Promise(resolve => setTimeout(resolve, shownMs))
  this.journalLengths = services.map(service => service.journal.length)
})

function countStarted (world: PromisesWorld, number: number): number {
  const journal = world.playground!.standins.engines[number - 1]!.model.journal
  return journal.slice(world.journalLengths[number - 1]).filter(entry => entry.kind === 'started').length
}

Then('engine {int} has started none of them', function (this: PromisesWorld, number: number) {
  assert.equal(countStarted(this, number), 0)
})

Then('engine {int} has started some of them', function (this: PromisesWorld, number: number) {
  assert.ok(countStarted(this, number) > 0, 'it has started none')
})

Then('service {int} has run some of them', function (this: PromisesWorld, number: number) {
  assert.ok(this.playground!.standins.services[number - 1]!.journal.length > this.journalLengths[number - 1]!, 'it has run none')
})

Then('service {int} has run none of them', function (this: PromisesWorld, number: number) {
  assert.equal(this.playground!.standins.services[number - 1]!.journal.length, this.journalLengths[number - 1])
})

const stopOrLeave: Record<string, (playground: Playground) => Promise<unknown>> = {
  'every gateway stops': async ({ gateways }) => await Promise.all(gateways.splice(0).map(async gateway => await gateway.stop())),
  'every scheduler stops': async ({ schedulers }) => await Promise.all(schedulers.splice(0).map(async scheduler => await scheduler.stop())),
  'every engine leaves': async ({ standins }) => standins.engines.forEach(engine => engine.setFaults({ leaving: true }))
}

When(/^a long stream runs and (every .*)$/, async function (this: PromisesWorld, event: string) {
  const call: CallOptions = { ...createBusyCall(this.callersUrl, 1), maxTokens: longStreamTokens }
  const { result } = await startLongStream(call)
  await stopOrLeave[event]!(this.playground!)
  this.results = [await result]
})

Then('the stream is cut off and says so', function (this: PromisesWorld) {
  const [{ isWhole, verdict, texts }] = this.results as [CallResult]
  assert.deepEqual([isWhole, verdict, texts.length < longStreamTokens], [false, 'may-have-run', true])
})

/** Starts a long stream and resolves once its first chunk has arrived. */
async function startLongStream (options: CallOptions): Promise<{ result: Promise<CallResult> }> {
  let result: Promise<CallResult> | undefined
  await new Promise<void>((resolve, reject) => {
    result = sendCall({ ...options, receiveFirstPart: resolve })
    result.then(({ status, code }) => reject(new Error(`the stream has ended with ${status} ${code}`)), reject)
  })
  return { result: result! }
}
