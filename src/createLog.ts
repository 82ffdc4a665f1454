/** Log lines: short sentences with a fixed prefix for each part. */
import debug from 'debug'

/** Formats as `debug` does: `%s`, `%d`, `%o`. */
export type Log = (sentence: string, ...values: unknown[]) => void

/**
 * Creates the log of one part; lines appear where `DEBUG` names the part.
 *
 * @example
 * const log = createLog('gateway')
 * log('Link to scheduler "%s" is open.', hostId)
 */
export function createLog (part: string): Log {
  return debug(`sedgevalve:${part}`)
}

/** Turns on the parts that `DEBUG` names, or all of them where it names none. */
export function openLogs (): void {
  debug.enable(process.env.DEBUG ?? 'sedgevalve:*')
}
