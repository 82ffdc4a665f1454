/** The error for a platform service that did not respond, or not in a usable form. */
import VError from 'verror'

const errorName = 'PlatformUnavailable'

/**
 * Creates the error with which clients of platform services reject.
 *
 * @example
 * throw createPlatformUnavailable('table', cause)
 */
export function createPlatformUnavailable (service: string, cause?: Error): VError {
  return new VError({ name: errorName, ...(cause && { cause }) }, 'the platform\'s %s service did not respond', service)
}

/** Checks whether an error, or one of its causes, means that a platform service did not respond. */
export function isPlatformUnavailable (error: unknown): boolean {
  return error instanceof Error && VError.hasCauseWithName(error, errorName)
}
