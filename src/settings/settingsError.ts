/** The error for invalid settings: one line that names the file, section, key and expected value. */
import VError from 'verror'

const errorName = 'WrongSettings'
/** Exit code of a process with invalid settings or command-line arguments. */
export const invalidSettingsExitCode = 2

/** Creates the error; `message` is shown to the operator. */
export function createSettingsError (message: string): VError {
  return new VError({ name: errorName }, '%s', message)
}

export function isSettingsError (error: unknown): boolean {
  return error instanceof Error && VError.hasCauseWithName(error, errorName)
}
