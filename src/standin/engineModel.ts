/** The stand-in engine without its HTTP: adapter slots, and batches that advance step by step. */
import type { Clock, Timer } from '../ports/clock.js'
import type { EngineReport } from '../ports/engine.js'
import { AdapterSlots, createRefusal } from './adapterSlots.js'
import type { ModelOutcome } from './adapterSlots.js'
import { EngineFaults } from './engineFaults.js'
import { Journal } from './journal.js'
import type { PrefixCache } from './prefixCache.js'
import type { WeightStore } from './weightStore.js'

export type { ModelOutcome } from './adapterSlots.js'

/** Tokens that one cached block of a prompt saves. */
const tokensPerBlock = 16

export interface EngineModelOptions {
  clock: Clock
  store: WeightStore
  /** Name of the first incarnation; each restart adds a number to it. */
  incarnation: string
  slots: number
  batchLimit: number
  /** Time of a step that every running request shares, in milliseconds. */
  stepBaseMs: number
  /** Time that each running request adds to a step, in milliseconds. */
  stepPerRequestMs: number
  /** Time to read one token of a prompt, in milliseconds. */
  prefillPerTokenMs: number
  /** After a restart the engine serves nothing for this long; 0 where left out. */
  coldStartMs?: number
  /**
   * A waiting request takes the place of a running one whose priority is greater by at least this much, when the batch is full.
   * Only the order of the queue counts where left out.
   */
  preemptionGap?: number
  faults?: EngineFaults
  prefixCache?: PrefixCache
  /** Called when the engine has lost everything. */
  receiveRestart?: () => void
}

/** One line of what the engine did, for tests to hold against what callers were told. */
export interface JournalEntry {
  kind: 'loaded' | 'unloaded' | 'refused' | 'loadFailed' | 'started' | 'finished' | 'cancelled' | 'preempted' | 'lost' | 'restarted'
  handle: string
  requestId: string
  attempt: number
  /** Tokens sent to the request so far; for an unload, the requests that the handle was serving. */
  count: number
}

export interface EngineRun {
  requestId: string
  attempt: number
  handle: string
  /** Smaller runs first. */
  priority: number
  promptTokens: number
  maxTokens: number
  /** Names of the prompt's blocks for the prefix cache. */
  prefixBlocks?: readonly string[]
  /** Its first step restarts the engine. */
  isCrashing?: boolean
  sendToken: (index: number) => void
  finish: () => void
}

interface ActiveRun {
  run: EngineRun
  prefillMs: number
  sent: number
}

interface PastReport {
  atMs: number
  report: EngineReport
}

/** Runs requests in continuous batches: each step gives one token to each running request. */
export class EngineModel {
  #options: EngineModelOptions
  #slots: AdapterSlots
  /** In the order in which they run next. */
  #waiting: ActiveRun[] = []
  #active = new Map<EngineRun, ActiveRun>()
  #step: Timer | undefined
  #journal = new Journal<JournalEntry>()
  #restarts = 0
  #servesFromMs = -Infinity
  #pastReports: PastReport[] = []
  readonly faults: EngineFaults

  constructor (options: EngineModelOptions) {
    this.#options = options
    this.faults = options.faults ?? new EngineFaults()
    this.#slots = new AdapterSlots({
      slots: options.slots,
      store: options.store,
      faults: this.faults,
      record: (kind, handle, running) => this.#journal.add({ kind, handle, requestId: '', attempt: 0, count: running })
    })
  }

  get journal (): readonly JournalEntry[] {
    return this.#journal.entries
  }

  get journalPages (): Journal<JournalEntry> {
    return this.#journal
  }

  get isStarting (): boolean {
    return this.#options.clock.readMonotonic() < this.#servesFromMs
  }

  /** Reads the newest report that is at least as old as the lag that was set. */
  readReport (): EngineReport {
    const nowMs = this.#options.clock.readMonotonic()
    const { reportLagMs } = this.faults
    const report = this.#createReport()
    if (reportLagMs === 0) {
      this.#pastReports = []
      return report
    }
    this.#pastReports.push({ atMs: nowMs, report })
    while (this.#pastReports.length > 1 && this.#pastReports[1]!.atMs <= nowMs - reportLagMs) this.#pastReports.shift()
    const shown = this.#pastReports[0]!
    return { ...shown.report, lagMs: nowMs - shown.atMs }
  }

  async loadAdapter (handle: string, fencing = 0): Promise<ModelOutcome> {
    return this.isStarting ? refuseStarting() : await this.#slots.load(handle, fencing)
  }

  unloadAdapter (handle: string, fencing = 0): ModelOutcome {
    return this.isStarting ? refuseStarting() : this.#slots.unload(handle, fencing)
  }

  /** Takes a request into the queue of the engine. */
  addRun (run: EngineRun): ModelOutcome {
    if (this.isStarting) return refuseStarting()
    const slot = this.#slots.findLoaded(run.handle)
    if (!slot) return createRefusal(404, 'handle_unknown', `handle "${run.handle}" is not loaded`)
    slot.running++
    this.#addWaiting({ run, prefillMs: this.#computePrefill(run, 0), sent: 0 })
    this.#record('started', run, 0)
    this.#scheduleStep()
    return { isDone: true }
  }

  cancelRun (run: EngineRun): void {
    const waiting = this.#waiting.find(other => other.run === run)
    const active = this.#active.get(run) ?? waiting
    if (!active) return
    this.#waiting = this.#waiting.filter(other => other !== active)
    this.#active.delete(run)
    this.#leaveSlot(run)
    this.#record('cancelled', run, active.sent)
  }

  /** Loses every adapter and request, and starts again as a new incarnation. */
  restart (): void {
    for (const { run, sent } of [...this.#active.values(), ...this.#waiting]) this.#record('lost', run, sent)
    this.#active.clear()
    this.#waiting = []
    this.#step?.cancel()
    this.#step = undefined
    this.#slots.clear()
    this.#pastReports = []
    this.#options.prefixCache?.clear()
    this.#restarts++
    this.#servesFromMs = this.#options.clock.readMonotonic() + (this.#options.coldStartMs ?? 0)
    this.#journal.add({ kind: 'restarted', handle: '', requestId: '', attempt: 0, count: this.#restarts })
    this.#options.receiveRestart?.()
  }

  #createReport (): EngineReport {
    const { incarnation, slots, batchLimit } = this.#options
    return {
      incarnation: this.#restarts === 0 ? incarnation : `${incarnation}.${this.#restarts}`,
      slots,
      batchLimit,
      running: this.#active.size,
      waiting: this.#waiting.length,
      adapters: this.#slots.describe(),
      lagMs: 0
    }
  }

  /** Time to read the prompt, and again what was written before a pre-emption; cached blocks cost nothing. */
  #computePrefill (run: EngineRun, sent: number): number {
    const cached = this.#options.prefixCache?.useBlocks(run.prefixBlocks ?? []) ?? 0
    const tokens = Math.max(0, run.promptTokens - cached * tokensPerBlock) + sent
    return tokens * this.#options.prefillPerTokenMs
  }

  #leaveSlot (run: EngineRun): void {
    const slot = this.#slots.findLoaded(run.handle)
    if (slot) slot.running--
  }

  /** Puts a request behind all of the same priority. */
  #addWaiting (waiting: ActiveRun): void {
    const index = this.#waiting.findIndex(other => other.run.priority > waiting.run.priority)
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, waiting)
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
    while (this.#waiting.length > 0) {
      if (this.#active.size >= this.#options.batchLimit && !this.#preemptFor(this.#waiting[0]!)) return
      const next = this.#waiting.shift()!
      this.#active.set(next.run, next)
    }
  }

  /** Puts the running request with the greatest priority number back into the queue; false where none is far enough behind. */
  #preemptFor (waiting: ActiveRun): boolean {
    const gap = this.#options.preemptionGap
    if (gap === undefined) return false
    const last = [...this.#active.values()].reduce((left, right) => right.run.priority >= left.run.priority ? right : left)
    if (last.run.priority - waiting.run.priority < gap) return false
    this.#active.delete(last.run)
    last.prefillMs = this.#computePrefill(last.run, last.sent)
    this.#addWaiting(last)
    this.#record('preempted', last.run, last.sent)
    return true
  }

  #endStep (): void {
    this.#step = undefined
    for (const active of [...this.#active.values()]) {
      if (active.run.isCrashing) {
        this.restart()
        return
      }
      this.#advance(active)
    }
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
    this.#record('finished', run, active.sent)
    run.finish()
  }

  #record (kind: JournalEntry['kind'], run: EngineRun, count: number): void {
    this.#journal.add({ kind, handle: run.handle, requestId: run.requestId, attempt: run.attempt, count })
  }
}

function refuseStarting (): ModelOutcome {
  return createRefusal(503, 'engine_starting', 'the engine is starting')
}
