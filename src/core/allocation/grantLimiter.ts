/** Spaces the requests and orders that an endpoint gets while it is limited. */
import { RateBucket } from '../rateBucket.js'
import { compareLimitTurns, computeLimitTurn } from './allocationOrder.js'
import type { LimitTurn } from './allocationOrder.js'
import type { AllocationRequest } from './allocationRequest.js'

/** A request that was accepted may be granted this much later than was expected then. */
const graceMs = 100

export class GrantLimiter {
  #findRate: (nowMs: number) => number | undefined
  #bucket: RateBucket | undefined
  #grantedAtMs = -Infinity

  /** `findRate` returns the requests a second that the endpoint may get; undefined if it is not limited. */
  constructor (findRate: (nowMs: number) => number | undefined) {
    this.#findRate = findRate
  }

  isLimited (nowMs: number): boolean {
    return this.#update(nowMs) !== undefined
  }

  /** Consumes the token for one request; returns false if the endpoint may not get one now. */
  tryGrant (nowMs: number): boolean {
    const bucket = this.#update(nowMs)
    const isGranted = bucket?.tryTake(nowMs) ?? true
    if (isGranted) this.#grantedAtMs = nowMs
    return isGranted
  }

  /** Counts an order to the endpoint, which delays later requests. */
  recordOrder (nowMs: number): void {
    this.#update(nowMs)?.takeInAdvance(nowMs)
  }

  /** Computes the turn of a request that comes now. */
  computeTurn (request: Pick<AllocationRequest, 'dueAtMs' | 'abandonAtMs'>, prefillMs: number, nowMs: number): LimitTurn {
    return computeLimitTurn(request, prefillMs, this.getIntervalMs(nowMs), nowMs)
  }

  /** Milliseconds until a request may be granted, after `orders` orders and the more urgent ones of those that wait. */
  estimateWaitMs (turn: LimitTurn, waiting: Iterable<{ turn: LimitTurn }>, orders: number, nowMs: number): number {
    const bucket = this.#update(nowMs)
    if (!bucket) return 0
    let ahead = orders
    for (const other of waiting) if (compareLimitTurns(other.turn, turn) <= 0) ahead++
    return bucket.getWaitMs(ahead + 1, nowMs)
  }

  /** Finds requests whose turn comes too late, with their waits, and the wait of the first one that remains; `waiting` is in order. */
  findOverdue<Waiting extends { turn: LimitTurn }> (waiting: readonly Waiting[], nowMs: number): { overdue: { entry: Waiting, waitMs: number }[], firstWaitMs: number | undefined } {
    const bucket = this.#update(nowMs)
    const overdue: { entry: Waiting, waitMs: number }[] = []
    let remaining = 0
    for (const entry of waiting) {
      const waitMs = bucket?.getWaitMs(remaining + 1, nowMs) ?? 0
      if (bucket && nowMs + waitMs > entry.turn.deadlineMs + graceMs) overdue.push({ entry, waitMs })
      else remaining++
    }
    return { overdue, firstWaitMs: bucket && remaining > 0 ? bucket.getWaitMs(1, nowMs) : undefined }
  }

  /** Milliseconds between two requests; 0 if the endpoint is not limited. */
  getIntervalMs (nowMs: number): number {
    const rate = this.#findRate(nowMs)
    return rate === undefined ? 0 : 1000 / rate
  }

  /** Milliseconds since a request was last granted. */
  getIdleMs (nowMs: number): number {
    return nowMs - this.#grantedAtMs
  }

  #update (nowMs: number): RateBucket | undefined {
    const rate = this.#findRate(nowMs)
    if (rate === undefined) this.#bucket = undefined
    else if (this.#bucket) this.#bucket.setRate(rate, nowMs)
    else this.#bucket = new RateBucket(rate, nowMs)
    return this.#bucket
  }
}
