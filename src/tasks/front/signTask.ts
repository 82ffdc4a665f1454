/** Takes the signs of endpoints from their answers, logs them and tells an engine's owner of its leaving. */
import type { EndpointSigns } from '../../core/endpointSigns.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { AnswerHead } from '../../schemas/callerRequest.js'
import type { Leaving } from '../../schemas/datagram.js'
import type { EndpointEntry } from '../../schemas/routing.js'

export interface SignTaskOptions {
  clock: Clock
  log: EventLog
  signs: EndpointSigns
  /** Tells the owner of an engine, if there is one. */
  tellOwner: (leaving: Leaving) => void
  /** Requests that wait for a place at the endpoint look for another one. */
  withdrawFrom: (endpointId: string, reason: string) => void
}

const unavailableStatus = 503
/** Time between two tellings of an engine's leaving, shorter than the time for which its owner takes a sign for true. */
const tellIntervalMs = 500
/** Engines whose last telling is remembered; more than the published deployments have. */
const maxTold = 1024

export class SignTask {
  #options: SignTaskOptions
  /** By endpoint. */
  #toldAtMs = new Map<string, number>()

  constructor (options: SignTaskOptions) {
    this.#options = options
  }

  receiveHead (endpoint: EndpointEntry, head: AnswerHead): void {
    if (head.isLeaving) this.#receiveLeaving(endpoint)
    if (head.status !== unavailableStatus) return
    if (head.unreadableRetryAfter !== undefined) {
      this.#options.log.record('endpoint.pauseUnreadable', 'An endpoint rejected a request with a time to come back that cannot be read; it is ignored.', { endpointId: endpoint.id, value: head.unreadableRetryAfter })
    }
    if (head.retryAfterMs !== undefined && head.retryAfterMs > 0) this.#receivePause(endpoint, head.retryAfterMs)
  }

  #receiveLeaving (endpoint: EndpointEntry): void {
    const { clock, log, signs, tellOwner, withdrawFrom } = this.#options
    const { id, startedAtMs } = endpoint
    const nowMs = clock.readMonotonic()
    if (nowMs - (this.#toldAtMs.get(id) ?? -Infinity) >= tellIntervalMs) {
      this.#toldAtMs.delete(id)
      this.#toldAtMs.set(id, nowMs)
      if (this.#toldAtMs.size > maxTold) this.#toldAtMs.delete(this.#toldAtMs.keys().next().value!)
      tellOwner({ type: 'leaving', endpointId: id, startedAtMs })
    }
    if (!signs.recordLeaving(endpoint)) return
    log.record('endpoint.leavingSign', 'An endpoint says in an answer that it leaves; this host sends it nothing new until it starts again.', { endpointId: id, startedAtMs })
    withdrawFrom(id, `endpoint "${id}" is leaving`)
  }

  #receivePause (endpoint: EndpointEntry, pauseMs: number): void {
    const { clock, log, signs, withdrawFrom } = this.#options
    const nowMs = clock.readMonotonic()
    const isNews = signs.readPausedMs(endpoint, nowMs) === 0
    signs.recordPause(endpoint, nowMs + pauseMs)
    if (!isNews) return
    log.record('endpoint.paused', 'An endpoint wants nothing from this host for a while.', { endpointId: endpoint.id, startedAtMs: endpoint.startedAtMs, leftMs: pauseMs })
    withdrawFrom(endpoint.id, `endpoint "${endpoint.id}" wants nothing for ${pauseMs} ms`)
  }
}
