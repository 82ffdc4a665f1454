/** Steps of processes that die or stop. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { FaultChange } from '../../src/standin/engineFaults.js'
import { runLoad, sendCall } from '../../playground/callerLoad.js'
import type { CallOptions, CallResult } from '../../playground/callerLoad.js'
import { formatFindings, judgeCalls } from '../../playground/judgeCalls.js'
import { readJournals, readOwners, startProcesses } from '../support/processes.js'
import type { ProcessCounts, ProcessSystem } from '../support/processes.js'
import { waitUntil } from '../support/waitUntil.js'

interface FailoverWorld {
  processes: ProcessSystem | undefined
  /** The streams through the first and the second gateway. */
  streams: Array<Promise<CallResult>>
  results: CallResult[]
  /** Name and process of the scheduler that is paused. */
  paused: string
  pausedPid: number
}

const longStreamTokens = 400
const adaptersInTurn = ['cluj-tax@1', 'cluj-tax@2', 'kit-tutor']

function createCall (world: FailoverWorld, gateway: number, prompt: string): CallOptions {
  return { url: world.processes!.urls[gateway - 1]!, model: 'cluj-tax', maxTokens: 4, isStream: true, prompt }
}

async function startReady (world: FailoverWorld, counts: ProcessCounts): Promise<void> {
  world.results = []
  world.processes = await startProcesses(counts)
  for (let gateway = 1; gateway <= counts.gateways; gateway++) {
    await waitUntil(async () => (await sendCall(createCall(world, gateway, 'ready?'))).isWhole)
  }
}

async function postFaults (address: string, change: FaultChange): Promise<void> {
  await fetch(`http://${address}/faults`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(change)
  })
}

Given('processes with {int} engines, {int} schedulers and {int} gateways',
  async function (this: FailoverWorld, engines: number, schedulers: number, gateways: number) {
    await startReady(this, { engines, schedulers, gateways })
  })

Given('processes with {int} engines of 2 slots that ignore fencing numbers, {int} schedulers and {int} gateways',
  async function (this: FailoverWorld, engines: number, schedulers: number, gateways: number) {
    await startReady(this, { engines, schedulers, gateways, engineSettings: 'slots = 2\nfencing = ignore' })
  })

When('the owner of the first engine is paused', async function (this: FailoverWorld) {
  const { platform, schedulers } = this.processes!
  await waitUntil(async () => (await readOwners(platform))[0] !== undefined)
  this.paused = (await readOwners(platform))[0]!
  this.pausedPid = schedulers[Number(this.paused.split('-')[1]) - 1]!.pid
  process.kill(this.pausedPid, 'SIGSTOP')
})

When('every engine has another owner', async function (this: FailoverWorld) {
  const { platform, engines } = this.processes!
  await waitUntil(async () => {
    const owners = (await readOwners(platform)).filter(owner => owner !== undefined && owner !== this.paused)
    return owners.length === engines.length
  })
})

When('the paused owner wakes', function (this: FailoverWorld) { process.kill(this.pausedPid, 'SIGCONT') })

When('{int} requests for adapters in turn are sent, {int} at once', async function (this: FailoverWorld, count: number, parallel: number) {
  const createTurn = (index: number): CallOptions => ({
    ...createCall(this, 1 + index % 2, `turn ${index}`), model: adaptersInTurn[index % adaptersInTurn.length]!
  })
  this.results.push(...await runLoad({ count, parallel, createCall: createTurn }))
})

After(async function (this: FailoverWorld) { await this.processes?.stop() })

Given('requests that contain {string} crash their engine', async function (this: FailoverWorld, crashMarker: string) {
  await Promise.all(this.processes!.engines.map(async address => await postFaults(address, { crashMarker })))
})

When('the process of scheduler {int} is killed', async function (this: FailoverWorld, number: number) { await this.processes!.schedulers[number - 1]!.kill() })

When('gateway {int} is killed', async function (this: FailoverWorld, number: number) { await this.processes!.gateways[number - 1]!.kill() })

When('every scheduler is killed', async function (this: FailoverWorld) {
  await Promise.all(this.processes!.schedulers.map(async scheduler => await scheduler.kill()))
})

When('every scheduler but the last is stopped', function (this: FailoverWorld) {
  for (const scheduler of this.processes!.schedulers.slice(0, -1)) scheduler.stop()
})

When('gateway {int} is stopped', function (this: FailoverWorld, number: number) { this.processes!.gateways[number - 1]!.stop() })

When('a long stream runs through gateway {int} and another through gateway {int}',
  async function (this: FailoverWorld, first: number, second: number) {
    const started = [first, second].map(gateway => {
      let result: Promise<CallResult> | undefined
      const hasStarted = new Promise<void>(resolve => {
        const call = { ...createCall(this, gateway, `long ${gateway}`), maxTokens: longStreamTokens, receiveFirstPart: resolve }
        result = sendCall(call)
        result.then(() => resolve())
      })
      return { hasStarted, result: result! }
    })
    this.streams = started.map(({ result }) => result)
    await Promise.all(started.map(async ({ hasStarted }) => await hasStarted))
  })

Then('the stream through gateway {int} comes out whole', async function (this: FailoverWorld, number: number) {
  const result = await this.streams[number - 1]!
  assert.ok(result.isWhole, `${result.status} ${result.code} after ${result.texts.length} tokens`)
  assert.equal(result.texts.length, longStreamTokens)
})

Then('the stream through gateway {int} ends with an error that says {string}', async function (this: FailoverWorld, number: number, verdict: string) {
  const result = await this.streams[number - 1]!
  assert.deepEqual([result.isWhole, result.verdict], [false, verdict])
})

Then('the engines cancel the stream of gateway {int}', async function (this: FailoverWorld, number: number) {
  const { requestId } = await this.streams[number - 1]!
  await waitUntil(async () => (await readJournals(this.processes!.engines)).flat()
    .some(entry => entry.kind === 'cancelled' && entry.requestId === requestId))
})

/** Shows one engine alone as live, so that only it can serve. */
async function keepOneLive (engines: string[], live: string): Promise<void> {
  await Promise.all(engines.map(async address => await postFaults(address, { leaving: address !== live })))
}

Then('every engine serves again', async function (this: FailoverWorld) {
  const { engines } = this.processes!
  for (const [index, address] of engines.entries()) {
    await keepOneLive(engines, address)
    const before = (await readJournals([address]))[0]!.length
    let sent = 0
    await waitUntil(async () => {
      this.results.push(await sendCall(createCall(this, 1 + sent++ % 2, `again ${index} ${sent}`)))
      return (await readJournals([address]))[0]!.slice(before).some(({ kind }) => kind === 'finished')
    })
  }
})

Then('no promise was broken among the processes', async function (this: FailoverWorld) {
  const findings = judgeCalls(this.results, (await readJournals(this.processes!.engines)).flat())
  assert.ok(Object.values(findings as unknown as Record<string, string[]>).every(list => list.length === 0), JSON.stringify(findings))
  assert.ok(this.results.length > 0, formatFindings(findings))
})

When('{string} is sent through gateway {int} until it is refused with {string}',
  async function (this: FailoverWorld, prompt: string, gateway: number, code: string) {
    await waitUntil(async () => (await sendCall(createCall(this, gateway, prompt))).code === code)
  })

Then('the engines have restarted {int} times', async function (this: FailoverWorld, count: number) {
  const restarts = (await readJournals(this.processes!.engines)).flat().filter(({ kind }) => kind === 'restarted')
  assert.equal(restarts.length, count)
})

When('{string} is sent through gateway {int} until it is answered', async function (this: FailoverWorld, prompt: string, gateway: number) {
  await waitUntil(async () => (await sendCall(createCall(this, gateway, prompt))).isWhole)
})

Then('every adapter in turn was answered whole', function (this: FailoverWorld) {
  const answered = new Set(this.results.filter(({ isWhole }) => isWhole).map(({ asked }) => asked.model))
  for (const model of adaptersInTurn) assert.ok(answered.has(model), `"${model}" was answered`)
})
