/** Steps of the task of one endpoint, on a virtual clock and an engine that does as the scenario says. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { VirtualClock } from '../../src/adapters/clock/virtualClock.js'
import { shutdownRules } from '../../src/core/shutdownRules.js'
import { createSlackPlannerFactory } from '../../src/core/slackPlanner.js'
import type { AdapterOrder, Engine, AdapterOrderOutcome } from '../../src/ports/engine.js'
import type { EngineEntry } from '../../src/schemas/hostList.js'
import type { Dispatch, PeerMessage } from '../../src/schemas/peerMessage.js'
import { EndpointTask } from '../../src/tasks/scheduler/endpointTask.js'
import type { EndpointTaskOptions } from '../../src/tasks/scheduler/endpointTask.js'

const done: AdapterOrderOutcome = { verdict: 'done' }
const batchLimit = 4
const answerMs = 10
/** Long enough for several reports and repeated orders. */
const settleMs = 3000

class ScriptedEngine implements Engine {
  readonly handles = new Set<string>()
  readonly loads: string[] = []
  refusedLoads = 0
  kept: string | undefined
  #clock: VirtualClock
  #slots: number
  #restarts = 0

  constructor (clock: VirtualClock, slots: number) {
    this.#clock = clock
    this.#slots = slots
  }

  restart (): void {
    this.#restarts++
    this.handles.clear()
  }

  readReport: Engine['readReport'] = async () => ({
    incarnation: `run-${this.#restarts}`,
    slots: this.#slots,
    batchLimit,
    running: 0,
    waiting: 0,
    adapters: [...this.handles].map(handle => ({ handle, state: 'loaded' as const, running: 0 })),
    lagMs: 0
  })

  async loadAdapter (_address: string, { adapter, handle }: AdapterOrder): Promise<AdapterOrderOutcome> {
    this.loads.push(adapter)
    if (this.handles.size >= this.#slots) {
      this.refusedLoads++
      return { verdict: 'refused', code: 'no_slot', message: 'all slots are in use' }
    }
    this.handles.add(handle)
    return done
  }

  async unloadAdapter (_address: string, { handle }: AdapterOrder): Promise<AdapterOrderOutcome> {
    if (handle === this.kept) return { verdict: 'refused', code: 'handle_busy', message: `"${handle}" serves a request` }
    this.handles.delete(handle)
    return done
  }

  generate: Engine['generate'] = (_address, _order, send) => {
    const timer = this.#clock.setTimer(() => send({ type: 'end' }), answerMs)
    return { cancel: () => timer.cancel() }
  }
}

interface EndpointWorld {
  clock: VirtualClock
  scripted: ScriptedEngine
  task: EndpointTask
  requests: number
  answers: PeerMessage[]
  /** Gives a load its permit. */
  permits: Array<(release: () => void) => void>
}

function createOwnership (): EndpointTaskOptions['ownership'] {
  let handles = 0
  return {
    isOwner: () => true,
    createHandle: (_endpointId, adapter, version) => `${adapter}@${version}#1.${++handles}`,
    writeUnloadIntent: async () => true,
    mayUnload: () => true,
    recordReport: () => {},
    listRemovable: () => []
  }
}

async function startEndpoint (world: EndpointWorld, slots: number, requestPermit: EndpointTaskOptions['requestPermit']): Promise<void> {
  const clock = new VirtualClock()
  const engine = new ScriptedEngine(clock, slots)
  const entry: EngineEntry = {
    kind: 'engine', id: 'engine-1', zone: 'az-1', address: '127.0.0.1:1', presence: 'live', baseModel: 'base-1', slots, batchLimit
  }
  const task = new EndpointTask({
    clock,
    engine,
    entry,
    fencing: 1,
    adoptableHandles: [],
    planner: createSlackPlannerFactory()({ endpointId: entry.id, slots, batchLimit }),
    ownership: createOwnership(),
    requestPermit,
    recordDecision: () => {},
    shutdownRules,
    findSuspectState: () => 'clear',
    receiveCrash: () => {},
    receiveChange: () => {}
  })
  Object.assign(world, { clock, scripted: engine, task, requests: 0, answers: [], permits: [] })
  task.start()
  await settle(world)
}

async function settle ({ clock }: EndpointWorld): Promise<void> {
  await clock.runUntilSettled(clock.readMonotonic() + settleMs)
}

function createDispatch (adapter: string, requestId: string): Dispatch {
  return {
    type: 'dispatch',
    requestId,
    attempt: 1,
    endpointId: 'engine-1',
    adapter,
    version: '1',
    baseModel: 'base-1',
    className: 'urgent',
    target: { kind: 'firstTokenWithin', ms: 60_000 },
    ageMs: 0,
    dueInMs: 60_000,
    callerName: 'caller',
    fingerprint: requestId,
    isSuspect: false,
    promptTokens: 1,
    maxTokens: 1,
    path: '/v1/completions',
    body: '{}',
    isStream: true
  }
}

Given('an endpoint of {int} slots', async function (this: EndpointWorld, slots: number) {
  await startEndpoint(this, slots, async () => () => {})
})

Given('an endpoint of {int} slots whose loads wait for permits', async function (this: EndpointWorld, slots: number) {
  await startEndpoint(this, slots, async () => await new Promise(resolve => this.permits.push(resolve)))
})

When('a request for adapter {string} comes', async function (this: EndpointWorld, adapter: string) {
  this.task.receiveDispatch(createDispatch(adapter, `request-${++this.requests}`), message => this.answers.push(message))
  await settle(this)
})

When('the engine restarts empty', async function (this: EndpointWorld) {
  this.scripted.restart()
  await settle(this)
})

When('permit {int} is given', async function (this: EndpointWorld, number: number) {
  assert.ok(this.permits[number - 1], `${number} permits were asked for, not ${this.permits.length}`)
  this.permits[number - 1]!(() => {})
  await settle(this)
})

When('the engine shows {string} too, and keeps it', async function (this: EndpointWorld, handle: string) {
  this.scripted.handles.add(handle)
  this.scripted.kept = handle
  await settle(this)
})

Then('the engine was ordered to load {string} {int} time(s)', function (this: EndpointWorld, adapter: string, times: number) {
  assert.equal(this.scripted.loads.filter(load => load === adapter).length, times)
})

Then('the engine refused no load', function (this: EndpointWorld) {
  assert.equal(this.scripted.refusedLoads, 0)
})

Then('all {int} requests were answered', function (this: EndpointWorld, count: number) {
  assert.equal(this.answers.filter(({ type }) => type === 'answerEnd').length, count)
})
