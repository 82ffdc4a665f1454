/** Keeps the latest decisions of this host in a limited number of bytes and finds those of a request. */
import { Packr } from 'msgpackr'
import type { Clock } from '../../ports/clock.js'
import type { Decision, DecisionDraft } from '../../schemas/decision.js'
import { DecisionGeneration } from './decisionGeneration.js'

const defaultMaxBytes = 32 * 1024 * 1024
/**
 * Decisions of these kinds, and all without a request, are events of the system. There are few of them, so they are also kept
 * in a list of their own, where they stay longer than other decisions.
 */
const eventKinds = new Set(['load', 'unload', 'suspect'])
const maxEvents = 2000
const maxRecent = 200

export interface DecisionStoreOptions {
  hostId: string
  clock: Pick<Clock, 'readWall'>
  /** Limit on the size of the packed decisions; 32 MiB by default. */
  maxBytes?: number
}

export type ReceiveDecision = (decision: Decision) => void

export interface DecisionStoreState {
  decisions: number
  /** Requests with at least one stored decision; a request with decisions in both generations counts twice. */
  requests: number
  bytes: number
  maxBytes: number
  /** Decisions discarded to make room for newer ones, and those too large to store. */
  dropped: number
  watchers: number
}

export class DecisionStore {
  #options: DecisionStoreOptions
  #maxBytes: number
  #packr = new Packr({ structures: [] })
  /** Each generation may use half of the bytes. When the current one is full, the previous one is discarded as a whole. */
  #previous: DecisionGeneration | undefined
  #current: DecisionGeneration
  #dropped = 0
  #events: Decision[] = []
  #recent: Decision[] = []
  #watchers = new Set<ReceiveDecision>()

  constructor (options: DecisionStoreOptions) {
    this.#options = options
    this.#maxBytes = options.maxBytes ?? defaultMaxBytes
    this.#current = this.#createGeneration()
  }

  /**
   * Adds the host and the time to a decision, stores it and passes it to the watchers.
   *
   * @example
   * store.record({ kind: 'load', considered: [], chosen: 'engine-1', reason: 'a slot is free', waits: [] })
   */
  record (draft: DecisionDraft): void {
    const decision: Decision = { ...draft, host: this.#options.hostId, atMs: this.#options.clock.readWall() }
    this.#store(decision)
    this.#recent.push(decision)
    if (this.#recent.length >= 2 * maxRecent) this.#recent = this.#recent.slice(-maxRecent)
    if (eventKinds.has(decision.kind) || decision.requestId === undefined) this.#storeEvent(decision)
    for (const receive of this.#watchers) receive(decision)
  }

  /** Returns the stored decisions of a request, oldest first. */
  findByRequest (requestId: string): Decision[] {
    const packed = [this.#previous, this.#current].flatMap(generation => generation?.findByRequest(requestId) ?? [])
    return packed.map(bytes => this.#packr.unpack(bytes) as Decision)
  }

  /** Returns the system events that match the predicate, oldest first. */
  listEvents (isWanted: (decision: Decision) => boolean): Decision[] {
    return this.#events.filter(isWanted)
  }

  /** Returns the latest decisions, oldest first: up to `limit`, but no more than `maxRecent`. */
  listRecent (limit: number): Decision[] {
    return this.#recent.slice(-Math.min(limit, maxRecent))
  }

  /** Calls the function for each new decision, until the returned function is called. */
  addWatcher (receive: ReceiveDecision): () => void {
    this.#watchers.add(receive)
    return () => this.#watchers.delete(receive)
  }

  describeState (): DecisionStoreState {
    const generations = [this.#current, ...(this.#previous ? [this.#previous] : [])]
    const sum = (getValue: (generation: DecisionGeneration) => number): number => generations.reduce((total, generation) => total + getValue(generation), 0)
    return {
      decisions: sum(generation => generation.count),
      requests: sum(generation => generation.requestCount),
      bytes: sum(generation => generation.usedBytes),
      maxBytes: this.#maxBytes,
      dropped: this.#dropped,
      watchers: this.#watchers.size
    }
  }

  #createGeneration (): DecisionGeneration {
    return new DecisionGeneration(Math.floor(this.#maxBytes / 2))
  }

  #store (decision: Decision): void {
    const bytes = this.#packr.pack(decision)
    if (this.#current.add(bytes, decision.requestId)) return
    this.#dropped += this.#previous?.count ?? 0
    this.#previous = this.#current
    this.#current = this.#createGeneration()
    if (!this.#current.add(bytes, decision.requestId)) this.#dropped++
  }

  #storeEvent (decision: Decision): void {
    this.#events.push(decision)
    if (this.#events.length >= 2 * maxEvents) this.#events = this.#events.slice(-maxEvents)
  }
}
