/** The stand-in engines behind the engine port, without HTTP, and a journal of when things happened. */
import type { Clock } from '../../src/ports/clock.js'
import type { AdapterOrder, Engine, EngineReport, GenerateEvent, GenerationRequest, Generation, AdapterOrderOutcome } from '../../src/ports/engine.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../../src/schemas/verdict.js'
import { EngineModel } from '../../src/standin/engineModel.js'
import type { EngineRun } from '../../src/standin/engineModel.js'
import { WeightStore } from '../../src/standin/weightStore.js'
import { engineTimes } from './workload.js'
import type { Deployment, TraceRequest } from './workload.js'

/** When a load was ordered and when it ended, in milliseconds. */
export interface LoadTimes {
  orderedAtMs: number
  loadedAtMs: number
}

/** What happened on the engines. */
export interface EngineJournal {
  loads: Map<string, LoadTimes>
  dispatched: (requestId: string, handle: string) => void
  /** Tokens and steps of all engines, by step's time. */
  recordStep: (atMs: number, tokens: number) => void
}

interface VirtualEngine {
  model: EngineModel
  incarnation: number
  running: Map<EngineRun, (event: GenerateEvent) => void>
  stepAtMs: number
  stepTokens: number
}

export interface VirtualEnginesOptions {
  clock: Clock
  deployment: Deployment
  findRequest: (requestId: string) => TraceRequest
  journal: EngineJournal
}

/** All engines of a deployment; the address of an engine is its index. */
export class VirtualEngines implements Engine {
  #options: VirtualEnginesOptions
  #engines: VirtualEngine[] = []
  readonly store: WeightStore

  constructor (options: VirtualEnginesOptions) {
    this.#options = options
    const { clock, deployment } = options
    this.store = new WeightStore({ clock, loadMs: deployment.loadMs, loadsAtFullSpeed: deployment.loadsAtFullSpeed })
    for (let index = 0; index < deployment.engines; index++) this.#engines.push(this.#createEngine(0))
  }

  /** Restarts an engine empty; what ran is lost. */
  restartEngine (index: number): void {
    const engine = this.#engines[index]!
    const lost = [...engine.running]
    this.#engines[index] = this.#createEngine(engine.incarnation + 1)
    for (const [run, send] of lost) {
      engine.model.cancelRun(run)
      send({ type: 'failed', failure: createMayHaveRunFailure('endpoint_lost', `engine ${index} restarted`, 502), isEndpointLost: true })
    }
  }

  async readReport (address: string): Promise<EngineReport> {
    return this.#getEngine(address).model.readReport()
  }

  async loadAdapter (address: string, order: AdapterOrder): Promise<AdapterOrderOutcome> {
    const { clock, journal } = this.#options
    const times: LoadTimes = { orderedAtMs: clock.readMonotonic(), loadedAtMs: Infinity }
    const engine = this.#getEngine(address)
    const outcome = await engine.model.loadAdapter(order.handle)
    if (!outcome.isDone) return { verdict: 'refused', code: outcome.code, message: outcome.message }
    if (engine !== this.#getEngine(address)) return { verdict: 'unknown', message: 'the engine has restarted' }
    times.loadedAtMs = clock.readMonotonic()
    journal.loads.set(order.handle, times)
    return { verdict: 'done' }
  }

  async unloadAdapter (address: string, order: AdapterOrder): Promise<AdapterOrderOutcome> {
    const outcome = this.#getEngine(address).model.unloadAdapter(order.handle)
    return outcome.isDone ? { verdict: 'done' } : { verdict: 'refused', code: outcome.code, message: outcome.message }
  }

  generate (address: string, order: GenerationRequest, send: (event: GenerateEvent) => void): Generation {
    const engine = this.#getEngine(address)
    const { promptTokens, maxTokens } = this.#options.findRequest(order.requestId)
    const run: EngineRun = {
      requestId: order.requestId,
      attempt: order.attempt,
      handle: order.handle,
      priority: order.priority,
      promptTokens,
      maxTokens,
      sendToken: index => {
        this.#countToken(engine)
        if (index === 0) send({ type: 'data', data: '' })
      },
      finish: () => {
        engine.running.delete(run)
        send({ type: 'end' })
      }
    }
    const outcome = engine.model.addRun(run)
    if (outcome.isDone) {
      engine.running.set(run, send)
      this.#options.journal.dispatched(order.requestId, order.handle)
    } else {
      const failure = createNotRunFailure(outcome.code, outcome.message, outcome.status)
      this.#options.clock.setTimer(() => send({ type: 'failed', failure, isEndpointLost: false }), 0)
    }
    return {
      cancel: () => {
        engine.running.delete(run)
        engine.model.cancelRun(run)
      }
    }
  }

  #getEngine (address: string): VirtualEngine {
    return this.#engines[Number(address)]!
  }

  #createEngine (incarnation: number): VirtualEngine {
    const { clock, deployment: { slots, batchLimit } } = this.#options
    const model = new EngineModel({ clock, store: this.store, incarnation: String(incarnation), slots, batchLimit, ...engineTimes })
    return { model, incarnation, running: new Map(), stepAtMs: -1, stepTokens: 0 }
  }

  /** Tokens that an engine sends at the same time belong to one step. */
  #countToken (engine: VirtualEngine): void {
    const nowMs = this.#options.clock.readMonotonic()
    if (engine.stepAtMs === nowMs) {
      engine.stepTokens++
      return
    }
    if (engine.stepAtMs >= 0) this.#options.journal.recordStep(engine.stepAtMs, engine.stepTokens)
    engine.stepAtMs = nowMs
    engine.stepTokens = 1
  }
}
