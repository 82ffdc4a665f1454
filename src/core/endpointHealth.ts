/** What a host has seen of each endpoint: its load, how fast it answers and how often it fails. */
import type { EndpointLoad } from '../schemas/callerRequest.js'

/** Weight of the newest outcome. */
const smoothing = 0.15
/** A load that an endpoint told counts 1/e after this time, as other hosts' work there ends. */
const loadTermMs = 400
/** An endpoint that fails more than this part of its requests is avoided while others are better. */
const failingPart = 0.25
/** An endpoint that is avoided gets one request in this time, so that its recovery is noticed. */
const probeIntervalMs = 1000
/** Failures in a row after which an endpoint is avoided at once. */
const maxFailuresInRow = 2

interface Health {
  failures: number
  failedInRow: number
  latencyMs: number
  load: EndpointLoad | undefined
  loadAtMs: number
  inFlight: number
  probedAtMs: number
}

export class EndpointHealth {
  #healths = new Map<string, Health>()

  recordSent (id: string): void {
    this.#find(id).inFlight++
  }

  recordEnded (id: string): void {
    const health = this.#find(id)
    health.inFlight = Math.max(0, health.inFlight - 1)
  }

  recordLoad (id: string, load: EndpointLoad, nowMs: number): void {
    const health = this.#find(id)
    health.load = load
    health.loadAtMs = nowMs
  }

  recordSuccess (id: string, latencyMs: number): void {
    const health = this.#find(id)
    health.failures += smoothing * (0 - health.failures)
    health.failedInRow = 0
    health.latencyMs += smoothing * (latencyMs - health.latencyMs)
  }

  recordFailure (id: string): void {
    const health = this.#find(id)
    health.failures += smoothing * (1 - health.failures)
    health.failedInRow++
  }

  readInFlight (id: string): number {
    return this.#find(id).inFlight
  }

  /** Expected part of the places that are taken, from what the endpoint told and what this host has sent. */
  readBusyPart (id: string, places: number, nowMs: number): number {
    const health = this.#find(id)
    const told = health.load ? (health.load.running + health.load.waiting) * Math.exp((health.loadAtMs - nowMs) / loadTermMs) : 0
    return Math.max(told, health.inFlight) / Math.max(1, places)
  }

  readLatencyMs (id: string): number {
    return this.#find(id).latencyMs
  }

  isFailing (id: string): boolean {
    const health = this.#find(id)
    return health.failedInRow >= maxFailuresInRow || health.failures > failingPart
  }

  /** Lets one request through to an endpoint that is avoided, from time to time. */
  takeProbe (id: string, nowMs: number): boolean {
    const health = this.#find(id)
    if (nowMs - health.probedAtMs < probeIntervalMs) return false
    health.probedAtMs = nowMs
    return true
  }

  /** Drops what is known of an endpoint that is gone or has started anew. */
  forget (id: string): void {
    this.#healths.delete(id)
  }

  #find (id: string): Health {
    let health = this.#healths.get(id)
    if (!health) {
      health = { failures: 0, failedInRow: 0, latencyMs: 0, load: undefined, loadAtMs: 0, inFlight: 0, probedAtMs: -Infinity }
      this.#healths.set(id, health)
    }
    return health
  }
}
