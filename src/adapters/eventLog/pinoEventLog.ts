/** Writes structured log lines to standard output without ever waiting for its reader. */
import { pino } from 'pino'
import type { Logger } from 'pino'
import { LineBudget } from '../../core/lineBudget.js'
import type { Clock } from '../../ports/clock.js'
import type { EventFields, EventLog } from '../../ports/eventLog.js'

export interface PinoEventLogOptions {
  clock: Clock
  host: string
  session: string
}

/** A log that can be emptied before the process ends. */
export type OpenLog = (options: PinoEventLogOptions) => EventLog & { flush: () => void }

/** Lines of one kind a second: three times the refusals of a host in the published bursts. */
const linesPerSecond = 60
const burst = 200
/** Time between two lines that count what was left out. */
const omittedIntervalMs = 5000
/** Bytes that wait for a reader; lines beyond are dropped and counted. */
const maxBufferedBytes = 1024 * 1024

/**
 * Opens the log of a process.
 *
 * @example
 * const log = openEventLog({ clock, host: 'front-1', session: 'a1b2' })
 * log.record('store.lost', 'The store does not answer; the host goes on with what it knows.', { ageMs: 900 })
 */
export const openEventLog: OpenLog = options => {
  const destination = pino.destination({ dest: 1, sync: false, minLength: 0, maxLength: maxBufferedBytes })
  let dropped = 0
  destination.on('drop', () => { dropped++ })
  const logger = pino({ base: { host: options.host, session: options.session }, timestamp: pino.stdTimeFunctions.epochTime, messageKey: 'message' }, destination)
  const log = new PinoEventLog(logger, options.clock)
  const timer = setInterval(() => {
    log.reportOmitted(dropped)
    dropped = 0
  }, omittedIntervalMs)
  timer.unref()
  return { record: (kind, message, fields) => log.record(kind, message, fields), flush: () => destination.flushSync() }
}

class PinoEventLog implements EventLog {
  #logger: Logger
  #clock: Clock
  #budget = new LineBudget({ linesPerSecond, burst })

  constructor (logger: Logger, clock: Clock) {
    this.#logger = logger
    this.#clock = clock
  }

  record (kind: string, message: string, fields: EventFields = {}): void {
    const nowMs = this.#clock.readMonotonic()
    if (this.#budget.takeLine(kind, nowMs)) this.#logger.info({ ...fields, kind, upMs: Math.round(nowMs) }, message)
  }

  reportOmitted (dropped: number): void {
    const omitted = this.#budget.collectOmitted()
    if (Object.keys(omitted).length === 0 && dropped === 0) return
    this.#logger.info({ kind: 'log.omitted', omitted, dropped }, 'Log lines were left out to bound the volume.')
  }
}
