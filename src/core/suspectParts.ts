/**
 * Finds the prompt parts that crash engines. Each crash leaves a set of candidates: the parts of the requests that had been sent
 * to the engine and had not begun their answers. A part on which an answer has begun since is not the cause. The smallest set of
 * parts that explains the crashes is refused.
 */

import { isCombination } from './sharedParts.js'

/** A crash beneath requests with a part, as one host has observed it. */
export interface PartCrash {
  /** Id of the part, or the name of its combination with an adapter version. */
  part: string
  /** Crash ID, the same on all hosts. */
  crash: string
  /** Fingerprint of the latest of the requests; parts that only one request holds are left to the check of whole contents. */
  request: string
  /** How long before its engine's crash was noticed that request had been sent, in milliseconds. */
  sentAgoMs: number
}

/** Parts that are refused where a request holds all of them; several if the crashes cannot tell which one is the cause. */
export interface PartVerdict {
  readonly parts: readonly string[]
  readonly crashes: ReadonlySet<string>
  /** When one request may run to show whether the part still crashes engines, in milliseconds of the monotonic clock. */
  readonly trialAtMs: number
  /** Whether more crashes than chance would explain lie beneath the parts; otherwise requests are refused for the time being. */
  readonly isConfirmed: boolean
}

export interface SuspectPartsOptions {
  /** Number of answers that have begun on a part, on any host as far as known. */
  countServed: (part: string) => number
  maxSuspects: number
}

/** Crashes beneath a part on which no answer has ever begun, before it is refused. */
const minCrashes = 2
/** Most combinations of a part and an adapter version are rare, so that fewer crashes may lie beneath one by chance. */
const minCrashesOfCombination = 3
/** Crashes beneath a part that has been answered before, plus one for each doubling of its answers up to `maxExtraCrashes`. */
const minCrashesIfServed = 3
const maxExtraCrashes = 5
const minConfirmedCrashes = 3
/** The crashes of one request that is repeated may have the rest of its content as their cause. */
const minRequests = 2
/** An engine takes some seconds to restart and to load its adapters; a trial costs that at worst. */
const firstTrialDelayMs = 10_000
const maxTrialDelayMs = 60 * 60 * 1000
/** Each crash after the first trial multiplies the delay of the next one. */
const trialDelayFactor = 3
const ttlMs = 60 * 60 * 1000

interface CrashEvidence {
  requests: Set<string>
  /** Whether its request was sent after the crash before it was known, so that the two do not have one cause, such as a lost zone. */
  isIndependent: boolean
}

interface Suspect {
  crashes: Map<string, CrashEvidence>
  lastCrashAtMs: number
  lastTrialAtMs: number
}

interface Candidate {
  part: string
  suspect: Suspect
  served: number
  /** Crashes that no other part explains. */
  crashes: string[]
  /** Fingerprints of the requests with the part beneath these crashes. */
  requests: Set<string>
}

export class SuspectParts {
  #options: SuspectPartsOptions
  #suspects = new Map<string, Suspect>()
  #verdicts: PartVerdict[] | undefined

  constructor (options: SuspectPartsOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#suspects.size
  }

  /** Adds evidence; returns whether the crash was not known beneath this part. */
  addCrash ({ part, crash, request, sentAgoMs }: PartCrash, nowMs: number): boolean {
    this.#removeExpired(nowMs)
    const suspect = this.#suspects.get(part) ?? { crashes: new Map<string, CrashEvidence>(), lastCrashAtMs: -Infinity, lastTrialAtMs: -Infinity }
    const isIndependent = nowMs - sentAgoMs > suspect.lastCrashAtMs
    const known = suspect.crashes.get(crash)
    this.#verdicts = undefined
    if (known) {
      known.requests.add(request)
      return false
    }
    suspect.crashes.set(crash, { requests: new Set([request]), isIndependent })
    suspect.lastCrashAtMs = nowMs
    // Deleting first keeps the map ordered by the last crash.
    this.#suspects.delete(part)
    this.#suspects.set(part, suspect)
    this.#removeExcess()
    return true
  }

  /** Clears a part, as an answer has begun on it; returns the number of its crashes. */
  clear (part: string): number {
    const crashCount = this.countCrashes(part)
    if (this.#suspects.delete(part)) this.#verdicts = undefined
    return crashCount
  }

  /** Has the verdicts built anew, as more answers are known to have begun on a part. */
  invalidateVerdicts (): void {
    this.#verdicts = undefined
  }

  /** Removes one crash of a part. */
  removeCrash (part: string, crash: string): void {
    const suspect = this.#suspects.get(part)
    if (!suspect?.crashes.delete(crash)) return
    if (suspect.crashes.size === 0) this.#suspects.delete(part)
    this.#verdicts = undefined
  }

  countCrashes (part: string): number {
    return this.#suspects.get(part)?.crashes.size ?? 0
  }

  /** Lists the crashes beneath a part, each with one of the requests. */
  listCrashes (part: string): { crash: string, request: string }[] {
    return [...this.#suspects.get(part)?.crashes ?? []].map(([crash, { requests }]) => ({ crash, request: [...requests][0]! }))
  }

  /** Finds the verdict by which a request with these parts is refused. */
  findVerdict (parts: readonly string[]): PartVerdict | undefined {
    return this.listVerdicts().find(verdict => verdict.parts.every(part => parts.includes(part)))
  }

  /** Records that a request which a verdict applies to is run as a trial. */
  recordTrial ({ parts }: PartVerdict, nowMs: number): void {
    for (const part of parts) this.#suspects.get(part)!.lastTrialAtMs = nowMs
    this.#verdicts = undefined
  }

  /**
   * Lists the verdicts: repeatedly takes the part beneath most of the crashes that are left, those never answered first, until
   * none has enough of them.
   */
  listVerdicts (): readonly PartVerdict[] {
    this.#verdicts ??= this.#buildVerdicts()
    return this.#verdicts
  }

  #buildVerdicts (): PartVerdict[] {
    const verdicts: PartVerdict[] = []
    let candidates = [...this.#suspects].filter(([, { crashes }]) => crashes.size >= minCrashes)
      .map(([part, suspect]) => createCandidate(part, suspect, this.#options.countServed(part), [...suspect.crashes.keys()]))
    for (;;) {
      candidates = candidates.filter(isRefusable).sort(compareCandidates)
      const [cause] = candidates
      if (!cause) return verdicts
      const explained = new Set(cause.crashes)
      const equal = candidates.filter(candidate => isIndistinguishable(candidate, cause))
      verdicts.push(createVerdict(equal, explained))
      candidates = candidates.filter(candidate => !equal.includes(candidate))
        .map(({ part, suspect, served, crashes }) => createCandidate(part, suspect, served, crashes.filter(crash => !explained.has(crash))))
    }
  }

  #removeExpired (nowMs: number): void {
    for (const [part, { lastCrashAtMs }] of this.#suspects) {
      if (nowMs - lastCrashAtMs <= ttlMs) return
      this.#suspects.delete(part)
    }
  }

  /** Removes the suspects with the fewest crashes first, so that callers with many parts do not displace a part that is refused. */
  #removeExcess (): void {
    if (this.#suspects.size <= this.#options.maxSuspects) return
    let [excess] = this.#suspects
    for (const entry of this.#suspects) {
      if (entry[1].crashes.size < excess![1].crashes.size) excess = entry
      if (excess![1].crashes.size === 1) break
    }
    this.#suspects.delete(excess![0])
  }
}

function createCandidate (part: string, suspect: Suspect, served: number, crashes: string[]): Candidate {
  return { part, suspect, served, crashes, requests: new Set(crashes.flatMap(crash => [...suspect.crashes.get(crash)!.requests])) }
}

/** Orders parts that were never answered first, then those beneath most crashes and in most requests; parts go before combinations. */
function compareCandidates (left: Candidate, right: Candidate): number {
  return Number(left.served > 0) - Number(right.served > 0) || right.crashes.length - left.crashes.length ||
    right.requests.size - left.requests.size || Number(isCombination(left.part)) - Number(isCombination(right.part))
}

/** Whether a part lies beneath the same crashes as the cause, in the same requests, so that either of them may be at fault. */
function isIndistinguishable ({ part, crashes, requests }: Candidate, cause: Candidate): boolean {
  return isCombination(part) === isCombination(cause.part) &&
    crashes.length === cause.crashes.length && crashes.every(crash => cause.crashes.includes(crash)) &&
    [...requests].some(request => cause.requests.has(request))
}

function isRefusable ({ part, suspect, served, crashes, requests }: Candidate): boolean {
  if (requests.size < minRequests) return false
  if (served === 0) return crashes.length >= (isCombination(part) ? minCrashesOfCombination : minCrashes)
  const extraCrashes = Math.min(maxExtraCrashes, Math.ceil(Math.log2(1 + served)))
  return crashes.filter(crash => suspect.crashes.get(crash)!.isIndependent).length >= minCrashesIfServed + extraCrashes
}

function createVerdict (equal: readonly Candidate[], crashes: ReadonlySet<string>): PartVerdict {
  const delayMs = Math.min(maxTrialDelayMs, firstTrialDelayMs * trialDelayFactor ** Math.max(0, crashes.size - minCrashes))
  const lastEventAtMs = Math.max(...equal.map(({ suspect }) => Math.max(suspect.lastCrashAtMs, suspect.lastTrialAtMs)))
  return {
    parts: equal.map(({ part }) => part),
    crashes,
    trialAtMs: lastEventAtMs + delayMs,
    isConfirmed: crashes.size >= minConfirmedCrashes
  }
}
