/** The error of a platform service that gave no usable answer. */
import VError from 'verror'

const errorName = 'PlatformUnavailable'

/**
 * Builds the error that adapters of the platform reject with.
 *
 * @example
 * throw createPlatformUnavailable('table', cause)
 */
export function createPlatformUnavailable (service: string, cause?: Error): VError {
  return new VError({ name: errorName, ...(cause && { cause }) }, 'the platform\'s %s service gave no answer', service)
}

/** Tells whether an error means that the platform gave no answer. */
export function isPlatformUnavailable (error: unknown): boolean {
  return error instanceof Error && VError.hasCauseWithName(error, errorName)
}
