/** Debug log: one logger for each component, with the component's name as the prefix of its lines. */
import debug from 'debug'

/** Writes one line. Supports the placeholders of the `debug` package: `%s`, `%d`, `%o`. */
export type Log = (message: string, ...values: unknown[]) => void

/**
 * Creates the logger of one component. Its lines are printed if `DEBUG` includes the component.
 *
 * @example
 * const log = createLog('gateway')
 * log('Link to scheduler "%s" is open.', hostId)
 */
export function createLog (component: string): Log {
  return debug(`sedgevalve:${component}`)
}

/** Enables the loggers that `DEBUG` selects, or all of them if it is not set. */
export function enableLogs (): void {
  debug.enable(process.env.DEBUG ?? 'sedgevalve:*')
}
