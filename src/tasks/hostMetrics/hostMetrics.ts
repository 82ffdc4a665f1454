/** Prometheus metrics of a host, updated by the same events as its log lines. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { measureExternalBytes } from '../../adapters/v8/youngGarbage.js'
import type { EventFields, EventLog } from '../../ports/eventLog.js'

/** Values that the gauges read at each scrape. */
export interface HostMetricSources {
  getStoreAgeMs: () => number
  /** Milliseconds since this host's copy of each table last matched the store, by table. */
  listTableAges: () => Readonly<Record<string, number>>
  getActiveRequestCount: () => number
  /** Bytes of the request bodies in memory. */
  getHeldBodyBytes: () => number
  /** Bytes of requests that wait behind others on callers' connections. */
  getWaitingRequestBytes: () => number
  getCallerConnectionCount: () => number
  getOwnedEndpointCount: () => number
  getKnownEndpointCount: () => number
  /** Milliseconds since the granter of an account's quota last replied to this host, by account. */
  listQuotaReplyAges: () => Readonly<Record<string, number>>
}

/** From a twentieth of the tightest published latency target to the longest deadline. */
const latencyBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 6, 12]
const lagBucketsSeconds = [0.001, 0.005, 0.02, 0.1, 0.5, 2]
const lagIntervalMs = 500

/** Accounts with a label of their own; each label value is kept for as long as the process runs. */
const maxAccountLabels = 64
const otherAccounts = 'other'

/** Outcome label by the kind of event that ends a request. */
const requestOutcomes: Readonly<Record<string, string>> = Object.freeze({
  'request.served': 'served', 'request.refused': 'refused', 'request.failed': 'failed', 'request.broken': 'broken', 'request.left': 'left'
})

/** The registry and metrics of one host. Measures the event loop lag until `stop` is called. */
export class HostMetrics {
  readonly registry = new Registry()
  #events = this.#createCounter('events_total', 'Events by kind; each kind is one of log lines.', ['kind'])
  #requests = this.#createCounter('requests_total', 'Requests that have ended, by kind of work, outcome and cause.', ['work', 'outcome', 'cause'])
  #sends = this.#createCounter('sends_total', 'Requests sent to endpoints, repeats included.', ['work'])
  #storeCalls = this.#createCounter('store_calls_total', 'Calls to the store by kind and verdict.', ['call', 'verdict'])
  #orders = this.#createCounter('orders_total', 'Orders to engines by kind and verdict.', ['order', 'verdict'])
  #loadDurations = this.#createHistogram('adapter_load_seconds', 'Time of adapter loads, by whether the engine held the adapter lately.', ['warm'], latencyBucketsSeconds)
  #requestDurations = this.#createHistogram('request_seconds', 'Time from a request\'s arrival to the end of its answer.', ['work', 'outcome'], latencyBucketsSeconds)
  #reservationWaits = this.#createHistogram('place_seconds', 'Time until a request had a place at an engine.', ['work'], latencyBucketsSeconds)
  #firstChunkTimes = this.#createHistogram('first_part_seconds', 'Time from sending a request to the first part of its answer.', ['work'], latencyBucketsSeconds)
  #dispatches = this.#createCounter('dispatch_decisions_total', 'Decisions on requests to plain services that this host grants.', ['decision'])
  #dispatchWaits = this.#createHistogram('dispatch_wait_seconds', 'Time that granted requests to plain services waited at this host.', [], latencyBucketsSeconds)
  #quotaUnits = this.#createCounter('quota_units_total', 'Tokens or requests charged to quotas of accounts, returned and refused.', ['account', 'what'])
  #accountLabels = new Set<string>()
  #eventLoopLag = this.#createHistogram('event_loop_lag_seconds', 'How late timers ran.', [], lagBucketsSeconds)
  #lagTimer: NodeJS.Timeout

  constructor (sources: HostMetricSources) {
    this.#createGauge('store_age_seconds', 'Age of the news from the store.', () => sources.getStoreAgeMs() / 1000)
    const tableAges = new Gauge({
      name: 'sedgevalve_table_age_seconds',
      help: 'Time since this host\'s copy of a table last matched the store.',
      labelNames: ['table'],
      registers: [this.registry],
      collect: () => { for (const [table, ageMs] of Object.entries(sources.listTableAges())) tableAges.set({ table }, ageMs / 1000) }
    })
    const quotaAges = new Gauge({
      name: 'sedgevalve_quota_reply_age_seconds',
      help: 'Time since the granter of an account\'s quota last replied; the oldest of the accounts in one label.',
      labelNames: ['account'],
      registers: [this.registry],
      collect: () => {
        quotaAges.reset()
        const oldest = new Map<string, number>()
        for (const [account, ageMs] of Object.entries(sources.listQuotaReplyAges())) {
          const label = this.#findAccountLabel(account)
          if (Number.isFinite(ageMs)) oldest.set(label, Math.max(ageMs, oldest.get(label) ?? 0))
        }
        for (const [account, ageMs] of oldest) quotaAges.set({ account }, ageMs / 1000)
      }
    })
    this.#createGauge('active_requests', 'Requests that are being served.', sources.getActiveRequestCount)
    this.#createGauge('held_body_bytes', 'Bytes of the request bodies in memory.', sources.getHeldBodyBytes)
    this.#createGauge('waiting_request_bytes', 'Memory of requests that wait behind others on their connections.', sources.getWaitingRequestBytes)
    this.#createGauge('caller_connections', 'Connections of callers and of hosts that forward requests.', sources.getCallerConnectionCount)
    this.#createGauge('owned_endpoints', 'Engines that this host gives orders to.', sources.getOwnedEndpointCount)
    this.#createGauge('known_endpoints', 'Endpoints that this host knows.', sources.getKnownEndpointCount)
    this.#createGauge('resident_bytes', 'Memory of the process.', () => process.memoryUsage.rss())
    this.#createGauge('external_bytes', 'Memory of buffers outside of the heap, with garbage that has not been collected.', measureExternalBytes)
    let dueAtMs = performance.now() + lagIntervalMs
    this.#lagTimer = setInterval(() => {
      const nowMs = performance.now()
      this.#eventLoopLag.observe(Math.max(0, nowMs - dueAtMs) / 1000)
      dueAtMs = nowMs + lagIntervalMs
    }, lagIntervalMs)
    this.#lagTimer.unref()
  }

  stop (): void {
    clearInterval(this.#lagTimer)
  }

  /** Updates the metrics for an event. Called for every event, including those whose log line is suppressed. */
  recordEvent (kind: string, fields: EventFields): void {
    this.#events.inc({ kind })
    const outcome = requestOutcomes[kind]
    if (outcome !== undefined) this.#recordRequest(outcome, fields)
    else if (kind.startsWith('order.')) this.#orders.inc({ order: kind.slice('order.'.length), verdict: String(fields.verdict ?? 'done') })
    else if (kind === 'adapter.loaded') this.#loadDurations.observe({ warm: String(fields.isWarm) }, Number(fields.tookMs) / 1000)
  }

  /** Counts a decision on a request to a plain service that this host grants. */
  recordDispatch (decision: string, waitedMs: number): void {
    this.#dispatches.inc({ decision })
    if (decision === 'grant') this.#dispatchWaits.observe(waitedMs / 1000)
  }

  recordStoreCall (call: string, verdict: string): void {
    this.#storeCalls.inc({ call, verdict })
  }

  recordSpent = (account: string, cost: number): void => this.#quotaUnits.inc({ account: this.#findAccountLabel(account), what: 'spent' }, cost)

  recordReturned = (account: string, cost: number): void => this.#quotaUnits.inc({ account: this.#findAccountLabel(account), what: 'returned' }, cost)

  recordRefused = (account: string, cost: number): void => this.#quotaUnits.inc({ account: this.#findAccountLabel(account), what: 'refused' }, cost)

  #findAccountLabel (account: string): string {
    if (this.#accountLabels.size < maxAccountLabels) this.#accountLabels.add(account)
    return this.#accountLabels.has(account) ? account : otherAccounts
  }

  #recordRequest (outcome: string, fields: EventFields): void {
    const work = String(fields.work ?? 'unknown')
    this.#requests.inc({ work, outcome, cause: String(fields.code ?? '') })
    this.#sends.inc({ work }, Number(fields.sends ?? 0))
    this.#requestDurations.observe({ work, outcome }, Number(fields.tookMs) / 1000)
    if (work === 'stream' || fields.isDispatched === true) this.#reservationWaits.observe({ work }, Number(fields.placeMs) / 1000)
    if (Number(fields.firstPartMs) >= 0) this.#firstChunkTimes.observe({ work }, Number(fields.firstPartMs) / 1000)
  }

  #createCounter (name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name: `sedgevalve_${name}`, help, labelNames, registers: [this.registry] })
  }

  #createHistogram (name: string, help: string, labelNames: string[], buckets: number[]): Histogram {
    return new Histogram({ name: `sedgevalve_${name}`, help, labelNames, buckets, registers: [this.registry] })
  }

  #createGauge (name: string, help: string, getValue: () => number): void {
    const gauge: Gauge = new Gauge({ name: `sedgevalve_${name}`, help, registers: [this.registry], collect: () => gauge.set(getValue()) })
  }
}

/** Wraps a log so that every event is counted, including those whose line the wrapped log suppresses. */
export function createCountingLog (log: EventLog, recordEvent: (kind: string, fields: EventFields) => void): EventLog {
  return {
    record: (kind, message, fields = {}) => {
      recordEvent(kind, fields)
      log.record(kind, message, fields)
    }
  }
}
