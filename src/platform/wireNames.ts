/** Names that the users' platform gives to headers, calls and tables. Nothing outside this folder knows them. */

/** Headers in lower case, as Node delivers them. */
export const wireHeaders = Object.freeze({
  requestId: 'attempt-id',
  /** Milliseconds that the sender still waits; a duration, not a time of day. */
  timeLeftMs: 'deadline-ms',
  promptParts: 'prompt-prefix',
  lastEventId: 'last-event-id',
  signature: 'server-signature',
  expectEndpoint: 'expect-instance',
  load: 'instance-load',
  notRun: 'not-executed',
  retryAfter: 'retry-after',
  /** On any answer of an endpoint that leaves. */
  leaving: 'server-leaving',
  endpointId: 'instance-id',
  model: 'model',
  tokens: 'token-usage',
  priority: 'request-priority',
  versions: 'weight-versions',
  expectVersion: 'expect-version',
  lengthHint: 'length-hint'
})

/** Headers that only the system sets; whatever a caller sends under these names is dropped. */
export const systemHeaders: ReadonlySet<string> = new Set([
  wireHeaders.expectEndpoint, wireHeaders.expectVersion, wireHeaders.priority, wireHeaders.signature, wireHeaders.notRun,
  wireHeaders.endpointId, wireHeaders.load, wireHeaders.versions, wireHeaders.timeLeftMs,
  'pin-ms', 'hold', 'kv-backup', 'kv-from', 'kv-fetch'
])

export const wirePaths = Object.freeze({
  readiness: '/sedgevalve/readiness',
  order: '/sedgevalve/order',
  report: '/sedgevalve/report',
  transact: '/sedgevalve/rows-tx',
  readRows: '/sedgevalve/rows-get',
  followRows: '/sedgevalve/rows-feed'
})

/** Tables of the store that operators and endpoints write. */
export const operatorsTable = 'op'
export const endpointsTable = 'servers'

/** Key of the configuration in the operators' table. */
export const configurationKey = 'config'
/** Keys of new adapter versions begin so, followed by `MODEL.ADAPTER`. */
export const versionKeyPrefix = 'version/'
