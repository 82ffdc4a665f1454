/** The real gateways and schedulers over fakes at the ports, on one virtual clock. */
import { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import type { CreatePlanner } from '../src/core/planner.js'
import { createSlackPlanners } from '../src/core/slackPlanner.js'
import type { ConfigurationRecord, KeyRecord } from '../src/schemas/configuration.js'
import type { RequestFailure } from '../src/schemas/verdict.js'
import { MemoryObjects } from '../src/adapters/memoryPlatform/memoryObjects.js'
import type { Claim } from '../src/tasks/claims/claimTask.js'
import { resolveRequest } from '../src/tasks/gateway/resolveRequest.js'
import type { RoutedRequest } from '../src/tasks/gateway/routedRequest.js'
import { FakeEngine, engineBatchLimit, engineSlots } from './fakeEngines.js'
import { FakeHost } from './fakeHost.js'
import { FakeNetwork } from './fakeNetwork.js'
import { FakePlatform } from './fakePlatform.js'
import { createConfiguration, startFuzzGateway, startFuzzScheduler } from './fuzzHosts.js'
import type { FuzzGateway, FuzzScheduler } from './fuzzHosts.js'
import type { Violation } from './promises.js'

const listLagMs = 400
const engineCount = 3
const schedulerCount = 3
const gatewayCount = 2
const watchIntervalMs = 250
/** An accepted change is in force on every host that takes work, within this time. */
const inForceWithinMs = 5000

/** What a caller asked for and was told. */
export interface CallerRecord {
  requestId: string
  adapter: string
  version: string
  tokens: number
  /** Work with the same key may run at most once. */
  idempotencyKey: string | undefined
  gatewayId: string
  startedAtMs: number
  endedAtMs: number | undefined
  text: string
  outcome: 'open' | 'whole' | 'failed' | 'cancelled'
  failure: RequestFailure | undefined
  /** Whether the answer is that of an earlier request with the same key. */
  isReplayed: boolean
}

export interface Leaving {
  engineId: string
  fromMs: number
  untilMs: number
}

export interface RequestPlan {
  gateway: number
  model: string
  tokens: number
  content: string
  className: string
  /** Left out, the work may be repeated. */
  key?: string | undefined
}

/** Mechanisms that can be switched off, to show that the oracle notices. */
export interface FuzzMechanisms {
  createPlanner: CreatePlanner
  /** What schedulers believe of their peers' reports that the table is down. */
  filterOutageReports: (hostIds: string[]) => string[]
}

export const allMechanisms: FuzzMechanisms = { createPlanner: createSlackPlanners(), filterOutageReports: hostIds => hostIds }

/** A change that an operator was told is accepted. */
export interface AcceptedChange {
  version: number
  atMs: number
}

/** A change of an adapter's current version, as an operator asks for it on one host. */
export interface ChangePlan {
  gateway: number
  adapter: string
  currentVersion: string
}

const callerKey: KeyRecord = {
  kind: 'key', name: 'caller', role: 'caller', hash: '0'.repeat(64), adapters: ['*'], services: ['*'], classes: ['*']
}

export const fuzzAdapters = ['alpha', 'beta', 'gamma', 'delta', 'epsilon', 'zeta', 'eta', 'theta']

const firstRecords: ConfigurationRecord[] = [
  { kind: 'class', name: 'urgent', target: { kind: 'firstTokenWithin', ms: 2000 } },
  { kind: 'class', name: 'later', target: { kind: 'finishWithin', ms: 20_000 } },
  ...fuzzAdapters.map((name): ConfigurationRecord => ({
    kind: 'adapter', name, baseModel: 'base-1', versions: ['1', '2'], currentVersion: '1', defaultClass: 'urgent'
  }))
]

export class FuzzSystem {
  readonly clock = new VirtualClock(Date.UTC(2026, 0, 1))
  readonly platform = new FakePlatform(this.clock, listLagMs)
  readonly network = new FakeNetwork(this.clock)
  readonly engines = new Map<string, FakeEngine>()
  readonly objects = new MemoryObjects()
  readonly schedulers: FuzzScheduler[] = []
  readonly gateways: FuzzGateway[] = []
  readonly callers: CallerRecord[] = []
  readonly accepted: AcceptedChange[] = []
  /** What broke a promise while the system ran. */
  readonly observed: Violation[] = []
  /** Times for which the list showed an engine as leaving. */
  readonly leavings: Leaving[] = []
  #mechanisms: FuzzMechanisms
  #started = 0
  #versions = new Map<string, number>()

  constructor (mechanisms: FuzzMechanisms) {
    this.#mechanisms = mechanisms
  }

  async start (): Promise<void> {
    for (let index = 1; index <= engineCount; index++) {
      const id = `engine-${index}`
      this.engines.set(id, new FakeEngine(id, index !== engineCount, this.clock))
      this.setEngineEntry(id, 'live')
    }
    this.#watchConfiguration()
    const registration = this.#register()
    await this.advance(3000)
    await registration
    for (let index = 0; index < schedulerCount; index++) this.addScheduler()
    for (let index = 0; index < gatewayCount; index++) this.addGateway()
    await this.advance(6000)
  }

  /** Watches what each host has in force, again and again. */
  #watchConfiguration (): void {
    const newest = Math.max(0, ...this.accepted.filter(change => this.clock.readMonotonic() - change.atMs > inForceWithinMs).map(change => change.version))
    for (const { host, configuration, isServing } of [...this.schedulers, ...this.gateways]) {
      if (host.state !== 'running' || !isServing) continue
      const { version } = configuration.view
      const before = this.#versions.get(host.id) ?? 0
      if (version < before) this.observed.push({ promise: 'configurationHolds', detail: `${host.id} went back from version ${before} to ${version}` })
      if (version < newest && configuration.view.isCurrent()) {
        this.observed.push({ promise: 'configurationHolds', detail: `${host.id} takes work with version ${version}, but ${newest} was accepted` })
      }
      this.#versions.set(host.id, version)
    }
    this.clock.setTimer(() => this.#watchConfiguration(), watchIntervalMs)
  }

  async advance (ms: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
  }

  setEngineEntry (id: string, presence: 'live' | 'leaving'): void {
    this.platform.setEntry(id, {
      kind: 'engine', id, zone: 'az-1', address: id, presence, baseModel: 'base-1', slots: engineSlots, batchLimit: engineBatchLimit
    })
    const nowMs = this.clock.readMonotonic()
    const open = this.leavings.find(leaving => leaving.engineId === id && leaving.untilMs === Infinity)
    if (presence === 'leaving' && !open) this.leavings.push({ engineId: id, fromMs: nowMs + listLagMs, untilMs: Infinity })
    if (presence === 'live' && open) open.untilMs = nowMs
  }

  async #register (): Promise<void> {
    const host = new FakeHost('registration', 'az-1', this.clock)
    const configuration = createConfiguration(host, this.platform)
    await configuration.start()
    const result = await configuration.changeRecords({ puts: structuredClone(firstRecords), removes: [], ifVersions: [] })
    configuration.stop()
    if (result.type !== 'accepted') throw new Error(JSON.stringify(result))
  }

  addScheduler (): void {
    this.schedulers.push(startFuzzScheduler(this, this.#createHost('scheduler'), this.#mechanisms))
  }

  addGateway (): void {
    this.gateways.push(startFuzzGateway(this, this.#createHost('gateway')))
  }

  /** Sends a request as a caller would; what comes back is written into its record. */
  sendRequest (plan: RequestPlan): void {
    const gateway = this.gateways[plan.gateway % this.gateways.length]
    if (gateway?.host.state !== 'running' || !gateway.isServing) return
    if (!gateway.configuration.view.isCurrent()) return
    const requestId = `req-${++this.#started}`
    const resolved = resolveRequest(gateway.configuration.view, {
      requestId,
      path: '/v1/chat/completions',
      body: { model: plan.model, stream: true, max_tokens: plan.tokens, messages: [{ role: 'user', content: plan.content }] },
      className: plan.className,
      idempotencyKey: plan.key,
      caller: callerKey,
      arrivedAtMs: this.clock.readMonotonic(),
      arrivedAtWallMs: this.clock.readWall()
    }, text => text)
    if (!resolved.isValid) return
    const { adapter, version } = resolved.value
    const record: CallerRecord = {
      requestId,
      adapter,
      version,
      tokens: plan.tokens,
      idempotencyKey: plan.key,
      gatewayId: gateway.host.id,
      startedAtMs: this.clock.readMonotonic(),
      endedAtMs: undefined,
      text: '',
      outcome: 'open',
      failure: undefined,
      isReplayed: false
    }
    this.callers.push(record)
    if (plan.key === undefined) this.#start(gateway, resolved.value, record, undefined)
    else this.#startClaimed(gateway, resolved.value, record, plan.key)
  }

  #start (gateway: FuzzGateway, request: RoutedRequest, record: CallerRecord, claim: Claim | undefined): void {
    gateway.task.router.startRequest(request, event => {
      if (event.type === 'data') {
        record.text += event.data
        return
      }
      const failure = event.type === 'failed' ? event.failure : undefined
      if (claim && failure) gateway.claims.settleFailure(claim, failure)
      else if (claim) gateway.claims.storeAnswer(claim, { status: 200, headers: {}, body: Buffer.from(record.text) })
      this.#end(record, failure ? 'failed' : 'whole', failure)
    })
  }

  /** As the callers' port does: claims first, runs what it claimed, or tells what became of the earlier request. */
  async #startClaimed (gateway: FuzzGateway, request: RoutedRequest, record: CallerRecord, key: string): Promise<void> {
    const bodyHash = `${request.adapter} ${request.version} ${request.body}`
    const result = await gateway.claims.takeClaim({ callerName: request.callerName, idempotencyKey: key, bodyHash, requestId: request.requestId })
    if (record.outcome !== 'open') return
    if (result.type === 'claimed') {
      this.#start(gateway, request, record, result.claim)
    } else if (result.type === 'answered') {
      record.text = Buffer.from(result.answer.body).toString()
      record.isReplayed = true
      this.#end(record, 'whole', undefined)
    } else {
      this.#end(record, 'failed', result.failure)
    }
  }

  /** Has an operator change an adapter's current version; several such changes may race. */
  changeVersion (plan: ChangePlan): void {
    const gateway = this.gateways[plan.gateway % this.gateways.length]
    if (gateway?.host.state !== 'running' || !gateway.isServing) return
    const found = gateway.configuration.findRecord({ kind: 'adapter', name: plan.adapter })
    if (found?.record.kind !== 'adapter') return
    const puts = [{ ...found.record, currentVersion: plan.currentVersion }]
    gateway.configuration.changeRecords({ puts, removes: [], ifVersions: [] }).then(result => {
      if (result.type === 'accepted') this.accepted.push({ version: result.version, atMs: this.clock.readMonotonic() })
    }, () => {})
  }

  pickEngine (index: number): FakeEngine {
    return [...this.engines.values()][index % this.engines.size]!
  }

  /** Stops a scheduler gracefully. */
  stopScheduler (index: number): void {
    const running = this.schedulers.filter(({ host }) => host.state === 'running')
    const scheduler = running[index % Math.max(1, running.length)]
    if (!scheduler || running.length < 2) return
    this.platform.setEntry(scheduler.host.id, undefined)
    scheduler.task.stop().then(() => scheduler.host.kill(), () => {})
  }

  cancelRequest (index: number): void {
    const open = this.callers.filter(record => record.outcome === 'open')
    const record = open[index % Math.max(1, open.length)]
    if (!record) return
    const gateway = this.gateways.find(({ host }) => host.id === record.gatewayId)
    if (gateway?.host.state !== 'running') return
    this.#end(record, 'cancelled', undefined)
    gateway.task.router.cancelRequest(record.requestId)
  }

  /** Ends every fault, replaces dead hosts and lets the system settle. */
  async heal (): Promise<void> {
    this.network.heal()
    this.platform.isDown = false
    this.platform.slownessMs = 0
    this.platform.answersToLose = 0
    this.platform.writesToDelay = 0
    for (const engine of this.engines.values()) {
      engine.isStalled = false
      engine.loadFailuresLeft = 0
      this.setEngineEntry(engine.id, 'live')
    }
    for (const { host } of [...this.schedulers, ...this.gateways]) host.wake()
    while (this.schedulers.filter(({ host }) => host.state === 'running').length < 2) this.addScheduler()
    while (this.gateways.filter(({ host }) => host.state === 'running').length < 1) this.addGateway()
    await this.advance(40_000)
  }

  /** Kills a host; the callers of a killed gateway lose their connections. */
  killHost (host: FakeHost): void {
    host.kill()
    this.platform.setEntry(host.id, undefined)
    for (const record of this.callers) {
      if (record.gatewayId === host.id && record.outcome === 'open') this.#end(record, 'cancelled', undefined)
    }
  }

  #end (record: CallerRecord, outcome: CallerRecord['outcome'], failure: RequestFailure | undefined): void {
    record.outcome = outcome
    record.failure = failure
    record.endedAtMs = this.clock.readMonotonic()
  }

  #createHost (role: string): FakeHost {
    const number = this.schedulers.length + this.gateways.length + 1
    return new FakeHost(`${role}-${number}`, `az-${number % 3 + 1}`, this.clock)
  }
}
