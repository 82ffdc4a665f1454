/**
 * Finds on every host which prompt parts crash engines, and has requests with them refused. Hosts notify each other directly of
 * each crash, and of answers that prove a part sound; crashes beneath parts that may be refused are also written to the store.
 */
import type { InterruptedRequest } from '../../core/crashDetector.js'
import { computeHash } from '../../core/rendezvousHash.js'
import { ServedFingerprints } from '../../core/servedFingerprints.js'
import { createPartRefusal, defaultSuspectOptions } from '../../core/suspectRegistry.js'
import { SuspectParts } from '../../core/suspectParts.js'
import type { PartCrash, PartVerdict } from '../../core/suspectParts.js'
import type { Clock, Timer } from '../../ports/clock.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { SuspectMessage } from '../../schemas/datagram.js'
import { formatPartFingerprint, parsePartFingerprint } from '../../schemas/hostRows.js'
import type { SuspectRow } from '../../schemas/hostRows.js'
import type { RequestFailure } from '../../schemas/verdict.js'
import type { SuspectRowStore } from './suspectRowStore.js'

export interface SuspectPartTaskOptions {
  clock: Clock
  log: EventLog
  own: { host: string }
  /** Names of all hosts, this one included. */
  listHostNames: () => string[]
  /** Sends a message to all other hosts. */
  notifyOthers: (message: SuspectMessage) => void
  rowStore: Pick<SuspectRowStore, 'save' | 'remove'>
  random: () => number
  /** Called when requests that hold all of these parts start to be refused. */
  receivePartsRefused: (parts: readonly string[]) => void
  /** Called with each crash that a refused part explains, so that no other request is blamed for it. */
  receiveExplainedCrash: (crash: string) => void
}

/** Limit on the parts that one host reports for one crash; a caller may send prompts of very many parts. */
const maxReportedParts = 64
/** Engines that are not at fault have begun to answer within this time. */
const saveDelayMs = 200
/** A part that has been answered before is not refused for fewer crashes. */
const minSavedCrashesIfServed = 3
/** A trial has shown its result on all hosts within this time, so the hosts become eligible for one in turn. */
const trialStaggerMs = 2000
/** Hosts that know a part to be sound spread their objections, so that most of them hear another host's first. */
const objectionSpreadMsPerHost = 1
const maxObjectionSpreadMs = 50

export class SuspectPartTask {
  #options: SuspectPartTaskOptions
  #served = new ServedFingerprints()
  #suspects = new SuspectParts({ countServed: part => this.#served.getCount(part), maxSuspects: defaultSuspectOptions.maxSuspects })
  /** Objections that are about to be sent, by part. */
  #objections = new Map<string, Timer>()
  /** Verdicts that have been announced, each as its parts and its number of crashes. */
  #announced = new Set<string>()

  constructor (options: SuspectPartTaskOptions) {
    this.#options = options
  }

  stop (): void {
    for (const timer of this.#objections.values()) timer.cancel()
  }

  /** Returns the failure for a request with these parts; undefined where it may run. */
  findRefusal (parts: readonly string[]): RequestFailure | undefined {
    const verdict = this.#suspects.findVerdict(parts)
    return verdict && createPartRefusal(verdict, verdict.trialAtMs - this.#options.clock.readMonotonic())
  }

  /** Whether engines have crashed beneath one of these parts, on which no answer has begun on any host as far as known. */
  hasSuspect (parts: readonly string[]): boolean {
    return parts.some(part => this.#suspects.countCrashes(part) > 0 && this.#served.getCount(part) === 0)
  }

  /** Whether a part is refused, alone or together with others. */
  isRefused (part: string): boolean {
    return this.#suspects.listVerdicts().some(verdict => verdict.parts.includes(part))
  }

  /** Lets a request that is refused run as a trial if one is due on this host; returns whether it may run. */
  tryBeginTrial (parts: readonly string[]): boolean {
    const { clock, log, listHostNames, own } = this.#options
    const verdict = this.#suspects.findVerdict(parts)
    const nowMs = clock.readMonotonic()
    if (!verdict || nowMs < verdict.trialAtMs) return false
    const ranked = listHostNames().map(host => ({ host, hash: computeHash(`trial ${verdict.parts.join(' ')} ${host}`) })).sort((left, right) => right.hash - left.hash)
    const rank = Math.max(0, ranked.findIndex(({ host }) => host === own.host))
    if (nowMs < verdict.trialAtMs + rank * trialStaggerMs) return false
    this.#suspects.recordTrial(verdict, nowMs)
    log.record('suspect.partTried', 'Running one request with refused parts, to find whether they still crash engines.', { parts: verdict.parts, crashes: verdict.crashes.size })
    return true
  }

  /** Makes the trial of these parts due again, as it was not sent to an engine. */
  cancelTrial (parts: readonly string[]): void {
    const verdict = this.#suspects.findVerdict(parts)
    if (verdict) this.#suspects.recordTrial(verdict, -Infinity)
  }

  /** Whether a refused part explains a crash. */
  isExplained (crash: string): boolean {
    return this.#suspects.listVerdicts().some(({ crashes }) => crashes.has(crash))
  }

  /** Records that an engine has begun its answer to a request with these parts, so that none of them crashes engines. */
  recordServed (parts: readonly string[]): void {
    for (const part of parts) {
      const wasKnown = this.#served.getCount(part) > 0
      this.#served.record(part)
      const crashCount = this.#clear(part)
      if (crashCount > 1 || (crashCount === 1 && !wasKnown)) this.#announceSound(part, true)
    }
  }

  /** Reports a crash of an engine that had not begun its answers to these requests. */
  reportCrash (crash: string, requests: readonly InterruptedRequest[]): void {
    const nowMs = this.#options.clock.readMonotonic()
    const latest = new Map<string, InterruptedRequest>()
    for (const request of requests) {
      for (const part of request.parts) if (request.sentAtMs >= (latest.get(part)?.sentAtMs ?? -Infinity)) latest.set(part, request)
    }
    const rank = (part: string): number => this.#suspects.countCrashes(part) - this.#served.getCount(part)
    const reported = [...latest].sort(([left], [right]) => rank(right) - rank(left)).slice(0, maxReportedParts)
    for (const [part, { content, sentAtMs }] of reported) {
      const sentAgoMs = nowMs - sentAtMs
      this.#addCrash({ part, crash, request: content, sentAgoMs })
      this.#options.notifyOthers({ type: 'suspect', fingerprint: formatPartFingerprint(part), crashes: [crash], request: content, sentAgoMs, served: this.#served.getCount(part) })
    }
    // Most parts are found sound at once; rows reach the hosts that messages do not.
    this.#options.clock.setTimer(() => { for (const [part] of reported) this.#saveRows(part) }, saveDelayMs)
    this.#announceVerdicts()
  }

  /** Receives another host's message about a part. */
  receiveMessage ({ fingerprint, crashes, request = '', sentAgoMs = 0, served = 0, isSound = false }: SuspectMessage): void {
    const part = parsePartFingerprint(fingerprint)!
    if (served > 0) {
      this.#served.merge(part, served)
      this.#suspects.invalidateVerdicts()
      this.#objections.get(part)?.cancel()
      this.#objections.delete(part)
    }
    if (isSound) this.#clear(part)
    const isNew = crashes.map(crash => this.#addCrash({ part, crash, request, sentAgoMs })).includes(true)
    if (isNew && served === 0 && this.#served.getCount(part) > 0) this.#scheduleObjection(part)
    this.#announceVerdicts()
  }

  /** Applies a row of the store that was added or, where `row` is undefined, removed. */
  applyRow (fingerprint: string, crash: string, row: SuspectRow | undefined): void {
    const part = parsePartFingerprint(fingerprint)!
    if (row) this.#addCrash({ part, crash, request: row.request ?? crash, sentAgoMs: 0 })
    else this.#suspects.removeCrash(part, crash)
    this.#announceVerdicts()
  }

  #addCrash (evidence: PartCrash): boolean {
    const { clock, log } = this.#options
    const { part, crash } = evidence
    if (!this.#suspects.addCrash(evidence, clock.readMonotonic())) return false
    log.record('suspect.partCounted', 'An engine crashed that had not begun its answers to requests with this prompt part.', {
      part, crash, request: evidence.request, crashes: this.#suspects.countCrashes(part), served: this.#served.getCount(part)
    })
    return true
  }

  /** Clears a part and its rows; returns the number of crashes that had been counted. */
  #clear (part: string): number {
    const wasRefused = this.isRefused(part)
    const crashCount = this.#suspects.clear(part)
    if (crashCount > 0) this.#options.rowStore.remove(formatPartFingerprint(part))
    if (wasRefused) this.#options.log.record('suspect.partCleared', 'An engine has begun an answer on a refused prompt part, which is accepted again.', { part, crashes: crashCount })
    return crashCount
  }

  /** Saves the crashes of a part that may be refused. */
  #saveRows (part: string): void {
    const crashCount = this.#suspects.countCrashes(part)
    if (crashCount === 0 || (this.#served.getCount(part) > 0 && crashCount < minSavedCrashesIfServed)) return
    const fingerprint = formatPartFingerprint(part)
    this.#options.rowStore.save(this.#suspects.listCrashes(part).map(({ crash, request }) => ({ fingerprint, crash, request })))
  }

  #announceSound (part: string, isSound: boolean): void {
    this.#options.notifyOthers({ type: 'suspect', fingerprint: formatPartFingerprint(part), crashes: [], served: this.#served.getCount(part), isSound })
  }

  /** Tells the other hosts that this host has seen answers begin on the part, unless another host does so first. */
  #scheduleObjection (part: string): void {
    if (this.#objections.has(part)) return
    const { clock, random, listHostNames } = this.#options
    const spreadMs = Math.min(maxObjectionSpreadMs, listHostNames().length * objectionSpreadMsPerHost)
    this.#objections.set(part, clock.setTimer(() => {
      this.#objections.delete(part)
      this.#announceSound(part, false)
    }, random() * spreadMs))
  }

  #announceVerdicts (): void {
    const verdicts = this.#suspects.listVerdicts()
    const keys = verdicts.map(formatVerdict)
    for (const key of this.#announced) if (!keys.includes(key)) this.#announced.delete(key)
    for (const [index, verdict] of verdicts.entries()) {
      const key = keys[index]!
      if (this.#announced.has(key)) continue
      this.#announced.add(key)
      this.#announce(verdict)
    }
  }

  #announce ({ parts, crashes, isConfirmed }: PartVerdict): void {
    const { log, receivePartsRefused, receiveExplainedCrash } = this.#options
    log.record('suspect.partRefused', 'Refusing requests that hold these prompt parts from now on, as they crash engines.', { parts, crashes: [...crashes], isConfirmed })
    for (const crash of crashes) receiveExplainedCrash(crash)
    receivePartsRefused(parts)
  }
}

function formatVerdict ({ parts, crashes }: PartVerdict): string {
  return `${parts.join(' ')} ${crashes.size}`
}
