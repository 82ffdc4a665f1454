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
  host: string
  /** Whether an endpoint has said that it leaves, so that its end is none that a request caused. */
  isLeaving: (endpointId: string) => boolean
  /** An endpoint went away while requests of these contents ran on it. */
  reportCrash: (crash: string, contents: readonly string[]) => void
}

/** Pauses before the probes of an endpoint; a process that ends closes its connections a little before its port, or after it. */
const probePausesMs = [0, 60, 250]

export class CrashTask {
  #options: CrashTaskOptions
  #watch = new CrashWatch()
  #probing = new Set<string>()

  constructor (options: CrashTaskOptions) {
    this.#options = options
  }

  /** The connection to an endpoint ended beneath a request: finds out whether the endpoint is gone. */
  receiveCut (cut: CutRequest, link: EndpointLink): void {
    if (this.#options.isLeaving(cut.endpointId)) return
    this.#report(this.#watch.recordCut(cut, this.#options.clock.readMonotonic()), 'a later cut')
    if (this.#watch.hasOpenCuts(cut.endpointId)) this.#probe(cut.endpointId, link)
  }

  receiveEntry (endpointId: string, entry: EndpointEntry | undefined): void {
    if (entry) this.#report(this.#watch.recordStart(endpointId, entry.startedAtMs, this.#options.clock.readMonotonic()), 'its entry tells of a later start')
    else this.#watch.forget(endpointId)
  }

  async #probe (endpointId: string, link: EndpointLink): Promise<void> {
    if (this.#probing.has(endpointId)) return
    this.#probing.add(endpointId)
    for (const pauseMs of probePausesMs) {
      if (pauseMs > 0) await new Promise<void>(resolve => { this.#options.clock.setTimer(resolve, pauseMs) })
      if (!this.#watch.hasOpenCuts(endpointId)) break
      if (await link.probe() !== 'refused') continue
      this.#report(this.#watch.recordRefused(endpointId, this.#options.clock.readMonotonic()), 'its port refuses connections')
      break
    }
    this.#probing.delete(endpointId)
  }

  #report (notice: CrashNotice | undefined, sign: string): void {
    if (!notice) return
    const { log, host, reportCrash } = this.#options
    log.record('endpoint.crashed', 'An endpoint went away while requests ran on it; their contents are counted.', { ...notice, sign })
    reportCrash(`${notice.crash}/${host}`, notice.contents)
  }
}
