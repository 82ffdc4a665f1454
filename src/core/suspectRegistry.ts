/** Recognizes requests that crash the endpoints they run on, by a hash of the request content. */
import { maxCrashesPerRequest } from '../constants.js'
import type { PartVerdict } from './suspectParts.js'
import { createNotRunFailure } from '../schemas/verdict.js'
import type { RequestFailure } from '../schemas/verdict.js'

/** `suspect`: was running on an endpoint that crashed; `refused`: did so often enough that all hosts reject it. */
export type SuspectState = 'clear' | 'suspect' | 'refused'

export interface SuspectOptions {
  maxCrashes: number
  /** Time after the last crash for which a content stays suspect or refused, in milliseconds. */
  ttlMs: number
  maxSuspects: number
}

export const defaultSuspectOptions: SuspectOptions = Object.freeze({
  maxCrashes: maxCrashesPerRequest,
  ttlMs: 60 * 60 * 1000,
  maxSuspects: 4096
})

/** A suspected request content as hosts report it to each other. */
export interface SuspectRecord {
  /** Hash of the request content. */
  fingerprint: string
  /** Crash IDs, such as `endpointId/incarnation`. */
  crashes: string[]
}

interface Suspect {
  crashes: Set<string>
  lastCrashAtMs: number
}

/**
 * Records which contents were running on endpoints that crashed. Crashes have IDs, so that a crash that several hosts report
 * counts only once.
 */
export class SuspectRegistry {
  #options: SuspectOptions
  #suspects = new Map<string, Suspect>()

  constructor (options: SuspectOptions = defaultSuspectOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#suspects.size
  }

  /** Merges a record into the registry; returns true if it contained a crash that was not known yet. */
  addRecord (record: SuspectRecord, nowMs: number): boolean {
    this.#removeExpired(nowMs)
    const suspect = this.#suspects.get(record.fingerprint) ?? { crashes: new Set<string>(), lastCrashAtMs: nowMs }
    const countBefore = suspect.crashes.size
    for (const crash of record.crashes) suspect.crashes.add(crash)
    if (suspect.crashes.size === countBefore) return false
    suspect.lastCrashAtMs = nowMs
    // Deleting first keeps the map ordered by the last crash, which the removal of expired entries relies on.
    this.#suspects.delete(record.fingerprint)
    this.#suspects.set(record.fingerprint, suspect)
    this.#removeOldest()
    return true
  }

  /** Clears a content after a request with it completed without a crash, unless the content is already refused. */
  recordCompleted (fingerprint: string, nowMs: number): void {
    if (this.findState(fingerprint, nowMs) === 'suspect') this.#suspects.delete(fingerprint)
  }

  /** Removes a crash whose cause has been found elsewhere from all contents, unless they are already refused. */
  removeCrash (crash: string, nowMs: number): void {
    for (const [fingerprint, { crashes }] of this.#suspects) {
      if (crashes.has(crash) && this.findState(fingerprint, nowMs) === 'suspect' && crashes.delete(crash) && crashes.size === 0) this.#suspects.delete(fingerprint)
    }
  }

  findState (fingerprint: string, nowMs: number): SuspectState {
    const suspect = this.#suspects.get(fingerprint)
    if (!suspect || nowMs - suspect.lastCrashAtMs > this.#options.ttlMs) return 'clear'
    return suspect.crashes.size >= this.#options.maxCrashes ? 'refused' : 'suspect'
  }

  /** Lists all records, for a peer that has just connected. */
  listRecords (): SuspectRecord[] {
    return [...this.#suspects].map(([fingerprint, suspect]) => ({ fingerprint, crashes: [...suspect.crashes] }))
  }

  #removeExpired (nowMs: number): void {
    for (const [fingerprint, suspect] of this.#suspects) {
      if (nowMs - suspect.lastCrashAtMs <= this.#options.ttlMs) return
      this.#suspects.delete(fingerprint)
    }
  }

  #removeOldest (): void {
    for (const fingerprint of this.#suspects.keys()) {
      if (this.#suspects.size <= this.#options.maxSuspects) return
      this.#suspects.delete(fingerprint)
    }
  }
}

/** Creates the failure for a content that every host refuses. */
export function createCrashRefusal (maxCrashes = maxCrashesPerRequest): RequestFailure {
  const message = `requests with this content have crashed ${maxCrashes} endpoints and are not run again; change the request`
  return createNotRunFailure('request_crashes_endpoints', message, 422)
}

/** A trial that is due waits for the next request at another host, and for its answer to begin. */
const minTrialRetryMs = 1000

/**
 * Creates the failure for a request with prompt parts that crash engines. Until more crashes confirm the verdict, the request is
 * refused for the time being: `trialInMs` is the time until another request with the parts may run.
 *
 * @example
 * createPartRefusal(verdict, 10_000).status // 503, or 422 for a verdict that is confirmed
 */
export function createPartRefusal ({ parts, crashes, isConfirmed }: PartVerdict, trialInMs: number): RequestFailure {
  const names = parts.map(part => `"${part}"`).join(' and ')
  const message = `requests with the prompt ${parts.length === 1 ? 'part' : 'parts'} ${names} have crashed ${crashes.size} engines and are not run now`
  return isConfirmed
    ? createNotRunFailure('prompt_part_crashes_engines', `${message}; change the prompt`, 422)
    : createNotRunFailure('prompt_part_suspect', message, 503, Math.max(minTrialRetryMs, trialInMs))
}
