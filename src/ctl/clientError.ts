/** Errors of the operators' client, each with its exit code. */
import VError from 'verror'

/** What each exit code tells a script. */
export const exitCodes = Object.freeze({
  done: 0,
  internal: 1,
  /** The command line or the client's settings are wrong. */
  usage: 2,
  /** Another change came first; nothing was changed. */
  conflict: 3,
  /** The system refused: wrong key, unknown name, or a change that is wrong in itself. */
  refused: 4,
  /** No answer, or none that tells whether the change was made. */
  unreachable: 5
})
export type ExitName = keyof typeof exitCodes

/**
 * Builds an error that ends the client; the message says what to do.
 *
 * @example
 * throw createClientError('usage', 'class set takes one NAME; see "sedgevalvectl class --help"')
 */
export function createClientError (exit: ExitName, message: string): VError {
  return new VError({ name: 'ClientError', info: { exit } }, '%s', message)
}

/** The exit code of an error; 1 where it is not one of the client's own. */
export function findExitCode (error: Error): number {
  const { exit } = VError.info(error) as { exit?: ExitName }
  return exit === undefined ? exitCodes.internal : exitCodes[exit]
}
