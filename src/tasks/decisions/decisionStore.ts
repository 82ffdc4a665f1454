/** Keeps the latest decisions of this host within a bound on bytes, and finds those of one request. */
import { Packr } from 'msgpackr'
import type { Clock } from '../../ports/clock.js'
import type { Decision, DecisionDraft } from '../../schemas/decision.js'
import { DecisionGeneration } from './decisionGeneration.js'

const defaultMaxBytes = 32 * 1024 * 1024
/** Decisions of these kinds, and those without a request, are few and outlast the others. */
const eventKinds = new Set(['load', 'unload', 'suspect'])
const maxEvents = 2000
const maxRecent = 200

export interface DecisionStoreOptions {
  hostId: string
  clock: Pick<Clock, 'readWall'>
  /** Bound on the packed decisions that are kept. */
  maxBytes?: number
}

export type ReceiveDecision = (decision: Decision) => void

export interface DecisionStoreState {
  decisions: number
  /** Requests with a decision that is kept; one that spans both halves counts twice. */
  requests: number
  bytes: number
  maxBytes: number
  /** Decisions that made room for newer ones. */
  dropped: number
  watchers: number
}

export class DecisionStore {
  #options: DecisionStoreOptions
  #maxBytes: number
  #packr = new Packr({ structures: [] })
  /** Each may take half of the bytes; the older one is dropped whole when the younger is full. */
  #older: DecisionGeneration | undefined
  #younger: DecisionGeneration
  #dropped = 0
  #events: Decision[] = []
  #recent: Decision[] = []
  #watchers = new Set<ReceiveDecision>()

  constructor (options: DecisionStoreOptions) {
    this.#options = options
    this.#maxBytes = options.maxBytes ?? defaultMaxBytes
    this.#younger = this.#createGeneration()
  }

  /**
   * Puts host and time on a decision, keeps it and tells the watchers.
   *
   * @example
   * store.record({ kind: 'load', considered: [], chosen: 'engine-1', reason: 'a slot is free', waits: [] })
   */
  record (draft: DecisionDraft): void {
    const decision: Decision = { ...draft, host: this.#options.hostId, atMs: this.#options.clock.readWall() }
    this.#keep(decision)
    this.#recent.push(decision)
    if (this.#recent.length >= 2 * maxRecent) this.#recent = this.#recent.slice(-maxRecent)
    if (eventKinds.has(decision.kind) || decision.requestId === undefined) this.#keepEvent(decision)
    for (const receive of this.#watchers) receive(decision)
  }

  /** Lists what is kept of one request, oldest first. */
  findByRequest (requestId: string): Decision[] {
    const packed = [this.#older, this.#younger].flatMap(generation => generation?.findByRequest(requestId) ?? [])
    return packed.map(bytes => this.#packr.unpack(bytes) as Decision)
  }

  /** Lists decisions about the system itself that the test accepts, oldest first. */
  listEvents (isWanted: (decision: Decision) => boolean): Decision[] {
    return this.#events.filter(isWanted)
  }

  /** Lists the latest decisions, oldest first. */
  listRecent (limit: number): Decision[] {
    return this.#recent.slice(-Math.min(limit, maxRecent))
  }

  /** Calls the function for each decision from now on; the result ends that. */
  addWatcher (receive: ReceiveDecision): () => void {
    this.#watchers.add(receive)
    return () => this.#watchers.delete(receive)
  }

  describeState (): DecisionStoreState {
    const generations = [this.#younger, ...(this.#older ? [this.#older] : [])]
    const sum = (read: (generation: DecisionGeneration) => number): number => generations.reduce((total, generation) => total + read(generation), 0)
    return {
      decisions: sum(generation => generation.count),
      requests: sum(generation => generation.requests),
      bytes: sum(generation => generation.usedBytes),
      maxBytes: this.#maxBytes,
      dropped: this.#dropped,
      watchers: this.#watchers.size
    }
  }

  #createGeneration (): DecisionGeneration {
    return new DecisionGeneration(Math.floor(this.#maxBytes / 2))
  }

  #keep (decision: Decision): void {
    const bytes = this.#packr.pack(decision)
    if (this.#younger.add(bytes, decision.requestId)) return
    this.#dropped += this.#older?.count ?? 0
    this.#older = this.#younger
    this.#younger = this.#createGeneration()
    if (!this.#younger.add(bytes, decision.requestId)) this.#dropped++
  }

  #keepEvent (decision: Decision): void {
    this.#events.push(decision)
    if (this.#events.length >= 2 * maxEvents) this.#events = this.#events.slice(-maxEvents)
  }
}
