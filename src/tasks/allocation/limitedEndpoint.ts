/** Grants requests to a limited endpoint for all hosts, where no owner of the endpoint does so. */
import { compareLimitTurns } from '../../core/allocation/allocationOrder.js'
import type { LimitTurn } from '../../core/allocation/allocationOrder.js'
import { GrantLimiter } from '../../core/allocation/grantLimiter.js'
import { RetrySchedule } from '../../core/allocation/retrySchedule.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { ReservationReply, ReservationRequest } from '../../schemas/datagram.js'
import { RecentReplies } from './recentReplies.js'
import type { SendReservationReply } from './reservationEntry.js'

export interface LimitedEndpointOptions {
  clock: Clock
  /** Returns the requests a second that this host may grant; undefined if the endpoint is not limited. */
  findRate: () => number | undefined
}

interface WaitingRequest {
  key: string
  request: ReservationRequest
  sendReply: SendReservationReply
  receivedAtMs: number
  turn: LimitTurn
}

/** A grant tells the load of the engine; hosts that grant in place of an owner do not know it. */
const noLoad = Object.freeze({ use: 0, backlogMs: 0, batchPart: 0 })

export class LimitedEndpoint {
  #options: LimitedEndpointOptions
  #limiter: GrantLimiter
  #retries = new RetrySchedule()
  #waiting = new Map<string, WaitingRequest>()
  #replies = new RecentReplies()
  #timer: Timer | undefined

  constructor (options: LimitedEndpointOptions) {
    this.#options = options
    this.#limiter = new GrantLimiter(options.findRate)
  }

  receiveRequest (key: string, request: ReservationRequest, sendReply: SendReservationReply): void {
    const known = this.#replies.find(key)
    if (known) {
      sendReply(known)
      return
    }
    const nowMs = this.#options.clock.readMonotonic()
    const turn = this.#limiter.computeTurn({ dueAtMs: nowMs + request.dueInMs, abandonAtMs: nowMs + request.uselessInMs }, 0, nowMs)
    const waitMs = this.#limiter.estimateWaitMs(turn, this.#waiting.values(), 0, nowMs)
    const waiting: WaitingRequest = { key, request, sendReply, receivedAtMs: nowMs, turn }
    if (request.mayDecline ? waitMs > 0 : nowMs + waitMs > turn.deadlineMs) {
      this.#refuse(waiting, waitMs, nowMs)
      return
    }
    this.#waiting.set(key, waiting)
    this.plan()
    if (this.#waiting.has(key)) this.#reply(waiting, { type: 'queued', id: request.id, expectedMs: waitMs })
  }

  receiveRelease (key: string): void {
    this.#waiting.delete(key)
    this.#replies.remove(key)
  }

  /** Grants and refuses waiting requests. Called also when the limit has changed. */
  plan (): void {
    const nowMs = this.#options.clock.readMonotonic()
    this.#timer?.cancel()
    for (const waiting of this.#listWaiting()) {
      if (!this.#limiter.tryGrant(nowMs)) break
      this.#grant(waiting, nowMs)
    }
    const { overdue, firstWaitMs } = this.#limiter.findOverdue(this.#listWaiting(), nowMs)
    for (const { entry, waitMs } of overdue) this.#refuse(entry, waitMs, nowMs)
    if (firstWaitMs !== undefined) this.#timer = this.#options.clock.setTimer(() => this.plan(), Math.max(1, firstWaitMs))
  }

  stop (): void {
    this.#timer?.cancel()
  }

  /** Waiting requests in the order of their turns. */
  #listWaiting (): WaitingRequest[] {
    return [...this.#waiting.values()].sort((left, right) => compareLimitTurns(left.turn, right.turn))
  }

  #grant (waiting: WaitingRequest, nowMs: number): void {
    this.#waiting.delete(waiting.key)
    this.#reply(waiting, { type: 'grant', id: waiting.request.id, load: noLoad, waitedMs: nowMs - waiting.receivedAtMs, version: waiting.request.version })
  }

  #refuse (waiting: WaitingRequest, waitMs: number, nowMs: number): void {
    const { id, endpointId, mayDecline } = waiting.request
    this.#waiting.delete(waiting.key)
    const intervalMs = this.#limiter.getIntervalMs(nowMs)
    this.#reply(waiting, {
      type: 'refusal',
      id,
      code: 'limited',
      message: `endpoint "${endpointId}" takes few requests, and the turn of this one would come in ${Math.round(waitMs)} ms`,
      retryAfterMs: mayDecline ? waitMs : this.#retries.schedule(waitMs, nowMs, intervalMs),
      expectedMs: waitMs
    })
  }

  #reply (waiting: WaitingRequest, reply: ReservationReply): void {
    this.#replies.add(waiting.key, reply)
    waiting.sendReply(reply)
  }
}
