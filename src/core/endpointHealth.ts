/** Tracks what a host observes of each endpoint: its load, latency and failure rate. */
import type { EndpointLoad } from '../schemas/callerRequest.js'

/** Weight of the newest sample in the exponentially weighted moving averages. */
const smoothingFactor = 0.15
/** Time after which a reported load counts only 1/e, as other hosts' requests on the endpoint end meanwhile. */
const loadDecayMs = 400
/** An endpoint whose failure rate exceeds this is avoided while others are healthier. */
const maxFailureRate = 0.25
/** An avoided endpoint gets one request per interval, so that its recovery is noticed. */
const probeIntervalMs = 1000
/** Number of consecutive failures after which an endpoint is avoided at once. */
const maxConsecutiveFailures = 2

interface Health {
  /** Moving average of failed requests, from 0 to 1. */
  failureRate: number
  consecutiveFailures: number
  /** Moving average. */
  latencyMs: number
  load: EndpointLoad | undefined
  loadAtMs: number
  hasReportedSlowness: boolean
  inFlight: number
  lastProbeAtMs: number
}

export class EndpointHealth {
  #healths = new Map<string, Health>()

  recordRequestStart (id: string): void {
    this.#findOrAdd(id).inFlight++
  }

  recordRequestEnd (id: string): void {
    const health = this.#findOrAdd(id)
    health.inFlight = Math.max(0, health.inFlight - 1)
  }

  recordLoad (id: string, load: EndpointLoad, nowMs: number): void {
    const health = this.#findOrAdd(id)
    health.load = load
    health.loadAtMs = nowMs
    health.hasReportedSlowness ||= load.slowness !== undefined
  }

  recordSuccess (id: string, latencyMs: number): void {
    const health = this.#findOrAdd(id)
    health.failureRate += smoothingFactor * (0 - health.failureRate)
    health.consecutiveFailures = 0
    health.latencyMs += smoothingFactor * (latencyMs - health.latencyMs)
  }

  recordFailure (id: string): void {
    const health = this.#findOrAdd(id)
    health.failureRate += smoothingFactor * (1 - health.failureRate)
    health.consecutiveFailures++
  }

  getInFlightCount (id: string): number {
    return this.#findOrAdd(id).inFlight
  }

  /** Estimates the fraction of an endpoint's capacity in use, from its reported load and this host's requests in flight. */
  getUtilization (id: string, capacity: number, nowMs: number): number {
    const health = this.#findOrAdd(id)
    const reported = health.load ? (health.load.running + health.load.waiting) * Math.exp((health.loadAtMs - nowMs) / loadDecayMs) : 0
    return Math.max(reported, health.inFlight) / Math.max(1, capacity)
  }

  /** Whether a response of the endpoint has reported how slow its machine is. */
  hasReportedSlowness (id: string): boolean {
    return this.#healths.get(id)?.hasReportedSlowness ?? false
  }

  getLatencyMs (id: string): number {
    return this.#findOrAdd(id).latencyMs
  }

  isFailing (id: string): boolean {
    const health = this.#findOrAdd(id)
    return health.consecutiveFailures >= maxConsecutiveFailures || health.failureRate > maxFailureRate
  }

  /** Returns true if a request may be sent to an avoided endpoint as a probe; at most once per probe interval. */
  tryAcquireProbe (id: string, nowMs: number): boolean {
    const health = this.#findOrAdd(id)
    if (nowMs - health.lastProbeAtMs < probeIntervalMs) return false
    health.lastProbeAtMs = nowMs
    return true
  }

  /** Removes the state of an endpoint that is gone or has restarted. */
  remove (id: string): void {
    this.#healths.delete(id)
  }

  #findOrAdd (id: string): Health {
    let health = this.#healths.get(id)
    if (!health) {
      health = { failureRate: 0, consecutiveFailures: 0, latencyMs: 0, load: undefined, loadAtMs: 0, hasReportedSlowness: false, inFlight: 0, lastProbeAtMs: -Infinity }
      this.#healths.set(id, health)
    }
    return health
  }
}
