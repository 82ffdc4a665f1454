/** Notices that an endpoint crashed beneath requests of this host. */
import { CrashWatch } from '../../core/crashWatch.js'
import type { CrashNotice, CutRequest } from '../../core/crashWatch.js'
import type { Clock } from '../../ports/clock.js'
import type { EndpointLink } from '../../ports/endpointLink.js'
import type { EventLog } from '../../ports/eventLog.js'
import type { EndpointEntry } from '../../schemas/routing.js'

export interface CrashTaskOptions {
  clock: Clock
  log: EventLog
  /** Whether an endpoint has said that it leaves, so that its end is none that a request caused. */
  isLeaving: (endpointId: string) => boolean
  /** An endpoint went away while requests of these contents ran on it. */
  reportCrash: (crash: string, contents: readonly string[]) => void
}

/** Pauses before the later probes of an endpoint, as a process that ends may close its connections a little before its port. */
const probePausesMs = [60, 250]

export class CrashTask {
  #options: CrashTaskOptions
  #watch = new CrashWatch()
  /** Endpoints that are being probed, with the first probe of each. */
  #firstProbes = new Map<string, Promise<void>>()

  constructor (options: CrashTaskOptions) {
    this.#options = options
  }

  /** The connection to an endpoint ended beneath a request: finds out whether the endpoint is gone. Resolves after the first look at it. */
  async receiveCut (cut: CutRequest, link: EndpointLink): Promise<void> {
    const { endpointId } = cut
    if (this.#options.isLeaving(endpointId)) return
    this.#report(this.#watch.recordCut(cut, this.#options.clock.readMonotonic()), 'an earlier crash')
    if (!this.#watch.hasOpenCuts(endpointId)) return
    const first = this.#firstProbes.get(endpointId) ?? this.#probe(endpointId, link)
    this.#firstProbes.set(endpointId, first)
    await first
  }

  /** Another host noticed a crash. */
  receiveCrash (crash: string): void {
    this.#watch.recordCrash(crash, this.#options.clock.readMonotonic())
  }

  receiveEntry (endpointId: string, entry: EndpointEntry | undefined): void {
    if (entry) this.#report(this.#watch.recordStart(endpointId, entry.startedAtMs, this.#options.clock.readMonotonic()), 'its entry tells of a later start')
    else this.#watch.forget(endpointId)
  }

  /** Probes an endpoint now, and again a little later; resolves after the first probe. */
  async #probe (endpointId: string, link: EndpointLink): Promise<void> {
    const hasEnded = await this.#probeOnce(endpointId, link)
    if (hasEnded) this.#firstProbes.delete(endpointId)
    else this.#probeAgain(endpointId, link)
  }

  async #probeAgain (endpointId: string, link: EndpointLink): Promise<void> {
    for (const pauseMs of probePausesMs) {
      await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, pauseMs) })
      if (!this.#watch.hasOpenCuts(endpointId) || await this.#probeOnce(endpointId, link)) break
    }
    this.#firstProbes.delete(endpointId)
  }

  async #probeOnce (endpointId: string, link: EndpointLink): Promise<boolean> {
    if (await link.probe() !== 'refused') return false
    this.#report(this.#watch.recordRefused(endpointId, this.#options.clock.readMonotonic()), 'its port refuses connections')
    return true
  }

  #report (notice: CrashNotice | undefined, sign: string): void {
    if (!notice) return
    const { log, reportCrash } = this.#options
    log.record('endpoint.crashed', 'An endpoint went away while requests ran on it; their contents are counted.', { ...notice, sign })
    reportCrash(notice.crash, notice.contents)
  }
}
