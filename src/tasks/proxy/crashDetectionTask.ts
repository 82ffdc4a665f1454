/** Detects that an endpoint crashed while it was running requests of this host. */
import { CrashDetector } from '../../core/crashDetector.js'
import type { CrashNotice, InterruptedRequest } from '../../core/crashDetector.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EndpointEntry } from '../../schemas/routing.js'

export interface CrashDetectionTaskOptions {
  clock: Clock
  log: EventLog
  /** Whether an endpoint has announced that it is leaving, so that no request is to blame when its process ends. */
  isLeaving: (endpointId: string) => boolean
  /** Whether this host reaches another endpoint, or there is none, so that a refused connection speaks of the endpoint alone. */
  hasOtherContact: (endpointId: string) => Promise<boolean>
  /** Reports that an endpoint crashed while requests of this host were running on it. */
  reportCrash: (notice: CrashNotice) => void
}

/** Delays before later probes: a process that exits may close its connections shortly before its listening port. */
const probeDelaysMs = [60, 250]

export class CrashDetectionTask {
  #options: CrashDetectionTaskOptions
  #detector = new CrashDetector()
  /** First probe of each endpoint that is being probed, by endpoint id. */
  #firstProbes = new Map<string, Promise<void>>()

  constructor (options: CrashDetectionTaskOptions) {
    this.#options = options
  }

  /** Checks whether an endpoint has crashed after its connection closed during a request. Resolves after the first probe. */
  async receiveInterruption (interruption: InterruptedRequest, link: EndpointLink): Promise<void> {
    const { endpointId } = interruption
    if (this.#options.isLeaving(endpointId)) return
    this.#report(this.#detector.recordInterruption(interruption, this.#options.clock.readMonotonic()), 'the process was already known to have crashed')
    if (!this.#detector.hasUnexplainedInterruptions(endpointId)) return
    const firstProbe = this.#firstProbes.get(endpointId) ?? this.#probe(endpointId, link)
    this.#firstProbes.set(endpointId, firstProbe)
    await firstProbe
  }

  /** Records a crash that another host has detected. */
  receiveCrash (crash: string): void {
    this.#detector.recordRemoteCrash(crash, this.#options.clock.readMonotonic())
  }

  receiveEntry (endpointId: string, entry: EndpointEntry | undefined): void {
    if (entry) this.#report(this.#detector.recordProcessStart(endpointId, entry.startedAtMs, this.#options.clock.readMonotonic()), 'the endpoint entry reports a later start time')
    else this.#detector.remove(endpointId)
  }

  /** Probes an endpoint now and, unless it refuses the connection, again after each delay. Resolves after the first probe. */
  async #probe (endpointId: string, link: EndpointLink): Promise<void> {
    const hasCrashed = await this.#probeOnce(endpointId, link)
    if (hasCrashed) this.#firstProbes.delete(endpointId)
    else this.#probeAgain(endpointId, link)
  }

  async #probeAgain (endpointId: string, link: EndpointLink): Promise<void> {
    for (const delayMs of probeDelaysMs) {
      await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, delayMs) })
      if (!this.#detector.hasUnexplainedInterruptions(endpointId) || await this.#probeOnce(endpointId, link)) break
    }
    this.#firstProbes.delete(endpointId)
  }

  /** Returns whether the endpoint refused the connection, which means that no process listens on its port, unless this host has lost its links to all. */
  async #probeOnce (endpointId: string, link: EndpointLink): Promise<boolean> {
    if (await link.probe() !== 'refused' || !await this.#options.hasOtherContact(endpointId)) return false
    this.#report(this.#detector.recordConnectionRefused(endpointId, this.#options.clock.readMonotonic()), 'the port of the endpoint refuses connections')
    return true
  }

  #report (notice: CrashNotice | undefined, evidence: string): void {
    if (!notice) return
    const { log, reportCrash } = this.#options
    log.record('endpoint.crashed', 'An endpoint crashed while requests were running on it; the crash is counted against them.', {
      crash: notice.crash, contents: notice.requests.map(({ content }) => content), unanswered: notice.requests.filter(({ hasBegun }) => !hasBegun).length, sign: evidence
    })
    reportCrash(notice)
  }
}
