/** Header, path and table names that the users' platform defines. Only this folder uses the names themselves. */

/** Header names in lower case, as Node.js delivers them. */
export const wireHeaders = Object.freeze({
  requestId: 'attempt-id',
  /** Milliseconds for which the sender still waits; a duration, not a time of day. */
  timeLeftMs: 'deadline-ms',
  promptParts: 'prompt-prefix',
  lastEventId: 'last-event-id',
  /** Id of the request that brought the first event of a stream that is resumed. */
  resumes: 'resumes',
  signature: 'server-signature',
  expectEndpoint: 'expect-instance',
  load: 'instance-load',
  notRun: 'not-executed',
  retryAfter: 'retry-after',
  /** Set on every response of an endpoint that is leaving. */
  leaving: 'server-leaving',
  /** Requests a second that an endpoint in need takes from all hosts together. */
  limit: 'server-limit',
  /** Requests that a brittle endpoint can turn away in a second without falling over. */
  brittle: 'server-brittle',
  endpointId: 'instance-id',
  model: 'model',
  tokens: 'token-usage',
  priority: 'request-priority',
  /** Rises by one each time that the store comes back from an earlier copy of itself; on every response of the store. */
  storeEra: 'store-era',
  versions: 'weight-versions',
  expectVersion: 'expect-version',
  lengthHint: 'length-hint',
  /** Name of the client account that a request is of. */
  account: 'tenant'
})

/** Headers that only this system and its endpoints set; values that callers send under these names are not forwarded. */
export const reservedHeaders: ReadonlySet<string> = new Set([
  wireHeaders.expectEndpoint, wireHeaders.expectVersion, wireHeaders.priority, wireHeaders.signature, wireHeaders.notRun,
  wireHeaders.endpointId, wireHeaders.load, wireHeaders.versions, wireHeaders.timeLeftMs,
  'pin-ms', 'hold', 'kv-backup', 'kv-from', 'kv-fetch'
])

/** HTTP's own header for a caller's credentials; where the configuration has accounts, it holds the key of one. */
export const credentialsHeader = 'authorization'
/** Longer keys of client accounts are invalid, in the configuration and in requests. */
export const maxApiKeyLength = 4096

export const wirePaths = Object.freeze({
  readiness: '/sedgevalve/readiness',
  order: '/sedgevalve/order',
  report: '/sedgevalve/report',
  transact: '/sedgevalve/rows-tx',
  readRows: '/sedgevalve/rows-get',
  followRows: '/sedgevalve/rows-feed'
})

/** Store tables that operators and endpoints write, respectively. */
export const operatorsTable = 'op'
export const endpointsTable = 'servers'

/** Key of the configuration's row in the operators' table. */
export const configurationKey = 'config'
/** Key prefix of rows that declare an adapter version; `MODEL.ADAPTER` follows it. */
export const versionKeyPrefix = 'version/'

/** A larger response of the store is an error. It sends at most 1 MB of rows, which base64 and JSON make up to three times as long. */
export const maxStoreResponseBytes = 4 * 1024 * 1024
