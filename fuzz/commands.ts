/** What may happen to the fuzzed system, in any order, as commands of fast-check. */
import fc from 'fast-check'
import { crashMarker } from './fakeEngines.js'
import type { FakeHost } from './fakeHost.js'
import { fuzzAdapters } from './fuzzSystem.js'
import type { FuzzSystem } from './fuzzSystem.js'
import type { CallPlan, ChangePlan, JobPlan, RequestPlan } from './records.js'

type Step = (system: FuzzSystem) => void | Promise<void>

/** The oracle knows the promises alone, so a command has no model of the state and may always run. */
export class FuzzCommand {
  #name: string
  #step: Step

  constructor (name: string, step: Step) {
    this.#name = name
    this.#step = step
  }

  async run (system: FuzzSystem): Promise<void> {
    await this.#step(system)
    await system.advance(1)
  }

  toString (): string {
    return this.#name
  }
}

/** Creates a command from its name and argument, as they stand in a printed sequence. */
const creators = new Map<string, (value: unknown) => FuzzCommand>()

function createCommands<T> (arbitrary: fc.Arbitrary<T>, name: string, step: (system: FuzzSystem, value: T) => void | Promise<void>): fc.Arbitrary<FuzzCommand> {
  const create = (value: T): FuzzCommand => new FuzzCommand(`${name}(${JSON.stringify(value)})`, system => step(system, value))
  creators.set(name, value => create(value as T))
  return arbitrary.map(create)
}

/**
 * Reads a sequence as the fuzzer prints it, so that it can be run again.
 *
 * @example
 * parseSequence('restartEngine(1),advance(900)')
 */
export function parseSequence (text: string): FuzzCommand[] {
  return text.trim().split(/,(?=[a-zA-Z]+\()/).map(part => {
    const match = /^([a-zA-Z]+)\((.*)\)$/.exec(part.trim())
    const create = creators.get(match?.[1] ?? '')
    if (!match || !create) throw new Error(`command "${part}" does not exist`)
    return create(JSON.parse(match[2]!))
  })
}

const requestArbitrary: fc.Arbitrary<RequestPlan> = fc.record({
  gateway: fc.nat(3),
  model: fc.tuple(fc.constantFrom(...fuzzAdapters), fc.constantFrom('', '@1', '@2')).map(([name, version]) => name + version),
  tokens: fc.integer({ min: 1, max: 30 }),
  content: fc.constantFrom('hello', 'hello', 'hello', 'again', `${crashMarker} one`, `${crashMarker} two`),
  className: fc.constantFrom('urgent', 'urgent', 'later')
})

/** Work that may run at most once; the caller asks again under the same key, at any gateway. */
const claimedArbitrary: fc.Arbitrary<RequestPlan> = fc.record({
  gateway: fc.nat(3),
  model: fc.constant('alpha@1'),
  tokens: fc.constant(5),
  content: fc.constant('decide'),
  className: fc.constant('urgent'),
  key: fc.constantFrom('key-1', 'key-2', 'key-3')
})

const callArbitrary: fc.Arbitrary<CallPlan> = fc.record({
  gateway: fc.nat(3), isIdempotent: fc.boolean(), key: fc.constantFrom(undefined, undefined, 'desk-1', 'desk-2', 'desk-3')
})

const jobArbitrary: fc.Arbitrary<JobPlan> = fc.record({
  gateway: fc.nat(3), model: fc.constantFrom(...fuzzAdapters), tokens: fc.integer({ min: 1, max: 8 }), runsAtMostOnce: fc.boolean()
})

function pickHost (hosts: Array<{ host: FakeHost }>, index: number, state: FakeHost['state']): FakeHost | undefined {
  const matching = hosts.filter(({ host }) => host.state === state)
  return matching[index % Math.max(1, matching.length)]?.host
}

function countRunning (hosts: Array<{ host: FakeHost }>): number {
  return hosts.filter(({ host }) => host.state === 'running').length
}

function cutPair (system: FuzzSystem, [left, right]: readonly [number, number]): void {
  const hosts = [...system.schedulers, ...system.gateways].map(({ host }) => host)
  const first = hosts[left % hosts.length]!
  const second = hosts[right % hosts.length]!
  if (first === second) return
  system.network.cut(first.id, second.id)
  system.hadCuts = true
  system.disturb()
}

function pauseHost (system: FuzzSystem, index: number): void {
  const host = pickHost([...system.schedulers, ...system.gateways], index, 'running')
  if (!host) return
  host.pause()
  system.hadCuts = true
  system.network.watchPause(host)
}

function wakeHost (system: FuzzSystem, index: number): void {
  pickHost([...system.schedulers, ...system.gateways], index, 'paused')?.wake()
}

const hostCommands = [
  createCommands(fc.nat(7), 'killScheduler', (system, index) => {
    const host = pickHost(system.schedulers, index, 'running')
    if (host && system.listRunningSchedulers().some(other => other.host !== host)) system.killHost(host)
  }),
  createCommands(fc.nat(7), 'restartScheduler', (system, index) => {
    const host = pickHost(system.schedulers, index, 'running')
    if (host) system.restartScheduler(host)
  }),
  createCommands(fc.nat(7), 'killGateway', (system, index) => {
    const host = pickHost(system.gateways, index, 'running')
    if (host && countRunning(system.gateways) > 1) system.killHost(host)
  }),
  createCommands(fc.constant(0), 'addScheduler', system => {
    if (system.listRunningSchedulers().length < 4) system.addScheduler()
  }),
  createCommands(fc.constant(0), 'addGateway', system => {
    if (countRunning(system.gateways) < 3) system.addGateway()
  }),
  createCommands(fc.nat(7), 'stopScheduler', (system, index) => system.stopScheduler(index)),
  createCommands(fc.nat(7), 'stopSchedulerUnderWork', async (system, index) => {
    for (const model of fuzzAdapters.slice(0, 3)) system.sendRequest({ gateway: index, model, tokens: 30, content: 'long', className: 'urgent' })
    await system.advance(600)
    system.stopScheduler(index)
  }),
  createCommands(fc.nat(7), 'pauseAtOrder', (system, index) => {
    const host = pickHost(system.schedulers, index, 'running')
    host?.pauseAtOrder(() => {
      system.hadCuts = true
      system.network.watchPause(host)
    })
  }),
  createCommands(fc.nat(7), 'pause', pauseHost),
  createCommands(fc.nat(7), 'wake', wakeHost),
  createCommands(fc.tuple(fc.nat(7), fc.nat(7)), 'cut', cutPair),
  createCommands(fc.constant(0), 'healCuts', system => system.network.heal())
]

const engineCommands = [
  createCommands(fc.nat(2), 'restartEngine', (system, index) => {
    system.pickEngine(index).restart()
    system.disturb()
  }),
  createCommands(fc.nat(2), 'stallEngine', (system, index) => { system.pickEngine(index).isStalled = true }),
  createCommands(fc.nat(2), 'resumeEngine', (system, index) => { system.pickEngine(index).isStalled = false }),
  createCommands(fc.tuple(fc.nat(2), fc.integer({ min: 1, max: 3 })), 'failLoads', (system, [index, count]) => {
    system.pickEngine(index).loadFailuresLeft = count
    system.disturb()
  }),
  createCommands(fc.nat(2), 'leaveEngine', (system, index) => system.setEngineEntry(system.pickEngine(index).id, 'leaving')),
  createCommands(fc.nat(2), 'returnEngine', (system, index) => system.setEngineEntry(system.pickEngine(index).id, 'live'))
]

const serviceCommands = [
  createCommands(fc.nat(1), 'restartService', (system, index) => {
    system.pickService(index).restart()
    system.disturb()
  }),
  createCommands(fc.nat(1), 'stallService', (system, index) => { system.pickService(index).isStalled = true }),
  createCommands(fc.nat(1), 'resumeService', (system, index) => { system.pickService(index).isStalled = false }),
  createCommands(fc.tuple(fc.nat(1), fc.integer({ min: 1, max: 2 })), 'loseCallAnswers', (system, [index, count]) => {
    system.pickService(index).answersToLose = count
    system.disturb()
  }),
  createCommands(fc.nat(1), 'leaveService', (system, index) => system.setServiceEntry(system.pickService(index).id, 'leaving')),
  createCommands(fc.nat(1), 'returnService', (system, index) => system.setServiceEntry(system.pickService(index).id, 'live')),
  createCommands(fc.constantFrom(400, 3000, 10_000), 'slowWeights', (system, ms) => { system.weights.loadMs = ms })
]

const changeArbitrary: fc.Arbitrary<ChangePlan> = fc.record({
  gateway: fc.nat(3), adapter: fc.constantFrom(...fuzzAdapters.slice(0, 2)), currentVersion: fc.constantFrom('1', '2')
})

const operatorCommands = [
  createCommands(changeArbitrary, 'change', (system, plan) => system.changeVersion(plan)),
  createCommands(fc.tuple(changeArbitrary, changeArbitrary), 'raceChanges', (system, plans) => plans.forEach(plan => system.changeVersion(plan)))
]

const networkCommands = [
  createCommands(fc.integer({ min: 1, max: 4 }), 'repeatMessages', (system, count) => { system.network.messagesToRepeat = count })
]

const platformCommands = [
  createCommands(fc.boolean(), 'setTableDown', (system, isDown) => { system.platform.isDown = isDown }),
  createCommands(fc.integer({ min: 1, max: 3 }), 'loseAnswers', (system, count) => {
    system.platform.answersToLose = count
    system.recordHostChange()
    system.disturb()
  }),
  createCommands(fc.integer({ min: 1, max: 2 }), 'delayWrites', (system, count) => {
    system.platform.writesToDelay = count
    system.recordHostChange()
    system.disturb()
  }),
  createCommands(fc.constantFrom(0, 300, 1500), 'slowTable', (system, ms) => {
    system.platform.slownessMs = ms
    system.recordHostChange()
  }),
  createCommands(fc.tuple(fc.nat(7), changeArbitrary), 'changePastPaused', async (system, [index, plan]) => {
    pauseHost(system, index)
    await system.advance(3500)
    system.changeVersion(plan)
    await system.advance(8000)
    system.platform.slownessMs = 1500
    system.recordHostChange()
    wakeHost(system, 0)
    await system.advance(900)
  })
]

const callerCommands = [
  createCommands(requestArbitrary, 'request', (system, plan) => system.sendRequest(plan)),
  createCommands(claimedArbitrary, 'claimed', (system, plan) => system.sendRequest(plan)),
  createCommands(fc.array(requestArbitrary, { minLength: 3, maxLength: 6 }), 'burst', (system, plans) => plans.forEach(plan => system.sendRequest(plan))),
  createCommands(jobArbitrary, 'job', (system, plan) => system.submitted.submitJob(plan)),
  createCommands(fc.nat(20), 'cancel', (system, index) => system.asked.cancelRequest(index)),
  createCommands(fc.constantFrom(5, 40, 200, 900, 3500, 8000), 'advance', async (system, ms) => await system.advance(ms)),
  createCommands(callArbitrary, 'call', (system, plan) => system.asked.sendCall(plan))
]

/** Requests and time come far more often than faults, so that faults meet work under way. */
export function createFuzzCommands (maxCommands: number): fc.Arbitrary<FuzzCommand[]> {
  const weighted = [
    ...Array.from({ length: 7 }, () => callerCommands[0]!), callerCommands[1]!, callerCommands[1]!, callerCommands[2]!,
    callerCommands[3]!, callerCommands[4]!, callerCommands[6]!, callerCommands[6]!,
    ...Array.from({ length: 4 }, () => callerCommands[5]!)
  ]
  const command = fc.oneof(
    ...Array.from({ length: 6 }, () => fc.oneof(...weighted)),
    fc.oneof(...hostCommands), fc.oneof(...engineCommands), fc.oneof(...engineCommands), fc.oneof(...platformCommands),
    fc.oneof(...operatorCommands), fc.oneof(...networkCommands), fc.oneof(...serviceCommands)
  )
  // Without the usual bias towards short sequences, faults meet more work under way.
  return fc.noBias(fc.array(command, { maxLength: maxCommands, size: 'max' }))
}
