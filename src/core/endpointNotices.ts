/**
 * Tracks notices that endpoints send in the headers of their answers: that they are leaving, accept no requests for a time, take
 * so many requests a second, or bear so many rejections. A limit holds for all hosts, which tell each other of it; the other notices apply only to the host
 * that received them.
 */
import { EndpointLimit } from './endpointLimit.js'
import type { LimitStatement } from './endpointLimit.js'
import type { EndpointEntry } from '../schemas/routing.js'

type ProcessKey = Pick<EndpointEntry, 'id' | 'startedAtMs'>

interface EndpointNotice {
  /** Start time of the process that gave the notice; the notice does not apply to a later process. */
  startedAtMs: number
  isLeaving: boolean
  pausedUntilMs: number
  limit: EndpointLimit
  /** Rejections a second beyond which the process falls over; undefined if it is not brittle. */
  maxRejectionsPerSecond: number | undefined
}

/** Maximum number of endpoints tracked; more than the published deployments have. */
const maxEndpoints = 1024

export class EndpointNotices {
  #notices = new Map<string, EndpointNotice>()

  /** Records that the process is leaving; returns whether this was not known before. */
  recordLeaving (process: ProcessKey): boolean {
    const notice = this.#findOrAdd(process)
    const isNew = !notice.isLeaving
    notice.isLeaving = true
    return isNew
  }

  /** Records that the endpoint accepts no requests until `untilMs` of the monotonic clock. */
  recordPause (process: ProcessKey, untilMs: number): void {
    const notice = this.#findOrAdd(process)
    notice.pausedUntilMs = Math.max(notice.pausedUntilMs, untilMs)
  }

  /** Records what a response said about the endpoint's limit; returns whether the limit changed. */
  recordLimit (process: ProcessKey, statement: LimitStatement): boolean {
    const known = this.#notices.get(process.id)
    if (known ? known.startedAtMs > process.startedAtMs : statement.perSecond === undefined) return false
    return this.#findOrAdd(process).limit.record(statement)
  }

  /** Requests a second that all hosts together may send to the endpoint; undefined if it is not limited. */
  getRate (process: ProcessKey, nowMs: number): number | undefined {
    return this.#find(process)?.limit.getRate(nowMs)
  }

  /** The latest statement about the endpoint's limit; undefined if it has named none. */
  getLimitStatement (process: ProcessKey): LimitStatement | undefined {
    return this.#find(process)?.limit.latest
  }

  /** Records what a response said about how many rejections the endpoint bears; returns whether that changed. */
  recordBrittleness (process: ProcessKey, maxRejectionsPerSecond: number | undefined): boolean {
    if (maxRejectionsPerSecond === undefined && !this.#find(process)) return false
    const notice = this.#findOrAdd(process)
    const hasChanged = notice.maxRejectionsPerSecond !== maxRejectionsPerSecond
    notice.maxRejectionsPerSecond = maxRejectionsPerSecond
    return hasChanged
  }

  /** Rejections a second beyond which the endpoint falls over; undefined if it is not brittle. */
  getMaxRejections (process: ProcessKey): number | undefined {
    return this.#find(process)?.maxRejectionsPerSecond
  }

  isLeaving (process: ProcessKey): boolean {
    return this.#find(process)?.isLeaving ?? false
  }

  /** Milliseconds until the endpoint accepts requests again; 0 if it accepts them now. */
  getRemainingPauseMs (process: ProcessKey, nowMs: number): number {
    return Math.max(0, (this.#find(process)?.pausedUntilMs ?? -Infinity) - nowMs)
  }

  isAcceptingRequests (process: ProcessKey, nowMs: number): boolean {
    return !this.isLeaving(process) && this.getRemainingPauseMs(process, nowMs) === 0
  }

  #find ({ id, startedAtMs }: ProcessKey): EndpointNotice | undefined {
    const notice = this.#notices.get(id)
    return notice?.startedAtMs === startedAtMs ? notice : undefined
  }

  #findOrAdd (process: ProcessKey): EndpointNotice {
    const known = this.#find(process)
    if (known) return known
    const notice: EndpointNotice = { startedAtMs: process.startedAtMs, isLeaving: false, pausedUntilMs: -Infinity, limit: new EndpointLimit(), maxRejectionsPerSecond: undefined }
    this.#notices.delete(process.id)
    this.#notices.set(process.id, notice)
    if (this.#notices.size > maxEndpoints) this.#notices.delete(this.#notices.keys().next().value!)
    return notice
  }
}
