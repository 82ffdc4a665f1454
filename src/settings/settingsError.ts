/** Wrong settings, told in one line that names file, section, key and what is expected. */
import VError from 'verror'

const errorName = 'WrongSettings'
/** Exit code of a process that was started wrongly. */
export const wrongSettingsExitCode = 2

/** Builds the error; the message is for the operator. */
export function createSettingsError (message: string): VError {
  return new VError({ name: errorName }, '%s', message)
}

export function isSettingsError (error: unknown): boolean {
  return error instanceof Error && VError.hasCauseWithName(error, errorName)
}
