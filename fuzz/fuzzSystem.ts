/** The real gateways and schedulers over fakes at the ports, on one virtual clock. */
import { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import type { ConfigurationRecord } from '../src/schemas/configuration.js'
import { MemoryObjectStore } from '../src/adapters/memoryPlatform/memoryObjectStore.js'
import { AskedRequests, findOpenGateway, fuzzService } from './askedRequests.js'
import { watchConfiguration } from './configurationWatch.js'
import { FakeEngine, engineBatchLimit, engineSlots } from './fakeEngines.js'
import { FakeHost } from './fakeHost.js'
import { FakeNetwork } from './fakeNetwork.js'
import { FakePlatform } from './fakePlatform.js'
import { createConfiguration, startFuzzGateway, startFuzzScheduler } from './fuzzHosts.js'
import type { FuzzGateway, FuzzScheduler } from './fuzzHosts.js'
import { FakeService } from './fakeServices.js'
import type { FuzzMechanisms } from './mechanisms.js'
import type { Violation } from './promises.js'
import type { AcceptedChange, CallerRecord, CallRecord, ChangePlan, JobRecord, Leaving, RequestPlan } from './records.js'
import { SubmittedJobs } from './submittedJobs.js'
import { WeightStore } from './weightStore.js'

const listLagMs = 400
const engineCount = 3
const serviceCount = 2
const schedulerCount = 3
const gatewayCount = 2
const disturbanceIntervalMs = 20
/** Effects of a fault may last this long after its end. */
const settleMs = 25_000
/** Takeover of a runner that has gone, then the run itself. */
const jobSettleMs = 600_000

export const fuzzAdapters = ['alpha', 'beta', 'gamma', 'delta', 'epsilon', 'zeta', 'eta', 'theta']

const firstRecords: ConfigurationRecord[] = [
  { kind: 'class', name: 'urgent', target: { kind: 'firstTokenWithin', ms: 2000 } },
  { kind: 'class', name: 'later', target: { kind: 'finishWithin', ms: 20_000 } },
  { kind: 'service', name: fuzzService, routes: [{ method: 'POST', path: '/kits', idempotent: true }] },
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
  readonly objects = new MemoryObjectStore()
  readonly schedulers: FuzzScheduler[] = []
  readonly gateways: FuzzGateway[] = []
  readonly services = new Map<string, FakeService>()
  readonly weights = new WeightStore(this.clock)
  readonly asked: AskedRequests
  readonly submitted: SubmittedJobs
  readonly accepted: AcceptedChange[] = []
  /** Whether hosts were ever cut off from each other, or stood still. */
  hadCuts = false
  /** What broke a promise while the system ran. */
  readonly observed: Violation[] = []
  /** Times for which the list showed an engine as leaving. */
  readonly leavings: Leaving[] = []
  /** Times at which hosts came, went, stood still or were cut off, or could lose a lease by answers that did not come in time. */
  readonly hostChanges: number[] = []
  #disturbedAtMs = -Infinity

  constructor (mechanisms: FuzzMechanisms) {
    this.mechanisms = mechanisms
    const { clock, gateways } = this
    this.asked = new AskedRequests({ clock, gateways, mechanisms, isDisturbed: () => this.#isDisturbed() })
    this.submitted = new SubmittedJobs({ clock, gateways })
  }

  get callers (): CallerRecord[] {
    return this.asked.callers
  }

  get calls (): CallRecord[] {
    return this.asked.calls
  }

  get jobs (): JobRecord[] {
    return this.submitted.records
  }

  async start (): Promise<void> {
    for (let index = 1; index <= engineCount; index++) {
      const id = `engine-${index}`
      this.engines.set(id, new FakeEngine(id, index !== engineCount, this.clock, this.weights))
      this.setEngineEntry(id, 'live')
    }
    for (let index = 1; index <= serviceCount; index++) {
      const id = `service-${index}`
      this.services.set(id, new FakeService(id, this.clock))
      this.setServiceEntry(id, 'live')
    }
    watchConfiguration(this)
    this.#watchDisturbance()
    const registration = this.#register()
    await this.advance(3000)
    await registration
    for (let index = 0; index < schedulerCount; index++) this.addScheduler()
    for (let index = 0; index < gatewayCount; index++) this.addGateway()
    await this.advance(6000)
    this.hostChanges.length = 0
  }

  /** Marks that a fault was caused just now. */
  disturb (): void {
    this.#disturbedAtMs = this.clock.readMonotonic()
    for (const record of this.asked.listOpen()) record.isDisturbed = true
  }

  recordHostChange (): void {
    this.hostChanges.push(this.clock.readMonotonic())
  }

  #isDisturbed (): boolean {
    const isFaulty = this.platform.isDown || this.platform.slownessMs > 0 || this.network.hasCuts ||
      [...this.schedulers, ...this.gateways].some(({ host }) => host.state === 'paused') ||
      [...this.engines.values(), ...this.services.values()].some(endpoint => !endpoint.isUp || endpoint.isStalled)
    if (this.network.hasCuts || [...this.schedulers, ...this.gateways].some(({ host }) => host.state === 'paused')) this.recordHostChange()
    if (isFaulty) this.#disturbedAtMs = this.clock.readMonotonic()
    return this.clock.readMonotonic() - this.#disturbedAtMs < settleMs
  }

  #watchDisturbance (): void {
    if (this.#isDisturbed()) for (const record of this.asked.listOpen()) record.isDisturbed = true
    this.clock.setTimer(() => this.#watchDisturbance(), disturbanceIntervalMs)
  }

  async advance (ms: number): Promise<void> {
    await this.clock.runUntilSettled(this.clock.readMonotonic() + ms)
  }

  setEngineEntry (id: string, presence: 'live' | 'leaving'): void {
    this.platform.setEntry(id, {
      kind: 'engine', id, zone: 'az-1', address: id, presence, baseModel: 'base-1', slots: engineSlots, batchLimit: engineBatchLimit
    })
    this.#recordPresence(id, presence)
  }

  setServiceEntry (id: string, presence: 'live' | 'leaving'): void {
    this.platform.setEntry(id, { kind: 'service', id, zone: 'az-1', address: id, presence, service: fuzzService })
    this.#recordPresence(id, presence)
  }

  #recordPresence (endpointId: string, presence: 'live' | 'leaving'): void {
    const nowMs = this.clock.readMonotonic()
    const open = this.leavings.find(leaving => leaving.endpointId === endpointId && leaving.untilMs === Infinity)
    if (presence === 'leaving' && !open) this.leavings.push({ endpointId, fromMs: nowMs + listLagMs, untilMs: Infinity })
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
    this.recordHostChange()
    this.schedulers.push(startFuzzScheduler(this, this.#createHost('scheduler')))
  }

  /** Kills a scheduler; a new process starts at once under its name. */
  restartScheduler (host: FakeHost): void {
    this.killHost(host)
    this.schedulers.push(startFuzzScheduler(this, new FakeHost(host.id, host.zone, this.clock)))
  }

  addGateway (): void {
    this.gateways.push(startFuzzGateway(this, this.#createHost('gateway')))
  }

  /** Sends a request as a caller would; what comes back is written into its record. */
  sendRequest (plan: RequestPlan): void {
    this.asked.sendRequest(plan)
  }

  /** Lets accepted jobs end and reads what was stored of them. */
  async #readJobs (): Promise<void> {
    if (this.submitted.listAccepted().length === 0) return
    await this.advance(jobSettleMs)
    const reads = this.submitted.readStored(this.gateways.find(({ host, isServing }) => host.state === 'running' && isServing)!)
    await this.advance(1000)
    await reads
  }

  /** Has an operator change an adapter's current version; several such changes may race. */
  changeVersion (plan: ChangePlan): void {
    const gateway = findOpenGateway(this.gateways, plan.gateway)
    const found = gateway?.configuration.findRecord({ kind: 'adapter', name: plan.adapter })
    if (!gateway || found?.record.kind !== 'adapter') return
    const puts = [{ ...found.record, currentVersion: plan.currentVersion }]
    gateway.configuration.changeRecords({ puts, removes: [], ifVersions: [] }).then(result => {
      if (result.type === 'accepted') this.accepted.push({ version: result.version, atMs: this.clock.readMonotonic() })
    }, () => {})
  }

  pickEngine (index: number): FakeEngine {
    return [...this.engines.values()][index % this.engines.size]!
  }

  pickService (index: number): FakeService {
    return [...this.services.values()][index % this.services.size]!
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
    this.recordHostChange()
    this.platform.setEntry(scheduler.host.id, undefined)
    this.mechanisms.stopScheduler(scheduler.task).then(() => scheduler.host.kill(), () => {})
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
    for (const service of this.services.values()) {
      service.isStalled = false
      service.answersToLose = 0
      this.setServiceEntry(service.id, 'live')
    }
    this.weights.loadMs = undefined
    for (const { host } of [...this.schedulers, ...this.gateways]) {
      host.pauseAtOrder(undefined)
      host.wake()
    }
    while (this.listRunningSchedulers().length < 2) this.addScheduler()
    while (this.gateways.filter(({ host }) => host.state === 'running').length < 1) this.addGateway()
    await this.advance(40_000)
    await this.#readJobs()
  }

  /** Kills a host; the callers of a killed gateway lose their connections. */
  killHost (host: FakeHost): void {
    this.disturb()
    this.recordHostChange()
    host.kill()
    this.platform.setEntry(host.id, undefined)
    this.asked.loseGateway(host.id)
  }

  #createHost (role: string): FakeHost {
    const number = this.schedulers.length + this.gateways.length + 1
    return new FakeHost(`${role}-${number}`, `az-${number % 3 + 1}`, this.clock)
  }
}
