/**
 * Reads endpoint notices (leaving, paused, limited) from response heads and logs them; notifies the owner of a leaving engine, and
 * all hosts of a limit.
 */
import { computeBrittlePauseMs } from '../../core/brittleEndpoints.js'
import type { LimitStatement } from '../../core/endpointLimit.js'
import type { EndpointNotices } from '../../core/endpointNotices.js'
import type { Clock } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { ResponseHead } from '../../schemas/callerRequest.js'
import type { EndpointLeaving, EndpointLimitChange, EndpointLimitStatement } from '../../schemas/datagram.js'
import type { EndpointEntry } from '../../schemas/routing.js'

export interface EndpointNoticeTaskOptions {
  clock: Clock
  log: EventLog
  notices: EndpointNotices
  /** Notifies the owner of an engine, if it has one. */
  notifyOwner: (leaving: EndpointLeaving) => void
  /** Notifies all other hosts that an endpoint's limit has changed. */
  notifyHosts: (change: EndpointLimitChange) => void
  /** Called when the limit of an endpoint has changed, from a response or from another host. */
  receiveLimitChange: (endpointId: string) => void
  countHosts: () => number
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  random: () => number
  /** Withdraws requests that wait for a reservation at the endpoint, so that they select another one. */
  withdrawPending: (endpointId: string, reason: string) => void
}

/** Requests that this host has sent to an endpoint since the last log line about its limit. */
interface LimitReport {
  limitPerSecond: number
  loggedAtMs: number
  sentWithGrant: number
  sentWithoutGrant: number
}

type EndpointProcess = Pick<EndpointEntry, 'id' | 'startedAtMs'>

const serviceUnavailableStatus = 503
const misdirectedStatus = 421
/** Interval of log lines about an endpoint that names the same limit in each response. */
const limitLogIntervalMs = 1000
/** Endpoints whose limits are logged; more than the published deployments have. */
const maxLimitReports = 1024
/** Interval between notifications that an engine is leaving; shorter than the time for which its owner trusts one. */
const notifyIntervalMs = 500
/** Engines whose last notification is remembered; more than the published deployments have. */
const maxNotifiedEngines = 1024

export class EndpointNoticeTask {
  #options: EndpointNoticeTaskOptions
  /** When the owner of each leaving engine was last notified, by endpoint id. */
  #notifiedAtMs = new Map<string, number>()
  /** Endpoints that have named a limit, by id. */
  #limitReports = new Map<string, LimitReport>()

  constructor (options: EndpointNoticeTaskOptions) {
    this.#options = options
  }

  /** Handles the head of the response to a request that was sent at `sentAtMs`; `isOwn` where the response belongs to it. */
  receiveHead (endpoint: EndpointEntry, head: ResponseHead, sentAtMs: number, isOwn: boolean): void {
    if (head.isLeaving) this.#handleLeaving(endpoint)
    if (head.invalidLimit !== undefined) {
      this.#options.log.record('endpoint.limitUnreadable', 'An endpoint named a limit that is not a decimal number; the limit is ignored.', { endpointId: endpoint.id, value: head.invalidLimit })
    } else if (isOwn) this.#handleLimit(endpoint, head, sentAtMs)
    if (isOwn && head.status !== misdirectedStatus) this.#handleBrittleness(endpoint, head)
    if (head.status !== serviceUnavailableStatus) return
    if (head.invalidRetryAfter !== undefined) {
      this.#options.log.record('endpoint.pauseUnreadable', 'An endpoint rejected a request with an invalid retry delay; the delay is ignored.', { endpointId: endpoint.id, value: head.invalidRetryAfter })
    }
    if (head.retryAfterMs !== undefined && head.retryAfterMs > 0) this.#handlePause(endpoint, head.retryAfterMs)
  }

  /** Receives another host's statement about an endpoint's limit. */
  receiveLimitStatement (endpointId: string, { startedAtMs, limitPerSecond, sentAgoMs, receivedAgoMs }: EndpointLimitStatement): void {
    const nowMs = this.#options.clock.readMonotonic()
    this.#recordLimit({ id: endpointId, startedAtMs }, { perSecond: limitPerSecond, sentAtMs: nowMs - sentAgoMs, receivedAtMs: nowMs - receivedAgoMs })
  }

  /** What this host knows of an endpoint's limit, for other hosts; undefined if the endpoint has named none. */
  findLimitStatement (process: EndpointProcess): EndpointLimitStatement | undefined {
    const { clock, notices } = this.#options
    const statement = notices.getLimitStatement(process)
    if (!statement) return undefined
    const nowMs = clock.readMonotonic()
    return {
      startedAtMs: process.startedAtMs,
      ...(statement.perSecond !== undefined && { limitPerSecond: statement.perSecond }),
      sentAgoMs: nowMs - statement.sentAtMs,
      receivedAgoMs: nowMs - statement.receivedAtMs
    }
  }

  #handleLimit (endpoint: EndpointEntry, { limitPerSecond, status }: ResponseHead, sentAtMs: number): void {
    if (limitPerSecond !== undefined) this.#logLimit(endpoint, limitPerSecond)
    // Another endpoint that was given the address responds with this status and says nothing of this one.
    if (limitPerSecond === undefined && status === misdirectedStatus) return
    const statement = { perSecond: limitPerSecond, sentAtMs, receivedAtMs: this.#options.clock.readMonotonic() }
    if (this.#recordLimit(endpoint, statement)) this.#options.notifyHosts({ type: 'limit', endpointId: endpoint.id, ...this.findLimitStatement(endpoint)! })
  }

  #recordLimit (process: EndpointProcess, statement: LimitStatement): boolean {
    const { log, notices, receiveLimitChange } = this.#options
    if (!notices.recordLimit(process, statement)) return false
    log.record('endpoint.limitChanged', 'The requests a second that an endpoint takes from all hosts together have changed.', {
      endpointId: process.id, startedAtMs: process.startedAtMs, limitPerSecond: statement.perSecond ?? null
    })
    receiveLimitChange(process.id)
    return true
  }

  /** Counts a request that is about to be sent to an endpoint, with or without a grant of its owner. */
  recordSend (endpointId: string, hasGrant: boolean): void {
    const report = this.#limitReports.get(endpointId)
    if (!report) return
    if (hasGrant) report.sentWithGrant++
    else report.sentWithoutGrant++
  }

  /** Logs a limit as it changes and, while it stays, at intervals, with what this host has sent there meanwhile. */
  #logLimit ({ id, startedAtMs }: EndpointEntry, limitPerSecond: number): void {
    const { clock, log } = this.#options
    const nowMs = clock.readMonotonic()
    const report = this.#limitReports.get(id)
    if (report?.limitPerSecond === limitPerSecond && nowMs - report.loggedAtMs < limitLogIntervalMs) return
    log.record('endpoint.limitNamed', 'An endpoint named the requests a second that it takes from all hosts together.', {
      endpointId: id, startedAtMs, limitPerSecond, ...(report && { sinceMs: Math.round(nowMs - report.loggedAtMs), sentWithGrant: report.sentWithGrant, sentWithoutGrant: report.sentWithoutGrant })
    })
    this.#limitReports.delete(id)
    this.#limitReports.set(id, { limitPerSecond, loggedAtMs: nowMs, sentWithGrant: 0, sentWithoutGrant: 0 })
    if (this.#limitReports.size > maxLimitReports) this.#limitReports.delete(this.#limitReports.keys().next().value!)
  }

  /** Notes whether an endpoint is brittle; one that has rejected a request gets none from this host for a while. */
  #handleBrittleness (endpoint: EndpointEntry, { maxRejectionsPerSecond, invalidMaxRejections, status, isNotRun, retryAfterMs }: ResponseHead): void {
    const { log, notices, countHosts, random } = this.#options
    const { id, startedAtMs } = endpoint
    if (invalidMaxRejections !== undefined) {
      log.record('endpoint.brittlenessUnreadable', 'An endpoint says in a way that is not a decimal number how many rejections it bears; that is ignored.', { endpointId: id, value: invalidMaxRejections })
      return
    }
    if (notices.recordBrittleness(endpoint, maxRejectionsPerSecond)) {
      log.record('endpoint.brittlenessChanged', 'The rejections a second beyond which an endpoint falls over have changed.', { endpointId: id, startedAtMs, maxRejectionsPerSecond: maxRejectionsPerSecond ?? null })
    }
    if (maxRejectionsPerSecond === undefined || status !== serviceUnavailableStatus || !isNotRun) return
    this.#handlePause(endpoint, Math.max(retryAfterMs ?? 0, computeBrittlePauseMs(maxRejectionsPerSecond, countHosts(), random())))
  }

  #handleLeaving (endpoint: EndpointEntry): void {
    const { clock, log, notices, notifyOwner, withdrawPending } = this.#options
    const { id, startedAtMs } = endpoint
    const nowMs = clock.readMonotonic()
    if (nowMs - (this.#notifiedAtMs.get(id) ?? -Infinity) >= notifyIntervalMs) {
      this.#notifiedAtMs.delete(id)
      this.#notifiedAtMs.set(id, nowMs)
      if (this.#notifiedAtMs.size > maxNotifiedEngines) this.#notifiedAtMs.delete(this.#notifiedAtMs.keys().next().value!)
      notifyOwner({ type: 'leaving', endpointId: id, startedAtMs })
    }
    if (!notices.recordLeaving(endpoint)) return
    log.record('endpoint.leavingSign', 'An endpoint announced in a response that it is leaving; this host sends it no new requests until it restarts.', { endpointId: id, startedAtMs })
    withdrawPending(id, `endpoint "${id}" is leaving`)
  }

  #handlePause (endpoint: EndpointEntry, pauseMs: number): void {
    const { clock, log, notices, withdrawPending } = this.#options
    const nowMs = clock.readMonotonic()
    const isNewPause = notices.getRemainingPauseMs(endpoint, nowMs) === 0
    notices.recordPause(endpoint, nowMs + pauseMs)
    if (!isNewPause) return
    log.record('endpoint.paused', 'An endpoint asked this host to pause requests to it.', { endpointId: endpoint.id, startedAtMs: endpoint.startedAtMs, leftMs: pauseMs })
    withdrawPending(endpoint.id, `endpoint "${endpoint.id}" accepts no requests for ${pauseMs} ms`)
  }
}
