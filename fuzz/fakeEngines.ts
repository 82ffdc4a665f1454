/** Engines of the fuzzed system, at the engine port; each keeps a journal that the oracle reads. */
import type { VirtualClock } from '../src/adapters/clock/virtualClock.js'
import type { AdapterOrder, Engine, EngineReport, GenerateEvent, GenerationRequest, Generation, AdapterOrderOutcome } from '../src/ports/engine.js'
import { createMayHaveRunFailure, createNotRunFailure } from '../src/schemas/verdict.js'
import type { FakeHost } from './fakeHost.js'
import type { WeightStore } from './weightStore.js'

const networkDelayMs = 1
const connectDelayMs = 0.1
const tokenMs = 15
const restartMs = 1500
export const engineSlots = 3
export const engineBatchLimit = 4

interface Slot {
  state: 'loading' | 'loaded'
  running: number
}

interface Run {
  order: GenerationRequest
  send: (event: GenerateEvent) => void
  sent: number
}

export interface Crash {
  /** What was asked of which adapter. */
  content: string
  atMs: number
}

export interface StartedRun {
  /** What was asked of which adapter. */
  content: string
  requestId: string
  attempt: number
  handle: string
  atMs: number
}

/** Text of the whole answer to a request on a handle. */
export function renderAnswer (handle: string, requestId: string, tokens: number): string {
  let text = ''
  for (let index = 0; index < tokens; index++) text += renderToken(handle, requestId, index)
  return text
}

function renderToken (handle: string, requestId: string, index: number): string {
  return index === 0 ? `${handle} ${requestId}:` : ` ${index}`
}

/** One engine; `checksFencing` engines refuse orders of former owners. */
export class FakeEngine {
  readonly id: string
  readonly checksFencing: boolean
  readonly started: StartedRun[] = []
  /** Handles that were unloaded while they served a request. */
  readonly unloadedWhileServing: string[] = []
  loadFailuresLeft = 0
  isStalled = false
  /** Requests that crashed the engine. */
  readonly crashes: Crash[] = []
  #clock: VirtualClock
  #weights: WeightStore
  #slots = new Map<string, Slot>()
  #runs = new Set<Run>()
  #incarnation = 1
  #isUp = true
  #highestFencing = 0

  constructor (id: string, checksFencing: boolean, clock: VirtualClock, weights: WeightStore) {
    this.id = id
    this.#weights = weights
    this.checksFencing = checksFencing
    this.#clock = clock
  }

  get isUp (): boolean {
    return this.#isUp
  }

  readReport (): EngineReport {
    if (!this.#isUp || this.isStalled) throw new Error(`engine "${this.id}" gives no answer`)
    return {
      incarnation: String(this.#incarnation),
      slots: engineSlots,
      batchLimit: engineBatchLimit,
      running: this.#runs.size,
      waiting: 0,
      adapters: [...this.#slots].map(([handle, slot]) => ({ handle, ...slot })),
      lagMs: 0
    }
  }

  async loadAdapter (order: AdapterOrder): Promise<AdapterOrderOutcome> {
    const refusal = this.#findRefusal(order)
    if (refusal) return refusal
    if (this.#slots.has(order.handle)) return refuse('handle_in_use', `handle "${order.handle}" is in use`)
    if (this.#slots.size >= engineSlots) return refuse('no_free_slot', 'every adapter slot is taken')
    if (this.loadFailuresLeft > 0) {
      this.loadFailuresLeft--
      return refuse('load_failed', 'the weights could not be read')
    }
    const incarnation = this.#incarnation
    this.#slots.set(order.handle, { state: 'loading', running: 0 })
    await this.#weights.readWeights(this.id)
    const slot = this.#slots.get(order.handle)
    if (incarnation !== this.#incarnation || !slot) return { verdict: 'unknown', message: 'the engine went away' }
    slot.state = 'loaded'
    return { verdict: 'done' }
  }

  unloadAdapter (order: AdapterOrder): AdapterOrderOutcome {
    const refusal = this.#findRefusal(order)
    if (refusal) return refusal
    const slot = this.#slots.get(order.handle)
    if (!slot) return refuse('handle_unknown', `handle "${order.handle}" is not loaded`)
    if (slot.running > 0) this.unloadedWhileServing.push(order.handle)
    this.#slots.delete(order.handle)
    return { verdict: 'done' }
  }

  /** Takes a request; returns the function that cancels it. */
  run (order: GenerationRequest, send: (event: GenerateEvent) => void): () => void {
    const slot = this.#slots.get(order.handle)
    if (!this.#isUp) {
      send({ type: 'failed', failure: createNotRunFailure('endpoint_unreachable', 'connection refused', 503), isEndpointLost: true })
      return () => {}
    }
    if (slot?.state !== 'loaded') {
      send({ type: 'failed', failure: createNotRunFailure('handle_unknown', `handle "${order.handle}" is not loaded`, 404), isEndpointLost: false })
      return () => {}
    }
    this.started.push({ content: formatContent(order), requestId: order.requestId, attempt: order.attempt, handle: order.handle, atMs: this.#clock.readMonotonic() })
    const run: Run = { order, send, sent: 0 }
    slot.running++
    this.#runs.add(run)
    if (isCrashing(order)) this.#clock.setTimer(() => { if (this.#runs.has(run)) this.#crash(order) }, tokenMs / 2)
    else this.#scheduleToken(run)
    return () => this.#removeRun(run)
  }

  /** Loses everything and comes back empty after a time. */
  restart (): void {
    if (!this.#isUp) return
    this.#isUp = false
    const runs = [...this.#runs]
    this.#runs.clear()
    this.#slots.clear()
    this.#weights.endReads(this.id)
    this.#incarnation++
    for (const run of runs) {
      run.send({ type: 'failed', failure: createMayHaveRunFailure('endpoint_lost', 'the connection was reset', 502), isEndpointLost: true })
    }
    this.#clock.setTimer(() => { this.#isUp = true }, restartMs)
  }

  #crash (order: GenerationRequest): void {
    this.crashes.push({ content: formatContent(order), atMs: this.#clock.readMonotonic() })
    this.restart()
  }

  #findRefusal (order: AdapterOrder): AdapterOrderOutcome | undefined {
    if (!this.#isUp) return { verdict: 'unknown', message: 'connection refused' }
    if (this.checksFencing && order.fencing < this.#highestFencing) return refuse('fencing_old', `fencing number ${order.fencing} is old`)
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing)
    return undefined
  }

  #scheduleToken (run: Run): void {
    this.#clock.setTimer(() => {
      if (!this.#runs.has(run)) return
      if (this.isStalled) {
        this.#scheduleToken(run)
        return
      }
      run.send({ type: 'data', data: renderToken(run.order.handle, run.order.requestId, run.sent) })
      run.sent++
      if (run.sent < readTokens(run.order)) {
        this.#scheduleToken(run)
        return
      }
      this.#removeRun(run)
      run.send({ type: 'end' })
    }, tokenMs)
  }

  #removeRun (run: Run): void {
    if (!this.#runs.delete(run)) return
    const slot = this.#slots.get(run.order.handle)
    if (slot) slot.running--
  }
}

/** The engine port as one host uses it. */
export function createHostEngine (host: FakeHost, engines: Map<string, FakeEngine>, clock: VirtualClock): Engine {
  const delay = async (): Promise<void> => await new Promise(resolve => clock.setTimer(resolve, networkDelayMs))
  const getEngine = (address: string): FakeEngine => engines.get(address)!
  return {
    readReport: async address => await host.deliver(delay().then(() => getEngine(address).readReport()), networkDelayMs),
    loadAdapter: async (address, order) => await host.deliver(delay().then(async () => await getEngine(address).loadAdapter(order)), networkDelayMs),
    unloadAdapter: async (address, order) => await host.deliver(delay().then(() => getEngine(address).unloadAdapter(order)), networkDelayMs),
    generate: (address, order, send, mayStart) => startGeneration(host, getEngine(address), order, { send, mayStart, clock })
  }
}

interface GenerationOptions {
  send: (event: GenerateEvent) => void
  mayStart: () => boolean
  clock: VirtualClock
}

/** A request leaves in a later step than it is decided on, as with a connection that has to be opened. */
function startGeneration (host: FakeHost, engine: FakeEngine, order: GenerationRequest, { send, mayStart, clock }: GenerationOptions): Generation {
  let isCancelled = false
  let stop = (): void => {}
  const receive = (event: GenerateEvent): void => {
    clock.setTimer(() => host.run(() => { if (!isCancelled) send(event) }), networkDelayMs)
  }
  host.takeOrderPause()
  clock.setTimer(() => host.run(() => {
    if (isCancelled) return
    if (mayStart()) clock.setTimer(() => { if (!isCancelled) stop = engine.run(order, receive) }, networkDelayMs)
    else send({ type: 'failed', failure: createNotRunFailure('order_withdrawn', 'the request was withdrawn', 503), isEndpointLost: false })
  }), connectDelayMs)
  const cancel = (): void => {
    if (isCancelled) return
    isCancelled = true
    clock.setTimer(() => stop(), networkDelayMs)
  }
  host.watchDeath(cancel)
  return { cancel }
}

interface FuzzBody {
  max_tokens: number
  messages: Array<{ content: string }>
}

function readTokens (order: GenerationRequest): number {
  return (JSON.parse(order.body) as FuzzBody).max_tokens
}

/** Content that crashes every engine that runs it begins with this. */
export const crashMarker = 'crash'

function formatContent (order: GenerationRequest): string {
  return `${order.model} ${order.body}`
}

function isCrashing (order: GenerationRequest): boolean {
  return (JSON.parse(order.body) as FuzzBody).messages[0]!.content.startsWith(crashMarker)
}

function refuse (code: string, message: string): AdapterOrderOutcome {
  return { verdict: 'refused', code, message }
}
