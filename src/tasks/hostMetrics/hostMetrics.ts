/** Counters and histograms of a host, told from the same events as its log lines. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { EventFields, EventLog } from '../../ports/eventLog.js'

/** What the metrics read when they are asked for. */
export interface MetricSources {
  readStoreAgeMs: () => number
  readActiveRequests: () => number
  readOwnedEndpoints: () => number
  readEndpoints: () => number
}

/** Bounds in seconds: a twentieth of the tightest published target up to the longest deadline. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 6, 12]
const lagBuckets = [0.001, 0.005, 0.02, 0.1, 0.5, 2]
const lagIntervalMs = 500

/** Ends of requests among the kinds of events. */
const requestOutcomes: Readonly<Record<string, string>> = Object.freeze({
  'request.served': 'served', 'request.refused': 'refused', 'request.failed': 'failed', 'request.broken': 'broken', 'request.left': 'left'
})

export class HostMetrics {
  readonly registry = new Registry()
  #events = this.#createCounter('events_total', 'Events by kind; each kind is one of log lines.', ['kind'])
  #requests = this.#createCounter('requests_total', 'Requests that have ended, by kind of work, outcome and cause.', ['work', 'outcome', 'cause'])
  #sends = this.#createCounter('sends_total', 'Requests sent to endpoints, repeats included.', ['work'])
  #storeCalls = this.#createCounter('store_calls_total', 'Calls to the store by kind and verdict.', ['call', 'verdict'])
  #orders = this.#createCounter('orders_total', 'Orders to engines by kind and verdict.', ['order', 'verdict'])
  #loads = this.#createHistogram('adapter_load_seconds', 'Time of adapter loads, by whether the engine held the adapter lately.', ['warm'], latencyBuckets)
  #took = this.#createHistogram('request_seconds', 'Time from a request\'s arrival to the end of its answer.', ['work', 'outcome'], latencyBuckets)
  #places = this.#createHistogram('place_seconds', 'Time until a request had a place at an engine.', ['work'], latencyBuckets)
  #firstParts = this.#createHistogram('first_part_seconds', 'Time from sending a request to the first part of its answer.', ['work'], latencyBuckets)
  #lag = this.#createHistogram('event_loop_lag_seconds', 'How late timers ran.', [], lagBuckets)
  #timer: NodeJS.Timeout

  constructor (sources: MetricSources) {
    this.#createGauge('store_age_seconds', 'Age of the news from the store.', () => sources.readStoreAgeMs() / 1000)
    this.#createGauge('active_requests', 'Requests that are being served.', sources.readActiveRequests)
    this.#createGauge('owned_endpoints', 'Engines that this host gives orders to.', sources.readOwnedEndpoints)
    this.#createGauge('known_endpoints', 'Endpoints that this host knows.', sources.readEndpoints)
    this.#createGauge('resident_bytes', 'Memory of the process.', () => process.memoryUsage.rss())
    let dueAtMs = performance.now() + lagIntervalMs
    this.#timer = setInterval(() => {
      const nowMs = performance.now()
      this.#lag.observe(Math.max(0, nowMs - dueAtMs) / 1000)
      dueAtMs = nowMs + lagIntervalMs
    }, lagIntervalMs)
    this.#timer.unref()
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  /** Counts an event; called for every event, also where its log line is left out. */
  recordEvent (kind: string, fields: EventFields): void {
    this.#events.inc({ kind })
    const outcome = requestOutcomes[kind]
    if (outcome !== undefined) this.#recordRequest(outcome, fields)
    else if (kind.startsWith('order.')) this.#orders.inc({ order: kind.slice('order.'.length), verdict: String(fields.verdict ?? 'done') })
    else if (kind === 'adapter.loaded') this.#loads.observe({ warm: String(fields.isWarm) }, Number(fields.tookMs) / 1000)
  }

  recordStoreCall (call: string, verdict: string): void {
    this.#storeCalls.inc({ call, verdict })
  }

  #recordRequest (outcome: string, fields: EventFields): void {
    const work = String(fields.work ?? 'unknown')
    this.#requests.inc({ work, outcome, cause: String(fields.code ?? '') })
    this.#sends.inc({ work }, Number(fields.sends ?? 0))
    this.#took.observe({ work, outcome }, Number(fields.tookMs) / 1000)
    if (work === 'stream') this.#places.observe({ work }, Number(fields.placeMs) / 1000)
    if (Number(fields.firstPartMs) >= 0) this.#firstParts.observe({ work }, Number(fields.firstPartMs) / 1000)
  }

  #createCounter (name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name: `sedgevalve_${name}`, help, labelNames, registers: [this.registry] })
  }

  #createHistogram (name: string, help: string, labelNames: string[], buckets: number[]): Histogram {
    return new Histogram({ name: `sedgevalve_${name}`, help, labelNames, buckets, registers: [this.registry] })
  }

  #createGauge (name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({ name: `sedgevalve_${name}`, help, registers: [this.registry], collect: () => gauge.set(read()) })
  }
}

/** A log whose events are counted before any line is left out. */
export function createCountedLog (log: EventLog, recordEvent: (kind: string, fields: EventFields) => void): EventLog {
  return {
    record: (kind, message, fields = {}) => {
      recordEvent(kind, fields)
      log.record(kind, message, fields)
    }
  }
}
