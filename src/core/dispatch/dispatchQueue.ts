/** Decides which requests an endpoint of a plain service gets, and when: grants, queues, declines or refuses them. */
import { compareDispatchTurns, computeDispatchTurn } from './dispatchOrder.js'
import type { DispatchTimesLeft, DispatchTurn } from './dispatchOrder.js'
import { DispatchTimes } from './dispatchTimes.js'
import type { AccountShares } from '../accountShares.js'
import { RetrySchedule } from '../allocation/retrySchedule.js'

/** Tells whether accounts had more of an endpoint than their fair share; see `core/accountShares.ts`. */
export type DispatchShares = Pick<AccountShares, 'record' | 'recordDemand' | 'isOverShare'>

export interface DispatchQueueOptions {
  /** Returns how many requests this host may have at the endpoint at once, without the excess; 0 if another host grants them. */
  findPlaces: () => number
  /** Undefined if there are no accounts. */
  shares?: DispatchShares | undefined
}

export interface DispatchRequest extends DispatchTimesLeft {
  readonly key: string
  readonly account: string | undefined
  /** Time until the caller leaves in any case; the place is free then at the latest. */
  readonly leavesInMs: number
  /** Whether the request may be declined because another endpoint may answer it earlier. */
  readonly mayDecline: boolean
  /** When the best of the endpoints that declined it would answer it; undefined if none was asked. */
  readonly elsewhereMs: number | undefined
}

/** `answerMs`: time until the request is answered, or would be if it waited. */
export type DispatchDecision =
  | { readonly kind: 'grant', readonly key: string, readonly waitedMs: number, readonly answerMs: number }
  | { readonly kind: 'queue', readonly key: string, readonly waitMs: number }
  | { readonly kind: 'decline', readonly key: string, readonly answerMs: number, readonly retryAfterMs: number }
  | { readonly kind: 'refuse', readonly key: string, readonly answerMs: number, readonly retryAfterMs: number }

/** What the holder of a grant reports as it ends. */
export interface DispatchRelease {
  /** Undefined if the endpoint did not answer the request. */
  readonly tookMs: number | undefined
  readonly slowness: number | undefined
  /** Requests that ran and waited at the endpoint as the response began; undefined if it did not report them. */
  readonly busy: number | undefined
}

interface Waiting {
  request: DispatchRequest
  turn: DispatchTurn
  receivedAtMs: number
}

interface Running {
  grantedAtMs: number
  /** The holder is gone if it has not released the place by then. */
  expiresAtMs: number
}

/** A request is declined if it would be answered this part of its remaining time later than at an idle endpoint of the usual speed. */
const declineRatio = 0.25
/** A request that was queued is refused once it would be granted this much after its deadline, as estimates vary. */
const graceMs = 15
/** Beyond the places, at most this part of them is granted to cover the time of the messages. */
const maxExcessRatio = 0.5
/** That excess, as a multiple of what usually ends during the time of the messages. */
const excessRatio = 1.5
/** A host that begins to grant gives this part of the places, as others may run what it does not know of. */
const cautiousRatio = 0.5
const cautiousMs = 150
/** A queue that got no requests for this long begins again, as another host may have granted meanwhile. */
const idleMs = 1000
/** Requests of others count for this long after a response has shown them. */
const foreignTtlMs = 300
/** The endpoint counts the request that it answers, or not. */
const foreignTolerance = 1
/** A holder that has not released its place this long after its caller's deadline is gone; a release is sent again after 150 ms. */
const lostHolderGraceMs = 300

/** Retries of refused callers: one in 5 ms is close to the published rate of 210 requests per second. */
const retryPacing = Object.freeze({ minRetryAfterMs: 50, intervalMs: 5, maxSpreadMs: 300 })

/**
 * Decides on the requests to one endpoint. Each call returns the decisions that follow from it, also on other requests.
 *
 * @example
 * const queue = new DispatchQueue({ findPlaces: () => 6 })
 * queue.receiveRequest(request, clock.readMonotonic()) // [{ kind: 'grant', key: 's1.7', ... }]
 */
export class DispatchQueue {
  readonly times = new DispatchTimes()
  #options: DispatchQueueOptions
  #running = new Map<string, Running>()
  /** In the order of their turns. */
  #waiting: Waiting[] = []
  #retries = new RetrySchedule(retryPacing)
  #beganAtMs = -Infinity
  #lastRequestAtMs = -Infinity
  #foreign = 0
  #foreignAtMs = -Infinity

  constructor (options: DispatchQueueOptions) {
    this.#options = options
  }

  get runningCount (): number {
    return this.#running.size
  }

  get waitingCount (): number {
    return this.#waiting.length
  }

  /** Decides on a request; the decisions may also concern others that wait. */
  receiveRequest (request: DispatchRequest, nowMs: number): DispatchDecision[] {
    if (nowMs - this.#lastRequestAtMs > idleMs) this.#beganAtMs = nowMs
    this.#lastRequestAtMs = nowMs
    const decisions = this.plan(nowMs)
    const { shares } = this.#options
    const isOverShare = shares !== undefined && shares.isOverShare(request.account, nowMs)
    const workMs = this.#getAnswerMs(nowMs)
    const turn = computeDispatchTurn(request, this.times.getLongWorkMs(nowMs) + this.times.overheadMs / 2, isOverShare, nowMs)
    const position = this.#waiting.findIndex(waiting => compareDispatchTurns(turn, waiting.turn) < 0)
    const ahead = position < 0 ? this.#waiting.length : position
    const waitMs = this.#estimateWaitMs(ahead, nowMs)
    const answerMs = waitMs + workMs
    const isTooLate = nowMs + waitMs > turn.deadlineMs
    if (!isTooLate && request.mayDecline && this.#isBetterElsewhere(request, answerMs)) return [...decisions, { kind: 'decline', key: request.key, answerMs, retryAfterMs: waitMs }]
    shares?.recordDemand(request.account, workMs, nowMs)
    if (isTooLate) return [...decisions, { kind: 'refuse', key: request.key, answerMs, retryAfterMs: this.#computeRetryAfterMs(nowMs) }]
    this.#waiting.splice(ahead, 0, { request, turn, receivedAtMs: nowMs })
    decisions.push(...this.plan(nowMs))
    return this.#waiting.some(waiting => waiting.request === request) ? [...decisions, { kind: 'queue', key: request.key, waitMs }] : decisions
  }

  /** Frees the place of a request, or removes it if it waits. */
  receiveRelease (key: string, release: DispatchRelease, nowMs: number): DispatchDecision[] {
    const running = this.#running.get(key)
    const { tookMs, slowness, busy } = release
    if (busy !== undefined) this.#recordBusy(busy, nowMs)
    this.#running.delete(key)
    if (running && tookMs !== undefined && slowness !== undefined) this.times.record({ tookMs, heldMs: nowMs - running.grantedAtMs, slowness }, nowMs)
    if (!running) this.#waiting = this.#waiting.filter(({ request }) => request.key !== key)
    return this.plan(nowMs)
  }

  /** Removes all requests that wait, as the endpoint takes no more. */
  close (nowMs: number): DispatchDecision[] {
    const answerMs = -1
    return this.#waiting.splice(0).map(({ request }) => ({ kind: 'refuse', key: request.key, answerMs, retryAfterMs: this.#computeRetryAfterMs(nowMs) }))
  }

  /** Grants what there is room for and refuses what can no longer be on time. */
  plan (nowMs: number): DispatchDecision[] {
    const decisions: DispatchDecision[] = []
    for (const [key, { expiresAtMs }] of this.#running) if (expiresAtMs <= nowMs) this.#running.delete(key)
    while (this.#waiting.length > 0 && this.#running.size < this.#computeLimit(nowMs)) this.#grant(this.#waiting.shift()!, decisions, nowMs)
    const remaining: Waiting[] = []
    for (const waiting of this.#waiting) {
      const waitMs = this.#estimateWaitMs(remaining.length, nowMs)
      if (nowMs + waitMs <= waiting.turn.deadlineMs + graceMs) remaining.push(waiting)
      else decisions.push({ kind: 'refuse', key: waiting.request.key, answerMs: waitMs + this.#getAnswerMs(nowMs), retryAfterMs: this.#computeRetryAfterMs(nowMs) })
    }
    this.#waiting = remaining
    return decisions
  }

  /** When `plan` is due if nothing else happens before; undefined if nothing waits. */
  getNextPlanAtMs (nowMs: number): number | undefined {
    if (this.#waiting.length === 0) return undefined
    const deadlines = this.#waiting.map(({ turn }) => turn.deadlineMs + graceMs)
    const expiries = [...this.#running.values()].map(({ expiresAtMs }) => expiresAtMs)
    const cautiousUntilMs = this.#beganAtMs + cautiousMs
    return Math.min(...deadlines, ...expiries, cautiousUntilMs > nowMs ? cautiousUntilMs : Infinity)
  }

  #grant ({ request, receivedAtMs }: Waiting, decisions: DispatchDecision[], nowMs: number): void {
    const workMs = this.times.getWorkMs(nowMs)
    this.#running.set(request.key, { grantedAtMs: nowMs, expiresAtMs: receivedAtMs + request.leavesInMs + lostHolderGraceMs })
    this.#options.shares?.record(request.account, workMs, nowMs)
    decisions.push({ kind: 'grant', key: request.key, waitedMs: nowMs - receivedAtMs, answerMs: this.#estimateWaitMs(this.#waiting.length, nowMs) + this.#getAnswerMs(nowMs) })
  }

  /** Time from a grant to the end of its answer: half of the messages' time lies before it. */
  #getAnswerMs (nowMs: number): number {
    return this.times.getWorkMs(nowMs) + this.times.overheadMs / 2
  }

  #isBetterElsewhere ({ dueInMs, elsewhereMs }: DispatchRequest, answerMs: number): boolean {
    if (elsewhereMs !== undefined) return answerMs > elsewhereMs
    const idleMs = this.times.getWorkMs(Infinity) + this.times.overheadMs / 2
    return answerMs > idleMs + declineRatio * Math.max(0, dueInMs - idleMs)
  }

  /** Time until a place is free for a request with this many ahead of it. */
  #estimateWaitMs (ahead: number, nowMs: number): number {
    const limit = this.#computeLimit(nowMs)
    if (limit <= 0) return Infinity
    const excess = this.#running.size + ahead + 1 - limit
    return excess <= 0 ? 0 : excess * this.times.getHeldMs(nowMs) / limit
  }

  /** A request that comes after this time finds a place, unless others come before it. */
  #computeRetryAfterMs (nowMs: number): number {
    const waitMs = this.#estimateWaitMs(this.#waiting.length, nowMs)
    return this.#retries.schedule(Number.isFinite(waitMs) ? waitMs : 0, nowMs)
  }

  /** Requests that may be granted at once: the places and as many more as end while messages are in transit. */
  #computeLimit (nowMs: number): number {
    const places = this.#options.findPlaces()
    if (places <= 0) return 0
    const workMs = this.times.getWorkMs(nowMs)
    const excess = Math.min(Math.ceil(places * maxExcessRatio), Math.ceil(places * this.times.overheadMs * excessRatio / workMs))
    const foreign = nowMs - this.#foreignAtMs <= foreignTtlMs ? this.#foreign : 0
    const usual = Math.max(1, places + excess - foreign)
    return nowMs - this.#beganAtMs < cautiousMs ? Math.min(usual, Math.max(1, Math.floor(places * cautiousRatio))) : usual
  }

  /** Records how many requests the endpoint had; those that this host has not granted count as requests of others. */
  #recordBusy (busy: number, nowMs: number): void {
    const observed = Math.max(0, busy - this.#running.size - foreignTolerance)
    const known = nowMs - this.#foreignAtMs <= foreignTtlMs ? this.#foreign : 0
    this.#foreign = Math.round(known + (observed - known) / 2)
    this.#foreignAtMs = nowMs
  }
}
