/** HTTP client of the platform's store. */
import type { Dispatcher, Pool } from 'undici'
import { Type } from '@sinclair/typebox'
import type { Static } from '@sinclair/typebox'
import VError from 'verror'
import { createHttpPool } from '../adapters/httpClient/httpClients.js'
import type { Store, StoreChanges, StoreOutcome, StoreRow, StoreRowRead, StoreTableSnapshot, StoreTransaction } from '../ports/store.js'
import { createParser } from '../schemas/createParser.js'
import { maxStoreResponseBytes, wireHeaders, wirePaths } from './wireNames.js'

/** Timeout of a call that the store is not asked to delay; it responds in 4 ms, or in 240 ms when slow. */
const callTimeoutMs = 1000
const connectTimeoutMs = 500
/** Concurrent calls of one host: three table watches, a renewal, a claim, and one spare. */
const maxConnections = 6
const historyGoneStatus = 410
const conflictStatus = 412
/** Statuses which guarantee that a transaction was not applied. */
const notAppliedStatuses = new Set([400, 403, 413, 429, 503, 507])
/** Error codes after which the store cannot have received the call. */
const notSentErrorCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'])
const allRowsPart = ''
const eraPattern = /^\d+$/

const rowSchema = Type.Object({
  table: Type.String(),
  key: Type.String(),
  ver: Type.Number(),
  /** Base64; absent on removed rows. */
  value: Type.Optional(Type.String()),
  deleted: Type.Optional(Type.Boolean())
})
const parseRead = createParser(Type.Object({ rows: Type.Array(rowSchema), ver: Type.Number(), hasMore: Type.Optional(Type.Boolean()) }))
const parseApplied = createParser(Type.Object({ ver: Type.Number() }))
const parseConflict = createParser(Type.Object({ rows: Type.Optional(Type.Array(rowSchema)) }))

/** Called with the name and the result of each call, for the metrics. */
export type ReceiveStoreCall = (call: string, verdict: string) => void

/**
 * Connects to the store at `ip:port`.
 *
 * @example
 * const store = createStoreClient('10.200.1.7:8142')
 * const { rows, version } = await store.readTable('op')
 */
export function createStoreClient (address: string, receiveCall: ReceiveStoreCall = () => {}): Store {
  const pool = createHttpPool(address, {
    connections: maxConnections, pipelining: 1, connectTimeoutMs, headersTimeout: 0, bodyTimeout: 0, maxResponseSize: maxStoreResponseBytes
  })
  return {
    readTable: async table => await reportCallResult('read', receiveCall, async () => await readTable(pool, table)),
    readRow: async (table, key, timeoutMs) => await reportCallResult('readRow', receiveCall, async () => await readRow(pool, table, key, timeoutMs)),
    watchTable: async (table, afterVersion, waitMs, responseMs) => await reportCallResult('follow', receiveCall, async () => await watchTable(pool, table, afterVersion, waitMs, responseMs)),
    transact: async transaction => {
      const outcome = await transact(pool, transaction)
      receiveCall('transact', outcome.verdict)
      return outcome
    },
    close: async () => await pool.destroy()
  }
}

async function reportCallResult<T> (call: string, receiveCall: ReceiveStoreCall, run: () => Promise<T>): Promise<T> {
  try {
    const result = await run()
    receiveCall(call, 'answered')
    return result
  } catch (error) {
    receiveCall(call, 'failed')
    throw error
  }
}

async function readTable (pool: Pool, table: string): Promise<StoreTableSnapshot> {
  const rows: StoreRow[] = []
  let from = ''
  let firstEra: number | undefined
  for (;;) {
    const query = new URLSearchParams({ table, part: allRowsPart, ...(from !== '' && { from }) })
    const { status, body, era } = await callStore(pool, 'GET', `${wirePaths.readRows}?${query}`, undefined, callTimeoutMs)
    if (status !== 200) throw createStatusError(`reading table "${table}"`, status)
    if (from === '') firstEra = era
    if (era !== firstEra) throw new VError('reading table "%s": the store was restored between two pages', table)
    const page = parseRead(body)
    rows.push(...page.rows.map(decodeRow))
    if (!page.hasMore) return { rows, version: page.ver, era }
    // The smallest key greater than the last one read.
    from = `${rows.at(-1)!.key}\0`
  }
}

async function readRow (pool: Pool, table: string, key: string, timeoutMs: number): Promise<StoreRowRead> {
  // No other key lies between a key and its smallest extension.
  const query = new URLSearchParams({ table, part: allRowsPart, from: key, target: `${key}\0`, limit: '1' })
  const { status, body, era } = await callStore(pool, 'GET', `${wirePaths.readRows}?${query}`, undefined, timeoutMs)
  if (status !== 200) throw createStatusError(`reading a row of table "${table}"`, status)
  const row = parseRead(body).rows.find(found => found.key === key)
  return { row: row && decodeRow(row), era }
}

async function watchTable (pool: Pool, table: string, afterVersion: number, waitMs: number, responseMs: number): Promise<StoreChanges> {
  const query = new URLSearchParams({ table, after: String(afterVersion), waitMs: String(Math.round(waitMs)) })
  const { status, body, era } = await callStore(pool, 'GET', `${wirePaths.followRows}?${query}`, undefined, waitMs + responseMs)
  if (status === historyGoneStatus) return { isComplete: false, era }
  if (status !== 200) throw createStatusError(`watching table "${table}"`, status)
  const page = parseRead(body)
  return { isComplete: true, rows: page.rows.map(decodeRow), version: page.ver, era }
}

async function transact (pool: Pool, transaction: StoreTransaction): Promise<StoreOutcome> {
  try {
    const { status, body, era } = await callStore(pool, 'POST', wirePaths.transact, encodeTransaction(transaction), callTimeoutMs)
    if (status === 200) return { verdict: 'applied', version: parseApplied(body).ver, era }
    if (status === conflictStatus) return { verdict: 'conflict', rows: (parseConflict(body).rows ?? []).map(decodeRow), era }
    const reason = `the store answered with status ${status}`
    return { verdict: notAppliedStatuses.has(status) ? 'notApplied' : 'unknown', reason, era }
  } catch (error) {
    const { code = '', message } = error as NodeJS.ErrnoException
    return { verdict: notSentErrorCodes.has(code) ? 'notApplied' : 'unknown', reason: message }
  }
}

function encodeTransaction ({ checks, writes, removals }: StoreTransaction): unknown {
  return {
    precondition: checks.map(({ table, key, version }) => ({ table, part: allRowsPart, key, ver: version })),
    writes: writes.map(({ table, key, value }) => ({ table, part: allRowsPart, key, value: Buffer.from(value).toString('base64') })),
    remove: removals.map(({ table, key }) => ({ table, part: allRowsPart, key }))
  }
}

async function callStore (
  pool: Pool, method: Dispatcher.HttpMethod, path: string, body: unknown, timeoutMs: number
): Promise<{ status: number, body: unknown, era: number | undefined }> {
  // The signal also aborts a call whose connection no longer delivers data, and closes that connection.
  const response = await pool.request({
    method,
    path,
    signal: AbortSignal.timeout(timeoutMs),
    ...(body !== undefined && { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
  })
  const text = await response.body.text()
  return { status: response.statusCode, body: text === '' || response.statusCode >= 500 ? {} : JSON.parse(text), era: decodeEra(response.headers[wireHeaders.storeEra]) }
}

/** A missing or unreadable era is left out: the response counts as one of the latest era. */
function decodeEra (value: string | string[] | undefined): number | undefined {
  if (typeof value !== 'string' || !eraPattern.test(value)) return undefined
  const era = Number(value)
  return Number.isSafeInteger(era) ? era : undefined
}

function createStatusError (action: string, status: number): Error {
  return new VError('%s: the store answered with status %d', action, status)
}

function decodeRow (row: Static<typeof rowSchema>): StoreRow {
  const isRemoved = row.deleted === true || row.value === undefined
  return { table: row.table, key: row.key, version: row.ver, value: isRemoved ? undefined : Buffer.from(row.value!, 'base64') }
}
