/** Polls an engine's reports and sends an event when the engine restarts, crashes, stops reporting or is lost. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine, EngineReport } from '../../ports/engine.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'

const log = createLog('scheduler')
const reportIntervalMs = 250
/** Interval between reports while nothing runs or waits on the endpoint. */
const idleReportIntervalMs = 1000
/** After this many consecutive missed reports, the engine accepts no requests. */
const maxMissedReports = 4
/** After this time without a report, the requests running on the engine are given up. */
const lostAfterMs = 10_000
/** After a connection loss, an engine that sends no report within this time counts as crashed. */
const crashCheckTimeoutMs = 1000

export type EngineReportMonitorEvent =
  /** The engine has restarted and lost all its state; `incarnation` is the one that ended. */
  | { type: 'restarted', incarnation: string }
  /** A report of the current incarnation; `readAtMs` is the time just before it was requested. */
  | { type: 'report', report: EngineReport, readAtMs: number }
  /** A connection was lost and the engine's incarnation has ended; the engine may not have restarted yet. */
  | { type: 'crashed', incarnation: string }
  /** The engine sends reports, for the first time or again. */
  | { type: 'ready' }
  /** The engine has missed too many reports and accepts no requests for now. */
  | { type: 'silent' }
  /** The engine has sent no report for so long that the requests running on it are given up. */
  | { type: 'lost' }

export interface EngineReportMonitorOptions {
  clock: Clock
  engine: Pick<Engine, 'readReport'>
  endpointId: string
  findAddress: () => string
  /** Whether the owner has no work pending on the endpoint. */
  isQuiet: () => boolean
  send: (event: EngineReportMonitorEvent) => void
}

export class EngineReportMonitor {
  #options: EngineReportMonitorOptions
  #incarnation: string | undefined
  #isReady = false
  /** Whether, by its last report, the engine has no running or queued requests and no adapter being loaded. */
  #isIdle = false
  #missedReports = 0
  #lastReportAtMs: number
  #crashCheck: Promise<void> | undefined
  #reportTimer: Repetition | undefined

  constructor (options: EngineReportMonitorOptions) {
    this.#options = options
    this.#lastReportAtMs = options.clock.readMonotonic()
  }

  /** Changes whenever the engine restarts; undefined before the first report. */
  get incarnation (): string | undefined {
    return this.#incarnation
  }

  /** Whether the engine currently sends reports. */
  get isReady (): boolean {
    return this.#isReady
  }

  start (): void {
    this.#reportTimer = repeatTask(this.#options.clock, reportIntervalMs, async () => {
      if (!this.#canSkipReport()) await this.#readReport()
    }, error => this.#receiveMissedReport(error))
  }

  stop (): void {
    this.#reportTimer?.stop()
  }

  /** Checks whether a connection was lost because the engine crashed. Concurrent checks share one report. */
  async checkForCrash (): Promise<void> {
    this.#crashCheck ??= this.#checkForCrashOnce()
    await this.#crashCheck
  }

  /** An idle engine is polled less often; an engine that missed a report is polled at the full rate. */
  #canSkipReport (): boolean {
    const { clock, isQuiet } = this.#options
    const isRecent = clock.readMonotonic() - this.#lastReportAtMs < idleReportIntervalMs - reportIntervalMs / 2
    return this.#isReady && this.#isIdle && this.#missedReports === 0 && isRecent && isQuiet()
  }

  async #readReport (): Promise<void> {
    const { clock, engine, findAddress, send } = this.#options
    const readAtMs = clock.readMonotonic()
    const report = await engine.readReport(findAddress())
    this.#missedReports = 0
    this.#isIdle = isIdle(report)
    this.#lastReportAtMs = clock.readMonotonic()
    if (report.incarnation !== this.#incarnation) this.#receiveIncarnation(report.incarnation)
    if (!this.#isReady) {
      this.#isReady = true
      send({ type: 'ready' })
    }
    send({ type: 'report', report, readAtMs })
  }

  #receiveIncarnation (incarnation: string): void {
    const previous = this.#incarnation
    this.#incarnation = incarnation
    if (previous === undefined) return
    log('Engine "%s" has restarted and lost its state.', this.#options.endpointId)
    this.#options.send({ type: 'restarted', incarnation: previous })
  }

  #receiveMissedReport (error: Error): void {
    const { clock, endpointId, send } = this.#options
    this.#missedReports++
    if (clock.readMonotonic() - this.#lastReportAtMs > lostAfterMs) send({ type: 'lost' })
    if (!this.#isReady || this.#missedReports < maxMissedReports) return
    log('Engine "%s" does not report: %s.', endpointId, error.message)
    this.#isReady = false
    send({ type: 'silent' })
  }

  async #checkForCrashOnce (): Promise<void> {
    const { clock, engine, findAddress, send } = this.#options
    const { incarnation } = this
    const timeout = new Promise<undefined>(resolve => { clock.setTimer(() => resolve(undefined), crashCheckTimeoutMs) })
    const report = await Promise.race([engine.readReport(findAddress()).catch(() => undefined), timeout])
    this.#crashCheck = undefined
    if (incarnation === undefined || incarnation !== this.#incarnation || report?.incarnation === incarnation) return
    this.#isReady = false
    send({ type: 'crashed', incarnation })
  }
}

function isIdle ({ running, waiting, adapters }: EngineReport): boolean {
  return running === 0 && waiting === 0 && adapters.every(({ state }) => state === 'loaded')
}
