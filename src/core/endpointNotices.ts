/**
 * Tracks notices that endpoints send in the headers of their answers: that they are leaving, or accept no requests for a time.
 * A notice applies only to the host that received it.
 */
import type { EndpointEntry } from '../schemas/routing.js'

type ProcessKey = Pick<EndpointEntry, 'id' | 'startedAtMs'>

interface EndpointNotice {
  /** Start time of the process that gave the notice; the notice does not apply to a later process. */
  startedAtMs: number
  isLeaving: boolean
  pausedUntilMs: number
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
    const notice: EndpointNotice = { startedAtMs: process.startedAtMs, isLeaving: false, pausedUntilMs: -Infinity }
    this.#notices.delete(process.id)
    this.#notices.set(process.id, notice)
    if (this.#notices.size > maxEndpoints) this.#notices.delete(this.#notices.keys().next().value!)
    return notice
  }
}
