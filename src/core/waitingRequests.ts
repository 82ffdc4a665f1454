/** The requests that wait for one endpoint, in one queue per adapter, ordered by the latest time to start. */
import { BinaryHeap } from './binaryHeap.js'
import { formatAdapterVersion } from './handleFormat.js'
import type { QueuedRequest } from './planner.js'

/** What the caller of `WaitingRequests.add` states about a request. */
export type WaitingRequestInput = Pick<WaitingRequest, 'request' | 'isUrgent' | 'latestStartMs' | 'expiresAtMs' | 'sortKeyMs'>

export interface WaitingRequest {
  request: QueuedRequest
  queue: AdapterQueue
  isUrgent: boolean
  /** Sort key among requests of the same urgency: the latest start, plus a delay for callers beyond their fair share. */
  sortKeyMs: number
  /** Latest time to start, in milliseconds. */
  latestStartMs: number
  addedAtMs: number
  /** After this time the request fails; Infinity for deferrable work, which runs even if it is late. */
  expiresAtMs: number
  isRemoved: boolean
}

/**
 * The need of a queue for a load of its adapter. Stages: `held`: delayed, to collect requests or after a failed load;
 * `ripe`: eligible for a load when no urgent load needs the slot; `urgent`: the load is needed by `neededAtMs`.
 */
export interface AdapterLoadNeed {
  queue: AdapterQueue
  stage: 'held' | 'ripe' | 'urgent'
  neededAtMs: number
  /** When the stage may change without an event, in milliseconds; Infinity if it does not. */
  stageChangeAtMs: number
}

/** The waiting requests for one version of an adapter. */
export class AdapterQueue {
  readonly urgent = createHeap()
  readonly deferrable = createHeap()
  /** Deferrable requests whose target can no longer be met; they run when no other request can use the batch slot. */
  readonly late = createHeap()
  urgentCount = 0
  deferrableCount = 0
  /** The queue's current entry among the load needs; undefined while it needs no load. */
  loadNeed: AdapterLoadNeed | undefined

  constructor (readonly name: string, readonly adapter: string, readonly version: string) {}

  get firstUrgent (): WaitingRequest | undefined {
    return findFirst(this.urgent)
  }

  /** The first deferrable request that can still meet its target. */
  get firstOnTime (): WaitingRequest | undefined {
    return findFirst(this.deferrable)
  }

  get firstDeferrable (): WaitingRequest | undefined {
    return this.firstOnTime ?? this.firstLate
  }

  get firstLate (): WaitingRequest | undefined {
    return findFirst(this.late)
  }

  /** Moves requests that can no longer meet their target to the late queue, so that they delay no request that can. */
  moveLateRequests (isLate: (waiting: WaitingRequest) => boolean): void {
    for (let first = findFirst(this.deferrable); first && isLate(first); first = findFirst(this.deferrable)) {
      this.deferrable.removeFirst()
      this.late.add(first)
    }
  }
}

interface CallerQueue {
  queued: number
}

/** Computes by how much a caller's queued requests delay its next one, so that other callers of the class are served between. */
export type ComputeFairDelayMs = (callerQueued: number, activeCallers: number, serviceIntervalMs: number) => number

/**
 * Spaces a caller's requests as if each active caller had an equal share of the endpoint (virtual clock fair queueing).
 *
 * @example
 * computeFairDelayMs(10, 2, 100) // 2000
 */
export const computeFairDelayMs: ComputeFairDelayMs = (callerQueued, activeCallers, serviceIntervalMs) =>
  callerQueued * activeCallers * serviceIntervalMs

export class WaitingRequests {
  #computeFairDelayMs: ComputeFairDelayMs
  #queues = new Map<string, AdapterQueue>()
  #requests = new Map<string, WaitingRequest>()
  #callers = new Map<string, Map<string, CallerQueue>>()
  #expiries = new BinaryHeap<WaitingRequest>((left, right) => left.expiresAtMs < right.expiresAtMs)
  #urgentCount = 0

  constructor (computeFairDelay: ComputeFairDelayMs) {
    this.#computeFairDelayMs = computeFairDelay
  }

  get size (): number {
    return this.#requests.size
  }

  get urgentCount (): number {
    return this.#urgentCount
  }

  findQueue (name: string): AdapterQueue | undefined {
    return this.#queues.get(name)
  }

  listQueues (): IterableIterator<AdapterQueue> {
    return this.#queues.values()
  }

  countCallerQueued (request: QueuedRequest): number {
    return this.#callers.get(request.className)?.get(request.callerName)?.queued ?? 0
  }

  /** Number of callers of a class that have requests queued. */
  countActiveCallers (className: string): number {
    return this.#callers.get(className)?.size ?? 0
  }

  /** Queues a request, delayed in the order by the caller's fair share. */
  add (input: WaitingRequestInput, serviceIntervalMs: number, nowMs: number): WaitingRequest {
    const { request, isUrgent, latestStartMs, expiresAtMs, sortKeyMs } = input
    const callers = this.#getCallers(request.className)
    const caller = callers.get(request.callerName) ?? { queued: 0 }
    callers.set(request.callerName, caller)
    const waiting: WaitingRequest = {
      request,
      queue: this.#getQueue(request),
      isUrgent,
      sortKeyMs: sortKeyMs + this.#computeFairDelayMs(caller.queued, callers.size, serviceIntervalMs),
      latestStartMs,
      addedAtMs: nowMs,
      expiresAtMs,
      isRemoved: false
    }
    caller.queued++
    this.#requests.set(formatAttemptKey(request.requestId, request.attempt), waiting)
    this.#updateCounts(waiting, 1)
    if (isUrgent) waiting.queue.urgent.add(waiting)
    else waiting.queue.deferrable.add(waiting)
    if (Number.isFinite(expiresAtMs)) this.#expiries.add(waiting)
    return waiting
  }

  find (requestId: string, attempt: number): WaitingRequest | undefined {
    return this.#requests.get(formatAttemptKey(requestId, attempt))
  }

  /** Removes a request from every queue; its heap entries are removed when they reach the top. */
  remove (waiting: WaitingRequest): void {
    if (waiting.isRemoved) return
    waiting.isRemoved = true
    const { request, queue } = waiting
    this.#requests.delete(formatAttemptKey(request.requestId, request.attempt))
    this.#updateCounts(waiting, -1)
    const callers = this.#callers.get(request.className)
    const caller = callers?.get(request.callerName)
    if (caller && --caller.queued === 0) callers?.delete(request.callerName)
    if (queue.urgentCount + queue.deferrableCount === 0) this.#queues.delete(queue.name)
  }

  /** Removes and returns the next request that has expired. */
  removeNextExpired (nowMs: number): WaitingRequest | undefined {
    const first = findFirst(this.#expiries)
    if (!first || first.expiresAtMs > nowMs) return undefined
    this.remove(first)
    return first
  }

  findNextExpiryMs (): number | undefined {
    return findFirst(this.#expiries)?.expiresAtMs
  }

  #updateCounts (waiting: WaitingRequest, change: number): void {
    if (waiting.isUrgent) {
      waiting.queue.urgentCount += change
      this.#urgentCount += change
    } else {
      waiting.queue.deferrableCount += change
    }
  }

  #getCallers (className: string): Map<string, CallerQueue> {
    let callers = this.#callers.get(className)
    if (!callers) this.#callers.set(className, callers = new Map())
    return callers
  }

  #getQueue (request: QueuedRequest): AdapterQueue {
    const name = formatAdapterVersion(request.adapter, request.version)
    let queue = this.#queues.get(name)
    if (!queue) this.#queues.set(name, queue = new AdapterQueue(name, request.adapter, request.version))
    return queue
  }
}

function createHeap (): BinaryHeap<WaitingRequest> {
  return new BinaryHeap((left, right) => left.sortKeyMs < right.sortKeyMs)
}

function findFirst (heap: BinaryHeap<WaitingRequest>): WaitingRequest | undefined {
  while (heap.first?.isRemoved) heap.removeFirst()
  return heap.first
}

/** Formats the key of one attempt of a request. */
export function formatAttemptKey (requestId: string, attempt: number): string {
  return `${requestId}/${attempt}`
}
