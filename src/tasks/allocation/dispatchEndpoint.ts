/** Grants requests to an endpoint of a plain service for all hosts: replies to them as the queue of the endpoint decides. */
import { DispatchQueue } from '../../core/dispatch/dispatchQueue.js'
import type { DispatchDecision, DispatchShares } from '../../core/dispatch/dispatchQueue.js'
import { RecentKeys } from '../../core/recentKeys.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { ReservationRelease, ReservationReply, ReservationRequest } from '../../schemas/datagram.js'
import { RecentReplies } from './recentReplies.js'
import { maxEndedKeys } from './reservationEntry.js'
import type { SendReservationReply } from './reservationEntry.js'

/** Called for each decision on a request, with the time that it waited if it was granted. */
export type RecordDispatch = (decision: DispatchDecision['kind'], waitedMs: number) => void

export interface DispatchEndpointOptions {
  clock: Clock
  log: EventLog
  endpointId: string
  /** Returns how many requests this host may have at the endpoint at once; 0 if another host grants them. */
  findPlaces: () => number
  shares: DispatchShares | undefined
  recordDecision: RecordDispatch
}

/** A grant states the load of an engine, which endpoints of plain services do not have. */
const noLoad = Object.freeze({ use: 0, backlogMs: 0, batchPart: 0 })
const logIntervalMs = 5000
/** The queue is planned no more often than this by its timer. */
const minPlanDelayMs = 2

export class DispatchEndpoint {
  #options: DispatchEndpointOptions
  #queue: DispatchQueue
  #pending = new Map<string, { id: number, sendReply: SendReservationReply, version: number }>()
  /** Without its reply, a copy of a request that waits would be queued as another request, whose place nobody releases. */
  #replies = new RecentReplies(key => this.#pending.has(key))
  /** Released requests; copies of them that arrive late are ignored, as nothing would release their places again. */
  #ended = new RecentKeys(maxEndedKeys)
  #timer: Timer | undefined
  #loggedAtMs: number
  #counts = { grant: 0, queue: 0, decline: 0, refuse: 0 }
  #waitedMs = 0
  #longestWaitMs = 0

  constructor (options: DispatchEndpointOptions) {
    this.#options = options
    this.#queue = new DispatchQueue({ findPlaces: options.findPlaces, shares: options.shares })
    this.#loggedAtMs = options.clock.readMonotonic()
  }

  receiveRequest (key: string, request: ReservationRequest, sendReply: SendReservationReply): void {
    const known = this.#replies.find(key)
    if (known) {
      sendReply(known)
      return
    }
    if (this.#ended.has(key)) return
    const { dueInMs, uselessInMs, leavesInMs, mayDecline, elsewhereMs, account } = request
    this.#pending.set(key, { id: request.id, sendReply, version: request.version })
    this.#apply(this.#queue.receiveRequest({ key, dueInMs, uselessInMs, leavesInMs, mayDecline, elsewhereMs, account }, this.#options.clock.readMonotonic()))
    this.#logLoad()
  }

  receiveRelease (key: string, { outcome, tookMs, slowness, busy }: ReservationRelease): void {
    this.#ended.add(key)
    this.#pending.delete(key)
    this.#replies.remove(key)
    this.#apply(this.#queue.receiveRelease(key, { tookMs: outcome === 'served' ? tookMs : undefined, slowness, busy }, this.#options.clock.readMonotonic()))
  }

  /** Refuses all requests that wait, as the endpoint takes no more. */
  close (): void {
    this.#apply(this.#queue.close(this.#options.clock.readMonotonic()), 'endpoint_leaving')
  }

  stop (): void {
    this.#timer?.cancel()
  }

  #plan (): void {
    this.#apply(this.#queue.plan(this.#options.clock.readMonotonic()))
  }

  #apply (decisions: readonly DispatchDecision[], refusalCode = this.#options.findPlaces() > 0 ? 'overdue' : 'not_granter'): void {
    for (const decision of decisions) this.#applyDecision(decision, refusalCode)
    this.#timer?.cancel()
    const { clock } = this.#options
    const nextAtMs = this.#queue.getNextPlanAtMs(clock.readMonotonic())
    if (nextAtMs !== undefined) this.#timer = clock.setTimer(() => this.#plan(), Math.max(minPlanDelayMs, nextAtMs - clock.readMonotonic()))
  }

  #applyDecision (decision: DispatchDecision, refusalCode: string): void {
    const waitedMs = decision.kind === 'grant' ? decision.waitedMs : 0
    this.#counts[decision.kind]++
    this.#waitedMs += waitedMs
    this.#longestWaitMs = Math.max(this.#longestWaitMs, waitedMs)
    this.#options.recordDecision(decision.kind, waitedMs)
    const pending = this.#pending.get(decision.key)
    if (!pending) return
    const { id, version, sendReply } = pending
    if (decision.kind !== 'queue') this.#pending.delete(decision.key)
    const reply = this.#createReply(decision, id, version, refusalCode)
    this.#replies.add(decision.key, reply)
    sendReply(reply)
  }

  #createReply (decision: DispatchDecision, id: number, version: number, refusalCode: string): ReservationReply {
    const { endpointId } = this.#options
    if (decision.kind === 'queue') return { type: 'queued', id, expectedMs: decision.waitMs }
    const answerMs = Number.isFinite(decision.answerMs) ? decision.answerMs : -1
    if (decision.kind === 'grant') return { type: 'grant', id, load: noLoad, waitedMs: decision.waitedMs, version, answerMs }
    const isDeclined = decision.kind === 'decline'
    const message = isDeclined ? `endpoint "${endpointId}" may answer later than another one` : `endpoint "${endpointId}" would answer in ${Math.round(answerMs)} ms, which is too late`
    return { type: 'refusal', id, code: isDeclined ? 'declined' : refusalCode, message, retryAfterMs: decision.retryAfterMs, expectedMs: refusalCode === 'not_granter' ? -1 : answerMs }
  }

  #logLoad (): void {
    const { clock, log, endpointId } = this.#options
    const nowMs = clock.readMonotonic()
    if (nowMs - this.#loggedAtMs < logIntervalMs) return
    const { grant, queue, decline, refuse } = this.#counts
    log.record('dispatch.load', 'Requests of all hosts to an endpoint that this host grants, since the last such line.', {
      endpointId,
      granted: grant,
      queued: queue,
      declined: decline,
      refused: refuse,
      meanWaitMs: Math.round(this.#waitedMs / Math.max(1, grant)),
      longestWaitMs: Math.round(this.#longestWaitMs),
      running: this.#queue.runningCount,
      waiting: this.#queue.waitingCount,
      workMs: Math.round(this.#queue.times.getWorkMs(nowMs)),
      overheadMs: Math.round(this.#queue.times.overheadMs),
      slowness: this.#queue.times.getSlowness(nowMs)
    })
    this.#loggedAtMs = nowMs
    this.#counts = { grant: 0, queue: 0, decline: 0, refuse: 0 }
    this.#waitedMs = 0
    this.#longestWaitMs = 0
  }
}
