/** Reads an engine's reports again and again and tells when the engine restarts, falls silent or is lost. */
import { createLog } from '../../createLog.js'
import type { Clock } from '../../ports/clock.js'
import type { Engine, EngineReport } from '../../ports/engine.js'
import { repeatTask } from '../../repeatTask.js'
import type { Repetition } from '../../repeatTask.js'

const log = createLog('scheduler')
const reportIntervalMs = 250
/** While nothing runs or waits on the endpoint, reports are read this often. */
const quietReportIntervalMs = 1000
/** An engine that gives no report this often takes no requests. */
const maxMissedReports = 4
/** What runs on an engine that has given no report for this time is given up. */
const lostAfterMs = 10_000
/** After a lost connection, an engine that gives no report for this time is taken for crashed. */
const lossCheckMs = 1000

export type EngineWatchEvent =
  /** The engine has lost everything; `incarnation` is the one that ended. */
  | { type: 'restarted', incarnation: string }
  /** A report, of the engine as it is since the last restart; `readAtMs` is the time before it was asked for. */
  | { type: 'report', report: EngineReport, readAtMs: number }
  /** A connection was lost and the engine is gone, though it has not come back yet. */
  | { type: 'crashed', incarnation: string }
  /** The engine gives reports, for the first time or again. */
  | { type: 'ready' }
  /** The engine takes no requests for now. */
  | { type: 'silent' }
  /** The engine has been silent for so long that what runs there is given up. */
  | { type: 'lost' }

export interface EngineWatchOptions {
  clock: Clock
  engine: Pick<Engine, 'readReport'>
  endpointId: string
  findAddress: () => string
  /** Whether the owner waits for nothing on the endpoint. */
  isQuiet: () => boolean
  send: (event: EngineWatchEvent) => void
}

export class EngineWatch {
  #options: EngineWatchOptions
  #incarnation: string | undefined
  #isReady = false
  /** Whether the last report showed an engine that runs, queues and loads nothing. */
  #isIdle = false
  #missedReports = 0
  #reportedAtMs: number
  #lossCheck: Promise<void> | undefined
  #reports: Repetition | undefined

  constructor (options: EngineWatchOptions) {
    this.#options = options
    this.#reportedAtMs = options.clock.readMonotonic()
  }

  /** Changes whenever the engine restarts; undefined before the first report. */
  get incarnation (): string | undefined {
    return this.#incarnation
  }

  /** Whether the engine gives reports at the moment. */
  get isReady (): boolean {
    return this.#isReady
  }

  start (): void {
    this.#reports = repeatTask(this.#options.clock, reportIntervalMs, async () => {
      if (!this.#canWait()) await this.#readReport()
    }, error => this.#receiveMissedReport(error))
  }

  stop (): void {
    this.#reports?.stop()
  }

  /** Finds out whether a lost connection means that the engine has crashed; checks at one time share a report. */
  async checkLoss (): Promise<void> {
    this.#lossCheck ??= this.#checkLossOnce()
    await this.#lossCheck
  }

  /** A quiet engine that gives reports is asked less often; one that missed a report is asked at the full pace. */
  #canWait (): boolean {
    const { clock, isQuiet } = this.#options
    const isRecent = clock.readMonotonic() - this.#reportedAtMs < quietReportIntervalMs - reportIntervalMs / 2
    return this.#isReady && this.#isIdle && this.#missedReports === 0 && isRecent && isQuiet()
  }

  async #readReport (): Promise<void> {
    const { clock, engine, findAddress, send } = this.#options
    const readAtMs = clock.readMonotonic()
    const report = await engine.readReport(findAddress())
    this.#missedReports = 0
    this.#isIdle = isIdle(report)
    this.#reportedAtMs = clock.readMonotonic()
    if (report.incarnation !== this.#incarnation) this.#receiveIncarnation(report.incarnation)
    if (!this.#isReady) {
      this.#isReady = true
      send({ type: 'ready' })
    }
    send({ type: 'report', report, readAtMs })
  }

  #receiveIncarnation (incarnation: string): void {
    const before = this.#incarnation
    this.#incarnation = incarnation
    if (before === undefined) return
    log('Engine "%s" has restarted empty.', this.#options.endpointId)
    this.#options.send({ type: 'restarted', incarnation: before })
  }

  #receiveMissedReport (error: Error): void {
    const { clock, endpointId, send } = this.#options
    this.#missedReports++
    if (clock.readMonotonic() - this.#reportedAtMs > lostAfterMs) send({ type: 'lost' })
    if (!this.#isReady || this.#missedReports < maxMissedReports) return
    log('Engine "%s" gives no report: %s.', endpointId, error.message)
    this.#isReady = false
    send({ type: 'silent' })
  }

  async #checkLossOnce (): Promise<void> {
    const { clock, engine, findAddress, send } = this.#options
    const { incarnation } = this
    const silence = new Promise<undefined>(resolve => { clock.setTimer(() => resolve(undefined), lossCheckMs) })
    const report = await Promise.race([engine.readReport(findAddress()).catch(() => undefined), silence])
    this.#lossCheck = undefined
    if (incarnation === undefined || incarnation !== this.#incarnation || report?.incarnation === incarnation) return
    this.#isReady = false
    send({ type: 'crashed', incarnation })
  }
}

function isIdle ({ running, waiting, adapters }: EngineReport): boolean {
  return running === 0 && waiting === 0 && adapters.every(({ state }) => state === 'loaded')
}
