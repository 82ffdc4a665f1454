/** Constants that several parts share. Each name carries its unit. */

/** The version that `--version` prints and that peers tell each other. */
export const productVersion = '0.1.0'

export const defaultCallersPort = 7480
export const defaultOperatorsPort = 7481

/** An endpoint that the list shows as leaving gets no new work after this time. */
export const leavingGraceMs = 3000

export const maxRequestBodyBytes = 1024 * 1024
export const maxHeaderBytes = 16 * 1024
export const maxBufferedAnswerBytes = 4 * 1024 * 1024
export const maxIdempotencyKeyBytes = 200

/** How many endpoints one request may crash before every host refuses it. */
export const maxCrashesPerRequest = 2
