/** Recognises requests that crash the endpoints they run on, by a hash of what they ask. */
import { maxCrashesPerRequest } from '../constants.js'
import { createNotRun } from '../schemas/verdict.js'
import type { RequestFailure } from '../schemas/verdict.js'

/** `suspect`: ran on an endpoint that crashed; `refused`: crashed so many that no host runs it. */
export type SuspectState = 'clear' | 'suspect' | 'refused'

export interface SuspectOptions {
  maxCrashes: number
  /** How long a suspicion lasts after the last crash, in milliseconds. */
  termMs: number
  maxSuspects: number
}

export const defaultSuspectOptions: SuspectOptions = Object.freeze({
  maxCrashes: maxCrashesPerRequest,
  termMs: 60 * 60 * 1000,
  maxSuspects: 4096
})

/** One suspect as hosts tell it to each other. */
export interface SuspectRecord {
  fingerprint: string
  /** Names of the crashes, `endpointId/incarnation`. */
  crashes: string[]
}

interface Suspect {
  crashes: Set<string>
  seenAtMs: number
}

/**
 * Knows what ran on endpoints when they crashed. Crashes are named, so that one crash that several hosts tell of
 * counts once.
 */
export class SuspectRegister {
  #options: SuspectOptions
  #suspects = new Map<string, Suspect>()

  constructor (options: SuspectOptions = defaultSuspectOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#suspects.size
  }

  /** Merges what is known of a request; returns true where a crash was news. */
  addRecord (record: SuspectRecord, nowMs: number): boolean {
    this.#removeExpired(nowMs)
    const suspect = this.#suspects.get(record.fingerprint) ?? { crashes: new Set<string>(), seenAtMs: nowMs }
    const before = suspect.crashes.size
    for (const crash of record.crashes) suspect.crashes.add(crash)
    if (suspect.crashes.size === before) return false
    suspect.seenAtMs = nowMs
    // Deleting first keeps the map in order of the last crash, which expiry relies on.
    this.#suspects.delete(record.fingerprint)
    this.#suspects.set(record.fingerprint, suspect)
    this.#removeOldest()
    return true
  }

  /** A request that ran to its end beside no crash is no longer a suspect, unless it is refused. */
  recordFinished (fingerprint: string, nowMs: number): void {
    if (this.findState(fingerprint, nowMs) === 'suspect') this.#suspects.delete(fingerprint)
  }

  findState (fingerprint: string, nowMs: number): SuspectState {
    const suspect = this.#suspects.get(fingerprint)
    if (!suspect || nowMs - suspect.seenAtMs > this.#options.termMs) return 'clear'
    return suspect.crashes.size >= this.#options.maxCrashes ? 'refused' : 'suspect'
  }

  /** Lists everything that is known, for a peer that has just connected. */
  listRecords (): SuspectRecord[] {
    return [...this.#suspects].map(([fingerprint, suspect]) => ({ fingerprint, crashes: [...suspect.crashes] }))
  }

  #removeExpired (nowMs: number): void {
    for (const [fingerprint, suspect] of this.#suspects) {
      if (nowMs - suspect.seenAtMs <= this.#options.termMs) return
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

/** The request is refused on every host. */
export function createCrashRefusal (maxCrashes = maxCrashesPerRequest): RequestFailure {
  const message = `requests with this content have crashed ${maxCrashes} endpoints and are not run again; change the request`
  return createNotRun('request_crashes_endpoints', message, 422)
}
