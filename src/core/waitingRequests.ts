/** The requests that wait for one endpoint, in a queue for each adapter, ordered by the latest time to start. */
import { BinaryHeap } from './binaryHeap.js'
import { formatAdapter } from './formatAdapter.js'
import type { QueuedRequest } from './planner.js'

/** What is known of a request when it is queued. */
export type Arrival = Pick<WaitingRequest, 'request' | 'isUrgent' | 'latestStartMs' | 'giveUpAtMs' | 'orderMs'>

export interface WaitingRequest {
  request: QueuedRequest
  group: AdapterQueue
  isUrgent: boolean
  /** Order among requests of the same urgency: the latest start, put back for callers beyond their fair share. */
  orderMs: number
  /** Latest time to start, in milliseconds. */
  latestStartMs: number
  addedAtMs: number
  /** After this time the request is given up; Infinity for work that may be late rather than lost. */
  giveUpAtMs: number
  isRemoved: boolean
}

/**
 * How a queue without its adapter waits for a load. `held`: gathers requests; `ripe`: may be loaded when nothing urgent
 * needs the slot; `urgent`: needs the load by a time.
 */
export interface LoadNeed {
  group: AdapterQueue
  stage: 'held' | 'ripe' | 'urgent'
  neededAtMs: number
  /** When the stage may change by itself, in milliseconds. */
  changeAtMs: number
}

/** Requests for one adapter and version. */
export class AdapterQueue {
  readonly urgent = createQueue()
  readonly deferrable = createQueue()
  /** Deferrable requests whose target can no longer be met; they run when nothing else can use the place. */
  readonly late = createQueue()
  urgentCount = 0
  deferrableCount = 0
  /** Where the queue stands among those that wait for a load. */
  need: LoadNeed | undefined

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

  /** Sets aside what can no longer meet its target, so that it makes nothing else late. */
  updateLate (isLate: (waiting: WaitingRequest) => boolean): void {
    for (let first = findFirst(this.deferrable); first && isLate(first); first = findFirst(this.deferrable)) {
      this.deferrable.removeFirst()
      this.late.add(first)
    }
  }
}

interface CallerQueue {
  queued: number
}

/** How a caller's own queue puts its next request back, so that others of the class are served between. */
export type ComputeFairDelayMs = (queuedOfCaller: number, activeCallers: number, serviceIntervalMs: number) => number

/**
 * Spaces a caller's requests as if each of the active callers had an equal part of the endpoint (virtual clock).
 *
 * @example
 * computeFairDelayMs(10, 2, 100) // 2000
 */
export const computeFairDelayMs: ComputeFairDelayMs = (queuedOfCaller, activeCallers, serviceIntervalMs) =>
  queuedOfCaller * activeCallers * serviceIntervalMs

export class WaitingRequests {
  #computeFairDelayMs: ComputeFairDelayMs
  #groups = new Map<string, AdapterQueue>()
  #requests = new Map<string, WaitingRequest>()
  #callers = new Map<string, Map<string, CallerQueue>>()
  #deadlines = new BinaryHeap<WaitingRequest>((left, right) => left.giveUpAtMs < right.giveUpAtMs)
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

  findGroup (name: string): AdapterQueue | undefined {
    return this.#groups.get(name)
  }

  listGroups (): IterableIterator<AdapterQueue> {
    return this.#groups.values()
  }

  countCallerQueued (request: QueuedRequest): number {
    return this.#callers.get(request.className)?.get(request.callerName)?.queued ?? 0
  }

  /** Callers of a class that have requests queued. */
  countActiveCallers (className: string): number {
    return this.#callers.get(className)?.size ?? 0
  }

  /** Queues a request; a caller's own queue puts it back by its fair share. */
  add (arrival: Arrival, serviceIntervalMs: number, nowMs: number): WaitingRequest {
    const { request, isUrgent, latestStartMs, giveUpAtMs, orderMs } = arrival
    const callers = this.#getCallers(request.className)
    const caller = callers.get(request.callerName) ?? { queued: 0 }
    callers.set(request.callerName, caller)
    const waiting: WaitingRequest = {
      request,
      group: this.#getGroup(request),
      isUrgent,
      orderMs: orderMs + this.#computeFairDelayMs(caller.queued, callers.size, serviceIntervalMs),
      latestStartMs,
      addedAtMs: nowMs,
      giveUpAtMs,
      isRemoved: false
    }
    caller.queued++
    this.#requests.set(formatKey(request.requestId, request.attempt), waiting)
    this.#count(waiting, 1)
    if (isUrgent) waiting.group.urgent.add(waiting)
    else waiting.group.deferrable.add(waiting)
    if (Number.isFinite(giveUpAtMs)) this.#deadlines.add(waiting)
    return waiting
  }

  find (requestId: string, attempt: number): WaitingRequest | undefined {
    return this.#requests.get(formatKey(requestId, attempt))
  }

  /** Takes a request out of every queue; its heap entry goes when it comes up. */
  remove (waiting: WaitingRequest): void {
    if (waiting.isRemoved) return
    waiting.isRemoved = true
    const { request, group } = waiting
    this.#requests.delete(formatKey(request.requestId, request.attempt))
    this.#count(waiting, -1)
    const callers = this.#callers.get(request.className)
    const caller = callers?.get(request.callerName)
    if (caller && --caller.queued === 0) callers?.delete(request.callerName)
    if (group.urgentCount + group.deferrableCount === 0) this.#groups.delete(group.name)
  }

  /** Takes the next request whose time to give up has come. */
  takeExpired (nowMs: number): WaitingRequest | undefined {
    const first = findFirst(this.#deadlines)
    if (!first || first.giveUpAtMs > nowMs) return undefined
    this.remove(first)
    return first
  }

  findNextExpiryMs (): number | undefined {
    return findFirst(this.#deadlines)?.giveUpAtMs
  }

  #count (waiting: WaitingRequest, change: number): void {
    if (waiting.isUrgent) {
      waiting.group.urgentCount += change
      this.#urgentCount += change
    } else {
      waiting.group.deferrableCount += change
    }
  }

  #getCallers (className: string): Map<string, CallerQueue> {
    let callers = this.#callers.get(className)
    if (!callers) this.#callers.set(className, callers = new Map())
    return callers
  }

  #getGroup (request: QueuedRequest): AdapterQueue {
    const name = formatAdapter(request.adapter, request.version)
    let group = this.#groups.get(name)
    if (!group) this.#groups.set(name, group = new AdapterQueue(name, request.adapter, request.version))
    return group
  }
}

function createQueue (): BinaryHeap<WaitingRequest> {
  return new BinaryHeap((left, right) => left.orderMs < right.orderMs)
}

function findFirst (heap: BinaryHeap<WaitingRequest>): WaitingRequest | undefined {
  while (heap.first?.isRemoved) heap.removeFirst()
  return heap.first
}

/** Names one attempt of a request. */
export function formatKey (requestId: string, attempt: number): string {
  return `${requestId}/${attempt}`
}
