/** The real gateways and schedulers over fakes at the ports, on one virtual clock. */
import { VirtualClock } from '../src/adapters/clock/virtualClock.js'
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
import type { JobDraft } from '../src/tasks/jobs/jobStore.js'
import type { FuzzMechanisms } from './mechanisms.js'
import type { Violation } from './promises.js'

const listLagMs = 400
const engineCount = 3
const schedulerCount = 3
const gatewayCount = 2
const watchIntervalMs = 250
const disturbanceIntervalMs = 20
/** Effects of a fault may last this long after its end. */
const settleMs = 25_000
/** Takeover of a runner that has gone, then the run itself. */
const jobSettleMs = 600_000
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
  /** Whether a fault stood, or had lately stood, while the request was open. */
  isDisturbed: boolean
}

/** A job that was submitted, and whether it was accepted. */
export interface JobRecord {
  /** What the job asks; no other job or request asks it. */
  content: string
  adapter: string
  version: string
  tokens: number
  runsAtMostOnce: boolean
  callerName: string
  id: string | undefined
  /** Set where the job was refused. */
  failure: RequestFailure | undefined
  /** State and answer as stored, read when the system has settled. */
  state: string | undefined
  text: string | undefined
}

export interface JobPlan {
  gateway: number
  model: string
  tokens: number
  runsAtMostOnce: boolean
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
  readonly mechanisms: FuzzMechanisms
  readonly clock = new VirtualClock(Date.UTC(2026, 0, 1))
  readonly platform = new FakePlatform(this.clock, listLagMs)
  readonly network = new FakeNetwork(this.clock)
  readonly engines = new Map<string, FakeEngine>()
  readonly objects = new MemoryObjects()
  readonly schedulers: FuzzScheduler[] = []
  readonly gateways: FuzzGateway[] = []
  readonly callers: CallerRecord[] = []
  readonly jobs: JobRecord[] = []
  readonly accepted: AcceptedChange[] = []
  /** Whether hosts were ever cut off from each other, or stood still. */
  hadCuts = false
  /** What broke a promise while the system ran. */
  readonly observed: Violation[] = []
  /** Times for which the list showed an engine as leaving. */
  readonly leavings: Leaving[] = []
  #started = 0
  #disturbedAtMs = -Infinity
  #versions = new Map<string, number>()

  constructor (mechanisms: FuzzMechanisms) {
    this.mechanisms = mechanisms
  }

  async start (): Promise<void> {
    for (let index = 1; index <= engineCount; index++) {
      const id = `engine-${index}`
      this.engines.set(id, new FakeEngine(id, index !== engineCount, this.clock))
      this.setEngineEntry(id, 'live')
    }
    this.#watchConfiguration()
    this.#watchDisturbance()
    const registration = this.#register()
    await this.advance(3000)
    await registration
    for (let index = 0; index < schedulerCount; index++) this.addScheduler()
    for (let index = 0; index < gatewayCount; index++) this.addGateway()
    await this.advance(6000)
  }

  /** Marks that a fault was caused just now. */
  disturb (): void {
    this.#disturbedAtMs = this.clock.readMonotonic()
    for (const record of this.callers) {
      if (record.outcome === 'open') record.isDisturbed = true
    }
  }

  #isDisturbed (): boolean {
    const isFaulty = this.platform.isDown || this.platform.slownessMs > 0 || this.network.hasCuts ||
      [...this.schedulers, ...this.gateways].some(({ host }) => host.state === 'paused') ||
      [...this.engines.values()].some(engine => !engine.isUp || engine.isStalled)
    if (isFaulty) this.#disturbedAtMs = this.clock.readMonotonic()
    return this.clock.readMonotonic() - this.#disturbedAtMs < settleMs
  }

  #watchDisturbance (): void {
    if (this.#isDisturbed()) this.callers.forEach(record => { if (record.outcome === 'open') record.isDisturbed = true })
    this.clock.setTimer(() => this.#watchDisturbance(), disturbanceIntervalMs)
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
    const configuration = createConfiguration(host, this)
    await configuration.start()
    const result = await configuration.changeRecords({ puts: structuredClone(firstRecords), removes: [], ifVersions: [] })
    configuration.stop()
    if (result.type !== 'accepted') throw new Error(JSON.stringify(result))
  }

  addScheduler (): void {
    this.schedulers.push(startFuzzScheduler(this, this.#createHost('scheduler')))
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
      isReplayed: false,
      isDisturbed: this.#isDisturbed()
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
      if (claim && failure && claim.key !== '') gateway.claims.settleFailure(claim, failure)
      else if (claim && claim.key !== '') gateway.claims.storeAnswer(claim, { status: 200, headers: {}, body: Buffer.from(record.text) })
      this.#end(record, failure ? 'failed' : 'whole', failure)
    })
  }

  /** As the callers' port does: claims first, runs what it claimed, or tells what became of the earlier request. */
  async #startClaimed (gateway: FuzzGateway, request: RoutedRequest, record: CallerRecord, key: string): Promise<void> {
    const bodyHash = `${request.adapter} ${request.version} ${request.body}`
    const result = await this.mechanisms.takeClaim(gateway.claims, { callerName: request.callerName, idempotencyKey: key, bodyHash, requestId: request.requestId })
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

  /** Submits a job as a caller would. */
  submitJob (plan: JobPlan): void {
    const gateway = this.gateways[plan.gateway % this.gateways.length]
    if (gateway?.host.state !== 'running' || !gateway.isServing || !gateway.configuration.view.isCurrent()) return
    const content = `job ${this.jobs.length + 1}`
    const resolved = resolveRequest(gateway.configuration.view, {
      requestId: content,
      path: '/v1/chat/completions',
      body: { model: plan.model, max_tokens: plan.tokens, messages: [{ role: 'user', content }] },
      className: 'later',
      idempotencyKey: undefined,
      caller: callerKey,
      arrivedAtMs: this.clock.readMonotonic(),
      arrivedAtWallMs: this.clock.readWall()
    }, text => text)
    if (!resolved.isValid) return
    const { adapter, version, callerName } = resolved.value
    const record: JobRecord = {
      content, adapter, version, tokens: plan.tokens, runsAtMostOnce: plan.runsAtMostOnce, callerName, id: undefined, failure: undefined, state: undefined, text: undefined
    }
    this.jobs.push(record)
    gateway.jobs.submitJob(createJobDraft(resolved.value, plan, this.clock.readWall())).then(result => {
      if (result.type === 'accepted') record.id = result.job.id
      else record.failure = result.failure
    }, () => {})
  }

  /** Lets accepted jobs end and reads what was stored of them. */
  async #readJobs (): Promise<void> {
    const accepted = this.jobs.filter(job => job.id !== undefined)
    if (accepted.length === 0) return
    await this.advance(jobSettleMs)
    const gateway = this.gateways.find(({ host, isServing }) => host.state === 'running' && isServing)!
    const reads = Promise.all(accepted.map(async record => {
      const job = await gateway.jobs.readJob(record.callerName, record.id!)
      record.state = job?.row.state
      const answer = job && await gateway.jobs.readAnswer(job.row)
      record.text = answer && Buffer.from(answer.body).toString()
    }))
    await this.advance(1000)
    await reads
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

  /** Schedulers that run and will go on to run. */
  listRunningSchedulers (): FuzzScheduler[] {
    return this.schedulers.filter(({ host, isStopping }) => host.state === 'running' && !isStopping)
  }

  /** Stops a scheduler gracefully. */
  stopScheduler (index: number): void {
    const running = this.listRunningSchedulers()
    const scheduler = running[index % Math.max(1, running.length)]
    if (!scheduler || running.length < 2) return
    scheduler.isStopping = true
    this.platform.setEntry(scheduler.host.id, undefined)
    this.mechanisms.stopScheduler(scheduler.task).then(() => scheduler.host.kill(), () => {})
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
    while (this.listRunningSchedulers().length < 2) this.addScheduler()
    while (this.gateways.filter(({ host }) => host.state === 'running').length < 1) this.addGateway()
    await this.advance(40_000)
    await this.#readJobs()
  }

  /** Kills a host; the callers of a killed gateway lose their connections. */
  killHost (host: FakeHost): void {
    this.disturb()
    host.kill()
    this.platform.setEntry(host.id, undefined)
    for (const record of this.callers) {
      if (record.gatewayId === host.id && record.outcome === 'open') this.#end(record, 'cancelled', undefined)
    }
  }

  #end (record: CallerRecord, outcome: CallerRecord['outcome'], failure: RequestFailure | undefined): void {
    if (this.#isDisturbed()) record.isDisturbed = true
    record.outcome = outcome
    record.failure = failure
    record.endedAtMs = this.clock.readMonotonic()
  }

  #createHost (role: string): FakeHost {
    const number = this.schedulers.length + this.gateways.length + 1
    return new FakeHost(`${role}-${number}`, `az-${number % 3 + 1}`, this.clock)
  }
}

function createJobDraft (request: RoutedRequest, plan: JobPlan, acceptedAtWallMs: number): JobDraft {
  const { callerName, adapter, version, baseModel, className, target, fingerprint, promptTokens, maxTokens, path, body } = request
  return {
    idempotencyKey: undefined,
    bodyHash: body,
    acceptedAtWallMs,
    dueAtWallMs: acceptedAtWallMs + request.dueAtMs - request.arrivedAtMs,
    runsAtMostOnce: plan.runsAtMostOnce,
    request: { callerName, adapter, version, baseModel, className, target, fingerprint, promptTokens, maxTokens, path, body }
  }
}
