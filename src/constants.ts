/** Constants shared by several folders. Each name includes its unit. */

/** The version that `--version` prints and that peers send to each other. */
export const productVersion = '0.1.0'

export const defaultCallersPort = 7480
export const defaultOperatorsPort = 7481

/** After the host list shows an endpoint as leaving, the endpoint gets no new requests once this time has passed. */
export const leavingGraceMs = 3000

export const maxRequestBodyBytes = 1024 * 1024
export const maxHeaderBytes = 16 * 1024
export const maxBufferedResponseBytes = 4 * 1024 * 1024
export const maxIdempotencyKeyBytes = 200

/** Node.js limit on the size of a request head at hosts; fixed at startup, so it exceeds the configured limit, which may change. */
export const maxHostHeadBytes = 64 * 1024
/** Hosts wait for a request's head for this much longer than the configuration says. */
export const extraHeadTimeMs = 2000
/** Hosts take this for the time that a caller waits which states none. */
export const defaultTimeLeftMs = 30_000

/** Number of endpoints that one request may crash before every host refuses it. */
export const maxCrashesPerRequest = 2
