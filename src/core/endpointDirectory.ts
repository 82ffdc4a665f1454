/** The endpoints that a host may send requests to. */
import type { EndpointEntry } from '../schemas/routing.js'

/** After a store outage, a running endpoint rewrites an expired entry within 2 s. */
const expiredEntryRetentionMs = 2000
/** A removal counts as an expiry due to an outage if the store was unavailable within this time before it. */
const expiryWindowMs = 4000
/** The store expires an entry after this many missed heartbeats, so a shorter outage cannot have caused an expiry. */
const expiryHeartbeats = 3
/** Heartbeat interval of the published deployments. */
const defaultHeartbeatIntervalMs = 1200

interface KnownEndpoint {
  entry: EndpointEntry
  /** When the entry was removed, if it may still reappear. */
  removedAtMs: number | undefined
}

export class EndpointDirectory {
  #endpoints = new Map<string, KnownEndpoint>()
  #entryTtlMs: number
  /** When the store was last known to be unavailable for long enough that entries may have expired. */
  #lastLongOutageAtMs = -Infinity

  constructor (heartbeatIntervalMs = defaultHeartbeatIntervalMs) {
    this.#entryTtlMs = expiryHeartbeats * heartbeatIntervalMs
  }

  /** Records that the store is unavailable now, and has been for `outageMs`. */
  recordStoreUnavailable (nowMs: number, outageMs: number): void {
    if (outageMs >= this.#entryTtlMs) this.#lastLongOutageAtMs = nowMs
  }

  recordEntry (entry: EndpointEntry, _nowMs: number): void {
    this.#endpoints.set(entry.id, { entry, removedAtMs: undefined })
  }

  /** `mayReappear`: the row was removed, rather than replaced by one that cannot be decoded. */
  recordRemoval (id: string, nowMs: number, mayReappear: boolean): void {
    const known = this.#endpoints.get(id)
    if (!known) return
    if (mayReappear && nowMs - this.#lastLongOutageAtMs <= expiryWindowMs && !known.entry.isLeaving) known.removedAtMs ??= nowMs
    else this.#endpoints.delete(id)
  }

  /** Returns the entry of an endpoint if it exists or may still reappear after an outage. */
  find (id: string, nowMs: number): EndpointEntry | undefined {
    const known = this.#endpoints.get(id)
    if (!known) return undefined
    if (known.removedAtMs !== undefined && nowMs - known.removedAtMs > expiredEntryRetentionMs && nowMs - this.#lastLongOutageAtMs > expiredEntryRetentionMs) {
      this.#endpoints.delete(id)
      return undefined
    }
    return known.entry
  }

  list (nowMs: number): EndpointEntry[] {
    return [...this.#endpoints.keys()].flatMap(id => this.find(id, nowMs) ?? [])
  }

  /** Lists the endpoints of a service that accept new requests. */
  listUsable (service: string, nowMs: number): EndpointEntry[] {
    return this.list(nowMs).filter(entry => entry.service === service && !entry.isLeaving)
  }
}
