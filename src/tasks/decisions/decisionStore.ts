/** Keeps the latest decisions of this host within a bound on bytes, and finds those of one request. */
import { Packr } from 'msgpackr'
import type { Clock } from '../../ports/clock.js'
import type { Decision, DecisionDraft } from '../../schemas/decision.js'

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
  requests: number
  bytes: number
  maxBytes: number
  /** Decisions that made room for newer ones. */
  dropped: number
  watchers: number
}

interface Entry {
  requestId: string | undefined
  bytes: Uint8Array
}

export class DecisionStore {
  #options: DecisionStoreOptions
  #maxBytes: number
  #packr = new Packr({ structures: [] })
  #entries = new Map<number, Entry>()
  #sequencesByRequest = new Map<string, number[]>()
  #first = 0
  #next = 0
  #bytes = 0
  #events: Decision[] = []
  #recent: Decision[] = []
  #watchers = new Set<ReceiveDecision>()

  constructor (options: DecisionStoreOptions) {
    this.#options = options
    this.#maxBytes = options.maxBytes ?? defaultMaxBytes
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
    const sequences = this.#sequencesByRequest.get(requestId) ?? []
    return sequences.map(sequence => this.#packr.unpack(this.#entries.get(sequence)!.bytes) as Decision)
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
    return {
      decisions: this.#entries.size,
      requests: this.#sequencesByRequest.size,
      bytes: this.#bytes,
      maxBytes: this.#maxBytes,
      dropped: this.#first,
      watchers: this.#watchers.size
    }
  }

  #keep (decision: Decision): void {
    const bytes = this.#packr.pack(decision)
    const sequence = this.#next++
    this.#entries.set(sequence, { requestId: decision.requestId, bytes })
    this.#bytes += bytes.length
    if (decision.requestId !== undefined) this.#addToIndex(decision.requestId, sequence)
    while (this.#bytes > this.#maxBytes) this.#forgetFirst()
  }

  #addToIndex (requestId: string, sequence: number): void {
    const known = this.#sequencesByRequest.get(requestId)
    if (known) known.push(sequence)
    else this.#sequencesByRequest.set(requestId, [sequence])
  }

  #forgetFirst (): void {
    const entry = this.#entries.get(this.#first)!
    this.#entries.delete(this.#first)
    this.#first++
    this.#bytes -= entry.bytes.length
    if (entry.requestId === undefined) return
    const sequences = this.#sequencesByRequest.get(entry.requestId)!
    sequences.shift()
    if (sequences.length === 0) this.#sequencesByRequest.delete(entry.requestId)
  }

  #keepEvent (decision: Decision): void {
    this.#events.push(decision)
    if (this.#events.length >= 2 * maxEvents) this.#events = this.#events.slice(-maxEvents)
  }
}
