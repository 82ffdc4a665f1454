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

/** Endpoints that are gone and remembered, in case that the store is restored from a copy that has their entries. */
const maxGoneEndpoints = 1024

interface KnownEndpoint {
  entry: EndpointEntry
  /** When the entry was removed, if it may still reappear. */
  removedAtMs: number | undefined
}

export class EndpointDirectory {
  #endpoints = new Map<string, KnownEndpoint>()
  /** Start times of the processes of endpoints that are gone, by id. */
  #gone = new Map<string, number>()
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

  /** Entries that were written shortly before the store was restored from a copy reappear as after an outage. */
  beginEra (nowMs: number): void {
    this.#lastLongOutageAtMs = nowMs
  }

  /** Whether an entry that may be of a copy of the store is of a process that is known to be gone, to leave, or to have been replaced. */
  isOutdated ({ id, startedAtMs, isLeaving }: EndpointEntry): boolean {
    const known = this.#endpoints.get(id)?.entry
    if (!known) return startedAtMs <= (this.#gone.get(id) ?? -Infinity)
    return startedAtMs < known.startedAtMs || (startedAtMs === known.startedAtMs && known.isLeaving && !isLeaving)
  }

  recordEntry (entry: EndpointEntry, _nowMs: number): void {
    this.#gone.delete(entry.id)
    this.#endpoints.set(entry.id, { entry, removedAtMs: undefined })
  }

  /** `mayReappear`: the row was removed, rather than replaced by one that cannot be decoded. */
  recordRemoval (id: string, nowMs: number, mayReappear: boolean): void {
    const known = this.#endpoints.get(id)
    if (!known) return
    if (mayReappear && nowMs - this.#lastLongOutageAtMs <= expiryWindowMs && !known.entry.isLeaving) known.removedAtMs ??= nowMs
    else this.#remove(id, known)
  }

  /** Returns the entry of an endpoint if it exists or may still reappear after an outage. */
  find (id: string, nowMs: number): EndpointEntry | undefined {
    const known = this.#endpoints.get(id)
    if (!known) return undefined
    if (known.removedAtMs !== undefined && nowMs - known.removedAtMs > expiredEntryRetentionMs && nowMs - this.#lastLongOutageAtMs > expiredEntryRetentionMs) {
      this.#remove(id, known)
      return undefined
    }
    return known.entry
  }

  #remove (id: string, { entry }: KnownEndpoint): void {
    this.#endpoints.delete(id)
    this.#gone.set(id, entry.startedAtMs)
    if (this.#gone.size > maxGoneEndpoints) this.#gone.delete(this.#gone.keys().next().value!)
  }

  list (nowMs: number): EndpointEntry[] {
    return [...this.#endpoints.keys()].flatMap(id => this.find(id, nowMs) ?? [])
  }

  /** Lists the endpoints of a service that accept new requests. */
  listUsable (service: string, nowMs: number): EndpointEntry[] {
    return this.list(nowMs).filter(entry => entry.service === service && !entry.isLeaving)
  }
}
