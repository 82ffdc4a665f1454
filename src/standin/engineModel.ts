/** The stand-in engine without its HTTP: adapter slots, and batches that advance step by step. */
import type { Clock, Timer } from '../ports/clock.js'
import type { EngineReport } from '../ports/engine.js'
import type { WeightStore } from './weightStore.js'

export interface EngineModelOptions {
  clock: Clock
  store: WeightStore
  incarnation: string
  slots: number
  batchLimit: number
  /** Time of a step that every running request shares, in milliseconds. */
  stepBaseMs: number
  /** Time that each running request adds to a step, in milliseconds. */
  stepPerRequestMs: number
  /** Time to read one token of a prompt, in milliseconds. */
  prefillPerTokenMs: number
}

/** One line of what the engine did, for tests to hold against what callers were told. */
export interface JournalEntry {
  kind: 'loaded' | 'unloaded' | 'refused' | 'started' | 'finished' | 'cancelled'
  handle: string
  requestId: string
  attempt: number
}

export interface EngineRun {
  requestId: string
  attempt: number
  handle: string
  priority: number
  promptTokens: number
  maxTokens: number
  sendToken: (index: number) => void
  finish: () => void
}

export type ModelOutcome = { isDone: true } | { isDone: false, status: number, code: string, message: string }

interface Slot {
  state: 'loading' | 'loaded'
  running: number
}

interface ActiveRun {
  run: EngineRun
  prefillMs: number
  sent: number
}

/** Runs requests in continuous batches: each step gives one token to each running request. */
export class EngineModel {
  #options: EngineModelOptions
  #slots = new Map<string, Slot>()
  #waiting: EngineRun[] = []
  #active = new Map<EngineRun, ActiveRun>()
  #step: Timer | undefined
  readonly journal: JournalEntry[] = []

  constructor (options: EngineModelOptions) {
    this.#options = options
  }

  readReport (): EngineReport {
    return {
      incarnation: this.#options.incarnation,
      slots: this.#options.slots,
      batchLimit: this.#options.batchLimit,
      running: this.#active.size,
      waiting: this.#waiting.length,
      adapters: [...this.#slots].map(([handle, slot]) => ({ handle, state: slot.state, running: slot.running })),
      lagMs: 0
    }
  }

  async loadAdapter (handle: string): Promise<ModelOutcome> {
    if (this.#slots.has(handle)) return refuse(409, 'handle_in_use', `handle "${handle}" is in use`)
    if (this.#slots.size >= this.#options.slots) return refuse(409, 'no_free_slot', 'every adapter slot is taken')
    const slot: Slot = { state: 'loading', running: 0 }
    this.#slots.set(handle, slot)
    await this.#options.store.readWeights()
    slot.state = 'loaded'
    this.#record('loaded', handle, '', 0)
    return { isDone: true }
  }

  unloadAdapter (handle: string): ModelOutcome {
    if (!this.#slots.delete(handle)) return refuse(404, 'handle_unknown', `handle "${handle}" is not loaded`)
    this.#record('unloaded', handle, '', 0)
    return { isDone: true }
  }

  /** Takes a request into the queue of the engine. */
  addRun (run: EngineRun): ModelOutcome {
    const slot = this.#slots.get(run.handle)
    if (slot?.state !== 'loaded') return refuse(404, 'handle_unknown', `handle "${run.handle}" is not loaded`)
    slot.running++
    this.#waiting.push(run)
    this.#waiting.sort((left, right) => left.priority - right.priority)
    this.#record('started', run.handle, run.requestId, run.attempt)
    this.#scheduleStep()
    return { isDone: true }
  }

  cancelRun (run: EngineRun): void {
    const isWaiting = this.#waiting.includes(run)
    if (!isWaiting && !this.#active.has(run)) return
    this.#waiting = this.#waiting.filter(other => other !== run)
    this.#active.delete(run)
    this.#leaveSlot(run)
    this.#record('cancelled', run.handle, run.requestId, run.attempt)
  }

  #leaveSlot (run: EngineRun): void {
    const slot = this.#slots.get(run.handle)
    if (slot) slot.running--
  }

  #scheduleStep (): void {
    if (this.#step || this.#waiting.length + this.#active.size === 0) return
    this.#admitWaiting()
    const { stepBaseMs, stepPerRequestMs } = this.#options
    let stepMs = stepBaseMs + stepPerRequestMs * this.#active.size
    for (const active of this.#active.values()) {
      stepMs += active.prefillMs
      active.prefillMs = 0
    }
    this.#step = this.#options.clock.setTimer(() => this.#endStep(), stepMs)
  }

  #admitWaiting (): void {
    while (this.#waiting.length > 0 && this.#active.size < this.#options.batchLimit) {
      const run = this.#waiting.shift()!
      this.#active.set(run, { run, prefillMs: run.promptTokens * this.#options.prefillPerTokenMs, sent: 0 })
    }
  }

  #endStep (): void {
    this.#step = undefined
    for (const active of [...this.#active.values()]) this.#advance(active)
    this.#scheduleStep()
  }

  #advance (active: ActiveRun): void {
    const { run } = active
    if (!this.#active.has(run)) return
    run.sendToken(active.sent)
    active.sent++
    if (active.sent < run.maxTokens) return
    this.#active.delete(run)
    this.#leaveSlot(run)
    this.#record('finished', run.handle, run.requestId, run.attempt)
    run.finish()
  }

  #record (kind: JournalEntry['kind'], handle: string, requestId: string, attempt: number): void {
    this.journal.push({ kind, handle, requestId, attempt })
  }
}

function refuse (status: number, code: string, message: string): ModelOutcome {
  return { isDone: false, status, code, message }
}
