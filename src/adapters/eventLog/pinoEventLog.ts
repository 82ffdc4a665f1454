/** Writes structured log lines to standard output and never blocks on a slow reader. */
import { pino } from 'pino'
import type { Logger } from 'pino'
import { LogRateLimiter } from '../../core/logRateLimiter.js'
import type { Clock } from '../../ports/clock.js'
import type { EventFields, EventLog } from '../../ports/eventLog.js'
import { openLineOutput } from './lineOutput.js'

export interface PinoEventLogOptions {
  clock: Clock
  host: string
  session: string
}

/** Opens a log whose buffered lines can be flushed before the process ends. */
export type OpenEventLog = (options: PinoEventLogOptions) => EventLog & { flush: () => Promise<void> }

/** Sustained rate for lines of one kind: three times the rate at which a host refuses requests in the published bursts. */
const linesPerSecond = 60
/** Lines of one kind that can be written at once. */
const burstLines = 200
/** Interval of the lines that report how many lines were omitted or dropped. */
const omittedIntervalMs = 5000

/**
 * Opens the log of a process.
 *
 * @example
 * const log = openEventLog({ clock, host: 'host-1', session: 'a1b2' })
 * log.record('store.lost', 'The store does not respond; the host continues with its local copy.', { ageMs: 900 })
 */
export const openEventLog: OpenEventLog = options => {
  const output = openLineOutput()
  const logger = pino({ base: { host: options.host, session: options.session }, timestamp: pino.stdTimeFunctions.epochTime, messageKey: 'message' }, output)
  const log = new PinoEventLog(logger, options.clock)
  const timer = setInterval(() => log.reportOmitted(output.collectDropped()), omittedIntervalMs)
  timer.unref()
  return { record: (kind, message, fields) => log.record(kind, message, fields), flush: async () => await output.flush() }
}

class PinoEventLog implements EventLog {
  #logger: Logger
  #clock: Clock
  #rateLimiter = new LogRateLimiter({ linesPerSecond, burst: burstLines })

  constructor (logger: Logger, clock: Clock) {
    this.#logger = logger
    this.#clock = clock
  }

  record (kind: string, message: string, fields: EventFields = {}): void {
    const nowMs = this.#clock.readMonotonic()
    if (this.#rateLimiter.tryTakeLine(kind, nowMs)) this.#logger.info({ ...fields, kind, upMs: Math.round(nowMs) }, message)
  }

  /** Logs the counts of lines left out since the last call: `omitted` by the rate limit, `dropped` by the full buffer. */
  reportOmitted (dropped: number): void {
    const omitted = this.#rateLimiter.collectOmitted()
    if (Object.keys(omitted).length === 0 && dropped === 0) return
    this.#logger.info({ kind: 'log.omitted', omitted, dropped }, 'Some log lines were omitted or dropped to limit the log volume.')
  }
}
